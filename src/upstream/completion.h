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

/** Tokens of one completion as an engine generates them. Destroying it cancels the completion
 * upstream. */
class TokenStream {
 public:
  virtual ~TokenStream() = default;

  /**
   * Returns the next token, or nothing after a verified end mark. A wrong id, generation or index,
   * and a body that ends without the end mark are errors.
   */
  virtual boost::asio::awaitable<Result<std::optional<std::string>>> Next(Deadline deadline) = 0;
};

/**
 * Starts a completion on rank 0 of `group`, after the tokens in `resume_tokens`. The index of the
 * first new token is the number of those. The arguments but the client are used up before this
 * returns its awaitable.
 */
boost::asio::awaitable<Result<std::unique_ptr<TokenStream>>> OpenCompletion(
    HttpClient& client, const GroupSummary& group, const CompletionRequest& request,
    const std::vector<std::string>& resume_tokens, Deadline deadline);

}  // namespace limpetfall

#endif  // LIMPETFALL_UPSTREAM_COMPLETION_H_
