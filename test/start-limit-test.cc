#include "core/start-limit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

class StartLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartLimitTest);
  CPPUNIT_TEST(StartDeadlineLeavesTimeForFirstBytes);
  CPPUNIT_TEST(SlowUpstreamStillAllowsMinimumWait);
  CPPUNIT_TEST(CallerRetryMayWaitLonger);
  CPPUNIT_TEST(StartDeadlineIsNotAfterRequestDeadline);
  CPPUNIT_TEST(RouteWithoutObjectiveWaitsUntilRequestDeadline);
  CPPUNIT_TEST(CallerRetryIsDetectedByShorterRemainingTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against giving slots to requests that can no longer meet their objective, when all
  // callers retry after a power loss (site speilbod-prod-grown, trouble-1).
  void StartDeadlineLeavesTimeForFirstBytes() {
    CPPUNIT_ASSERT(this->policy.ComputeStartDeadline("m", this->inputs) == At(300));
    this->policy.OnFirstBytes("m", Milliseconds(190));
    CPPUNIT_ASSERT(this->policy.ComputeStartDeadline("m", this->inputs) == At(110));
    CPPUNIT_ASSERT(this->policy.ComputeStartDeadline("other", this->inputs) == At(300));
  }

  // Guards against refusing requests without any wait if a model is always slower than its
  // objective.
  void SlowUpstreamStillAllowsMinimumWait() {
    this->policy.OnFirstBytes("m", Milliseconds(2000));
    CPPUNIT_ASSERT(this->policy.ComputeStartDeadline("m", this->inputs) == At(38));
  }

  // Guards against refusing a caller again although it can no longer meet its objective and could
  // wait.
  void CallerRetryMayWaitLonger() {
    this->policy.OnFirstBytes("m", Milliseconds(190));
    this->inputs.caller_retry = true;
    CPPUNIT_ASSERT(this->policy.ComputeStartDeadline("m", this->inputs) == At(1000));
  }

  // Guards against starting requests after the deadline of their caller.
  void StartDeadlineIsNotAfterRequestDeadline() {
    this->inputs.deadline = At(50);
    CPPUNIT_ASSERT(this->policy.ComputeStartDeadline("m", this->inputs) == At(50));
    this->inputs.caller_retry = true;
    CPPUNIT_ASSERT(this->policy.ComputeStartDeadline("m", this->inputs) == At(50));
  }

  // Guards against refusing all requests of a route that has no objective.
  void RouteWithoutObjectiveWaitsUntilRequestDeadline() {
    this->inputs.objective = Milliseconds(0);
    CPPUNIT_ASSERT(this->policy.ComputeStartDeadline("m", this->inputs) == At(6000));
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

 private:
  static TimePoint At(int ms) { return TimePoint(std::chrono::seconds(100)) + Milliseconds(ms); }

  StartDeadlinePolicy policy;
  StartDeadlineInputs inputs{At(0), At(6000), Milliseconds(300), Milliseconds(2000), false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartLimitTest);

}  // namespace
}  // namespace limpetfall
