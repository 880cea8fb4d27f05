#include <algorithm>
#include <list>

#include "harness/gateway-fixture.h"

namespace limpetfall::testing {
namespace {

/** Runners that say in their responses that they leave or want a pause. */
class RunnerRequestIntegrationTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(RunnerRequestIntegrationTest);
  CPPUNIT_TEST(RunnerThatSaysItLeavesGetsNothingNewUntilItRestarts);
  CPPUNIT_TEST(GroupWhoseHeadSaysItLeavesGetsNoNewStream);
  CPPUNIT_TEST(RunnerThatAsksForPauseGetsNothingMeanwhile);
  CPPUNIT_TEST(PauseOfMoreThanAMinuteIsObeyedToItsEnd);
  CPPUNIT_TEST(ShorterPauseDoesNotShortenLongerOne);
  CPPUNIT_TEST(CallersAreRefusedAtOnceWhileAllRunnersPause);
  CPPUNIT_TEST(InvalidPauseIsIgnored);
  CPPUNIT_TEST(OddEntriesNameNoRunnerAndTheOthersHold);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a node that ends, stops following the store, or uses a runner whose entry
  // another writer has left: deeply nested, with a number too large or a port out of range.
  void OddEntriesNameNoRunnerAndTheOthersHold() {
    this->StartServing();
    const std::string plain = R"(,"service":"book","zone":"z1","state":"ready")";
    int number = 0;
    for (const std::string& odd :
         {std::string(1'000'000, '['), std::string("\xff\xfe"), std::string(),
          R"({"slots":1e999,"addr":"127.0.0.1:9")" + plain + "}",
          R"({"slots":99999999999999999999,"addr":"127.0.0.1:9")" + plain + "}",
          R"({"slots":6,"addr":"127.0.0.1:70000")" + plain + "}",
          R"({"slots":6,"addr":"127.0.0.1:0")" + plain + "}"}) {
      this->deployment->Put("servers/odd-" + std::to_string(number++), odd);
    }
    this->deployment->Put("servers/b1", R"({"addr":"127.0.0.1:70000"})");
    this->deployment->RemoveRunnerEntry("b2");
    this->deployment->Put("op/config", ConfigJson(6, R"("k1","k2")"));
    this->RunFor(1300);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, this->nodes.front()->state().routes->config().version);
    for (const auto& [id, runner] : this->nodes.front()->state().runners.runners())
      CPPUNIT_ASSERT(!id.value.starts_with("odd-"));
    // What was known of a runner stays in force.
    for (int i = 0; i < 8; ++i) CPPUNIT_ASSERT_EQUAL(200, this->SendNext("/lookup/1").status);
    this->SendUntilReached("b1");
  }

  // Guards against waiting for the store to say what the runner has said already, and against
  // believing an older entry in the store.
  void RunnerThatSaysItLeavesGetsNothingNewUntilItRestarts() {
    this->StartServing();
    this->deployment->SetExtraHeaders("b1", {{"Server-Leaving", "1"}});
    this->SendUntilReached("b1");
    this->ExpectNothingSentTo("b1", 12);
    this->deployment->RemoveRunnerEntry("b1");
    this->RunFor(1300);
    this->deployment->RestoreRunnerEntry("b1");
    this->RunFor(300);
    this->ExpectNothingSentTo("b1", 12);
    this->deployment->Crash("b1");
    this->RunFor(1200);
    this->SendUntilReached("b1");
  }

  void GroupWhoseHeadSaysItLeavesGetsNoNewStream() {
    this->StartServing();
    const std::string head = this->deployment->OpenHeads().front();
    this->deployment->SetExtraHeaders(head, {{"Server-Leaving", "1"}});
    this->SendUntilReached(head, "/chat/1");
    this->ExpectNothingSentTo(head, 9, "/chat/1");
  }

  void RunnerThatAsksForPauseGetsNothingMeanwhile() {
    this->StartServing();
    this->deployment->plain_response_delay = Milliseconds(50);
    this->Refuse("b1", "1.5");
    this->SendUntilReached("b1");
    const TimePoint refused = Clock::now();
    CPPUNIT_ASSERT_EQUAL(200, this->SendNext("/lookup/1").status);
    this->deployment->SetRunnerMode("b1", RunnerMode::kServing);
    this->RunFor(20);
    const std::size_t before = this->CountSentTo("b1");
    while (Clock::now() < refused + Milliseconds(1300)) this->SendTogether("/lookup/1");
    CPPUNIT_ASSERT_EQUAL(before, this->CountSentTo("b1"));
    this->RunFor(300);
    this->SendUntilReached("b1");
  }

  // Guards against runners that get requests in the pause that they asked for (BUDGET).
  void PauseOfMoreThanAMinuteIsObeyedToItsEnd() {
    this->StartServing();
    this->Refuse("b1", "3600");
    this->Refuse("b2", "1e300");
    this->deployment->plain_response_delay = Milliseconds(50);
    for (const std::string runner : {"b1", "b2"}) {
      if (this->CountSentTo(runner) == 0) this->SendUntilReached(runner);
    }
    const TimePoint now = Clock::now();
    const auto paused_until = this->nodes.front()->state().dispatch.PausedUntil(
        {ServiceName("book"), ModelName(), {}}, now);
    CPPUNIT_ASSERT(paused_until);
    CPPUNIT_ASSERT(now + std::chrono::minutes(59) < *paused_until);
  }

  void ShorterPauseDoesNotShortenLongerOne() {
    this->StartServing();
    this->deployment->RemoveRunnerEntry("b2");
    this->RunFor(1300);
    this->Refuse("b1", "2");
    this->deployment->plain_response_delay = Milliseconds(0);
    std::optional<Answer> first;
    std::optional<Answer> second;
    this->StartRequest("GET", "/lookup/1", "l1", "k1", "", first);
    this->RunUntil([&] { return first.has_value(); }, 1000);
    this->Refuse("b1", "0.1");
    this->RunFor(500);
    this->StartRequest("GET", "/lookup/1", "l2", "k1", "", second);
    this->RunUntil([&] { return second.has_value(); }, 1000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->deployment->runner_requests.size());
  }

  // Guards against callers that wait for runners which will not take their requests.
  void CallersAreRefusedAtOnceWhileAllRunnersPause() {
    this->StartServing();
    this->Refuse("b1", "2");
    this->Refuse("b2", "3");
    this->deployment->plain_response_delay = Milliseconds(50);
    this->SendUntilReached("b1");
    const TimePoint sent = Clock::now();
    const Answer answer = this->SendAndWait("GET", "/lookup/1", "last", "k1");
    CPPUNIT_ASSERT(Clock::now() < sent + Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer.headers.at("X-Verdict"));
    const double retry_after = std::stod(answer.headers.at("Retry-After"));
    CPPUNIT_ASSERT(retry_after > 1.5 && retry_after < 3.5);
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(),
                         this->SendAndWait("GET", "/chat/1", "s1", "k1").body);
  }

  void InvalidPauseIsIgnored() {
    this->StartServing();
    this->deployment->plain_response_delay = Milliseconds(50);
    for (const char* value :
         {"0", "-1", "soon", "", "nan", "Sat, 05 Dec 2026 00:00:00 GMT", "1s"}) {
      this->Refuse("b1", value);
      this->SendUntilReached("b1");
      this->deployment->SetRunnerMode("b1", RunnerMode::kServing);
      this->RunFor(100);
      this->SendUntilReached("b1");
    }
  }

 private:
  void Refuse(const std::string& runner, const std::string& retry_after) {
    this->deployment->SetExtraHeaders(runner, {{"Retry-After", retry_after}});
    this->deployment->SetRunnerMode(runner, RunnerMode::kRefusing);
  }

  [[nodiscard]] std::size_t CountSentTo(const std::string& runner) const {
    return static_cast<std::size_t>(std::count_if(
        this->deployment->runner_requests.begin(), this->deployment->runner_requests.end(),
        [&](const RunnerRequest& request) { return request.runner == runner; }));
  }

  Answer SendNext(const std::string& target) {
    return this->SendAndWait("GET", target, "n" + std::to_string(++this->requests), "k1");
  }

  void SendUntilReached(const std::string& runner, const std::string& target = "/lookup/1") {
    const std::size_t before = this->CountSentTo(runner);
    for (int round = 0; this->CountSentTo(runner) == before; ++round) {
      CPPUNIT_ASSERT_MESSAGE(runner, round < 10);
      this->SendTogether(target);
    }
  }

  /** Sends more requests at once than one runner takes, and waits for their answers. */
  void SendTogether(const std::string& target) {
    std::list<std::optional<Answer>> answers;
    for (int i = 0; i < 10; ++i) {
      this->StartRequest("GET", target, "n" + std::to_string(++this->requests), "k1", "",
                         answers.emplace_back());
    }
    this->RunUntil(
        [&] {
          return std::all_of(answers.begin(), answers.end(),
                             [](const auto& answer) { return answer.has_value(); });
        },
        6000);
  }

  void ExpectNothingSentTo(const std::string& runner, int requests_to_send,
                           const std::string& target = "/lookup/1") {
    const std::size_t before = this->CountSentTo(runner);
    for (int i = 0; i < requests_to_send; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, this->SendNext(target).status);
    }
    CPPUNIT_ASSERT_EQUAL(before, this->CountSentTo(runner));
  }

  int requests = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerRequestIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
