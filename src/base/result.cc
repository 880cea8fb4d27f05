#include "limpetfall/result.h"

namespace limpetfall {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kPermissionDenied:
      return "permission_denied";
    case ErrorCode::kResourceExhausted:
      return "resource_exhausted";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kCancelled:
      return "cancelled";
    case ErrorCode::kUpstreamProtocol:
      return "upstream_protocol";
    case ErrorCode::kResponseTooLarge:
      return "response_too_large";
    case ErrorCode::kUpstreamLost:
      return "upstream_lost";
    case ErrorCode::kQuarantined:
      return "quarantined";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

}  // namespace limpetfall
