#include "operators/admin-api.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "http/error-response.h"

namespace limpetfall::detail {
namespace {

using Json = nlohmann::json;

struct Route {
  std::string_view method;
  std::string_view path;
  AdminCall call;
};

constexpr std::array<Route, 5> kRoutes = {{
    {"GET", "/admin/config", AdminCall::kGetConfig},
    {"PUT", "/admin/config", AdminCall::kPutConfig},
    {"POST", "/admin/config/check", AdminCall::kCheckConfig},
    {"GET", "/admin/status", AdminCall::kStatus},
    {"POST", "/admin/drain", AdminCall::kDrain},
}};

HttpResponse JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string SerializeJson(const Json& json) {
  // Messages may contain input that is not valid UTF-8.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string ToETag(ConfigVersion version) { return "\"" + std::to_string(version) + "\""; }

int HttpStatusOf(const Error& error) {
  switch (error.code) {
    case ErrorCode::kInvalidArgument:
      return 422;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kPermissionDenied:
      return 403;
    case ErrorCode::kDeadlineExceeded:
      return 504;
    case ErrorCode::kUnavailable:
    case ErrorCode::kResourceExhausted:
      return 503;
    default:
      return 500;
  }
}

// Parses a message that has one line `pointer: problem` for each fault.
std::vector<ValidationError> ParseFaults(std::string_view message) {
  std::vector<ValidationError> faults;
  while (!message.empty()) {
    const std::string_view line = message.substr(0, message.find('\n'));
    message.remove_prefix(std::min(message.size(), line.size() + 1));
    const std::size_t colon = line.find(": ");
    if (colon == std::string_view::npos || !line.starts_with('/')) {
      faults.push_back({"", std::string(line)});
    } else {
      faults.push_back({std::string(line.substr(0, colon)), std::string(line.substr(colon + 2))});
    }
  }
  return faults;
}

HttpResponse ConflictResponse(ConfigVersion version) {
  const Error error =
      NotRun(ErrorCode::kConflict,
             "version " + std::to_string(version) + " is active; read it and reapply the change");
  HttpResponse response = ErrorResponse(409, error, "");
  Json body = Json::parse(response.body);
  body["version"] = version;
  response.headers["ETag"] = ToETag(version);
  response.body = SerializeJson(body);
  return response;
}

}  // namespace

AdminCall ParseAdminCall(const HttpRequest& request) {
  const std::string_view path =
      std::string_view(request.target).substr(0, request.target.find('?'));
  AdminCall call = AdminCall::kUnknown;
  for (const Route& route : kRoutes) {
    if (route.path != path) continue;
    if (route.method == request.method) return route.call;
    call = AdminCall::kMethodNotAllowed;
  }
  return call;
}

Result<ConfigVersion> ParseIfMatch(const HttpRequest& request) {
  const auto header = request.headers.find("If-Match");
  if (header == request.headers.end()) {
    return NotRun(
        ErrorCode::kInvalidArgument,
        "If-Match must contain the version that the change is based on, 0 for the first document");
  }
  std::string_view text = header->second;
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  ConfigVersion version = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
  if (error != std::errc() || end != text.data() + text.size()) {
    return NotRun(ErrorCode::kInvalidArgument, "If-Match must be a single version number");
  }
  return version;
}

HttpResponse IfMatchResponse(const HttpRequest& request, const Error& error) {
  return ErrorResponse(request.headers.contains("If-Match") ? 400 : 428, error, "");
}

HttpResponse ConfigResponse(const VersionedDocument* active) {
  if (active == nullptr) {
    HttpResponse response =
        ErrorResponse(404, NotRun(ErrorCode::kNotFound, "no document is active yet"), "");
    response.headers["ETag"] = ToETag(0);
    return response;
  }
  HttpResponse response = JsonResponse(200, SerializeDocument(active->document));
  response.headers["ETag"] = ToETag(active->version);
  response.headers["X-Config-Version"] = std::to_string(active->version);
  return response;
}

HttpResponse ChangeResponse(const Result<ConfigChangeResult>& change) {
  if (!change) {
    if (change.error().code == ErrorCode::kInvalidArgument) {
      return FaultsResponse(ParseFaults(change.error().message));
    }
    HttpResponse response = ErrorResponse(HttpStatusOf(change.error()), change.error(), "");
    if (response.status == 503) response.headers["Retry-After"] = "1";
    return response;
  }
  const ConfigChangeResult& outcome = change.value();
  if (!outcome.accepted) return ConflictResponse(outcome.version);
  Json nodes = Json::array();
  for (const NodeId& node : outcome.confirmed_by) nodes.push_back(node.value);
  HttpResponse response = JsonResponse(
      200, SerializeJson({{"version", outcome.version}, {"confirmed_by", std::move(nodes)}}));
  response.headers["ETag"] = ToETag(outcome.version);
  response.headers["X-Config-Version"] = std::to_string(outcome.version);
  return response;
}

HttpResponse FaultsResponse(const std::vector<ValidationError>& faults) {
  const Error error = NotRun(ErrorCode::kInvalidArgument,
                             "the document has " + std::to_string(faults.size()) + " faults");
  HttpResponse response = ErrorResponse(422, error, "");
  Json body = Json::parse(response.body);
  Json list = Json::array();
  for (const ValidationError& fault : faults) {
    list.push_back({{"pointer", fault.pointer}, {"problem", fault.problem}});
  }
  body["faults"] = std::move(list);
  response.body = SerializeJson(body);
  return response;
}

HttpResponse ValidDocumentResponse() { return JsonResponse(200, R"({"valid":true})"); }

HttpResponse StatusResponse(std::string json) { return JsonResponse(200, std::move(json)); }

HttpResponse DrainResponse() { return JsonResponse(202, R"({"draining":true})"); }

HttpResponse NoRouteResponse(AdminCall call) {
  if (call == AdminCall::kMethodNotAllowed) {
    return ErrorResponse(
        405, NotRun(ErrorCode::kInvalidArgument, "method not allowed for this path"), "");
  }
  return ErrorResponse(404, NotRun(ErrorCode::kNotFound, "unknown API call"), "");
}

}  // namespace limpetfall::detail
