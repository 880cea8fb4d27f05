#ifndef LIMPETFALL_CORE_REQUEST_H_
#define LIMPETFALL_CORE_REQUEST_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "core/document.h"
#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** A completion requested by a caller. */
struct CompletionRequest {
  RequestId id;
  BranchName branch;
  TeamName team;
  Priority priority = Priority::kNormal;
  ModelName model;
  std::string prompt;
  int max_tokens = 64;
  std::uint64_t seed = 0;
  Deadline deadline;

  friend bool operator==(const CompletionRequest&, const CompletionRequest&) = default;
};

/** Receives a completion while it is generated. An error from a call stops the completion. */
class CompletionSink {
 public:
  virtual ~CompletionSink() = default;

  /** Called once, before the first token. */
  virtual boost::asio::awaitable<Result<void>> OnStart(ConfigVersion version) = 0;

  /** Called for each token in order; every token is delivered exactly once. */
  virtual boost::asio::awaitable<Result<void>> OnToken(std::string_view text) = 0;
};

/** A call of a plain service. */
struct ServiceCall {
  RequestId id;
  BranchName branch;
  TeamName team;
  ServiceName service;
  std::string method;
  std::string path;  ///< Path and query, without the service's prefix.
  std::string content_type;
  std::string body;
  std::string idempotency_key;  ///< Empty when the caller sent none.
  Deadline deadline;
  bool first_attempt = false;  ///< The caller has not used this idempotency key before.

  friend bool operator==(const ServiceCall&, const ServiceCall&) = default;
};

/** Returns the error for a call that this node cannot accept at present. It states that the call
 * may have run if an earlier attempt with the same idempotency key is possible. */
inline Error NotAcceptingWorkError(const ServiceCall& call,
                                   const std::string& message = "this node takes no new work") {
  const bool may_have_run = !call.idempotency_key.empty() && !call.first_attempt;
  return may_have_run ? MayHaveRun(ErrorCode::kUnavailable, message)
                      : NotRun(ErrorCode::kUnavailable, message);
}

struct ServiceAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  ConfigVersion version = 0;

  friend bool operator==(const ServiceAnswer&, const ServiceAnswer&) = default;
};

/** Entry addresses for a caller, in order of preference. */
struct AddressList {
  std::vector<std::string> addresses;
  std::int64_t ttl_ms = 0;

  friend bool operator==(const AddressList&, const AddressList&) = default;
};

/** Operations that the caller API requires from the rest of the node. */
template <typename T>
concept RequestBackend = requires(T& backend, const CompletionRequest& completion,
                                  CompletionSink& sink, const ServiceCall& call,
                                  const ZoneId& zone) {
  // Returns after the last token, once the complete output has passed the release check.
  { backend.Complete(completion, sink) } -> std::same_as<boost::asio::awaitable<Result<void>>>;
  { backend.CallService(call) } -> std::same_as<boost::asio::awaitable<Result<ServiceAnswer>>>;
  { backend.Addresses(zone) } -> std::same_as<AddressList>;
  { backend.AcceptsWork() } -> std::same_as<bool>;
  { backend.ActiveConfig() } -> std::same_as<ConfigVersion>;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_REQUEST_H_
