#ifndef LIMPETFALL_CORE_START_LIMIT_H_
#define LIMPETFALL_CORE_START_LIMIT_H_

#include <algorithm>
#include <map>
#include <string>

#include "limpetfall/time.h"

namespace limpetfall {

/** Bounds of the time that a request may wait for a slot. */
struct StartDeadlineInputs {
  TimePoint arrived;
  Deadline deadline;
  Milliseconds objective{0};        ///< For the first event of a stream, or the complete response.
  Milliseconds abandon_timeout{0};  ///< Callers abandon a stream after this time without bytes.
  bool caller_retry = false;        ///< The caller was refused before, so its objective has passed.

  friend bool operator==(const StartDeadlineInputs&, const StartDeadlineInputs&) = default;
};

/**
 * Computes the latest time at which a request that waits for a slot should start.
 *
 * Limits the wait if there are more callers than slots, as when all callers retry after an outage.
 * If requests could wait for their whole objective, each would start just too late to meet it, and
 * occupy a slot that another request could use in time. Has no side effects outside the object.
 *
 *     policy.OnFirstBytes(lane, first_event - sent);
 *     request.start_by = policy.ComputeStartDeadline(lane, inputs);
 */
class StartDeadlinePolicy {
 public:
  /** Records the time from sending a request of a lane to the first bytes of its response. */
  void OnFirstBytes(const std::string& lane, std::chrono::duration<double> time) {
    double& mean = this->mean_first_byte_seconds[lane];
    // A weight of 1/16 adapts to a change within some tens of requests.
    constexpr double kWeight = 1.0 / 16;
    mean += (mean == 0 ? 1 : kWeight) * (time.count() - mean);
  }

  [[nodiscard]] Deadline ComputeStartDeadline(const std::string& lane,
                                              const StartDeadlineInputs& inputs) const {
    const auto found = this->mean_first_byte_seconds.find(lane);
    const std::chrono::duration<double> needed(
        found == this->mean_first_byte_seconds.end() ? 0 : found->second);
    if (inputs.caller_retry) {
      // The objective can no longer be met, so the request may wait for the surge to end. The limit
      // is half of the time after which the caller abandons the request.
      return std::min(inputs.deadline, inputs.arrived + inputs.abandon_timeout / 2);
    }
    // Without an objective, only the deadline of the request limits the wait.
    if (inputs.objective == Milliseconds(0)) return inputs.deadline;
    // If responses always take longer than the objective, a minimum wait still smooths arrivals.
    const std::chrono::duration<double> min_wait = inputs.objective * kMinWaitFraction;
    const auto wait = std::max(min_wait, std::chrono::duration<double>(inputs.objective) - needed);
    return std::min(inputs.deadline, inputs.arrived + std::chrono::round<Milliseconds>(wait));
  }

 private:
  // Fraction of the objective. A refusal within an eighth of it is not noticeable to callers.
  static constexpr double kMinWaitFraction = 0.125;

  std::map<std::string, double> mean_first_byte_seconds;  ///< Moving average, by lane.
};

/**
 * Distinguishes callers that retry after a refusal from new ones by their remaining time, which is
 * shorter.
 *
 *     const bool caller_retry = detector.IsCallerRetry(route, remaining, objective);
 */
class CallerRetryDetector {
 public:
  /** `remaining` is the time from now during which a caller of the route waits for the response. */
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
