#ifndef LIMPETFALL_CORE_STALL_RULE_H_
#define LIMPETFALL_CORE_STALL_RULE_H_

#include <algorithm>

#include "limpetfall/time.h"

namespace limpetfall {

/** What is known about a request that waits for bytes from its upstream. */
struct StallState {
  TimePoint last_bytes;         ///< Last bytes of this request, or when it was sent.
  TimePoint upstream_progress;  ///< Last bytes of any request of this node at that upstream.
  Milliseconds upstream_stall_timeout{
      0};  ///< An upstream that is silent to all for this long is lost.
  Milliseconds request_stall_timeout{
      0};  ///< A request that is silent for this long is stuck by itself.

  friend bool operator==(const StallState&, const StallState&) = default;
};

enum class StallVerdict { kWaiting, kRequestStuck, kUpstreamLost };

/** Judges a silent request: an engine that batches serves all its requests in one pass, so silence
 * of all of them shows a lost member long before the platform does. */
constexpr StallVerdict CheckStall(const StallState& state, TimePoint now) {
  const TimePoint last_progress = std::max(state.last_bytes, state.upstream_progress);
  if (last_progress + state.upstream_stall_timeout <= now) return StallVerdict::kUpstreamLost;
  if (state.last_bytes + state.request_stall_timeout <= now) return StallVerdict::kRequestStuck;
  return StallVerdict::kWaiting;
}

/** Returns when the verdict may change next without further bytes. */
constexpr Deadline NextStallCheck(const StallState& state) {
  const TimePoint last_progress = std::max(state.last_bytes, state.upstream_progress);
  return std::min(last_progress + state.upstream_stall_timeout,
                  state.last_bytes + state.request_stall_timeout);
}

/** Returns the silence after which callers abandon a stream, from a route's objectives for the
 * first event and for the pause between events. */
constexpr Milliseconds CallerAbandonTimeout(Milliseconds first_event, Milliseconds pause) {
  constexpr Milliseconds kMinTimeout{2000};
  return std::max({kMinTimeout, 4 * first_event, 8 * pause});
}

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_STALL_RULE_H_
