#ifndef LIMPETFALL_UPSTREAM_RELEASE_CHECK_H_
#define LIMPETFALL_UPSTREAM_RELEASE_CHECK_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "core/types.h"
#include "http/client.h"

namespace limpetfall {

/**
 * Confirms with every member of a group that the group was whole: each reports the generation and
 * the engine instance of `group`. Requests that arrive while a round is under way share the next
 * round; a round never serves a request that arrived after it began.
 */
class ReleaseCheck {
 public:
  static std::shared_ptr<ReleaseCheck> Create(std::shared_ptr<HttpClient> client);

  virtual ~ReleaseCheck() = default;

  /** Succeeds only with reports requested after this call. Retries until `deadline` on silence. */
  virtual boost::asio::awaitable<Result<void>> Confirm(GroupSummary group, Deadline deadline) = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_UPSTREAM_RELEASE_CHECK_H_
