#include "limpetfall/verdict.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

class VerdictTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VerdictTest);
  CPPUNIT_TEST(WireFormRoundTrips);
  CPPUNIT_TEST(UnknownTextIsNotParsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a verdict that the client library parses as a different one.
  void WireFormRoundTrips() {
    for (Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
      CPPUNIT_ASSERT(ParseVerdict(ToString(verdict)) == verdict);
    }
  }

  // Guards against parsing a corrupted header as `not-run`.
  void UnknownTextIsNotParsed() { CPPUNIT_ASSERT(!ParseVerdict("not-run ").has_value()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VerdictTest);

}  // namespace
}  // namespace limpetfall
