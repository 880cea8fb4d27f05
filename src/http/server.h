#ifndef LIMPETFALL_HTTP_SERVER_H_
#define LIMPETFALL_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/request-memory.h"
#include "http/client.h"

namespace limpetfall {

/**
 * A request and the means to respond to it. The response always goes to the socket object on which
 * the request arrived. All calls run on the connection's strand.
 */
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequest& request() const = 0;

  /** Sends a complete response. */
  virtual boost::asio::awaitable<Result<void>> Send(HttpResponse response) = 0;

  /** Sends the header of a response whose body follows in chunks. */
  virtual boost::asio::awaitable<Result<void>> StartStream(int status, Headers headers) = 0;
  virtual boost::asio::awaitable<Result<void>> WriteChunk(std::string_view bytes) = 0;

  /** Ends the chunked body. Without this call the connection closes after the handler. */
  virtual boost::asio::awaitable<Result<void>> FinishStream() = 0;

  /** Returns whether the peer has closed the connection or shut down its sending side, even if the
   * event loop has not reported it yet. */
  [[nodiscard]] virtual bool IsPeerClosed() const = 0;

  /** Closes the connection without a response or the rest of one. */
  virtual void Abort() {}
};

/**
 * Handles one request. The coroutine is cancelled (terminal cancellation) when the peer closes the
 * connection or shuts down its sending side. Its next `co_await` then throws, so work that must
 * complete has to run in a separate coroutine. The exchange is valid until the coroutine ends.
 */
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

struct HttpServerOptions {
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 1 << 20;
  Milliseconds request_read_timeout{10000};
  Milliseconds write_timeout{10000};
  Milliseconds idle_timeout{60000};
  /** Beyond this, the connection that has waited longest for a request is closed for a new one. */
  std::size_t max_connections = 4096;
  /** Account of the request bodies that are being read or handled; null for none. */
  std::shared_ptr<RequestMemory> request_memory{};
};

/**
 * HTTP/1.1 server based on Boost.Beast. Requests that are malformed, too large or too slow get a
 * 4xx response with `X-Verdict: not-run`, and the connection is closed. A request whose body finds
 * no memory gets 503.
 *
 *     BOOST_OUTCOME_TRY(auto server, HttpServer::Create(io, "127.0.0.1:8080", handler, {}));
 */
class HttpServer {
 public:
  static Result<std::unique_ptr<HttpServer>> Create(boost::asio::io_context& io,
                                                    const std::string& address, HttpHandler handler,
                                                    HttpServerOptions options);

  virtual ~HttpServer() = default;

  /** Returns the bound address, with the actual port if port 0 was requested. */
  [[nodiscard]] virtual std::string address() const = 0;

  /**
   * From now on, each response announces that its connection closes. Idle connections stay open,
   * because a request may be on its way to them.
   */
  virtual void EndKeepAlive() = 0;

  /** Closes the listener, after the connections in its backlog were accepted. */
  virtual void StopListening() = 0;

  /** Closes the listener and idle connections. Requests in flight finish without keep-alive. */
  virtual void StopAccepting() = 0;

  /** Returns the number of requests being read or handled. */
  [[nodiscard]] virtual std::size_t in_flight() const = 0;

  /** Returns the number of open connections, also idle ones. */
  [[nodiscard]] virtual std::size_t connections() const = 0;

  /** Returns how many bytes of responses the peers have not acknowledged yet. */
  [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;

  /** Returns how many connections were closed or refused because of `max_connections`. */
  [[nodiscard]] virtual std::uint64_t connections_shed() const = 0;

  /** Returns the number of requests whose first byte has arrived since the start. */
  [[nodiscard]] virtual std::uint64_t requests_begun() const = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_HTTP_SERVER_H_
