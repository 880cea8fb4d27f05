#include "core/request-memory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <list>
#include <set>
#include <vector>

namespace limpetfall {
namespace {

class RequestMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestMemoryTest);
  CPPUNIT_TEST(LargeBodyThatStoppedLongAgoIsDroppedFirst);
  CPPUNIT_TEST(LargestOfBodiesThatHaveJustBegunIsDropped);
  CPPUNIT_TEST(DroppedBodyMakesRoomForAnother);
  CPPUNIT_TEST(BodyThatIsHandledIsNotDropped);
  CPPUNIT_TEST(CrowdStaysWithinLimitWhileShortRequestsAreServed);
  CPPUNIT_TEST(LimitsOfSmallVmLeaveRoomForTheLargestBody);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against dropping a caller that sends at a normal pace in place of one that has stopped.
  void LargeBodyThatStoppedLongAgoIsDroppedFirst() {
    const std::vector<HeldBody> bodies{{4'000'000, At(1900)}, {1'000'000, At(0)}, {100, At(0)}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ChooseBodyToDrop(bodies, At(2000)));
  }

  // Guards against dropping small bodies when a burst of callers begins at the same moment.
  void LargestOfBodiesThatHaveJustBegunIsDropped() {
    const std::vector<HeldBody> bodies{{10, At(0)}, {5000, At(0)}, {40, At(0)}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ChooseBodyToDrop(bodies, At(0)));
  }

  // Guards against refusing a request although another one can be dropped for it.
  void DroppedBodyMakesRoomForAnother() {
    RequestMemory memory(1000);
    bool dropped = false;
    RequestMemory::Entry stopped(memory, [&] { dropped = true; });
    CPPUNIT_ASSERT(stopped.Resize(800, At(0)));
    RequestMemory::Entry next(memory, [] {});
    CPPUNIT_ASSERT(next.Resize(500, At(100)));
    CPPUNIT_ASSERT(dropped);
    CPPUNIT_ASSERT(!stopped.Resize(900, At(100)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{500}, memory.bytes());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, memory.drops());
  }

  // Guards against dropping a request that may be running already.
  void BodyThatIsHandledIsNotDropped() {
    RequestMemory memory(1000);
    RequestMemory::Entry handled(memory, [] { CPPUNIT_FAIL("dropped"); });
    CPPUNIT_ASSERT(handled.Resize(800, At(0)));
    handled.OnComplete();
    RequestMemory::Entry next(memory, [] {});
    CPPUNIT_ASSERT(!next.Resize(500, At(100)));
  }

  // Guards against memory beyond the limit and against ordinary requests that find no room. Replays
  // callers that stop just short of the end of large bodies, and short requests beside them.
  void CrowdStaysWithinLimitWhileShortRequestsAreServed() {
    constexpr std::size_t kLimit = 10'000'000;
    RequestMemory memory(kLimit);
    std::set<int> dropped;
    std::list<RequestMemory::Entry> crowd;
    for (int i = 0; i < 300; ++i) {
      RequestMemory::Entry& entry =
          crowd.emplace_back(memory, [&dropped, i] { dropped.insert(i); });
      for (std::size_t bytes = 65'536; bytes <= 1'048'576; bytes += 65'536) {
        if (!entry.Resize(bytes, At(10 * i))) break;
        CPPUNIT_ASSERT(memory.bytes() <= kLimit + 65'536);
      }
      RequestMemory::Entry ordinary(memory, [] { CPPUNIT_FAIL("dropped"); });
      CPPUNIT_ASSERT(ordinary.Resize(2000, At(10 * i)));
    }
    CPPUNIT_ASSERT(dropped.size() > 250);
  }

  // Guards against limits that refuse a single request of 4 MiB on the smallest VM.
  void LimitsOfSmallVmLeaveRoomForTheLargestBody() {
    const ListenerLimits limits = ListenerLimits::ForVm(std::size_t{112} << 20, 2870);
    // A string may have twice the capacity that it needs.
    CPPUNIT_ASSERT(limits.max_request_bytes >= std::size_t{8} << 20);
    CPPUNIT_ASSERT(limits.max_caller_connections >= 800);
    CPPUNIT_ASSERT(limits.max_caller_connections + 4 * limits.max_other_connections < 2870);
  }

 private:
  static TimePoint At(int ms) { return TimePoint(std::chrono::seconds(100)) + Milliseconds(ms); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestMemoryTest);

}  // namespace
}  // namespace limpetfall
