#ifndef LIMPETFALL_CORE_ASSEMBLY_POLICY_H_
#define LIMPETFALL_CORE_ASSEMBLY_POLICY_H_

#include <concepts>
#include <deque>
#include <map>
#include <optional>

#include "core/document.h"
#include "core/types.h"

namespace limpetfall {

/** Observed restart and load times, in seconds, with a prior until there are observations. */
class Estimates {
 public:
  /** `same_engine` says that the member came back without a restart, so it still had its model. */
  void AddRestart(double seconds, bool same_engine);
  void AddLoad(const ModelName& model, double seconds);

  /** Returns the expected time until a member returns that has been away for `away` seconds. */
  [[nodiscard]] double RemainingRestart(double away) const;

  /** Returns the share of returning members that have to load their model again. */
  [[nodiscard]] double ReloadShare() const;
  [[nodiscard]] double LoadTime(const ModelName& model) const;

 private:
  struct Restart {
    double seconds;
    bool same_engine;
  };

  std::deque<Restart> restarts;
  std::map<ModelName, std::deque<double>> loads;
};

enum class Repair {
  kWait,     ///< Keep the group until the missing members return.
  kSpare,    ///< Replace the missing members by free VMs.
  kBreakUp,  ///< Replace the missing members by those of the victims.
  kRelease,  ///< Give up the group and free its members.
};

/** Groups whose members may be taken for a more important one. */
struct Victims {
  int vms = 0;
  double priority_weight = 0;  ///< Sum over the groups that serve and are wanted.
  double load_s = 0;
};

/** An incomplete group and what can be done about it. A group not built yet has no member. */
struct RepairSituation {
  int size = 1;
  int healthy = 0;
  int missing = 0;
  bool may_return = false;  ///< The missing members are on the VM list and not leaving.
  double away_s = 0;
  double wait_limit_s = 0;
  double remaining_restart_s = 0;
  double reload_share = 1;
  double load_s = 0;
  double priority_weight = 1;
  double downtime_weight = 0.5;
  int free_vms = 0;
  std::optional<Victims> victims;
};

/** A wanted group that free VMs could form, and the spares this would use up. */
struct BuildSituation {
  int size = 1;
  int free_vms = 0;
  int wanted_spares = 0;
  bool below_min = false;
  double priority_weight = 1;
  double downtime_weight = 0.5;
  double losses_per_second = 0;  ///< Of members of this domain, as observed.
  double remaining_restart_s = 0;
};

/** Returns how much an outage of a group of this priority counts. */
double PriorityWeight(Priority priority);

/** Decides what happens to incomplete groups and which groups are built. */
template <typename T>
concept AssemblyPolicy = requires(const T& policy, const RepairSituation& repair,
                                  const BuildSituation& build) {
  { policy.ChooseRepair(repair) } -> std::same_as<Repair>;
  { policy.MayBuild(build) } -> std::same_as<bool>;
  // Whether groups are handled by priority rather than in the order of the document.
  { T::kByPriority } -> std::convertible_to<bool>;
};

/** Takes the option with the least expected cost in group downtime and stranded accelerators. */
struct CostPolicy {
  static constexpr bool kByPriority = true;
  [[nodiscard]] Repair ChooseRepair(const RepairSituation& situation) const;
  [[nodiscard]] bool MayBuild(const BuildSituation& situation) const;
};

/** Baseline: waits for a lost member for as long as the VM list names it. */
struct AlwaysWaitPolicy {
  static constexpr bool kByPriority = true;
  [[nodiscard]] Repair ChooseRepair(const RepairSituation& situation) const;
  [[nodiscard]] bool MayBuild(const BuildSituation& situation) const;
};

/** Baseline: gives up an incomplete group at once and builds in the order of the document. */
struct RebuildInOrderPolicy {
  static constexpr bool kByPriority = false;
  [[nodiscard]] Repair ChooseRepair(const RepairSituation& situation) const;
  [[nodiscard]] bool MayBuild(const BuildSituation& situation) const;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_ASSEMBLY_POLICY_H_
