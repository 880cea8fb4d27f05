#ifndef LIMPETFALL_BASE_ROUTING_POLICY_H_
#define LIMPETFALL_BASE_ROUTING_POLICY_H_

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace limpetfall {

/** How a node selects one of the groups that can run a completion. */
enum class RoutingPolicy {
  kPrefixAndLoad,  ///< The group that caches the prefix; if overloaded, the less loaded of two.
  kRoundRobin,     ///< Baseline for benchmarks.
  kLeastInFlight,  ///< Baseline for benchmarks: the fewest requests in flight from this node.
};

inline constexpr std::array<std::pair<std::string_view, RoutingPolicy>, 3> kRoutingPolicies = {{
    {"prefix-and-load", RoutingPolicy::kPrefixAndLoad},
    {"round-robin", RoutingPolicy::kRoundRobin},
    {"least-in-flight", RoutingPolicy::kLeastInFlight},
}};

/** Parses the name of a policy as written in the settings. */
constexpr std::optional<RoutingPolicy> ParseRoutingPolicy(std::string_view name) {
  for (const auto& [known_names, policy] : kRoutingPolicies) {
    if (known_names == name) return policy;
  }
  return std::nullopt;
}

}  // namespace limpetfall

#endif  // LIMPETFALL_BASE_ROUTING_POLICY_H_
