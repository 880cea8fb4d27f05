#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>
#include <thread>

#include "harness/cluster.h"

// Properties P4 (an order with the verdict "not run" has not run) and P5 (an order runs at most
// once), checked against the journal of the order book.
namespace limpetfall::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::string VerdictOf(const Reply& reply) {
  const auto found = reply.headers.find("x-verdict");
  return found == reply.headers.end() ? "" : found->second;
}

class OrdersIntegrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrdersIntegrationTest);
  CPPUNIT_TEST(RepeatThroughAnotherNodeGetsRecordedOutcome);
  CPPUNIT_TEST(OrderWithDroppedReplyIsNotRetried);
  CPPUNIT_TEST(ConcurrentOrdersWithSameKeyRunOnce);
  CPPUNIT_TEST(OrderOfNodeKilledAfterDispatchRunsOnce);
  CPPUNIT_TEST(OrderWithLostClaimReplyRunsAtMostOnce);
  CPPUNIT_TEST(OrderDuringPlatformOutageIsNotRun);
  CPPUNIT_TEST(RepeatOfOrderDuringPlatformOutageMayHaveRun);
  CPPUNIT_TEST(OrderToUnresponsiveServiceMayHaveRun);
  CPPUNIT_TEST(OrderRefusedByServiceIsNotRunAndCanBeRepeated);
  CPPUNIT_TEST(OrderToUnreachableServiceIsNotRun);
  CPPUNIT_TEST(SameKeyWithOtherBodyIsRefused);
  CPPUNIT_TEST(OrderReportedNotRunHasNotRunUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against running a finished order again when its caller repeats it.
  void RepeatThroughAnotherNodeGetsRecordedOutcome() {
    auto cluster = Cluster::Start(kSmallCluster);
    const Reply first = cluster->PlaceOrder(0, "job-1", R"({"job":"repeat-1"})");
    const Reply second = cluster->PlaceOrder(1, "job-1", R"({"job":"repeat-1"})");
    CPPUNIT_ASSERT_EQUAL(std::string("ran"), VerdictOf(first));
    CPPUNIT_ASSERT_EQUAL(first.status, second.status);
    CPPUNIT_ASSERT_EQUAL(first.body, second.body);
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("repeat-1"));
  }

  // Guards against an automatic retry of an order that took effect and whose answer was lost.
  void OrderWithDroppedReplyIsNotRetried() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->ControlService(R"({"drop_after":1})");
    const Reply lost = cluster->PlaceOrder(0, "job-2", R"({"job":"dropped-2"})");
    CPPUNIT_ASSERT_EQUAL(std::string("may-have-run"), VerdictOf(lost));
    const Reply again = cluster->PlaceOrder(1, "job-2", R"({"job":"dropped-2"})");
    CPPUNIT_ASSERT(VerdictOf(again) != "not-run");
    const Reply without_key = cluster->PlaceOrder(2, "", R"({"job":"no-key"})");
    CPPUNIT_ASSERT_EQUAL(std::string("ran"), VerdictOf(without_key));
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("dropped-2"));
  }

  // Guards against two nodes that both claim an order which they receive at the same time.
  void ConcurrentOrdersWithSameKeyRunOnce() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->ControlService(R"({"delay_ms":300})");
    std::vector<Reply> replies(6);
    std::vector<std::jthread> callers;
    callers.reserve(6);
    for (int i = 0; i < 6; ++i) {
      callers.emplace_back([&, i] {
        replies[static_cast<std::size_t>(i)] =
            cluster->PlaceOrder(i % 3, "job-3", R"({"job":"twice-3"})");
      });
    }
    for (std::jthread& caller : callers) caller.join();
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("twice-3"));
    int ran = 0;
    for (const Reply& reply : replies) ran += VerdictOf(reply) == "ran";
    CPPUNIT_ASSERT(ran >= 1);
    for (const Reply& reply : replies) CPPUNIT_ASSERT(VerdictOf(reply) != "not-run");
  }

  // Guards against a second dispatch of an order whose node was killed while the service ran it.
  void OrderOfNodeKilledAfterDispatchRunsOnce() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->ControlService(R"({"delay_ms":3000})");
    std::jthread caller([&] { (void)cluster->PlaceOrder(0, "job-4", R"({"job":"killed-4"})"); });
    CPPUNIT_ASSERT(WaitFor([&] { return cluster->CountOrderRuns("killed-4") == 1; }, kWaitTimeout));
    cluster->node(0).Kill();
    caller.join();
    cluster->ControlService(R"({"delay_ms":0})");
    const Reply again = cluster->PlaceOrder(1, "job-4", R"({"job":"killed-4"})");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(again.body, std::string("may-have-run"), VerdictOf(again));
    cluster->RestartNode(0);
    CPPUNIT_ASSERT(WaitFor([&] { return cluster->Status(0).is_object(); }, kWaitTimeout));
    CPPUNIT_ASSERT(cluster->WaitForServingGroups(0, 2, kWaitTimeout));
    const Reply third = cluster->PlaceOrder(0, "job-4", R"({"job":"killed-4"})");
    CPPUNIT_ASSERT_MESSAGE(third.body, VerdictOf(third) != "not-run");
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("killed-4"));
  }

  // Guards against a second claim of an order whose claim took effect and whose claim reply was
  // lost.
  void OrderWithLostClaimReplyRunsAtMostOnce() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->ControlPlatform(R"({"drop_replies":1,"drop_prefix":"/limpetfall/orders/"})");
    const Reply first = cluster->PlaceOrder(0, "job-5", R"({"job":"claim-5"})");
    const Reply second = cluster->PlaceOrder(1, "job-5", R"({"job":"claim-5"})");
    const int run = cluster->CountOrderRuns("claim-5");
    CPPUNIT_ASSERT(run <= 1);
    CPPUNIT_ASSERT(VerdictOf(first) != "not-run" || run == 0 || VerdictOf(second) == "ran");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(second.body, std::string("ran"), VerdictOf(second));
  }

  // Guards against dispatching an order without a claim.
  void OrderDuringPlatformOutageIsNotRun() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->ControlPlatform(R"({"outage":"silent"})");
    const Reply refused =
        cluster->PlaceOrder(0, "job-6", R"({"job":"outage-6"})", {{"X-Attempt", "1"}});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.body, std::string("not-run"), VerdictOf(refused));
    CPPUNIT_ASSERT_EQUAL(0, cluster->CountOrderRuns("outage-6"));
    cluster->ControlPlatform(R"({"outage":"none"})");
    Reply accepted;
    CPPUNIT_ASSERT(WaitFor(
        [&] {
          accepted = cluster->PlaceOrder(1, "job-6", R"({"job":"outage-6"})");
          return VerdictOf(accepted) == "ran";
        },
        kWaitTimeout));
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("outage-6"));
  }

  // Guards against reporting "not run" for a repeat of an order that ran, when the claim is
  // unreadable.
  void RepeatOfOrderDuringPlatformOutageMayHaveRun() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->ControlService(R"({"drop_after":1})");
    (void)cluster->PlaceOrder(0, "job-11", R"({"job":"ran-11"})");
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("ran-11"));
    cluster->ControlPlatform(R"({"outage":"refuse"})");
    const Reply repeat = cluster->PlaceOrder(1, "job-11", R"({"job":"ran-11"})");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(repeat.body, std::string("may-have-run"), VerdictOf(repeat));
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("ran-11"));
  }

  // Guards against reporting "not run" for an order that took effect and was not answered.
  void OrderToUnresponsiveServiceMayHaveRun() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->ControlService(R"({"silent":1})");
    const Reply silent = Fetch("POST", cluster->caller_url(0) + "/v1/services/order-book/orders",
                               R"({"job":"silent-7"})",
                               {{"X-Branch", "ennis"},
                                {"X-Team", "councils"},
                                {"Idempotency-Key", "job-7"},
                                {"X-Deadline-Ms", "2000"}},
                               milliseconds(10000));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(silent.body, std::string("may-have-run"), VerdictOf(silent));
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("silent-7"));
    const Reply again = cluster->PlaceOrder(1, "job-7", R"({"job":"silent-7"})");
    CPPUNIT_ASSERT(VerdictOf(again) != "not-run");
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("silent-7"));
  }

  // Guards against an order that can never run because a refused attempt did not release its claim.
  void OrderRefusedByServiceIsNotRunAndCanBeRepeated() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->ControlService(R"({"refuse":10})");
    const Reply refused = cluster->PlaceOrder(0, "job-8", R"({"job":"refused-8"})");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.body, std::string("not-run"), VerdictOf(refused));
    CPPUNIT_ASSERT_EQUAL(0, cluster->CountOrderRuns("refused-8"));
    cluster->ControlService(R"({"refuse":0})");
    const Reply accepted = cluster->PlaceOrder(1, "job-8", R"({"job":"refused-8"})");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(accepted.body, std::string("ran"), VerdictOf(accepted));
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("refused-8"));
  }

  // Guards against reporting "may have run" for an order when the connection to the service failed.
  void OrderToUnreachableServiceIsNotRun() {
    auto cluster = Cluster::Start(kSmallCluster);
    cluster->service().Kill();
    const Reply refused = cluster->PlaceOrder(0, "job-9", R"({"job":"unreachable-9"})");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.body, std::string("not-run"), VerdictOf(refused));
    cluster->RestartService();
    Reply accepted;
    CPPUNIT_ASSERT(WaitFor(
        [&] {
          accepted = cluster->PlaceOrder(1, "job-9", R"({"job":"unreachable-9"})");
          return VerdictOf(accepted) == "ran";
        },
        kWaitTimeout));
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("unreachable-9"));
  }

  // Guards against answering an order with the recorded outcome of another one.
  void SameKeyWithOtherBodyIsRefused() {
    auto cluster = Cluster::Start(kSmallCluster);
    CPPUNIT_ASSERT_EQUAL(std::string("ran"),
                         VerdictOf(cluster->PlaceOrder(0, "job-10", R"({"job":"first-10"})")));
    const Reply other = cluster->PlaceOrder(1, "job-10", R"({"job":"other-10"})");
    CPPUNIT_ASSERT_EQUAL(422, other.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), VerdictOf(other));
    CPPUNIT_ASSERT_EQUAL(0, cluster->CountOrderRuns("other-10"));
  }

  // Guards against reporting "not run" for an order that ran. Also counts the verdicts "may have
  // run" for orders that have not run.
  void OrderReportedNotRunHasNotRunUnderRandomFaults() {
    auto cluster = Cluster::Start(kSmallCluster);
    constexpr unsigned kSeed = 20261204;
    constexpr int kOrders = 60;
    std::mt19937 random(kSeed);
    const std::vector<std::string> service_faults = {R"({"drop_after":1})", R"({"drop_before":1})",
                                                     R"({"refuse":1})", R"({"delay_ms":20})",
                                                     R"({"delay_ms":0})"};
    const std::vector<std::string> platform_faults = {
        R"({"drop_replies":1,"drop_prefix":"/limpetfall/orders/"})", R"({"slow_ms":30})",
        R"({"slow_ms":0})"};
    int false_may_have_run = 0;
    for (int i = 0; i < kOrders; ++i) {
      if (i % 2 == 0) cluster->ControlService(service_faults[random() % service_faults.size()]);
      if (i % 3 == 0) cluster->ControlPlatform(platform_faults[random() % platform_faults.size()]);
      const std::string job_name = "random-" + std::to_string(i) + "-";
      const std::string body = json({{"job", job_name}}).dump();
      const std::string key = "key-" + std::to_string(i);
      const Reply first = cluster->PlaceOrder(static_cast<int>(random() % 3), key, body);
      const int run = cluster->CountOrderRuns(job_name);
      CPPUNIT_ASSERT_MESSAGE(job_name, run <= 1);
      const std::string verdict = VerdictOf(first);
      CPPUNIT_ASSERT_MESSAGE(job_name + first.body, verdict != "not-run" || run == 0);
      CPPUNIT_ASSERT_MESSAGE(job_name + first.body, verdict != "ran" || run == 1);
      false_may_have_run += verdict == "may-have-run" && run == 0;
      (void)cluster->PlaceOrder(static_cast<int>(random() % 3), key, body);
      CPPUNIT_ASSERT_MESSAGE(job_name, cluster->CountOrderRuns(job_name) <= 1);
    }
    std::cout << "\nseed " << kSeed << ": " << false_may_have_run << " of " << kOrders
              << " orders got the verdict \"may have run\" and had not run\n";
  }

 private:
  static constexpr milliseconds kWaitTimeout{20000};
  static const ClusterOptions kSmallCluster;
};

const ClusterOptions OrdersIntegrationTest::kSmallCluster{
    .domains = 1, .vms_per_domain = 4, .vms_per_group = 2, .groups = 2};

CPPUNIT_TEST_SUITE_REGISTRATION(OrdersIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
