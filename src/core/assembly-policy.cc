#include "core/assembly-policy.h"

#include <algorithm>

namespace limpetfall {
namespace {

constexpr std::size_t kMaxSamples = 16;
// Used until the first observation. A wrong value affects only the first repairs.
constexpr double kPriorRestartSeconds = 20;
constexpr double kPriorLoadSeconds = 10;

template <typename T>
void AddSample(std::deque<T>& samples, T sample) {
  samples.push_back(sample);
  if (samples.size() > kMaxSamples) samples.pop_front();
}

// Stranded VMs are converted to groups, so that both terms have the same unit.
double Cost(const RepairSituation& situation, double downtime, double stranded_vm_seconds) {
  return situation.downtime_weight * downtime +
         (1 - situation.downtime_weight) * stranded_vm_seconds / std::max(1, situation.size);
}

double WaitCost(const RepairSituation& situation) {
  const double seconds =
      situation.remaining_restart_s + situation.reload_fraction * situation.load_s;
  return Cost(situation, situation.priority_weight * seconds, situation.healthy * seconds);
}

double SpareCost(const RepairSituation& situation) {
  return Cost(situation, situation.priority_weight * situation.load_s,
              situation.size * situation.load_s);
}

// The victims do not serve until the missing members return and the victims have loaded again.
double PreemptionCost(const RepairSituation& situation) {
  const Victims& victims = *situation.victims;
  const double down =
      victims.priority_weight > 0 ? situation.remaining_restart_s + victims.load_s : 0;
  const double unused_vms = std::max(0, victims.vms + situation.free_vms - situation.missing);
  return SpareCost(situation) + Cost(situation, victims.priority_weight * down, unused_vms * down);
}

}  // namespace

void Estimates::AddRestart(double seconds, bool same_engine) {
  AddSample(this->restarts, Restart{seconds, same_engine});
}

void Estimates::AddLoad(const ModelName& model, double seconds) {
  AddSample(this->loads[model], seconds);
}

double Estimates::RemainingRestart(double absence) const {
  double sum = 0;
  int count = 0;
  const auto add = [&sum, &count, absence](double seconds) {
    if (seconds <= absence) return;
    sum += seconds - absence;
    ++count;
  };
  for (const Restart& restart : this->restarts) add(restart.seconds);
  if (this->restarts.empty()) add(kPriorRestartSeconds);
  // A member that is absent for longer than any sample is expected to need the same time again.
  return count > 0 ? sum / count : std::max(absence, kPriorRestartSeconds);
}

double Estimates::ReloadFraction() const {
  if (this->restarts.empty()) return 1;
  const auto reloads = std::count_if(this->restarts.begin(), this->restarts.end(),
                                     [](const Restart& restart) { return !restart.same_engine; });
  return static_cast<double>(reloads) / static_cast<double>(this->restarts.size());
}

double Estimates::LoadTime(const ModelName& model) const {
  const auto found = this->loads.find(model);
  if (found == this->loads.end()) return kPriorLoadSeconds;
  double sum = 0;
  for (double seconds : found->second) sum += seconds;
  return sum / static_cast<double>(found->second.size());
}

double PriorityWeight(Priority priority) {
  switch (priority) {
    case Priority::kHigh:
      return 4;
    case Priority::kNormal:
      return 2;
    case Priority::kLow:
      return 1;
  }
  return 1;
}

RepairAction CostPolicy::ChooseRepair(const RepairSituation& situation) const {
  const bool may_wait = situation.may_return && situation.absence_s < situation.wait_limit_s;
  const bool has_spares = situation.free_vms >= situation.missing;
  if (may_wait) {
    const double wait = WaitCost(situation);
    if (has_spares) return SpareCost(situation) < wait ? RepairAction::kSpare : RepairAction::kWait;
    if (situation.victims && PreemptionCost(situation) < wait) return RepairAction::kPreempt;
    return RepairAction::kWait;
  }
  if (has_spares) return RepairAction::kSpare;
  if (!situation.victims) return RepairAction::kRelease;
  const double release = WaitCost(situation);
  return PreemptionCost(situation) < release ? RepairAction::kPreempt : RepairAction::kRelease;
}

bool CostPolicy::MayBuild(const BuildSituation& situation) const {
  if (situation.free_vms < situation.size) return false;
  const int spares_used =
      std::max(0, situation.wanted_spares - (situation.free_vms - situation.size));
  if (situation.below_min || spares_used == 0) return true;
  // Compares the gain per second of the new group with the outage time that the spares would save.
  const double gain =
      situation.downtime_weight * situation.priority_weight + (1 - situation.downtime_weight);
  const double outage = situation.downtime_weight * situation.priority_weight +
                        (1 - situation.downtime_weight) * (situation.size - 1) / situation.size;
  return gain > situation.losses_per_second * situation.remaining_restart_s * outage;
}

RepairAction AlwaysWaitPolicy::ChooseRepair(const RepairSituation& situation) const {
  if (situation.may_return) return RepairAction::kWait;
  return situation.free_vms >= situation.missing ? RepairAction::kSpare : RepairAction::kWait;
}

bool AlwaysWaitPolicy::MayBuild(const BuildSituation& situation) const {
  return situation.free_vms >= situation.size;
}

RepairAction RebuildInOrderPolicy::ChooseRepair(const RepairSituation& /*situation*/) const {
  return RepairAction::kRelease;
}

bool RebuildInOrderPolicy::MayBuild(const BuildSituation& situation) const {
  return situation.free_vms >= situation.size;
}

}  // namespace limpetfall
