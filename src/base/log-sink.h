#ifndef LIMPETFALL_BASE_LOG_SINK_H_
#define LIMPETFALL_BASE_LOG_SINK_H_

#include <cstdint>
#include <string>

#include "limpetfall/time.h"

namespace limpetfall {

struct LogSinkOptions {
  /** Lines a second; routine lines beyond are dropped. Ten times a node's busiest second. */
  double lines_per_second = 400;
  double burst = 800;
  std::size_t max_pending_bytes = 256 << 10;  ///< Kept for a reader that lags.
};

/**
 * Writes log lines to a file descriptor without ever waiting for its reader. Lines beyond the rate
 * or beyond what a slow reader leaves room for are dropped and counted; a line states how many.
 * Warnings and errors are exempt from the rate. Not thread-safe.
 */
class LogSink {
 public:
  /** Makes the descriptor non-blocking. */
  LogSink(int file_descriptor, LogSinkOptions settings);

  /** `line` is without its line break. */
  void Write(const std::string& line, bool routine, TimePoint now);

  [[nodiscard]] std::uint64_t dropped() const { return this->dropped_lines; }

 private:
  void Flush();
  void Append(const std::string& line);

  int descriptor;
  LogSinkOptions options;
  std::string pending;
  double tokens;
  TimePoint last_refill;
  std::uint64_t dropped_lines = 0;
  std::uint64_t reported_dropped_lines = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_BASE_LOG_SINK_H_
