#ifndef LIMPETFALL_CORE_COLD_LIMIT_H_
#define LIMPETFALL_CORE_COLD_LIMIT_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "limpetfall/time.h"

namespace limpetfall {

/** How the upstreams of a service warm up after a start. */
struct ColdProfile {
  Milliseconds duration{0};  ///< An upstream is cold for this long after it starts during traffic.
  double rate_per_s = 0;     ///< Requests that a cold upstream takes from all nodes together.

  friend bool operator==(const ColdProfile&, const ColdProfile&) = default;
};

/** Bound on what all nodes together send to a cold upstream within any second, which is
 * `rate_factor` times its rate plus `rate_slack`. */
struct ColdLimitOptions {
  double rate_factor = 1;
  double rate_slack = 0;

  friend bool operator==(const ColdLimitOptions&, const ColdLimitOptions&) = default;
};

/**
 * Returns how many requests one of `nodes` nodes may send to a cold upstream within any second. No
 * messages are needed, so the bound also holds for nodes that have just started or hear no others.
 * If there are more nodes than requests, `node_hash` decides which of them may send one. It must
 * be evenly distributed over the nodes and differ between upstreams.
 */
[[nodiscard]] inline int ColdRequestsPerSecond(double rate_per_s, const ColdLimitOptions& options,
                                               std::size_t nodes, std::uint64_t node_hash) {
  // Far above the rate of any upstream; keeps the conversions below in range.
  constexpr double kMaxRate = 1e6;
  if (!(rate_per_s > 0)) return 0;
  const double rate = std::min(rate_per_s, kMaxRate);
  const auto count = static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double bound = std::min(rate * options.rate_factor + options.rate_slack, kMaxRate);
  if (bound < count) {
    // Half of the bound, as the hash chooses that many nodes on average only.
    constexpr double kHashRange = 1024;
    const double position = static_cast<double>(node_hash % 1024) / kHashRange;
    return position < bound / 2 / count ? 1 : 0;
  }
  return static_cast<int>(std::min(std::floor(bound / count), std::ceil(rate / count)));
}

/**
 * Requests that one node has sent to one upstream within the last second. Answers the load of many
 * nodes that all turn to an upstream that has just returned and looks idle. Has no side effects
 * outside the object.
 *
 *     if (limit.CanSend(allowed, now)) {
 *       limit.Reserve();
 *       ...
 *       limit.OnSent(now);  // Or `Release`, if it was not sent.
 *     }
 */
class ColdLimit {
 public:
  [[nodiscard]] bool CanSend(int allowed_per_second, TimePoint now) const {
    const auto recent = std::count_if(this->sends.begin(), this->sends.end(),
                                      [now](TimePoint at) { return now < at + kWindow; });
    return recent + this->reserved < allowed_per_second;
  }

  /** Counts a request that is about to be sent. A connection may have to be established first. */
  void Reserve() { ++this->reserved; }
  void Release() { --this->reserved; }

  /** Records that a reserved request is being sent. Also called for upstreams that are not cold,
   * which may turn cold at any time. */
  void OnSent(TimePoint now) {
    this->Release();
    while (!this->sends.empty() && this->sends.front() + kWindow <= now) this->sends.pop_front();
    this->sends.push_back(now);
  }

 private:
  // Slightly more than a second, as delays on the way to the upstream vary.
  static constexpr Milliseconds kWindow{1050};

  std::deque<TimePoint> sends;
  int reserved = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_COLD_LIMIT_H_
