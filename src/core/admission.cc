#include "core/admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace limpetfall {
namespace {

// Period over which the demand of a team is averaged. It takes about a second until other nodes
// receive the demand, so with a shorter period noise would shift the limit between nodes.
constexpr double kDemandAveragingSeconds = 2;

// Maximum burst of a team, in seconds of its rate at this node.
constexpr double kRateBurstSeconds = 1;

// A weight of 1/16 adapts to a changed service time within some tens of requests.
constexpr double kServiceTimeWeight = 1.0 / 16;
constexpr double kSoleRequestWeight = 0.5;

double Seconds(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

// Returns the earlier of the two deadlines. Waiting requests are checked in this order.
Deadline EarliestDeadline(const AdmissionRequest& request) {
  return std::min(request.deadline, request.start_by);
}

Clock::duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

/** Returns whether waiting requests of the same priority start before a new one. */
bool StartsBefore(bool late, const AdmissionRequest& request, TimePoint now) {
  return !late || request.on_time_by <= now;
}

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionOptions options) : options(options) {}

void AdmissionQueue::SetTeams(const std::vector<TeamSpec>& specs, TimePoint now) {
  for (const TeamSpec& spec : specs) {
    Team& team = this->TeamOf(spec.name);
    team.spec = spec;
    if (team.rate_updated == TimePoint()) team.rate_updated = now;
  }
  std::erase_if(this->teams, [&](const auto& item) {
    const bool configured = std::any_of(
        specs.begin(), specs.end(), [&](const TeamSpec& spec) { return spec.name == item.first; });
    return !configured && item.second.queued == 0;
  });
}

AdmissionQueue::Team& AdmissionQueue::TeamOf(const TeamName& name) {
  auto [found, inserted] = this->teams.try_emplace(name);
  if (inserted) found->second.spec.name = name;
  return found->second;
}

void AdmissionQueue::OnDemand(const TeamDemand& demand, Deadline expires) {
  this->TeamOf(demand.team).peer_demands[demand.node] = {demand.requests_per_second, expires};
}

std::vector<TeamDemand> AdmissionQueue::Demand(const NodeId& self, TimePoint now) const {
  std::vector<TeamDemand> demand;
  for (const auto& [name, team] : this->teams) {
    demand.push_back({self, name, this->DemandAt(team, now)});
  }
  return demand;
}

double AdmissionQueue::DemandAt(const Team& team, TimePoint now) const {
  return team.demand * std::exp(-Seconds(now - team.demand_updated) / kDemandAveragingSeconds);
}

void AdmissionQueue::RecordDemand(Team& team, TimePoint now) {
  team.demand = this->DemandAt(team, now) + 1 / kDemandAveragingSeconds;
  team.demand_updated = now;
}

// The limit of the team is divided among the nodes in proportion to the demand at each node.
bool AdmissionQueue::TryTakeRateToken(Team& team, TimePoint now) {
  const double limit = team.spec.requests_per_second;
  if (limit <= 0) return true;
  std::erase_if(team.peer_demands, [&](const auto& item) { return item.second.expires <= now; });
  double peer_rate = 0;
  for (const auto& [node, demand] : team.peer_demands) peer_rate += demand.requests_per_second;
  const double own = this->DemandAt(team, now);
  const double share = limit * own / (own + peer_rate);

  const double burst = std::max(1.0, share * kRateBurstSeconds);
  team.rate_tokens = std::min(burst, team.rate_tokens + share * Seconds(now - team.rate_updated));
  team.rate_updated = now;
  if (team.rate_tokens < 1) return false;
  team.rate_tokens -= 1;
  return true;
}

// A busy lane serves requests at the rate (running requests) / (mean duration). A request waits for
// those of higher priority. Among those of equal priority, it waits for the share of the remaining
// rate that the weight of its team gives. Late requests start after those that can be on time, so
// they delay only other late ones.
Milliseconds AdmissionQueue::ExpectedWait(const AdmissionRequest& request, TimePoint now) const {
  auto lane = this->lanes.find(request.lane);
  if (lane == this->lanes.end() || lane->second.mean_service_seconds == 0) return Milliseconds(0);
  if (lane->second.running == 0) return Milliseconds(0);

  double higher = 0;
  double equal = 0;
  double own = 0;
  double team_weight = 1;
  double other_weights = 0;
  for (const auto& [name, team] : this->teams) {
    const bool same_team = name == request.team;
    if (same_team) team_weight = team.spec.weight;
    std::size_t same = 0;
    for (const auto& [flow, ids] : team.flows) {
      if (flow.lane != request.lane) continue;
      if (flow.priority < request.priority) higher += static_cast<double>(ids.size());
      if (flow.priority == request.priority && StartsBefore(flow.late, request, now))
        same += ids.size();
    }
    equal += static_cast<double>(same);
    if (same_team) own += static_cast<double>(same);
    if (!same_team && same > 0) other_weights += team.spec.weight;
  }
  const double ahead_by_weight = own * (team_weight + other_weights) / team_weight;
  const double ahead = higher + std::min(equal, ahead_by_weight);
  const double seconds = ahead * lane->second.mean_service_seconds / lane->second.running;
  return std::chrono::duration_cast<Milliseconds>(FromSeconds(seconds));
}

bool AdmissionQueue::MeetsDeadline(const AdmissionRequest& request, TimePoint now) const {
  if (request.deadline <= now || request.start_by <= now) return false;
  auto lane = this->lanes.find(request.lane);
  // An idle lane admits every request, so that the mean is measured again.
  if (lane == this->lanes.end() || lane->second.running == 0) return true;
  const TimePoint start = now + this->ExpectedWait(request, now);
  const double needed = request.response_started ? 0 : lane->second.ServiceSecondsUpperBound();
  return start <= request.start_by && start + FromSeconds(needed) <= request.deadline;
}

Result<AdmissionId> AdmissionQueue::Enqueue(const AdmissionRequest& request, TimePoint now) {
  Team& team = this->TeamOf(request.team);
  if (!request.is_retry) {
    this->RecordDemand(team, now);
    if (this->waiting.size() >= this->options.max_queued) {
      return NotRun(ErrorCode::kResourceExhausted, "the queue of this node is full");
    }
    if (team.queued >= static_cast<std::size_t>(std::max(1, team.spec.max_queued_per_node))) {
      return NotRun(ErrorCode::kResourceExhausted,
                    "the queue of team " + request.team.value + " is full");
    }
  }
  if (!this->MeetsDeadline(request, now)) {
    return NotRun(ErrorCode::kDeadlineExceeded,
                  "the request cannot be served before its deadline; expected wait " +
                      std::to_string(this->ExpectedWait(request, now).count()) + " ms");
  }
  if (!request.is_retry && !this->TryTakeRateToken(team, now)) {
    return NotRun(ErrorCode::kResourceExhausted,
                  "team " + request.team.value + " is over its request rate");
  }

  // A team without waiting requests does not accumulate credit for unused capacity.
  Lane& lane = this->lanes[request.lane];
  const bool backlogged = std::any_of(team.flows.begin(), team.flows.end(), [&](const auto& flow) {
    return flow.first.lane == request.lane;
  });
  double& start_tag = lane.start_tags[request.team];
  if (!backlogged) start_tag = std::max(start_tag, lane.virtual_time);

  const AdmissionId id = ++this->last_id;
  const bool late = request.on_time_by <= now;
  auto& ids = team.flows[{request.lane, request.priority, late}];
  ++team.queued;
  ++lane.queued[static_cast<std::size_t>(request.priority)];
  if (request.is_retry) {
    ids.push_front(id);  // The request has already waited before its first attempt.
  } else {
    ids.push_back(id);
  }
  this->by_deadline.emplace(EarliestDeadline(request), id);
  if (!late && request.on_time_by != Deadline::max())
    this->by_on_time.emplace(request.on_time_by, id);
  this->waiting.emplace(id, Waiting{request, now, late});
  return id;
}

void AdmissionQueue::MoveLate(TimePoint now) {
  while (!this->by_on_time.empty() && this->by_on_time.begin()->first <= now) {
    const AdmissionId id = this->by_on_time.begin()->second;
    this->by_on_time.erase(this->by_on_time.begin());
    Waiting& entry = this->waiting.at(id);
    entry.late = true;
    Team& team = this->TeamOf(entry.request.team);
    const auto flow = team.flows.find({entry.request.lane, entry.request.priority, false});
    std::erase(flow->second, id);
    if (flow->second.empty()) team.flows.erase(flow);
    team.flows[{entry.request.lane, entry.request.priority, true}].push_back(id);
  }
}

int AdmissionQueue::AgedPriority(const Waiting& entry, TimePoint now) const {
  const auto steps = (now - entry.since) / this->options.aging_step;
  return std::max<int>(0, static_cast<int>(entry.request.priority) - static_cast<int>(steps));
}

int AdmissionQueue::BestWaitingPriority(const Lane& lane) {
  const auto best = std::find_if(lane.queued.begin(), lane.queued.end(),
                                 [](std::size_t count) { return count > 0; });
  return static_cast<int>(best - lane.queued.begin());
}

// Aging raises a request at most to the highest original priority that waits in its lane. Raising
// it further would put a team with a small share ahead of teams of equal priority, and so undo the
// sharing by weight.
std::optional<AdmissionId> AdmissionQueue::Next(const std::set<std::string>& blocked_lanes,
                                                TimePoint now) const {
  std::optional<AdmissionId> best;
  std::tuple<int, bool, double> best_rank;
  for (const auto& [name, team] : this->teams) {
    for (const auto& [flow, ids] : team.flows) {
      if (blocked_lanes.contains(flow.lane)) continue;
      const Lane& lane = this->lanes.at(flow.lane);
      const int aged = this->AgedPriority(this->waiting.at(ids.front()), now);
      const std::tuple<int, bool, double> rank{std::max(BestWaitingPriority(lane), aged), flow.late,
                                               lane.start_tags.at(name) - lane.virtual_time};
      if (best && best_rank <= rank) continue;
      best = ids.front();
      best_rank = rank;
    }
  }
  return best;
}

const std::string& AdmissionQueue::LaneOf(AdmissionId id) const {
  return this->waiting.at(id).request.lane;
}

std::size_t AdmissionQueue::QueuedBefore(const AdmissionRequest& request, TimePoint now) const {
  // Retries are put in front of the requests of their priority.
  if (request.is_retry) return 0;
  std::size_t before = 0;
  for (const auto& [name, team] : this->teams) {
    for (const auto& [flow, ids] : team.flows) {
      if (flow.lane != request.lane || request.priority < flow.priority) continue;
      if (flow.priority == request.priority && !StartsBefore(flow.late, request, now)) continue;
      before += ids.size();
    }
  }
  return before;
}

void AdmissionQueue::Remove(AdmissionId id) {
  const auto& [request, since, late] = this->waiting.at(id);
  Team& team = this->TeamOf(request.team);
  auto flow = team.flows.find({request.lane, request.priority, late});
  std::erase(flow->second, id);
  if (flow->second.empty()) team.flows.erase(flow);
  --team.queued;
  --this->lanes.at(request.lane).queued[static_cast<std::size_t>(request.priority)];
  this->by_deadline.erase({EarliestDeadline(request), id});
  this->by_on_time.erase({request.on_time_by, id});
  this->waiting.erase(id);
}

void AdmissionQueue::Start(AdmissionId id, TimePoint now) {
  const AdmissionRequest request = this->waiting.at(id).request;
  Lane& lane = this->lanes.at(request.lane);
  double& start_tag = lane.start_tags.at(request.team);
  lane.virtual_time = std::max(lane.virtual_time, start_tag);
  start_tag += request.cost / std::max(this->TeamOf(request.team).spec.weight, 1e-3);
  this->Remove(id);
  ++lane.running;
  this->running_requests.emplace(id, Running{request.lane, now});
}

void AdmissionQueue::Finish(AdmissionId id, bool served, TimePoint now) {
  auto found = this->running_requests.find(id);
  if (found == this->running_requests.end()) return;
  Lane& lane = this->lanes.at(found->second.lane);
  --lane.running;
  if (served) {
    const double seconds = Seconds(now - found->second.since);
    // A request that ran alone may have been admitted only to measure the lane again.
    const double weight = lane.mean_service_seconds == 0 ? 1
                          : lane.running == 0            ? kSoleRequestWeight
                                                         : kServiceTimeWeight;
    const double distance = std::abs(seconds - lane.mean_service_seconds);
    if (lane.mean_service_seconds > 0) {
      lane.mean_deviation_seconds += weight * (distance - lane.mean_deviation_seconds);
    }
    lane.mean_service_seconds += weight * (seconds - lane.mean_service_seconds);
  }
  this->running_requests.erase(found);
}

bool AdmissionQueue::Cancel(AdmissionId id) {
  if (!this->waiting.contains(id)) return false;
  this->Remove(id);
  return true;
}

std::vector<AdmissionId> AdmissionQueue::Expire(TimePoint now) {
  std::vector<AdmissionId> expired;
  double longest = 0;
  for (const auto& [name, lane] : this->lanes)
    longest = std::max(longest, lane.ServiceSecondsUpperBound());
  for (const auto& [deadline, id] : this->by_deadline) {
    if (deadline > now + FromSeconds(longest)) break;
    const AdmissionRequest& request = this->waiting.at(id).request;
    const Lane& lane = this->lanes.at(request.lane);
    const bool measured = lane.running > 0 && !request.response_started;
    const double needed = measured ? lane.ServiceSecondsUpperBound() : 0;
    if (request.start_by <= now || request.deadline <= now + FromSeconds(needed)) {
      expired.push_back(id);
    }
  }
  for (AdmissionId id : expired) this->Remove(id);
  return expired;
}

void RetryBudget::OnRequest(double share) {
  this->available_attempts = std::min(kMaxAttempts, this->available_attempts + share);
}

bool RetryBudget::TryTake() {
  if (this->available_attempts < 1) return false;
  this->available_attempts -= 1;
  return true;
}

}  // namespace limpetfall
