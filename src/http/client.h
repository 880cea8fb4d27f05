#ifndef LIMPETFALL_HTTP_CLIENT_H_
#define LIMPETFALL_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Compares header names without regard to case. */
struct HeaderNameLess {
  bool operator()(const std::string& a, const std::string& b) const;
};

using Headers = std::map<std::string, std::string, HeaderNameLess>;

/** Returns the value of a header, empty if it is absent; refers into `headers`. */
std::string_view GetHeader(const Headers& headers, const std::string& name);

struct HttpRequest {
  std::string method = "GET";
  std::string address;  ///< "IP:port".
  std::string target = "/";
  Headers headers;
  std::string body;
  bool new_connection = false;  ///< A pooled connection may be silent without anyone knowing yet.
};

struct HttpResponse {
  int status = 0;
  Headers headers;
  std::string body;
};

/** An answer whose body arrives piece by piece. Destroying it closes the connection if it is not
 * complete. */
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  [[nodiscard]] virtual int status() const = 0;
  [[nodiscard]] virtual const Headers& headers() const = 0;

  /** Returns the next bytes, nothing at the clean end of the body, or an error. */
  virtual boost::asio::awaitable<Result<std::optional<std::string>>> Read(Deadline deadline) = 0;
};

struct HttpClientOptions {
  Milliseconds connect_timeout{1000};
  std::size_t max_body_bytes = 8 << 20;
  std::size_t max_idle_connections = 256;
};

/**
 * HTTP/1.1 client on libcurl. One thread drives all transfers; results resume on the caller's
 * executor.
 *
 * An error carries `kNotRun` only when the connection was never established, otherwise
 * `kMayHaveRun`. A connection goes back to the pool only after a complete answer, and a failed or
 * abandoned transfer closes its connection. A request on a pooled connection that had gone stale is
 * not sent again by the client itself, because its bytes may have been read. An answer that does
 * not state its length is an error, because a cut one looks the same.
 *
 * An io_context whose coroutines wait for the client must live until they have ended.
 *
 *     BOOST_OUTCOME_CO_TRY(auto answer, co_await client->Fetch(request, deadline));
 */
class HttpClient {
 public:
  static Result<std::shared_ptr<HttpClient>> Create(HttpClientOptions options);

  virtual ~HttpClient() = default;

  /** Sends the request and reads the whole answer. */
  virtual boost::asio::awaitable<Result<HttpResponse>> Fetch(HttpRequest request,
                                                             Deadline deadline) = 0;

  /** Sends the request and returns when the answer's header has arrived. */
  virtual boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> Open(HttpRequest request,
                                                                           Deadline deadline) = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_HTTP_CLIENT_H_
