#ifndef LIMPETFALL_HTTP_RESPONSE_HEAD_H_
#define LIMPETFALL_HTTP_RESPONSE_HEAD_H_

#include <cstddef>
#include <optional>
#include <string>

#include "limpetfall/result.h"

namespace limpetfall {

/** Maximum size of the interim responses to one request, which may be many. */
constexpr std::size_t kMaxInterimBytes = 256 << 10;

/** Returns whether another response to the same request follows one with this status. */
constexpr bool IsInterim(int status) { return status < 200; }

/** Returns an error if no server may respond with this status to a request without an upgrade. */
Result<void> CheckResponseStatus(int status);

/**
 * Returns an error if the head of a response does not determine one end of its body. The arguments
 * are the minor version of HTTP/1 and the values of `Transfer-Encoding` and `Content-Length`, if
 * present, with those of repeated fields joined by commas.
 */
Result<void> CheckBodyFraming(int minor_version, const std::optional<std::string>& coding,
                              const std::optional<std::string>& length);

}  // namespace limpetfall

#endif  // LIMPETFALL_HTTP_RESPONSE_HEAD_H_
