#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "harness/cluster.h"

// P6 (no new work to a leaving upstream), P7 (planned stops cut nothing) and the bound on requests
// that crash upstreams.
namespace limpetfall::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kLimit{30000};

// The brief's "a few seconds" after which a leaving upstream gets no new work.
constexpr std::int64_t kLeavingLimitMs = 3000;

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/** Callers that stream one completion after the other through one node. */
class SteadyCallers {
 public:
  SteadyCallers(Cluster& cluster, int node, int count) {
    for (int i = 0; i < count; ++i) {
      this->threads.emplace_back([this, &cluster, node, i] {
        for (int round = 0; !this->stopped; ++round) {
          auto stream =
              cluster.Stream(node, "steady " + std::to_string(i) + " " + std::to_string(round), 20);
          stream->WaitForEnd(kLimit);
          const std::string raw = stream->raw();
          if (stream->complete()) {
            ++this->whole;
          } else if (raw.find("token_index") != std::string::npos) {
            ++this->cut;
          } else {
            ++this->refused;
            std::this_thread::sleep_for(milliseconds(20));
          }
        }
      });
    }
  }
  ~SteadyCallers() { this->Stop(); }

  void Stop() {
    this->stopped = true;
    for (std::jthread& thread : this->threads) thread.join();
    this->threads.clear();
  }

  std::atomic<int> whole{0};
  std::atomic<int> cut{0};
  std::atomic<int> refused{0};

 private:
  std::atomic<bool> stopped{false};
  std::vector<std::jthread> threads;
};

class DrainIntegrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainIntegrationTest);
  CPPUNIT_TEST(PlannedStopOfNodeCutsNothing);
  CPPUNIT_TEST(StoppingNodeLeavesAddressesFirst);
  CPPUNIT_TEST(LeavingVmGetsNoNewWorkAndCutsNothing);
  CPPUNIT_TEST(LeavingReportCountsWhileVmListLags);
  CPPUNIT_TEST(LeavingServiceGetsNoNewWork);
  CPPUNIT_TEST(CrashingRequestKillsAtMostTwoGroups);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a stop that closes streams in flight or answers them with an error.
  void PlannedStopOfNodeCutsNothing() {
    ClusterOptions options = kSmall;
    options.token_ms = 20;
    auto cluster = Cluster::Start(options);
    SteadyCallers callers(*cluster, 2, 6);
    CPPUNIT_ASSERT(WaitFor([&] { return callers.whole >= 6; }, kLimit));
    cluster->node(2).Signal(SIGTERM);
    CPPUNIT_ASSERT(cluster->node(2).WaitForExit(kLimit));
    callers.Stop();
    CPPUNIT_ASSERT_EQUAL(0, cluster->node(2).exit_code());
    CPPUNIT_ASSERT_EQUAL(0, callers.cut.load());
  }

  // Guards against sending callers to a node that is about to refuse them.
  void StoppingNodeLeavesAddressesFirst() {
    auto cluster = Cluster::Start(kSmall);
    cluster->node(2).Signal(SIGTERM);
    const std::string stopping = cluster->caller_url(2).substr(7);
    const auto listed = [&](int node) {
      const Reply reply = Fetch("GET", cluster->caller_url(node) + "/v1/addresses");
      return reply.body.find(stopping) != std::string::npos;
    };
    CPPUNIT_ASSERT(WaitFor([&] { return !listed(0) && !listed(1); }, milliseconds(3000)));
    // A caller that was told the address before still gets its work done.
    CPPUNIT_ASSERT_EQUAL(200, cluster->Complete(2, "told before").status);
    CPPUNIT_ASSERT(cluster->node(2).WaitForExit(kLimit));
  }

  // Guards against new work for a VM that the list calls leaving, and against cut streams on it.
  void LeavingVmGetsNoNewWorkAndCutsNothing() {
    CheckLeaving([](Cluster& cluster, int vm) { cluster.SetVmList({vm}); });
  }

  // Guards against waiting for a VM list that lags when the engine itself says that it leaves.
  void LeavingReportCountsWhileVmListLags() {
    CheckLeaving(
        [](Cluster& cluster, int vm) { cluster.ControlEngine(vm, R"({"leaving":true})"); });
  }

  // Guards against new calls for a plain service that reports that it leaves.
  void LeavingServiceGetsNoNewWork() {
    auto cluster = Cluster::Start(kSmall);
    CPPUNIT_ASSERT_EQUAL(201, cluster->PlaceOrder(0, "stay-1", R"({"job":"stay"})").status);
    cluster->ControlService(R"({"leaving":true})");
    Reply refused;
    CPPUNIT_ASSERT(WaitFor(
        [&] {
          refused = cluster->PlaceOrder(0, "", R"({"job":"late"})");
          return refused.headers["x-verdict"] == "not-run";
        },
        milliseconds(kLeavingLimitMs)));
    const int run = cluster->CountOrderRuns("late");
    (void)cluster->PlaceOrder(1, "", R"({"job":"late"})");
    CPPUNIT_ASSERT(WaitFor(
        [&] {
          return cluster->PlaceOrder(1, "", R"({"job":"later"})").headers["x-verdict"] == "not-run";
        },
        milliseconds(kLeavingLimitMs)));
    CPPUNIT_ASSERT(cluster->CountOrderRuns("late") <= run + 1);
  }

  // Guards against one request that takes down group after group while its caller sends it again.
  void CrashingRequestKillsAtMostTwoGroups() {
    ClusterOptions options;
    options.domains = 2;
    options.vms_per_domain = 6;
    options.groups = 6;
    auto cluster = Cluster::Start(options);
    for (int vm = 0; vm < 12; ++vm) {
      cluster->ControlEngine(vm, R"({"crash_prompt":"poison"})");
    }
    for (int i = 0; i < 9; ++i) (void)cluster->Complete(i % 3, "poison", 8);
    int dead = 0;
    for (int vm = 0; vm < 12; ++vm) dead += !cluster->engine(vm).running();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(dead), dead >= 1 && dead <= 2);
    const Reply refused = cluster->Complete(0, "poison", 8);
    CPPUNIT_ASSERT_EQUAL(422, refused.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), refused.headers.at("x-verdict"));
    CPPUNIT_ASSERT_EQUAL(200, cluster->Complete(0, "harmless", 8).status);
  }

 private:
  // Marks a member as leaving under steady streams.
  template <typename Leave>
  static void CheckLeaving(Leave leave) {
    ClusterOptions options = kSmall;
    options.token_ms = 20;
    auto cluster = Cluster::Start(options);
    SteadyCallers callers(*cluster, 0, 6);
    CPPUNIT_ASSERT(WaitFor([&] { return callers.whole >= 12; }, kLimit));
    const std::vector<int> group = cluster->ServingMembers(0).front();
    const std::int64_t left_at = NowMs();
    leave(*cluster, group.back());
    CPPUNIT_ASSERT(WaitFor([&] { return NowMs() > left_at + kLeavingLimitMs + 1500; }, kLimit));
    callers.Stop();
    CPPUNIT_ASSERT_EQUAL(0, callers.cut.load());
    CPPUNIT_ASSERT(LatestStart(*cluster, group.front()) <= left_at + kLeavingLimitMs);
  }

  static std::int64_t LatestStart(const Cluster& cluster, int vm) {
    std::int64_t latest = 0;
    for (const json& run : cluster.EngineJournal(vm)) {
      latest = std::max(latest, run.value("started_ms", std::int64_t{0}));
    }
    return latest;
  }

  static const ClusterOptions kSmall;
};

const ClusterOptions DrainIntegrationTest::kSmall{
    .domains = 1, .vms_per_domain = 4, .vms_per_group = 2, .groups = 2};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
