#ifndef LIMPETFALL_BASE_BOOT_CLOCK_H_
#define LIMPETFALL_BASE_BOOT_CLOCK_H_

#include <chrono>
#include <ctime>

namespace limpetfall {

/**
 * Monotonic clock that also advances while the VM is suspended. Used for leases and for checks that
 * data is recent enough, which must expire during a suspension.
 */
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now() {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  }
};

using BootTime = BootClock::time_point;

}  // namespace limpetfall

#endif  // LIMPETFALL_BASE_BOOT_CLOCK_H_
