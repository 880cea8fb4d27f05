#ifndef LIMPETFALL_CLIENT_BLOCKING_HTTP_H_
#define LIMPETFALL_CLIENT_BLOCKING_HTTP_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/client.h"
#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

struct BlockingHttpOptions {
  Milliseconds connect_timeout{1000};
  Milliseconds idle_timeout{0};  ///< Maximum time without data; 0 disables it.
  bool new_connection = false;   ///< Disables reuse, for requests that must be sent only once.
};

/**
 * Blocking HTTP client that sends one request at a time. An error has the verdict `kNotRun` only if
 * no byte of the request was sent.
 */
class BlockingHttp {
 public:
  /** Receives body bytes as they arrive. Returning false aborts the transfer with an error. */
  using BodyCallback = std::function<bool(int status, std::string_view bytes)>;

  static Result<std::unique_ptr<BlockingHttp>> Create();

  virtual ~BlockingHttp() = default;

  /**
   * Sends a request and waits for the response. Passes the body to `on_body` and leaves it empty in
   * the result. If `on_body` is empty, the result contains the body.
   */
  virtual Result<HttpResponse> Send(const HttpRequest& request, const BlockingHttpOptions& options,
                                    Deadline deadline, const BodyCallback& on_body) = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CLIENT_BLOCKING_HTTP_H_
