#include "core/upstream-health.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

class UpstreamHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamHealthTest);
  CPPUNIT_TEST(SingleBrokenResponseDoesNotSuspend);
  CPPUNIT_TEST(ConsecutiveBrokenResponsesSuspend);
  CPPUNIT_TEST(BrokenResponseDuringTrialDoublesSuspension);
  CPPUNIT_TEST(SuccessResetsSuspensionTime);
  CPPUNIT_TEST(ErrorsAndRefusalsDoNotSuspend);
  CPPUNIT_TEST(FaultRateDecays);
  CPPUNIT_TEST(LossEndsWithProgressAfterSuspension);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against avoiding a healthy upstream after a network element has reset one connection.
  void SingleBrokenResponseDoesNotSuspend() {
    this->health.OnFault(UpstreamFault::kBrokenResponse, At(0));
    CPPUNIT_ASSERT(!this->health.IsSuspended(At(0)));
    this->health.OnSuccess(At(10));
    this->health.OnFault(UpstreamFault::kBrokenResponse, At(20));
    CPPUNIT_ASSERT(!this->health.IsSuspended(At(20)));
  }

  // Guards against using an upstream that resets every connection and therefore looks idle.
  void ConsecutiveBrokenResponsesSuspend() {
    this->health.OnFault(UpstreamFault::kBrokenResponse, At(0));
    this->health.OnFault(UpstreamFault::kBrokenResponse, At(10));
    CPPUNIT_ASSERT(this->health.IsSuspended(At(1009)));
    CPPUNIT_ASSERT(!this->health.IsSuspended(At(1010)));
    CPPUNIT_ASSERT(this->health.IsOnTrial());
  }

  // Guards against losing two requests in each trial of a flapping upstream.
  void BrokenResponseDuringTrialDoublesSuspension() {
    this->ConsecutiveBrokenResponsesSuspend();
    this->health.OnFault(UpstreamFault::kBrokenResponse, At(1500));
    CPPUNIT_ASSERT(this->health.IsSuspended(At(3499)));
    CPPUNIT_ASSERT(!this->health.IsSuspended(At(3500)));
  }

  // Guards against long suspensions of an upstream that has recovered.
  void SuccessResetsSuspensionTime() {
    this->BrokenResponseDuringTrialDoublesSuspension();
    this->health.OnSuccess(At(4000));
    CPPUNIT_ASSERT(!this->health.IsOnTrial());
    this->AssertBrokenResponsesSuspendAt(5000);
    CPPUNIT_ASSERT(!this->health.IsSuspended(At(6010)));
  }

  // Guards against suspending an upstream that responds with errors (grey failure).
  void ErrorsAndRefusalsDoNotSuspend() {
    for (int i = 0; i < 40; ++i) {
      const UpstreamFault fault =
          i % 2 == 0 ? UpstreamFault::kErrorResponse : UpstreamFault::kRefused;
      this->health.OnFault(fault, At(i));
    }
    CPPUNIT_ASSERT(!this->health.IsSuspended(At(40)));
    CPPUNIT_ASSERT(this->health.FaultRate(At(40)) > 0.9);
  }

  // Guards against never using an upstream again because it gets no requests that could succeed.
  void FaultRateDecays() {
    this->health.OnFault(UpstreamFault::kErrorResponse, At(0));
    const double before = this->health.FaultRate(At(0));
    CPPUNIT_ASSERT(this->health.FaultRate(At(5000)) < before / 2);
    CPPUNIT_ASSERT(this->health.FaultRate(At(30000)) < 0.01);
  }

  // Guards against treating an unresponsive upstream like a faulty one, which is used as a last
  // resort.
  void LossEndsWithProgressAfterSuspension() {
    this->health.OnLost(At(0));
    CPPUNIT_ASSERT(this->health.IsLost());
    this->health.OnProgress(At(500));  // Bytes sent before the loss.
    CPPUNIT_ASSERT(this->health.IsLost());
    this->health.OnProgress(At(1100));
    CPPUNIT_ASSERT(!this->health.IsLost());
  }

 private:
  static TimePoint At(int ms) { return TimePoint(std::chrono::seconds(100)) + Milliseconds(ms); }

  void AssertBrokenResponsesSuspendAt(int ms) {
    this->health.OnFault(UpstreamFault::kBrokenResponse, At(ms));
    this->health.OnFault(UpstreamFault::kBrokenResponse, At(ms + 10));
    CPPUNIT_ASSERT(this->health.IsSuspended(At(ms + 10)));
  }

  UpstreamHealth health;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamHealthTest);

}  // namespace
}  // namespace limpetfall
