#ifndef LIMPETFALL_CORE_SHARED_RETRY_BUDGET_H_
#define LIMPETFALL_CORE_SHARED_RETRY_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>

#include "base/ids.h"
#include "limpetfall/time.h"

namespace limpetfall {

struct RetryBudgetOptions {
  double share = 0.2;  ///< Extra attempts per request, over all nodes.
  double slack = 100;  ///< Additional extra attempts in a window, total of all nodes.
  Milliseconds window{10000};

  friend bool operator==(const RetryBudgetOptions&, const RetryBudgetOptions&) = default;
};

/** Nodes that share the retry budget, from the point of view of one of them. */
struct RetryBudgetNodes {
  bool active = true;              ///< Whether this node carries traffic.
  std::size_t active_nodes = 1;    ///< Reachable nodes that carry traffic.
  std::size_t standby_nodes = 0;   ///< Other reachable nodes.
  std::size_t expected_nodes = 1;  ///< Nodes that carry traffic if all known nodes are reachable.

  friend bool operator==(const RetryBudgetNodes&, const RetryBudgetNodes&) = default;
};

/**
 * Returns the fraction of the shared slack that a node may use. Standby nodes receive few requests,
 * so the active nodes get most of the slack. A node that does not reach others may itself be the
 * disconnected one, so its fraction does not grow while they are unreachable.
 */
inline double RetrySlackFraction(const RetryBudgetNodes& nodes) {
  constexpr double kActiveNodesFraction = 0.8;
  constexpr double kStandbyNodesFraction = 0.1;
  const auto at_least_one = [](std::size_t count) {
    return static_cast<double>(std::max<std::size_t>(1, count));
  };
  if (!nodes.active) return kStandbyNodesFraction / at_least_one(nodes.standby_nodes);
  return kActiveNodesFraction / at_least_one(std::max(nodes.active_nodes, nodes.expected_nodes));
}

/**
 * Limits the attempts after the first that all nodes together send to each service within any
 * window. Each node may use the attempts earned by its own requests and its fraction of the slack.
 *
 *     budget.OnRequest(service, now);
 *     if (budget.TryTake(service, now)) SendAgain();
 */
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryBudgetOptions settings) : options(settings) {}

  /** Sets the fraction of the slack that this node may use, from 0 to 1. */
  void SetSlackFraction(double fraction) { this->slack_fraction = std::clamp(fraction, 0.0, 1.0); }

  void OnRequest(const ServiceName& service, TimePoint now) {
    Usage& usage = this->services[service];
    this->RemoveExpired(usage, now);
    usage.requests.push_back(now);
  }

  /** Uses one extra attempt. Returns false if none is available. */
  [[nodiscard]] bool TryTake(const ServiceName& service, TimePoint now) {
    Usage& usage = this->services[service];
    this->RemoveExpired(usage, now);
    const double allowed = this->options.share * static_cast<double>(usage.requests.size()) +
                           this->options.slack * this->slack_fraction;
    if (static_cast<double>(usage.extra_attempts.size()) + 1 > allowed) return false;
    usage.extra_attempts.push_back(now);
    return true;
  }

 private:
  struct Usage {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> extra_attempts;
  };

  void RemoveExpired(Usage& usage, TimePoint now) const {
    for (auto* times : {&usage.requests, &usage.extra_attempts}) {
      while (!times->empty() && times->front() + this->options.window < now) times->pop_front();
    }
  }

  RetryBudgetOptions options;
  double slack_fraction = 1;
  std::map<ServiceName, Usage> services;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_SHARED_RETRY_BUDGET_H_
