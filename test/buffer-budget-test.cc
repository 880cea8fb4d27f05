#include "core/buffer-budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <list>

namespace limpetfall {
namespace {

class BufferBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BufferBudgetTest);
  CPPUNIT_TEST(LargeResponsesLeaveRoomForSmallOnes);
  CPPUNIT_TEST(EndedResponseReturnsItsBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against failing normal responses while endless ones use all the shared memory.
  void LargeResponsesLeaveRoomForSmallOnes() {
    BufferBudget budget({1000, 10, 2000});
    std::list<BufferBudget::Reservation> large;
    for (int i = 0; i < 2; ++i) CPPUNIT_ASSERT(large.emplace_back(budget).GrowTo(1000));
    CPPUNIT_ASSERT(!large.front().GrowTo(1001));
    BufferBudget::Reservation small(budget);
    CPPUNIT_ASSERT(small.GrowTo(10));
    CPPUNIT_ASSERT(!small.GrowTo(31));
    CPPUNIT_ASSERT(small.GrowTo(30));
  }

  // Guards against a budget that shrinks with each response.
  void EndedResponseReturnsItsBytes() {
    BufferBudget budget({1000, 10, 1000});
    for (int i = 0; i < 100; ++i) {
      BufferBudget::Reservation response(budget);
      CPPUNIT_ASSERT(response.GrowTo(500));
      CPPUNIT_ASSERT(response.GrowTo(1000));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BufferBudgetTest);

}  // namespace
}  // namespace limpetfall
