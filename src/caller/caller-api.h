#ifndef LIMPETFALL_CALLER_CALLER_API_H_
#define LIMPETFALL_CALLER_CALLER_API_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/request.h"
#include "http/error-response.h"
#include "http/server.h"

namespace limpetfall {

struct CallerApiOptions {
  ZoneId zone;                               ///< Default for callers that do not name a zone.
  Milliseconds request_timeout{60000};       ///< Applies to requests without X-Deadline-Ms.
  Milliseconds max_timeout{3600000};         ///< Upper bound of X-Deadline-Ms.
  int max_tokens_limit = 1 << 20;            ///< Upper bound of max_tokens.
  std::size_t max_response_bytes = 8 << 20;  ///< Limit for a completion that is not streamed.
};

namespace detail {

/** A validated completion call. */
struct CompletionCall {
  CompletionRequest request;
  bool stream = false;
};

/** The API call that a request target selects. The input is not validated yet. */
enum class CallerRoute { kAddresses, kCompletions, kService, kHealth, kUnknown };

CallerRoute ParseCallerRoute(std::string_view target);

/** Returns the id in `X-Request-Id`, a new id if the header is absent, or an error if malformed. */
Result<RequestId> ParseOrCreateRequestId(const HttpRequest& request);

// The message of each parse error lists all faults of the input, separated by "; ".

Result<CompletionCall> ParseCompletion(const HttpRequest& request, const RequestId& id,
                                       const CallerApiOptions& options, TimePoint now);
Result<ServiceCall> ParseServiceCall(const HttpRequest& request, const RequestId& id,
                                     const CallerApiOptions& options, TimePoint now);
Result<ZoneId> ParseZone(const HttpRequest& request, const CallerApiOptions& options);

/** Returns the HTTP status for an error that is sent before any other part of a response. */
int HttpStatusOf(const Error& error);

HttpResponse CallerErrorResponse(const Error& error, const RequestId& id, ConfigVersion version);
HttpResponse MethodNotAllowed(std::string_view allowed, const RequestId& id, ConfigVersion version);
HttpResponse AddressesResponse(const AddressList& list, const RequestId& id, ConfigVersion version);
HttpResponse HealthResponse(bool accepts_work, const RequestId& id, ConfigVersion version);
HttpResponse CompletionResponse(const RequestId& id, ConfigVersion version, std::string_view text,
                                int tokens);
HttpResponse ServiceResponse(const RequestId& id, ServiceAnswer answer);

Headers StreamHeaders(const RequestId& id, ConfigVersion version);
std::string TokenEvent(const RequestId& id, int index, std::string_view text);
std::string ErrorEvent(const RequestId& id, const Error& error);
inline constexpr std::string_view kEndOfStreamEvent = "data: [DONE]\n\n";

/** Sends the response. Ignores write errors, which occur when the caller has disconnected. */
boost::asio::awaitable<void> SendResponse(HttpExchange& exchange, HttpResponse response);

/** Sends each token to the caller as soon as the backend produces it. */
class StreamSink final : public CompletionSink {
 public:
  StreamSink(HttpExchange& http_exchange, RequestId request_id)
      : exchange(http_exchange), id(std::move(request_id)) {}

  boost::asio::awaitable<Result<void>> OnStart(ConfigVersion version) override;
  boost::asio::awaitable<Result<void>> OnToken(std::string_view text) override;

  [[nodiscard]] bool started() const { return this->is_started; }

 private:
  HttpExchange& exchange;
  RequestId id;
  bool is_started = false;
  int tokens = 0;
};

/** Collects the tokens of a completion that is sent as a single response body. */
class BufferedSink final : public CompletionSink {
 public:
  explicit BufferedSink(std::size_t max_response_bytes) : max_bytes(max_response_bytes) {}

  boost::asio::awaitable<Result<void>> OnStart(ConfigVersion version) override;
  boost::asio::awaitable<Result<void>> OnToken(std::string_view text) override;

  [[nodiscard]] std::optional<ConfigVersion> version() const { return this->start_version; }
  [[nodiscard]] const std::string& text() const { return this->body; }
  [[nodiscard]] int tokens() const { return this->token_count; }

 private:
  std::size_t max_bytes;
  std::optional<ConfigVersion> start_version;
  std::string body;
  int token_count = 0;
};

}  // namespace detail

/**
 * The HTTP API for callers. Validates each request, passes it to the backend and converts the
 * result into an HTTP response.
 *
 *     auto api = CallerApi<Node>::Create(node, options);
 *     auto server = HttpServer::Create(io, "127.0.0.1:8080", api->Handler(), {});
 */
template <RequestBackend Backend>
class CallerApi : public std::enable_shared_from_this<CallerApi<Backend>> {
 public:
  static std::shared_ptr<CallerApi> Create(std::shared_ptr<Backend> backend,
                                           CallerApiOptions options) {
    return std::shared_ptr<CallerApi>(new CallerApi(std::move(backend), std::move(options)));
  }

  /** Returns a handler that shares ownership of this object. */
  HttpHandler Handler() {
    return [self = this->shared_from_this()](HttpExchange& exchange) {
      return self->Handle(exchange);
    };
  }

 private:
  CallerApi(std::shared_ptr<Backend> request_backend, CallerApiOptions api_options)
      : backend(std::move(request_backend)), options(std::move(api_options)) {}

  boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    const Result<RequestId> id = detail::ParseOrCreateRequestId(exchange.request());
    if (!id) return this->SendError(exchange, id.error(), RequestId());
    switch (detail::ParseCallerRoute(exchange.request().target)) {
      case detail::CallerRoute::kAddresses:
        return this->HandleAddresses(exchange, id.value());
      case detail::CallerRoute::kCompletions:
        return this->HandleCompletion(exchange, id.value());
      case detail::CallerRoute::kService:
        return this->HandleServiceCall(exchange, id.value());
      case detail::CallerRoute::kHealth:
        return this->HandleHealth(exchange, id.value());
      case detail::CallerRoute::kUnknown:
        break;
    }
    const Error error = NotRun(ErrorCode::kNotFound, "unknown API call");
    return this->SendError(exchange, error, id.value());
  }

  boost::asio::awaitable<void> SendError(HttpExchange& exchange, const Error& error,
                                         const RequestId& id) {
    return detail::SendResponse(
        exchange, detail::CallerErrorResponse(error, id, this->backend->ActiveConfig()));
  }

  boost::asio::awaitable<void> HandleAddresses(HttpExchange& exchange, const RequestId& id) {
    const ConfigVersion version = this->backend->ActiveConfig();
    if (exchange.request().method != "GET") {
      return detail::SendResponse(exchange, detail::MethodNotAllowed("GET", id, version));
    }
    const Result<ZoneId> zone = detail::ParseZone(exchange.request(), this->options);
    if (!zone) return this->SendError(exchange, zone.error(), id);
    return detail::SendResponse(
        exchange, detail::AddressesResponse(this->backend->Addresses(zone.value()), id, version));
  }

  boost::asio::awaitable<void> HandleHealth(HttpExchange& exchange, const RequestId& id) {
    const ConfigVersion version = this->backend->ActiveConfig();
    if (exchange.request().method != "GET" && exchange.request().method != "HEAD") {
      return detail::SendResponse(exchange, detail::MethodNotAllowed("GET, HEAD", id, version));
    }
    return detail::SendResponse(exchange,
                                detail::HealthResponse(this->backend->AcceptsWork(), id, version));
  }

  boost::asio::awaitable<void> HandleCompletion(HttpExchange& exchange, RequestId id) {
    if (exchange.request().method != "POST") {
      const ConfigVersion version = this->backend->ActiveConfig();
      HttpResponse rejection = detail::MethodNotAllowed("POST", id, version);
      co_return co_await detail::SendResponse(exchange, std::move(rejection));
    }
    const auto call = detail::ParseCompletion(exchange.request(), id, this->options, Clock::now());
    if (!call) co_return co_await this->SendError(exchange, call.error(), id);
    if (!this->backend->AcceptsWork())
      co_return co_await this->SendError(exchange, this->not_accepting_work_error, id);
    const CompletionRequest& request = call.value().request;
    if (call.value().stream) co_return co_await this->CompleteStreamed(exchange, request);
    co_return co_await this->CompleteBuffered(exchange, request);
  }

  boost::asio::awaitable<void> CompleteBuffered(HttpExchange& exchange, CompletionRequest request) {
    detail::BufferedSink sink(this->options.max_response_bytes);
    const Result<void> completed = co_await this->backend->Complete(request, sink);
    if (!completed) {
      const ConfigVersion version = sink.version().value_or(this->backend->ActiveConfig());
      HttpResponse failure = detail::CallerErrorResponse(completed.error(), request.id, version);
      co_return co_await detail::SendResponse(exchange, std::move(failure));
    }
    const ConfigVersion version = sink.version().value_or(this->backend->ActiveConfig());
    HttpResponse response =
        detail::CompletionResponse(request.id, version, sink.text(), sink.tokens());
    co_return co_await detail::SendResponse(exchange, std::move(response));
  }

  boost::asio::awaitable<void> CompleteStreamed(HttpExchange& exchange, CompletionRequest request) {
    detail::StreamSink sink(exchange, request.id);
    const Result<void> completed = co_await this->backend->Complete(request, sink);
    if (!sink.started()) {
      if (!completed) co_return co_await this->SendError(exchange, completed.error(), request.id);
      // A completion may have no tokens.
      const Result<void> stream_started = co_await sink.OnStart(this->backend->ActiveConfig());
      if (!stream_started) co_return;
    }
    const std::string final_event = completed ? std::string(detail::kEndOfStreamEvent)
                                              : detail::ErrorEvent(request.id, completed.error());
    const Result<void> written = co_await exchange.WriteChunk(final_event);
    if (!written) co_return;
    [[maybe_unused]] const Result<void> finished = co_await exchange.FinishStream();
  }

  boost::asio::awaitable<void> HandleServiceCall(HttpExchange& exchange, RequestId id) {
    const auto call = detail::ParseServiceCall(exchange.request(), id, this->options, Clock::now());
    if (!call) co_return co_await this->SendError(exchange, call.error(), id);
    const ServiceCall& service_call = call.value();
    if (!this->backend->AcceptsWork()) {
      co_return co_await this->SendError(exchange, NotAcceptingWorkError(service_call), id);
    }
    Result<ServiceAnswer> answer = co_await this->backend->CallService(service_call);
    if (!answer) co_return co_await this->SendError(exchange, answer.error(), id);
    HttpResponse response = detail::ServiceResponse(id, std::move(answer).value());
    co_return co_await detail::SendResponse(exchange, std::move(response));
  }

  const std::shared_ptr<Backend> backend;
  const CallerApiOptions options;
  const Error not_accepting_work_error =
      NotRun(ErrorCode::kUnavailable, "this node takes no new work");
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CALLER_CALLER_API_H_
