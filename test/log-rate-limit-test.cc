#include "base/log-rate-limit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

class LogRateLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogRateLimitTest);
  CPPUNIT_TEST(FloodOfEventsIsLimitedAndCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a flood of warnings when many upstreams fail in the same way.
  void FloodOfEventsIsLimitedAndCounted() {
    LogRateLimit limit;
    TimePoint now = Clock::now();
    constexpr int kEvents = 10000;
    int logged = 0;
    for (int i = 0; i < kEvents; ++i) {
      if (limit.TryTake(now)) ++logged;
      now += Milliseconds(1);
    }
    CPPUNIT_ASSERT(logged >= 100);
    CPPUNIT_ASSERT(logged <= 40 + 10 * 10);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{kEvents - logged}, limit.TakeSuppressed());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, limit.TakeSuppressed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogRateLimitTest);

}  // namespace
}  // namespace limpetfall
