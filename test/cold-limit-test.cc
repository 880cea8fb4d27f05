#include "core/cold-limit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>
#include <vector>

namespace limpetfall {
namespace {

class ColdLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdLimitTest);
  CPPUNIT_TEST(AllNodesTogetherStayWithinBound);
  CPPUNIT_TEST(MoreNodesThanRequestsStayWithinBound);
  CPPUNIT_TEST(RateOfZeroAllowsNothing);
  CPPUNIT_TEST(InvalidAndHugeRatesAreInRange);
  CPPUNIT_TEST(BurstsOfAllNodesStayWithinBoundInAnySecond);
  CPPUNIT_TEST(RequestThatWasNotSentIsGivenBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an upstream that crashes right after its return, because each node sends it a
  // share that is too large.
  void AllNodesTogetherStayWithinBound() {
    const ColdLimitOptions options{1.5, 5};
    for (std::size_t nodes = 1; nodes <= 30; ++nodes) {
      const int allowed = ColdRequestsPerSecond(17, options, nodes, 0);
      CPPUNIT_ASSERT(allowed >= 1);
      CPPUNIT_ASSERT(allowed * static_cast<double>(nodes) <= 30.5);
    }
  }

  // Guards against a large fleet in which every node sends one request.
  void MoreNodesThanRequestsStayWithinBound() {
    const ColdLimitOptions options{1.5, 5};
    std::mt19937_64 random(1);
    for (int round = 0; round < 200; ++round) {
      int sum = 0;
      for (int node = 0; node < 300; ++node)
        sum += ColdRequestsPerSecond(17, options, 300, random());
      CPPUNIT_ASSERT(sum <= 30);
    }
  }

  // Guards against requests to an upstream that takes none while it is cold.
  void RateOfZeroAllowsNothing() {
    CPPUNIT_ASSERT_EQUAL(0, ColdRequestsPerSecond(0, {1.5, 5}, 8, 0));
  }

  // Guards against a conversion that overflows because of an odd configuration.
  void InvalidAndHugeRatesAreInRange() {
    CPPUNIT_ASSERT_EQUAL(0, ColdRequestsPerSecond(-1, {}, 8, 0));
    CPPUNIT_ASSERT_EQUAL(0,
                         ColdRequestsPerSecond(std::numeric_limits<double>::quiet_NaN(), {}, 8, 0));
    CPPUNIT_ASSERT(ColdRequestsPerSecond(1e300, {}, 8, 0) > 100'000);
    CPPUNIT_ASSERT(ColdRequestsPerSecond(17, {}, 0, 0) >= 1);
  }

  // Guards against nodes that save up their shares and use them at the same moment. Replays the
  // return of a runner that 12 nodes want to fill at once, with random pauses between their bursts.
  void BurstsOfAllNodesStayWithinBoundInAnySecond() {
    constexpr int kNodes = 12;
    std::mt19937 random(3);
    std::vector<ColdLimit> limits(kNodes);
    std::vector<TimePoint> sent;
    const TimePoint start(std::chrono::seconds(100));
    for (int ms = 0; ms < 10'000; ++ms) {
      const TimePoint now = start + Milliseconds(ms);
      if (random() % 300 > 1) continue;
      for (ColdLimit& limit : limits) {
        while (limit.CanSend(ColdRequestsPerSecond(17, {1.5, 5}, kNodes, 0), now)) {
          limit.Reserve();
          limit.OnSent(now);
          sent.push_back(now);
        }
      }
    }
    CPPUNIT_ASSERT(sent.size() > 100);
    for (const TimePoint first : sent) {
      const auto within = std::count_if(sent.begin(), sent.end(), [first](TimePoint at) {
        return first <= at && at < first + std::chrono::seconds(1);
      });
      CPPUNIT_ASSERT(static_cast<double>(within) <= 30.5);
    }
  }

  // Guards against an upstream that stays unused because connections to it failed.
  void RequestThatWasNotSentIsGivenBack() {
    ColdLimit limit;
    const TimePoint now(std::chrono::seconds(100));
    limit.Reserve();
    CPPUNIT_ASSERT(!limit.CanSend(1, now));
    limit.Release();
    CPPUNIT_ASSERT(limit.CanSend(1, now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdLimitTest);

}  // namespace
}  // namespace limpetfall
