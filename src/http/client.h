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

/** Case-insensitive order of header names. */
struct HeaderNameLess {
  bool operator()(const std::string& a, const std::string& b) const;
};

using Headers = std::map<std::string, std::string, HeaderNameLess>;

/** Returns a view of the value of a header, or an empty view if it is absent. */
std::string_view GetHeader(const Headers& headers, const std::string& name);

/** Returns whether a text may be the name of a header. */
bool IsToken(std::string_view text);

struct HttpRequest {
  std::string method = "GET";
  std::string address;  ///< "IP:port".
  std::string target = "/";
  Headers headers;
  std::string body;
  /** Bypass the pool, whose connections may be unresponsive without this being detected yet. */
  bool new_connection = false;
};

struct HttpResponse {
  int status = 0;
  Headers headers;
  std::string body;
};

/** A response whose body is read incrementally. Destroying it before the end closes the connection.
 */
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  [[nodiscard]] virtual int status() const = 0;
  [[nodiscard]] virtual const Headers& headers() const = 0;

  /** Returns the next bytes, `std::nullopt` at the regular end of the body, or an error. */
  virtual boost::asio::awaitable<Result<std::optional<std::string>>> Read(Deadline deadline) = 0;
};

struct HttpClientOptions {
  Milliseconds connect_timeout{1000};
  std::size_t max_body_bytes = 8 << 20;
  std::size_t max_idle_connections = 256;
};

/**
 * HTTP/1.1 client based on libcurl. One thread runs all transfers; coroutines resume on the
 * caller's executor.
 *
 * An error has the verdict `kNotRun` only if no connection was established, otherwise
 * `kMayHaveRun`. A connection returns to the pool only after a complete response; a failed or
 * abandoned transfer closes its connection. The client does not resend a request if the pooled
 * connection turns out to be closed, because the upstream may have read its bytes. A response
 * without an explicit length is an error, because it looks the same when truncated.
 *
 * An io_context whose coroutines wait for the client must outlive them.
 *
 *     BOOST_OUTCOME_CO_TRY(auto response, co_await client->Fetch(request, deadline));
 */
class HttpClient {
 public:
  static Result<std::shared_ptr<HttpClient>> Create(HttpClientOptions options);

  virtual ~HttpClient() = default;

  /** Sends the request and reads the complete response. */
  virtual boost::asio::awaitable<Result<HttpResponse>> Fetch(HttpRequest request,
                                                             Deadline deadline) = 0;

  /** Sends the request and returns when the response header has arrived. */
  virtual boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> Open(HttpRequest request,
                                                                           Deadline deadline) = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_HTTP_CLIENT_H_
