#ifndef LIMPETFALL_GATEWAY_HTTP_CONNECTION_H_
#define LIMPETFALL_GATEWAY_HTTP_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

struct ResponseHead {
  int status = 0;
  Headers headers;

  /** Returns the value of a header, or nothing. */
  [[nodiscard]] std::optional<std::string> Find(const std::string& name) const;
};

/**
 * One HTTP/1.1 connection to a server, used for one request at a time by one coroutine. The
 * coroutine may be interrupted by `Close` from outside. Runs on one thread.
 *
 * Unlike `HttpClient` it never repeats a request by itself, hands on the bytes of an answer as they
 * arrive, and adds no thread.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  /** Connects; the error's verdict is `kNotRun`. */
  static boost::asio::awaitable<Result<std::shared_ptr<HttpConnection>>> Connect(
      boost::asio::io_context& io, std::string address, Deadline deadline);

  HttpConnection(boost::asio::io_context& io, std::string peer);

  /** Sends a request. After an error the peer may have received it. */
  boost::asio::awaitable<Result<void>> Send(const HttpRequest& request, Deadline deadline);

  /** Reads up to the end of the header. */
  boost::asio::awaitable<Result<ResponseHead>> ReadHead(Deadline deadline);

  /**
   * Moves the next bytes of the body behind `body`. Returns whether the answer is complete. An
   * answer that breaks off, by length, chunk or reset, is an error.
   */
  boost::asio::awaitable<Result<bool>> ReadSome(std::string& body, Deadline deadline);

  /** Sends a request and reads the whole answer. */
  boost::asio::awaitable<Result<HttpResponse>> Call(const HttpRequest& request, Deadline deadline);

  /**
   * Asked when a deadline has passed; returns a later one to wait on. Lets the owner judge silence
   * by more than this connection. Dropped at the end of the answer.
   */
  using ExpiryHook = std::function<Deadline(TimePoint now)>;
  void SetExpiryHook(ExpiryHook hook) { this->expiry_hook = std::move(hook); }

  /** From now on a read whose deadline passes ends with an error and may be tried again. */
  void InterruptOnExpiry() { this->interrupt_on_expiry = true; }

  /** Ends the read under way, or else the next one, with an error; it may be tried again. */
  void Interrupt();

  /** Calls `on_readable` once when bytes arrive, or the connection ends, while nothing reads. */
  void NotifyReadable(std::function<void()> on_readable);

  /** Ends whatever is under way; the waiting coroutine gets an error. */
  void Close();

  [[nodiscard]] bool IsOpen() const { return this->socket.is_open(); }

  /** Says whether the last answer ended cleanly and nothing speaks against another request. */
  [[nodiscard]] bool IsReusable(TimePoint now);

  [[nodiscard]] const std::string& address() const { return this->peer_address; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void SetDeadline(Deadline end);
  void FinishResponse();

  /** Hands what has arrived to the parser; returns how many bytes it took. */
  [[nodiscard]] Result<std::size_t> ParseBuffer();
  [[nodiscard]] Error Failure(const std::string& step, const boost::system::error_code& error);

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string peer_address;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  Deadline deadline = Deadline::max();
  Deadline timer_expiry = Deadline::max();
  ExpiryHook expiry_hook;
  Deadline reusable_until;  ///< The peer closes the idle connection after this.
  bool expired = false;
  bool interrupted = false;  ///< The next read, or the one under way, ends with an error.
  bool interrupt_on_expiry = false;
  bool complete = false;
};

/** Idle connections to servers, by address. */
class ConnectionPool {
 public:
  explicit ConnectionPool(boost::asio::io_context& context) : io(context) {}

  /** Returns an idle connection or a new one. */
  boost::asio::awaitable<Result<std::shared_ptr<HttpConnection>>> Acquire(std::string address,
                                                                          Deadline deadline);

  /** Takes a connection back if it can be used again. */
  void Release(std::shared_ptr<HttpConnection> connection);

  /** Closes the idle connections to an address, for example after a reset there. */
  void CloseIdle(const std::string& address);

 private:
  boost::asio::io_context& io;
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_HTTP_CONNECTION_H_
