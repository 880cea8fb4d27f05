#ifndef LIMPETFALL_TIME_H_
#define LIMPETFALL_TIME_H_

#include <chrono>

namespace limpetfall {

/** Steady time: unaffected by changes of the wall clock, meaningful inside one process only. */
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/** A stored point in time after which something no longer holds. */
using Deadline = TimePoint;

using Milliseconds = std::chrono::milliseconds;

/** Returns the whole milliseconds left until `deadline`, 0 when it has passed. */
inline Milliseconds TimeLeft(Deadline deadline, TimePoint now) {
  if (deadline <= now) return Milliseconds(0);
  return std::chrono::duration_cast<Milliseconds>(deadline - now);
}

}  // namespace limpetfall

#endif  // LIMPETFALL_TIME_H_
