#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <iostream>
#include <thread>

#include "harness/cluster.h"

// Property P8: an accepted document is in force on all nodes within seconds, and no node returns to
// an older one.
namespace limpetfall::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kInForceLimit{5000};
constexpr milliseconds kWaitTimeout{20000};

int VersionOf(const Reply& reply) {
  const auto found = reply.headers.find("x-config-version");
  return found == reply.headers.end() ? 0 : std::stoi(found->second);
}

class ConfigIntegrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigIntegrationTest);
  CPPUNIT_TEST(AcceptedChangeIsInForceOnAllNodes);
  CPPUNIT_TEST(OnlyOneOfConcurrentChangesIsAccepted);
  CPPUNIT_TEST(InvalidDocumentIsRejectedWithAllErrors);
  CPPUNIT_TEST(ChangeIsInForceAfterLostManifestWriteReply);
  CPPUNIT_TEST(RequestsAreServedDuringPlatformOutage);
  CPPUNIT_TEST(StaleReadDoesNotRevertVersion);
  CPPUNIT_TEST(NodeThatMissedMessagesGetsNewVersionDespiteStaleReads);
  CPPUNIT_TEST(NodeStartedDuringOutageGetsVersionFromPeers);
  CPPUNIT_TEST(RestartedNodeHandlesEntriesReceivedDuringStart);
  CPPUNIT_TEST(IsolatedNodeRefusesWithNotRun);
  CPPUNIT_TEST(NodeWithoutPlatformGetsNewVersionFromPeers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against nodes that apply a change only at their next poll, or never.
  void AcceptedChangeIsInForceOnAllNodes() {
    auto cluster = Cluster::Start(kSmallCluster);
    for (int version = 2; version <= 6; ++version) {
      const Reply applied = ApplyWeight(*cluster, version % 3, version);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(applied.body, 200, applied.status);
      for (int node = 0; node < 3; ++node) {
        CPPUNIT_ASSERT(
            WaitFor([&] { return ServedVersion(*cluster, node) == version; }, kInForceLimit));
      }
    }
  }

  // Guards against lost updates: a change that overwrites a concurrent one without an error.
  void OnlyOneOfConcurrentChangesIsAccepted() {
    auto cluster = Cluster::Start(kSmallCluster);
    std::atomic<int> accepted{0};
    std::atomic<int> conflicts{0};
    std::vector<std::jthread> operators;
    operators.reserve(6);
    for (int i = 0; i < 6; ++i) {
      operators.emplace_back([&, i] {
        json document = cluster->document();
        document["teams"][0]["weight"] = 10 + i;
        const Reply reply = cluster->Apply(i % 3, document, "1");
        accepted += reply.status == 200;
        conflicts += reply.status == 409;
      });
    }
    for (std::jthread& thread : operators) thread.join();
    CPPUNIT_ASSERT_EQUAL(1, accepted.load());
    CPPUNIT_ASSERT_EQUAL(5, conflicts.load());
  }

  // Guards against partially applied documents, and against reporting only the first error.
  void InvalidDocumentIsRejectedWithAllErrors() {
    auto cluster = Cluster::Start(kSmallCluster);
    json document = cluster->document();
    document["teams"][0]["weight"] = -1;
    document["branches"][0]["models"][0]["version"] = "9";
    document["surprise"] = true;
    const Reply reply = cluster->Apply(0, document, "1");
    CPPUNIT_ASSERT_EQUAL(422, reply.status);
    for (const char* pointer : {"/teams/0/weight", "/branches/0/models/0/version", "/surprise"}) {
      CPPUNIT_ASSERT_MESSAGE(reply.body, reply.body.find(pointer) != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(1, ServedVersion(*cluster, 0));
  }

  // Guards against reporting a change as refused, or applying it twice, when the write took effect
  // and its reply was lost.
  void ChangeIsInForceAfterLostManifestWriteReply() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->ControlPlatform(R"({"drop_replies":1,"drop_prefix":"/limpetfall/config/manifest"})");
    const Reply applied = ApplyWeight(*cluster, 0, 2);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(applied.body, 200, applied.status);
    for (int node = 0; node < 3; ++node) {
      CPPUNIT_ASSERT(WaitFor([&] { return ServedVersion(*cluster, node) == 2; }, kInForceLimit));
    }
  }

  // Guards against nodes that stop serving while the store is unavailable. The outage is longer
  // than the lifetimes of confirmations, summaries and addresses.
  void RequestsAreServedDuringPlatformOutage() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->ControlPlatform(R"({"outage":"silent","vm_outage":"silent"})");
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(12);
    int served = 0;
    while (std::chrono::steady_clock::now() < end) {
      const Reply reply = cluster->Complete(served % 3, "outage " + std::to_string(served));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.error, 200, reply.status);
      ++served;
    }
    const Reply refused = ApplyWeight(*cluster, 0, 2);
    CPPUNIT_ASSERT_MESSAGE(refused.body, refused.status != 200);
    cluster->ControlPlatform(R"({"outage":"none","vm_outage":"none"})");
    CPPUNIT_ASSERT(
        WaitFor([&] { return ApplyWeight(*cluster, 1, 2).status == 200; }, kWaitTimeout));
    std::cout << "\n" << served << " completions served during the outage\n";
  }

  // Guards against nodes that return to an older version when the store answers from an outdated
  // replica after a failover. Once a version is in force on all nodes, none may serve an older one.
  void StaleReadDoesNotRevertVersion() {
    auto cluster = Cluster::Start(kSmallCluster);
    for (int version = 2; version <= 4; ++version) {
      CPPUNIT_ASSERT_EQUAL(200, ApplyWeight(*cluster, 0, version).status);
    }
    for (int node = 0; node < 3; ++node) {
      CPPUNIT_ASSERT(WaitFor([&] { return ServedVersion(*cluster, node) == 4; }, kInForceLimit));
    }
    cluster->ControlPlatform(R"({"stale_revision":8})");
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(8);
    while (std::chrono::steady_clock::now() < end) {
      for (int node = 0; node < 3; ++node) {
        const int version = ServedVersion(*cluster, node);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(version), version == 4 || version == 0);
      }
    }
    cluster->ControlPlatform(R"({"stale_revision":0})");
    for (int node = 0; node < 3; ++node) {
      CPPUNIT_ASSERT(WaitFor([&] { return ServedVersion(*cluster, node) == 4; }, kWaitTimeout));
    }
  }

  // Guards against a node that stays at an old version because it missed the messages about the new
  // one and the store returns stale reads.
  void NodeThatMissedMessagesGetsNewVersionDespiteStaleReads() {
    ClusterOptions options = kSmallCluster;
    options.proxy_nodes = true;
    auto cluster = Cluster::Start(options);
    cluster->ControlNodeProxy(2, R"({"mode":"cut"})");
    CPPUNIT_ASSERT_EQUAL(200, ApplyWeight(*cluster, 0, 2).status);
    cluster->ControlPlatform(R"({"stale_revision":8})");
    cluster->ControlNodeProxy(2, R"({"mode":"pass"})");
    for (int node = 0; node < 3; ++node) {
      CPPUNIT_ASSERT(WaitFor([&] { return ServedVersion(*cluster, node) == 2; }, kInForceLimit));
    }
  }

  // Guards against a new node that serves no version, or an old one, during a store outage.
  void NodeStartedDuringOutageGetsVersionFromPeers() {
    auto cluster = Cluster::Start(kSmallCluster);
    CPPUNIT_ASSERT_EQUAL(200, ApplyWeight(*cluster, 0, 2).status);
    cluster->ControlPlatform(R"({"outage":"refuse","vm_outage":"refuse"})");
    cluster->RestartNode(2);
    CPPUNIT_ASSERT(WaitFor([&] { return ServedVersion(*cluster, 2) == 2; }, kWaitTimeout));
  }

  // Guards against a crash on entries that peers send before the node has constructed all
  // components.
  void RestartedNodeHandlesEntriesReceivedDuringStart() {
    auto cluster = Cluster::Start(kSmallCluster);
    for (int round = 0; round < 8; ++round) {
      cluster->RestartNode(2);
      CPPUNIT_ASSERT(WaitFor([&] { return ServedVersion(*cluster, 2) == 1; }, kWaitTimeout));
      CPPUNIT_ASSERT_MESSAGE(cluster->node(2).log(), cluster->node(2).running());
    }
  }

  // Guards against a node that serves an outdated document while it reaches neither store nor
  // peers.
  void IsolatedNodeRefusesWithNotRun() {
    ClusterOptions options = kSmallCluster;
    options.proxy_platform = true;
    options.proxy_nodes = true;
    auto cluster = Cluster::Start(options);
    cluster->ControlPlatformProxy(2, R"({"mode":"silence"})");
    // Blocking all RPC ports separates the nodes from each other. Nodes 0 and 1 still reach the
    // store.
    for (int node = 0; node < 3; ++node) cluster->ControlNodeProxy(node, R"({"mode":"silence"})");
    CPPUNIT_ASSERT(WaitFor([&] { return ServedVersion(*cluster, 2) == 0; }, kWaitTimeout));
    const Reply refused = cluster->Complete(2, "cut off");
    CPPUNIT_ASSERT_EQUAL(503, refused.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), refused.headers.at("x-verdict"));
    for (int node = 0; node < 2; ++node) {
      CPPUNIT_ASSERT_EQUAL(200, cluster->Complete(node, "with platform").status);
    }
    cluster->ControlPlatformProxy(2, R"({"mode":"pass"})");
    for (int node = 0; node < 3; ++node) cluster->ControlNodeProxy(node, R"({"mode":"pass"})");
    CPPUNIT_ASSERT(WaitFor([&] { return ServedVersion(*cluster, 2) == 1; }, kWaitTimeout));
  }

  // Guards against two versions in force at the same time while some nodes do not reach the store.
  void NodeWithoutPlatformGetsNewVersionFromPeers() {
    ClusterOptions options = kSmallCluster;
    options.proxy_platform = true;
    auto cluster = Cluster::Start(options);
    cluster->ControlPlatformProxy(2, R"({"mode":"cut"})");
    // Node 2 still receives the change from its peers.
    CPPUNIT_ASSERT_EQUAL(200, ApplyWeight(*cluster, 0, 2).status);
    CPPUNIT_ASSERT(WaitFor([&] { return ServedVersion(*cluster, 2) == 2; }, kInForceLimit));
    CPPUNIT_ASSERT_EQUAL(2, VersionOf(cluster->Complete(2, "without platform")));
  }

 private:
  static Reply ApplyWeight(const Cluster& cluster, int node, int next_version) {
    json document = cluster.document();
    document["teams"][0]["weight"] = next_version;
    return cluster.Apply(node, document, std::to_string(next_version - 1));
  }

  // Returns the configuration version in the answer of this node, or 0 if it refuses the request.
  static int ServedVersion(const Cluster& cluster, int node) {
    const Reply reply = cluster.Complete(node, "version", 1);
    return reply.status == 200 ? VersionOf(reply) : 0;
  }

  static const ClusterOptions kSmallCluster;
};

const ClusterOptions ConfigIntegrationTest::kSmallCluster{
    .domains = 1, .vms_per_domain = 4, .vms_per_group = 2, .groups = 2};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
