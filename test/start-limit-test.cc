#include "core/start-limit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <utility>

namespace limpetfall {
namespace {

class StartLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartLimitTest);
  CPPUNIT_TEST(OnTimeLimitLeavesTimeForFirstBytes);
  CPPUNIT_TEST(VariableFirstBytesMakeOnTimeLimitEarlier);
  CPPUNIT_TEST(SlowUpstreamStillAllowsMinimumWait);
  CPPUNIT_TEST(LateRequestMayWaitForHalfOfAbandonTimeout);
  CPPUNIT_TEST(CallerRetryIsLateFromItsArrival);
  CPPUNIT_TEST(LimitsAreNotAfterRequestDeadline);
  CPPUNIT_TEST(RouteWithoutObjectiveWaitsUntilRequestDeadline);
  CPPUNIT_TEST(CallerRetryIsDetectedByShorterRemainingTime);
  CPPUNIT_TEST(DifferentDeadlinesOfFirstRequestsAreNoRetries);
  CPPUNIT_TEST(RetriesAreDetectedAmongDifferentDeadlines);
  CPPUNIT_TEST(LongDeadlineOfOneCallerMakesOthersNoRetries);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against giving slots to requests that can no longer meet their objective, when all
  // callers retry after a power loss (site speilbod-prod-grown, trouble-1).
  void OnTimeLimitLeavesTimeForFirstBytes() {
    CPPUNIT_ASSERT(this->Limits("m").on_time_by == At(300));
    this->policy.OnFirstBytes("m", Milliseconds(190));
    CPPUNIT_ASSERT(this->Limits("m").on_time_by == At(110));
    CPPUNIT_ASSERT(this->Limits("other").on_time_by == At(300));
  }

  // Guards against starting every second request too late under overload, when all of them start
  // at the last moment and their first bytes take longer than on average.
  void VariableFirstBytesMakeOnTimeLimitEarlier() {
    for (int i = 0; i < 200; ++i)
      this->policy.OnFirstBytes("m", Milliseconds(i % 2 == 0 ? 50 : 150));
    const Deadline limit = this->Limits("m").on_time_by;
    CPPUNIT_ASSERT(At(140) < limit && limit < At(160));
  }

  // Guards against treating all requests as late if a model is always slower than its objective.
  void SlowUpstreamStillAllowsMinimumWait() {
    this->policy.OnFirstBytes("m", Milliseconds(2000));
    CPPUNIT_ASSERT(this->Limits("m").on_time_by == At(38));
  }

  // Guards against refusing a request that can be served late, for which its caller would wait.
  void LateRequestMayWaitForHalfOfAbandonTimeout() {
    this->policy.OnFirstBytes("m", Milliseconds(190));
    CPPUNIT_ASSERT(this->Limits("m").start_by == At(1000));
  }

  // Guards against retries, which miss their objective in any case, that delay first requests.
  void CallerRetryIsLateFromItsArrival() {
    this->inputs.caller_retry = true;
    CPPUNIT_ASSERT((this->Limits("m") == StartDeadlines{At(0), At(1000)}));
  }

  // Guards against starting requests after the deadline of their caller.
  void LimitsAreNotAfterRequestDeadline() {
    this->inputs.deadline = At(50);
    CPPUNIT_ASSERT((this->Limits("m") == StartDeadlines{At(50), At(50)}));
    this->inputs.caller_retry = true;
    CPPUNIT_ASSERT((this->Limits("m") == StartDeadlines{At(0), At(50)}));
  }

  // Guards against refusing all requests of a route that has no objective.
  void RouteWithoutObjectiveWaitsUntilRequestDeadline() {
    this->inputs.objective = Milliseconds(0);
    CPPUNIT_ASSERT((this->Limits("m") == StartDeadlines{At(6000), At(6000)}));
  }

  // Guards against mistaking new callers for retrying ones, or the reverse.
  void CallerRetryIsDetectedByShorterRemainingTime() {
    CallerRetryDetector detector;
    const Milliseconds objective(300);
    CPPUNIT_ASSERT(!detector.IsCallerRetry("chat", Milliseconds(6000), objective));
    CPPUNIT_ASSERT(!detector.IsCallerRetry("chat", Milliseconds(5900), objective));
    CPPUNIT_ASSERT(detector.IsCallerRetry("chat", Milliseconds(4500), objective));
    CPPUNIT_ASSERT(!detector.IsCallerRetry("order", Milliseconds(1500), objective));
  }

  // Guards against an estimate of demand that is far below the requests in flight, because callers
  // state between 85 % and 100 % of the deadline of their route.
  void DifferentDeadlinesOfFirstRequestsAreNoRetries() {
    CPPUNIT_ASSERT(this->CountRetries(1000, 0).first < 50);
  }

  // Guards against retries that count as new demand while a fifth of all requests are retries.
  void RetriesAreDetectedAmongDifferentDeadlines() {
    const auto [first_as_retry, retry_as_retry] = this->CountRetries(1000, 250);
    CPPUNIT_ASSERT(first_as_retry < 50);
    CPPUNIT_ASSERT(retry_as_retry > 125);
  }

  // Guards against one caller with a far longer deadline that makes all others look like retries.
  void LongDeadlineOfOneCallerMakesOthersNoRetries() {
    CallerRetryDetector detector;
    const Milliseconds objective(300);
    for (int i = 0; i < 40; ++i) detector.IsCallerRetry("chat", Milliseconds(6000), objective);
    CPPUNIT_ASSERT(!detector.IsCallerRetry("chat", Milliseconds::max(), objective));
    for (int i = 0; i < 40; ++i)
      CPPUNIT_ASSERT(!detector.IsCallerRetry("chat", Milliseconds(6000), objective));
  }

 private:
  static TimePoint At(int ms) { return TimePoint(std::chrono::seconds(100)) + Milliseconds(ms); }

  StartDeadlines Limits(const std::string& lane) const {
    return this->policy.ComputeStartDeadlines(lane, this->inputs);
  }

  /** Offers first requests that state 5.1 to 6 s, and retries that state 0.7 to 0.9 of that.
   * Returns how many of each are taken for retries. */
  std::pair<int, int> CountRetries(int first_requests, int retries) {
    CallerRetryDetector detector;
    std::minstd_rand random(7);
    std::uniform_int_distribution<int> stated(5100, 6000);
    std::uniform_real_distribution<double> left(0.7, 0.9);
    std::pair<int, int> counts{0, 0};
    const int gap = retries == 0 ? 0 : first_requests / retries;
    for (int i = 0; i < first_requests; ++i) {
      const Milliseconds objective(300);
      counts.first +=
          detector.IsCallerRetry("chat", Milliseconds(stated(random)), objective) ? 1 : 0;
      if (gap == 0 || i % gap != 0) continue;
      const Milliseconds rest(static_cast<int>(left(random) * stated(random)));
      counts.second += detector.IsCallerRetry("chat", rest, objective) ? 1 : 0;
    }
    return counts;
  }

  StartDeadlinePolicy policy;
  StartDeadlineInputs inputs{At(0), At(6000), Milliseconds(300), Milliseconds(2000), false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartLimitTest);

}  // namespace
}  // namespace limpetfall
