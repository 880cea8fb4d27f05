#ifndef LIMPETFALL_CORE_ASSEMBLY_POLICY_H_
#define LIMPETFALL_CORE_ASSEMBLY_POLICY_H_

#include <concepts>
#include <deque>
#include <map>
#include <optional>

#include "core/document.h"
#include "core/types.h"

namespace limpetfall {

/** Observed restart and load times in seconds. Uses a default until there are observations. */
class Estimates {
 public:
  /** `same_engine` is true if the member returned without a restart and still had its model. */
  void AddRestart(double seconds, bool same_engine);
  void AddLoad(const ModelName& model, double seconds);

  /** Returns the expected remaining time of an absence that has lasted `absence` seconds. */
  [[nodiscard]] double RemainingRestart(double absence) const;

  /** Returns the fraction of returning members that have to load their model again. */
  [[nodiscard]] double ReloadFraction() const;
  [[nodiscard]] double LoadTime(const ModelName& model) const;

 private:
  struct Restart {
    double seconds;
    bool same_engine;
  };

  std::deque<Restart> restarts;
  std::map<ModelName, std::deque<double>> loads;
};

enum class RepairAction {
  kWait,     ///< Keep the group until the missing members return.
  kSpare,    ///< Replace the missing members with free VMs.
  kPreempt,  ///< Replace the missing members with members of the victims.
  kRelease,  ///< Remove the group and free its members.
};

/** Totals of the groups that could be preempted to repair or build another group. */
struct Victims {
  int vms = 0;
  double priority_weight = 0;  ///< Sum over the victims that serve and are not surplus.
  double load_s = 0;
};

/** An incomplete group and the options for repairing it. A group not built yet has no members. */
struct RepairSituation {
  int size = 1;
  int healthy = 0;
  int missing = 0;
  bool may_return = false;  ///< The missing members are on the VM list and not leaving.
  double absence_s = 0;
  double wait_limit_s = 0;
  double remaining_restart_s = 0;
  double reload_fraction = 1;
  double load_s = 0;
  double priority_weight = 1;
  double downtime_weight = 0.5;
  int free_vms = 0;
  std::optional<Victims> victims;
};

/** A wanted group that could be built from free VMs, and the spares that this would use. */
struct BuildSituation {
  int size = 1;
  int free_vms = 0;
  int wanted_spares = 0;
  bool below_min = false;
  double priority_weight = 1;
  double downtime_weight = 0.5;
  double losses_per_second = 0;  ///< Observed losses of VMs in this domain.
  double remaining_restart_s = 0;
};

/** Returns the cost weight of an outage of a group with this priority. */
double PriorityWeight(Priority priority);

/** Decides what happens to incomplete groups and which groups are built. */
template <typename T>
concept AssemblyPolicy = requires(const T& policy, const RepairSituation& repair,
                                  const BuildSituation& build) {
  { policy.ChooseRepair(repair) } -> std::same_as<RepairAction>;
  { policy.MayBuild(build) } -> std::same_as<bool>;
  // Whether products are processed by priority rather than in the order of the document.
  { T::kByPriority } -> std::convertible_to<bool>;
};

/** Chooses the option with the least expected cost of group downtime and stranded accelerators. */
struct CostPolicy {
  static constexpr bool kByPriority = true;
  [[nodiscard]] RepairAction ChooseRepair(const RepairSituation& situation) const;
  [[nodiscard]] bool MayBuild(const BuildSituation& situation) const;
};

/** Baseline: waits for a lost member for as long as it is on the VM list. */
struct AlwaysWaitPolicy {
  static constexpr bool kByPriority = true;
  [[nodiscard]] RepairAction ChooseRepair(const RepairSituation& situation) const;
  [[nodiscard]] bool MayBuild(const BuildSituation& situation) const;
};

/** Baseline: removes an incomplete group at once and builds in the order of the document. */
struct RebuildInOrderPolicy {
  static constexpr bool kByPriority = false;
  [[nodiscard]] RepairAction ChooseRepair(const RepairSituation& situation) const;
  [[nodiscard]] bool MayBuild(const BuildSituation& situation) const;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_ASSEMBLY_POLICY_H_
