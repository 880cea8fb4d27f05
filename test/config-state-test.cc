#include "core/config-state.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

using std::chrono::seconds;

class ConfigStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStateTest);
  CPPUNIT_TEST(OlderOrEqualVersionIsNotAdopted);
  CPPUNIT_TEST(ConfirmedNodeServesWithoutAMajority);
  CPPUNIT_TEST(UnconfirmedNodeServesOnlyWithAMajority);
  CPPUNIT_TEST(UnconfirmedNodeRefusesIfAReachablePeerIsConfirmed);
  CPPUNIT_TEST(ConfirmationIsNotExtendedAfterANewerVersionIsObserved);
  CPPUNIT_TEST(ConfirmationOfAnotherVersionIsIgnored);
  CPPUNIT_TEST(NodeWithoutDocumentRefuses);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against replacing a document by an older one.
  void OlderOrEqualVersionIsNotAdopted() {
    CPPUNIT_ASSERT(this->state.Adopt({7, {}}));
    CPPUNIT_ASSERT(!this->state.Adopt({6, {}}));
    CPPUNIT_ASSERT(!this->state.Adopt({7, {}}));
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{7}, this->state.version());
  }

  // Guards against a node that refuses requests although its document is confirmed.
  void ConfirmedNodeServesWithoutAMajority() {
    this->state.Adopt({1, {}});
    this->state.Confirm(1, this->now + seconds(5));
    CPPUNIT_ASSERT(this->state.MayServeNow({7, 1, false}, this->now + seconds(4)));
    CPPUNIT_ASSERT(!this->state.MayServeNow({7, 1, false}, this->now + seconds(5)));
  }

  // Guards against one half of a partition serving an old document while the other half accepts a
  // new one.
  void UnconfirmedNodeServesOnlyWithAMajority() {
    this->state.Adopt({1, {}});
    CPPUNIT_ASSERT(this->state.MayServeNow({7, 4, false}, this->now));
    CPPUNIT_ASSERT(!this->state.MayServeNow({7, 3, false}, this->now));
    CPPUNIT_ASSERT(!this->state.MayServeNow({6, 3, false}, this->now));
    CPPUNIT_ASSERT(this->state.MayServeNow({1, 1, false}, this->now));
  }

  // Guards against a node that lost its connection to the store and assumes a store outage.
  void UnconfirmedNodeRefusesIfAReachablePeerIsConfirmed() {
    this->state.Adopt({1, {}});
    CPPUNIT_ASSERT(!this->state.MayServeNow({7, 7, true}, this->now));
  }

  // Guards against serving indefinitely with a document that is known to be superseded.
  void ConfirmationIsNotExtendedAfterANewerVersionIsObserved() {
    this->state.Adopt({1, {}});
    this->state.Confirm(1, this->now + seconds(5));
    this->state.ObserveVersion(2);
    this->state.Confirm(1, this->now + seconds(60));
    CPPUNIT_ASSERT(this->state.MayServeNow({7, 7, false}, this->now));
    CPPUNIT_ASSERT(!this->state.MayServeNow({7, 7, false}, this->now + seconds(5)));
    this->state.Adopt({2, {}});
    CPPUNIT_ASSERT(this->state.MayServeNow({7, 7, false}, this->now + seconds(5)));
  }

  // Guards against confirming the current document by a read that returned another version.
  void ConfirmationOfAnotherVersionIsIgnored() {
    this->state.Adopt({2, {}});
    this->state.Confirm(1, this->now + seconds(5));
    this->state.Confirm(3, this->now + seconds(5));
    CPPUNIT_ASSERT(this->state.confirmed_until() < this->now);
  }

  // Guards against serving before the first document is adopted.
  void NodeWithoutDocumentRefuses() {
    this->state.Confirm(0, this->now + seconds(5));
    CPPUNIT_ASSERT(!this->state.MayServeNow({1, 1, false}, this->now));
  }

 private:
  ConfigState state;
  TimePoint now = Clock::now();
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStateTest);

}  // namespace
}  // namespace limpetfall
