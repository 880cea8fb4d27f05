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
  // Guards against streams that wait until the platform detects that a member stopped responding in
  // the middle of the stream.
  void UpstreamIsLostWhenNoRequestReceivesBytes() {
    const StallState state{At(0), At(0), Milliseconds(400), Milliseconds(1500)};
    CPPUNIT_ASSERT(CheckStall(state, At(399)) == StallVerdict::kWaiting);
    CPPUNIT_ASSERT(CheckStall(state, At(400)) == StallVerdict::kUpstreamLost);
  }

  // Guards against considering a healthy group lost because one request waits for its prefill.
  void ProgressOfOtherRequestsKeepsUpstream() {
    const StallState state{At(0), At(700), Milliseconds(400), Milliseconds(1500)};
    CPPUNIT_ASSERT(CheckStall(state, At(1000)) == StallVerdict::kWaiting);
    CPPUNIT_ASSERT(NextStallCheck(state) == At(1100));
  }

  // Guards against leaving a stream at an upstream that serves all requests except this one.
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
