#include "core/assembly-policy.h"

#include <algorithm>

namespace limpetfall {
namespace {

constexpr std::size_t kSamples = 16;
// Used until the first observation; a wrong guess only affects the first repairs.
constexpr double kPriorRestart = 20;
constexpr double kPriorLoad = 10;

template <typename T>
void AddSample(std::deque<T>& samples, T sample) {
  samples.push_back(sample);
  if (samples.size() > kSamples) samples.pop_front();
}

// Stranded VMs are counted in groups, so that both measures have the same unit.
double Cost(const RepairSituation& situation, double downtime, double stranded_vm_seconds) {
  return situation.downtime_weight * downtime +
         (1 - situation.downtime_weight) * stranded_vm_seconds / std::max(1, situation.size);
}

double WaitCost(const RepairSituation& situation) {
  const double seconds = situation.remaining_restart_s + situation.reload_share * situation.load_s;
  return Cost(situation, situation.priority_weight * seconds, situation.healthy * seconds);
}

double SpareCost(const RepairSituation& situation) {
  return Cost(situation, situation.priority_weight * situation.load_s,
              situation.size * situation.load_s);
}

// The victims stay down until the missing members return and they are loaded again.
double BreakUpCost(const RepairSituation& situation) {
  const Victims& victims = *situation.victims;
  const double down =
      victims.priority_weight > 0 ? situation.remaining_restart_s + victims.load_s : 0;
  const double left_over = std::max(0, victims.vms + situation.free_vms - situation.missing);
  return SpareCost(situation) + Cost(situation, victims.priority_weight * down, left_over * down);
}

}  // namespace

void Estimates::AddRestart(double seconds, bool same_engine) {
  AddSample(this->restarts, Restart{seconds, same_engine});
}

void Estimates::AddLoad(const ModelName& model, double seconds) {
  AddSample(this->loads[model], seconds);
}

double Estimates::RemainingRestart(double away) const {
  double sum = 0;
  int count = 0;
  const auto add = [&sum, &count, away](double seconds) {
    if (seconds <= away) return;
    sum += seconds - away;
    ++count;
  };
  for (const Restart& restart : this->restarts) add(restart.seconds);
  if (this->restarts.empty()) add(kPriorRestart);
  // A member that is away for longer than any before is expected to need as long again.
  return count > 0 ? sum / count : std::max(away, kPriorRestart);
}

double Estimates::ReloadShare() const {
  if (this->restarts.empty()) return 1;
  const auto reloads = std::count_if(this->restarts.begin(), this->restarts.end(),
                                     [](const Restart& restart) { return !restart.same_engine; });
  return static_cast<double>(reloads) / static_cast<double>(this->restarts.size());
}

double Estimates::LoadTime(const ModelName& model) const {
  const auto found = this->loads.find(model);
  if (found == this->loads.end()) return kPriorLoad;
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

Repair CostPolicy::ChooseRepair(const RepairSituation& situation) const {
  const bool may_wait = situation.may_return && situation.away_s < situation.wait_limit_s;
  const bool has_spares = situation.free_vms >= situation.missing;
  if (may_wait) {
    const double wait = WaitCost(situation);
    if (has_spares) return SpareCost(situation) < wait ? Repair::kSpare : Repair::kWait;
    if (situation.victims && BreakUpCost(situation) < wait) return Repair::kBreakUp;
    return Repair::kWait;
  }
  if (has_spares) return Repair::kSpare;
  if (!situation.victims) return Repair::kRelease;
  const double release = WaitCost(situation);
  return BreakUpCost(situation) < release ? Repair::kBreakUp : Repair::kRelease;
}

bool CostPolicy::MayBuild(const BuildSituation& situation) const {
  if (situation.free_vms < situation.size) return false;
  const int spares_used =
      std::max(0, situation.wanted_spares - (situation.free_vms - situation.size));
  if (situation.below_min || spares_used == 0) return true;
  // Gain of one second of the new group against the outages that the spares would shorten.
  const double gain =
      situation.downtime_weight * situation.priority_weight + (1 - situation.downtime_weight);
  const double outage = situation.downtime_weight * situation.priority_weight +
                        (1 - situation.downtime_weight) * (situation.size - 1) / situation.size;
  return gain > situation.losses_per_second * situation.remaining_restart_s * outage;
}

Repair AlwaysWaitPolicy::ChooseRepair(const RepairSituation& situation) const {
  if (situation.may_return) return Repair::kWait;
  return situation.free_vms >= situation.missing ? Repair::kSpare : Repair::kWait;
}

bool AlwaysWaitPolicy::MayBuild(const BuildSituation& situation) const {
  return situation.free_vms >= situation.size;
}

Repair RebuildInOrderPolicy::ChooseRepair(const RepairSituation& /*situation*/) const {
  return Repair::kRelease;
}

bool RebuildInOrderPolicy::MayBuild(const BuildSituation& situation) const {
  return situation.free_vms >= situation.size;
}

}  // namespace limpetfall
