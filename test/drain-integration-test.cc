#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "harness/cluster.h"

// Properties P6 (a leaving upstream gets no new requests) and P7 (planned stops truncate no
// streams), and the limit on requests that crash upstreams.
namespace limpetfall::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout{30000};

// Time after which a leaving upstream gets no new requests; the requirement is "a few seconds".
constexpr std::int64_t kLeavingLimitMs = 3000;

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/** Callers that stream completions through one node, each one after the other. */
class StreamingCallers {
 public:
  StreamingCallers(Cluster& cluster, int node, int count) {
    for (int i = 0; i < count; ++i) {
      this->threads.emplace_back([this, &cluster, node, i] {
        for (int round = 0; !this->stopped; ++round) {
          auto stream =
              cluster.Stream(node, "steady " + std::to_string(i) + " " + std::to_string(round), 20);
          stream->WaitForEnd(kWaitTimeout);
          const std::string raw = stream->raw();
          if (stream->complete()) {
            ++this->complete;
          } else if (raw.find("token_index") != std::string::npos) {
            ++this->truncated;
          } else {
            ++this->refused;
            std::this_thread::sleep_for(milliseconds(20));
          }
        }
      });
    }
  }
  ~StreamingCallers() { this->Stop(); }

  void Stop() {
    this->stopped = true;
    for (std::jthread& thread : this->threads) thread.join();
    this->threads.clear();
  }

  std::atomic<int> complete{0};
  std::atomic<int> truncated{0};
  std::atomic<int> refused{0};

 private:
  std::atomic<bool> stopped{false};
  std::vector<std::jthread> threads;
};

class DrainIntegrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainIntegrationTest);
  CPPUNIT_TEST(PlannedStopOfNodeTruncatesNoStream);
  CPPUNIT_TEST(StoppingNodeIsUnlistedBeforeItRefuses);
  CPPUNIT_TEST(LeavingVmGetsNoNewRequestsAndTruncatesNoStream);
  CPPUNIT_TEST(LeavingReportOfEngineTakesEffectBeforeVmList);
  CPPUNIT_TEST(LeavingServiceGetsNoNewCalls);
  CPPUNIT_TEST(CrashingRequestCrashesAtMostTwoEngines);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a planned stop that closes open streams or ends them with an error.
  void PlannedStopOfNodeTruncatesNoStream() {
    ClusterOptions options = kSmallCluster;
    options.token_ms = 20;
    auto cluster = Cluster::Start(options);
    StreamingCallers callers(*cluster, 2, 6);
    CPPUNIT_ASSERT(WaitFor([&] { return callers.complete >= 6; }, kWaitTimeout));
    cluster->node(2).Signal(SIGTERM);
    CPPUNIT_ASSERT(cluster->node(2).WaitForExit(kWaitTimeout));
    callers.Stop();
    CPPUNIT_ASSERT_EQUAL(0, cluster->node(2).exit_code());
    CPPUNIT_ASSERT_EQUAL(0, callers.truncated.load());
  }

  // Guards against listing the address of a node that is about to refuse requests.
  void StoppingNodeIsUnlistedBeforeItRefuses() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->node(2).Signal(SIGTERM);
    const std::string stopping = cluster->caller_url(2).substr(7);
    const auto listed = [&](int node) {
      const Reply reply = Fetch("GET", cluster->caller_url(node) + "/v1/addresses");
      return reply.body.find(stopping) != std::string::npos;
    };
    CPPUNIT_ASSERT(WaitFor([&] { return !listed(0) && !listed(1); }, milliseconds(3000)));
    // The node still serves callers that received the address earlier.
    CPPUNIT_ASSERT_EQUAL(200, cluster->Complete(2, "told before").status);
    CPPUNIT_ASSERT(cluster->node(2).WaitForExit(kWaitTimeout));
  }

  // Guards against new requests for a VM that the VM list marks as leaving, and against truncating
  // its open streams.
  void LeavingVmGetsNoNewRequestsAndTruncatesNoStream() {
    CheckLeaving([](Cluster& cluster, int vm) { cluster.SetVmList({vm}); });
  }

  // Guards against ignoring the leaving state in the report of an engine until the VM list shows
  // it.
  void LeavingReportOfEngineTakesEffectBeforeVmList() {
    CheckLeaving(
        [](Cluster& cluster, int vm) { cluster.ControlEngine(vm, R"({"leaving":true})"); });
  }

  // Guards against new calls to a plain service that reports the state leaving.
  void LeavingServiceGetsNoNewCalls() {
    auto cluster = Cluster::Start(kSmallCluster);
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

  // Guards against a request that crashes one engine after the other when its caller repeats it.
  void CrashingRequestCrashesAtMostTwoEngines() {
    ClusterOptions options;
    options.domains = 2;
    options.vms_per_domain = 6;
    options.groups = 6;
    auto cluster = Cluster::Start(options);
    for (int vm = 0; vm < 12; ++vm) {
      cluster->ControlEngine(vm, R"({"crash_prompt":"poison"})");
    }
    for (int i = 0; i < 9; ++i) (void)cluster->Complete(i % 3, "poison", 8);
    int crashed = 0;
    for (int vm = 0; vm < 12; ++vm) crashed += !cluster->engine(vm).running();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(crashed), crashed >= 1 && crashed <= 2);
    const Reply refused = cluster->Complete(0, "poison", 8);
    CPPUNIT_ASSERT_EQUAL(422, refused.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), refused.headers.at("x-verdict"));
    CPPUNIT_ASSERT_EQUAL(200, cluster->Complete(0, "harmless", 8).status);
  }

 private:
  // Marks a group member as leaving while callers stream without pause.
  template <typename MarkLeaving>
  static void CheckLeaving(MarkLeaving mark_leaving) {
    ClusterOptions options = kSmallCluster;
    options.token_ms = 20;
    auto cluster = Cluster::Start(options);
    StreamingCallers callers(*cluster, 0, 6);
    CPPUNIT_ASSERT(WaitFor([&] { return callers.complete >= 12; }, kWaitTimeout));
    const std::vector<int> group = cluster->ServingMembers(0).front();
    const std::int64_t leaving_since_ms = NowMs();
    mark_leaving(*cluster, group.back());
    CPPUNIT_ASSERT(
        WaitFor([&] { return NowMs() > leaving_since_ms + kLeavingLimitMs + 1500; }, kWaitTimeout));
    callers.Stop();
    CPPUNIT_ASSERT_EQUAL(0, callers.truncated.load());
    CPPUNIT_ASSERT(LatestStart(*cluster, group.front()) <= leaving_since_ms + kLeavingLimitMs);
  }

  static std::int64_t LatestStart(const Cluster& cluster, int vm) {
    std::int64_t latest = 0;
    for (const json& run : cluster.EngineJournal(vm)) {
      latest = std::max(latest, run.value("started_ms", std::int64_t{0}));
    }
    return latest;
  }

  static const ClusterOptions kSmallCluster;
};

const ClusterOptions DrainIntegrationTest::kSmallCluster{
    .domains = 1, .vms_per_domain = 4, .vms_per_group = 2, .groups = 2};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
