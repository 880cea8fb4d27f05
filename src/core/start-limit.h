#ifndef LIMPETFALL_CORE_START_LIMIT_H_
#define LIMPETFALL_CORE_START_LIMIT_H_

#include <algorithm>
#include <map>
#include <string>

#include "limpetfall/time.h"

namespace limpetfall {

/** What bounds the time that a request may wait for a place. */
struct StartDeadlineInputs {
  TimePoint arrived;
  Deadline deadline;
  Milliseconds objective{0};        ///< For the first event of a stream, or for the whole answer.
  Milliseconds abandon_timeout{0};  ///< Callers abandon a silent stream after this.
  bool caller_retry = false;        ///< The caller was refused before, so its objective has passed.

  friend bool operator==(const StartDeadlineInputs&, const StartDeadlineInputs&) = default;
};

/**
 * Says until when a request that waits for a place is worth starting.
 *
 * Load that it answers: more callers than places, as when all return after an outage. With the
 * whole objective to wait, each request starts just too late to meet it and takes the place of one
 * that still could. Pure.
 *
 *     limit.OnFirstBytes(lane, first_event - sent);
 *     request.start_by = limit.ComputeStartDeadline(lane, inputs);
 */
class StartDeadlinePolicy {
 public:
  /** Notes the time from sending a request of a lane to the first bytes of its answer. */
  void OnFirstBytes(const std::string& lane, std::chrono::duration<double> time) {
    double& mean = this->mean_first_byte_seconds[lane];
    // A share of 1/16 follows a change within some tens of requests.
    constexpr double kWeight = 1.0 / 16;
    mean += (mean == 0 ? 1 : kWeight) * (time.count() - mean);
  }

  [[nodiscard]] Deadline ComputeStartDeadline(const std::string& lane,
                                              const StartDeadlineInputs& inputs) const {
    const auto found = this->mean_first_byte_seconds.find(lane);
    const std::chrono::duration<double> needed(
        found == this->mean_first_byte_seconds.end() ? 0 : found->second);
    if (inputs.caller_retry) {
      // Nothing is lost by waiting for the surge to pass, but for the caller's patience.
      return std::min(inputs.deadline, inputs.arrived + inputs.abandon_timeout / 2);
    }
    // A route without an objective has nothing to be late for but the deadline.
    if (inputs.objective == Milliseconds(0)) return inputs.deadline;
    // Where answers always take longer than the objective, some wait still evens out arrivals.
    const std::chrono::duration<double> min_wait = inputs.objective * kMinWaitFraction;
    const auto wait = std::max(min_wait, std::chrono::duration<double>(inputs.objective) - needed);
    return std::min(inputs.deadline, inputs.arrived + std::chrono::round<Milliseconds>(wait));
  }

 private:
  // Part of the objective; refusals within an eighth of it cost callers nothing noticeable.
  static constexpr double kMinWaitFraction = 0.125;

  std::map<std::string, double> mean_first_byte_seconds;  ///< Smoothed, by lane.
};

/**
 * Tells callers that come back after a refusal from new ones by the time they still have.
 *
 *     const bool caller_retry = detector.IsCallerRetry(route, remaining, objective);
 */
class CallerRetryDetector {
 public:
  /** `remaining` is the time that a caller of the route will wait from now on. */
  bool IsCallerRetry(const std::string& route, Milliseconds remaining, Milliseconds objective) {
    Milliseconds& longest = this->longest_remaining[route];
    longest = std::max(longest, remaining);
    return remaining + objective < longest;
  }

 private:
  std::map<std::string, Milliseconds> longest_remaining;  ///< By route.
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_START_LIMIT_H_
