#ifndef LIMPETFALL_CORE_START_LIMIT_H_
#define LIMPETFALL_CORE_START_LIMIT_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "limpetfall/time.h"

namespace limpetfall {

/** What is known of a request that may have to wait for a slot. */
struct StartDeadlineInputs {
  TimePoint arrived;
  Deadline deadline;
  Milliseconds objective{0};        ///< For the first event of a stream, or the complete response.
  Milliseconds abandon_timeout{0};  ///< Callers abandon a stream after this time without bytes.
  bool caller_retry = false;        ///< The caller was refused before, so its objective has passed.

  friend bool operator==(const StartDeadlineInputs&, const StartDeadlineInputs&) = default;
};

/** Latest times at which a request that waits for a slot should start. */
struct StartDeadlines {
  Deadline on_time_by;  ///< A request that starts later misses its objective.
  Deadline start_by;    ///< A request that has not started by then is refused.

  friend bool operator==(const StartDeadlines&, const StartDeadlines&) = default;
};

/**
 * Computes the latest times at which a request that waits for a slot should start.
 *
 * Answers the load of more callers than slots, as when all callers retry after an outage. Requests
 * that start just too late to meet their objective would occupy slots that others could use in
 * time, so they have to be told apart. A late response still has some value for its caller, so a
 * late request may wait for the surge to end. Has no side effects outside the object.
 *
 *     policy.OnFirstBytes(lane, first_event - sent);
 *     const StartDeadlines limits = policy.ComputeStartDeadlines(lane, inputs);
 */
class StartDeadlinePolicy {
 public:
  /** Records the time from sending a request of a lane to the first bytes of its response. */
  void OnFirstBytes(const std::string& lane, std::chrono::duration<double> time) {
    FirstByteTime& known = this->first_byte_times[lane];
    // A weight of 1/16 adapts to a change within some tens of requests.
    constexpr double kWeight = 1.0 / 16;
    if (known.mean_s == 0) {
      known.mean_s = time.count();
      return;
    }
    known.deviation_s += kWeight * (std::abs(time.count() - known.mean_s) - known.deviation_s);
    known.mean_s += kWeight * (time.count() - known.mean_s);
  }

  [[nodiscard]] StartDeadlines ComputeStartDeadlines(const std::string& lane,
                                                     const StartDeadlineInputs& inputs) const {
    // Without an objective, only the deadline of the request limits the wait.
    if (inputs.objective == Milliseconds(0)) return {inputs.deadline, inputs.deadline};
    const auto wait_limit = std::max(inputs.abandon_timeout / 2, inputs.objective);
    const Deadline start_by = std::min(inputs.deadline, inputs.arrived + wait_limit);
    if (inputs.caller_retry) return {inputs.arrived, start_by};
    const auto found = this->first_byte_times.find(lane);
    // With the mean alone, half of the requests that start at the last moment would be late.
    const std::chrono::duration<double> needed(
        found == this->first_byte_times.end() ? 0
                                              : found->second.mean_s + found->second.deviation_s);
    // If responses always take longer than the objective, a minimum wait still smooths arrivals.
    const std::chrono::duration<double> min_wait = inputs.objective * kMinWaitFraction;
    const auto wait = std::max(min_wait, std::chrono::duration<double>(inputs.objective) - needed);
    const Deadline on_time_by = inputs.arrived + std::chrono::round<Milliseconds>(wait);
    return {std::min(on_time_by, start_by), start_by};
  }

 private:
  // Fraction of the objective. A refusal within an eighth of it is not noticeable to callers.
  static constexpr double kMinWaitFraction = 0.125;

  struct FirstByteTime {
    double mean_s = 0;       ///< Moving average.
    double deviation_s = 0;  ///< Moving average of the absolute deviations from the mean.
  };

  std::map<std::string, FirstByteTime> first_byte_times;  ///< By lane.
};

/**
 * Distinguishes callers that retry after a refusal from new ones by their remaining time, which is
 * shorter.
 *
 * Answers the load of callers that state different deadlines for the same route. Compared with the
 * longest one, most first requests would look like retries, and would not count as demand.
 *
 *     const bool caller_retry = detector.IsCallerRetry(route, remaining, objective);
 */
class CallerRetryDetector {
 public:
  /** `stated` is the time from now during which a caller of the route waits for the response. */
  bool IsCallerRetry(const std::string& route, Milliseconds stated, Milliseconds objective) {
    const Milliseconds remaining = std::min(stated, kLongestRemaining);
    History& history = this->histories[route];
    history.Add(remaining);
    const Milliseconds margin = std::max(
        objective,
        std::chrono::duration_cast<Milliseconds>(kSpreadFactor * (history.upper - history.median)));
    return remaining + margin < history.upper;
  }

 private:
  // Longer deadlines are of no use here, and sums with them could overflow.
  static constexpr Milliseconds kLongestRemaining{3'600'000};

  // For evenly distributed deadlines of first requests, the distance from the upper value to the
  // lowest one is 2.25 times the distance to the median.
  static constexpr double kSpreadFactor = 2.5;

  /** The latest remaining times of a route. */
  struct History {
    // A few callers may state far longer deadlines than the others, so the upper value is exceeded
    // by a tenth of the requests.
    static constexpr std::size_t kUpperPercent = 90;
    static constexpr std::size_t kSize = 256;
    static constexpr std::size_t kUpdateInterval = 16;

    std::vector<Milliseconds> latest;
    std::size_t next = 0;
    std::size_t added = 0;
    Milliseconds median{0};
    Milliseconds upper{0};

    void Add(Milliseconds remaining) {
      if (this->latest.size() < kSize) {
        this->latest.push_back(remaining);
      } else {
        this->latest[this->next] = remaining;
        this->next = (this->next + 1) % kSize;
      }
      const std::size_t before = this->added++;
      if (kUpdateInterval < before && before % kUpdateInterval != 0) return;
      std::vector<Milliseconds> sorted = this->latest;
      std::sort(sorted.begin(), sorted.end());
      this->median = sorted[(sorted.size() - 1) / 2];
      this->upper = sorted[(sorted.size() - 1) * kUpperPercent / 100];
    }
  };

  std::map<std::string, History> histories;  ///< By route.
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_START_LIMIT_H_
