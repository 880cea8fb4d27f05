#include <list>

#include "harness/gateway-process-fixture.h"

namespace limpetfall::testing {
namespace {

/** Real gateway processes that are paused and resumed by signals. */
class GatewayFreezeIntegrationTest : public GatewayProcessFixture {
  CPPUNIT_TEST_SUITE(GatewayFreezeIntegrationTest);
  CPPUNIT_TEST(OrderOfCallerThatLeftDuringFreezeIsNotRun);
  CPPUNIT_TEST(OrderInFlightDuringFreezeRunsOnceAndIsAnswered);
  CPPUNIT_TEST(KeyRevokedDuringFreezeIsRefusedAfterIt);
  CPPUNIT_TEST(FrozenLeaderIsReplacedAndTakesNothingBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against running an order twice: its caller gives up on a frozen node and sends it to
  // another one, and the frozen node wakes up with the order still unread.
  void OrderOfCallerThatLeftDuringFreezeIsNotRun() {
    this->StartProcesses(1);
    this->processes.front()->Suspend();
    constexpr int kOrders = 20;
    std::vector<std::shared_ptr<HttpConnection>> connections;
    for (int i = 0; i < kOrders; ++i) {
      std::optional<Answer>& answer = this->answers.emplace_back();
      this->StartRequest("POST", "/order/1", "o" + std::to_string(i), "k1", "{}", answer);
      this->RunFor(20);
      connections.push_back(this->last_connection);
    }
    for (const auto& connection : connections) connection->Close();
    this->RunFor(300);
    this->processes.front()->Resume();
    this->RunFor(1500);
    for (int i = 0; i < kOrders; ++i) {
      CPPUNIT_ASSERT_EQUAL(0, this->deployment->CountRuns("o" + std::to_string(i)));
    }
    const Answer last = this->SendAndWait("POST", "/order/1", "last", "k1", "{}");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(last.body, 200, last.status);
  }

  // Guards against repeating or losing an order whose answer arrives while the node is frozen.
  void OrderInFlightDuringFreezeRunsOnceAndIsAnswered() {
    this->StartProcesses(1);
    this->deployment->plain_response_delay = Milliseconds(300);
    std::optional<Answer>& answer = this->answers.emplace_back();
    this->StartRequest("POST", "/order/1", "o1", "k1", "{}", answer);
    this->RunUntil([&] { return this->deployment->CountRuns("o1") == 1; }, 2000);
    this->processes.front()->Suspend();
    this->RunFor(800);
    this->processes.front()->Resume();
    this->RunUntil([&] { return answer.has_value(); }, 3000);
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
    CPPUNIT_ASSERT_EQUAL(1, this->deployment->CountRuns("o1"));
  }

  // Guards against serving with a proof of the configuration that expired during the freeze.
  void KeyRevokedDuringFreezeIsRefusedAfterIt() {
    this->StartProcesses(1);
    CPPUNIT_ASSERT_EQUAL(200, this->SendAndWait("POST", "/order/1", "o1", "k1", "{}").status);
    this->processes.front()->Suspend();
    this->deployment->Put("op/config", ConfigJson(6, R"("k2")"));
    this->RunFor(6000);
    std::optional<Answer>& answer = this->answers.emplace_back();
    this->StartRequest("POST", "/order/1", "o2", "k1", "{}", answer);
    this->RunFor(50);
    this->processes.front()->Resume();
    this->RunUntil([&] { return answer.has_value(); }, 3000);
    CPPUNIT_ASSERT(answer->status == 401 || answer->status == 503);
    CPPUNIT_ASSERT_EQUAL(0, this->deployment->CountRuns("o2"));
  }

  // Guards against a leader that wakes up and continues with the plan from before its freeze, while
  // another node has taken apart and rebuilt a group.
  void FrozenLeaderIsReplacedAndTakesNothingBack() {
    this->StartProcesses(2);
    this->RunFor(1000);
    const std::string leader = this->LeaderNode();
    Process& frozen = *this->processes.at(leader == "p0" ? 0 : 1);
    frozen.Suspend();
    this->RunUntil([&] { return !this->LeaderNode().empty() && this->LeaderNode() != leader; },
                   8000);
    const std::string lost = this->deployment->OpenHeads().front();
    this->deployment->RemoveRunnerEntry(lost);
    this->deployment->SetRunnerMode(lost, RunnerMode::kUnresponsive);
    const std::string plan_before = this->deployment->Get("limpetfall/plan");
    this->RunUntil([&] { return this->deployment->Get("limpetfall/plan") != plan_before; }, 12000);
    this->RunFor(1000);
    const std::string new_leader = this->deployment->Get("limpetfall/leader");
    frozen.Resume();
    this->RunFor(2500);
    CPPUNIT_ASSERT_EQUAL(new_leader, this->deployment->Get("limpetfall/leader"));
    const std::string plan = this->deployment->Get("limpetfall/plan");
    for (const std::string& head : this->deployment->OpenHeads()) {
      if (head == lost) continue;
      CPPUNIT_ASSERT(plan.find(this->deployment->GroupOf(head)) != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(),
                         this->SendAndWait("GET", "/chat/1", "s1", "k1").body);
  }

 private:
  std::list<std::optional<Answer>> answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayFreezeIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
