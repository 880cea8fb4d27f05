#include "core/traffic-set.h"

#include <algorithm>
#include <set>
#include <utility>

namespace limpetfall {
namespace {

// Each watcher adds calls to the store. Three leave one after the loss of any two.
constexpr std::size_t kMinWatcherCount = 3;

}  // namespace

TrafficSet ChooseTrafficSet(std::vector<TrafficNode> nodes, const TrafficSetOptions& options) {
  std::sort(nodes.begin(), nodes.end(), [](const TrafficNode& a, const TrafficNode& b) {
    if (a.ready != b.ready) return a.ready;
    if (a.capacity != b.capacity) return a.capacity > b.capacity;
    return a.node < b.node;
  });
  TrafficSet set;
  double cores = 0;
  for (const TrafficNode& node : nodes) {
    if (set.active.size() >= options.min_nodes && cores >= options.min_cores) break;
    if (!node.ready) break;
    set.active.push_back(node.node);
    cores += node.capacity;
  }
  std::set<ZoneId> zones;
  for (const TrafficNode& node : nodes) {
    if (zones.insert(node.zone).second) set.watchers.push_back(node.node);
  }
  for (const TrafficNode& node : nodes) {
    if (set.watchers.size() >= kMinWatcherCount) break;
    if (std::find(set.watchers.begin(), set.watchers.end(), node.node) != set.watchers.end()) {
      continue;
    }
    set.watchers.push_back(node.node);
  }
  return set;
}

}  // namespace limpetfall
