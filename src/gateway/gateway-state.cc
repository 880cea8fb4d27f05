#include "base/log.h"
#include "gateway/gateway-node.h"
#include "gateway/plan-codec.h"

namespace limpetfall {

GatewayState::GatewayState(boost::asio::io_context& context, GatewayOptions settings,
                           std::shared_ptr<Metrics> counters)
    : io(context),
      options(std::move(settings)),
      metrics(std::move(counters)),
      pool(context),
      dispatch(this->options.dispatch),
      relay(context, this->options.relay, this->dispatch, this->pool, this->metrics),
      peers(PeerOptions{this->options.node}) {
  this->relay.SetNodes(this->options.max_nodes);
}

void GatewayState::Apply(DeploymentChange change) {
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

void GatewayState::ApplyOwn(const StateItem& item) {
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
  this->relay.SetContext({this->routes, this->confirmed, this->stopping});
  this->relay.Pump();
}

void GatewayState::Confirm(BootTime time) {
  this->confirmed = std::max(this->confirmed, time);
  this->relay.SetContext({this->routes, this->confirmed, this->stopping});
}

bool GatewayState::IsReady() const {
  if (!this->routes || this->stopping) return false;
  return BootClock::now() < this->confirmed + this->options.relay.key_proof_lifetime;
}

std::vector<std::string> GatewayState::CallerAddresses(const std::string& zone) const {
  std::vector<std::string> near;
  std::vector<std::string> far;
  if (this->IsReady()) {
    (this->options.zone.value == zone ? near : far).push_back(this->options.caller_address);
  }
  for (const Peer* peer : this->peers.Alive(Clock::now())) {
    if (!peer->status.ready) continue;
    (peer->status.zone.value == zone ? near : far).push_back(peer->status.caller_address);
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

}  // namespace limpetfall
