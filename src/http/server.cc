#include "http/server.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/lexical_cast.hpp>
#include <limits>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/log-rate-limit.h"
#include "base/log.h"
#include "http/address.h"
#include "http/error-response.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

using Parser = http::request_parser<http::string_body>;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// Maximum number of pipelined bytes read ahead; further bytes stay in the socket.
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;

// Bytes of a body that are read at once.
constexpr std::size_t kMaxReadBytes = 64 << 10;

// "0\r\n\r\n".
constexpr std::size_t kLastChunkBytes = 5;

// Bytes that are read at once when they are discarded. Very many connections may do so.
constexpr std::size_t kDiscardBytes = 4 << 10;

// Closing a socket that has unread bytes discards a response still in transit. If a request was not
// read to its end, the rest is therefore read and discarded for up to this time.
constexpr Milliseconds kLingerTimeout{1000};

// Delay before the next accept after a failed one, for example without free file descriptors.
constexpr Milliseconds kAcceptRetryDelay{50};

std::string FormatEndpoint(const tcp::endpoint& endpoint) {
  return boost::lexical_cast<std::string>(endpoint);
}

/** Replaces control characters, which could end the header early. */
std::string SanitizeHeaderValue(std::string text) {
  for (char& c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f) c = ' ';
  }
  return text;
}

template <typename Message>
void SetHeaders(Message& message, const Headers& headers) {
  for (const auto& [name, value] : headers) message.set(name, SanitizeHeaderValue(value));
}

bool StatusAllowsBody(int status) { return status >= 200 && status != 204 && status != 304; }

class Connection;

/** State shared by all connections of a server. */
struct ServerCore {
  ServerCore(asio::io_context& io, HttpHandler http_handler, HttpServerOptions server_options)
      : handler(std::move(http_handler)),
        options(std::move(server_options)),
        acceptor(asio::make_strand(io)),
        accept_timer(this->acceptor.get_executor()) {}

  const HttpHandler handler;
  const HttpServerOptions options;
  tcp::acceptor acceptor;  ///< Once open, accessed on its strand only.
  asio::steady_timer accept_timer;
  std::atomic<bool> keep_alive_ended = false;  ///< Responses announce that the connection closes.
  std::atomic<bool> stopping = false;          ///< Idle connections are closed.
  std::atomic<bool> destroyed = false;         ///< The handler must not be called any more.
  std::atomic<std::size_t> in_flight = 0;
  std::atomic<std::uint64_t> requests_begun = 0;
  std::atomic<std::uint64_t> connections_shed = 0;

  std::mutex mutex;
  std::unordered_map<Connection*, std::weak_ptr<Connection>> connections;  ///< Guarded by `mutex`.

  LogRateLimit overload_log_limit;  ///< Guarded by `mutex`.

  /** Logs that a connection or a request was given up because a limit is reached. */
  void LogOverload(const char* limit) {
    const std::lock_guard lock(this->mutex);
    if (!this->overload_log_limit.TryTake(Clock::now())) return;
    Log(LogLevel::kWarning, "listener_overloaded",
        {{"limit", limit},
         {"connections", this->connections.size()},
         {"suppressed", this->overload_log_limit.TakeSuppressed()}});
  }

  std::vector<std::shared_ptr<Connection>> Connections() {
    const std::lock_guard lock(this->mutex);
    std::vector<std::shared_ptr<Connection>> open_connections;
    for (const auto& [key, weak] : this->connections) {
      if (auto connection = weak.lock()) open_connections.push_back(std::move(connection));
    }
    return open_connections;
  }
};

using CorePtr = std::shared_ptr<ServerCore>;

/** A socket, whose requests are served one at a time. All code runs on the socket's strand. */
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  enum class Phase { kIdle, kReading, kHandling, kClosing };

  Connection(CorePtr server, tcp::socket accepted)
      : core(std::move(server)),
        socket(std::move(accepted)),
        timer(this->socket.get_executor()),
        buffer(this->core->options.max_header_bytes + kMaxPipelinedBytes) {}

  ~Connection() {
    const std::lock_guard lock(this->core->mutex);
    this->core->connections.erase(this);
  }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Adds the connection to the server's list. At the limit, the one that has waited longest for a
   * request is closed; returns false if all are in use. */
  bool Register() {
    const std::vector<std::shared_ptr<Connection>> open = this->core->Connections();
    if (open.size() >= this->core->options.max_connections) {
      ++this->core->connections_shed;
      this->core->LogOverload("connections");
      if (!CloseLongestWaiting(open)) return false;
    }
    const std::lock_guard lock(this->core->mutex);
    this->core->connections.emplace(this, this->weak_from_this());
    return true;
  }

  /** Sends as much of a 503 response as possible without blocking, then closes. */
  void RejectOverLimit() {
    const HttpResponse rejection = ErrorResponse(
        503, NotRun(ErrorCode::kResourceExhausted, "the connection limit of the server is reached"),
        "");
    auto message = this->MakeMessage(rejection, false);
    message.set(http::field::retry_after, "1");
    error_code error;
    this->socket.non_blocking(true, error);
    if (!error) http::write(this->socket, message, error);
    this->Close();
  }

  void Close() {
    this->phase = Phase::kClosing;
    error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
  }

  /** Closes the connection unless a request has been read completely and is not answered. A request
   * of which bytes have arrived has not run. */
  void CloseIfWaiting() {
    if (this->phase != Phase::kHandling) this->Close();
  }

  /** Ends the reading of a request, whose memory is needed for others. */
  void DropRequest() {
    if (this->phase != Phase::kReading) return;
    this->dropped = true;
    error_code ignored;
    this->socket.cancel(ignored);
  }

  /** Closes the connection unless a request is in progress. */
  void CloseIfIdle() {
    if (this->phase == Phase::kIdle && !this->HasUnreadBytes()) this->Close();
  }

  [[nodiscard]] tcp::socket::executor_type executor() { return this->socket.get_executor(); }

  /** Returns how many sent bytes the peer has not acknowledged yet. */
  [[nodiscard]] std::size_t unsent_bytes() {
    int bytes = 0;
    if (!this->socket.is_open() || ioctl(this->socket.native_handle(), SIOCOUTQ, &bytes) != 0)
      return 0;
    return static_cast<std::size_t>(bytes);
  }

  [[nodiscard]] bool IsPeerClosed() {
    pollfd peer{this->socket.native_handle(), POLLRDHUP, 0};
    return !this->socket.is_open() || ::poll(&peer, 1, 0) > 0;
  }

  static asio::awaitable<void> Run(std::shared_ptr<Connection> self) {
    error_code ignored;
    self->socket.set_option(tcp::no_delay(true), ignored);
    while (co_await self->ServeNext()) {
    }
    self->Close();
  }

 private:
  friend class Exchange;

  /** Closes the connection that has waited longest for a request or the rest of one. Returns false
   * if there is none. */
  static bool CloseLongestWaiting(const std::vector<std::shared_ptr<Connection>>& connections) {
    const auto longest =
        std::min_element(connections.begin(), connections.end(), [](const auto& a, const auto& b) {
          return a->waiting_since.load() < b->waiting_since.load();
        });
    if (longest == connections.end() || (*longest)->waiting_since == kNotWaiting) return false;
    const std::shared_ptr<Connection>& chosen = *longest;
    chosen->waiting_since = kNotWaiting;
    asio::post(chosen->executor(), [chosen] { chosen->CloseIfWaiting(); });
    return true;
  }

  /** What to do with the connection after a request. */
  enum class NextAction { kKeepAlive, kLinger, kClose };

  template <typename Body>
  using Message = http::response<Body>;

  Message<http::string_body> MakeMessage(const HttpResponse& response, bool keep_alive) const {
    Message<http::string_body> message(static_cast<http::status>(response.status), 11);
    SetHeaders(message, response.headers);
    message.keep_alive(keep_alive);
    if (StatusAllowsBody(response.status)) {
      message.body() = response.body;
      message.prepare_payload();
    }
    return message;
  }

  /** Returns whether part of a further request has arrived. */
  [[nodiscard]] bool HasUnreadBytes() const {
    error_code ignored;
    return this->buffer.size() > 0 || this->socket.available(ignored) > 0;
  }

  /** Sets the deadline of the current phase. */
  void SetDeadline(Deadline end) {
    this->deadline = end;
    if (end >= this->timer_expiry) return;
    this->timer_expiry = end;
    this->timer.expires_at(end);
    this->timer.async_wait([weak = this->weak_from_this()](error_code error) {
      if (error) return;
      if (const auto self = weak.lock()) self->OnTimer();
    });
  }

  void OnTimer() {
    this->timer_expiry = Deadline::max();
    if (Clock::now() < this->deadline) return this->SetDeadline(this->deadline);
    this->timed_out = true;
    error_code ignored;
    // Cancelling the read keeps the socket open for the 408 response.
    if (this->phase == Phase::kReading) {
      this->socket.cancel(ignored);
    } else {
      this->socket.close(ignored);
    }
  }

  /** Serves one request; returns whether the connection can serve another. */
  asio::awaitable<bool> ServeNext() {
    if (this->core->stopping && !this->HasUnreadBytes()) co_return false;
    if (!co_await this->WaitForFirstBytes()) co_return false;
    // The connection may have been closed after the bytes were read.
    if (!this->socket.is_open()) co_return false;
    this->phase = Phase::kReading;
    // Counted from the first byte, so that a stopping process does not exit during a request.
    ++this->core->in_flight;
    ++this->core->requests_begun;
    std::shared_ptr<void> in_flight_guard(nullptr,
                                          [core = this->core](void*) { --core->in_flight; });
    const NextAction next = co_await this->ServeRequest();
    in_flight_guard.reset();
    if (next == NextAction::kLinger) co_await this->Linger();
    if (next != NextAction::kKeepAlive || !this->socket.is_open()) co_return false;
    this->phase = Phase::kIdle;
    co_return true;
  }

  asio::awaitable<NextAction> ServeRequest() {
    this->SetDeadline(Clock::now() + this->core->options.request_read_timeout);
    Parser parser;
    std::optional<RequestMemory::Entry> memory;
    const error_code error = co_await this->ReadRequest(parser, memory);
    this->SetDeadline(Deadline::max());
    this->waiting_since = kNotWaiting;
    if (error) co_return co_await this->RespondToReadError(parser, error);
    this->phase = Phase::kHandling;
    if (memory) memory->OnComplete();
    co_return co_await this->Handle(parser);
  }

  /** Waits for the first bytes of a request; returns false if there will be none. */
  asio::awaitable<bool> WaitForFirstBytes() {
    this->waiting_since = Clock::now().time_since_epoch().count();
    if (this->buffer.size() > 0) co_return true;
    this->SetDeadline(Clock::now() + this->core->options.idle_timeout);
    constexpr std::size_t kFirstRead = 4096;
    auto space = this->buffer.prepare(kFirstRead);
    const auto [error, length] = co_await this->socket.async_read_some(space, kNoThrow);
    if (error) co_return false;
    this->buffer.commit(length);
    co_return true;
  }

  asio::awaitable<error_code> ReadRequest(Parser& parser,
                                          std::optional<RequestMemory::Entry>& memory) {
    parser.header_limit(static_cast<std::uint32_t>(this->core->options.max_header_bytes));
    parser.body_limit(this->core->options.max_body_bytes);
    const auto [header_error, header_length] =
        co_await http::async_read_header(this->socket, this->buffer, parser, kNoThrow);
    if (header_error) co_return header_error;
    if (parser.get().version() != 11) co_return make_error_code(http::error::bad_version);
    // A body in an unknown coding has no known end, and its rest would be taken for a request.
    const bool coded = parser.get().count(http::field::transfer_encoding) > 0;
    if (coded && !parser.chunked()) co_return make_error_code(http::error::bad_transfer_encoding);
    if (parser.is_done()) co_return error_code();
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      const Message<http::empty_body> continue_response(http::status::continue_, 11);
      const auto [error, length] =
          co_await http::async_write(this->socket, continue_response, kNoThrow);
      if (error) co_return error;
    }
    co_return co_await this->ReadBody(parser, memory);
  }

  /** Parses what has been read, or reads more of the body if that is too little. */
  asio::awaitable<error_code> ReadSome(Parser& parser) {
    // Beast 1.81 asserts that this many bytes are present when it parses the last chunk. Every
    // chunked body ends with as many, and the parser consumes them together.
    const std::size_t least_bytes = parser.chunked() ? kLastChunkBytes : 1;
    if (least_bytes <= this->buffer.size()) {
      error_code parse_error;
      this->buffer.consume(parser.put(this->buffer.data(), parse_error));
      if (parse_error != http::error::need_more) co_return parse_error;
    }
    const std::size_t size = beast::read_size(this->buffer, kMaxReadBytes);
    if (size == 0) co_return make_error_code(http::error::buffer_overflow);
    const auto space = this->buffer.prepare(size);
    auto [error, length] = co_await this->socket.async_read_some(space, kNoThrow);
    this->buffer.commit(length);
    if (error == asio::error::eof) {
      error = error_code();
      parser.put_eof(error);
    }
    co_return error;
  }

  asio::awaitable<error_code> ReadBody(Parser& parser,
                                       std::optional<RequestMemory::Entry>& memory) {
    if (this->core->options.request_memory) {
      memory.emplace(*this->core->options.request_memory, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self) asio::post(self->executor(), [self] { self->DropRequest(); });
      });
    }
    parser.eager(true);
    while (!parser.is_done()) {
      const error_code error = co_await this->ReadSome(parser);
      if (error) co_return error;
      const std::size_t held = parser.get().body().capacity() + this->buffer.capacity();
      if (!memory || memory->Resize(held, Clock::now())) continue;
      this->dropped = true;
      co_return make_error_code(asio::error::operation_aborted);
    }
    co_return error_code();
  }

  asio::awaitable<NextAction> RespondToReadError(Parser& parser, error_code error) {
    const bool disconnected =
        error == http::error::end_of_stream || error == asio::error::connection_reset;
    if (disconnected || !this->socket.is_open()) co_return NextAction::kClose;
    const bool has_reason = this->timed_out || this->dropped;
    if (error == asio::error::operation_aborted && !has_reason) co_return NextAction::kClose;
    if (this->dropped) co_return co_await this->RefuseForMemory(parser);
    const HttpServerOptions& options = this->core->options;
    int status = 400;
    std::string message = "the request is malformed: " + error.message();
    if (this->timed_out) {
      status = 408;
      message = "the request was not sent within " +
                std::to_string(options.request_read_timeout.count()) + " ms";
    } else if (error == http::error::header_limit) {
      status = 431;
      message = "the header exceeds " + std::to_string(options.max_header_bytes) + " bytes";
    } else if (error == http::error::body_limit) {
      status = 413;
      message = "the body exceeds " + std::to_string(options.max_body_bytes) + " bytes";
    } else if (error == http::error::partial_message) {
      message = "the request ends before its declared length";
    }
    std::string request_id;
    if (parser.is_header_done()) request_id = std::string(parser.get()["X-Request-Id"]);
    if (!IsRequestId(request_id)) request_id.clear();
    this->timed_out = false;
    const HttpResponse response =
        ErrorResponse(status, NotRun(ErrorCode::kInvalidArgument, message), request_id);
    const auto response_message = this->MakeMessage(response, false);
    const bool written = co_await this->Write(response_message);
    co_return written ? NextAction::kLinger : NextAction::kClose;
  }

  /** Responds to a request that was not read to its end, so it has not run. */
  asio::awaitable<NextAction> RefuseForMemory(Parser& parser) {
    this->dropped = false;
    this->core->LogOverload("request_memory");
    std::string request_id(parser.get()["X-Request-Id"]);
    if (!IsRequestId(request_id)) request_id.clear();
    std::string().swap(parser.get().body());
    const HttpResponse response = ErrorResponse(
        503, NotRun(ErrorCode::kResourceExhausted, "the memory for requests is used up"),
        request_id);
    auto message = this->MakeMessage(response, false);
    message.set(http::field::retry_after, "1");
    const bool written = co_await this->Write(message);
    co_return written ? NextAction::kLinger : NextAction::kClose;
  }

  /** Writes a message within the write timeout; returns whether it was written completely. */
  template <typename Body>
  asio::awaitable<bool> Write(const Message<Body>& message) {
    this->phase = Phase::kHandling;
    this->SetDeadline(Clock::now() + this->core->options.write_timeout);
    const auto [error, length] = co_await http::async_write(this->socket, message, kNoThrow);
    this->SetDeadline(Deadline::max());
    co_return !error;
  }

  /** Shuts down sending and discards what the client still sends. */
  asio::awaitable<void> Linger() {
    error_code error;
    this->socket.shutdown(tcp::socket::shutdown_send, error);
    if (error) co_return;
    this->SetDeadline(Clock::now() + kLingerTimeout);
    this->buffer = beast::flat_buffer(kDiscardBytes);
    // The response has been sent, so this connection is the first to make room for another.
    this->phase = Phase::kClosing;
    this->waiting_since = 0;
    for (;;) {
      const auto space = this->buffer.prepare(kDiscardBytes);
      const auto [read_error, length] = co_await this->socket.async_read_some(space, kNoThrow);
      if (read_error) co_return;
    }
  }

  asio::awaitable<NextAction> Handle(Parser& parser);

  /** Completes when the peer closes the connection. Buffers bytes of the next request. */
  asio::awaitable<void> WatchForDisconnect() {
    constexpr std::size_t kReadSize = 4096;
    while (this->buffer.size() < kMaxPipelinedBytes) {
      const auto space = this->buffer.prepare(kReadSize);
      const auto [error, length] = co_await this->socket.async_read_some(space, kNoThrow);
      if (error) {
        this->peer_closed = error != asio::error::operation_aborted;
        co_return;
      }
      this->buffer.commit(length);
    }
    const auto wait = tcp::socket::wait_error;
    const auto [error] = co_await this->socket.async_wait(wait, kNoThrow);
    this->peer_closed = error != asio::error::operation_aborted;
  }

  const CorePtr core;
  tcp::socket socket;
  asio::steady_timer timer;
  beast::flat_buffer buffer;
  Phase phase = Phase::kIdle;
  Deadline deadline = Deadline::max();
  Deadline timer_expiry = Deadline::max();  ///< Expiry of the timer; max if it is not set.
  /** Time on the clock since which the connection waits for a request or the rest of one. */
  static constexpr Clock::rep kNotWaiting = std::numeric_limits<Clock::rep>::max();
  std::atomic<Clock::rep> waiting_since = kNotWaiting;
  bool timed_out = false;
  bool dropped = false;  ///< The memory of the request is needed for others.
  bool peer_closed = false;
};

class Exchange final : public HttpExchange {
 public:
  Exchange(Connection& owner, HttpRequest http_request, bool keeps_alive)
      : connection(owner), http_request(std::move(http_request)), keep_alive(keeps_alive) {}

  [[nodiscard]] const HttpRequest& request() const override { return this->http_request; }

  [[nodiscard]] bool response_started() const { return this->state != State::kOpen; }

  /** Returns whether a complete response was sent and the connection can be kept alive. */
  [[nodiscard]] bool reusable() const { return this->state == State::kDone && this->keep_alive; }
  [[nodiscard]] bool done() const { return this->state == State::kDone; }

  asio::awaitable<Result<void>> Send(HttpResponse response) override {
    if (this->state != State::kOpen) co_return CallOutOfOrder();
    this->state = State::kWriteIncomplete;
    this->KeepAliveUnlessStopping();
    const auto message = this->connection.MakeMessage(response, this->keep_alive);
    const error_code error = co_await this->WriteMessage(message);
    if (error) co_return CallerDisconnected(error);
    this->state = State::kDone;
    co_return success();
  }

  asio::awaitable<Result<void>> StartStream(int status, Headers headers) override {
    if (this->state != State::kOpen) co_return CallOutOfOrder();
    this->state = State::kWriteIncomplete;
    this->KeepAliveUnlessStopping();
    http::response<http::empty_body> message(static_cast<http::status>(status), 11);
    SetHeaders(message, headers);
    message.keep_alive(this->keep_alive);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    this->StartWriteTimeout();
    const auto [error, length] =
        co_await http::async_write_header(this->connection.socket, serializer, kNoThrow);
    this->ClearWriteTimeout();
    if (error) co_return CallerDisconnected(error);
    this->state = State::kStreaming;
    co_return success();
  }

  asio::awaitable<Result<void>> WriteChunk(std::string_view bytes) override {
    if (this->state != State::kStreaming) co_return CallOutOfOrder();
    // An empty chunk would mark the end of the body.
    if (bytes.empty() || this->IsHead()) co_return success();
    const auto chunk = http::make_chunk(asio::buffer(bytes));
    co_return co_await this->WriteBytes(chunk, State::kStreaming);
  }

  asio::awaitable<Result<void>> FinishStream() override {
    if (this->state != State::kStreaming) co_return CallOutOfOrder();
    if (this->IsHead()) {
      this->state = State::kDone;
      co_return success();
    }
    const auto end = http::make_chunk_last();
    co_return co_await this->WriteBytes(end, State::kDone);
  }

  [[nodiscard]] bool IsPeerClosed() const override { return this->connection.IsPeerClosed(); }

  void Abort() override {
    this->state = State::kWriteIncomplete;
    this->connection.Close();
  }

 private:
  // kWriteIncomplete: a write was started but did not complete, so nothing more may be sent.
  enum class State { kOpen, kStreaming, kDone, kWriteIncomplete };

  static Error CallOutOfOrder() {
    return MayHaveRun(ErrorCode::kInternal, "the response was already sent or never started");
  }

  static Error CallerDisconnected(error_code error) {
    return MayHaveRun(ErrorCode::kCancelled, "the caller disconnected: " + error.message());
  }

  [[nodiscard]] bool IsHead() const { return this->http_request.method == "HEAD"; }

  void KeepAliveUnlessStopping() {
    if (this->connection.core->keep_alive_ended) this->keep_alive = false;
  }

  void StartWriteTimeout() {
    this->connection.SetDeadline(Clock::now() + this->connection.core->options.write_timeout);
  }
  void ClearWriteTimeout() { this->connection.SetDeadline(Deadline::max()); }

  asio::awaitable<error_code> WriteMessage(const http::response<http::string_body>& message) {
    http::response_serializer<http::string_body, http::fields> serializer(
        const_cast<http::response<http::string_body>&>(message));
    this->StartWriteTimeout();
    error_code error;
    if (this->IsHead()) {
      const auto [head_error, length] =
          co_await http::async_write_header(this->connection.socket, serializer, kNoThrow);
      error = head_error;
    } else {
      const auto [write_error, length] =
          co_await http::async_write(this->connection.socket, serializer, kNoThrow);
      error = write_error;
    }
    this->ClearWriteTimeout();
    co_return error;
  }

  template <typename Buffers>
  asio::awaitable<Result<void>> WriteBytes(const Buffers& buffers, State next) {
    this->state = State::kWriteIncomplete;
    this->StartWriteTimeout();
    const auto [error, length] =
        co_await asio::async_write(this->connection.socket, buffers, kNoThrow);
    this->ClearWriteTimeout();
    if (error) co_return CallerDisconnected(error);
    this->state = next;
    co_return success();
  }

  Connection& connection;
  const HttpRequest http_request;
  bool keep_alive;
  State state = State::kOpen;
};

HttpRequest ExtractRequest(Parser& parser, std::string peer) {
  auto& message = parser.get();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.address = std::move(peer);
  request.target = std::string(message.target());
  for (const auto& field : message) {
    const std::string name(field.name_string());
    auto [entry, added] = request.headers.emplace(name, std::string(field.value()));
    // A repeated header must not be mistaken for a single one with either value.
    if (!added) entry->second.append(", ").append(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

asio::awaitable<void> RunHandler(const HttpHandler& handler, Exchange& exchange) {
  std::string failure;
  try {
    co_await handler(exchange);
    co_return;
  } catch (const std::exception& error) {
    failure = error.what();
  }
  // Cancellation ends a handler with an exception. After any other exception the exchange may still
  // be open, and the connection responds with 500.
  const auto cancellation = co_await asio::this_coro::cancellation_state;
  if (cancellation.cancelled() != asio::cancellation_type::none) co_return;
  const std::string_view id = GetHeader(exchange.request().headers, "X-Request-Id");
  Log(LogLevel::kError, "request_handler_failed", {{"request", id}, {"detail", failure}});
}

asio::awaitable<Connection::NextAction> Connection::Handle(Parser& parser) {
  using asio::experimental::awaitable_operators::operator||;
  error_code ignored;
  const bool keep_alive = parser.get().keep_alive();
  Exchange exchange(*this,
                    ExtractRequest(parser, FormatEndpoint(this->socket.remote_endpoint(ignored))),
                    keep_alive);
  co_await (RunHandler(this->core->handler, exchange) || this->WatchForDisconnect());
  if (this->peer_closed) co_return NextAction::kClose;
  if (!exchange.response_started()) {
    const std::string id = exchange.request().headers.contains("X-Request-Id")
                               ? exchange.request().headers.at("X-Request-Id")
                               : "";
    HttpResponse failure =
        ErrorResponse(500, MayHaveRun(ErrorCode::kInternal, "the handler sent no response"),
                      IsRequestId(id) ? id : "");
    [[maybe_unused]] const Result<void> sent = co_await exchange.Send(std::move(failure));
  }
  if (exchange.reusable()) co_return NextAction::kKeepAlive;
  co_return exchange.done() ? NextAction::kLinger : NextAction::kClose;
}

void Serve(const CorePtr& core, tcp::socket socket) {
  const auto connection = std::make_shared<Connection>(core, std::move(socket));
  if (!connection->Register()) return connection->RejectOverLimit();
  asio::co_spawn(connection->executor(), Connection::Run(connection), asio::detached);
}

asio::awaitable<void> Accept(CorePtr core, asio::io_context& io) {
  while (core->acceptor.is_open()) {
    auto [error, socket] = co_await core->acceptor.async_accept(asio::make_strand(io), kNoThrow);
    if (core->destroyed) co_return;
    if (!error) {
      Serve(core, std::move(socket));
    } else if (core->acceptor.is_open()) {
      core->accept_timer.expires_after(kAcceptRetryDelay);
      co_await core->accept_timer.async_wait(kNoThrow);
    }
  }
}

/** Accepts the connections that clients have already opened. Closing the listener resets them. */
void AcceptBacklog(const CorePtr& core, asio::io_context& io) {
  error_code error;
  core->acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(asio::make_strand(io));
    core->acceptor.accept(socket, error);
    if (!error) Serve(core, std::move(socket));
  }
}

class BeastServer final : public HttpServer {
 public:
  BeastServer(asio::io_context& context, CorePtr server_core, std::string bound)
      : io(context), core(std::move(server_core)), bound_address(std::move(bound)) {}

  ~BeastServer() override {
    this->core->destroyed = true;
    this->CloseListener();
    for (const auto& connection : this->core->Connections()) {
      asio::post(connection->executor(), [connection] { connection->Close(); });
    }
  }

  [[nodiscard]] std::string address() const override { return this->bound_address; }

  void EndKeepAlive() override { this->core->keep_alive_ended = true; }

  void StopListening() override { this->CloseListener(); }

  void StopAccepting() override {
    this->CloseListener();
    this->core->stopping = true;
    for (const auto& connection : this->core->Connections()) {
      asio::post(connection->executor(), [connection] { connection->CloseIfIdle(); });
    }
  }

  [[nodiscard]] std::size_t in_flight() const override { return this->core->in_flight; }

  [[nodiscard]] std::size_t connections() const override {
    const std::lock_guard lock(this->core->mutex);
    return this->core->connections.size();
  }

  [[nodiscard]] std::size_t unsent_bytes() const override {
    std::size_t bytes = 0;
    for (const auto& connection : this->core->Connections()) bytes += connection->unsent_bytes();
    return bytes;
  }

  [[nodiscard]] std::uint64_t connections_shed() const override {
    return this->core->connections_shed;
  }

  [[nodiscard]] std::uint64_t requests_begun() const override { return this->core->requests_begun; }

 private:
  void CloseListener() {
    this->core->keep_alive_ended = true;
    asio::post(this->core->acceptor.get_executor(), [core = this->core, &io = this->io] {
      if (!core->acceptor.is_open()) return;
      if (!core->destroyed) AcceptBacklog(core, io);
      error_code ignored;
      core->acceptor.close(ignored);
      core->accept_timer.cancel();
    });
  }

  asio::io_context& io;
  CorePtr core;
  std::string bound_address;
};

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Create(asio::io_context& io,
                                                       const std::string& address,
                                                       HttpHandler handler,
                                                       HttpServerOptions options) {
  BOOST_OUTCOME_TRY(const auto endpoint, ParseEndpoint(address));
  auto core = std::make_shared<ServerCore>(io, std::move(handler), std::move(options));
  error_code error;
  core->acceptor.open(endpoint.protocol(), error);
  if (!error) core->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) core->acceptor.bind(endpoint, error);
  if (!error) core->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return NotRun(ErrorCode::kUnavailable, "cannot listen on " + address + ": " + error.message());
  }
  const std::string bound = FormatEndpoint(core->acceptor.local_endpoint());
  asio::co_spawn(core->acceptor.get_executor(), Accept(core, io), asio::detached);
  return std::make_unique<BeastServer>(io, std::move(core), bound);
}

}  // namespace limpetfall
