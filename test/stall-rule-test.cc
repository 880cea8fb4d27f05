#include "core/stall-rule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

class StallRuleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StallRuleTest);
  CPPUNIT_TEST(UpstreamIsLostWhenNoRequestReceivesBytes);
  CPPUNIT_TEST(ProgressOfOtherRequestsKeepsUpstream);
  CPPUNIT_TEST(SingleStalledRequestIsStuck);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against streams that wait for the platform to notice a dark member (a member goes dark
  // in mid stream).
  void UpstreamIsLostWhenNoRequestReceivesBytes() {
    const StallState state{At(0), At(0), Milliseconds(400), Milliseconds(1500)};
    CPPUNIT_ASSERT(CheckStall(state, At(399)) == StallVerdict::kWaiting);
    CPPUNIT_ASSERT(CheckStall(state, At(400)) == StallVerdict::kUpstreamLost);
  }

  // Guards against a healthy group that is dropped because one request waits for its prefill.
  void ProgressOfOtherRequestsKeepsUpstream() {
    const StallState state{At(0), At(700), Milliseconds(400), Milliseconds(1500)};
    CPPUNIT_ASSERT(CheckStall(state, At(1000)) == StallVerdict::kWaiting);
    CPPUNIT_ASSERT(NextStallCheck(state) == At(1100));
  }

  // Guards against a stream that stays at an upstream which serves all others but it.
  void SingleStalledRequestIsStuck() {
    const StallState state{At(0), At(1490), Milliseconds(400), Milliseconds(1500)};
    CPPUNIT_ASSERT(CheckStall(state, At(1500)) == StallVerdict::kRequestStuck);
  }

 private:
  static TimePoint At(int ms) { return TimePoint(std::chrono::seconds(100)) + Milliseconds(ms); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StallRuleTest);

}  // namespace
}  // namespace limpetfall
