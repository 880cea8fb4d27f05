#ifndef LIMPETFALL_UPSTREAM_RELEASE_CHECK_H_
#define LIMPETFALL_UPSTREAM_RELEASE_CHECK_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "core/types.h"
#include "http/client.h"

namespace limpetfall {

/**
 * Confirms that no member of a group has changed: each must report the generation and the engine
 * instance of `group`. Requests that arrive during a round of reports share the next round. A round
 * never serves a request that arrived after the round began.
 */
class ReleaseCheck {
 public:
  static std::shared_ptr<ReleaseCheck> Create(std::shared_ptr<HttpClient> client);

  virtual ~ReleaseCheck() = default;

  /** Succeeds only with reports requested after this call. Repeats unanswered report requests until
   * `deadline`. */
  virtual boost::asio::awaitable<Result<void>> Confirm(GroupSummary group, Deadline deadline) = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_UPSTREAM_RELEASE_CHECK_H_
