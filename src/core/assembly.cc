#include "core/assembly.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace limpetfall {

using detail::GroupTrack;
using detail::GroupView;
using detail::VmTrack;
using detail::VmView;

namespace {

// VMs with more losses within this window are chosen later, because they are likely to be lost
// again and interrupt their next group.
constexpr std::chrono::minutes kLossWindow{10};
// One loss per VM and day, in addition to the observed losses.
constexpr double kPriorLossesPerVmSecond = 1.0 / 86400;

double Seconds(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

bool Contains(const std::vector<VmId>& vms, const VmId& vm) {
  return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

int UsableMembers(const GroupView& view) {
  return static_cast<int>(view.record.members.size() - view.absent.size() - view.leaving.size());
}

std::uint64_t StableHash(const std::string& text) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (unsigned char byte : text) hash = (hash ^ byte) * 1099511628211ULL;
  return hash;
}

}  // namespace

template <AssemblyPolicy Policy>
Assembly<Policy> Assembly<Policy>::Create(AssemblyOptions options, Policy policy) {
  return Assembly(std::move(options), std::move(policy));
}

template <AssemblyPolicy Policy>
Assembly<Policy>::Assembly(AssemblyOptions core_options, Policy core_policy)
    : options(std::move(core_options)), policy(std::move(core_policy)) {}

template <AssemblyPolicy Policy>
AssemblyOutput Assembly<Policy>::Step(const AssemblyInput& step_input, TimePoint now) {
  this->input = &step_input;
  if (!this->first_step) {
    this->first_step = now;
    // A record reconstructed from summaries has groups but no revision.
    this->inherited_record = step_input.record.revision != 0 || !step_input.record.groups.empty();
  }
  // After a pause of this process, all reports are old although the VMs may be healthy.
  if (this->last_step && now - *this->last_step > this->options.report_age_limit) {
    for (auto& [id, track] : this->vm_tracks) track.first_seen = now;
  }
  this->last_step = now;
  this->Observe(now);
  this->BuildVmViews(now);
  this->ObserveAbsence(now);
  this->BuildGroupViews();
  this->MakePlan(now);

  AssemblyOutput output;
  if (this->plan.changed) output.proposal = this->plan.record;
  output.slots_needed = this->plan.slots_needed;
  this->AddSummaries(output, now);
  this->AddCommands(output, now);
  this->input = nullptr;
  return output;
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::Observe(TimePoint now) {
  for (const Vm& vm : this->input->vms) {
    const auto [found, added] = this->vm_tracks.try_emplace(vm.id);
    if (!added) continue;
    found->second.first_seen = now;
    // The previous owner may have sent commands just before this one took over.
    if (this->inherited_record && now == *this->first_step) {
      found->second.conflicting_command_allowed_at =
          now + this->options.command_timeout + this->options.order_delay_bound;
    }
  }
  for (const auto& [report, received] : this->input->reports) {
    const auto found = this->vm_tracks.find(report.vm);
    if (found != this->vm_tracks.end()) this->ObserveReport(report, received, found->second);
  }
  std::set<VmId> listed;
  for (const Vm& vm : this->input->vms) listed.insert(vm.id);
  std::erase_if(this->vm_tracks,
                [&listed](const auto& entry) { return !listed.contains(entry.first); });
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::ObserveReport(const VmReport& report, TimePoint received, VmTrack& track) {
  if (track.last_report && received <= *track.last_report) return;
  this->highest_reported = std::max(this->highest_reported, report.generation);
  if (track.absent && track.last_report) {
    this->estimates.AddRestart(Seconds(received - *track.last_report),
                               report.instance == track.instance);
  }
  if (report.instance != track.instance) {
    // The restarted engine has no state from earlier commands.
    track.commanded_at.reset();
    track.loading_since.reset();
  }
  if (report.state == EngineState::kLoading) {
    if (!track.loading_since) track.loading_since = received;
  } else {
    if (report.state == EngineState::kReady && track.loading_since) {
      this->estimates.AddLoad(report.model, Seconds(received - *track.loading_since));
    }
    track.loading_since.reset();
  }
  track.absent = false;
  track.instance = report.instance;
  track.last_report = received;
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::BuildVmViews(TimePoint now) {
  this->views.clear();
  for (const Vm& vm : this->input->vms) this->views[vm.id].vm = &vm;
  for (const ReceivedReport& received : this->input->reports) {
    const auto found = this->views.find(received.report.vm);
    if (found == this->views.end()) continue;
    found->second.report = &received.report;
    found->second.received = received.received;
  }
  for (auto& [id, view] : this->views) {
    const bool fresh =
        view.report != nullptr && now - view.received <= this->options.report_age_limit;
    view.known = fresh || now - this->vm_tracks.at(id).first_seen > this->options.report_age_limit;
    view.leaving = fresh && (view.vm->leaving || view.report->state == EngineState::kLeaving);
    view.present = fresh && !view.leaving;
  }
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::ObserveAbsence(TimePoint now) {
  for (const auto& [id, view] : this->views) {
    VmTrack& track = this->vm_tracks.at(id);
    if (!view.known || view.present || view.leaving || track.absent) continue;
    track.absent = true;
    if (track.last_report) track.losses.push_back(now);
  }
  for (auto& [id, track] : this->vm_tracks) {
    std::erase_if(track.losses, [now](TimePoint loss) { return now - loss > kLossWindow; });
  }
}

template <AssemblyPolicy Policy>
bool Assembly<Policy>::IsReady(const VmId& member, int rank, const GroupRecord& group) const {
  const auto found = this->views.find(member);
  if (found == this->views.end() || found->second.report == nullptr) return false;
  const VmReport& report = *found->second.report;
  return report.state == EngineState::kReady && report.group == group.group &&
         report.generation == group.generation && report.model == group.model &&
         report.version == group.version && report.rank == rank &&
         report.size == static_cast<int>(group.members.size());
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::BuildGroupViews() {
  this->groups.clear();
  for (const GroupRecord& record : this->input->record.groups) {
    GroupView view;
    view.record = record;
    view.product = FindProduct(this->input->placement->products, record.model, record.version);
    view.ready = true;
    view.oldest_report = TimePoint::max();
    GroupTrack& track = this->group_tracks[record.group];
    if (track.generation != record.generation) {
      track = GroupTrack{record.generation, {}, track.published, std::nullopt};
    }
    for (std::size_t i = 0; i < record.members.size(); ++i) {
      this->AddMemberToView(record.members[i], static_cast<int>(i), track, view);
    }
    this->groups.push_back(std::move(view));
  }
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::AddMemberToView(const VmId& member, int rank, GroupTrack& track,
                                       GroupView& view) {
  const auto found = this->views.find(member);
  if (found == this->views.end()) {
    view.absent.push_back(member);
    view.ready = false;
    return;
  }
  const VmView& vm = found->second;
  view.known = view.known && vm.known;
  if (!vm.present && !vm.leaving) {
    view.ready = false;
    if (vm.known) view.absent.push_back(member);
    return;
  }
  view.oldest_report = std::min(view.oldest_report, vm.received);
  if (vm.leaving) {
    view.leaving.push_back(member);
    return;
  }
  if (vm.report->group == view.record.group && vm.report->generation == view.record.generation) {
    track.instances.try_emplace(member, vm.report->instance);
  }
  const auto instance = track.instances.find(member);
  if (instance != track.instances.end() && instance->second != vm.report->instance) {
    view.restarted = true;
  }
  if (!this->IsReady(member, rank, view.record)) view.ready = false;
}

template <AssemblyPolicy Policy>
bool Assembly<Policy>::IsServing(const GroupView& view) const {
  return view.known && view.ready && !view.restarted && view.absent.empty() && view.leaving.empty();
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::MakePlan(TimePoint now) {
  this->plan = {};
  this->plan.record = this->input->record;
  this->plan.record.domain = this->options.domain;
  std::set<VmId> assigned;
  int loading = 0;
  bool known = true;
  for (const GroupView& view : this->groups) {
    assigned.insert(view.record.members.begin(), view.record.members.end());
    known = known && view.known;
    if (!view.ready && view.absent.empty() && !view.restarted) ++loading;
  }
  for (const auto& [id, view] : this->views) {
    if (view.present && !assigned.contains(id)) this->plan.free.push_back(id);
  }
  this->plan.slots_needed = loading;
  // Plans nothing while the state of a group member is not established, for example right after
  // taking over the domain.
  if (!known) {
    for (const auto& [id, track] : this->group_tracks) {
      if (track.drain_since) this->plan.drains.insert(id);
    }
    return;
  }
  this->RepairGroups(now);
  this->RemoveUnwantedGroups(now);
  this->BuildMissingGroups(now);
  for (auto& [id, track] : this->group_tracks) {
    if (!this->plan.drains.contains(id)) track.drain_since.reset();
  }
}

template <AssemblyPolicy Policy>
std::vector<int> Assembly<Policy>::ProductOrder() const {
  const auto& products = this->input->placement->products;
  std::vector<int> order;
  for (std::size_t i = 0; i < products.size(); ++i) order.push_back(static_cast<int>(i));
  if constexpr (Policy::kByPriority) {
    std::stable_sort(order.begin(), order.end(), [&products](int a, int b) {
      return products[static_cast<std::size_t>(a)].priority <
             products[static_cast<std::size_t>(b)].priority;
    });
  }
  return order;
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::RepairGroups(TimePoint now) {
  for (int product : this->ProductOrder()) {
    for (const GroupView& view : this->groups) {
      if (view.product == product && this->IsInPlan(view.record.group))
        this->RepairGroup(view, now);
    }
  }
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::RepairGroup(const GroupView& view, TimePoint now) {
  std::vector<VmId> missing = view.absent;
  missing.insert(missing.end(), view.leaving.begin(), view.leaving.end());
  if (missing.empty()) {
    if (view.restarted) this->StartNewGeneration(view);
    return;
  }
  if (!this->DrainBeforeRemoval(view, now)) return;
  const Product& product = this->ProductAt(view.product);
  const int healthy = static_cast<int>(view.record.members.size() - missing.size());
  RepairSituation situation = this->MakeRepairSituation(product, healthy, missing, now);
  const auto victims = this->FindVictims(product, &view, situation.missing - situation.free_vms);
  situation.victims = this->SummarizeVictims(victims);
  this->ApplyRepair(this->policy.ChooseRepair(situation), view, missing, victims, now);
}

template <AssemblyPolicy Policy>
RepairSituation Assembly<Policy>::MakeRepairSituation(const Product& product, int healthy,
                                                      const std::vector<VmId>& missing,
                                                      TimePoint now) const {
  RepairSituation situation;
  situation.size = product.size;
  situation.healthy = healthy;
  situation.missing = static_cast<int>(missing.size());
  situation.may_return = !missing.empty();
  for (const VmId& vm : missing) {
    const auto view = this->views.find(vm);
    if (view == this->views.end() || view->second.leaving || view->second.vm->leaving) {
      situation.may_return = false;
      continue;
    }
    const VmTrack& track = this->vm_tracks.at(vm);
    const TimePoint since = track.last_report.value_or(track.first_seen);
    situation.absence_s = std::max(situation.absence_s, Seconds(now - since));
  }
  situation.wait_limit_s = static_cast<double>(this->input->policy.member_restart_wait_ms) / 1000;
  situation.remaining_restart_s = this->estimates.RemainingRestart(situation.absence_s);
  situation.reload_fraction = this->estimates.ReloadFraction();
  situation.load_s = this->estimates.LoadTime(product.model);
  situation.priority_weight = PriorityWeight(product.priority);
  situation.downtime_weight = this->input->policy.group_downtime_weight;
  situation.free_vms = static_cast<int>(this->plan.free.size());
  return situation;
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::ApplyRepair(limpetfall::RepairAction choice, const GroupView& view,
                                   const std::vector<VmId>& missing,
                                   const std::vector<const GroupView*>& victims, TimePoint now) {
  if (choice == limpetfall::RepairAction::kWait) return;
  if (choice == limpetfall::RepairAction::kRelease) {
    this->RemoveGroup(view);
    return;
  }
  if (!this->ReserveSlot()) return;
  if (choice == limpetfall::RepairAction::kPreempt && !this->PreemptGroups(victims, now)) return;
  const std::vector<VmId> added = this->TakeFreeVms(static_cast<int>(missing.size()), now);
  auto replacement = added.begin();
  for (GroupRecord& group : this->plan.record.groups) {
    if (group.group != view.record.group) continue;
    for (VmId& member : group.members) {
      if (Contains(missing, member)) member = *replacement++;
    }
    group.generation = this->NextGeneration();
  }
}

// The new generation makes the remaining members rejoin with the restarted engine, and lets engines
// distinguish the group from the one before the restart.
template <AssemblyPolicy Policy>
void Assembly<Policy>::StartNewGeneration(const GroupView& view) {
  if (!this->ReserveSlot()) return;
  for (GroupRecord& group : this->plan.record.groups) {
    if (group.group == view.record.group) group.generation = this->NextGeneration();
  }
}

template <AssemblyPolicy Policy>
bool Assembly<Policy>::IsVictim(const GroupView& view, const Product& product, const GroupView* own,
                                const std::vector<const GroupView*>& chosen) const {
  if (&view == own || view.product < 0 || !this->IsInPlan(view.record.group)) return false;
  if (std::find(chosen.begin(), chosen.end(), &view) != chosen.end()) return false;
  // Groups that this step has already changed are not preempted.
  for (const GroupRecord& group : this->plan.record.groups) {
    if (group.group == view.record.group && group != view.record) return false;
  }
  const Product& other = this->ProductAt(view.product);
  const bool complete = view.absent.empty() && view.leaving.empty() && !view.restarted;
  if (!complete) return other.priority >= product.priority;
  const int taken = static_cast<int>(
      std::count_if(chosen.begin(), chosen.end(),
                    [&view](const GroupView* victim) { return victim->product == view.product; }));
  const auto [local, total] = this->CompleteGroups(view.product);
  if (total - taken > other.wanted) return true;
  if (other.priority <= product.priority || !view.ready) return false;
  // The quota per domain prevents owners that act concurrently from preempting too many groups
  // together.
  return total - taken > other.min_groups &&
         local - taken > this->LocalProtectedQuota(view.product);
}

template <AssemblyPolicy Policy>
std::pair<int, int> Assembly<Policy>::CompleteGroups(int product) const {
  int local = 0;
  for (const GroupView& view : this->groups) {
    const bool complete = view.ready && view.absent.empty() && view.leaving.empty();
    if (view.product == product && complete && !view.restarted &&
        this->IsInPlan(view.record.group)) {
      ++local;
    }
  }
  return {local, local + CountAt(this->input->not_draining_in_other_domains, product)};
}

template <AssemblyPolicy Policy>
int Assembly<Policy>::CountAt(const std::vector<int>& counts, int product) {
  const auto index = static_cast<std::size_t>(product);
  return index < counts.size() ? counts[index] : 0;
}

template <AssemblyPolicy Policy>
const Product& Assembly<Policy>::ProductAt(int product) const {
  return this->input->placement->products[static_cast<std::size_t>(product)];
}

template <AssemblyPolicy Policy>
int Assembly<Policy>::LocalProtectedQuota(int product) const {
  const auto found = this->input->placement->protected_quotas.find(this->options.domain);
  if (found == this->input->placement->protected_quotas.end()) return 0;
  return found->second[static_cast<std::size_t>(product)];
}

// Returns groups that together have at least `needed` usable members, or an empty list.
template <AssemblyPolicy Policy>
std::vector<const GroupView*> Assembly<Policy>::FindVictims(const Product& product,
                                                            const GroupView* own,
                                                            int needed) const {
  // Order: groups that do not serve, then surplus groups, then lowest priority, then newest group.
  const auto rank = [this](const GroupView& view) {
    const Product& other = this->ProductAt(view.product);
    const bool surplus = this->CompleteGroups(view.product).second > other.wanted;
    return std::make_tuple(this->IsServing(view), !surplus, -static_cast<int>(other.priority),
                           ~view.record.generation);
  };
  std::vector<const GroupView*> chosen;
  for (int gained = 0; gained < needed;) {
    const GroupView* best = nullptr;
    for (const GroupView& view : this->groups) {
      if (!this->IsVictim(view, product, own, chosen)) continue;
      if (best == nullptr || rank(view) < rank(*best)) best = &view;
    }
    if (best == nullptr) return {};
    chosen.push_back(best);
    gained += UsableMembers(*best);
  }
  return chosen;
}

template <AssemblyPolicy Policy>
std::optional<Victims> Assembly<Policy>::SummarizeVictims(
    const std::vector<const GroupView*>& chosen) const {
  if (chosen.empty()) return std::nullopt;
  Victims victims;
  std::map<int, int> surplus;
  for (const GroupView* view : chosen) {
    const Product& other = this->ProductAt(view->product);
    victims.vms += UsableMembers(*view);
    if (!this->IsServing(*view)) continue;
    const auto left = surplus.try_emplace(
        view->product, this->CompleteGroups(view->product).second - other.wanted);
    if (left.first->second-- > 0) continue;
    victims.priority_weight += PriorityWeight(other.priority);
    victims.load_s = std::max(victims.load_s, this->estimates.LoadTime(other.model));
  }
  return victims;
}

template <AssemblyPolicy Policy>
bool Assembly<Policy>::PreemptGroups(const std::vector<const GroupView*>& victims, TimePoint now) {
  bool stopped = true;
  for (const GroupView* victim : victims)
    stopped = this->DrainBeforeRemoval(*victim, now) && stopped;
  if (!stopped) return false;
  for (const GroupView* victim : victims) this->RemoveGroup(*victim);
  return true;
}

// Drains a ready group before its planned removal, so that no request is interrupted. Returns
// whether the group can be removed now.
template <AssemblyPolicy Policy>
bool Assembly<Policy>::DrainBeforeRemoval(const GroupView& view, TimePoint now) {
  if (!view.absent.empty() || view.restarted || !view.ready) return true;
  this->plan.drains.insert(view.record.group);
  return this->DrainFinished(view, now);
}

template <AssemblyPolicy Policy>
bool Assembly<Policy>::DrainFinished(const GroupView& view, TimePoint now) {
  GroupTrack& track = this->group_tracks[view.record.group];
  if (!track.drain_since) track.drain_since = now;
  if (now - *track.drain_since >= this->options.drain_timeout) return true;
  const auto first = this->views.find(view.record.members.front());
  if (first == this->views.end() || first->second.report == nullptr) return true;
  const VmReport& report = *first->second.report;
  return first->second.received - *track.drain_since >= this->options.drain_propagation_time &&
         report.running + report.queued == 0;
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::RemoveGroup(const GroupView& view) {
  std::erase_if(this->plan.record.groups,
                [&view](const GroupRecord& group) { return group.group == view.record.group; });
  this->plan.changed = true;
  for (const VmId& member : view.record.members) {
    const auto found = this->views.find(member);
    if (found != this->views.end() && found->second.present) this->plan.free.push_back(member);
  }
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::RemoveUnwantedGroups(TimePoint now) {
  const int products = static_cast<int>(this->input->placement->products.size());
  for (int product = 0; product < products; ++product) {
    if (this->Surplus(product) > 0 && this->LocalGroups(product) > 0) {
      this->surplus_since.try_emplace(product, now);
    } else {
      this->surplus_since.erase(product);
    }
  }
  // Removes one serving group at a time, and none while another group loads, so that a version
  // change does not remove all capacity at once.
  bool busy = std::any_of(this->groups.begin(), this->groups.end(),
                          [](const GroupView& view) { return !view.ready && view.absent.empty(); });
  for (const GroupView& view : this->groups) {
    if (!this->IsInPlan(view.record.group) || !this->IsUnwanted(view, now)) continue;
    if (this->IsServing(view)) {
      if (busy) continue;
      busy = true;
    }
    if (this->DrainBeforeRemoval(view, now)) this->RemoveGroup(view);
  }
}

template <AssemblyPolicy Policy>
bool Assembly<Policy>::IsUnwanted(const GroupView& view, TimePoint now) const {
  if (view.product < 0) return true;
  const auto since = this->surplus_since.find(view.product);
  if (since == this->surplus_since.end() || this->Surplus(view.product) <= 0) return false;
  if (this->ProductAt(view.product).wanted == 0) return true;
  const auto quota = this->input->placement->quotas.find(this->options.domain);
  const int own_quota = quota == this->input->placement->quotas.end()
                            ? 0
                            : quota->second[static_cast<std::size_t>(view.product)];
  return this->LocalGroups(view.product) > own_quota &&
         now - since->second >= this->options.surplus_retention + this->StaggerDelay(view.product);
}

// Groups that drain in other domains are not counted, so that domains do not all remove a group for
// the same surplus.
template <AssemblyPolicy Policy>
int Assembly<Policy>::Surplus(int product) const {
  return this->LocalGroups(product) + CountAt(this->input->not_draining_in_other_domains, product) -
         this->ProductAt(product).wanted;
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::BuildMissingGroups(TimePoint now) {
  const auto& products = this->input->placement->products;
  const auto quota = this->input->placement->quotas.find(this->options.domain);
  if (quota == this->input->placement->quotas.end()) return;
  const ZoneId zone = this->input->vms.empty() ? ZoneId() : this->input->vms.front().zone;
  for (int product : this->ProductOrder()) {
    const auto index = static_cast<std::size_t>(product);
    if (this->TotalGroups(product) >= products[index].wanted) {
      this->shortfall_since.erase(product);
      continue;
    }
    this->shortfall_since.try_emplace(product, now);
    while (this->TotalGroups(product) < products[index].wanted) {
      const bool within = this->LocalGroups(product) < quota->second[index];
      if (!within && !this->MayExceedQuota(product, now)) break;
      if (!ZoneAllowed(products[index], zone) || !this->BuildGroup(product, now)) break;
      if (!within) this->shortfall_since[product] = now;
    }
  }
}

template <AssemblyPolicy Policy>
bool Assembly<Policy>::MayExceedQuota(int product, TimePoint now) {
  return now - this->shortfall_since[product] >=
         this->options.count_propagation_time + this->StaggerDelay(product);
}

// Spreads the domains over the stagger window, in an order that differs by product.
template <AssemblyPolicy Policy>
Milliseconds Assembly<Policy>::StaggerDelay(int product) const {
  const std::string& model = this->ProductAt(product).model.value;
  const auto rank_of = [&model](const DomainId& domain) {
    return std::make_pair(StableHash(model + '/' + domain.value), domain);
  };
  const auto own = rank_of(this->options.domain);
  std::size_t before = 0;
  for (const auto& [domain, unused] : this->input->placement->quotas) {
    if (rank_of(domain) < own) ++before;
  }
  const std::size_t domains = std::max<std::size_t>(1, this->input->placement->quotas.size());
  return this->options.stagger_window * before / domains;
}

template <AssemblyPolicy Policy>
bool Assembly<Policy>::BuildGroup(int product, TimePoint now) {
  const Product& wanted = this->ProductAt(product);
  BuildSituation situation;
  situation.size = wanted.size;
  situation.free_vms = static_cast<int>(this->plan.free.size());
  situation.wanted_spares = this->input->policy.spare_vms_per_domain;
  situation.below_min = this->TotalGroups(product) < wanted.min_groups;
  situation.priority_weight = PriorityWeight(wanted.priority);
  situation.downtime_weight = this->input->policy.group_downtime_weight;
  situation.losses_per_second = this->LossesPerSecond(now);
  situation.remaining_restart_s = this->estimates.RemainingRestart(0);
  const bool enough = situation.free_vms >= wanted.size;
  if (enough && !this->policy.MayBuild(situation)) return false;
  if (enough ? !this->ReserveSlot() : !this->PreemptGroupsFor(product, now)) return false;
  GroupRecord group;
  group.generation = this->NextGeneration();
  group.group = GroupId(this->options.domain.value + "/g" + std::to_string(group.generation));
  group.model = wanted.model;
  group.version = wanted.version;
  group.members = this->TakeFreeVms(wanted.size, now);
  this->plan.record.groups.push_back(std::move(group));
  return true;
}

// Preempts lower-priority groups when the free VMs do not suffice for a wanted group. Returns
// whether the members of the preempted groups are now free.
template <AssemblyPolicy Policy>
bool Assembly<Policy>::PreemptGroupsFor(int product, TimePoint now) {
  const Product& wanted = this->ProductAt(product);
  RepairSituation situation = this->MakeRepairSituation(wanted, 0, {}, now);
  situation.missing = wanted.size;
  // A group that is not built yet can only wait for other VMs to return. The longer the shortfall
  // has lasted, the longer this wait is expected to be.
  situation.remaining_restart_s =
      std::max(this->estimates.RemainingRestart(Seconds(now - this->shortfall_since[product])),
               situation.wait_limit_s);
  const auto victims = this->FindVictims(wanted, nullptr, situation.missing - situation.free_vms);
  situation.victims = this->SummarizeVictims(victims);
  if (this->policy.ChooseRepair(situation) != limpetfall::RepairAction::kPreempt) return false;
  return this->ReserveSlot() && this->PreemptGroups(victims, now);
}

template <AssemblyPolicy Policy>
std::vector<VmId> Assembly<Policy>::TakeFreeVms(int count, TimePoint now) {
  std::vector<VmId>& free = this->plan.free;
  std::sort(free.begin(), free.end());
  const auto rank = [this, now](const VmId& vm) {
    const VmTrack& track = this->vm_tracks.at(vm);
    const bool delayed =
        !this->input->policy.engines_check_generation && track.conflicting_command_allowed_at > now;
    return std::make_pair(track.losses.size(), delayed);
  };
  std::stable_sort(free.begin(), free.end(),
                   [&rank](const VmId& a, const VmId& b) { return rank(a) < rank(b); });
  std::vector<VmId> taken(free.begin(), free.begin() + count);
  free.erase(free.begin(), free.begin() + count);
  return taken;
}

// Returns whether this domain holds a weight-store slot for one more load. Requests the slot in
// either case.
template <AssemblyPolicy Policy>
bool Assembly<Policy>::ReserveSlot() {
  ++this->plan.slots_needed;
  return this->plan.slots_needed <= this->input->slots_held;
}

template <AssemblyPolicy Policy>
Generation Assembly<Policy>::NextGeneration() {
  this->plan.changed = true;
  Generation& last = this->plan.record.last_generation;
  // Engines may report a higher generation than the store has, if the store lost its data.
  last = std::max(last, this->highest_reported) + 1;
  return last;
}

template <AssemblyPolicy Policy>
int Assembly<Policy>::LocalGroups(int product) const {
  const auto& products = this->input->placement->products;
  int count = 0;
  for (const GroupRecord& group : this->plan.record.groups) {
    if (FindProduct(products, group.model, group.version) == product) ++count;
  }
  return count;
}

template <AssemblyPolicy Policy>
int Assembly<Policy>::TotalGroups(int product) const {
  return this->LocalGroups(product) + CountAt(this->input->groups_in_other_domains, product);
}

template <AssemblyPolicy Policy>
bool Assembly<Policy>::IsInPlan(const GroupId& group) const {
  return std::any_of(this->plan.record.groups.begin(), this->plan.record.groups.end(),
                     [&group](const GroupRecord& record) { return record.group == group; });
}

template <AssemblyPolicy Policy>
double Assembly<Policy>::LossesPerSecond(TimePoint now) const {
  double rate = kPriorLossesPerVmSecond * static_cast<double>(this->views.size());
  const double window = std::clamp(Seconds(now - *this->first_step), 60.0, Seconds(kLossWindow));
  for (const auto& [id, track] : this->vm_tracks) {
    rate += static_cast<double>(track.losses.size()) / window;
  }
  return rate;
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::AddSummaries(AssemblyOutput& output, TimePoint now) {
  for (const GroupView& view : this->groups) {
    // The previous owner's summary stays valid until the state of all members is established.
    if (view.known) this->AddSummary(view, output, now);
  }
  this->AddRemovedGroups(output, now);
}

template <AssemblyPolicy Policy>
GroupState Assembly<Policy>::StateOf(const GroupView& view) const {
  if (!view.absent.empty() || view.restarted) return GroupState::kLost;
  const bool drains = this->plan.drains.contains(view.record.group);
  if (!view.leaving.empty() || (view.ready && drains)) return GroupState::kDraining;
  return view.ready ? GroupState::kServing : GroupState::kLoading;
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::AddSummary(const GroupView& view, AssemblyOutput& output, TimePoint now) {
  SummaryUpdate update;
  GroupSummary& summary = update.summary;
  summary.group = view.record.group;
  summary.generation = view.record.generation;
  summary.domain = this->options.domain;
  summary.model = view.record.model;
  summary.version = view.record.version;
  for (const VmId& member : view.record.members) {
    const auto found = this->views.find(member);
    if (found == this->views.end()) {
      summary.members.push_back({member, "", ""});
      continue;
    }
    const VmView& vm = found->second;
    summary.zone = vm.vm->zone;
    summary.members.push_back(
        {member, vm.vm->address, vm.report == nullptr ? "" : vm.report->instance});
  }
  const auto first = this->views.find(view.record.members.front());
  if (first != this->views.end() && first->second.report != nullptr) {
    summary.running = first->second.report->running;
    summary.queued = first->second.report->queued;
  }
  summary.state = this->StateOf(view);
  update.serve_until = (summary.state == GroupState::kServing ? view.oldest_report : now) +
                       this->options.summary_lifetime;
  GroupTrack& track = this->group_tracks[view.record.group];
  update.urgent = track.published != summary.state;
  track.published = summary.state;
  output.summaries.push_back(std::move(update));
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::AddRemovedGroups(AssemblyOutput& output, TimePoint now) {
  std::set<GroupId> current;
  for (const GroupView& view : this->groups) current.insert(view.record.group);
  for (auto track = this->group_tracks.begin(); track != this->group_tracks.end();) {
    if (current.contains(track->first)) {
      ++track;
      continue;
    }
    SummaryUpdate update;
    update.summary.group = track->first;
    update.summary.generation = track->second.generation;
    update.summary.domain = this->options.domain;
    update.summary.state = GroupState::kLost;
    update.serve_until = now + this->options.summary_lifetime;
    update.urgent = true;
    output.summaries.push_back(std::move(update));
    track = this->group_tracks.erase(track);
  }
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::AddCommands(AssemblyOutput& output, TimePoint now) {
  std::set<VmId> assigned;
  for (const GroupView& view : this->groups) {
    for (std::size_t i = 0; i < view.record.members.size(); ++i) {
      assigned.insert(view.record.members[i]);
      this->AddCommand(view.record.members[i], view.record, static_cast<int>(i), output, now);
    }
  }
  GroupRecord none;
  none.generation = this->input->record.last_generation;
  for (const auto& [id, view] : this->views) {
    if (!assigned.contains(id)) this->AddCommand(id, none, 0, output, now);
  }
}

template <AssemblyPolicy Policy>
void Assembly<Policy>::AddCommand(const VmId& vm, const GroupRecord& group, int rank,
                                  AssemblyOutput& output, TimePoint now) {
  const auto found = this->views.find(vm);
  if (found == this->views.end() || !found->second.present) return;
  const VmReport& report = *found->second.report;
  const bool released = group.group.value.empty();
  const bool up_to_date = released
                              ? report.group.value.empty()
                              : report.group == group.group &&
                                    report.generation == group.generation && report.rank == rank;
  if (up_to_date) return;
  VmTrack& track = this->vm_tracks.at(vm);
  const bool repeated = track.commanded_group == group.group &&
                        (released || track.commanded_generation == group.generation);
  const bool recent =
      track.commanded_at && now - *track.commanded_at < this->options.resend_interval;
  if (repeated && recent) return;
  // An engine that does not check generations would apply an older command that arrives later.
  const bool delayed = !this->input->policy.engines_check_generation && !repeated &&
                       now < track.conflicting_command_allowed_at;
  if (delayed) return;
  track.commanded_group = group.group;
  track.commanded_generation = group.generation;
  track.commanded_at = now;
  track.conflicting_command_allowed_at =
      now + this->options.command_timeout + this->options.order_delay_bound;
  output.commands.push_back({vm, found->second.vm->address, group, rank});
}

template class Assembly<CostPolicy>;
template class Assembly<AlwaysWaitPolicy>;
template class Assembly<RebuildInOrderPolicy>;

}  // namespace limpetfall
