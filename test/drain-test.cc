#include "core/drain.h"

#include <cppunit/extensions/HelperMacros.h>

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
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->drain = Drain::Create({seconds(5), seconds(3)}).value(); }

  void StagesAdvanceInOrder() {
    CPPUNIT_ASSERT(this->drain.Tick(0, kNow + seconds(60)) == DrainStage::kServing);
    this->drain.Start(kNow);
    CPPUNIT_ASSERT(!this->drain.IsAdvertised() && this->drain.AcceptsWork());
    this->drain.OnAnnounced(kNow);
    CPPUNIT_ASSERT(this->drain.Tick(1, kNow + seconds(5)) == DrainStage::kRefusing);
    CPPUNIT_ASSERT(!this->drain.AcceptsWork());
    CPPUNIT_ASSERT(this->drain.Tick(0, kNow + seconds(6)) == DrainStage::kFinished);
  }

  // Guards against refusing callers whose cached address response is still valid.
  void AddressTtlCountsFromAnnouncement() {
    this->drain.Start(kNow);
    this->drain.OnAnnounced(kNow + seconds(2));
    CPPUNIT_ASSERT(this->drain.Tick(0, kNow + Milliseconds(6999)) == DrainStage::kAccepting);
    CPPUNIT_ASSERT(this->drain.Tick(1, kNow + seconds(7)) == DrainStage::kRefusing);
  }

  void AnnouncementEndsAfterTimeout() {
    this->drain.Start(kNow);
    CPPUNIT_ASSERT(this->drain.Tick(0, kNow + seconds(2)) == DrainStage::kAnnouncing);
    CPPUNIT_ASSERT(this->drain.Tick(0, kNow + seconds(3)) == DrainStage::kAccepting);
    CPPUNIT_ASSERT(this->drain.Tick(1, kNow + seconds(8)) == DrainStage::kRefusing);
  }

  void DrainWaitsForRequestsInFlight() {
    this->drain.Start(kNow);
    CPPUNIT_ASSERT(this->drain.Tick(1, kNow + std::chrono::hours(1)) == DrainStage::kRefusing);
  }

  void SecondStartDoesNotExtendDrain() {
    this->drain.Start(kNow);
    this->drain.OnAnnounced(kNow);
    this->drain.Start(kNow + seconds(4));
    CPPUNIT_ASSERT(this->drain.Tick(1, kNow + seconds(5)) == DrainStage::kRefusing);
  }

 private:
  Drain drain = Drain::Create({}).value();
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

}  // namespace
}  // namespace limpetfall
