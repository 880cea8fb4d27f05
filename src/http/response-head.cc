#include "http/response-head.h"

#include <string>

namespace limpetfall {
namespace {

Error Malformed(const std::string& problem) {
  return MayHaveRun(ErrorCode::kUpstreamProtocol, problem);
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

}  // namespace limpetfall
