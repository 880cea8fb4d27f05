#ifndef LIMPETFALL_UPSTREAM_REFUSAL_H_
#define LIMPETFALL_UPSTREAM_REFUSAL_H_

#include <optional>
#include <string_view>

#include "http/client.h"

namespace limpetfall {

/**
 * Returns an error with `kNotRun` if, by the upstream's protocol, the response refuses a request
 * that did not run: status 409, 429 or 503 together with `X-Verdict: not-run`.
 */
std::optional<Error> ParseRefusal(int status, const Headers& headers, std::string_view upstream);

}  // namespace limpetfall

#endif  // LIMPETFALL_UPSTREAM_REFUSAL_H_
