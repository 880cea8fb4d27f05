#include <algorithm>

#include "base/log.h"
#include "gateway/gateway-node.h"
#include "gateway/plan-codec.h"
#include "gateway/quarantine-codec.h"

namespace limpetfall {

GatewayState::GatewayState(boost::asio::io_context& context, GatewayOptions settings,
                           std::shared_ptr<Metrics> counters)
    : options(std::move(settings)),
      metrics(std::move(counters)),
      pool(context),
      dispatch(this->options.dispatch),
      relay(context, this->options.relay, this->dispatch, this->pool, this->crash_attribution,
            this->metrics),
      peers(PeerOptions{this->options.node}) {
  this->UpdateTrafficSet();
}

void GatewayState::ApplyDeploymentChange(DeploymentChange change) {
  if (auto* runner = std::get_if<Runner>(&change)) {
    this->runner_by_hash[UpstreamHash(runner->id)] = runner->id;
    this->runners.insert_or_assign(runner->id, std::move(*runner));
    return;
  }
  if (const auto* removed = std::get_if<RunnerRemoved>(&change)) {
    this->runners.erase(removed->id);
    this->runner_by_hash.erase(UpstreamHash(removed->id));
    return;
  }
  if (auto* config = std::get_if<GatewayConfig>(&change)) {
    if (this->routes && config->version <= this->routes->config().version) return;
    Log(LogLevel::kInfo, "configuration",
        {{"version", config->version}, {"routes", config->routes.size()}});
    this->routes = std::make_shared<const RouteTable>(
        std::make_shared<const GatewayConfig>(std::move(*config)));
  }
}

void GatewayState::ApplyGatewayItem(const StateItem& item) {
  const TimePoint now = Clock::now();
  if (item.key == gateway_keys::kLeader) {
    this->leader = item.value ? std::optional(item) : std::nullopt;
    Log(LogLevel::kInfo, "leader", {{"node", item.value.value_or("")}});
    return;
  }
  if (item.key == gateway_keys::kPlan && item.value) {
    if (auto decoded = DecodePlan(*item.value, item.revision)) {
      this->plan = std::move(decoded.value());
    } else {
      Log(LogLevel::kError, "plan_unreadable", {{"detail", decoded.error().message}});
    }
    return;
  }
  if (item.key == gateway_keys::kQuarantines && item.value) {
    if (auto decoded = DecodeQuarantines(*item.value, now, std::chrono::system_clock::now())) {
      this->stored_quarantines = std::move(decoded.value());
      this->relay.OnQuarantined(
          this->crash_attribution.Merge({{}, {}, this->stored_quarantines}, now));
    } else {
      Log(LogLevel::kError, "quarantines_unreadable", {{"detail", decoded.error().message}});
    }
    return;
  }
  if (item.key.starts_with(gateway_keys::kNodes) && item.value) {
    const NodeId node(item.key.substr(gateway_keys::kNodes.size()));
    this->peers.OnRegistered(node, *item.value, now);
  }
}

void GatewayState::Refresh() {
  if (!this->routes) return;
  std::map<ServiceName, int> slots;
  for (const auto& [name, service] : this->routes->config().services) {
    if (service.engine) slots.emplace(name, service.engine->slots);
  }
  this->dispatch.Update(this->runners, this->plan, slots, Clock::now());
  this->relay.SetContext({this->routes, this->confirmed});
  this->relay.DispatchWaiting();
}

void GatewayState::SetConfirmed(BootTime time) {
  this->confirmed = std::max(this->confirmed, time);
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
  this->relay.DispatchWaiting();
}

const VmId* GatewayState::FindByHash(std::uint64_t hash) const {
  const auto found = this->runner_by_hash.find(hash);
  return found == this->runner_by_hash.end() ? nullptr : &found->second;
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
  const bool leads = this->leader && this->leader->value->starts_with(node.value + " ");
  return leads || this->IsActive(node) || this->IsWatcher(node);
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
