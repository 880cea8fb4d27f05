#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <functional>
#include <iostream>
#include <random>
#include <thread>

#include "base/log.h"
#include "harness/net.h"
#include "harness/tcp-relay.h"
#include "node/node-service.h"

namespace limpetfall {
namespace {

using std::chrono::seconds;

/** Returns a loopback IP derived from the process id. `host` is the last octet. */
std::string LoopbackIp(std::size_t host) {
  const unsigned process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + process / 256 % 250) + "." + std::to_string(process % 256) +
         "." + std::to_string(host);
}

/** A node. The shared state is kept when the service is stopped. */
struct TestNode {
  SharedState state;
  std::shared_ptr<Metrics> metrics = Metrics::Create();
  std::unique_ptr<NodeService> service;
};

bool WaitFor(const std::function<bool()>& holds, Milliseconds limit = seconds(20)) {
  const Deadline deadline = Clock::now() + limit;
  while (!holds()) {
    if (Clock::now() >= deadline) return false;
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return true;
}

template <typename T>
T RunToCompletion(boost::asio::awaitable<T> operation) {
  boost::asio::io_context io;
  auto result = boost::asio::co_spawn(io, std::move(operation), boost::asio::use_future);
  io.run();
  return result.get();
}

SharedEntry SuspectEntry(const std::string& key, std::uint64_t version, Milliseconds lifetime) {
  return {key, version, Clock::now() + lifetime, SuspectMark{version, 1, false}};
}

class NodeServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeServiceTest);
  CPPUNIT_TEST(SevenNodesConvergeFromOneSeed);
  CPPUNIT_TEST(EntryReachesAllNodesAndExpires);
  CPPUNIT_TEST(UrgentEntryReachesAllNodesBeforeNextExchange);
  CPPUNIT_TEST(UrgentEntryIsForwardedInALargerCluster);
  CPPUNIT_TEST(KilledNodeIsDeadAndItsDomainsGetNewOwners);
  CPPUNIT_TEST(RestartedNodeRejoins);
  CPPUNIT_TEST(MalformedDataClosesOnlyItsConnection);
  CPPUNIT_TEST(UnresponsiveSeedDoesNotDelayJoin);
  CPPUNIT_TEST(UnresponsiveConnectionIsReplaced);
  CPPUNIT_TEST(UnresponsiveNodeIsDead);
  CPPUNIT_TEST(DelayedMessageDoesNotExtendEntryLifetime);
  CPPUNIT_TEST(PushAndWaitCountsAcknowledgements);
  CPPUNIT_TEST(LeavingNodeIsNotListedForCallers);
  CPPUNIT_TEST(SectionsAreFetchedFromPeers);
  CPPUNIT_TEST(AddressInUseIsAnError);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CPPUNIT_ASSERT(StartLogging("node-service-test", "error").has_value());
    this->options = {};
    this->options.membership = {Milliseconds(200), Milliseconds(100), Milliseconds(300),
                                seconds(30), 3};
    this->options.call_timeout = Milliseconds(500);
  }

  void tearDown() override { this->nodes.clear(); }

  void SevenNodesConvergeFromOneSeed() {
    const TimePoint start = Clock::now();
    this->StartNodes(7);
    CPPUNIT_ASSERT(this->WaitForMembers(7));
    std::cout << " after " << (Clock::now() - start) / Milliseconds(1) << " ms" << std::flush;
    CPPUNIT_ASSERT(
        WaitFor([&] { return this->node(3).ReachableMembers(seconds(10)).size() == 6; }));
  }

  void EntryReachesAllNodesAndExpires() {
    this->StartNodes(5);
    CPPUNIT_ASSERT(this->WaitForMembers(5));
    GroupSummary summary{GroupId("g1"),
                         4,
                         DomainId("d"),
                         ZoneId("z"),
                         ModelName("m"),
                         ModelVersion("1"),
                         GroupState::kServing,
                         {{VmId("v"), "127.0.0.1:1", "i"}},
                         2,
                         3};
    const Deadline expires = Clock::now() + seconds(3);
    this->nodes[4]->state.Put({"group/g1", 9, expires, summary}, Urgency::kNormal, Clock::now());
    CPPUNIT_ASSERT(WaitFor([&] { return this->CountHolders("group/g1") == 5; }, seconds(3)));
    const auto copy = this->nodes[0]->state.Find("group/g1", Clock::now());
    CPPUNIT_ASSERT(copy->value == SharedValue(summary));
    for (const auto& node : this->nodes) {
      CPPUNIT_ASSERT(node->state.Find("group/g1", Clock::now())->expires <= expires);
    }
    std::this_thread::sleep_until(expires);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->CountHolders("group/g1"));
  }

  void UrgentEntryReachesAllNodesBeforeNextExchange() {
    this->options.membership.probe_interval = seconds(5);
    this->StartNodes(5);
    CPPUNIT_ASSERT(this->WaitForMembers(5));
    this->nodes[2]->state.Put(SuspectEntry("suspect/7", 1, seconds(9)), Urgency::kUrgent,
                              Clock::now());
    CPPUNIT_ASSERT(WaitFor([&] { return this->CountHolders("suspect/7") == 5; }, seconds(1)));
  }

  // Guards against urgent entries that the first receivers do not forward. Random forwarding can
  // miss a node, which then receives the entry with the next exchange.
  void UrgentEntryIsForwardedInALargerCluster() {
    this->StartNodes(20);
    CPPUNIT_ASSERT(this->WaitForMembers(20));
    this->nodes[2]->state.Put(SuspectEntry("suspect/7", 1, seconds(60)), Urgency::kUrgent,
                              Clock::now());
    CPPUNIT_ASSERT(WaitFor([&] { return this->CountHolders("suspect/7") >= 10; }, seconds(1)));
    CPPUNIT_ASSERT(WaitFor([&] { return this->CountHolders("suspect/7") == 20; }, seconds(10)));
  }

  void KilledNodeIsDeadAndItsDomainsGetNewOwners() {
    this->StartNodes(5);
    CPPUNIT_ASSERT(this->WaitForMembers(5));
    const NodeId killed = this->node(4).Members()[3].node;
    CPPUNIT_ASSERT_EQUAL(std::string("node-3"), killed.value);
    const TimePoint start = Clock::now();
    this->nodes[3]->service.reset();
    CPPUNIT_ASSERT(
        WaitFor([&] { return this->CountViews(killed, MemberState::kDead) == 4; }, seconds(10)));
    std::cout << " after " << (Clock::now() - start) / Milliseconds(1) << " ms" << std::flush;
    for (int d = 0; d < 50; ++d) {
      const DomainId domain(std::to_string(d));
      CPPUNIT_ASSERT(this->node(0).OwnerOf(domain) != killed);
      CPPUNIT_ASSERT(this->node(0).OwnerOf(domain) == this->node(4).OwnerOf(domain));
    }
  }

  void RestartedNodeRejoins() {
    this->StartNodes(3);
    CPPUNIT_ASSERT(this->WaitForMembers(3));
    this->nodes[2]->service.reset();
    CPPUNIT_ASSERT(
        WaitFor([&] { return this->CountViews(NodeId("node-2"), MemberState::kDead) == 2; }));
    this->nodes[2] = this->MakeNode(2);
    CPPUNIT_ASSERT(this->WaitForMembers(3));
  }

  // Guards against invalid bytes, such as those of a port scanner, that crash the node.
  void MalformedDataClosesOnlyItsConnection() {
    this->StartNodes(3);
    CPPUNIT_ASSERT(this->WaitForMembers(3));
    std::mt19937 random(7);
    for (int round = 0; round < 40; ++round) {
      std::string bytes(256, '\0');
      for (char& c : bytes) c = static_cast<char>(random());
      if (round % 3 == 1) bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
      if (round % 3 == 2) bytes = std::string("\0\0\0\0\xff\xff\xff\x7f", 8);
      CPPUNIT_ASSERT(this->IsClosedAfter(this->node(0).address(), bytes));
    }
    CPPUNIT_ASSERT_EQUAL(
        2, RunToCompletion(this->node(0).PushAndWait(SuspectEntry("suspect/1", 1, seconds(5)),
                                                     Clock::now() + seconds(1))));
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->CountViews(NodeId("node-" + std::to_string(i)),
                                                            MemberState::kAlive));
    }
  }

  void UnresponsiveSeedDoesNotDelayJoin() {
    TcpRelay unresponsive(LoopbackIp(200));
    this->options.seeds = {unresponsive.address()};
    this->StartNodes(3);
    CPPUNIT_ASSERT(this->WaitForMembers(3));
  }

  // Guards against declaring a node dead because one of its connections is unresponsive.
  void UnresponsiveConnectionIsReplaced() {
    TcpRelay relay(LoopbackIp(200));
    this->StartNodesWithRelay(relay);
    for (int i = 0; i < 5; ++i) {
      relay.BlockOpenConnections();
      for (int j = 0; j < 100; ++j) {
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             this->CountViews(NodeId("node-2"), MemberState::kDead));
        std::this_thread::sleep_for(Milliseconds(10));
      }
    }
    CPPUNIT_ASSERT(
        WaitFor([&] { return this->CountViews(NodeId("node-2"), MemberState::kAlive) == 3; }));
  }

  // Guards against keeping a node as a member that accepts connections and never answers.
  void UnresponsiveNodeIsDead() {
    TcpRelay relay(LoopbackIp(200));
    this->StartNodesWithRelay(relay);
    this->nodes[2]->service.reset();
    relay.SetTarget("");
    CPPUNIT_ASSERT(
        WaitFor([&] { return this->CountViews(NodeId("node-2"), MemberState::kDead) == 2; }));
    const TimePoint start = Clock::now();
    CPPUNIT_ASSERT_EQUAL(
        1, RunToCompletion(this->node(0).PushAndWait(SuspectEntry("suspect/1", 1, seconds(5)),
                                                     Clock::now() + Milliseconds(300))));
    CPPUNIT_ASSERT(Clock::now() - start < seconds(1));
  }

  // Guards against extending the lifetime of a group summary by its transfer time.
  void DelayedMessageDoesNotExtendEntryLifetime() {
    this->options.membership = {seconds(5), seconds(5), seconds(30), seconds(30), 3};
    this->options.call_timeout = seconds(4);
    TcpRelay relay(LoopbackIp(200));
    this->StartNodesWithRelay(relay);
    relay.SetDelay(Milliseconds(400));
    const auto push = [&](const std::string& key, Milliseconds lifetime) {
      return RunToCompletion(
          this->node(0).PushAndWait(SuspectEntry(key, 1, lifetime), Clock::now() + seconds(8)));
    };
    CPPUNIT_ASSERT_EQUAL(1, push("suspect/short", Milliseconds(300)));
    const SharedEntry sent = SuspectEntry("suspect/long", 1, seconds(4));
    CPPUNIT_ASSERT_EQUAL(
        2, RunToCompletion(this->node(0).PushAndWait(sent, Clock::now() + seconds(8))));
    CPPUNIT_ASSERT(this->nodes[2]->state.Find("suspect/long", Clock::now())->expires <=
                   sent.expires);
  }

  void PushAndWaitCountsAcknowledgements() {
    this->StartNodes(5);
    CPPUNIT_ASSERT(this->WaitForMembers(5));
    const auto push = [&](std::uint64_t version) {
      return RunToCompletion(this->node(1).PushAndWait(
          SuspectEntry("suspect/1", version, seconds(5)), Clock::now() + Milliseconds(500)));
    };
    CPPUNIT_ASSERT_EQUAL(4, push(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), this->CountHolders("suspect/1"));
    this->nodes[3]->service.reset();
    const TimePoint start = Clock::now();
    CPPUNIT_ASSERT_EQUAL(3, push(2));
    CPPUNIT_ASSERT(Clock::now() - start < Milliseconds(900));
  }

  void LeavingNodeIsNotListedForCallers() {
    this->StartNodes(3);
    CPPUNIT_ASSERT(this->WaitForMembers(3));
    CPPUNIT_ASSERT_EQUAL(2,
                         RunToCompletion(this->node(1).AnnounceLeaving(Clock::now() + seconds(1))));
    for (const auto& node : this->nodes) {
      CPPUNIT_ASSERT(
          (node->service->CallerAddresses(ZoneId("z")) == std::vector<std::string>{"c0", "c2"}));
    }
  }

  void SectionsAreFetchedFromPeers() {
    this->options.section_source = [](const std::string& digest) -> std::optional<std::string> {
      if (digest == "absent") return std::nullopt;
      return "content of " + digest + std::string(3 << 20, 'x');
    };
    this->options.call_timeout = seconds(2);
    this->StartNodes(3);
    CPPUNIT_ASSERT(this->WaitForMembers(3));
    const Sections sections = RunToCompletion(
        this->node(0).FetchSections({"a", "absent", "b", "c"}, Clock::now() + seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), sections.size());
    CPPUNIT_ASSERT(sections.at("b").starts_with("content of b"));
  }

  void AddressInUseIsAnError() {
    this->StartNodes(1);
    TestNode second;
    NodeServiceOptions same = this->options;
    same.self = {NodeId("other"), ZoneId("z"), "c", this->node(0).address(), 0, {}};
    const auto service = NodeService::Create(same, second.state, second.metrics);
    CPPUNIT_ASSERT(service.error().code == ErrorCode::kUnavailable);
  }

 private:
  NodeService& node(std::size_t i) { return *this->nodes[i]->service; }

  std::unique_ptr<TestNode> MakeNode(std::size_t i, const std::string& advertised = "") {
    auto node = std::make_unique<TestNode>();
    NodeServiceOptions own = this->options;
    const std::string number = std::to_string(i);
    own.self = {NodeId("node-" + number), ZoneId("z"), "c" + number,
                LoopbackIp(i + 1) + ":0", 0,           {}};
    own.advertised_address = advertised;
    own.random_seed = i;
    if (i > 0) own.seeds.push_back(this->node(0).address());
    node->service = NodeService::Create(own, node->state, node->metrics).value();
    return node;
  }

  void StartNodes(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) this->nodes.push_back(this->MakeNode(i));
  }

  /** Starts three nodes. The first two reach the third through the relay. */
  void StartNodesWithRelay(TcpRelay& relay) {
    this->StartNodes(2);
    const std::string address = testing::FreeAddress(LoopbackIp(3));
    auto node = std::make_unique<TestNode>();
    NodeServiceOptions own = this->options;
    own.self = {NodeId("node-2"), ZoneId("z"), "c2", address, 0, {}};
    own.advertised_address = relay.address();
    own.seeds = {this->node(0).address()};
    relay.SetTarget(address);
    node->service = NodeService::Create(own, node->state, node->metrics).value();
    this->nodes.push_back(std::move(node));
    CPPUNIT_ASSERT(this->WaitForMembers(3));
  }

  bool WaitForMembers(std::size_t count) {
    const bool converged = WaitFor([&] {
      for (std::size_t i = 0; i < count; ++i) {
        const NodeId id("node-" + std::to_string(i));
        if (this->CountViews(id, MemberState::kAlive) != count) return false;
      }
      return true;
    });
    if (!converged) this->PrintViews(count);
    return converged;
  }

  /** Prints for each node the members that it does not consider alive. */
  void PrintViews(std::size_t count) {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (!this->nodes[i]->service) continue;
      const std::vector<NodeInfo> members = this->node(i).Members();
      std::cout << "\nnode-" << i << " has " << members.size() << " of " << count << " nodes;";
      for (const NodeInfo& info : members) {
        if (info.state == MemberState::kAlive) continue;
        std::cout << " " << info.node.value << " state " << static_cast<int>(info.state)
                  << " incarnation " << info.incarnation;
      }
    }
    std::cout << std::endl;
  }

  /** Returns how many running nodes have `id` in this state. */
  std::size_t CountViews(const NodeId& id, MemberState state) {
    std::size_t views = 0;
    for (const auto& node : this->nodes) {
      if (!node->service) continue;
      for (const NodeInfo& info : node->service->Members()) {
        if (info.node == id && info.state == state) ++views;
      }
    }
    return views;
  }

  std::size_t CountHolders(const std::string& key) {
    std::size_t holding = 0;
    for (const auto& node : this->nodes) {
      if (node->state.Find(key, Clock::now())) ++holding;
    }
    return holding;
  }

  /** Sends bytes and returns whether the connection is closed within a second. */
  static bool IsClosedAfter(const std::string& address, const std::string& bytes) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect(ParseEndpoint(address));
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    bool closed = false;
    std::string rest(4096, '\0');
    std::function<void()> read = [&] {
      socket.async_read_some(boost::asio::buffer(rest), [&](boost::system::error_code end, auto) {
        if (end) closed = true;
        if (!end) read();
      });
    };
    read();
    io.run_for(seconds(1));
    return closed;
  }

  NodeServiceOptions options;
  std::vector<std::unique_ptr<TestNode>> nodes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeServiceTest);

}  // namespace
}  // namespace limpetfall
