#include "gateway/http-connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <limits>
#include <utility>

#include "http/address.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t kReadBytes = 8 << 10;

// Maximum size of a chunk header or trailer. The parser does not limit them itself.
constexpr std::size_t kMaxFramingBytes = 8 << 10;

// Idle timeout when the peer states none. Common servers keep idle connections for 5 s or more.
constexpr Milliseconds kDefaultIdleTimeout{4000};

// A request sent just before the peer's idle timeout may arrive after the peer has closed.
constexpr Milliseconds kIdleMargin{500};

// Maximum number of idle connections per address.
constexpr std::size_t kMaxIdleConnections = 32;

// TCP_USER_TIMEOUT: a connection ends when sent bytes or keep-alive probes stay unacknowledged for
// this long.
constexpr int kUserTimeoutMs = 3000;

/** Returns the idle timeout that a response states, which is in whole seconds. */
std::optional<Milliseconds> KeepAliveTimeout(const ResponseHead& head) {
  const auto value = head.Find("Keep-Alive");
  if (!value) return std::nullopt;
  const auto start = value->find("timeout=");
  if (start == std::string::npos) return std::nullopt;
  int seconds = 0;
  const char* text = value->data() + start + 8;
  std::from_chars(text, value->data() + value->size(), seconds);
  return Milliseconds(seconds * 1000);
}

/** Returns whether an error says that the bytes of a response do not follow the protocol. */
bool IsMalformed(const error_code& error) {
  return error.category() == http::make_error_code(http::error::bad_status).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

/** Returns the values of all fields with a name, joined by commas. */
std::optional<std::string> JoinValues(const http::fields& fields, http::field name) {
  const auto [begin, end] = fields.equal_range(name);
  if (begin == end) return std::nullopt;
  std::string joined;
  for (auto field = begin; field != end; ++field) {
    if (field != begin) joined += ", ";
    joined += std::string(field->value());
  }
  return joined;
}

/** Checks what the parser accepts although it leaves open what the response is. */
Result<void> CheckHead(const http::response_header<>& head) {
  BOOST_OUTCOME_TRY(CheckResponseStatus(static_cast<int>(head.result_int())));
  return CheckBodyFraming(static_cast<int>(head.version() % 10),
                          JoinValues(head, http::field::transfer_encoding),
                          JoinValues(head, http::field::content_length));
}

}  // namespace

HttpConnection::HttpConnection(asio::io_context& io, std::string peer)
    : socket(io), timer(io), peer_address(std::move(peer)) {}

asio::awaitable<Result<std::shared_ptr<HttpConnection>>> HttpConnection::Connect(
    asio::io_context& io, std::string address, Deadline deadline) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) co_return endpoint.error();
  const auto connection = std::make_shared<HttpConnection>(io, std::move(address));
  connection->SetDeadline(deadline);
  const auto [error] = co_await connection->socket.async_connect(endpoint.value(), kNoThrow);
  connection->SetDeadline(Deadline::max());
  if (error) {
    Error failure = connection->Failure("connecting", error);
    failure.verdict = Verdict::kNotRun;
    co_return failure;
  }
  error_code ignored;
  connection->socket.set_option(tcp::no_delay(true), ignored);
  const int user_timeout = kUserTimeoutMs;
  ::setsockopt(connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
               sizeof user_timeout);
  co_return connection;
}

Error HttpConnection::Failure(const std::string& step, const error_code& error) {
  this->complete = false;
  const bool timed_out = this->expired || std::exchange(this->interrupted, false);
  const std::string message = step + " " + this->peer_address + ": " +
                              (timed_out ? std::string("time-out") : error.message());
  if (timed_out) return MayHaveRun(ErrorCode::kDeadlineExceeded, message);
  if (error == http::error::header_limit) return MayHaveRun(ErrorCode::kResponseTooLarge, message);
  if (IsMalformed(error)) return MayHaveRun(ErrorCode::kUpstreamProtocol, message);
  const bool refused = error == asio::error::connection_refused;
  return MayHaveRun(refused ? ErrorCode::kUnavailable : ErrorCode::kUpstreamLost, message);
}

Error HttpConnection::MalformedHead(const Error& error) const {
  return {error.code, "reading from " + this->peer_address + ": " + error.message, error.verdict};
}

void HttpConnection::SetDeadline(Deadline end) {
  this->deadline = end;
  if (end >= this->timer_expiry) return;
  this->timer_expiry = end;
  this->timer.expires_at(end);
  this->timer.async_wait([weak = this->weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (error || !self) return;
    self->timer_expiry = Deadline::max();
    if (Clock::now() < self->deadline) return self->SetDeadline(self->deadline);
    if (self->expiry_hook) {
      const Deadline later = self->expiry_hook(Clock::now());
      if (later > Clock::now()) return self->SetDeadline(later);
    }
    if (self->interrupt_on_expiry) return self->Interrupt();
    self->expired = true;
    self->Close();
  });
}

void HttpConnection::Interrupt() {
  this->interrupted = true;
  error_code ignored;
  this->socket.cancel(ignored);
}

void HttpConnection::NotifyReadable(std::function<void()> on_readable) {
  this->socket.async_wait(tcp::socket::wait_read,
                          [on_readable = std::move(on_readable)](error_code error) {
                            if (error != asio::error::operation_aborted) on_readable();
                          });
}

void HttpConnection::Close() {
  error_code ignored;
  this->socket.close(ignored);
}

asio::awaitable<Result<void>> HttpConnection::Send(const HttpRequest& request, Deadline end) {
  this->complete = false;
  std::string message;
  message.reserve(512 + request.body.size());
  message.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : request.headers) {
    message.append(name).append(": ").append(value).append("\r\n");
  }
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body) {
    message.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
  message.append("\r\n").append(request.body);
  this->SetDeadline(end);
  const auto [error, length] =
      co_await asio::async_write(this->socket, asio::buffer(message), kNoThrow);
  if (error) co_return this->Failure("sending to", error);
  co_return success();
}

Result<std::size_t> HttpConnection::ParseBuffer() {
  if (this->buffer.size() == 0) return 0;
  error_code error;
  const std::size_t used = this->parser->put(this->buffer.data(), error);
  this->buffer.consume(used);
  if (error && error != http::error::need_more) return this->Failure("reading from", error);
  if (this->parser->is_header_done() && used == 0 && this->buffer.size() > kMaxFramingBytes)
    return this->Failure("reading from", http::error::header_limit);
  return used;
}

asio::awaitable<Result<std::size_t>> HttpConnection::ParseHead() {
  this->parser.emplace();
  this->parser->header_limit(kMaxHeadBytes);
  this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  // Beast adds the fields of a trailer to those of the head, so the head is taken first.
  this->parser->eager(false);
  std::size_t parsed_bytes = 0;
  for (;;) {
    const auto parsed = this->ParseBuffer();
    if (!parsed) co_return parsed.error();
    parsed_bytes += parsed.value();
    if (this->parser->is_header_done()) break;
    const auto [error, length] =
        co_await this->socket.async_read_some(this->buffer.prepare(kReadBytes), kNoThrow);
    if (error) co_return this->Failure("reading from", error);
    this->buffer.commit(length);
  }
  if (const auto valid = CheckHead(this->parser->get()); !valid)
    co_return this->MalformedHead(valid.error());
  co_return parsed_bytes;
}

asio::awaitable<Result<ResponseHead>> HttpConnection::ReadHead(Deadline end) {
  this->SetDeadline(end);
  BOOST_OUTCOME_CO_TRY(std::size_t head_bytes, co_await this->ParseHead());
  std::size_t interim_bytes = 0;
  while (IsInterim(static_cast<int>(this->parser->get().result_int()))) {
    interim_bytes += head_bytes;
    if (interim_bytes > kMaxInterimBytes)
      co_return this->Failure("reading from", http::error::header_limit);
    BOOST_OUTCOME_CO_TRY(head_bytes, co_await this->ParseHead());
  }
  ResponseHead head;
  head.status = static_cast<int>(this->parser->get().result_int());
  for (const auto& field : this->parser->get()) {
    head.headers.emplace(std::string(field.name_string()), std::string(field.value()));
  }
  this->parser->eager(true);
  const Milliseconds idle = KeepAliveTimeout(head).value_or(kDefaultIdleTimeout);
  const bool keep_alive = this->parser->get().keep_alive() && idle > kIdleMargin;
  this->reusable_until = keep_alive ? Clock::now() + idle - kIdleMargin : Deadline();
  co_return head;
}

asio::awaitable<Result<bool>> HttpConnection::ReadSome(std::string& body, Deadline end) {
  this->SetDeadline(end);
  for (;;) {
    std::string& arrived = this->parser->get().body();
    if (!arrived.empty()) {
      if (body.empty()) {
        body.swap(arrived);
      } else {
        body.append(arrived);
      }
      arrived.clear();
      if (!this->parser->is_done()) co_return false;
    }
    if (this->parser->is_done()) {
      this->FinishResponse();
      co_return true;
    }
    const auto parsed = this->ParseBuffer();
    if (!parsed) co_return parsed.error();
    if (parsed.value() > 0) continue;
    if (this->interrupted) co_return this->Failure("reading from", asio::error::timed_out);
    const auto [error, length] =
        co_await this->socket.async_read_some(this->buffer.prepare(kReadBytes), kNoThrow);
    if (error == asio::error::eof) {
      error_code parse_error;
      this->parser->put_eof(parse_error);
      if (parse_error) co_return this->Failure("reading from", parse_error);
      this->reusable_until = Deadline();
      continue;
    }
    if (error) co_return this->Failure("reading from", error);
    this->buffer.commit(length);
  }
}

void HttpConnection::FinishResponse() {
  this->SetDeadline(Deadline::max());
  this->expiry_hook = nullptr;
  this->interrupt_on_expiry = false;
  this->interrupted = false;
  // Bytes after a complete response belong to no request, so the connection cannot be reused.
  this->complete = this->buffer.size() == 0;
}

asio::awaitable<Result<HttpResponse>> HttpConnection::Call(const HttpRequest& request, Deadline end,
                                                           std::size_t max_body_bytes) {
  BOOST_OUTCOME_CO_TRY(co_await this->Send(request, end));
  BOOST_OUTCOME_CO_TRY(auto head, co_await this->ReadHead(end));
  HttpResponse response{head.status, std::move(head.headers), {}};
  for (;;) {
    BOOST_OUTCOME_CO_TRY(const bool done, co_await this->ReadSome(response.body, end));
    if (response.body.size() > max_body_bytes) {
      this->Close();
      co_return MayHaveRun(ErrorCode::kResponseTooLarge,
                           "the response of " + this->peer_address + " exceeds " +
                               std::to_string(max_body_bytes) + " bytes");
    }
    if (done) co_return response;
  }
}

bool HttpConnection::IsReusable(TimePoint now) {
  if (!this->complete || !this->socket.is_open() || this->IsExpired(now)) return false;
  // A readable idle connection was closed by the peer or contains an unsolicited response.
  error_code error;
  this->socket.non_blocking(true, error);
  char byte = 0;
  this->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

asio::awaitable<Result<std::shared_ptr<HttpConnection>>> ConnectionPool::Acquire(
    std::string address, Deadline deadline) {
  auto& connections = this->idle[address];
  const TimePoint now = Clock::now();
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (connection->IsReusable(now)) co_return connection;
  }
  co_return co_await HttpConnection::Connect(this->io, std::move(address), deadline);
}

void ConnectionPool::Release(std::shared_ptr<HttpConnection> connection) {
  if (!connection->IsReusable(Clock::now())) {
    connection->Close();
    return;
  }
  auto& connections = this->idle[connection->address()];
  if (connections.size() < kMaxIdleConnections) connections.push_back(std::move(connection));
}

void ConnectionPool::CloseIdle(const std::string& address) { this->idle.erase(address); }

void ConnectionPool::CloseExpired(TimePoint now) {
  const auto is_expired = [now](const auto& connection) { return connection->IsExpired(now); };
  for (auto& [address, connections] : this->idle) std::erase_if(connections, is_expired);
  std::erase_if(this->idle, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace limpetfall
