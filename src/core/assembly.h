#ifndef LIMPETFALL_CORE_ASSEMBLY_H_
#define LIMPETFALL_CORE_ASSEMBLY_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/assembly-policy.h"
#include "core/document.h"
#include "core/placement.h"
#include "core/types.h"

namespace limpetfall {

struct AssemblyOptions {
  DomainId domain;
  /** A VM counts as absent when its last report is older. */
  Milliseconds report_age_limit{1250};
  Milliseconds summary_lifetime{8000};
  /** Time from sending a command to its deadline. */
  Milliseconds command_timeout{500};
  Milliseconds order_delay_bound{5000};
  Milliseconds resend_interval{1000};
  /** Time for a group's draining state to reach all nodes. */
  Milliseconds drain_propagation_time{1000};
  /** Longest wait for requests in flight to end. */
  Milliseconds drain_timeout{60000};
  /** Time for group counts of other domains to arrive. */
  Milliseconds count_propagation_time{2000};
  /** Domains exceed their quotas one after another, spread over this time. */
  Milliseconds stagger_window{16000};
  Milliseconds surplus_retention{60000};

  friend bool operator==(const AssemblyOptions&, const AssemblyOptions&) = default;
};

/** A report and when it was received. */
struct ReceivedReport {
  VmReport report;
  TimePoint received;

  friend bool operator==(const ReceivedReport&, const ReceivedReport&) = default;
};

struct AssemblyInput {
  std::vector<Vm> vms;  ///< VMs of this domain.
  std::vector<ReceivedReport> reports;
  DomainRecord record;  ///< The record as last read from or written to the store.
  std::shared_ptr<const Placement> placement;
  PolicySpec policy;
  /** By product, the number of groups in other domains that are not lost. */
  std::vector<int> groups_in_other_domains;
  /** By product, the number of groups in other domains that are neither lost nor draining. */
  std::vector<int> not_draining_in_other_domains;
  int slots_held = 0;  ///< Weight-store slots that this domain holds.
};

/** Assigns one engine to a group and rank. An empty group id releases the VM from its group. */
struct AssignmentCommand {
  VmId vm;
  std::string address;
  GroupRecord group;
  int rank = 0;

  friend bool operator==(const AssignmentCommand&, const AssignmentCommand&) = default;
};

struct SummaryUpdate {
  GroupSummary summary;
  Deadline serve_until;
  bool urgent = false;

  friend bool operator==(const SummaryUpdate&, const SummaryUpdate&) = default;
};

struct AssemblyOutput {
  /** The record to write, by compare-and-swap against the `revision` of the input record. */
  std::optional<DomainRecord> proposal;
  std::vector<AssignmentCommand> commands;  ///< Derived from the input record, not from `proposal`.
  std::vector<SummaryUpdate> summaries;
  int slots_needed = 0;  ///< Weight-store slots for running and planned loads.
};

namespace detail {

/** State of one VM that is kept between steps. */
struct VmTrack {
  TimePoint first_seen;
  std::string instance;
  std::optional<TimePoint> last_report;
  bool absent = false;
  std::vector<TimePoint> losses;
  std::optional<TimePoint> loading_since;
  GroupId commanded_group;
  Generation commanded_generation = 0;
  std::optional<TimePoint> commanded_at;
  Deadline conflicting_command_allowed_at;  ///< Until then, an earlier command may still arrive.
};

/** State of one group that is kept between steps. */
struct GroupTrack {
  Generation generation = 0;
  std::map<VmId, std::string> instances;  ///< Engine instances first seen at this generation.
  std::optional<GroupState> published;
  std::optional<TimePoint> drain_since;
};

struct VmView {
  const Vm* vm = nullptr;  ///< Null when the VM is not on the VM list.
  const VmReport* report = nullptr;
  TimePoint received;
  bool known = false;    ///< It is established whether the VM is present or absent.
  bool present = false;  ///< Its last report is recent and it is not leaving.
  bool leaving = false;
};

struct GroupView {
  GroupRecord record;
  int product = -1;
  std::vector<VmId> absent;
  std::vector<VmId> leaving;
  bool known = true;
  bool ready = false;      ///< Every member that is not leaving is ready at this generation.
  bool restarted = false;  ///< A member's engine was restarted since it joined.
  TimePoint oldest_report;
};

struct Plan {
  DomainRecord record;
  std::vector<VmId> free;
  std::set<GroupId> drains;
  int slots_needed = 0;
  bool changed = false;
};

}  // namespace detail

/**
 * Assembles the VMs of one fabric domain into groups. It does no I/O: `Step` takes the observed
 * state and the current time, and returns a record to write, commands for engines and summaries for
 * all nodes.
 *
 *     auto assembly = Assembly<CostPolicy>::Create(options, CostPolicy{});
 *     AssemblyOutput output = assembly.Step(input, now);
 */
template <AssemblyPolicy Policy>
class Assembly {
 public:
  static Assembly Create(AssemblyOptions options, Policy policy);

  AssemblyOutput Step(const AssemblyInput& input, TimePoint now);

 private:
  Assembly(AssemblyOptions options, Policy policy);

  void Observe(TimePoint now);
  void ObserveReport(const VmReport& report, TimePoint received, detail::VmTrack& track);
  void ObserveAbsence(TimePoint now);
  void BuildVmViews(TimePoint now);
  void BuildGroupViews();
  void AddMemberToView(const VmId& member, int rank, detail::GroupTrack& track,
                       detail::GroupView& view);
  [[nodiscard]] bool IsReady(const VmId& member, int rank, const GroupRecord& group) const;

  void MakePlan(TimePoint now);
  void RepairGroups(TimePoint now);
  void RepairGroup(const detail::GroupView& view, TimePoint now);
  void ApplyRepair(limpetfall::RepairAction choice, const detail::GroupView& view,
                   const std::vector<VmId>& missing,
                   const std::vector<const detail::GroupView*>& victims, TimePoint now);
  bool PreemptGroups(const std::vector<const detail::GroupView*>& victims, TimePoint now);
  bool DrainBeforeRemoval(const detail::GroupView& view, TimePoint now);
  void StartNewGeneration(const detail::GroupView& view);
  void RemoveUnwantedGroups(TimePoint now);
  void BuildMissingGroups(TimePoint now);
  bool BuildGroup(int product, TimePoint now);
  bool PreemptGroupsFor(int product, TimePoint now);
  bool MayExceedQuota(int product, TimePoint now);

  [[nodiscard]] RepairSituation MakeRepairSituation(const Product& product, int healthy,
                                                    const std::vector<VmId>& missing,
                                                    TimePoint now) const;
  [[nodiscard]] std::vector<const detail::GroupView*> FindVictims(const Product& product,
                                                                  const detail::GroupView* own,
                                                                  int needed) const;
  [[nodiscard]] bool IsVictim(const detail::GroupView& view, const Product& product,
                              const detail::GroupView* own,
                              const std::vector<const detail::GroupView*>& chosen) const;
  [[nodiscard]] std::optional<Victims> SummarizeVictims(
      const std::vector<const detail::GroupView*>& chosen) const;
  [[nodiscard]] bool IsUnwanted(const detail::GroupView& view, TimePoint now) const;
  [[nodiscard]] int Surplus(int product) const;
  [[nodiscard]] Milliseconds StaggerDelay(int product) const;
  [[nodiscard]] const Product& ProductAt(int product) const;
  [[nodiscard]] static int CountAt(const std::vector<int>& counts, int product);
  [[nodiscard]] std::vector<int> ProductOrder() const;
  [[nodiscard]] int LocalGroups(int product) const;
  [[nodiscard]] int TotalGroups(int product) const;
  /** Returns the number of complete groups in this domain and in all domains. */
  [[nodiscard]] std::pair<int, int> CompleteGroups(int product) const;
  [[nodiscard]] int LocalProtectedQuota(int product) const;
  [[nodiscard]] bool IsServing(const detail::GroupView& view) const;
  [[nodiscard]] bool IsInPlan(const GroupId& group) const;
  [[nodiscard]] double LossesPerSecond(TimePoint now) const;

  bool DrainFinished(const detail::GroupView& view, TimePoint now);
  void RemoveGroup(const detail::GroupView& view);
  std::vector<VmId> TakeFreeVms(int count, TimePoint now);
  bool ReserveSlot();
  Generation NextGeneration();

  void AddSummaries(AssemblyOutput& output, TimePoint now);
  [[nodiscard]] GroupState StateOf(const detail::GroupView& view) const;
  void AddSummary(const detail::GroupView& view, AssemblyOutput& output, TimePoint now);
  void AddRemovedGroups(AssemblyOutput& output, TimePoint now);
  void AddCommands(AssemblyOutput& output, TimePoint now);
  void AddCommand(const VmId& vm, const GroupRecord& group, int rank, AssemblyOutput& output,
                  TimePoint now);

  AssemblyOptions options;
  Policy policy;
  Estimates estimates;
  std::map<VmId, detail::VmTrack> vm_tracks;
  std::map<GroupId, detail::GroupTrack> group_tracks;
  std::map<int, TimePoint> shortfall_since;
  std::map<int, TimePoint> surplus_since;
  std::optional<TimePoint> first_step;
  std::optional<TimePoint> last_step;
  Generation highest_reported = 0;
  bool inherited_record = false;

  // Valid only during a step.
  const AssemblyInput* input = nullptr;
  std::map<VmId, detail::VmView> views;
  std::vector<detail::GroupView> groups;
  detail::Plan plan;
};

extern template class Assembly<CostPolicy>;
extern template class Assembly<AlwaysWaitPolicy>;
extern template class Assembly<RebuildInOrderPolicy>;

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_ASSEMBLY_H_
