#include "core/zone-evacuation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

class ZoneEvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneEvacuationTest);
  CPPUNIT_TEST(RequestedZoneIsEvacuatedUntilWithdrawn);
  CPPUNIT_TEST(RestoredStoreWithoutKeyEndsEvacuationAfterRewriteTime);
  CPPUNIT_TEST(EvacuationThatIsWrittenAgainGoesOn);
  CPPUNIT_TEST(ZonesAreIndependent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests to a zone that operators have asked to be left alone.
  void RequestedZoneIsEvacuatedUntilWithdrawn() {
    CPPUNIT_ASSERT(this->Apply("a", true, ChangeOrigin::kWritten, 0));
    CPPUNIT_ASSERT(!this->Apply("a", true, ChangeOrigin::kWritten, 100));
    CPPUNIT_ASSERT(this->evacuations.zones().contains(ZoneId("a")));
    CPPUNIT_ASSERT(this->Apply("a", false, ChangeOrigin::kWritten, 200));
    CPPUNIT_ASSERT(this->evacuations.zones().empty());
    CPPUNIT_ASSERT(this->evacuations.ended().at(ZoneId("a")) == At(200));
    CPPUNIT_ASSERT(!this->Apply("a", false, ChangeOrigin::kWritten, 300));
  }

  // Guards against requests to an evacuated zone because the store was restored from a copy that is
  // some seconds old.
  void RestoredStoreWithoutKeyEndsEvacuationAfterRewriteTime() {
    this->Apply("a", true, ChangeOrigin::kWritten, 0);
    CPPUNIT_ASSERT(!this->Apply("a", false, ChangeOrigin::kRestored, 1000));
    CPPUNIT_ASSERT(this->evacuations.ApplyDue(At(3199)).empty());
    CPPUNIT_ASSERT(this->evacuations.zones().contains(ZoneId("a")));
    CPPUNIT_ASSERT(this->evacuations.ApplyDue(At(3200)) == std::vector<ZoneId>{ZoneId("a")});
    CPPUNIT_ASSERT(this->evacuations.zones().empty());
  }

  // Guards against an evacuation that ends although its operator has written it again.
  void EvacuationThatIsWrittenAgainGoesOn() {
    this->Apply("a", true, ChangeOrigin::kWritten, 0);
    this->Apply("a", false, ChangeOrigin::kRestored, 1000);
    this->Apply("a", true, ChangeOrigin::kWritten, 2000);
    CPPUNIT_ASSERT(this->evacuations.ApplyDue(At(9000)).empty());
    CPPUNIT_ASSERT(this->evacuations.zones().contains(ZoneId("a")));
  }

  // Guards against the end of one evacuation that ends another.
  void ZonesAreIndependent() {
    this->Apply("a", true, ChangeOrigin::kWritten, 0);
    this->Apply("b", true, ChangeOrigin::kWritten, 0);
    this->Apply("a", false, ChangeOrigin::kWritten, 500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->evacuations.zones().size());
    CPPUNIT_ASSERT(this->evacuations.zones().contains(ZoneId("b")));
  }

 private:
  static TimePoint At(int ms) { return TimePoint(std::chrono::seconds(100)) + Milliseconds(ms); }

  bool Apply(const char* zone, bool requested, ChangeOrigin origin, int ms) {
    return this->evacuations.Apply({ZoneId(zone), requested}, {1, ms + 1}, origin, At(ms));
  }

  ZoneEvacuations evacuations;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneEvacuationTest);

}  // namespace
}  // namespace limpetfall
