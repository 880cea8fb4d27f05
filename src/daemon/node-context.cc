#include "daemon/node-context.h"

#include <algorithm>
#include <chrono>

namespace limpetfall {

void NodeContext::SetVms(std::vector<Vm> list) {
  auto next = std::make_shared<const std::vector<Vm>>(std::move(list));
  const std::lock_guard lock(this->mutex);
  // Users compare the pointer to determine whether the list has changed.
  if (this->vms && *this->vms == *next) return;
  this->vms = std::move(next);
}

std::shared_ptr<const std::vector<Vm>> NodeContext::Vms() const {
  const std::lock_guard lock(this->mutex);
  return this->vms;
}

bool NodeContext::OwnsDomain(const DomainId& domain) const {
  return this->nodes->OwnerOf(domain) == this->settings.node;
}

NodeReachability NodeContext::Contact(TimePoint now) const {
  NodeReachability contact;
  contact.known_nodes = static_cast<int>(this->nodes->Members().size());
  const std::vector<NodeId> reachable = this->ReachableNodes();
  contact.reachable_nodes = 1 + static_cast<int>(reachable.size());
  for (const NodeId& peer : reachable) {
    const auto entry = this->state->Find(std::string(kFreshnessPrefix) + peer.value, now);
    if (entry) contact.confirmed_peer_reachable = true;
  }
  return contact;
}

std::vector<NodeId> NodeContext::ReachableNodes() const {
  return this->nodes->ReachableMembers(Milliseconds(this->settings.config_fresh_ms));
}

bool NodeContext::IsConsideredRunning(const NodeId& node) const {
  const std::vector<NodeInfo> members = this->nodes->Members();
  return std::any_of(members.begin(), members.end(), [&](const NodeInfo& member) {
    return member.node == node && member.state != MemberState::kDead;
  });
}

AddressList NodeContext::AddressesFor(const ZoneId& zone) const {
  return {this->nodes->CallerAddresses(zone), this->settings.address_ttl_ms};
}

std::uint64_t FirstEntryVersion() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

std::shared_ptr<const VersionedDocument> NodeContext::Current() const {
  const TimePoint now = Clock::now();
  // Contact with other nodes is checked only after the confirmation has expired.
  if (now >= this->config.confirmed_until() && !this->config.MayServeNow(this->Contact(now), now)) {
    return nullptr;
  }
  return this->config.Current();
}

}  // namespace limpetfall
