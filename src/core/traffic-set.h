#ifndef LIMPETFALL_CORE_TRAFFIC_SET_H_
#define LIMPETFALL_CORE_TRAFFIC_SET_H_

#include <cstddef>
#include <vector>

#include "base/ids.h"

namespace limpetfall {

/** A node that could take callers. */
struct TrafficNode {
  NodeId node;
  ZoneId zone;
  double capacity = 1;  ///< Processor share of the node, in cores.
  bool ready = false;

  friend bool operator==(const TrafficNode&, const TrafficNode&) = default;
};

struct TrafficSetOptions {
  std::size_t fewest = 8;  ///< Nodes that carry traffic at least, against the loss of some.
  double cores = 1.5;      ///< Capacity that they have together at least.
};

/** How the nodes divide the work; nodes that know the same nodes agree on it. */
struct TrafficSet {
  /** Nodes that are given to callers and tell each other their load, the largest first. */
  std::vector<NodeId> active;
  /** Nodes that read the platform's store; the others follow them. One in each zone first. */
  std::vector<NodeId> watchers;

  friend bool operator==(const TrafficSet&, const TrafficSet&) = default;
};

/**
 * Chooses the nodes that carry traffic and those that read the store. In a large fleet a few large
 * nodes carry all of it, so that what nodes tell each other does not grow with the fleet, and the
 * others stand by for their loss.
 */
TrafficSet ChooseTrafficSet(std::vector<TrafficNode> nodes, const TrafficSetOptions& options);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_TRAFFIC_SET_H_
