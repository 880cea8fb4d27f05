#ifndef LIMPETFALL_CORE_UPSTREAM_HEALTH_H_
#define LIMPETFALL_CORE_UPSTREAM_HEALTH_H_

#include "limpetfall/time.h"

namespace limpetfall {

/** How an attempt at an upstream failed. */
enum class UpstreamFault {
  kBrokenResponse,  ///< Closed, reset or garbled instead of a whole answer.
  kErrorResponse,   ///< A whole answer that reports a failure.
  kTimeout,         ///< No answer in the time that was given.
  kRefused,         ///< Not run, for example because the upstream is full.
  kMisdirected,     ///< Not run: the upstream does not serve such requests at present.
};

struct UpstreamHealthOptions {
  /** First suspension; each further one without a success between is twice as long. */
  Milliseconds initial_suspension{1000};
  Milliseconds max_suspension{8000};

  friend bool operator==(const UpstreamHealthOptions&, const UpstreamHealthOptions&) = default;
};

/**
 * Health of one upstream as requests find it, whatever the upstream says of itself.
 *
 * Load that it answers: an upstream that breaks every connection at once never has a request in
 * flight, so it looks idle and would draw most of the traffic. Pure.
 */
class UpstreamHealth {
 public:
  explicit UpstreamHealth(UpstreamHealthOptions settings = {})
      : options(settings), next_suspension(settings.initial_suspension) {}

  void OnFault(UpstreamFault fault, TimePoint now);

  /** Bytes of an answer have arrived: a trial has gone well so far. */
  void OnProgress(TimePoint now);

  /** A whole answer has arrived. */
  void OnSuccess(TimePoint now);

  /** Suspends an upstream that is taken for lost. */
  void OnLost(TimePoint now);

  /** Says whether requests may be sent there. */
  [[nodiscard]] bool IsSuspended(TimePoint now) const { return now < this->suspended_until; }

  /** Says whether the suspension has ended and no answer has arrived since. */
  [[nodiscard]] bool IsOnTrial() const { return this->suspended_until != Deadline(); }

  /** Says whether it was taken for lost, and not only suspended for faults. */
  [[nodiscard]] bool IsLost() const { return this->lost; }

  /** Returns the part of recent attempts that failed, from 0 to 1. */
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
