#ifndef LIMPETFALL_CORE_STALL_RULE_H_
#define LIMPETFALL_CORE_STALL_RULE_H_

#include <algorithm>

#include "limpetfall/time.h"

namespace limpetfall {

/** State of a request that waits for bytes from its upstream. */
struct StallState {
  /** When this request last received bytes that completed an event, or when it was sent. */
  TimePoint last_bytes;
  TimePoint upstream_progress;  ///< When any request of this node there last received bytes.
  /** The upstream is considered lost if no request receives bytes for this long. */
  Milliseconds upstream_stall_timeout{0};
  /** The request is considered stuck if it receives no bytes for this long. */
  Milliseconds request_stall_timeout{0};

  friend bool operator==(const StallState&, const StallState&) = default;
};

enum class StallVerdict { kWaiting, kRequestStuck, kUpstreamLost };

/** Checks a request that receives no bytes. An engine with batching serves all its requests in one
 * pass. If none of them receives bytes, a member is lost; this is detected long before the platform
 * reports it. */
constexpr StallVerdict CheckStall(const StallState& state, TimePoint now) {
  const TimePoint last_progress = std::max(state.last_bytes, state.upstream_progress);
  if (last_progress + state.upstream_stall_timeout <= now) return StallVerdict::kUpstreamLost;
  if (state.last_bytes + state.request_stall_timeout <= now) return StallVerdict::kRequestStuck;
  return StallVerdict::kWaiting;
}

/** Returns the earliest time at which the verdict may change if no more bytes arrive. */
constexpr Deadline NextStallCheck(const StallState& state) {
  const TimePoint last_progress = std::max(state.last_bytes, state.upstream_progress);
  return std::min(last_progress + state.upstream_stall_timeout,
                  state.last_bytes + state.request_stall_timeout);
}

/** Returns the time without bytes after which callers abandon a stream. Derived from the objectives
 * of the route for the first event and for the pause between events. */
constexpr Milliseconds CallerAbandonTimeout(Milliseconds first_event, Milliseconds pause) {
  constexpr Milliseconds kMinTimeout{2000};
  return std::max({kMinTimeout, 4 * first_event, 8 * pause});
}

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_STALL_RULE_H_
