#include "http/error-response.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpetfall {

bool IsRequestId(std::string_view text) {
  constexpr std::size_t kMaxLength = 128;
  if (text.empty() || text.size() > kMaxLength) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

std::string ErrorBody(const Error& error, std::string_view request_id) {
  const nlohmann::json body = {{"error",
                                {{"code", ToString(error.code)},
                                 {"message", error.message},
                                 {"verdict", ToString(error.verdict)},
                                 {"request_id", request_id}}}};
  // The message may contain input that is not valid UTF-8.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse ErrorResponse(int status, const Error& error, std::string_view request_id) {
  HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.headers["X-Verdict"] = ToString(error.verdict);
  if (!request_id.empty()) response.headers["X-Request-Id"] = request_id;
  response.body = ErrorBody(error, request_id);
  return response;
}

}  // namespace limpetfall
