#ifndef LIMPETFALL_GATEWAY_HTTP_CONNECTION_H_
#define LIMPETFALL_GATEWAY_HTTP_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/response-head.h"
#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

namespace detail {

/**
 * Body of a response as a string. Unlike `string_body` of Beast, it does not reserve the length
 * that the peer announces, which may be larger than the memory.
 */
struct UnreservedStringBody {
  using value_type = std::string;  // NOLINT(readability-identifier-naming): required by Beast.

  class reader {  // NOLINT(readability-identifier-naming): required by Beast.
   public:
    template <bool isRequest, typename Fields>
    reader(boost::beast::http::header<isRequest, Fields>& /*header*/, std::string& target)
        : body(target) {}

    void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& error) {
      error = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      const std::size_t length = boost::asio::buffer_size(buffers);
      const std::size_t start = this->body.size();
      this->body.resize(start + length);
      return boost::asio::buffer_copy(boost::asio::buffer(this->body) + start, buffers);
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    std::string& body;
  };
};

}  // namespace detail

/**
 * An HTTP/1.1 connection to a server, used by one coroutine for one request at a time. Other code
 * may interrupt that coroutine by `Close`. Runs on one thread.
 *
 * Unlike `HttpClient`, it never repeats a request by itself, returns the bytes of a response as
 * they arrive, and starts no thread.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  /** Connects to `address`. Errors have the verdict `kNotRun`. */
  static boost::asio::awaitable<Result<std::shared_ptr<HttpConnection>>> Connect(
      boost::asio::io_context& io, std::string address, Deadline deadline);

  HttpConnection(boost::asio::io_context& io, std::string peer);

  /** Sends a request. After an error, the peer may still have received it. */
  boost::asio::awaitable<Result<void>> Send(const HttpRequest& request, Deadline deadline);

  /** Reads the status line and the headers of a response, past interim ones. After an error,
   * nothing that the peer has sent may be used: the connection must be closed. */
  boost::asio::awaitable<Result<ResponseHead>> ReadHead(Deadline deadline);

  /**
   * Appends the next bytes of the body to `body`. Returns whether the response is complete. It is
   * an error if the response is truncated, according to its length or chunks, the connection
   * reset, or the header or trailer of a chunk too long.
   */
  boost::asio::awaitable<Result<bool>> ReadSome(std::string& body, Deadline deadline);

  /** Sends a request and reads the complete response, whose body has at most `max_body_bytes`. */
  boost::asio::awaitable<Result<HttpResponse>> Call(const HttpRequest& request, Deadline deadline,
                                                    std::size_t max_body_bytes);

  /**
   * Called when a deadline has passed. It may return a later deadline to continue waiting, so that
   * the user can base timeouts on more than this connection. Removed at the end of the response.
   */
  using ExpiryHook = std::function<Deadline(TimePoint now)>;
  void SetExpiryHook(ExpiryHook hook) { this->expiry_hook = std::move(hook); }

  /** From now on, an expired deadline fails the read but keeps the connection; see `Interrupt`. */
  void InterruptOnExpiry() { this->interrupt_on_expiry = true; }

  /** Fails the current read, or else the next one. The read can be repeated afterwards. */
  void Interrupt();

  /** Calls `on_readable` once, when bytes arrive or the connection ends while no read is active. */
  void NotifyReadable(std::function<void()> on_readable);

  /** Closes the connection. A coroutine that waits for it gets an error. */
  void Close();

  [[nodiscard]] bool IsOpen() const { return this->socket.is_open(); }

  /** Returns whether the idle timeout of the connection has passed. */
  [[nodiscard]] bool IsExpired(TimePoint now) const { return this->reusable_until <= now; }

  /** Returns whether the last response ended cleanly and another request can be sent. */
  [[nodiscard]] bool IsReusable(TimePoint now);

  [[nodiscard]] const std::string& address() const { return this->peer_address; }

 private:
  using Parser = boost::beast::http::response_parser<detail::UnreservedStringBody>;

  void SetDeadline(Deadline end);
  void FinishResponse();

  /** Reads the head of the next response, interim or final. Returns the size of an interim one. */
  boost::asio::awaitable<Result<std::size_t>> ParseHead();

  /** Passes the received bytes to the parser and returns how many it consumed. */
  [[nodiscard]] Result<std::size_t> ParseBuffer();
  [[nodiscard]] Error Failure(const std::string& step, const boost::system::error_code& error);
  [[nodiscard]] Error MalformedHead(const Error& error) const;

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string peer_address;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  Deadline deadline = Deadline::max();
  Deadline timer_expiry = Deadline::max();
  ExpiryHook expiry_hook;
  Deadline reusable_until;  ///< From then on, the peer may close the idle connection.
  bool expired = false;
  bool interrupted = false;  ///< The current read, or else the next one, fails.
  bool interrupt_on_expiry = false;
  bool complete = false;
};

/** Keeps idle connections to servers for reuse, by address. */
class ConnectionPool {
 public:
  explicit ConnectionPool(boost::asio::io_context& context) : io(context) {}

  /** Returns an idle connection, or else a new one. */
  boost::asio::awaitable<Result<std::shared_ptr<HttpConnection>>> Acquire(std::string address,
                                                                          Deadline deadline);

  /** Returns a connection to the pool if it can be reused; closes it otherwise. */
  void Release(std::shared_ptr<HttpConnection> connection);

  /** Closes the idle connections to an address, for example after a reset there. */
  void CloseIdle(const std::string& address);

  /** Closes the idle connections that can no longer be used. */
  void CloseExpired(TimePoint now);

 private:
  boost::asio::io_context& io;
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_HTTP_CONNECTION_H_
