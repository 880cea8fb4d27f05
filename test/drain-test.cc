#include "core/drain.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace limpetfall {
namespace {

using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};

class DrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(StagesAdvanceInOrder);
  CPPUNIT_TEST(AddressTtlCountsFromAnnouncement);
  CPPUNIT_TEST(AnnouncementEndsAfterTimeout);
  CPPUNIT_TEST(DrainWaitsForRequestsInFlight);
  CPPUNIT_TEST(SecondStartDoesNotExtendDrain);
  CPPUNIT_TEST(OpenConnectionInUsePostponesExit);
  CPPUNIT_TEST(IdleConnectionsDelayExitByQuietTimeOnly);
  CPPUNIT_TEST(ExitIsImmediateOnceAllConnectionsAreClosed);
  CPPUNIT_TEST(NoRequestMeetsExitUnderRandomUseOfOpenConnections);
  CPPUNIT_TEST(ListenerIsClosedBeforeExitWithoutConnections);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->drain = Drain::Create({seconds(5), seconds(3)}).value(); }

  void StagesAdvanceInOrder() {
    CPPUNIT_ASSERT(this->drain.Tick({0}, kNow + seconds(60)) == DrainStage::kServing);
    this->drain.Start(kNow);
    CPPUNIT_ASSERT(!this->drain.IsAdvertised() && this->drain.AcceptsWork());
    this->drain.OnAnnounced(kNow);
    CPPUNIT_ASSERT(this->drain.Tick({1}, kNow + seconds(5)) == DrainStage::kRefusing);
    CPPUNIT_ASSERT(!this->drain.AcceptsWork());
    CPPUNIT_ASSERT(this->drain.Tick({0}, kNow + seconds(6)) == DrainStage::kFinished);
  }

  // Guards against refusing callers whose cached address response is still valid.
  void AddressTtlCountsFromAnnouncement() {
    this->drain.Start(kNow);
    this->drain.OnAnnounced(kNow + seconds(2));
    CPPUNIT_ASSERT(this->drain.Tick({0}, kNow + Milliseconds(6999)) == DrainStage::kAccepting);
    CPPUNIT_ASSERT(this->drain.Tick({1}, kNow + seconds(7)) == DrainStage::kRefusing);
  }

  void AnnouncementEndsAfterTimeout() {
    this->drain.Start(kNow);
    CPPUNIT_ASSERT(this->drain.Tick({0}, kNow + seconds(2)) == DrainStage::kAnnouncing);
    CPPUNIT_ASSERT(this->drain.Tick({0}, kNow + seconds(3)) == DrainStage::kAccepting);
    CPPUNIT_ASSERT(this->drain.Tick({1}, kNow + seconds(8)) == DrainStage::kRefusing);
  }

  void DrainWaitsForRequestsInFlight() {
    this->drain.Start(kNow);
    CPPUNIT_ASSERT(this->drain.Tick({1}, kNow + std::chrono::hours(1)) == DrainStage::kRefusing);
  }

  void SecondStartDoesNotExtendDrain() {
    this->drain.Start(kNow);
    this->drain.OnAnnounced(kNow);
    this->drain.Start(kNow + seconds(4));
    CPPUNIT_ASSERT(this->drain.Tick({1}, kNow + seconds(5)) == DrainStage::kRefusing);
  }

  // Guards against requests on kept connections that find the process gone (LOST).
  void OpenConnectionInUsePostponesExit() {
    this->StartWithQuietTime();
    std::uint64_t begun = 7;
    CPPUNIT_ASSERT(this->drain.Tick({1, 2, begun}, kNow + seconds(5)) == DrainStage::kRefusing);
    for (int i = 1; i < 9; ++i) {
      // The request has begun and ended between two ticks.
      CPPUNIT_ASSERT(this->drain.Tick({0, 2, ++begun}, kNow + seconds(5) + Milliseconds(900 * i)) ==
                     DrainStage::kRefusing);
    }
  }

  void IdleConnectionsDelayExitByQuietTimeOnly() {
    this->StartWithQuietTime();
    CPPUNIT_ASSERT(this->drain.Tick({0, 2, 7}, kNow + seconds(5)) == DrainStage::kRefusing);
    CPPUNIT_ASSERT(this->drain.Tick({0, 2, 7}, kNow + Milliseconds(5999)) == DrainStage::kRefusing);
    CPPUNIT_ASSERT(this->drain.Tick({0, 2, 7}, kNow + seconds(6)) == DrainStage::kFinished);
  }

  void ExitIsImmediateOnceAllConnectionsAreClosed() {
    this->StartWithQuietTime();
    CPPUNIT_ASSERT(this->drain.Tick({1, 1, 7}, kNow + seconds(5)) == DrainStage::kRefusing);
    CPPUNIT_ASSERT(this->drain.Tick({0, 0, 8}, kNow + Milliseconds(5020)) == DrainStage::kFinished);
  }

  // Replays callers that send on their connections at intervals below the quiet time, until a
  // response has told each that its connection closes.
  void NoRequestMeetsExitUnderRandomUseOfOpenConnections() {
    for (unsigned seed = 1; seed <= 200; ++seed) {
      std::mt19937 random(seed);
      this->drain = Drain::Create({seconds(3), Milliseconds(400), seconds(1)}).value();
      this->drain.Start(kNow);
      std::vector<int> sends_at_ms;
      for (int caller = 0; caller < 40; ++caller) {
        // A long stream that began before the stop ends with its connection still kept.
        const int last_kept_response_ms = static_cast<int>(random() % 6000);
        sends_at_ms.push_back(last_kept_response_ms + static_cast<int>(random() % 900));
      }
      std::sort(sends_at_ms.begin(), sends_at_ms.end());
      const int last_stream_end_ms = sends_at_ms.back() - 900;
      int finished_ms = 0;
      for (int ms = 0; finished_ms == 0; ms += 20) {
        const auto begun = std::count_if(sends_at_ms.begin(), sends_at_ms.end(),
                                         [ms](int at_ms) { return at_ms <= ms; });
        const bool streams_run = ms <= last_stream_end_ms;
        const DrainLoad load{streams_run ? 1U : 0U, 40U - static_cast<std::size_t>(begun),
                             static_cast<std::uint64_t>(begun)};
        if (this->drain.Tick(load, kNow + Milliseconds(ms)) == DrainStage::kFinished)
          finished_ms = ms;
      }
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), finished_ms >= sends_at_ms.back());
    }
  }

  // Guards against a backlog that is dropped because the process exits at the moment at which its
  // listener is to be closed (LOST).
  void ListenerIsClosedBeforeExitWithoutConnections() {
    this->StartWithQuietTime();
    CPPUNIT_ASSERT(this->drain.Tick({0, 0, 7}, kNow + Milliseconds(4980)) ==
                   DrainStage::kAccepting);
    CPPUNIT_ASSERT(this->drain.Tick({0, 0, 7}, kNow + seconds(5)) == DrainStage::kRefusing);
  }

 private:
  void StartWithQuietTime() {
    this->drain = Drain::Create({seconds(5), seconds(3), seconds(1)}).value();
    this->drain.Start(kNow);
    this->drain.OnAnnounced(kNow);
  }

  Drain drain = Drain::Create({}).value();
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

}  // namespace
}  // namespace limpetfall
