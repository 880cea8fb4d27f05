#include "base/log-sink.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace limpetfall {

LogSink::LogSink(int file_descriptor, LogSinkOptions settings)
    : descriptor(file_descriptor), options(settings), tokens(settings.burst) {
  const int flags = fcntl(this->descriptor, F_GETFL);
  if (flags >= 0) fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
}

void LogSink::Flush() {
  while (!this->pending.empty()) {
    const ssize_t written = ::write(this->descriptor, this->pending.data(), this->pending.size());
    if (written <= 0) return;
    this->pending.erase(0, static_cast<std::size_t>(written));
  }
}

void LogSink::Drain(Deadline deadline) {
  this->Flush();
  while (!this->pending.empty() && Clock::now() < deadline) {
    const Milliseconds left = TimeLeft(deadline, Clock::now());
    pollfd writable{this->descriptor, POLLOUT, 0};
    const int ready = ::poll(&writable, 1, static_cast<int>(left.count()));
    if (ready <= 0 || (writable.revents & POLLERR) != 0) return;
    const std::size_t before = this->pending.size();
    this->Flush();
    // A full disk stays writable and takes nothing.
    if (this->pending.size() == before) return;
  }
}

void LogSink::Append(const std::string& line) {
  if (this->pending.size() + line.size() + 1 > this->options.max_pending_bytes) {
    ++this->dropped_lines;
    return;
  }
  this->pending += line;
  this->pending += '\n';
}

void LogSink::Write(const std::string& line, bool routine, TimePoint now) {
  if (this->last_refill != TimePoint()) {
    const std::chrono::duration<double> elapsed = now - this->last_refill;
    this->tokens = std::min(this->options.burst,
                            this->tokens + elapsed.count() * this->options.lines_per_second);
  }
  this->last_refill = now;
  if (routine && this->tokens < 1) {
    ++this->dropped_lines;
    return;
  }
  if (routine) this->tokens -= 1;
  this->Flush();
  if (this->dropped_lines > this->reported_dropped_lines && this->pending.empty()) {
    this->Append("{\"level\":\"warning\",\"event\":\"log_lines_dropped\",\"count\":" +
                 std::to_string(this->dropped_lines - this->reported_dropped_lines) + "}");
    this->reported_dropped_lines = this->dropped_lines;
  }
  this->Append(line);
  this->Flush();
}

}  // namespace limpetfall
