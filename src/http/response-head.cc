#include "http/response-head.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace limpetfall {
namespace {

// Maximum length of a value in an error message.
constexpr std::size_t kMaxQuotedBytes = 40;

Error Malformed(const std::string& problem) {
  return MayHaveRun(ErrorCode::kUpstreamProtocol, problem);
}

/** Returns the length that a value of `Content-Length` states, once or several times. */
std::optional<std::int64_t> ParseLength(std::string_view text) {
  std::optional<std::int64_t> length;
  for (;;) {
    const std::string_view part = text.substr(0, text.find(','));
    std::int64_t value = 0;
    const auto parsed = std::from_chars(part.data(), part.data() + part.size(), value);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == part.data() + part.size();
    if (!valid || part.front() == '-' || value != length.value_or(value)) return std::nullopt;
    length = value;
    if (part.size() == text.size()) return length;
    text.remove_prefix(part.size() + 1);
    text.remove_prefix(std::min(text.size(), text.find_first_not_of(" \t")));
  }
}

}  // namespace

Result<void> CheckResponseStatus(int status) {
  constexpr int kFirstStatus = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kLastStatus = 599;
  if (status < kFirstStatus || kLastStatus < status)
    return Malformed("the status " + std::to_string(status) + " is undefined");
  if (status == kSwitchingProtocols) return Malformed("no change of the protocol was requested");
  return success();
}

Result<void> CheckBodyFraming(int minor_version, const std::optional<std::string>& coding,
                              const std::optional<std::string>& length) {
  if (length && !ParseLength(*length))
    return Malformed("the length \"" + length->substr(0, kMaxQuotedBytes) + "\" is invalid");
  if (!coding) return success();
  if (!boost::iequals(*coding, "chunked")) {
    return Malformed("the transfer coding \"" + coding->substr(0, kMaxQuotedBytes) +
                     "\" was not requested");
  }
  if (length) return Malformed("the body has a length and chunks");
  if (minor_version == 0) return Malformed("HTTP/1.0 has no chunks");
  return success();
}

}  // namespace limpetfall
