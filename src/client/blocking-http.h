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
  Milliseconds idle_timeout{0};  ///< 0 means none.
  bool new_connection = false;   ///< Never reuse a connection, for requests sent only once.
};

/**
 * Sends one HTTP request at a time and waits for the answer. An error carries `kNotRun` only if no
 * byte of the request was sent.
 */
class BlockingHttp {
 public:
  /** Receives body bytes as they arrive; returning false ends the transfer with an error. */
  using BodyCallback = std::function<bool(int status, std::string_view bytes)>;

  static Result<std::unique_ptr<BlockingHttp>> Create();

  virtual ~BlockingHttp() = default;

  /** Reads the whole body if `on_body` is empty, otherwise passes it on and returns it empty. */
  virtual Result<HttpResponse> Send(const HttpRequest& request, const BlockingHttpOptions& options,
                                    Deadline deadline, const BodyCallback& on_body) = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CLIENT_BLOCKING_HTTP_H_
