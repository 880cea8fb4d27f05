#ifndef LIMPETFALL_UPSTREAM_COMPLETION_H_
#define LIMPETFALL_UPSTREAM_COMPLETION_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/request.h"
#include "core/types.h"
#include "http/client.h"

namespace limpetfall {

/** The stream of tokens that an engine generates for one completion. Destroying the stream cancels
 * the completion upstream. */
class TokenStream {
 public:
  virtual ~TokenStream() = default;

  /**
   * Returns the next token, or nothing after a verified end mark. A mismatched id, generation or
   * index and a body without an end mark are errors.
   */
  virtual boost::asio::awaitable<Result<std::optional<std::string>>> Next(Deadline deadline) = 0;
};

/**
 * Starts a completion on rank 0 of `group`, after the tokens in `resume_tokens`. The index of the
 * first new token is the number of resume tokens. All arguments except the client are copied before
 * the awaitable is returned.
 */
boost::asio::awaitable<Result<std::unique_ptr<TokenStream>>> OpenCompletion(
    HttpClient& client, const GroupSummary& group, const CompletionRequest& request,
    const std::vector<std::string>& resume_tokens, Deadline deadline);

}  // namespace limpetfall

#endif  // LIMPETFALL_UPSTREAM_COMPLETION_H_
