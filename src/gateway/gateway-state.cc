#include <algorithm>
#include <sstream>

#include "base/log.h"
#include "gateway/gateway-node.h"
#include "gateway/plan-codec.h"
#include "gateway/quarantine-codec.h"

namespace limpetfall {
namespace {

// A node that hears no others still counts as many senders of cold upstreams as before, for far
// longer than the usual partition.
constexpr Milliseconds kActiveNodesMemory{60'000};

}  // namespace

std::string EncodeLeader(const NodeId& node, std::uint64_t incarnation, std::int64_t era) {
  return node.value + " " + std::to_string(incarnation) + " " + std::to_string(era);
}

GatewayState::GatewayState(boost::asio::io_context& context, GatewayOptions settings,
                           std::shared_ptr<Metrics> counters)
    : options(std::move(settings)),
      metrics(std::move(counters)),
      request_memory(std::make_shared<RequestMemory>(this->options.listeners.max_request_bytes)),
      pool(context),
      dispatch(this->options.dispatch),
      relay(context, this->options.relay, this->dispatch, this->pool, this->crash_attribution,
            this->metrics),
      peers(PeerOptions{this->options.node}),
      runners(this->options.runners) {
  this->UpdateTrafficSet();
}

void GatewayState::ApplyDeploymentChange(DeploymentChange change, const StateItem& item,
                                         ChangeOrigin origin) {
  const TimePoint now = Clock::now();
  if (auto* runner = std::get_if<Runner>(&change)) {
    this->runners.Apply(std::move(*runner), origin, now);
  } else if (const auto* removed = std::get_if<RunnerRemoved>(&change)) {
    this->runners.Remove(removed->id, origin, now);
  } else if (auto* config = std::get_if<GatewayConfig>(&change)) {
    const ConfigVersion known = this->routes ? this->routes->config().version : 0;
    // In the history that the copy shares, this version has the known revision.
    const bool is_unchanged = item.revision.number == this->config_revision.number;
    this->config_rewritten =
        origin == ChangeOrigin::kWritten || (config->version == known && !is_unchanged);
    this->stored_version = config->version;
    if (known <= config->version) this->config_revision = item.revision;
    this->AdoptConfig(std::move(*config), item);
  } else if (!item.value && item.key == this->config_item.key) {
    this->stored_version = 0;
  } else if (const auto* evacuation = std::get_if<ZoneEvacuation>(&change)) {
    this->ApplyEvacuation(*evacuation, item, origin, now);
  }
}

void GatewayState::ApplyEvacuation(const ZoneEvacuation& change, const StateItem& item,
                                   ChangeOrigin origin, TimePoint now) {
  const auto& known = this->runners.runners();
  const bool has_runners = std::any_of(known.begin(), known.end(), [&](const auto& entry) {
    return entry.second.zone == change.zone;
  });
  if (!this->evacuations.Apply(change, item.revision, origin, now)) return;
  Log(has_runners ? LogLevel::kInfo : LogLevel::kWarning,
      change.requested ? "evacuation_begins" : "evacuation_ends",
      {{"zone", change.zone.value},
       {"revision", item.revision.number},
       {"has_upstreams", has_runners}});
  this->OnEvacuationsChanged();
}

void GatewayState::OnEvacuationsChanged() {
  const std::set<ZoneId> zones = this->EvacuatedZones();
  this->metrics->Set("evacuated_zones", {}, static_cast<double>(zones.size()));
  this->dispatch.SetEvacuations(zones, this->evacuations.ended());
  this->relay.CancelUnservable();
}

std::set<ZoneId> GatewayState::EvacuatedZones() const {
  std::set<ZoneId> zones;
  for (const auto& [zone, revision] : this->evacuations.zones()) zones.insert(zone);
  return zones;
}

bool GatewayState::IsEvacuated(const VmId& upstream) const {
  const auto runner = this->runners.runners().find(upstream);
  return runner != this->runners.runners().end() &&
         this->evacuations.zones().contains(runner->second.zone);
}

void GatewayState::AdoptConfig(GatewayConfig config, const StateItem& item) {
  if (this->routes && config.version <= this->routes->config().version) return;
  Log(LogLevel::kInfo, "configuration",
      {{"version", config.version}, {"routes", config.routes.size()}});
  this->routes =
      std::make_shared<const RouteTable>(std::make_shared<const GatewayConfig>(std::move(config)));
  this->config_item = item;
}

void GatewayState::ApplyLeader(const StateItem& item) {
  this->leader = item.value ? std::optional(item) : std::nullopt;
  std::istringstream value(item.value.value_or(""));
  std::string node;
  std::uint64_t incarnation = 0;
  std::int64_t era = 0;
  value >> node >> incarnation;
  // Earlier programs state no era.
  const bool is_of_earlier_era = value >> era && era != item.revision.era;
  this->leader_node = is_of_earlier_era ? NodeId() : NodeId(node);
  Log(LogLevel::kInfo, "leader", {{"node", item.value.value_or("")}});
}

void GatewayState::ApplyPlan(const StateItem& item, ChangeOrigin origin) {
  GroupPlan stored;
  stored.revision = item.revision;
  if (!item.value) {
    stored.revision.number = 0;
  } else if (auto decoded = DecodePlan(*item.value, item.revision, origin)) {
    stored = std::move(decoded.value());
  } else {
    Log(LogLevel::kError, "plan_unreadable", {{"detail", decoded.error().message}});
  }
  const bool is_newest = this->plan.version <= stored.version;
  if (is_newest) {
    this->plan = std::move(stored);
    return;
  }
  this->plan.revision = stored.revision;
  this->plan.is_stored = false;
}

void GatewayState::AdoptPlan(GroupPlan newer) {
  if (newer.version <= this->plan.version) return;
  newer.revision = this->plan.revision;
  newer.is_stored = false;
  this->plan = std::move(newer);
}

void GatewayState::ApplyQuarantines(const StateItem& item) {
  const TimePoint now = Clock::now();
  if (!item.value) {
    this->stored_quarantines.clear();
    return;
  }
  auto decoded = DecodeQuarantines(*item.value, now, std::chrono::system_clock::now());
  if (!decoded) {
    Log(LogLevel::kError, "quarantines_unreadable", {{"detail", decoded.error().message}});
    return;
  }
  this->stored_quarantines = std::move(decoded.value());
  this->relay.OnQuarantined(this->crash_attribution.Merge({{}, {}, this->stored_quarantines}, now));
}

void GatewayState::ApplyGatewayItem(const StateItem& item, ChangeOrigin origin) {
  if (item.key == gateway_keys::kLeader) {
    this->ApplyLeader(item);
  } else if (item.key == gateway_keys::kPlan) {
    this->ApplyPlan(item, origin);
  } else if (item.key == gateway_keys::kQuarantines) {
    this->ApplyQuarantines(item);
  } else if (item.key.starts_with(gateway_keys::kNodes) && item.value) {
    const NodeId node(item.key.substr(gateway_keys::kNodes.size()));
    this->peers.OnRegistered(node, *item.value, Clock::now());
  }
}

std::vector<StateItem> GatewayState::NewestDocuments() const {
  std::vector<StateItem> documents;
  if (this->routes) documents.push_back(this->config_item);
  if (this->plan.version != PlanVersion()) {
    documents.push_back(
        {std::string(gateway_keys::kPlan), EncodePlan(this->plan), this->plan.revision, 0});
  }
  return documents;
}

ConfigVersion GatewayState::NewestConfigVersion() const {
  const ConfigVersion own = this->routes ? this->routes->config().version : 0;
  return std::max(own, this->peers.NewestConfigVersion());
}

void GatewayState::OnStoreRestored(bool was_seen, TimePoint now) {
  if (!was_seen) this->config_rewritten = false;
  this->rewrite_deadline = now + this->options.runners.rewrite_time;
}

std::vector<VmId> GatewayState::UnconfirmedEngines() const {
  std::vector<VmId> ids = this->runners.Unconfirmed();
  std::erase_if(ids, [&](const VmId& id) {
    const auto& services = this->routes->config().services;
    const auto service = services.find(this->runners.runners().at(id).service);
    return service == services.end() || !service->second.engine;
  });
  return ids;
}

void GatewayState::Refresh() {
  const TimePoint now = Clock::now();
  this->runners.ApplyDue(now, this->store_read);
  for (const ZoneId& zone : this->evacuations.ApplyDue(now)) {
    Log(LogLevel::kWarning, "evacuation_lost", {{"zone", zone.value}});
    this->OnEvacuationsChanged();
  }
  if (!this->routes) return;
  std::map<ServiceName, int> slots;
  std::map<ServiceName, ColdProfile> cold;
  for (const auto& [name, service] : this->routes->config().services) {
    if (service.engine) slots.emplace(name, service.engine->slots);
    if (service.cold) cold.emplace(name, *service.cold);
  }
  this->dispatch.SetColdProfiles(std::move(cold));
  this->dispatch.Update(this->runners.runners(), this->plan, slots, now);
  this->relay.SetContext({this->routes, this->confirmed});
  this->relay.DispatchWaiting();
}

HttpServerOptions GatewayState::ListenerOptions() const {
  HttpServerOptions listener;
  listener.max_connections = this->options.listeners.max_other_connections;
  listener.request_memory = this->request_memory;
  return listener;
}

void GatewayState::ConfirmConfiguration(BootTime copy_confirmed, TimePoint now) {
  if (this->stored_version < this->NewestConfigVersion()) return;
  // A newer configuration that no node has seen may have been lost.
  if (!this->config_rewritten && this->IsRestoring(now)) return;
  this->confirmed = std::max(this->confirmed, copy_confirmed);
}

bool GatewayState::IsReady() const {
  if (!this->routes || this->stopping) return false;
  return BootClock::now() < this->confirmed + this->options.relay.key_proof_lifetime;
}

void GatewayState::UpdateTrafficSet() {
  std::vector<TrafficNode> nodes;
  nodes.push_back(
      {this->options.node, this->options.zone, this->options.capacity, this->IsReady()});
  for (const Peer* peer : this->peers.LivePeers(Clock::now())) {
    nodes.push_back(
        {peer->status.node, peer->status.zone, peer->status.capacity, peer->status.ready});
  }
  const std::size_t live_node_count = nodes.size();
  this->traffic_set = ChooseTrafficSet(std::move(nodes), this->options.traffic);
  const std::size_t retained_node_count = this->peers.Addresses(Clock::now()).size() + 1;
  this->relay.SetRetryShare(
      RetrySlackFraction({this->IsActive(this->options.node), this->traffic_set.active.size(),
                          live_node_count - this->traffic_set.active.size(),
                          std::min(retained_node_count, this->options.traffic.min_nodes)}));
}

void GatewayState::ShareFreeSlots() {
  const std::size_t other_active_nodes =
      this->traffic_set.active.size() - (this->IsActive(this->options.node) ? 1 : 0);
  const TimePoint now = Clock::now();
  this->dispatch.ShareFreeSlots(other_active_nodes + 1, now);
  // A node that this one no longer hears may still send.
  const std::size_t retained =
      std::min(this->peers.Addresses(now).size() + 1, this->options.traffic.min_nodes);
  this->dispatch.StartRateLimitRounds(std::max(other_active_nodes + 1, retained), now);
  // Callers go on using addresses of nodes that were active before, so some more may send. A node
  // that is partitioned from the others still assumes as many.
  const std::size_t active = std::max(other_active_nodes + 1, this->options.traffic.min_nodes);
  if (this->most_active <= active || this->most_active_until <= now) {
    this->most_active = active;
    this->most_active_until = now + kActiveNodesMemory;
  }
  this->dispatch.SetSenderCount(this->most_active + this->most_active / 2);
  this->relay.DispatchWaiting();
}

bool GatewayState::IsActive(const NodeId& node) const {
  return std::find(this->traffic_set.active.begin(), this->traffic_set.active.end(), node) !=
         this->traffic_set.active.end();
}

bool GatewayState::IsWatcher(const NodeId& node) const {
  return std::find(this->traffic_set.watchers.begin(), this->traffic_set.watchers.end(), node) !=
         this->traffic_set.watchers.end();
}

bool GatewayState::IsCore(const NodeId& node) const {
  return this->leader_node == node || this->IsActive(node) || this->IsWatcher(node);
}

std::vector<std::string> GatewayState::CallerAddresses(const std::string& zone) const {
  std::vector<std::string> same_zone_addresses;
  std::vector<std::string> other_zone_addresses;
  for (const NodeId& node : this->traffic_set.active) {
    const Peer* peer = this->peers.Find(node);
    const bool is_self = node == this->options.node;
    if (!is_self && peer == nullptr) continue;
    const ZoneId& node_zone = is_self ? this->options.zone : peer->status.zone;
    const std::string& address =
        is_self ? this->options.caller_address : peer->status.caller_address;
    (node_zone.value == zone ? same_zone_addresses : other_zone_addresses).push_back(address);
  }
  same_zone_addresses.insert(same_zone_addresses.end(), other_zone_addresses.begin(),
                             other_zone_addresses.end());
  return same_zone_addresses;
}

}  // namespace limpetfall
