#include "core/traffic-set.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace limpetfall {
namespace {

class TrafficSetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrafficSetTest);
  CPPUNIT_TEST(LargeNodesAreChosenFirst);
  CPPUNIT_TEST(AllNodesOfSmallFleetAreActive);
  CPPUNIT_TEST(SmallNodesAreAddedUntilCapacityIsReached);
  CPPUNIT_TEST(NodesThatAreNotReadyAreNotActive);
  CPPUNIT_TEST(WatchersAreChosenFromDifferentZones);
  CPPUNIT_TEST(EveryZoneOfAFleetHasAWatcher);
  CPPUNIT_TEST(SingleZoneHasAllWatchers);
  CPPUNIT_TEST(InputOrderDoesNotChangeSet);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against node-to-node traffic that grows with the square of the fleet size.
  void LargeNodesAreChosenFirst() {
    std::vector<TrafficNode> nodes;
    nodes.reserve(76);
    for (int i = 0; i < 70; ++i) nodes.push_back(Node("small-" + std::to_string(i), "a", 0.12));
    for (int i = 0; i < 6; ++i) nodes.push_back(Node("large-" + std::to_string(i), "b", 0.5));
    const TrafficSet set = ChooseTrafficSet(nodes, {8, 1.5});
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, set.active.size());
    CPPUNIT_ASSERT(set.active.front() == NodeId("large-0"));
    CPPUNIT_ASSERT(set.active[6].value.starts_with("small-"));
  }

  // Guards against idle nodes in a small fleet.
  void AllNodesOfSmallFleetAreActive() {
    std::vector<TrafficNode> nodes{Node("n1", "a", 0.25), Node("n2", "b", 0.25),
                                   Node("n3", "c", 0.25)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ChooseTrafficSet(nodes, {8, 1.5}).active.size());
  }

  // Guards against an active set without enough capacity when no large nodes remain.
  void SmallNodesAreAddedUntilCapacityIsReached() {
    std::vector<TrafficNode> nodes;
    nodes.reserve(76);
    for (int i = 0; i < 70; ++i) nodes.push_back(Node("n" + std::to_string(i), "a", 0.12));
    CPPUNIT_ASSERT_EQUAL(std::size_t{13}, ChooseTrafficSet(nodes, {8, 1.5}).active.size());
  }

  // Guards against callers being sent to a node that is stopping.
  void NodesThatAreNotReadyAreNotActive() {
    std::vector<TrafficNode> nodes{Node("n1", "a", 0.5), Node("n2", "b", 0.25)};
    nodes.front().ready = false;
    const TrafficSet set = ChooseTrafficSet(nodes, {8, 1.5});
    CPPUNIT_ASSERT(set.active == std::vector<NodeId>{NodeId("n2")});
  }

  // Guards against losing all watchers with one zone.
  void WatchersAreChosenFromDifferentZones() {
    std::vector<TrafficNode> nodes{Node("n1", "a", 0.5), Node("n2", "a", 0.5),
                                   Node("n3", "b", 0.25), Node("n4", "c", 0.25)};
    const TrafficSet set = ChooseTrafficSet(nodes, {8, 1.5});
    CPPUNIT_ASSERT((set.watchers == std::vector<NodeId>{NodeId("n1"), NodeId("n3"), NodeId("n4")}));
  }

  // Guards against nodes that copy all changes from another zone (odalaigh-fold-large: two of five
  // zones had no watcher, and the copies were most of the bytes between zones).
  void EveryZoneOfAFleetHasAWatcher() {
    std::vector<TrafficNode> nodes;
    nodes.reserve(95);
    for (int i = 0; i < 95; ++i) {
      nodes.push_back(Node("n" + std::to_string(i), "z" + std::to_string(i % 5), 0.12));
    }
    const TrafficSet set = ChooseTrafficSet(nodes, {8, 1.5});
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, set.watchers.size());
    std::set<std::string> zones;
    for (const TrafficNode& node : nodes) {
      const bool watches =
          std::find(set.watchers.begin(), set.watchers.end(), node.node) != set.watchers.end();
      if (watches) zones.insert(node.zone.value);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, zones.size());
  }

  // Guards against a single watcher in a fleet with one zone.
  void SingleZoneHasAllWatchers() {
    std::vector<TrafficNode> nodes{Node("n1", "a", 0.5), Node("n2", "a", 0.5), Node("n3", "a", 0.5),
                                   Node("n4", "a", 0.5)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ChooseTrafficSet(nodes, {8, 1.5}).watchers.size());
  }

  // Guards against different sets on nodes with the same member list.
  void InputOrderDoesNotChangeSet() {
    std::vector<TrafficNode> nodes{Node("n1", "a", 0.25), Node("n2", "b", 0.25),
                                   Node("n3", "c", 0.5)};
    const TrafficSet set = ChooseTrafficSet(nodes, {2, 0.1});
    std::reverse(nodes.begin(), nodes.end());
    CPPUNIT_ASSERT(set == ChooseTrafficSet(nodes, {2, 0.1}));
  }

 private:
  static TrafficNode Node(const std::string& name, const std::string& zone, double capacity) {
    return {NodeId(name), ZoneId(zone), capacity, true};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrafficSetTest);

}  // namespace
}  // namespace limpetfall
