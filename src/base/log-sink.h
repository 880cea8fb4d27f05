#ifndef LIMPETFALL_BASE_LOG_SINK_H_
#define LIMPETFALL_BASE_LOG_SINK_H_

#include <cstdint>
#include <string>

#include "limpetfall/time.h"

namespace limpetfall {

struct LogSinkOptions {
  /** Rate limit for routine lines: 10 times the peak rate of a node. */
  double lines_per_second = 400;
  double burst = 800;
  /** Size of the buffer for output that the reader has not consumed yet. */
  std::size_t max_pending_bytes = 256 << 10;
};

/**
 * Writes log lines to a file descriptor without blocking on its reader. Lines that exceed the rate
 * limit or the output buffer are dropped and counted; a `log_lines_dropped` line reports the count.
 * Only routine lines are rate-limited, warnings and errors are not. Not thread-safe.
 */
class LogSink {
 public:
  /** Makes the descriptor non-blocking. */
  LogSink(int file_descriptor, LogSinkOptions settings);

  /** Writes `line`, which has no trailing newline. A routine line is subject to the rate limit. */
  void Write(const std::string& line, bool routine, TimePoint now);

  /** Waits until the reader has taken all lines, for the last lines of a process. */
  void Drain(Deadline deadline);

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
