#include "core/routing.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace limpetfall {
namespace {

// Prompts of one team share instructions at their beginning; the caller's own text follows.
constexpr std::size_t kPrefixBytes = 256;

// A preferred group may carry this much more than the mean of the others before load decides
// instead.
constexpr double kAffinityLoadFactor = 1.25;
constexpr double kAffinityLoadSlack = 1;

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

template <typename T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

bool ZoneAllowed(const std::vector<ZoneId>& zones, const ZoneId& zone) {
  return zones.empty() || Contains(zones, zone);
}

bool PassesGate(const detail::GroupEntry& entry, const RouteRequest& request, TimePoint now) {
  const GroupSummary& group = entry.summary;
  if (group.state != GroupState::kServing || group.members.empty()) return false;
  if (entry.serve_until <= now || entry.suspended_until > now) return false;
  if (group.model != request.model || group.version != request.version) return false;
  return ZoneAllowed(request.zones, group.zone) && !Contains(request.excluded, KeyOf(group));
}

bool HasRoom(const detail::GroupEntry& entry, const RouteRequest& request, int nodes) {
  if (request.suspect && entry.suspects > 0) return false;
  return entry.load.HasRoom(request.max_in_flight, std::max(1, request.max_in_flight / nodes));
}

using Entries = std::vector<std::shared_ptr<detail::GroupEntry>>;

std::uint64_t RendezvousScore(const detail::GroupEntry& entry, std::uint64_t prefix_hash) {
  return Hash(entry.summary.group.value, Hash(entry.summary.domain.value, prefix_hash));
}

// The mean is that of the other candidates. With its own load in it, a slow group raises its
// threshold above the in-flight limit and keeps its prefixes while the others have room.
bool Overloaded(const detail::GroupEntry& entry, const Entries& candidates) {
  if (candidates.size() == 1) return false;
  double sum = -entry.load.total();
  for (const auto& candidate : candidates) sum += candidate->load.total();
  const double mean = sum / static_cast<double>(candidates.size() - 1);
  return entry.load.total() > kAffinityLoadFactor * mean + kAffinityLoadSlack;
}

// Compares the loads of two distinct random candidates.
template <typename Pointer>
const Pointer& LessLoadedOfTwo(const std::vector<Pointer>& candidates, std::mt19937_64& random) {
  if (candidates.size() == 1) return candidates.front();
  std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
  std::uniform_int_distribution<std::size_t> other(1, candidates.size() - 1);
  const std::size_t first = any(random);
  const std::size_t second = (first + other(random)) % candidates.size();
  return candidates[second]->load.total() < candidates[first]->load.total() ? candidates[second]
                                                                            : candidates[first];
}

const std::shared_ptr<detail::GroupEntry>& ByPrefixAndLoad(const Entries& candidates,
                                                           const RouteRequest& request,
                                                           std::mt19937_64& random) {
  for (const auto& candidate : candidates) {
    if (request.fingerprint != 0 && candidate->fingerprints.contains(request.fingerprint)) {
      return candidate;
    }
  }
  const auto preferred = std::max_element(candidates.begin(), candidates.end(),
                                          [&](const auto& left, const auto& right) {
                                            return RendezvousScore(*left, request.prefix_hash) <
                                                   RendezvousScore(*right, request.prefix_hash);
                                          });
  if (!Overloaded(**preferred, candidates)) return *preferred;
  return LessLoadedOfTwo(candidates, random);
}

const std::shared_ptr<detail::GroupEntry>& Choose(RoutingPolicy policy, const Entries& candidates,
                                                  const RouteRequest& request,
                                                  detail::GroupShard& shard) {
  switch (policy) {
    case RoutingPolicy::kRoundRobin:
      return candidates[shard.choices++ % candidates.size()];
    case RoutingPolicy::kLeastInFlight:
      return *std::min_element(
          candidates.begin(), candidates.end(),
          [](const auto& left, const auto& right) { return left->load.own() < right->load.own(); });
    case RoutingPolicy::kPrefixAndLoad:
      break;
  }
  return ByPrefixAndLoad(candidates, request, shard.random);
}

}  // namespace

std::uint64_t PrefixHash(const ModelName& model, std::string_view prompt) {
  return Hash(prompt.substr(0, kPrefixBytes), Hash(model.value, 0));
}

namespace detail {

// Reports lag, so they can still count requests of this node that have ended. Subtracting the most
// that this node had in flight since the last report keeps those from being taken for others' load.
void LoadEstimate::OnReport(int reported) {
  this->others = std::max(0, reported - this->peak_since_report);
  this->peak_since_report = this->in_flight;
}

void LoadEstimate::OnStart() {
  ++this->in_flight;
  this->peak_since_report = std::max(this->peak_since_report, this->in_flight);
}

void LoadEstimate::OnFinish() { --this->in_flight; }

// Without a guaranteed share, the nodes that hold all slots would keep them, and slots that others
// have left would stay empty until the next report.
bool LoadEstimate::HasRoom(int limit, int guaranteed) const {
  return this->in_flight < limit && (this->in_flight < guaranteed || this->total() < limit);
}

}  // namespace detail

GroupTicket::GroupTicket(std::shared_ptr<detail::GroupShard> shard,
                         std::shared_ptr<detail::GroupEntry> entry, const RouteRequest& request)
    : shard(std::move(shard)),
      entry(std::move(entry)),
      summary(this->entry->summary),
      fingerprint(request.fingerprint),
      suspect(request.suspect) {
  this->entry->load.OnStart();
  this->entry->fingerprints.insert(this->fingerprint);
  if (this->suspect) ++this->entry->suspects;
}

GroupTicket& GroupTicket::operator=(GroupTicket&& other) noexcept {
  if (this == &other) return *this;
  this->Release();
  this->shard = std::move(other.shard);
  this->entry = std::move(other.entry);
  this->summary = std::move(other.summary);
  this->fingerprint = other.fingerprint;
  this->suspect = other.suspect;
  return *this;
}

GroupTicket::~GroupTicket() { this->Release(); }

void GroupTicket::Release() {
  if (!this->entry) return;
  const std::lock_guard lock(this->shard->mutex);
  this->entry->load.OnFinish();
  auto& fingerprints = this->entry->fingerprints;
  if (auto found = fingerprints.find(this->fingerprint); found != fingerprints.end()) {
    fingerprints.erase(found);
  }
  if (this->suspect) --this->entry->suspects;
  this->entry.reset();
}

GroupTable::GroupTable(std::uint64_t seed, RoutingPolicy policy) : policy(policy) {
  for (auto& shard : this->shards) {
    shard = std::make_shared<detail::GroupShard>();
    shard->random.seed(seed++);
  }
}

const std::shared_ptr<detail::GroupShard>& GroupTable::ShardOf(const ModelName& model) const {
  return this->shards[std::hash<ModelName>{}(model) % kShards];
}

void GroupTable::ForgetOtherModel(const GroupSummary& summary) {
  const GroupKey key = KeyOf(summary);
  auto [known, inserted] = this->index.try_emplace(key, summary.model);
  if (inserted || known->second == summary.model) return;
  const auto& old_shard = this->ShardOf(known->second);
  const std::lock_guard lock(old_shard->mutex);
  auto found = old_shard->groups.find(key);
  if (found == old_shard->groups.end()) {
    known->second = summary.model;
    return;
  }
  if (found->second->summary.generation > summary.generation) return;
  old_shard->groups.erase(found);
  known->second = summary.model;
}

void GroupTable::Update(const GroupSummary& summary, Deadline serve_until, TimePoint now) {
  const std::lock_guard index_lock(this->index_mutex);
  this->ForgetOtherModel(summary);
  const GroupKey key = KeyOf(summary);
  if (this->index.at(key) != summary.model) return;

  const auto& shard = this->ShardOf(summary.model);
  const std::lock_guard lock(shard->mutex);
  std::erase_if(shard->groups, [&](const auto& item) {
    return item.first != key && item.second->serve_until <= now && item.second->load.own() == 0;
  });
  auto& entry = shard->groups[key];
  if (!entry || entry->summary.generation < summary.generation) {
    // Requests of the old generation hold the old entry, so their load is not counted here.
    entry = std::make_shared<detail::GroupEntry>();
  } else if (entry->summary.generation > summary.generation) {
    return;
  }
  entry->summary = summary;
  entry->serve_until = serve_until;
  entry->load.OnReport(summary.running + summary.queued);
}

void GroupTable::Suspend(const GroupSummary& group, Deadline until) {
  const auto& shard = this->ShardOf(group.model);
  const std::lock_guard lock(shard->mutex);
  auto found = shard->groups.find(KeyOf(group));
  if (found == shard->groups.end()) return;
  if (found->second->summary.generation != group.generation) return;
  found->second->suspended_until = std::max(found->second->suspended_until, until);
}

Result<GroupTicket> GroupTable::Acquire(const RouteRequest& request, TimePoint now) {
  const auto& shard = this->ShardOf(request.model);
  const std::lock_guard lock(shard->mutex);
  Entries candidates;
  bool any_serving = false;
  for (const auto& [key, entry] : shard->groups) {
    if (!PassesGate(*entry, request, now)) continue;
    any_serving = true;
    if (HasRoom(*entry, request, this->nodes)) candidates.push_back(entry);
  }
  if (!any_serving) {
    return NotRun(ErrorCode::kUnavailable, "no group serves model " + request.model.value +
                                               " version " + request.version.value);
  }
  if (candidates.empty()) {
    return NotRun(ErrorCode::kResourceExhausted,
                  "all groups of model " + request.model.value + " are at their in-flight limit");
  }
  return GroupTicket(shard, Choose(this->policy, candidates, request, *shard), request);
}

int GroupTable::in_flight() const {
  int sum = 0;
  for (const auto& shard : this->shards) {
    const std::lock_guard lock(shard->mutex);
    for (const auto& [key, entry] : shard->groups) sum += entry->load.own();
  }
  return sum;
}

std::vector<GroupSummary> GroupTable::Serving(TimePoint now) const {
  std::vector<GroupSummary> serving;
  for (const auto& shard : this->shards) {
    const std::lock_guard lock(shard->mutex);
    for (const auto& [key, entry] : shard->groups) {
      if (entry->summary.state == GroupState::kServing && entry->serve_until > now &&
          entry->suspended_until <= now) {
        serving.push_back(entry->summary);
      }
    }
  }
  return serving;
}

ServiceTicket::ServiceTicket(std::shared_ptr<detail::ServiceShard> shard,
                             std::shared_ptr<detail::UpstreamEntry> entry)
    : shard(std::move(shard)),
      entry(std::move(entry)),
      upstream_address(this->entry->upstream.address) {
  this->entry->load.OnStart();
}

ServiceTicket& ServiceTicket::operator=(ServiceTicket&& other) noexcept {
  if (this == &other) return *this;
  this->Release();
  this->shard = std::move(other.shard);
  this->entry = std::move(other.entry);
  this->upstream_address = std::move(other.upstream_address);
  return *this;
}

ServiceTicket::~ServiceTicket() { this->Release(); }

void ServiceTicket::Release() {
  if (!this->entry) return;
  const std::lock_guard lock(this->shard->mutex);
  this->entry->load.OnFinish();
  this->entry.reset();
}

ServiceTable::ServiceTable(std::uint64_t seed) {
  for (auto& shard : this->shards) {
    shard = std::make_shared<detail::ServiceShard>();
    shard->random.seed(seed++);
  }
}

const std::shared_ptr<detail::ServiceShard>& ServiceTable::ShardOf(
    const ServiceName& service) const {
  return this->shards[std::hash<ServiceName>{}(service) % kShards];
}

void ServiceTable::SetUpstreams(const ServiceSpec& spec) {
  const auto& shard = this->ShardOf(spec.name);
  const std::lock_guard lock(shard->mutex);
  auto& known = shard->services[spec.name];
  std::map<std::string, std::shared_ptr<detail::UpstreamEntry>> wanted;
  for (const ServiceUpstream& upstream : spec.upstreams) {
    auto found = known.find(upstream.address);
    auto& entry = wanted[upstream.address];
    entry = found == known.end() ? std::make_shared<detail::UpstreamEntry>() : found->second;
    entry->upstream = upstream;
  }
  known = std::move(wanted);
}

void ServiceTable::OnReport(const ServiceName& service, const std::string& address,
                            const ServiceReport& report) {
  const auto& shard = this->ShardOf(service);
  const std::lock_guard lock(shard->mutex);
  auto& upstreams = shard->services[service];
  auto found = upstreams.find(address);
  if (found == upstreams.end()) return;
  found->second->leaving = report.leaving;
  found->second->unreachable_until = Deadline();
  found->second->load.OnReport(report.running + report.queued);
}

void ServiceTable::OnUnreachable(const ServiceName& service, const std::string& address,
                                 Deadline until) {
  const auto& shard = this->ShardOf(service);
  const std::lock_guard lock(shard->mutex);
  auto& upstreams = shard->services[service];
  if (auto found = upstreams.find(address); found != upstreams.end()) {
    found->second->unreachable_until = until;
  }
}

Result<ServiceTicket> ServiceTable::Acquire(const ServiceName& service,
                                            const std::vector<ZoneId>& zones,
                                            const std::vector<std::string>& excluded,
                                            int max_in_flight, TimePoint now) {
  const auto& shard = this->ShardOf(service);
  const std::lock_guard lock(shard->mutex);
  std::vector<std::shared_ptr<detail::UpstreamEntry>> candidates;
  bool any_available = false;
  for (const auto& [address, entry] : shard->services[service]) {
    if (entry->leaving || entry->unreachable_until > now) continue;
    if (!ZoneAllowed(zones, entry->upstream.zone) || Contains(excluded, address)) continue;
    any_available = true;
    if (entry->load.HasRoom(max_in_flight, 1)) candidates.push_back(entry);
  }
  if (!any_available) {
    return NotRun(ErrorCode::kUnavailable, "no upstream of service " + service.value);
  }
  if (candidates.empty()) {
    return NotRun(ErrorCode::kResourceExhausted,
                  "all upstreams of service " + service.value + " are at their in-flight limit");
  }
  return ServiceTicket(shard, LessLoadedOfTwo(candidates, shard->random));
}

}  // namespace limpetfall
