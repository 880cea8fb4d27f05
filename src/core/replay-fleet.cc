#include "core/replay-fleet.h"

#include <algorithm>

namespace limpetfall::detail {
namespace {

// Fraction of the load time that an engine needs when it keeps its shard of the model and only
// joins the other members.
constexpr double kWarmLoadFraction = 0.1;

}  // namespace

ReplayFleet::ReplayFleet(const Trace& trace) : load_s(trace.load_s) {
  for (const TraceDomain& domain : trace.domains) {
    this->zones[domain.domain] = domain.zone;
    for (int i = 0; i < domain.vms; ++i) {
      ReplayVm vm;
      vm.id = VmId(domain.domain.value + "-vm" + std::to_string(i));
      vm.domain = domain.domain;
      vm.zone = domain.zone;
      this->all[vm.id] = vm;
    }
  }
}

void ReplayFleet::Start(ReplayVm& vm, bool same_engine, double now) {
  if (vm.running) return;
  vm.running = true;
  if (same_engine) return;
  ++vm.starts;
  vm.available_since = now;
  vm.group = {};
  vm.rank = 0;
}

void ReplayFleet::Apply(const TraceEvent& event) {
  if (event.kind == TraceEventKind::kDomainLost || event.kind == TraceEventKind::kDomainReturned) {
    for (auto& [id, vm] : this->all) {
      if (vm.domain != event.domain) continue;
      if (event.kind == TraceEventKind::kDomainLost) {
        vm.running = false;
      } else {
        this->Start(vm, event.same_engine, event.at);
      }
    }
    return;
  }
  if (event.kind == TraceEventKind::kVmAdded) {
    ReplayVm vm;
    vm.id = event.vm;
    vm.domain = event.domain;
    vm.zone = this->zones[event.domain];
    vm.available_since = event.at;
    this->all[vm.id] = vm;
    return;
  }
  const auto found = this->all.find(event.vm);
  if (found == this->all.end()) return;
  ReplayVm& vm = found->second;
  switch (event.kind) {
    case TraceEventKind::kVmLost:
      vm.running = false;
      break;
    case TraceEventKind::kVmReturned:
      this->Start(vm, event.same_engine, event.at);
      break;
    case TraceEventKind::kVmLeaving:
      vm.leaving = true;
      break;
    case TraceEventKind::kVmRemoved:
      this->all.erase(found);
      break;
    case TraceEventKind::kVmSlow:
      vm.slow_factor = event.factor;
      break;
    default:
      break;
  }
}

void ReplayFleet::ApplyCommand(const AssignmentCommand& command, double now) {
  const auto found = this->all.find(command.vm);
  if (found == this->all.end() || !found->second.running) return;
  ReplayVm& vm = found->second;
  const GroupRecord& next = command.group;
  if (next.group == vm.group.group && next.generation == vm.group.generation) return;
  const bool warm = now >= vm.ready_at && next.model == vm.group.model &&
                    next.version == vm.group.version && command.rank == vm.rank &&
                    next.members.size() == vm.group.members.size();
  const auto load = this->load_s.find(next.model);
  const double seconds = load == this->load_s.end() ? 0 : load->second * vm.slow_factor;
  vm.ready_at = now + (warm ? seconds * kWarmLoadFraction : seconds);
  vm.group = next;
  vm.rank = command.rank;
}

std::vector<Vm> ReplayFleet::List() const {
  std::vector<Vm> list;
  for (const auto& [id, vm] : this->all) {
    list.push_back({id, "0.0.0.0:0", vm.zone, vm.domain, vm.leaving});
  }
  return list;
}

VmReport ReplayFleet::Report(const ReplayVm& vm, double now) const {
  VmReport report;
  report.vm = vm.id;
  report.instance = vm.id.value + "-" + std::to_string(vm.starts);
  report.group = vm.group.group;
  report.generation = vm.group.generation;
  report.model = vm.group.model;
  report.version = vm.group.version;
  report.rank = vm.rank;
  report.size = static_cast<int>(vm.group.members.size());
  if (vm.leaving) {
    report.state = EngineState::kLeaving;
  } else if (vm.group.group.value.empty()) {
    report.state = EngineState::kIdle;
  } else {
    report.state = now < vm.ready_at ? EngineState::kLoading : EngineState::kReady;
  }
  return report;
}

bool ReplayFleet::IsComplete(const GroupRecord& group, double now) const {
  return std::all_of(group.members.begin(), group.members.end(),
                     [this, &group, now](const VmId& member) {
                       const auto found = this->all.find(member);
                       if (found == this->all.end() || !found->second.running) return false;
                       const ReplayVm& vm = found->second;
                       return vm.group.group == group.group &&
                              vm.group.generation == group.generation && now >= vm.ready_at;
                     });
}

}  // namespace limpetfall::detail
