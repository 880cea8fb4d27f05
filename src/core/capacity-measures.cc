#include "core/capacity-measures.h"

#include <algorithm>
#include <unordered_set>

namespace limpetfall {

CapacityMeasures MeasureCapacity(const Document& document, const std::vector<Vm>& vms,
                                 const std::vector<GroupSummary>& serving) {
  CapacityMeasures measures;
  for (const ModelSpec& model : document.models) {
    const auto count = std::count_if(serving.begin(), serving.end(),
                                     [&](const auto& group) { return group.model == model.name; });
    measures.models.push_back({model.name, model.groups, static_cast<int>(count)});
  }
  std::unordered_set<VmId> used;
  for (const GroupSummary& group : serving) {
    for (const GroupMember& member : group.members) used.insert(member.vm);
  }
  const auto stranded = std::count_if(
      vms.begin(), vms.end(), [&](const Vm& vm) { return !vm.leaving && !used.contains(vm.id); });
  measures.stranded_vms = static_cast<int>(stranded);
  return measures;
}

}  // namespace limpetfall
