#include "core/group-planner.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace limpetfall {
namespace {

// Burst size of the load rate limit. A new owner starts with no tokens, because the previous owner
// may have used up the rate of the current window.
constexpr double kLoadBurst = 2;

// Fraction of its capacity that a group is assumed to lose per member: the loss of one member stops
// the whole group until it serves again.
constexpr double kCapacityLossPerMember = 0.02;

// Lower bound of the capacity factor, for groups of very many members.
constexpr double kMinCapacityFactor = 0.4;

// Added to the group count, so that the shortage of a model without groups is finite.
constexpr double kShortageSmoothing = 0.5;

/** Returns whether a runner may be serving as a head. It must leave that group before it joins. */
bool IsServingHead(const Runner& runner) {
  if (!runner.membership || runner.membership->rank != 0) return false;
  const MembershipStage stage = runner.membership->stage;
  return stage == MembershipStage::kOpen || stage == MembershipStage::kClosing;
}

bool Contains(const std::vector<ModelName>& models, const ModelName& model) {
  return std::find(models.begin(), models.end(), model) != models.end();
}

}  // namespace

PlanVersion PlanVersion::Next(std::int64_t current_era) const {
  // More than the plans that are written in one era. The store may have lost plans of this era, and
  // their epochs must not be given to other groups.
  constexpr std::int64_t kEraStep = 1 << 20;
  const std::int64_t eras = std::max<std::int64_t>(0, current_era - this->era);
  return {current_era, this->sequence + eras * kEraStep + 1};
}

bool InGroup(const Runner& runner, const PlannedGroup& group) {
  return runner.membership && runner.membership->group == group.group &&
         runner.membership->epoch == group.epoch;
}

/** State of one call of `GroupPlanner::Step`. */
struct GroupPlanner::Step {
  GroupPlanner& planner;
  const std::map<VmId, Runner>& runners;
  const GatewayConfig& config;
  const std::map<ModelName, double>& demand;
  TimePoint now;
  std::size_t concurrent_loads;
  GroupPlan next;
  PlannerOutput output;
  bool changed = false;
  std::set<GroupId> evacuated_groups;

  [[nodiscard]] const Runner* Find(const VmId& id) const {
    const auto found = this->runners.find(id);
    return found == this->runners.end() ? nullptr : &found->second;
  }

  [[nodiscard]] bool IsUnreachable(const VmId& id) const {
    const auto record = this->planner.probe_results.find(id);
    if (record == this->planner.probe_results.end()) return false;
    if (record->second.result == RunnerProbeResult::kRunning) return false;
    return record->second.since + this->planner.options.unreachable_grace <= this->now;
  }

  /**
   * Returns whether a runner has certainly ended. A refused connection is no proof: a leaving
   * runner stops listening before it ends, and a network element may refuse connections to a runner
   * that still serves.
   */
  [[nodiscard]] bool IsReplaced(const VmId& id) const {
    const auto record = this->planner.probe_results.find(id);
    return record != this->planner.probe_results.end() &&
           record->second.result == RunnerProbeResult::kReplaced;
  }

  /** Returns whether the member restarted, is unreachable, or was unlisted past the grace time. */
  [[nodiscard]] bool IsLost(const PlannedGroup& group, std::size_t rank) const {
    const VmId& id = group.members[rank];
    const Runner* runner = this->Find(id);
    if (runner != nullptr) {
      return runner->started_ms != group.started_ms[rank] || this->IsUnreachable(id);
    }
    const auto missing = this->planner.missing_since.find(id);
    if (this->IsUnreachable(id)) return true;
    return missing == this->planner.missing_since.end() ||
           missing->second + this->planner.options.missing_entry_grace <= this->now;
  }

  /**
   * Returns whether a runner is known to have left a group. The last membership order goes before
   * an entry that was written earlier, and an entry that was written since goes before the order.
   */
  [[nodiscard]] bool HasLeft(const Runner& runner, const PlannedGroup& group) const {
    const auto order = this->planner.membership_orders.find(runner.id);
    if (order != this->planner.membership_orders.end() &&
        order->second.Concerns(runner.started_ms, group) &&
        runner.revision <= order->second.entry_revision) {
      if (order->second.kind == RunnerOrderKind::kJoin) return false;
      if (order->second.done) return true;
    }
    return runner.is_confirmed && !InGroup(runner, group);
  }

  /** Returns whether the head of a group is known to have left it. Its entry may be missing. */
  [[nodiscard]] bool HasHeadLeft(const PlannedGroup& group) const {
    const VmId& id = group.members.front();
    const auto order = this->planner.membership_orders.find(id);
    if (order == this->planner.membership_orders.end()) return false;
    const bool confirmed = order->second.kind == RunnerOrderKind::kLeave && order->second.done &&
                           order->second.Concerns(group.started_ms.front(), group);
    const Runner* head = this->Find(id);
    return confirmed && (head == nullptr || this->HasLeft(*head, group));
  }

  [[nodiscard]] bool IsEvacuated(const Runner& runner) const {
    return this->planner.evacuated_zones.contains(runner.zone);
  }

  [[nodiscard]] bool IsEvacuated(const PlannedGroup& group) const {
    return this->evacuated_groups.contains(group.group);
  }

  /** Groups are counted very often, so their members are looked up only once. New groups have no
   * evacuated members. */
  void FindEvacuatedGroups() {
    if (this->planner.evacuated_zones.empty()) return;
    for (const PlannedGroup& group : this->next.groups) {
      const bool evacuated =
          std::any_of(group.members.begin(), group.members.end(), [&](const VmId& member) {
            const Runner* runner = this->Find(member);
            return runner != nullptr && this->IsEvacuated(*runner);
          });
      if (evacuated) this->evacuated_groups.insert(group.group);
    }
  }

  [[nodiscard]] bool IsLeaving(const VmId& id) const {
    const Runner* runner = this->Find(id);
    return runner != nullptr && runner->leaving;
  }

  /** Returns the models of a service, or none if the service has no engine profile. */
  [[nodiscard]] const std::vector<ServedModel>& ModelsOf(const ServiceName& service) const {
    static const std::vector<ServedModel> none;
    const auto found = this->config.services.find(service);
    if (found == this->config.services.end() || !found->second.engine) return none;
    return found->second.engine->models;
  }

  [[nodiscard]] const ServedModel* ModelOf(const PlannedGroup& group) const {
    for (const ServedModel& model : this->ModelsOf(group.service)) {
      if (model.name == group.model) return &model;
    }
    return nullptr;
  }

  [[nodiscard]] bool MayOrder(RunnerOrderKind kind, const Runner& runner,
                              const PlannedGroup& group) const {
    const auto last = this->planner.last_orders.find(runner.id);
    if (last == this->planner.last_orders.end() || last->second.retry_at <= this->now) return true;
    const bool same = last->second.kind == kind && last->second.group == group.group;
    return last->second.answered && !same;
  }

  /** Emits an order unless one to this runner is pending or the same one was just answered. */
  void Order(RunnerOrderKind kind, const Runner& runner, const PlannedGroup& group) {
    if (!this->MayOrder(kind, runner, group)) return;
    this->planner.last_orders[runner.id] = {kind, group.group, false,
                                            this->now + this->planner.options.order_retry_interval};
    if (kind == RunnerOrderKind::kOpen) this->planner.unopened_groups.erase(group.group);
    if (kind == RunnerOrderKind::kJoin || kind == RunnerOrderKind::kLeave) {
      this->planner.membership_orders[runner.id] = {
          kind, group.group, group.epoch, runner.started_ms, runner.revision, false};
    }
    this->output.orders.push_back({kind, runner.id, runner.address, runner.started_ms, group});
  }

  [[nodiscard]] bool NeedsLoad(const Runner& runner, const ModelName& model) const {
    if (Contains(runner.staged, model)) return false;
    const auto last = this->planner.last_model.find(runner.id);
    return last == this->planner.last_model.end() || last->second != model ||
           this->planner.last_model_started_ms.at(runner.id) != runner.started_ms;
  }

  /** Consumes a load token if one is left. Too many concurrent loads slow each other down. */
  [[nodiscard]] bool TryStartLoad(const ServedModel& model) {
    if (this->now < this->planner.options.unlimited_loads_until) return true;
    LoadBudget& budget = this->planner.load_budget;
    std::erase_if(budget.running_until, [&](Deadline end) { return end <= this->now; });
    if (budget.tokens < 1 || budget.running_until.size() >= this->concurrent_loads) return false;
    budget.tokens -= 1;
    budget.running_until.push_back(this->now + model.load_time);
    return true;
  }

  /** Issues the join and open orders of a group, or marks it as dissolving if it cannot serve. */
  void Advance(PlannedGroup& group) {
    if (this->IsEvacuated(group)) return;
    bool lost = this->ModelOf(group) == nullptr;
    bool broken = false;
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
      const Runner* runner = this->Find(group.members[rank]);
      lost = lost || this->IsLost(group, rank) || this->IsLeaving(group.members[rank]);
      if (runner == nullptr || !runner->membership) continue;
      broken = broken ||
               (InGroup(*runner, group) && runner->membership->stage == MembershipStage::kBroken);
      // The runner joined a group of a later epoch, which only the owner of a later plan can order.
      lost = lost || runner->membership->epoch > group.epoch;
    }
    if (lost || broken) {
      group.dissolving = true;
      this->changed = true;
      // The head may be ordered to stop before the plan is written.
      const Runner* head = this->Find(group.members.front());
      if (head == nullptr || this->IsUnreachable(head->id)) {
        this->DissolveUnreachable(group, group.members.front());
      } else if (InGroup(*head, group)) {
        this->DissolveReachable(group, *head);
      }
      return;
    }
    bool all_ready = true;
    for (const VmId& member : group.members) {
      const Runner* runner = this->Find(member);
      if (runner == nullptr) {
        all_ready = false;
        continue;
      }
      if (!InGroup(*runner, group)) {
        all_ready = false;
        this->OrderJoin(*runner, group);
      } else if (runner->membership->stage == MembershipStage::kJoining) {
        all_ready = false;
      }
    }
    if (!all_ready) return;
    const Runner& head = *this->Find(group.members.front());
    if (head.membership->stage == MembershipStage::kReady) {
      this->Order(RunnerOrderKind::kOpen, head, group);
    }
  }

  void OrderJoin(const Runner& runner, const PlannedGroup& group) {
    if (!this->MayOrder(RunnerOrderKind::kJoin, runner, group)) return;
    if (this->NeedsLoad(runner, group.model) && !this->TryStartLoad(*this->ModelOf(group))) return;
    this->Order(RunnerOrderKind::kJoin, runner, group);
  }

  /** Dissolves a group; returns true once its members may join other groups. */
  bool Dissolve(const PlannedGroup& group) {
    if (this->IsEvacuated(group)) return false;
    const VmId& head_id = group.members.front();
    const Runner* head = this->Find(head_id);
    const bool head_restarted = head != nullptr && head->started_ms != group.started_ms.front();
    if (head_restarted) return true;
    const bool is_outside = head != nullptr && head->is_confirmed && !InGroup(*head, group);
    if (is_outside && !this->IsUnreachable(head_id)) {
      // A delayed join order for this group may still arrive; a member of a later epoch ignores it.
      return true;
    }
    if (this->HasHeadLeft(group)) return true;
    if (this->planner.unopened_groups.contains(group.group)) return true;
    if (head == nullptr || this->IsUnreachable(head_id))
      return this->DissolveUnreachable(group, head_id);
    // A head that is not confirmed may be in the group although its entry does not say so.
    if (InGroup(*head, group)) this->DissolveReachable(group, *head);
    return false;
  }

  /** Closes a complete group gracefully, and stops one that lost a member immediately. */
  void DissolveReachable(const PlannedGroup& group, const Runner& head) {
    bool lost = false;
    for (std::size_t rank = 1; rank < group.members.size(); ++rank) {
      lost = lost || this->IsLost(group, rank);
    }
    const MembershipStage stage = head.membership->stage;
    if (!lost && stage == MembershipStage::kOpen) {
      this->Order(RunnerOrderKind::kClose, head, group);
    } else if (lost || stage != MembershipStage::kClosing) {
      this->Order(RunnerOrderKind::kLeave, head, group);
    }
  }

  /** Returns whether all members have been unlisted for so long that none will return. */
  [[nodiscard]] bool HaveAllEntriesExpired(const PlannedGroup& group) const {
    return std::all_of(group.members.begin(), group.members.end(), [&](const VmId& member) {
      const auto missing = this->planner.missing_since.find(member);
      return missing != this->planner.missing_since.end() &&
             missing->second + this->planner.options.missing_entry_expiry <= this->now;
    });
  }

  /**
   * Dissolves a group whose head this node cannot reach. The head may still serve other nodes. It
   * has certainly stopped once another member has left and the stall timeout has passed.
   */
  bool DissolveUnreachable(const PlannedGroup& group, const VmId& head_id) {
    if (this->IsReplaced(head_id)) return true;
    if (const Runner* head = this->Find(head_id); head != nullptr) {
      this->Order(RunnerOrderKind::kProbe, *head, group);
    }
    bool all_left = group.members.size() > 1;
    bool any_reachable = false;
    for (std::size_t rank = 1; rank < group.members.size(); ++rank) {
      const Runner* member = this->Find(group.members[rank]);
      if (member == nullptr || this->IsLost(group, rank)) continue;
      any_reachable = true;
      if (!this->HasLeft(*member, group)) {
        all_left = false;
        this->Order(RunnerOrderKind::kLeave, *member, group);
      }
    }
    // Members whose entries expired may return and still belong to a head that serves.
    if (!any_reachable) return this->HaveAllEntriesExpired(group);
    if (!all_left) {
      this->planner.unreachable_head_deadlines.erase(group.group);
      return false;
    }
    const auto [entry, added] = this->planner.unreachable_head_deadlines.try_emplace(
        group.group, this->now + this->planner.options.stall_timeout);
    return entry->second <= this->now;
  }

  /** Returns the groups in which runners are, as they say, that are not in the plan. Members that
   * no runner claims to be have an empty id. */
  [[nodiscard]] std::vector<PlannedGroup> FindUnplannedGroups() const {
    std::set<GroupId> planned;
    for (const PlannedGroup& group : this->next.groups) planned.insert(group.group);
    std::map<std::pair<GroupId, Generation>, PlannedGroup> found;
    for (const auto& [id, runner] : this->runners) {
      const auto& membership = runner.membership;
      constexpr int kMaxRank = 1000;
      if (!membership || planned.contains(membership->group)) continue;
      if (membership->rank < 0 || kMaxRank < membership->rank) continue;
      PlannedGroup& group = found[{membership->group, membership->epoch}];
      group.group = membership->group;
      group.epoch = membership->epoch;
      group.service = runner.service;
      group.domain = runner.domain;
      const bool is_head = membership->rank == 0 || group.model == ModelName();
      if (is_head && !runner.loaded.empty()) group.model = runner.loaded.front();
      const auto rank = static_cast<std::size_t>(membership->rank);
      const std::size_t size = std::max(group.members.size(), rank + 1);
      group.members.resize(size);
      group.started_ms.resize(size);
      group.members[rank] = id;
      group.started_ms[rank] = runner.started_ms;
    }
    std::vector<PlannedGroup> groups;
    groups.reserve(found.size());
    for (auto& [key, group] : found) groups.push_back(std::move(group));
    return groups;
  }

  /** Returns whether all members of a group are known. */
  [[nodiscard]] bool IsComplete(const PlannedGroup& group) const {
    const ServedModel* model = this->ModelOf(group);
    return model != nullptr &&
           group.members.size() == static_cast<std::size_t>(model->group_size) &&
           std::find(group.members.begin(), group.members.end(), VmId()) == group.members.end();
  }

  /**
   * Takes the groups into the plan that were formed by plans which a restored store has lost.
   * Complete groups go on. The others are dissolved: a head that is not known may still serve with
   * the members that are. Planned groups whose members have moved there since are dropped.
   */
  void AdoptUnplannedGroups() {
    for (PlannedGroup& group : this->FindUnplannedGroups()) {
      const Runner* head = this->Find(group.members.front());
      const bool may_serve = head == nullptr || !head->is_confirmed || IsServingHead(*head);
      group.dissolving = !this->IsComplete(group);
      // Members that have left already may be any runners of the domain.
      if (group.dissolving && may_serve) {
        this->planner.domain_holds[group.domain] = this->now + this->planner.options.stall_timeout;
      }
      std::erase_if(this->next.groups, [&](const PlannedGroup& former) {
        const bool shares_members =
            std::find_first_of(former.members.begin(), former.members.end(), group.members.begin(),
                               group.members.end()) != former.members.end();
        const Runner* former_head = this->Find(former.members.front());
        return shares_members && former.epoch < group.epoch && former_head != nullptr &&
               former_head->is_confirmed && !InGroup(*former_head, former);
      });
      this->next.groups.push_back(std::move(group));
      this->changed = true;
    }
  }

  /**
   * Orders heads that serve a group missing from the plan to leave it. A head that was partitioned
   * while its group was dissolved has not received that order.
   */
  void StopUnplannedHeads() {
    std::set<GroupId> planned;
    for (const PlannedGroup& group : this->next.groups) planned.insert(group.group);
    for (const auto& [id, runner] : this->runners) {
      if (!IsServingHead(runner) || planned.contains(runner.membership->group)) continue;
      if (this->IsEvacuated(runner)) continue;
      PlannedGroup unplanned;
      unplanned.group = runner.membership->group;
      unplanned.epoch = runner.membership->epoch;
      this->Order(RunnerOrderKind::kLeave, runner, unplanned);
    }
  }

  /** Returns the groups whose head serves according to its entry, and has not left since. */
  [[nodiscard]] std::set<GroupId> ServedGroups() const {
    std::set<GroupId> served;
    for (const auto& [id, runner] : this->runners) {
      if (!IsServingHead(runner)) continue;
      PlannedGroup group;
      group.group = runner.membership->group;
      group.epoch = runner.membership->epoch;
      if (!this->HasLeft(runner, group)) served.insert(group.group);
    }
    return served;
  }

  /** Returns the runners that are in no planned group and may join one, by domain. */
  [[nodiscard]] std::map<DomainId, std::vector<const Runner*>> FreeRunners() const {
    const std::set<GroupId> served = this->ServedGroups();
    std::set<VmId> assigned;
    for (const PlannedGroup& group : this->next.groups) {
      assigned.insert(group.members.begin(), group.members.end());
    }
    std::map<DomainId, std::vector<const Runner*>> free;
    for (const auto& [id, runner] : this->runners) {
      if (this->ModelsOf(runner.service).empty() || this->IsEvacuated(runner)) continue;
      if (assigned.contains(id) || runner.leaving || this->IsUnreachable(id)) continue;
      const auto hold = this->planner.domain_holds.find(runner.domain);
      const bool is_held = hold != this->planner.domain_holds.end() && this->now < hold->second;
      if (!runner.is_confirmed || is_held) continue;
      // A delayed order may have opened a group again that is no longer planned.
      if (runner.membership && served.contains(runner.membership->group)) continue;
      if (IsServingHead(runner)) continue;
      free[runner.domain].push_back(&runner);
    }
    return free;
  }

  using FreeByDomain = std::map<DomainId, std::vector<const Runner*>>;

  /** A group that could be formed. */
  struct Candidate {
    const ServedModel* model = nullptr;
    ServiceName service;
    DomainId domain;
    std::vector<const Runner*> members;
    /** Indexes of the planned groups to dissolve for it. */
    std::vector<std::size_t> dissolved_groups;
    double score = 0;
  };

  /** Returns how short of capacity a model is with `groups` groups; higher means shorter. */
  [[nodiscard]] double Shortage(const ModelName& model, int groups) const {
    const auto model_demand = this->demand.find(model);
    const double load = model_demand == this->demand.end() ? 0 : model_demand->second;
    return load / (groups + kShortageSmoothing);
  }

  /** Returns the utilization of a model with `groups` groups; above 1, requests are refused. */
  [[nodiscard]] double Utilization(const ModelName& model, int groups) const {
    const auto model_demand = this->demand.find(model);
    if (model_demand == this->demand.end() || model_demand->second <= 0) return 0;
    return groups <= 0 ? std::numeric_limits<double>::max() : model_demand->second / groups;
  }

  /** Returns the utilization relative to the expected capacity: a group with more members is down
   * more often. */
  [[nodiscard]] double EffectiveUtilization(const ServedModel& model, int groups) const {
    const double capacity_factor =
        std::max(kMinCapacityFactor, 1 - kCapacityLossPerMember * model.group_size);
    return this->Utilization(model.name, groups) / capacity_factor;
  }

  /** Returns the number of groups of a model, including those for which a domain is reserved. */
  [[nodiscard]] int CountGroups(const ModelName& model) const {
    const auto planned = std::count_if(
        this->next.groups.begin(), this->next.groups.end(), [&](const PlannedGroup& group) {
          return !group.dissolving && group.model == model && !this->IsEvacuated(group);
        });
    const auto reserved =
        std::count_if(this->planner.reservations.begin(), this->planner.reservations.end(),
                      [&](const auto& entry) { return entry.second.model == model; });
    return static_cast<int>(planned + reserved);
  }

  [[nodiscard]] bool IsReservedForOtherModel(const DomainId& domain, const ModelName& model) const {
    const auto found = this->planner.reservations.find(domain);
    return found != this->planner.reservations.end() && this->now < found->second.until &&
           found->second.model != model;
  }

  /** Returns the free runners that can join without a load, or all while loads are unlimited. */
  [[nodiscard]] std::vector<const Runner*> JoinableRunners(const std::vector<const Runner*>& free,
                                                           const ServedModel& model) const {
    if (this->now < this->planner.options.unlimited_loads_until) return free;
    std::vector<const Runner*> joinable;
    std::copy_if(free.begin(), free.end(), std::back_inserter(joinable),
                 [&](const Runner* runner) { return !this->NeedsLoad(*runner, model.name); });
    return joinable;
  }

  /** Rates a candidate: prefers models short of capacity, domains with many free runners, and zones
   * with few groups of the model. */
  [[nodiscard]] double Score(const ServedModel& model, const Runner& runner,
                             std::size_t free_runners) const {
    const auto in_zone = std::count_if(this->next.groups.begin(), this->next.groups.end(),
                                       [&](const PlannedGroup& group) {
                                         const Runner* head = this->Find(group.members.front());
                                         return !group.dissolving && group.model == model.name &&
                                                head != nullptr && head->zone == runner.zone;
                                       });
    constexpr double kTieBreakWeight = 0.01;
    const double zone_factor = 1 - kTieBreakWeight * static_cast<double>(in_zone);
    const double free_runner_factor = 1 + kTieBreakWeight * static_cast<double>(free_runners) / 10;
    return this->Shortage(model.name, this->CountGroups(model.name)) * zone_factor *
           free_runner_factor;
  }

  /** Counts the members of dissolving groups in a domain that could join `model` without a load.
   * Groups with an unreachable head are excluded: they stay until the stall timeout has passed. */
  [[nodiscard]] std::size_t CountSoonFreeMembers(const DomainId& domain,
                                                 const ServedModel& model) const {
    std::size_t count = 0;
    for (const PlannedGroup& group : this->next.groups) {
      if (!group.dissolving || group.domain != domain) continue;
      const VmId& head = group.members.front();
      if (this->Find(head) == nullptr || this->IsUnreachable(head)) continue;
      count += static_cast<std::size_t>(this->CountConvertibleMembers(group, model));
    }
    return count;
  }

  /** Returns whether utilization `from` exceeds `to` by enough to move runners to model `from`. */
  [[nodiscard]] bool JustifiesShift(double from, double to) const {
    return from >= this->planner.options.completion_min_utilization &&
           from >= to + this->planner.options.shift_min_utilization_gap;
  }

  /**
   * Returns whether free runners are held back for a larger group. The remaining members of a large
   * group that lost one would otherwise join small groups, until no large group can be formed.
   */
  [[nodiscard]] bool IsHeldForLargerGroup(const DomainId& domain, const ServedModel& model,
                                          const std::vector<const Runner*>& free) const {
    if (this->now < this->planner.options.unlimited_loads_until) return false;
    const double utilization = this->EffectiveUtilization(model, this->CountGroups(model.name));
    const auto& models = this->ModelsOf(free.front()->service);
    return std::any_of(models.begin(), models.end(), [&](const ServedModel& larger) {
      if (larger.group_size <= model.group_size) return false;
      const double larger_utilization =
          this->EffectiveUtilization(larger, this->CountGroups(larger.name));
      if (!this->JustifiesShift(larger_utilization, utilization)) return false;
      auto reachable =
          this->JoinableRunners(free, larger).size() + this->CountSoonFreeMembers(domain, larger);
      for (const PlannedGroup& group : this->next.groups) {
        if (group.dissolving || group.domain != domain || group.model == larger.name) continue;
        reachable += static_cast<std::size_t>(this->CountConvertibleMembers(group, larger));
      }
      return reachable >= static_cast<std::size_t>(larger.group_size);
    });
  }

  [[nodiscard]] std::optional<Candidate> BestCandidate(const FreeByDomain& free) const {
    std::optional<Candidate> best;
    for (const auto& [domain, free_runners] : free) {
      const ServiceName& service = free_runners.front()->service;
      for (const ServedModel& model : this->ModelsOf(service)) {
        if (this->IsReservedForOtherModel(domain, model.name)) continue;
        if (this->IsHeldForLargerGroup(domain, model, free_runners)) continue;
        auto members = this->JoinableRunners(free_runners, model);
        if (members.size() < static_cast<std::size_t>(model.group_size)) continue;
        const double score = this->Score(model, *members.front(), free_runners.size());
        members.resize(static_cast<std::size_t>(model.group_size));
        Candidate candidate{&model, service, domain, std::move(members), {}, score};
        const bool better = !best || this->PrefersLarger(candidate, *best) ||
                            (score > best->score && !this->PrefersLarger(*best, candidate));
        if (better) best = std::move(candidate);
      }
    }
    return best;
  }

  /** Counts the members of a group that could join a group of `model` without a load. */
  [[nodiscard]] int CountConvertibleMembers(const PlannedGroup& group,
                                            const ServedModel& model) const {
    return static_cast<int>(
        std::count_if(group.members.begin(), group.members.end(), [&](const VmId& member) {
          const Runner* runner = this->Find(member);
          return runner != nullptr && !runner->leaving && !this->IsUnreachable(member) &&
                 !this->NeedsLoad(*runner, model.name);
        }));
  }

  /** Returns whether `donor` serves its callers with `remaining` groups, so that `model` may take
   * over one. If `model` would refuse callers after the next loss, no reserve for lost members is
   * kept. */
  [[nodiscard]] bool MayGiveUpGroup(const ServedModel& donor, int remaining,
                                    const ServedModel& model) const {
    const PlannerOptions& limits = this->planner.options;
    if (this->EffectiveUtilization(donor, remaining) <= limits.shift_max_donor_utilization)
      return true;
    return this->EffectiveUtilization(model, this->CountGroups(model.name)) > 1 &&
           this->Utilization(donor.name, remaining) <= limits.relief_max_donor_utilization;
  }

  /** Finds groups of models with spare capacity to dissolve for a group of `model`. */
  [[nodiscard]] std::optional<Candidate> FindShift(const DomainId& domain,
                                                   const ServiceName& service,
                                                   const ServedModel& model,
                                                   const FreeByDomain& free) const {
    Candidate candidate{&model, service, domain, {}, {}, 0};
    std::size_t ready = this->CountSoonFreeMembers(domain, model);
    if (const auto free_in_domain = free.find(domain); free_in_domain != free.end()) {
      ready += this->JoinableRunners(free_in_domain->second, model).size();
    }
    std::map<ModelName, int> remaining_groups;
    candidate.score = this->Shortage(model.name, this->CountGroups(model.name));
    const double utilization = this->EffectiveUtilization(model, this->CountGroups(model.name));
    std::size_t dissolved_members = 0;
    for (std::size_t i = 0; i < this->next.groups.size(); ++i) {
      if (ready >= static_cast<std::size_t>(model.group_size)) break;
      const PlannedGroup& group = this->next.groups[i];
      if (group.dissolving || group.domain != domain || group.model == model.name) continue;
      const int gained = this->CountConvertibleMembers(group, model);
      const ServedModel* other = this->ModelOf(group);
      if (gained == 0 || other == nullptr) continue;
      const auto [count, added] =
          remaining_groups.try_emplace(group.model, this->CountGroups(group.model));
      const int remaining = --count->second;
      if (!this->MayGiveUpGroup(*other, remaining, model) ||
          !this->JustifiesShift(utilization, this->EffectiveUtilization(*other, remaining))) {
        return std::nullopt;
      }
      candidate.dissolved_groups.push_back(i);
      ready += static_cast<std::size_t>(gained);
      dissolved_members += group.members.size();
    }
    if (ready < static_cast<std::size_t>(model.group_size)) return std::nullopt;
    // A group that mostly consists of idle runners costs other models little capacity.
    const bool completes = 2 * dissolved_members <= static_cast<std::size_t>(model.group_size);
    if (!completes && utilization < this->planner.options.shift_min_utilization)
      return std::nullopt;
    return candidate;
  }

  [[nodiscard]] std::optional<Candidate> BestShift(const FreeByDomain& free) const {
    std::optional<Candidate> best;
    std::map<DomainId, ServiceName> domains;
    for (const PlannedGroup& group : this->next.groups) {
      if (!this->IsEvacuated(group)) domains.emplace(group.domain, group.service);
    }
    for (const auto& [domain, service] : domains) {
      for (const ServedModel& model : this->ModelsOf(service)) {
        if (this->planner.reservations.contains(domain)) continue;
        auto candidate = this->FindShift(domain, service, model, free);
        if (!candidate || candidate->dissolved_groups.empty()) continue;
        const bool better = !best || candidate->score > best->score ||
                            (candidate->score == best->score &&
                             candidate->dissolved_groups.size() < best->dissolved_groups.size());
        if (better) best = std::move(candidate);
      }
    }
    return best;
  }

  void AddGroup(const Candidate& candidate, Generation epoch, int number) {
    PlannedGroup group;
    group.group = GroupId("g" + std::to_string(epoch) + "-" + std::to_string(number));
    group.epoch = epoch;
    group.service = candidate.service;
    group.model = candidate.model->name;
    group.domain = candidate.domain;
    std::vector<const Runner*> members = candidate.members;
    // Only the head gets requests, and a cold one takes few of them.
    std::stable_partition(members.begin(), members.end(), [&](const Runner* runner) {
      return runner->cold_until.value_or(Deadline()) <= this->now;
    });
    for (const Runner* runner : members) {
      group.members.push_back(runner->id);
      group.started_ms.push_back(runner->started_ms);
    }
    this->planner.unopened_groups.insert(group.group);
    this->next.groups.push_back(std::move(group));
    this->planner.reservations.erase(candidate.domain);
    this->changed = true;
  }

  /** Stages weights on the hosts of free runners that can join no group, of members of groups for
   * models that are short of capacity, and on all hosts while loads are unlimited. */
  void StageWeights(const FreeByDomain& free) {
    for (const auto& [domain, free_runners] : free) {
      this->StageSpares(domain, this->StageMissingMembers(domain, free_runners));
    }
    const bool unlimited = this->now < this->planner.options.unlimited_loads_until;
    for (const PlannedGroup& group : this->next.groups) {
      if (group.dissolving || this->IsEvacuated(group)) continue;
      for (const ServedModel& model : this->ModelsOf(group.service)) {
        if (model.name == group.model) continue;
        if (unlimited || this->NeedsStagedMembers(model, group)) this->StageMembers(group, model);
      }
    }
  }

  [[nodiscard]] bool IsBeingStaged(const Runner& runner, const ModelName& model) const {
    const auto staging = this->planner.stagings.find(runner.id);
    return staging != this->planner.stagings.end() && staging->second.model == model &&
           this->now < staging->second.until && !Contains(runner.staged, model);
  }

  /** Returns the order in which free runners are chosen for a group of a model: those that need no
   * load, those whose load is in progress, those without weights, and all others. */
  [[nodiscard]] int MemberRank(const Runner& runner, const ModelName& model) const {
    if (!this->NeedsLoad(runner, model)) return 0;
    if (this->IsBeingStaged(runner, model)) return 1;
    return runner.staged.empty() ? 2 : 3;
  }

  /** Returns the model that needs the fewest loads for one more group of the runners, of those that
   * need more groups. `groups` counts the groups that are about to be formed. */
  [[nodiscard]] const ServedModel* EasiestModel(const std::vector<const Runner*>& free,
                                                const std::map<ModelName, int>& groups) const {
    const ServedModel* easiest = nullptr;
    std::pair<std::ptrdiff_t, double> least;
    for (const ServedModel& model : this->ModelsOf(free.front()->service)) {
      if (free.size() < static_cast<std::size_t>(model.group_size)) continue;
      const auto more = groups.find(model.name);
      const double utilization = this->EffectiveUtilization(
          model, this->CountGroups(model.name) + (more == groups.end() ? 0 : more->second));
      if (utilization < this->planner.options.completion_min_utilization) continue;
      const auto ready = std::count_if(free.begin(), free.end(), [&](const Runner* runner) {
        return this->MemberRank(*runner, model.name) <= 1;
      });
      const std::pair<std::ptrdiff_t, double> cost(
          std::max<std::ptrdiff_t>(0, model.group_size - ready), -utilization);
      if (easiest != nullptr && least <= cost) continue;
      least = cost;
      easiest = &model;
    }
    return easiest;
  }

  /** Returns whether runners of a domain become free soon, so that groups may need no loads. */
  [[nodiscard]] bool AwaitsMembers(const DomainId& domain) const {
    return this->planner.reservations.contains(domain) ||
           std::any_of(this->next.groups.begin(), this->next.groups.end(),
                       [&](const PlannedGroup& group) {
                         return group.dissolving && group.domain == domain &&
                                this->Find(group.members.front()) != nullptr &&
                                !this->IsUnreachable(group.members.front());
                       });
  }

  /**
   * Orders the loads by which the free runners of a domain can form groups, and returns the runners
   * that are not needed for them.
   *
   * Answers the load of a fleet that loses single members of large groups. The other members of
   * each group would otherwise stay idle, since none of the runners left over in their domain have
   * the same weights.
   */
  [[nodiscard]] std::vector<const Runner*> StageMissingMembers(const DomainId& domain,
                                                               std::vector<const Runner*> free) {
    if (this->AwaitsMembers(domain)) return {};
    std::map<ModelName, int> groups;
    while (!free.empty()) {
      const ServedModel* model = this->EasiestModel(free, groups);
      if (model == nullptr) break;
      std::stable_sort(free.begin(), free.end(), [&](const Runner* a, const Runner* b) {
        return this->MemberRank(*a, model->name) < this->MemberRank(*b, model->name);
      });
      const auto members_end = free.begin() + model->group_size;
      for (auto member = free.begin(); member != members_end; ++member) {
        if (1 < this->MemberRank(**member, model->name)) this->OrderStage(**member, *model);
      }
      free.erase(free.begin(), members_end);
      ++groups[model->name];
    }
    return free;
  }

  /** Stages weights for the runners that are left over in a domain. They replace lost members of
   * groups there, so the models are chosen by the number of members that a loss leaves idle. */
  void StageSpares(const DomainId& domain, const std::vector<const Runner*>& spares) {
    if (spares.empty()) return;
    const auto& models = this->ModelsOf(spares.front()->service);
    std::map<ModelName, double> idle_after_loss;
    for (const PlannedGroup& group : this->next.groups) {
      if (group.dissolving || group.domain != domain) continue;
      idle_after_loss[group.model] += static_cast<double>(group.members.size()) - 1;
    }
    std::map<ModelName, int> replacements;
    for (const ServedModel& model : models) {
      replacements[model.name] =
          static_cast<int>(std::count_if(spares.begin(), spares.end(), [&](const Runner* runner) {
            return Contains(runner->staged, model.name) || this->IsBeingStaged(*runner, model.name);
          }));
    }
    const auto benefit = [&](const ServedModel& model) {
      return std::pair(idle_after_loss[model.name] / (replacements[model.name] + 1),
                       this->Shortage(model.name, this->CountGroups(model.name)));
    };
    for (const Runner* runner : spares) {
      const auto staging = this->planner.stagings.find(runner->id);
      const bool staged = !runner->staged.empty() || (staging != this->planner.stagings.end() &&
                                                      this->now < staging->second.until);
      if (staged) continue;
      const auto model = std::max_element(
          models.begin(), models.end(),
          [&](const ServedModel& a, const ServedModel& b) { return benefit(a) < benefit(b); });
      this->OrderStage(*runner, *model);
      ++replacements[model->name];
    }
  }

  /**
   * Returns whether a model is short of capacity compared with the model of a group. A runner that
   * joins a group of another model gives up its staged weights, so without staging them again the
   * groups of a model could only become fewer.
   */
  [[nodiscard]] bool NeedsStagedMembers(const ServedModel& model, const PlannedGroup& group) const {
    const ServedModel* own = this->ModelOf(group);
    return own != nullptr &&
           this->JustifiesShift(this->EffectiveUtilization(model, this->CountGroups(model.name)),
                                this->EffectiveUtilization(*own, this->CountGroups(own->name)));
  }

  /** Stages another model for group members; the model of their own group stays loaded. */
  void StageMembers(const PlannedGroup& group, const ServedModel& model) {
    for (const VmId& member : group.members) {
      const Runner* runner = this->Find(member);
      if (runner == nullptr || !InGroup(*runner, group)) continue;
      if (runner->membership->stage == MembershipStage::kJoining) continue;
      // The head must process its open order first.
      const bool head = member == group.members.front();
      if (head && runner->membership->stage != MembershipStage::kOpen) continue;
      if (this->NeedsLoad(*runner, model.name)) this->OrderStage(*runner, model);
    }
  }

  void OrderStage(const Runner& runner, const ServedModel& model) {
    PlannedGroup target;
    target.group = GroupId("stage-" + model.name.value);
    target.model = model.name;
    if (!this->MayOrder(RunnerOrderKind::kStage, runner, target)) return;
    const auto staging = this->planner.stagings.find(runner.id);
    if (staging != this->planner.stagings.end() &&
        this->IsBeingStaged(runner, staging->second.model))
      return;
    if (!this->TryStartLoad(model)) return;
    this->planner.stagings[runner.id] = {model.name, this->now + 2 * model.load_time};
    this->Order(RunnerOrderKind::kStage, runner, target);
  }

  /** Returns whether the initial runners are listed. They appear one by one at the first start, and
   * groups are chosen among all of them. */
  [[nodiscard]] bool HasStartupSettled() const {
    if (this->planner.options.unlimited_loads_until <= this->now) return true;
    return std::none_of(this->planner.first_listed.begin(), this->planner.first_listed.end(),
                        [&](const auto& entry) {
                          return this->now <
                                 entry.second + this->planner.options.startup_settle_time;
                        });
  }

  /** Before traffic starts, prefers large groups: they are hard to place among small ones. */
  [[nodiscard]] bool PrefersLarger(const Candidate& candidate, const Candidate& other) const {
    if (this->planner.options.unlimited_loads_until <= this->now) return false;
    if (candidate.model->group_size <= other.model->group_size) return false;
    return this->Utilization(candidate.model->name, this->CountGroups(candidate.model->name)) >= 1;
  }

  void FormGroups() {
    if (!this->HasStartupSettled()) return;
    std::erase_if(this->planner.reservations,
                  [&](const auto& entry) { return entry.second.until <= this->now; });
    // What is reserved in an evacuated zone is no capacity.
    if (!this->planner.evacuated_zones.empty()) {
      for (const auto& [id, runner] : this->runners) {
        if (this->IsEvacuated(runner)) this->planner.reservations.erase(runner.domain);
      }
    }
    // The sequence only increases, so no two plans share an epoch.
    const auto epoch = static_cast<Generation>(this->next.version.sequence);
    for (int number = 1;; ++number) {
      const FreeByDomain free = this->FreeRunners();
      const auto candidate = this->BestCandidate(free);
      const auto shift = this->BestShift(free);
      if (shift && (!candidate || shift->score > candidate->score)) {
        for (const std::size_t index : shift->dissolved_groups) {
          this->next.groups[index].dissolving = true;
        }
        this->planner.reservations[shift->domain] = {
            shift->model->name, this->now + this->planner.options.reservation_time};
        this->changed = true;
        continue;
      }
      if (!candidate) {
        this->StageWeights(free);
        return;
      }
      this->AddGroup(*candidate, epoch, number);
    }
  }
};

PlannerOutput GroupPlanner::Step(const std::map<VmId, Runner>& runners, const GroupPlan& plan,
                                 const GatewayConfig& config,
                                 const std::map<ModelName, double>& demand, TimePoint now) {
  double loads_per_second = 0;
  std::size_t concurrent_loads = 0;
  for (const auto& [name, service] : config.services) {
    if (!service.engine) continue;
    loads_per_second += service.engine->loads_per_second;
    concurrent_loads += service.engine->concurrent_loads;
  }
  if (this->load_budget.updated != TimePoint()) {
    const std::chrono::duration<double> passed = now - this->load_budget.updated;
    this->load_budget.tokens =
        std::min(kLoadBurst, this->load_budget.tokens + passed.count() * loads_per_second);
  }
  this->load_budget.updated = now;

  for (const auto& [id, runner] : runners) this->first_listed.try_emplace(id, now);
  const bool is_new_era = plan.version.era < plan.revision.era;
  struct Step step {
    *this, runners, config, demand, now, concurrent_loads, plan, {}, false, {}
  };
  step.FindEvacuatedGroups();
  step.next.version = plan.version.Next(plan.revision.era);
  step.next.is_stored = true;
  for (const PlannedGroup& group : plan.groups) {
    for (const VmId& member : group.members) {
      const Runner* runner = step.Find(member);
      if (runner == nullptr) {
        this->missing_since.try_emplace(member, now);
        continue;
      }
      this->missing_since.erase(member);
      if (InGroup(*runner, group)) {
        this->last_model[member] = group.model;
        this->last_model_started_ms[member] = runner->started_ms;
      }
    }
  }
  // Only a plan that the store holds may be ordered.
  if (is_new_era || !plan.is_stored) {
    if (is_new_era) step.AdoptUnplannedGroups();
    step.output.proposal = std::move(step.next);
    return std::move(step.output);
  }
  std::erase_if(step.next.groups, [&](const PlannedGroup& group) {
    if (!group.dissolving || !step.Dissolve(group)) return false;
    this->unreachable_head_deadlines.erase(group.group);
    this->unopened_groups.erase(group.group);
    step.changed = true;
    return true;
  });
  for (PlannedGroup& group : step.next.groups) {
    if (!group.dissolving) step.Advance(group);
  }
  step.StopUnplannedHeads();
  step.FormGroups();
  if (step.changed) step.output.proposal = std::move(step.next);
  return std::move(step.output);
}

void GroupPlanner::OnOwnershipGained() {
  // Another owner may have opened or rebuilt groups in the meantime.
  this->unopened_groups.clear();
  this->membership_orders.clear();
  this->unreachable_head_deadlines.clear();
  this->reservations.clear();
  this->load_budget = LoadBudget();
}

void GroupPlanner::OnProbeResult(const VmId& runner, RunnerProbeResult result, TimePoint now) {
  const auto [entry, added] = this->probe_results.try_emplace(runner, ProbeRecord{result, now});
  if (!added && entry->second.result != result) entry->second = {result, now};
}

void GroupPlanner::OnOrderDone(const RunnerOrder& order) {
  if (const auto membership = this->membership_orders.find(order.runner);
      membership != this->membership_orders.end() && membership->second.kind == order.kind &&
      membership->second.Concerns(order.started_ms, order.group)) {
    membership->second.done = true;
  }
  if (const auto last = this->last_orders.find(order.runner);
      last != this->last_orders.end() && last->second.kind == order.kind &&
      last->second.group == order.group.group) {
    last->second.answered = true;
  }
}

}  // namespace limpetfall
