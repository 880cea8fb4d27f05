#include "core/replay.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "core/replay-fleet.h"

namespace limpetfall {
namespace {

using detail::ReplayFleet;
using detail::ReplayVm;

constexpr double kStepSeconds = 0.25;
// Step while nothing changes. Must be a multiple of kStepSeconds.
constexpr double kIdleStepSeconds = 5;
constexpr double kIdleStepDelaySeconds = 120;

TimePoint AtSeconds(double seconds) {
  // Starts at one hour, so that times before the start are valid time points.
  return TimePoint(std::chrono::hours(1)) +
         Milliseconds(static_cast<std::int64_t>(std::llround(seconds * 1000)));
}

template <AssemblyPolicy P>
struct ReplayDomain {
  DomainId domain;
  Assembly<P> core;
  DomainRecord record;
  std::map<VmId, ReceivedReport> reports;
  std::map<GroupId, GroupSummary> summaries;
  std::map<GroupId, double> not_serving_since;
  int slots_held = 0;
};

template <AssemblyPolicy P>
class Replay {
 public:
  Replay(const Trace& source, std::optional<double> weight_override)
      : trace(source), weight(weight_override), fleet(source), document(source.document) {
    if (this->weight) this->document.policy.group_downtime_weight = *this->weight;
    for (const TraceDomain& domain : source.domains) {
      AssemblyOptions options;
      options.domain = domain.domain;
      this->domains.push_back(
          {domain.domain, Assembly<P>::Create(options, P{}), {}, {}, {}, {}, 0});
    }
  }

  ReplayOutcome Run() {
    this->Replan();
    auto next = this->trace.events.begin();
    double last_change = 0;
    for (double now = 0; now < this->trace.until;) {
      bool changed = false;
      for (; next != this->trace.events.end() && next->at <= now; ++next) {
        this->ApplyEvent(*next, now);
        changed = true;
      }
      for (auto& domain : this->domains) changed = this->StepDomain(domain, now) || changed;
      if (changed) last_change = now;
      const double step =
          now - last_change > kIdleStepDelaySeconds ? kIdleStepSeconds : kStepSeconds;
      double until = std::min(now + step, this->trace.until);
      if (next != this->trace.events.end())
        until = std::min(until, std::max(next->at, now + kStepSeconds));
      this->Measure(now, until - now);
      now = until;
    }
    for (; next != this->trace.events.end(); ++next) this->ApplyEvent(*next, this->trace.until);
    return std::move(this->outcome);
  }

 private:
  void Replan() {
    this->list = this->fleet.List();
    this->placement = std::make_shared<const Placement>(PlanPlacement(this->document, this->list));
  }

  void ApplyEvent(const TraceEvent& event, double now) {
    switch (event.kind) {
      case TraceEventKind::kSurge:
        this->running[event.model] = event.count;
        break;
      case TraceEventKind::kDocument:
        this->document = event.document;
        if (this->weight) this->document.policy.group_downtime_weight = *this->weight;
        break;
      case TraceEventKind::kSlots:
        this->document.policy.weight_store_slots = event.count;
        break;
      case TraceEventKind::kExpect:
        this->CheckExpectation(event, now);
        break;
      default:
        this->fleet.Apply(event);
    }
    this->Replan();
  }

  void CheckExpectation(const TraceEvent& event, double now) {
    int serving = 0;
    for (const auto& domain : this->domains) {
      for (const auto& [id, summary] : domain.summaries) {
        if (summary.model == event.model && this->IsServing(domain, summary, now)) ++serving;
      }
    }
    if (serving >= event.count) return;
    this->Fail(now, std::to_string(serving) + " groups of " + event.model.value +
                        " serve, expected " + std::to_string(event.count));
  }

  void Fail(double now, const std::string& what) {
    this->outcome.failures.push_back(this->trace.name + " at " + std::to_string(now) +
                                     " s: " + what);
  }

  // ---- one step of one domain's owner

  bool StepDomain(ReplayDomain<P>& domain, double now) {
    AssemblyInput input = this->MakeInput(domain, now);
    AssemblyOutput output = domain.core.Step(input, AtSeconds(now));
    const int granted = this->GrantSlots(domain, output.slots_needed);
    if (granted > input.slots_held) {
      input.slots_held = granted;
      output = domain.core.Step(input, AtSeconds(now));
    }
    bool changed = this->StoreSummaries(domain, output.summaries, now);
    if (output.proposal) {
      this->StoreRecord(domain, *output.proposal, now);
      changed = true;
    }
    for (const AssignmentCommand& command : output.commands) {
      this->fleet.ApplyCommand(command, now);
      changed = true;
    }
    return changed;
  }

  // Grants the domain the slots that it needs, up to the weight store's limit.
  int GrantSlots(ReplayDomain<P>& domain, int needed) {
    int left = this->document.policy.weight_store_slots;
    for (const auto& other : this->domains) {
      if (other.domain != domain.domain) left -= other.slots_held;
    }
    domain.slots_held = std::min(needed, std::max(left, 0));
    return domain.slots_held;
  }

  AssemblyInput MakeInput(ReplayDomain<P>& domain, double now) {
    AssemblyInput input;
    for (const Vm& vm : this->list) {
      if (vm.domain != domain.domain) continue;
      input.vms.push_back(vm);
      const ReplayVm& engine = this->fleet.vms().at(vm.id);
      if (engine.running) {
        VmReport report = this->fleet.Report(engine, now);
        report.running = this->RunningRequests(domain, engine, now);
        domain.reports[vm.id] = {std::move(report), AtSeconds(now)};
      }
      const auto report = domain.reports.find(vm.id);
      if (report != domain.reports.end()) input.reports.push_back(report->second);
    }
    input.slots_held = domain.slots_held;
    input.record = domain.record;
    input.placement = this->placement;
    input.policy = this->document.policy;
    input.groups_in_other_domains.resize(this->placement->products.size());
    input.not_draining_in_other_domains.resize(this->placement->products.size());
    for (const auto& other : this->domains) {
      if (other.domain == domain.domain) continue;
      for (const auto& [id, summary] : other.summaries) {
        if (summary.state == GroupState::kLost) continue;
        const int product = FindProduct(this->placement->products, summary.model, summary.version);
        if (product < 0) continue;
        ++input.groups_in_other_domains[static_cast<std::size_t>(product)];
        if (summary.state == GroupState::kDraining) continue;
        ++input.not_draining_in_other_domains[static_cast<std::size_t>(product)];
      }
    }
    return input;
  }

  // Requests in flight end `request_s` after the group stops receiving new ones.
  int RunningRequests(const ReplayDomain<P>& domain, const ReplayVm& vm, double now) const {
    if (vm.rank != 0 || vm.group.group.value.empty()) return 0;
    const auto running = this->running.find(vm.group.model);
    if (running == this->running.end()) return 0;
    const auto stopped = domain.not_serving_since.find(vm.group.group);
    const bool drained =
        stopped != domain.not_serving_since.end() && now - stopped->second > trace.request_s;
    return drained ? 0 : running->second;
  }

  bool StoreSummaries(ReplayDomain<P>& domain, const std::vector<SummaryUpdate>& updates,
                      double now) {
    bool changed = false;
    domain.summaries.clear();
    for (const SummaryUpdate& update : updates) {
      const GroupSummary& summary = update.summary;
      changed = changed || update.urgent || summary.state != GroupState::kServing;
      if (summary.state == GroupState::kServing) {
        domain.not_serving_since.erase(summary.group);
      } else {
        domain.not_serving_since.try_emplace(summary.group, now);
      }
      domain.summaries[summary.group] = summary;
    }
    return changed;
  }

  void StoreRecord(ReplayDomain<P>& domain, DomainRecord proposal, double now) {
    std::set<VmId> members;
    for (const GroupRecord& group : proposal.groups) {
      for (const VmId& vm : group.members) {
        if (!members.insert(vm).second) this->Fail(now, vm.value + " is in two groups");
      }
    }
    if (proposal.last_generation < domain.record.last_generation) {
      this->Fail(now, "last_generation decreased in " + domain.domain.value);
    }
    proposal.revision = domain.record.revision + 1;
    domain.record = std::move(proposal);
    ++this->outcome.records_written;
  }

  // ---- measurements

  bool IsServing(const ReplayDomain<P>& domain, const GroupSummary& summary, double now) const {
    if (summary.state != GroupState::kServing) return false;
    for (const GroupRecord& group : domain.record.groups) {
      if (group.group == summary.group && group.generation == summary.generation) {
        return this->fleet.IsComplete(group, now);
      }
    }
    return false;
  }

  void Measure(double now, double seconds) {
    std::vector<int> serving(this->placement->products.size());
    int serving_vms = 0;
    int loading = 0;
    for (const auto& domain : this->domains) {
      for (const auto& [id, summary] : domain.summaries) {
        if (summary.state == GroupState::kLoading) ++loading;
        if (!this->IsServing(domain, summary, now)) continue;
        const int product = FindProduct(this->placement->products, summary.model, summary.version);
        if (product >= 0) ++serving[static_cast<std::size_t>(product)];
      }
    }
    this->outcome.most_loading = std::max(this->outcome.most_loading, loading);
    if (now < this->trace.measure_from) return;
    for (std::size_t i = 0; i < serving.size(); ++i) {
      const Product& product = this->placement->products[i];
      // VMs of surplus groups count as stranded.
      serving_vms += std::min(serving[i], product.wanted) * product.size;
      const double missing_group_s = std::max(0, product.wanted - serving[i]) * seconds;
      this->outcome.downtime_group_s += missing_group_s;
      this->outcome.weighted_downtime += missing_group_s * PriorityWeight(product.priority);
    }
    int healthy = 0;
    for (const auto& [id, vm] : this->fleet.vms()) healthy += vm.running && !vm.leaving ? 1 : 0;
    this->outcome.stranded_vm_s += std::max(0, healthy - serving_vms) * seconds;
  }

  const Trace& trace;
  std::optional<double> weight;
  ReplayFleet fleet;
  Document document;
  std::vector<Vm> list;
  std::shared_ptr<const Placement> placement;
  std::vector<ReplayDomain<P>> domains;
  std::map<ModelName, int> running;
  ReplayOutcome outcome;
};

void CheckTotals(const Trace& trace, ReplayOutcome& outcome) {
  if (trace.max_downtime && outcome.downtime_group_s > *trace.max_downtime) {
    outcome.failures.push_back(trace.name + ": downtime of " +
                               std::to_string(outcome.downtime_group_s) +
                               " group-seconds is above the stated outcome");
  }
  if (trace.max_stranded && outcome.stranded_vm_s > *trace.max_stranded) {
    outcome.failures.push_back(trace.name + ": " + std::to_string(outcome.stranded_vm_s) +
                               " stranded VM-seconds are above the stated outcome");
  }
}

}  // namespace

ReplayOutcome RunTrace(const Trace& trace, ReplayPolicy policy, std::optional<double> weight) {
  switch (policy) {
    case ReplayPolicy::kAlwaysWait:
      return Replay<AlwaysWaitPolicy>(trace, weight).Run();
    case ReplayPolicy::kRebuildInOrder:
      return Replay<RebuildInOrderPolicy>(trace, weight).Run();
    case ReplayPolicy::kCost:
      break;
  }
  ReplayOutcome outcome = Replay<CostPolicy>(trace, weight).Run();
  if (!weight) CheckTotals(trace, outcome);
  return outcome;
}

}  // namespace limpetfall
