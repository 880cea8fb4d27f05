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

/** Claims and recorded outcomes are kept this long; a repeat after that is a new order. */
inline constexpr std::int64_t kClaimLeaseSeconds = 86400;

/** Largest body of an answer that a claim holds. */
inline constexpr std::size_t kMaxRecordedBodyBytes = 64 << 10;

inline constexpr std::size_t kMaxOrderKeyBytes = 256;

/** How far a claimed order has come. */
enum class ClaimState {
  kClaimed,   ///< The attempt that holds the claim may be dispatching the order.
  kReleased,  ///< The attempt ended without a dispatch, and the order may be claimed again.
  kAnswered,  ///< The order ran, and its answer is recorded.
  kRan,       ///< The order ran, and its answer is not recorded.
  kUnknown,   ///< The order was dispatched, and nobody knows whether it ran.
};

/** The claim of one order as the platform's store holds it. */
struct OrderClaim {
  std::string digest;   ///< Of the call; a repeat must have the same.
  NodeId node;          ///< The node that holds the claim.
  std::string attempt;  ///< Unique for each attempt to run an order.
  ClaimState state = ClaimState::kClaimed;
  ServiceAnswer answer;        ///< In state `kAnswered`.
  std::size_t body_bytes = 0;  ///< Size of an answer that was too large to record.

  friend bool operator==(const OrderClaim&, const OrderClaim&) = default;
};

std::string SerializeClaim(const OrderClaim& claim);
Result<OrderClaim> ParseClaim(std::string_view json);

/** Returns the digest of what makes two calls the same order: sender, method, path and body. */
std::string OrderDigest(const ServiceCall& call);

/** Returns the store's key of the claim; refuses an empty or overlong idempotency key. */
Result<std::string> ClaimKey(const ServiceName& service, std::string_view idempotency_key);

/** The claim that an attempt writes before it dispatches. */
OrderClaim NewClaim(const ServiceCall& call, NodeId node, std::string attempt);

/** The claim after its attempt ended without a dispatch. */
OrderClaim ReleasedClaim(OrderClaim claim);

/** The claim after its dispatch returned `result`. */
OrderClaim ClaimWithOutcome(OrderClaim claim, const Result<ServiceAnswer>& result);

enum class ClaimAction {
  kDispatch,  ///< The claim is this attempt's own: dispatch the order.
  kTakeOver,  ///< Replace the claim found by this attempt's own.
  kWait,      ///< Another attempt runs the order: read the claim again.
  kReply,     ///< Answer the caller with `reply`.
};

struct ClaimDecision {
  ClaimAction action = ClaimAction::kWait;
  std::optional<Result<ServiceAnswer>> reply;
};

/** What is known of the attempt that holds a claim. */
enum class HolderState {
  kRunning,    ///< Its node is running and has not reported the end of the attempt.
  kLost,       ///< Its node failed or no longer has a record of the attempt.
  kAbandoned,  ///< It belongs to this node, and its order will not be dispatched.
};

/** Decides what the attempt with the claim `own` does about the claim `found` under its key. */
ClaimDecision DecideClaim(const OrderClaim& own, const OrderClaim& found, HolderState holder);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_ORDER_CLAIMS_H_
