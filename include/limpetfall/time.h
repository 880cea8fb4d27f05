#ifndef LIMPETFALL_TIME_H_
#define LIMPETFALL_TIME_H_

#include <chrono>

namespace limpetfall {

/** Monotonic clock, unaffected by wall-clock changes. Values are valid in one process only. */
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/** A point in time at which a request, lease or cached value expires. */
using Deadline = TimePoint;

using Milliseconds = std::chrono::milliseconds;

/** Returns the time until `deadline`, rounded down to milliseconds; 0 if it has passed. */
inline Milliseconds TimeLeft(Deadline deadline, TimePoint now) {
  if (deadline <= now) return Milliseconds(0);
  return std::chrono::duration_cast<Milliseconds>(deadline - now);
}

}  // namespace limpetfall

#endif  // LIMPETFALL_TIME_H_
