#include "upstream/refusal.h"

#include <string>

namespace limpetfall {

std::optional<Error> ParseRefusal(int status, const Headers& headers, std::string_view upstream) {
  if (status != 409 && status != 429 && status != 503) return std::nullopt;
  const auto verdict = headers.find("X-Verdict");
  if (verdict == headers.end() || ParseVerdict(verdict->second) != Verdict::kNotRun) {
    return std::nullopt;
  }
  const ErrorCode code = status == 429 ? ErrorCode::kResourceExhausted : ErrorCode::kUnavailable;
  return NotRun(code, "upstream " + std::string(upstream) + " refused the request with status " +
                          std::to_string(status));
}

}  // namespace limpetfall
