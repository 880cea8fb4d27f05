#ifndef LIMPETFALL_BASE_LOG_RATE_LIMIT_H_
#define LIMPETFALL_BASE_LOG_RATE_LIMIT_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "limpetfall/time.h"

namespace limpetfall {

/**
 * Limits how often one kind of event is logged. Log lines above informational level are not limited
 * by the log itself.
 *
 *     if (limit.TryTake(now)) Log(..., {{"suppressed", limit.TakeSuppressed()}});
 */
class LogRateLimit {
 public:
  [[nodiscard]] bool TryTake(TimePoint now) {
    if (this->refilled_at != TimePoint()) {
      const std::chrono::duration<double> elapsed = now - this->refilled_at;
      this->tokens = std::min(kBurstLines, this->tokens + elapsed.count() * kLinesPerSecond);
    }
    this->refilled_at = now;
    if (this->tokens < 1) {
      ++this->suppressed;
      return false;
    }
    this->tokens -= 1;
    return true;
  }

  /** Returns the number of lines that were not logged since the last call. */
  [[nodiscard]] std::int64_t TakeSuppressed() {
    const std::int64_t count = this->suppressed;
    this->suppressed = 0;
    return count;
  }

 private:
  // A few lines of one kind are enough to find the upstream; the counters have the number.
  static constexpr double kLinesPerSecond = 10;
  static constexpr double kBurstLines = 40;

  double tokens = kBurstLines;
  TimePoint refilled_at;
  std::int64_t suppressed = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_BASE_LOG_RATE_LIMIT_H_
