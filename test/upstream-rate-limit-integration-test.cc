#include <algorithm>
#include <list>
#include <random>

#include "harness/gateway-fixture.h"

namespace limpetfall::testing {
namespace {

/** Nodes in front of runners that name in their answers how many requests a second they take. */
class UpstreamRateLimitIntegrationTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(UpstreamRateLimitIntegrationTest);
  CPPUNIT_TEST(HeadsGetNoMoreFromAllNodesThanTheyAllow);
  CPPUNIT_TEST(OrdersToLimitedPlainServiceKeepItsLimit);
  CPPUNIT_TEST(RequestThatLimitsAllowNoStartIsRefusedAtOnce);
  CPPUNIT_TEST(EndOfLimitRestoresFullRate);
  CPPUNIT_TEST(InvalidLimitsAreIgnored);
  CPPUNIT_TEST(RefusalsAndErrorsStateLimitsToo);
  CPPUNIT_TEST(FirstAttemptIsNotRefusedBecauseOfWaitingRetries);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a back end in need that gets far more requests than the limit it has named
  // (LIMIT).
  void HeadsGetNoMoreFromAllNodesThanTheyAllow() {
    this->StartNodes(6);
    const std::vector<std::string> heads = this->deployment->OpenHeads();
    this->StateLimit(heads, "3");
    const TimePoint stated = Clock::now();
    this->SendFor("/chat/1", Milliseconds(10000), Milliseconds(15));
    for (const std::string& head : heads) {
      this->CheckLimit(head, 3, stated + Milliseconds(3000));
      CPPUNIT_ASSERT(3 * 8 / 2 <= this->CountArrivals(head, stated + Milliseconds(2000)));
    }
  }

  void OrdersToLimitedPlainServiceKeepItsLimit() {
    this->StartNodes(4);
    this->StateLimit({"b1", "b2"}, "2.5");
    const TimePoint stated = Clock::now();
    this->SendFor("/order/1", Milliseconds(8000), Milliseconds(25));
    this->CheckLimit("b1", 2.5, stated + Milliseconds(3000));
    this->CheckLimit("b2", 2.5, stated + Milliseconds(3000));
    for (const std::optional<Answer>& answer : this->answers) {
      CPPUNIT_ASSERT(answer->complete);
      CPPUNIT_ASSERT(answer->status == 200 || answer->status == 503);
    }
  }

  // Guards against callers that wait for their whole objective although nothing can be sent.
  void RequestThatLimitsAllowNoStartIsRefusedAtOnce() {
    this->StartNodes(1);
    this->StateLimit(this->deployment->OpenHeads(), "0.1");
    this->SendFor("/chat/1", Milliseconds(600), Milliseconds(20));
    this->answers.clear();
    this->SendFor("/chat/1", Milliseconds(1000), Milliseconds(100));
    const auto refused = std::count_if(this->answers.begin(), this->answers.end(),
                                       [](const auto& answer) { return answer->status == 503; });
    CPPUNIT_ASSERT(8 <= refused);
    const TimePoint start = Clock::now();
    std::optional<Answer> waiting;
    this->StartRequest("GET", "/chat/1", "waiting", "k1", "", waiting);
    const Answer answer = this->SendAndWait("GET", "/chat/1", "last", "k1");
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(answer.headers.contains("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(0, this->deployment->CountRuns("last"));
    CPPUNIT_ASSERT(Clock::now() < start + Milliseconds(100));
    this->RunUntil([&] { return waiting.has_value(); }, 2000);
  }

  // Guards against an upstream that is spared for ever after it was in need.
  void EndOfLimitRestoresFullRate() {
    this->StartNodes(3);
    const std::vector<std::string> heads = this->deployment->OpenHeads();
    this->StateLimit(heads, "2");
    this->SendFor("/chat/1", Milliseconds(3000), Milliseconds(15));
    this->StateLimit(heads, "");
    this->SendFor("/chat/1", Milliseconds(3000), Milliseconds(25));
    this->answers.clear();
    this->SendFor("/chat/1", Milliseconds(2000), Milliseconds(25));
    const auto served = std::count_if(this->answers.begin(), this->answers.end(),
                                      [](const auto& answer) { return answer->status == 200; });
    CPPUNIT_ASSERT_EQUAL(this->answers.size(), static_cast<std::size_t>(served));
  }

  void InvalidLimitsAreIgnored() {
    this->StartNodes(1);
    for (const char* text : {"-1", "nan", "inf", "1e300", "", "0x1", "2, 3"}) {
      for (const std::string& head : this->deployment->OpenHeads())
        this->deployment->SetExtraHeaders(head, {{"Server-Limit", text}});
      this->answers.clear();
      this->SendFor("/chat/1", Milliseconds(300), Milliseconds(10));
      for (const std::optional<Answer>& answer : this->answers)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 200, answer->status);
    }
  }

  void RefusalsAndErrorsStateLimitsToo() {
    this->StartNodes(2);
    this->StateLimit({"b1", "b2"}, "2");
    this->deployment->plain_status = 500;
    const TimePoint stated = Clock::now();
    this->SendFor("/order/1", Milliseconds(3500), Milliseconds(25));
    this->deployment->SetRunnerMode("b1", RunnerMode::kRefusing);
    this->SendFor("/order/1", Milliseconds(3500), Milliseconds(25));
    this->CheckLimit("b1", 2, stated + Milliseconds(3000));
    this->CheckLimit("b2", 2, stated + Milliseconds(3000));
  }

  // Guards against refusing callers that can still meet their objective, and would go first,
  // because of callers that wait behind them.
  void FirstAttemptIsNotRefusedBecauseOfWaitingRetries() {
    this->StartNodes(1);
    this->StateLimit(this->deployment->OpenHeads(), "2");
    this->SendFor("/chat/1", Milliseconds(3000), Milliseconds(100));
    constexpr int kRounds = 10;
    int served = 0;
    for (int round = 0; round < kRounds; ++round) {
      std::list<std::optional<Answer>> retries;
      for (int i = 0; i < 6; ++i) this->StartCallerRetry(retries.emplace_back());
      this->RunFor(10);
      const std::string id = "first-" + std::to_string(round);
      const Answer first = this->SendAndWait("GET", "/chat/1", id, "k1");
      if (first.status == 200) ++served;
      this->RunUntil(
          [&] {
            return std::all_of(retries.begin(), retries.end(),
                               [](const auto& answer) { return answer.has_value(); });
          },
          6000);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(served), kRounds / 2 < served);
  }

 private:
  /** Sends a request whose remaining time shows that it was refused before. */
  void StartCallerRetry(std::optional<Answer>& answer) {
    HttpRequest request =
        this->MakeRequest("GET", "/chat/1", "retry-" + std::to_string(this->last_id++), "k1", "");
    request.headers["X-Deadline-Ms"] = "3000";
    boost::asio::co_spawn(*this->io, this->Send(std::move(request), answer), boost::asio::detached);
  }

  void StartNodes(int count) {
    this->deployment->Put("op/config", ConfigJson(5, R"("k1")"));
    for (int i = 0; i < count; ++i) {
      this->StartNode(
          "n" + std::to_string(i), FreeAddress(),
          i == 0 ? std::vector<std::string>() : std::vector{this->peer_addresses.front()});
    }
    this->RunUntil([&] { return this->deployment->OpenHeads().size() == 3; }, 8000);
    this->RunFor(1000);
  }

  /** Makes runners name a limit in their answers, or none if the text is empty. */
  void StateLimit(const std::vector<std::string>& runners, const std::string& text) {
    Headers headers;
    if (!text.empty()) headers["Server-Limit"] = text;
    for (const std::string& runner : runners) this->deployment->SetExtraHeaders(runner, headers);
  }

  /** Sends requests through random nodes and waits for all answers. */
  void SendFor(const std::string& target, Milliseconds time, Milliseconds interval) {
    const Deadline end = Clock::now() + time;
    while (Clock::now() < end) {
      this->caller_address = this->caller_addresses[this->random() % this->caller_addresses.size()];
      const bool is_order = target.starts_with("/order/");
      this->StartRequest(is_order ? "POST" : "GET", target, "r" + std::to_string(this->last_id++),
                         "k1", is_order ? "{}" : "", this->answers.emplace_back());
      this->io->run_for(interval);
    }
    this->RunUntil(
        [&] {
          return std::all_of(this->answers.begin(), this->answers.end(),
                             [](const auto& answer) { return answer.has_value(); });
        },
        6000);
  }

  [[nodiscard]] std::vector<TimePoint> Arrivals(const std::string& runner, TimePoint from) const {
    std::vector<TimePoint> times;
    for (const RunnerRequest& request : this->deployment->runner_requests) {
      if (request.runner == runner && from <= request.arrived) times.push_back(request.arrived);
    }
    return times;
  }

  [[nodiscard]] int CountArrivals(const std::string& runner, TimePoint from) const {
    return static_cast<int>(this->Arrivals(runner, from).size());
  }

  /** Checks the rule LIMIT in all spans of 4 s that begin at `from` or later. */
  void CheckLimit(const std::string& runner, double per_second, TimePoint from) const {
    const std::vector<TimePoint> times = this->Arrivals(runner, from);
    for (auto first = times.begin(); first != times.end(); ++first) {
      const auto end = std::lower_bound(first, times.end(), *first + Milliseconds(4000));
      CPPUNIT_ASSERT_MESSAGE(runner + ": " + std::to_string(end - first),
                             static_cast<double>(end - first) <= 4 * per_second * 1.5 + 5);
    }
  }

  std::list<std::optional<Answer>> answers;
  std::mt19937 random{1};
  int last_id = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamRateLimitIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
