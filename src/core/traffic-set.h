#ifndef LIMPETFALL_CORE_TRAFFIC_SET_H_
#define LIMPETFALL_CORE_TRAFFIC_SET_H_

#include <cstddef>
#include <vector>

#include "base/ids.h"

namespace limpetfall {

/** A node that may be chosen to receive caller traffic. */
struct TrafficNode {
  NodeId node;
  ZoneId zone;
  double capacity = 1;  ///< Processor share of the node, in cores.
  bool ready = false;

  friend bool operator==(const TrafficNode&, const TrafficNode&) = default;
};

struct TrafficSetOptions {
  std::size_t min_nodes = 8;  ///< Least number of active nodes, to tolerate the loss of some.
  double min_cores = 1.5;     ///< Least total capacity of the active nodes.
};

/** Division of work between the nodes. Nodes with the same member list compute the same set. */
struct TrafficSet {
  /** Nodes that receive caller traffic and exchange load reports, in order of falling capacity. */
  std::vector<NodeId> active;
  /**
   * Nodes that read the platform's store for the others. Each zone has one, so that changes cross
   * zones once and not once for each node. Traffic between zones is charged.
   */
  std::vector<NodeId> watchers;

  friend bool operator==(const TrafficSet&, const TrafficSet&) = default;
};

/**
 * Chooses the active nodes and the watchers. In a large fleet a few large nodes carry all traffic,
 * so that the load reports between nodes do not grow with the fleet. The other nodes are on
 * standby.
 */
TrafficSet ChooseTrafficSet(std::vector<TrafficNode> nodes, const TrafficSetOptions& options);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_TRAFFIC_SET_H_
