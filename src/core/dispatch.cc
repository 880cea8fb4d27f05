#include "core/dispatch.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace limpetfall {
namespace {

using detail::DispatchTarget;

/** Returns whether the runner is in the group and has finished joining it. */
bool HasJoined(const Runner& runner, const PlannedGroup& group) {
  return InGroup(runner, group) && runner.membership->stage != MembershipStage::kJoining;
}

// An upstream at which half of the recent attempts failed costs as much as a full one, because each
// failed attempt occupies another slot elsewhere.
constexpr double kFaultRateCost = 2;

// For a request that cannot be retried, a fault is worse than load.
constexpr double kNonRetryableFaultRateCost = 4;

// Fraction of the free slots that the nodes together may fill between two exchanges of loads. A
// node learns up to one exchange later which slots the others have filled, so allocating all free
// slots would overfill an upstream.
constexpr double kAllocatedFreeSlotFraction = 0.5;

// Keeps a status message well below the maximum size of a datagram.
constexpr std::size_t kMaxRateLimitReports = 500;

// Weight of one request in the moving average of service times.
constexpr double kServiceTimeWeight = 0.05;

// A runner that leaves has ended long before.
constexpr Milliseconds kLeavingMemory{600'000};

std::uint64_t BootHash(const Runner& runner) {
  return XXH3_64bits_withSeed(runner.id.value.data(), runner.id.value.size(),
                              static_cast<std::uint64_t>(runner.started_ms));
}

/** Returns whether the upstream has said nothing against new requests. */
bool IsWanted(const DispatchTarget& target, TimePoint now) {
  return !target.said_leaving && !target.evacuated && target.paused_until <= now;
}

/** Returns whether the upstream serves such requests and none of its faults excludes it. */
bool CouldServe(const DispatchTarget& target, const DispatchRequest& request) {
  if (!target.eligible || target.service != request.service) return false;
  if (target.model != request.model) return false;
  return std::find(request.excluded.begin(), request.excluded.end(), target.id) ==
         request.excluded.end();
}

/** Returns whether an upstream is preferred for the request; others are only a last resort. A
 * request that cannot be retried is not used as the trial of an upstream after a suspension. */
bool IsHealthy(const DispatchTarget& target, const DispatchRequest& request, TimePoint now) {
  if (target.health.IsSuspended(now) || target.trial_in_flight) return false;
  return request.retry_safe || !target.health.IsOnTrial();
}

}  // namespace

DispatchTicket::DispatchTicket(std::shared_ptr<DispatchTarget> chosen,
                               UpstreamLossListener* loss_listener)
    : target(std::move(chosen)), listener(loss_listener) {
  ++this->target->in_flight;
  if (this->listener != nullptr) this->target->listeners.insert(this->listener);
}

DispatchTicket::DispatchTicket(DispatchTicket&& other) noexcept
    : target(std::move(other.target)),
      listener(std::exchange(other.listener, nullptr)),
      sent(other.sent) {}

DispatchTicket& DispatchTicket::operator=(DispatchTicket&& other) noexcept {
  if (this == &other) return *this;
  this->Release();
  this->target = std::move(other.target);
  this->listener = std::exchange(other.listener, nullptr);
  this->sent = other.sent;
  return *this;
}

DispatchTicket::~DispatchTicket() { this->Release(); }

bool DispatchTicket::IsWanted(TimePoint now) const {
  return limpetfall::IsWanted(*this->target, now);
}

void DispatchTicket::OnSent(TimePoint now) {
  // A request is counted once, also if it is sent again after an idle connection was closed.
  if (this->sent == TimePoint()) this->target->cold_limit.OnSent(now);
  this->sent = now;
  if (this->target->rate_limit) this->target->rate_limit->OnSent(now);
}

void DispatchTicket::RemoveListener() {
  if (this->target) this->target->listeners.erase(std::exchange(this->listener, nullptr));
}

void DispatchTicket::Release() {
  if (!this->target) return;
  --this->target->in_flight;
  if (this->sent == TimePoint()) this->target->cold_limit.Release();
  this->RemoveListener();
  this->target->trial_in_flight = false;
  this->target.reset();
}

Deadline DispatchTable::ColdUntil(const Runner& runner, const DispatchTarget& target) const {
  if (!target.cold) return Deadline();
  // Without a statement of the upstream, it counts from the time at which this node noticed it.
  Deadline until = runner.cold_until.value_or(target.first_seen + target.cold->duration);
  if (const auto ended = this->evacuations_ended.find(target.zone);
      ended != this->evacuations_ended.end()) {
    until = std::max(until, ended->second + target.cold->duration);
  }
  return until;
}

bool DispatchTable::MaySendToCold(const DispatchTarget& target, TimePoint now) const {
  if (!target.cold || target.cold_until <= now) return true;
  const int allowed = ColdRequestsPerSecond(target.cold->rate_per_s, this->options.cold,
                                            this->sender_count.value_or(this->options.cold_senders),
                                            target.boot ^ this->options.seed);
  return target.cold_limit.CanSend(allowed, now);
}

void DispatchTable::SetEvacuations(std::set<ZoneId> zones, std::map<ZoneId, TimePoint> ended) {
  this->evacuated_zones = std::move(zones);
  this->evacuations_ended = std::move(ended);
  for (auto& [id, target] : this->targets)
    target->evacuated = this->evacuated_zones.contains(target->zone);
}

std::size_t DispatchTable::CountCold(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      this->targets.begin(), this->targets.end(),
      [now](const auto& entry) { return entry.second->cold && now < entry.second->cold_until; }));
}

void DispatchTable::RefreshTarget(const Runner& runner, const PlannedGroup* group, int slots,
                                  TimePoint now) {
  auto& target = this->targets[runner.id];
  // A restarted runner inherits neither load nor suspension from its previous run.
  const bool created =
      !target || target->started_ms != runner.started_ms || target->address != runner.address;
  if (created) {
    target = std::make_shared<DispatchTarget>();
    target->health = UpstreamHealth(this->options.health);
    target->first_seen = now;
    target->boot = BootHash(runner);
    target->said_leaving = this->leaving_boots.contains(target->boot);
    const auto limit = this->rate_limits.find(target->boot);
    if (limit != this->rate_limits.end()) target->rate_limit = limit->second;
  }
  target->id = runner.id;
  target->address = runner.address;
  target->zone = runner.zone;
  target->service = runner.service;
  target->started_ms = runner.started_ms;
  target->slots = slots;
  target->model = group != nullptr ? group->model : ModelName();
  target->eligible = true;
  target->evacuated = this->evacuated_zones.contains(runner.zone);
  const auto cold = this->cold_profiles.find(runner.service);
  target->cold = cold == this->cold_profiles.end() ? std::nullopt : std::optional(cold->second);
  target->cold_until = this->ColdUntil(runner, *target);
  // All nodes discover a new upstream at the same time, when all its slots are free.
  if (created) this->SetInFlightLimit(*target, slots);
}

void DispatchTable::Update(const std::map<VmId, Runner>& runners, const GroupPlan& plan,
                           const std::map<ServiceName, int>& engine_slots, TimePoint now) {
  for (const auto& [id, runner] : this->recent_runners) {
    if (!runners.contains(id)) this->missing_since.try_emplace(id, now);
  }
  for (const auto& [id, runner] : runners) {
    this->missing_since.erase(id);
    const auto [known, added] = this->recent_runners.try_emplace(id, runner);
    if (!added && known->second != runner) known->second = runner;
  }
  std::erase_if(this->missing_since, [&](const auto& entry) {
    if (now < entry.second + this->options.missing_entry_grace) return false;
    this->recent_runners.erase(entry.first);
    return true;
  });

  for (auto& [id, target] : this->targets) target->eligible = false;
  const auto find_not_leaving = [this](const VmId& id) -> const Runner* {
    const auto found = this->recent_runners.find(id);
    return found == this->recent_runners.end() || found->second.leaving ? nullptr : &found->second;
  };
  for (const PlannedGroup& group : plan.groups) {
    if (group.dissolving || group.members.empty()) continue;
    const Runner* head = find_not_leaving(group.members.front());
    if (head == nullptr || !head->membership) continue;
    if (head->membership->stage != MembershipStage::kOpen) continue;
    const bool all_joined =
        std::all_of(group.members.begin(), group.members.end(), [&](const VmId& member) {
          const Runner* runner = find_not_leaving(member);
          return runner != nullptr && HasJoined(*runner, group);
        });
    const auto slots = engine_slots.find(head->service);
    if (all_joined && slots != engine_slots.end())
      this->RefreshTarget(*head, &group, slots->second, now);
  }
  for (const auto& [id, runner] : this->recent_runners) {
    if (runner.leaving || engine_slots.contains(runner.service)) continue;
    this->RefreshTarget(runner, nullptr, runner.slots, now);
  }
  std::erase_if(this->targets, [&](const auto& entry) {
    return !entry.second->eligible && !this->recent_runners.contains(entry.first);
  });
}

int DispatchTable::TotalLoad(const DispatchTarget& target, TimePoint now) const {
  int load = target.in_flight;
  for (const auto& [node, peer] : this->peers) {
    if (peer.expires <= now) continue;
    if (const auto found = peer.in_flight.find(target.id); found != peer.in_flight.end()) {
      load += found->second;
    }
  }
  return load;
}

bool DispatchTable::MatchesRequest(const DispatchTarget& target, const DispatchRequest& request,
                                   TimePoint now) {
  return IsWanted(target, now) && CouldServe(target, request);
}

bool DispatchTable::HasHealthyUpstream(const DispatchRequest& request, TimePoint now) const {
  return std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& entry) {
    return MatchesRequest(*entry.second, request, now) && IsHealthy(*entry.second, request, now);
  });
}

double DispatchTable::RoutingCost(const DispatchTarget& target, const DispatchRequest& request,
                                  double load, TimePoint now) const {
  const double distance = target.zone == this->options.zone ? 0 : this->options.remote_zone_penalty;
  const double faults = target.health.FaultRate(now);
  return load + distance +
         faults * (request.retry_safe ? kFaultRateCost : kNonRetryableFaultRateCost);
}

std::optional<DispatchTicket> DispatchTable::Choose(const DispatchRequest& request,
                                                    UpstreamLossListener* listener, TimePoint now) {
  const bool any_healthy = this->HasHealthyUpstream(request, now);
  const auto service_time = this->service_times.find({request.service, request.model});
  std::vector<const std::shared_ptr<DispatchTarget>*> best;
  double best_cost = std::numeric_limits<double>::max();
  for (const auto& [id, target] : this->targets) {
    if (!MatchesRequest(*target, request, now)) continue;
    if (any_healthy ? !IsHealthy(*target, request, now) : target->health.IsLost()) continue;
    const int in_flight = this->TotalLoad(*target, now);
    if (in_flight >= request.max_load * target->slots) continue;
    if (!request.response_started && target->in_flight >= target->in_flight_limit) continue;
    if (target->rate_limit && !target->rate_limit->CanSend()) continue;
    if (!this->MaySendToCold(*target, now)) continue;
    double slots = target->slots;
    if (service_time != this->service_times.end())
      slots = EffectiveSlots(*target, service_time->second);
    const double cost = this->RoutingCost(*target, request, in_flight / slots, now);
    constexpr double kCostTolerance = 1e-3;
    if (cost < best_cost - kCostTolerance) best.clear();
    if (cost < best_cost + kCostTolerance) {
      best.push_back(&target);
      best_cost = std::min(best_cost, cost);
    }
  }
  if (best.empty()) return std::nullopt;
  const auto& chosen = *best[this->selection_count++ % best.size()];
  // After a suspension one request is sent as a trial. Others follow once it has made progress.
  if (chosen->health.IsOnTrial()) chosen->trial_in_flight = true;
  if (chosen->rate_limit) chosen->rate_limit->Take();
  chosen->cold_limit.Reserve();
  return DispatchTicket(chosen, listener);
}

bool DispatchTable::HasEligible(const DispatchRequest& request, TimePoint now) const {
  if (this->HasHealthyUpstream(request, now)) return true;
  return std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& entry) {
    return MatchesRequest(*entry.second, request, now) && !entry.second->health.IsLost();
  });
}

void DispatchTable::OnProgress(const DispatchTicket& ticket, TimePoint now) {
  DispatchTarget& target = *ticket.target;
  target.last_progress = now;
  target.trial_in_flight = false;
  target.health.OnProgress(now);
}

bool DispatchTable::OnFault(const DispatchTicket& ticket, UpstreamFault fault, TimePoint now) {
  UpstreamHealth& health = ticket.target->health;
  ticket.target->trial_in_flight = false;
  const bool before = health.IsSuspended(now);
  health.OnFault(fault, now);
  return !before && health.IsSuspended(now);
}

void DispatchTable::OnSuccess(const DispatchTicket& ticket, TimePoint now) {
  const DispatchTarget& target = *ticket.target;
  ticket.target->health.OnSuccess(now);
  if (ticket.sent == TimePoint()) return;
  const std::chrono::duration<double> time = now - ticket.sent;
  const auto [mean, is_first] =
      this->service_times.try_emplace({target.service, target.model}, time);
  if (!is_first) mean->second += kServiceTimeWeight * (time - mean->second);
}

double DispatchTable::EffectiveSlots(const DispatchTarget& target,
                                     std::chrono::duration<double> service_time) {
  const double slots = target.slots;
  if (!target.rate_limit || !target.rate_limit->IsLimited()) return slots;
  return std::min(slots, std::max(1.0, target.rate_limit->Concurrency(service_time)));
}

UpstreamRateLimit& DispatchTable::RateLimitOf(std::uint64_t upstream_boot) {
  std::shared_ptr<UpstreamRateLimit>& limit = this->rate_limits[upstream_boot];
  if (limit) return *limit;
  limit = std::make_shared<UpstreamRateLimit>();
  for (auto& [id, target] : this->targets) {
    if (target->boot == upstream_boot) target->rate_limit = limit;
  }
  return *limit;
}

bool DispatchTable::OnStatedRate(const DispatchTicket& ticket, RequestRate rate, TimePoint now) {
  if (!rate.IsLimited() && !this->rate_limits.contains(ticket.boot())) return false;
  return this->RateLimitOf(ticket.boot()).OnResponse(rate, ticket.sent, now);
}

void DispatchTable::MergeRateLimits(const NodeId& node, const std::vector<RateLimitReport>& reports,
                                    TimePoint now) {
  for (const RateLimitReport& report : reports) {
    const bool is_new_limit = report.stated && report.stated->rate.IsLimited();
    if (!is_new_limit && !this->rate_limits.contains(report.upstream_boot)) continue;
    this->RateLimitOf(report.upstream_boot).OnReport(node, report, now);
  }
}

std::vector<RateLimitReport> DispatchTable::RateLimitReports(TimePoint now) {
  std::vector<RateLimitReport> reports;
  auto next = this->rate_limits.upper_bound(this->last_reported_limit);
  for (std::size_t i = 0; i < this->rate_limits.size(); ++i) {
    if (next == this->rate_limits.end()) next = this->rate_limits.begin();
    if (reports.size() == kMaxRateLimitReports) break;
    if (next->second->IsWorthReporting(now)) {
      reports.push_back(next->second->Report(next->first, now));
      this->last_reported_limit = next->first;
    }
    ++next;
  }
  return reports;
}

void DispatchTable::StartRateLimitRounds(std::size_t nodes, TimePoint now) {
  const auto erased = std::erase_if(
      this->rate_limits, [now](const auto& entry) { return entry.second->IsObsolete(now); });
  if (erased > 0) {
    for (auto& [id, target] : this->targets) {
      if (!this->rate_limits.contains(target->boot)) target->rate_limit.reset();
    }
  }
  std::uniform_real_distribution<double> fraction;
  for (auto& [boot, limit] : this->rate_limits)
    limit->StartRound(nodes, fraction(this->random), now);
}

std::optional<double> DispatchTable::LimitedRate(const DispatchRequest& request,
                                                 TimePoint now) const {
  double rate = 0;
  for (const auto& [id, target] : this->targets) {
    if (!MatchesRequest(*target, request, now) || target->health.IsLost()) continue;
    if (!target->rate_limit || target->rate_limit->CanSend()) return std::nullopt;
    const auto expected = target->rate_limit->ExpectedRate();
    if (!expected) return std::nullopt;
    rate += *expected;
  }
  return rate;
}

bool DispatchTable::OnLeaving(const DispatchTicket& ticket, TimePoint now) {
  ticket.target->said_leaving = true;
  std::erase_if(this->leaving_boots,
                [now](const auto& entry) { return entry.second + kLeavingMemory < now; });
  return this->leaving_boots.insert_or_assign(ticket.boot(), now).second;
}

void DispatchTable::OnPause(const DispatchTicket& ticket, Deadline until) {
  ticket.target->paused_until = std::max(ticket.target->paused_until, until);
}

std::optional<Deadline> DispatchTable::PausedUntil(const DispatchRequest& request,
                                                   TimePoint now) const {
  std::optional<Deadline> earliest;
  for (const auto& [id, target] : this->targets) {
    if (!CouldServe(*target, request) || target->said_leaving || target->evacuated) continue;
    if (target->paused_until <= now) return std::nullopt;
    earliest = std::min(earliest.value_or(Deadline::max()), target->paused_until);
  }
  return earliest;
}

void DispatchTable::OnLost(const VmId& upstream, TimePoint now) {
  const auto found = this->targets.find(upstream);
  if (found == this->targets.end()) return;
  DispatchTarget& target = *found->second;
  target.health.OnLost(now);
  for (UpstreamLossListener* listener : std::set<UpstreamLossListener*>(target.listeners)) {
    listener->OnUpstreamLost();
  }
}

void DispatchTable::SetInFlightLimit(DispatchTarget& target, int free_slots) {
  if (target.model.value.empty()) {
    target.in_flight_limit = target.slots;
    return;
  }
  // Random rounding allocates the whole fraction on average, even if it is below one slot for each
  // node. The value is negative while the upstream is overfilled.
  const double expected_slots = this->free_slot_fraction * free_slots;
  const double rounded =
      std::floor(expected_slots + std::uniform_real_distribution<double>()(this->random));
  target.in_flight_limit = target.in_flight + static_cast<int>(rounded);
}

void DispatchTable::ShareFreeSlots(std::size_t nodes, TimePoint now) {
  this->free_slot_fraction =
      nodes <= 1 ? 1 : kAllocatedFreeSlotFraction / static_cast<double>(nodes);
  for (auto& [id, target] : this->targets) {
    this->SetInFlightLimit(*target, target->slots - this->TotalLoad(*target, now));
  }
}

void DispatchTable::SetPeerLoad(const NodeId& node, std::map<VmId, int> in_flight, TimePoint now) {
  this->peers[node] = {std::move(in_flight), now + this->options.peer_load_lifetime};
}

std::map<VmId, int> DispatchTable::LocalLoad() const {
  std::map<VmId, int> load;
  for (const auto& [id, target] : this->targets) {
    if (target->in_flight > 0) load.emplace(id, target->in_flight);
  }
  return load;
}

std::vector<VmId> DispatchTable::SuspendedUpstreams(TimePoint now) const {
  std::vector<VmId> suspended;
  for (const auto& [id, target] : this->targets) {
    if (target->health.IsSuspended(now)) suspended.push_back(id);
  }
  return suspended;
}

std::pair<int, int> DispatchTable::SlotsAndLoad(const ServiceName& service, const ModelName& model,
                                                TimePoint now) const {
  std::pair<int, int> sum{0, 0};
  for (const auto& [id, target] : this->targets) {
    if (!target->eligible || target->evacuated) continue;
    if (target->service != service || target->model != model) continue;
    sum.first += target->slots;
    sum.second += this->TotalLoad(*target, now);
  }
  return sum;
}

}  // namespace limpetfall
