#ifndef LIMPETFALL_CORE_GROUP_PLANNER_H_
#define LIMPETFALL_CORE_GROUP_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/gateway-config.h"
#include "core/runner.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** A group in the plan: its members, and the process start of each one when it was chosen. */
struct PlannedGroup {
  GroupId group;
  Generation epoch = 0;
  ServiceName service;
  ModelName model;
  DomainId domain;
  std::vector<VmId> members;             ///< The first is the head, which serves requests.
  std::vector<std::int64_t> started_ms;  ///< Process start of each member when it was chosen.
  bool dissolving = false;  ///< Members are released once the head has certainly stopped serving.

  friend bool operator==(const PlannedGroup&, const PlannedGroup&) = default;
};

/** Returns whether the runner's store entry lists it in the group under the group's epoch. */
[[nodiscard]] bool InGroup(const Runner& runner, const PlannedGroup& group);

/**
 * Order of the plans, which each plan states itself: a restored store gives out revisions again and
 * may hold an older plan than the nodes know.
 */
struct PlanVersion {
  std::int64_t era = 0;  ///< Of the store, when the plan was written.
  std::int64_t sequence = 0;

  /** Returns the version of the next plan, which is written in era `current_era`. */
  [[nodiscard]] PlanVersion Next(std::int64_t current_era) const;

  // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
  friend auto operator<=>(const PlanVersion&,
                          const PlanVersion&) = default;  // NOLINT(modernize-use-nullptr)
  friend bool operator==(const PlanVersion&, const PlanVersion&) = default;
};

/** All groups. Stored under one key of the platform's store by compare-and-swap on its revision. */
struct GroupPlan {
  StoreRevision revision;  ///< Of the key, which may hold another plan; number 0 without the key.
  PlanVersion version;
  bool is_stored = true;  ///< False if the store was restored and holds an older plan or none.
  std::vector<PlannedGroup> groups;

  friend bool operator==(const GroupPlan&, const GroupPlan&) = default;
};

enum class RunnerOrderKind {
  kJoin,
  kOpen,
  kClose,  ///< The head finishes its requests and accepts no new ones.
  kLeave,
  kStage,  ///< Loads a model's weights onto the host without affecting what runs there.
  kProbe,  ///< Checks whether an upstream that cannot be reached is still running.
};

constexpr std::string_view ToString(RunnerOrderKind kind) {
  switch (kind) {
    case RunnerOrderKind::kJoin:
      return "join";
    case RunnerOrderKind::kOpen:
      return "open";
    case RunnerOrderKind::kClose:
      return "close";
    case RunnerOrderKind::kLeave:
      return "leave";
    case RunnerOrderKind::kStage:
      return "stage";
    case RunnerOrderKind::kProbe:
      return "probe";
  }
  return "unknown";
}

struct RunnerOrder {
  RunnerOrderKind kind = RunnerOrderKind::kProbe;
  VmId runner;
  std::string address;
  std::int64_t started_ms = 0;  ///< Process start; the order is void after a restart.
  PlannedGroup group;

  friend bool operator==(const RunnerOrder&, const RunnerOrder&) = default;
};

/** State of a runner as observed by a probe or an order. */
enum class RunnerProbeResult {
  kRunning,
  kReplaced,     ///< Another runner answers at its address, so this one has ended.
  kUnreachable,  ///< No connection or answer. It has ended, is leaving, or is partitioned and may
                 ///< still serve.
};

struct PlannerOptions {
  /** Entries that expire in a store outage return within 2 s. */
  Milliseconds missing_entry_grace{2200};
  /** Far longer than any outage after which runners return. */
  Milliseconds missing_entry_expiry{60000};
  /** After this an unreachable runner is lost, whether or not the store still lists it. */
  Milliseconds unreachable_grace{200};
  Milliseconds order_retry_interval{1000};
  Milliseconds stall_timeout{6000};  ///< A head that lost a member has stopped serving after this.
  /** How long a domain is reserved for one model while the groups that it replaces close. */
  Milliseconds reservation_time{6000};
  /** Least utilization at which a model may take runners from other models' groups; 1 is full. */
  double shift_min_utilization = 0.9;
  /** The same limit if members of dissolved groups make up at most half of the new group. */
  double completion_min_utilization = 0.5;
  /** Highest utilization allowed for the remaining groups of the model that gives up runners. */
  double shift_max_donor_utilization = 0.75;
  /**
   * Highest plain utilization allowed for them if the other model refuses callers. Without this
   * limit, a fleet that lost many runners would keep all its remaining capacity for one model.
   */
  double relief_max_donor_utilization = 0.9;
  /** Least difference between the two; a smaller gain is not worth the duration of a move. */
  double shift_min_utilization_gap = 0.1;
  /** At the first start, groups are formed once no new runner has appeared for this long. */
  Milliseconds startup_settle_time{400};
  /** Weight loads that begin before this, ahead of the first request, are fast and not limited. */
  Deadline unlimited_loads_until;

  friend bool operator==(const PlannerOptions&, const PlannerOptions&) = default;
};

struct PlannerOutput {
  std::optional<GroupPlan> proposal;  ///< To be written if the stored plan still has this revision.
  std::vector<RunnerOrder> orders;    ///< Derived only from the plan that was passed in.
};

/**
 * Assembles runners into groups, and dissolves groups that lost a member or are about to lose one.
 * Performs no I/O. Runners are only ordered into groups that are in the written plan.
 *
 *     PlannerOutput output = planner.Step(runners, plan, config, demand, now);
 */
class GroupPlanner {
 public:
  explicit GroupPlanner(PlannerOptions settings) : options(settings) {}

  /** `demand` holds the current load of each model, as the number of groups it would fill. */
  PlannerOutput Step(const std::map<VmId, Runner>& runners, const GroupPlan& plan,
                     const GatewayConfig& config, const std::map<ModelName, double>& demand,
                     TimePoint now);

  /** Sets the zones whose runners get no orders and are not planned into groups. Their groups stay
   * planned and count as no capacity. */
  void SetEvacuatedZones(std::set<ZoneId> zones) { this->evacuated_zones = std::move(zones); }

  /** Clears state that is valid only while a single owner issues all orders. */
  void OnOwnershipGained();

  void OnProbeResult(const VmId& runner, RunnerProbeResult result, TimePoint now);

  /** Records that a runner completed an order, which allows a different order to it. */
  void OnOrderDone(const RunnerOrder& order);

 private:
  struct ProbeRecord {
    RunnerProbeResult result = RunnerProbeResult::kRunning;
    TimePoint since;
  };

  struct LastOrder {
    RunnerOrderKind kind = RunnerOrderKind::kProbe;
    GroupId group;
    bool answered = false;
    Deadline retry_at;
  };

  /** The last order by which a runner was to join or leave a group. */
  struct MembershipOrder {
    RunnerOrderKind kind = RunnerOrderKind::kLeave;
    GroupId group;
    Generation epoch = 0;
    std::int64_t started_ms = 0;   ///< Process start of the runner.
    StoreRevision entry_revision;  ///< Of the runner's entry when the order was sent.
    bool done = false;             ///< The runner has confirmed the order.

    /** Returns whether the order concerns this process of the runner and this group. */
    [[nodiscard]] bool Concerns(std::int64_t process_start, const PlannedGroup& target) const {
      return this->started_ms == process_start && this->group == target.group &&
             this->epoch == target.epoch;
    }
  };

  /** The last load of weights that was ordered for the host of a runner. */
  struct Staging {
    ModelName model;
    Deadline until;  ///< When the order is considered failed.
  };

  struct LoadBudget {
    double tokens = 0;
    TimePoint updated;
    std::vector<Deadline> running_until;  ///< Expected ends of the loads in progress.
  };

  /** A domain whose runners are reserved for a group of one model. */
  struct Reservation {
    ModelName model;
    Deadline until;
  };

  struct Step;
  friend struct Step;

  PlannerOptions options;
  std::set<ZoneId> evacuated_zones;
  std::map<VmId, TimePoint> missing_since;
  std::map<VmId, ProbeRecord> probe_results;
  std::map<VmId, LastOrder> last_orders;
  std::map<VmId, TimePoint> first_listed;
  std::map<VmId, ModelName> last_model;  ///< Model of the last group since the process start.
  /** Process start that `last_model` belongs to. */
  std::map<VmId, std::int64_t> last_model_started_ms;
  std::map<VmId, MembershipOrder> membership_orders;
  std::set<GroupId> unopened_groups;  ///< Planned by this owner; no open order was sent.
  /** When an unreachable head has certainly stopped serving. */
  std::map<GroupId, Deadline> unreachable_head_deadlines;
  LoadBudget load_budget;
  std::map<DomainId, Reservation> reservations;
  /** When unknown members of adopted groups are certainly no longer needed by their heads. */
  std::map<DomainId, Deadline> domain_holds;
  std::map<VmId, Staging> stagings;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_GROUP_PLANNER_H_
