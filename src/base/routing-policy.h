#ifndef LIMPETFALL_BASE_ROUTING_POLICY_H_
#define LIMPETFALL_BASE_ROUTING_POLICY_H_

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace limpetfall {

/** How a node chooses among the groups that may run a completion. */
enum class RoutingPolicy {
  kPrefixAndLoad,  ///< The group that holds the prefix, or the less loaded of two when overloaded.
  kRoundRobin,     ///< Baseline for measurements.
  kLeastInFlight,  ///< Baseline for measurements: fewest requests of this node.
};

inline constexpr std::array<std::pair<std::string_view, RoutingPolicy>, 3> kRoutingPolicies = {{
    {"prefix-and-load", RoutingPolicy::kPrefixAndLoad},
    {"round-robin", RoutingPolicy::kRoundRobin},
    {"least-in-flight", RoutingPolicy::kLeastInFlight},
}};

/** Returns the policy of that name in the settings. */
constexpr std::optional<RoutingPolicy> ParseRoutingPolicy(std::string_view name) {
  for (const auto& [known, policy] : kRoutingPolicies) {
    if (known == name) return policy;
  }
  return std::nullopt;
}

}  // namespace limpetfall

#endif  // LIMPETFALL_BASE_ROUTING_POLICY_H_
