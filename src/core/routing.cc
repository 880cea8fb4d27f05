#include "core/routing.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace limpetfall {
namespace {

// Prompts of one team begin with the same instructions, followed by the caller's own text.
constexpr std::size_t kPrefixBytes = 256;

// Limits of prefix affinity: a preferred group is used up to this factor times the mean load of the
// other candidates plus the margin. Above it, the group is chosen by load.
constexpr double kAffinityLoadFactor = 1.25;
constexpr double kAffinityLoadMargin = 1;

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

bool PassesServingGate(const detail::GroupEntry& entry, const RouteRequest& request,
                       TimePoint now) {
  const GroupSummary& group = entry.summary;
  if (group.state != GroupState::kServing || group.members.empty()) return false;
  if (entry.serve_until <= now || entry.suspended_until > now) return false;
  if (group.model != request.model || group.version != request.version) return false;
  return ZoneAllowed(request.zones, group.zone) && !Contains(request.excluded, KeyOf(group));
}

bool HasRoom(const detail::GroupEntry& entry, const RouteRequest& request, int node_count) {
  if (request.suspect && entry.suspects > 0) return false;
  return entry.load.HasRoom(request.max_in_flight, std::max(1, request.max_in_flight / node_count));
}

using GroupEntries = std::vector<std::shared_ptr<detail::GroupEntry>>;

std::uint64_t RendezvousScore(const detail::GroupEntry& entry, std::uint64_t prefix_hash) {
  return Hash(entry.summary.group.value, Hash(entry.summary.domain.value, prefix_hash));
}

// The mean is over the other candidates only. If it included the load of the group itself, a slow
// group would raise its own threshold above the in-flight limit and keep its prefixes while other
// groups have capacity.
bool IsOverloaded(const detail::GroupEntry& entry, const GroupEntries& candidates) {
  if (candidates.size() == 1) return false;
  double sum = -entry.load.total_in_flight();
  for (const auto& candidate : candidates) sum += candidate->load.total_in_flight();
  const double mean = sum / static_cast<double>(candidates.size() - 1);
  return entry.load.total_in_flight() > kAffinityLoadFactor * mean + kAffinityLoadMargin;
}

// Returns the less loaded of two distinct random candidates.
template <typename Pointer>
const Pointer& ChooseLessLoadedOfTwo(const std::vector<Pointer>& candidates,
                                     std::mt19937_64& random) {
  if (candidates.size() == 1) return candidates.front();
  std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
  std::uniform_int_distribution<std::size_t> other(1, candidates.size() - 1);
  const std::size_t first = any(random);
  const std::size_t second = (first + other(random)) % candidates.size();
  return candidates[second]->load.total_in_flight() < candidates[first]->load.total_in_flight()
             ? candidates[second]
             : candidates[first];
}

const std::shared_ptr<detail::GroupEntry>& ChooseByPrefixAndLoad(const GroupEntries& candidates,
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
  if (!IsOverloaded(**preferred, candidates)) return *preferred;
  return ChooseLessLoadedOfTwo(candidates, random);
}

const std::shared_ptr<detail::GroupEntry>& ChooseGroup(RoutingPolicy policy,
                                                       const GroupEntries& candidates,
                                                       const RouteRequest& request,
                                                       detail::GroupShard& shard) {
  switch (policy) {
    case RoutingPolicy::kRoundRobin:
      return candidates[shard.round_robin_position++ % candidates.size()];
    case RoutingPolicy::kLeastInFlight:
      return *std::min_element(candidates.begin(), candidates.end(),
                               [](const auto& left, const auto& right) {
                                 return left->load.own_in_flight() < right->load.own_in_flight();
                               });
    case RoutingPolicy::kPrefixAndLoad:
      break;
  }
  return ChooseByPrefixAndLoad(candidates, request, shard.random);
}

}  // namespace

std::uint64_t PrefixHash(const ModelName& model, std::string_view prompt) {
  return Hash(prompt.substr(0, kPrefixBytes), Hash(model.value, 0));
}

namespace detail {

// Reports are delayed and can include requests of this node that have ended. Subtracting this
// node's peak in flight since the last report avoids counting those as load from other nodes.
void LoadEstimate::OnReport(int reported) {
  this->other_nodes_in_flight = std::max(0, reported - this->peak_since_report);
  this->peak_since_report = this->in_flight;
}

void LoadEstimate::OnStart() {
  ++this->in_flight;
  this->peak_since_report = std::max(this->peak_since_report, this->in_flight);
}

void LoadEstimate::OnFinish() { --this->in_flight; }

// Without a guaranteed share, nodes that hold all slots would keep them, and slots that other nodes
// have freed would stay unused until the next report.
bool LoadEstimate::HasRoom(int limit, int guaranteed) const {
  return this->in_flight < limit &&
         (this->in_flight < guaranteed || this->total_in_flight() < limit);
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

void GroupTable::RemoveEntryOfOldModel(const GroupSummary& summary) {
  const GroupKey key = KeyOf(summary);
  auto [indexed, inserted] = this->index.try_emplace(key, summary.model);
  if (inserted || indexed->second == summary.model) return;
  const auto& old_shard = this->ShardOf(indexed->second);
  const std::lock_guard lock(old_shard->mutex);
  auto found = old_shard->groups.find(key);
  if (found == old_shard->groups.end()) {
    indexed->second = summary.model;
    return;
  }
  if (found->second->summary.generation > summary.generation) return;
  old_shard->groups.erase(found);
  indexed->second = summary.model;
}

void GroupTable::Update(const GroupSummary& summary, Deadline serve_until, TimePoint now) {
  const std::lock_guard index_lock(this->index_mutex);
  this->RemoveEntryOfOldModel(summary);
  const GroupKey key = KeyOf(summary);
  if (this->index.at(key) != summary.model) return;

  const auto& shard = this->ShardOf(summary.model);
  const std::lock_guard lock(shard->mutex);
  std::erase_if(shard->groups, [&](const auto& item) {
    return item.first != key && item.second->serve_until <= now &&
           item.second->load.own_in_flight() == 0;
  });
  auto& entry = shard->groups[key];
  if (!entry || entry->summary.generation < summary.generation) {
    // Requests of the old generation hold the old entry, so the new one does not count their load.
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
  GroupEntries candidates;
  bool any_serving = false;
  for (const auto& [key, entry] : shard->groups) {
    if (!PassesServingGate(*entry, request, now)) continue;
    any_serving = true;
    if (HasRoom(*entry, request, this->node_count)) candidates.push_back(entry);
  }
  if (!any_serving) {
    return NotRun(ErrorCode::kUnavailable, "no group serves model " + request.model.value +
                                               " version " + request.version.value);
  }
  if (candidates.empty()) {
    return NotRun(ErrorCode::kResourceExhausted,
                  "all groups of model " + request.model.value + " are at their in-flight limit");
  }
  return GroupTicket(shard, ChooseGroup(this->policy, candidates, request, *shard), request);
}

int GroupTable::in_flight() const {
  int sum = 0;
  for (const auto& shard : this->shards) {
    const std::lock_guard lock(shard->mutex);
    for (const auto& [key, entry] : shard->groups) sum += entry->load.own_in_flight();
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
  auto& current = shard->services[spec.name];
  std::map<std::string, std::shared_ptr<detail::UpstreamEntry>> updated;
  for (const ServiceUpstream& upstream : spec.upstreams) {
    auto found = current.find(upstream.address);
    auto& entry = updated[upstream.address];
    entry = found == current.end() ? std::make_shared<detail::UpstreamEntry>() : found->second;
    entry->upstream = upstream;
  }
  current = std::move(updated);
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

void ServiceTable::MarkUnreachable(const ServiceName& service, const std::string& address,
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
    return NotRun(ErrorCode::kUnavailable, "no available upstream of service " + service.value);
  }
  if (candidates.empty()) {
    return NotRun(ErrorCode::kResourceExhausted,
                  "all upstreams of service " + service.value + " are at their in-flight limit");
  }
  return ServiceTicket(shard, ChooseLessLoadedOfTwo(candidates, shard->random));
}

}  // namespace limpetfall
