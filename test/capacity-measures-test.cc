#include "core/capacity-measures.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

Vm MakeVm(const std::string& id, bool leaving = false) {
  Vm vm;
  vm.id = VmId(id);
  vm.leaving = leaving;
  return vm;
}

class CapacityMeasuresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CapacityMeasuresTest);
  CPPUNIT_TEST(CountsMissingGroupsAndStrandedVms);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against counting a leaving VM or a VM of a serving group as stranded.
  void CountsMissingGroupsAndStrandedVms() {
    Document document;
    document.models.emplace_back();
    document.models[0].name = ModelName("fold-plan");
    document.models[0].groups = 2;
    GroupSummary group;
    group.model = ModelName("fold-plan");
    group.members = {{VmId("a"), "", ""}, {VmId("b"), "", ""}};
    const std::vector<Vm> vms = {MakeVm("a"), MakeVm("b"), MakeVm("c"), MakeVm("d", true)};
    const CapacityMeasures measures = MeasureCapacity(document, vms, {group});
    CPPUNIT_ASSERT((measures.models == std::vector<ModelCapacity>{{ModelName("fold-plan"), 2, 1}}));
    CPPUNIT_ASSERT_EQUAL(1, measures.stranded_vms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityMeasuresTest);

}  // namespace
}  // namespace limpetfall
