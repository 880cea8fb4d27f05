#include "caller/caller-api.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <vector>

namespace limpetfall::detail {
namespace {

using nlohmann::json;

constexpr std::string_view kServicePrefix = "/v1/services/";

// Names and keys become part of store keys, metric labels and log lines. A longer one is a mistake
// of the caller.
constexpr std::size_t kMaxNameLength = 256;

/** Collects the validation errors of one request. */
class RequestFaults {
 public:
  void Add(std::string fault) { this->faults.push_back(std::move(fault)); }

  [[nodiscard]] bool empty() const { return this->faults.empty(); }

  [[nodiscard]] Error ToError() const {
    std::string message;
    for (const std::string& fault : this->faults) {
      if (!message.empty()) message += "; ";
      message += fault;
    }
    return NotRun(ErrorCode::kInvalidArgument, std::move(message));
  }

 private:
  std::vector<std::string> faults;
};

std::string_view PathPart(std::string_view target) { return target.substr(0, target.find('?')); }

std::string_view QueryPart(std::string_view target) {
  const auto mark = target.find('?');
  return mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
}

bool IsValidName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

std::string RequiredNameHeader(const HttpRequest& request, const std::string& header,
                               RequestFaults& faults) {
  const std::string_view text = GetHeader(request.headers, header);
  if (text.empty()) {
    faults.Add("header " + header + ": is required");
  } else if (!IsValidName(text)) {
    faults.Add("header " + header + ": must be 1 to 256 visible ASCII characters");
  }
  return std::string(text);
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
  return number;
}

Deadline ParseDeadline(const HttpRequest& request, const CallerApiOptions& options, TimePoint now,
                       RequestFaults& faults) {
  const std::string_view text = GetHeader(request.headers, "X-Deadline-Ms");
  if (text.empty()) return now + options.request_timeout;
  const auto remaining_ms = ParseNumber<std::int64_t>(text);
  if (!remaining_ms || *remaining_ms < 1 || *remaining_ms > options.max_timeout.count()) {
    faults.Add("header X-Deadline-Ms: must be a whole number from 1 to " +
               std::to_string(options.max_timeout.count()));
    return now;
  }
  return now + Milliseconds(*remaining_ms);
}

Priority ParsePriority(const HttpRequest& request, RequestFaults& faults) {
  const std::string_view text = GetHeader(request.headers, "X-Priority");
  if (text.empty() || text == "normal") return Priority::kNormal;
  if (text == "high") return Priority::kHigh;
  if (text == "low") return Priority::kLow;
  faults.Add("header X-Priority: must be high, normal or low");
  return Priority::kNormal;
}

/** Parses a JSON object. Reports duplicate members, which the parser would silently overwrite. */
json ParseObject(const std::string& text, RequestFaults& faults) {
  std::set<std::string> names;
  const auto on_event = [&](int depth, json::parse_event_t event, json& value) {
    if (event != json::parse_event_t::key || depth != 1) return true;
    const std::string name = value.get<std::string>();
    if (!names.insert(name).second) faults.Add("body: \"" + name + "\" occurs more than once");
    return true;
  };
  json body;
  try {
    body = json::parse(text, on_event);
  } catch (const json::exception& error) {
    faults.Add(std::string("body: is not JSON: ") + error.what());
    return json();
  }
  if (body.is_object()) return body;
  faults.Add("body: must be a JSON object");
  return json();
}

std::string RequiredStringField(const json& body, const std::string& name, RequestFaults& faults) {
  const auto found = body.find(name);
  if (found == body.end()) {
    faults.Add("body: \"" + name + "\" is required");
    return {};
  }
  if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
    faults.Add("body: \"" + name + "\" must be a string that is not empty");
    return {};
  }
  return found->get<std::string>();
}

void ParseOptionalFields(const json& body, const CallerApiOptions& options, CompletionCall& call,
                         RequestFaults& faults) {
  if (const auto found = body.find("max_tokens"); found != body.end()) {
    const bool fits =
        found->is_number_unsigned() && found->get<std::uint64_t>() >= 1 &&
        found->get<std::uint64_t>() <= static_cast<std::uint64_t>(options.max_tokens_limit);
    if (fits) {
      call.request.max_tokens = found->get<int>();
    } else {
      faults.Add("body: \"max_tokens\" must be a whole number from 1 to " +
                 std::to_string(options.max_tokens_limit));
    }
  }
  if (const auto found = body.find("seed"); found != body.end()) {
    if (found->is_number_unsigned()) {
      call.request.seed = found->get<std::uint64_t>();
    } else {
      faults.Add("body: \"seed\" must be a whole number from 0 to 18446744073709551615");
    }
  }
  if (const auto found = body.find("stream"); found != body.end()) {
    if (found->is_boolean()) {
      call.stream = found->get<bool>();
    } else {
      faults.Add("body: \"stream\" must be true or false");
    }
  }
}

void ParseBodyFields(const std::string& text, const CallerApiOptions& options, CompletionCall& call,
                     RequestFaults& faults) {
  static constexpr std::array<std::string_view, 5> kAllowedFields = {
      "model", "prompt", "max_tokens", "seed", "stream"};
  const json body = ParseObject(text, faults);
  if (!body.is_object()) return;
  for (const auto& [name, value] : body.items()) {
    if (std::find(kAllowedFields.begin(), kAllowedFields.end(), name) == kAllowedFields.end()) {
      faults.Add("body: \"" + name + "\" is not a field of this call");
    }
  }
  call.request.model = ModelName(RequiredStringField(body, "model", faults));
  if (call.request.model.value.size() > kMaxNameLength) {
    faults.Add("body: \"model\" must have at most 256 bytes");
  }
  call.request.prompt = RequiredStringField(body, "prompt", faults);
  ParseOptionalFields(body, options, call, faults);
}

bool IsUnreserved(int byte) {
  return std::isalnum(byte) != 0 || byte == '-' || byte == '.' || byte == '_' || byte == '~';
}

/**
 * Returns the reason why a path is not in normal form, or nothing if it is. A service may interpret
 * such a path differently from the configured routes. A call that must not be repeated could then
 * run twice.
 */
std::optional<std::string> FindPathFault(std::string_view path) {
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (path[i] == '\\') return "must not contain a backslash";
    if (path[i] != '%') continue;
    int byte = 0;
    const char* digits = path.data() + i + 1;
    const bool has_two_characters =
        path.size() - i > 2 && std::isxdigit(static_cast<unsigned char>(digits[0]));
    if (!has_two_characters || std::from_chars(digits, digits + 2, byte, 16).ptr != digits + 2) {
      return "has an incomplete percent-encoding";
    }
    if (IsUnreserved(byte) || byte == '/' || byte == '\\' || byte < 0x20) {
      return "has a percent-encoded letter, digit, dot, slash or control character";
    }
  }
  if (path.find("//") != std::string_view::npos) return "has an empty segment";
  const std::string path_with_slash = std::string(path) + "/";
  if (path_with_slash.find("/./") != std::string::npos ||
      path_with_slash.find("/../") != std::string::npos) {
    return "has a dot segment";
  }
  return std::nullopt;
}

Headers CommonHeaders(const RequestId& id, ConfigVersion version, Verdict verdict) {
  return {{"X-Request-Id", id.value},
          {"X-Config-Version", std::to_string(version)},
          {"X-Verdict", std::string(ToString(verdict))}};
}

HttpResponse JsonResponse(int status, const json& body, const RequestId& id,
                          ConfigVersion version) {
  HttpResponse response;
  response.status = status;
  response.headers = CommonHeaders(id, version, Verdict::kRan);
  response.headers["Content-Type"] = "application/json";
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

std::string NewRequestId() {
  thread_local std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  std::string id;
  for (int i = 0; i < 32; ++i) id += "0123456789abcdef"[generator() % 16];
  return id;
}

}  // namespace

CallerRoute ParseCallerRoute(std::string_view target) {
  const std::string_view path = PathPart(target);
  if (path == "/v1/completions") return CallerRoute::kCompletions;
  if (path.starts_with(kServicePrefix)) return CallerRoute::kService;
  if (path == "/v1/addresses") return CallerRoute::kAddresses;
  if (path == "/healthz") return CallerRoute::kHealth;
  return CallerRoute::kUnknown;
}

Result<RequestId> ParseOrCreateRequestId(const HttpRequest& request) {
  const auto found = request.headers.find("X-Request-Id");
  if (found == request.headers.end()) return RequestId(NewRequestId());
  if (IsRequestId(found->second)) return RequestId(found->second);
  return NotRun(ErrorCode::kInvalidArgument,
                "header X-Request-Id: must be 1 to 128 letters, digits, '-', '_', '.' or ':'");
}

Result<CompletionCall> ParseCompletion(const HttpRequest& request, const RequestId& id,
                                       const CallerApiOptions& options, TimePoint now) {
  RequestFaults faults;
  CompletionCall call;
  call.request.id = id;
  call.request.branch = BranchName(RequiredNameHeader(request, "X-Branch", faults));
  call.request.team = TeamName(RequiredNameHeader(request, "X-Team", faults));
  call.request.priority = ParsePriority(request, faults);
  call.request.deadline = ParseDeadline(request, options, now, faults);
  if (!QueryPart(request.target).empty()) faults.Add("query: this call has no parameters");
  ParseBodyFields(request.body, options, call, faults);
  if (!faults.empty()) return faults.ToError();
  return call;
}

Result<ServiceCall> ParseServiceCall(const HttpRequest& request, const RequestId& id,
                                     const CallerApiOptions& options, TimePoint now) {
  RequestFaults faults;
  ServiceCall call;
  call.id = id;
  call.branch = BranchName(RequiredNameHeader(request, "X-Branch", faults));
  call.team = TeamName(RequiredNameHeader(request, "X-Team", faults));
  call.deadline = ParseDeadline(request, options, now, faults);
  call.method = request.method;
  call.content_type = std::string(GetHeader(request.headers, "Content-Type"));
  call.body = request.body;
  if (request.headers.contains("Idempotency-Key")) {
    call.idempotency_key = RequiredNameHeader(request, "Idempotency-Key", faults);
  }
  call.first_attempt = GetHeader(request.headers, "X-Attempt") == "1";
  static constexpr std::array<std::string_view, 7> kMethods = {"GET",   "HEAD",   "POST",   "PUT",
                                                               "PATCH", "DELETE", "OPTIONS"};
  if (std::find(kMethods.begin(), kMethods.end(), request.method) == kMethods.end()) {
    faults.Add("method: " + request.method + " is not forwarded to services");
  }
  const std::string rest = request.target.substr(kServicePrefix.size());
  const auto end = std::min(rest.find_first_of("/?"), rest.size());
  call.service = ServiceName(rest.substr(0, end));
  if (!IsValidName(call.service.value)) faults.Add("path: the service name is missing or invalid");
  call.path = rest.substr(end);
  if (!call.path.starts_with('/')) call.path = "/" + call.path;
  if (const auto fault = FindPathFault(PathPart(call.path))) faults.Add("path: " + *fault);
  if (!faults.empty()) return faults.ToError();
  return call;
}

Result<ZoneId> ParseZone(const HttpRequest& request, const CallerApiOptions& options) {
  const std::string_view query = QueryPart(request.target);
  if (query.empty()) return options.zone;
  constexpr std::string_view kZoneParameter = "zone=";
  if (!query.starts_with(kZoneParameter) || !IsValidName(query.substr(kZoneParameter.size())) ||
      query.find('&') != std::string_view::npos) {
    return NotRun(ErrorCode::kInvalidArgument, "query: the only parameter is zone=<name>");
  }
  return ZoneId(std::string(query.substr(kZoneParameter.size())));
}

int HttpStatusOf(const Error& error) {
  switch (error.code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kPermissionDenied:
      return 403;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:  // The idempotency key is in use with another body.
    case ErrorCode::kQuarantined:
      return 422;
    case ErrorCode::kCancelled:
      return 499;
    case ErrorCode::kInternal:
      return 500;
    case ErrorCode::kUpstreamProtocol:
    case ErrorCode::kResponseTooLarge:
    case ErrorCode::kUpstreamLost:
      return 502;
    case ErrorCode::kResourceExhausted:
    case ErrorCode::kUnavailable:
      return 503;
    case ErrorCode::kDeadlineExceeded:
      // A request that cannot meet its deadline is rejected before it runs. The status is the same
      // as that of other rejections.
      return error.verdict == Verdict::kNotRun ? 503 : 504;
  }
  return 500;
}

HttpResponse CallerErrorResponse(const Error& error, const RequestId& id, ConfigVersion version) {
  HttpResponse response = ErrorResponse(HttpStatusOf(error), error, id.value);
  response.headers["X-Config-Version"] = std::to_string(version);
  // Load and the state of upstreams change within a second. An earlier retry would find the
  // same state.
  if (response.status == 503) response.headers["Retry-After"] = "1";
  return response;
}

HttpResponse MethodNotAllowed(std::string_view allowed, const RequestId& id,
                              ConfigVersion version) {
  const std::string message = "method: this call supports " + std::string(allowed) + " only";
  HttpResponse response =
      CallerErrorResponse(NotRun(ErrorCode::kInvalidArgument, message), id, version);
  response.status = 405;
  response.headers["Allow"] = allowed;
  return response;
}

HttpResponse AddressesResponse(const AddressList& list, const RequestId& id,
                               ConfigVersion version) {
  const json body = {{"addresses", list.addresses}, {"ttl_ms", list.ttl_ms}};
  return JsonResponse(200, body, id, version);
}

HttpResponse HealthResponse(bool accepts_work, const RequestId& id, ConfigVersion version) {
  if (accepts_work) return JsonResponse(200, {{"status", "ok"}}, id, version);
  return CallerErrorResponse(NotRun(ErrorCode::kUnavailable, "this node takes no new work"), id,
                             version);
}

HttpResponse CompletionResponse(const RequestId& id, ConfigVersion version, std::string_view text,
                                int tokens) {
  const json body = {{"id", id.value},
                     {"choices", json::array({{{"text", text}}})},
                     {"usage", {{"completion_tokens", tokens}}}};
  return JsonResponse(200, body, id, version);
}

HttpResponse ServiceResponse(const RequestId& id, ServiceAnswer answer) {
  HttpResponse response;
  response.status = answer.status;
  response.headers = CommonHeaders(id, answer.version, Verdict::kRan);
  if (!answer.content_type.empty()) response.headers["Content-Type"] = answer.content_type;
  response.body = std::move(answer.body);
  return response;
}

Headers StreamHeaders(const RequestId& id, ConfigVersion version) {
  // The outcome is unknown until the end marker. It remains unknown if the stream is truncated.
  Headers headers = CommonHeaders(id, version, Verdict::kMayHaveRun);
  headers["Content-Type"] = "text/event-stream";
  headers["Cache-Control"] = "no-store";
  return headers;
}

std::string TokenEvent(const RequestId& id, int index, std::string_view text) {
  const json event = {
      {"id", id.value}, {"token_index", index}, {"choices", json::array({{{"text", text}}})}};
  return "data: " + event.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

std::string ErrorEvent(const RequestId& id, const Error& error) {
  return "event: error\ndata: " + ErrorBody(error, id.value) + "\n\n";
}

boost::asio::awaitable<void> SendResponse(HttpExchange& exchange, HttpResponse response) {
  [[maybe_unused]] const Result<void> sent = co_await exchange.Send(std::move(response));
}

boost::asio::awaitable<Result<void>> StreamSink::OnStart(ConfigVersion version) {
  if (this->is_started) {
    co_return MayHaveRun(ErrorCode::kInternal, "the completion was started twice");
  }
  this->is_started = true;
  co_return co_await this->exchange.StartStream(200, StreamHeaders(this->id, version));
}

boost::asio::awaitable<Result<void>> StreamSink::OnToken(std::string_view text) {
  if (!this->is_started) {
    co_return MayHaveRun(ErrorCode::kInternal,
                         "received a token before the start of the completion");
  }
  const std::string event = TokenEvent(this->id, this->tokens++, text);
  co_return co_await this->exchange.WriteChunk(event);
}

boost::asio::awaitable<Result<void>> BufferedSink::OnStart(ConfigVersion version) {
  if (this->start_version) {
    co_return MayHaveRun(ErrorCode::kInternal, "the completion was started twice");
  }
  this->start_version = version;
  co_return success();
}

boost::asio::awaitable<Result<void>> BufferedSink::OnToken(std::string_view text) {
  if (!this->start_version) {
    co_return MayHaveRun(ErrorCode::kInternal,
                         "received a token before the start of the completion");
  }
  if (this->body.size() + text.size() > this->max_bytes) {
    co_return MayHaveRun(ErrorCode::kResourceExhausted,
                         "the completion exceeds " + std::to_string(this->max_bytes) + " bytes");
  }
  this->body.append(text);
  ++this->token_count;
  co_return success();
}

}  // namespace limpetfall::detail
