#include <list>

#include "harness/gateway-process-fixture.h"

namespace limpetfall::testing {
namespace {

/** Sends requests that crash each upstream that begins to run them. */
template <typename Fixture>
class CrashingRequestFixture : public Fixture {
 protected:
  void WaitForGroups() {
    this->RunUntil([&] { return this->deployment->OpenHeads().size() == 3; }, 15000);
    this->RunFor(200);
  }

  /** Sends a request to the nodes in turn until three upstreams have ended and all nodes can know
   * it. */
  void EndThreeUpstreams(const std::string& method, const std::string& target) {
    for (int sent = 0; this->deployment->crashes < 3; ++sent) {
      CPPUNIT_ASSERT(sent < 12);
      this->SendTo(sent, method, target);
      this->RunFor(1200);
    }
    CPPUNIT_ASSERT_EQUAL(3, this->deployment->crashes);
    this->RunFor(1500);
  }

  /** Sends repeats to all nodes. They must be refused at once and truly, without a time at which to
   * come back. */
  void ExpectRepeatsRefused(const std::string& method, const std::string& target) {
    const int crashes = this->deployment->crashes;
    for (int sent = 0; sent < 9; ++sent) {
      const TimePoint start = Clock::now();
      const Answer answer = this->SendTo(sent, method, target);
      CPPUNIT_ASSERT_EQUAL(503, answer.status);
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer.headers.at("X-Verdict"));
      CPPUNIT_ASSERT(!answer.headers.contains("Retry-After"));
      CPPUNIT_ASSERT(Clock::now() < start + Milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(crashes, this->deployment->crashes);
  }

  void ExpectOtherRequestsServed() {
    this->WaitForGroups();
    for (int sent = 0; sent < 3; ++sent) {
      CPPUNIT_ASSERT_EQUAL(200, this->SendTo(sent, "GET", "/lookup/1").status);
      CPPUNIT_ASSERT_EQUAL(this->CompleteStream(), this->SendTo(sent, "GET", "/chat/1").body);
    }
  }

  Answer SendTo(int node, const std::string& method, const std::string& target) {
    this->caller_address =
        this->caller_addresses.at(static_cast<std::size_t>(node) % this->caller_addresses.size());
    return this->SendAndWait(method, target, "r" + std::to_string(++this->requests), "k1",
                             method == "POST" ? "{}" : "");
  }

 private:
  int requests = 0;
};

class CrashingRequestIntegrationTest : public CrashingRequestFixture<GatewayFixture> {
  CPPUNIT_TEST_SUITE(CrashingRequestIntegrationTest);
  CPPUNIT_TEST(RepeatsOfCrashingLookupAtAllNodesEndThreeUpstreams);
  CPPUNIT_TEST(RepeatsOfCrashingOrderAtAllNodesEndThreeUpstreams);
  CPPUNIT_TEST(RepeatsOfCrashingStreamAtAllNodesEndThreeUpstreams);
  CPPUNIT_TEST(DifferentRequestsWithCrashingPartAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that ends one upstream after the other: its repeats reached three
  // upstreams and were then sent on without limit, because no node counted crashes for a request.
  void RepeatsOfCrashingLookupAtAllNodesEndThreeUpstreams() { this->Run("GET", "/lookup/crash"); }

  void RepeatsOfCrashingOrderAtAllNodesEndThreeUpstreams() { this->Run("POST", "/order/crash"); }

  void RepeatsOfCrashingStreamAtAllNodesEndThreeUpstreams() { this->Run("GET", "/chat/crash"); }

  // Guards against a prompt part that ends one upstream after the other, in requests of which no
  // two are alike, and against refusing sound requests with the same key and first part.
  void DifferentRequestsWithCrashingPartAreRefused() {
    this->StartNodes();
    this->prompt_parts = "f1:40,crash:100,o1:10";
    for (int sent = 0; this->deployment->crashes < 3; ++sent) {
      CPPUNIT_ASSERT(sent < 12);
      this->SendTo(sent, "GET", "/chat/" + std::to_string(sent));
      this->RunFor(1200);
    }
    this->WaitForGroups();
    const int crashes = this->deployment->crashes;
    CPPUNIT_ASSERT(crashes <= 5);
    for (int sent = 0; sent < 9; ++sent) {
      const std::string number = std::to_string(100 + sent);
      this->prompt_parts = "f1:40,crash:100,o" + number + ":10";
      CPPUNIT_ASSERT_EQUAL(503, this->SendTo(sent, "GET", "/chat/" + number).status);
      this->prompt_parts = "f1:40,o" + number + ":10";
      CPPUNIT_ASSERT_EQUAL(this->CompleteStream(),
                           this->SendTo(sent, "GET", "/chat/s" + number).body);
    }
    CPPUNIT_ASSERT_EQUAL(crashes, this->deployment->crashes);
  }

 private:
  void StartNodes() {
    this->deployment->crashing_text = "crash";
    this->deployment->Put("op/config", ConfigJson(5, R"("k1")"));
    std::vector<std::string> seeds;
    for (int i = 0; i < 3; ++i) {
      const std::string address = FreeAddress();
      this->StartNode("n" + std::to_string(i), address, seeds);
      seeds.push_back(address);
    }
    this->WaitForGroups();
    this->RunFor(1500);
  }

  void Run(const std::string& method, const std::string& target) {
    this->StartNodes();
    this->EndThreeUpstreams(method, target);
    this->ExpectRepeatsRefused(method, target);
    this->ExpectOtherRequestsServed();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestIntegrationTest);

/** Nodes that lose their memory, stand still, or lose the store after a request has been found to
 * crash upstreams. */
class CrashingRequestProcessIntegrationTest : public CrashingRequestFixture<GatewayProcessFixture> {
  CPPUNIT_TEST_SUITE(CrashingRequestProcessIntegrationTest);
  CPPUNIT_TEST(CrashingOrderIsRefusedAfterAllNodesWereKilled);
  CPPUNIT_TEST(CrashingOrderIsRefusedByNodeRestartedDuringStoreOutage);
  CPPUNIT_TEST(CrashingOrderIsRefusedByNodeThatWasFrozenAtTheThirdCrash);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against knowledge that is lost with the last node that has it.
  void CrashingOrderIsRefusedAfterAllNodesWereKilled() {
    this->StartThree();
    this->EndThreeUpstreams("POST", "/order/crash");
    for (const auto& process : this->processes) process->Kill();
    for (std::size_t i = 0; i < this->processes.size(); ++i) this->RestartProcess(i);
    this->WaitUntilServing();
    this->ExpectRepeatsRefused("POST", "/order/crash");
    this->ExpectOtherRequestsServed();
  }

  void CrashingOrderIsRefusedByNodeRestartedDuringStoreOutage() {
    this->StartThree();
    this->EndThreeUpstreams("POST", "/order/crash");
    this->deployment->store_mode = StoreMode::kRefusing;
    this->RestartProcess(0);
    this->WaitUntilServing();
    this->ExpectRepeatsRefused("POST", "/order/crash");
    this->deployment->store_mode = StoreMode::kServing;
    this->RunFor(1000);
    this->ExpectOtherRequestsServed();
  }

  void CrashingOrderIsRefusedByNodeThatWasFrozenAtTheThirdCrash() {
    this->StartThree();
    this->processes.back()->Suspend();
    for (int sent = 0; this->deployment->crashes < 3; ++sent) {
      this->SendTo(sent % 2, "POST", "/order/crash");
      this->RunFor(1200);
    }
    this->processes.back()->Resume();
    this->RunFor(1500);
    this->ExpectRepeatsRefused("POST", "/order/crash");
    this->ExpectOtherRequestsServed();
  }

 private:
  void StartThree() {
    this->deployment->crashing_text = "crash";
    this->StartProcesses(3);
    this->RunFor(2000);
  }

  void WaitUntilServing() {
    for (int node = 0; node < 3; ++node) {
      const Deadline limit = Clock::now() + Milliseconds(8000);
      while (this->SendTo(node, "GET", "/lookup/1").status != 200) {
        CPPUNIT_ASSERT(Clock::now() < limit);
        this->RunFor(100);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestProcessIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
