#ifndef LIMPETFALL_CORE_ORDER_CLAIMS_H_
#define LIMPETFALL_CORE_ORDER_CLAIMS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "core/request.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Lifetime of claims and recorded outcomes. A repeat after that is treated as a new order. */
inline constexpr std::int64_t kClaimLeaseSeconds = 86400;

/** Maximum size of an answer body that is recorded in a claim. */
inline constexpr std::size_t kMaxRecordedBodyBytes = 64 << 10;

inline constexpr std::size_t kMaxOrderKeyBytes = 256;

/** Progress of a claimed order. */
enum class ClaimState {
  kClaimed,   ///< The order may be in dispatch by the attempt that holds the claim.
  kReleased,  ///< The attempt ended without running the order; it may be claimed again.
  kAnswered,  ///< The order ran, and its answer is recorded.
  kRan,       ///< The order ran, but its answer is not recorded.
  kUnknown,   ///< The order was dispatched; it may or may not have run.
};

/** The claim of one order, as stored in the platform's store. */
struct OrderClaim {
  std::string digest;   ///< Digest of the call; a repeat must have the same one.
  NodeId node;          ///< The node that holds the claim.
  std::string attempt;  ///< Unique for each attempt to run an order.
  ClaimState state = ClaimState::kClaimed;
  ServiceAnswer answer;        ///< Set only in state `kAnswered`.
  std::size_t body_bytes = 0;  ///< Body size of an answer too large to record, else 0.

  friend bool operator==(const OrderClaim&, const OrderClaim&) = default;
};

std::string SerializeClaim(const OrderClaim& claim);
Result<OrderClaim> ParseClaim(std::string_view json);

/** Returns the digest by which calls are compared. Calls are the same order if they have the same
 * branch, team, method, path, content type and body. */
std::string OrderDigest(const ServiceCall& call);

/** Returns the store key of the claim. Fails if the idempotency key is empty or too long. */
Result<std::string> ClaimKey(const ServiceName& service, std::string_view idempotency_key);

/** Returns the claim that an attempt writes before it dispatches the order. */
OrderClaim NewClaim(const ServiceCall& call, NodeId node, std::string attempt);

/** Returns the claim in the state after its attempt ended without running the order. */
OrderClaim ReleasedClaim(OrderClaim claim);

/** Returns the claim in the state after the dispatch returned `result`. */
OrderClaim ClaimWithOutcome(OrderClaim claim, const Result<ServiceAnswer>& result);

enum class ClaimAction {
  kDispatch,  ///< The claim belongs to this attempt: dispatch the order.
  kTakeOver,  ///< Replace the existing claim with the claim of this attempt.
  kWait,      ///< Another attempt is running the order: read the claim again later.
  kReply,     ///< Answer the caller with `reply`.
};

struct ClaimDecision {
  ClaimAction action = ClaimAction::kWait;
  std::optional<Result<ServiceAnswer>> reply;
};

/** State of the attempt that holds a claim. */
enum class HolderState {
  kRunning,    ///< Its node is running, and the attempt may still be in progress.
  kLost,       ///< Its node failed or no longer has a record of the attempt.
  kAbandoned,  ///< It belongs to this node, and its order will not be dispatched.
};

/** Decides what the attempt with the claim `own` does when the store holds the claim `found`. */
ClaimDecision DecideClaim(const OrderClaim& own, const OrderClaim& found, HolderState holder);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_ORDER_CLAIMS_H_
