#ifndef LIMPETFALL_CORE_UPSTREAM_HEALTH_H_
#define LIMPETFALL_CORE_UPSTREAM_HEALTH_H_

#include "limpetfall/time.h"

namespace limpetfall {

/** How an attempt at an upstream failed. */
enum class UpstreamFault {
  kBrokenResponse,  ///< The connection was closed or reset, or the response was malformed.
  kErrorResponse,   ///< A complete response that reports a failure.
  kTimeout,         ///< No response within the time limit.
  kRefused,         ///< Not run, for example because the upstream is full.
  kMisdirected,     ///< Not run, because the upstream does not serve such requests at present.
};

struct UpstreamHealthOptions {
  /** Duration of the first suspension. It doubles for each further one until a request succeeds. */
  Milliseconds initial_suspension{1000};
  Milliseconds max_suspension{8000};

  friend bool operator==(const UpstreamHealthOptions&, const UpstreamHealthOptions&) = default;
};

/**
 * Health of one upstream, derived from the results of requests and not from its own reports.
 *
 * An upstream that immediately breaks every connection never has a request in flight. It looks idle
 * and would receive most of the traffic without this check. Has no side effects outside the object.
 */
class UpstreamHealth {
 public:
  explicit UpstreamHealth(UpstreamHealthOptions settings = {})
      : options(settings), next_suspension(settings.initial_suspension) {}

  void OnFault(UpstreamFault fault, TimePoint now);

  /** Records that bytes of a response have arrived. Ends a trial, but not a suspension. */
  void OnProgress(TimePoint now);

  /** Records that a complete response has arrived. */
  void OnSuccess(TimePoint now);

  /** Suspends an upstream that is considered lost. */
  void OnLost(TimePoint now);

  /** Returns whether the upstream is suspended, so that no requests should be sent to it. */
  [[nodiscard]] bool IsSuspended(TimePoint now) const { return now < this->suspended_until; }

  /** Returns whether the upstream was suspended and no response has arrived after the suspension.
   * Also true during the suspension. */
  [[nodiscard]] bool IsOnTrial() const { return this->suspended_until != Deadline(); }

  /** Returns whether the upstream was considered lost, and not only suspended for faults. */
  [[nodiscard]] bool IsLost() const { return this->lost; }

  /** Returns the fraction of recent attempts that failed, from 0 to 1. */
  [[nodiscard]] double FaultRate(TimePoint now) const;

 private:
  void Suspend(TimePoint now);
  void RecordOutcome(double outcome, TimePoint now);

  UpstreamHealthOptions options;
  double fault_rate = 0;
  TimePoint fault_rate_updated;
  int consecutive_broken = 0;
  Deadline suspended_until;
  Milliseconds next_suspension;
  bool lost = false;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_UPSTREAM_HEALTH_H_
