#include "gateway/peers.h"

#include <algorithm>
#include <chrono>

namespace limpetfall {

bool PeerTable::OnStatus(const PeerStatus& status, TimePoint now) {
  if (status.node == this->options.self) return false;
  Peer& peer = this->peers[status.node];
  // The clock of a node starts again from zero when its VM restarts.
  const bool same_incarnation = peer.last_received + this->options.liveness_timeout > now;
  if (same_incarnation && status.sent_at_ns <= peer.status.sent_at_ns) return false;
  peer.status = status;
  peer.interval = std::chrono::duration_cast<Milliseconds>(now - peer.last_received);
  peer.last_received = now;
  // The peer stated the proof's age when it sent this message, which was after this node had sent
  // the echoed time. Counting from the echoed time needs no common clock.
  if (status.proof_age_ms >= 0 && status.echo_at_ns > 0) {
    const BootTime echoed{std::chrono::nanoseconds(status.echo_at_ns)};
    peer.confirmed =
        std::max(peer.confirmed, echoed - std::chrono::milliseconds(status.proof_age_ms));
  }
  return true;
}

bool Peer::HasRecentProof(Milliseconds proof_age, TimePoint now) const {
  // Standby nodes send one message a second.
  constexpr Milliseconds kMessageAge{1500};
  if (this->status.proof_age_ms < 0 || this->last_received + kMessageAge < now) return false;
  return this->status.proof_age_ms <= proof_age.count();
}

void PeerTable::OnRegistered(const NodeId& node, const std::string& peer_address, TimePoint now) {
  if (node == this->options.self || this->peers.contains(node)) return;
  Peer& peer = this->peers[node];
  peer.status.node = node;
  peer.status.peer_address = peer_address;
  peer.last_received = now - this->options.liveness_timeout;
}

std::map<NodeId, std::string> PeerTable::Addresses(TimePoint now) {
  std::erase_if(this->peers, [&](const auto& entry) {
    return entry.second.last_received + this->options.retention_time < now;
  });
  std::map<NodeId, std::string> addresses;
  for (const auto& [node, peer] : this->peers) addresses.emplace(node, peer.status.peer_address);
  return addresses;
}

std::uint64_t PeerTable::LastSentAtNs(const NodeId& node) const {
  const auto found = this->peers.find(node);
  return found == this->peers.end() ? 0 : found->second.status.sent_at_ns;
}

bool PeerTable::IsAlive(const Peer& peer, TimePoint now) const {
  constexpr Milliseconds kLongestInterval{1000};
  const Milliseconds interval = std::min(peer.interval, kLongestInterval);
  return now < peer.last_received + this->options.liveness_timeout + 2 * interval - interval / 2;
}

std::vector<const Peer*> PeerTable::LivePeers(TimePoint now) const {
  std::vector<const Peer*> alive;
  for (const auto& [node, peer] : this->peers) {
    if (this->IsAlive(peer, now)) alive.push_back(&peer);
  }
  return alive;
}

const Peer* PeerTable::Find(const NodeId& node) const {
  const auto found = this->peers.find(node);
  return found == this->peers.end() ? nullptr : &found->second;
}

ConfigVersion PeerTable::NewestConfigVersion() const {
  ConfigVersion newest = 0;
  for (const auto& [node, peer] : this->peers) {
    newest = std::max(newest, peer.status.config_version);
  }
  return newest;
}

const Peer* PeerTable::MostRecentlyConfirmed(TimePoint now) const {
  const auto alive = this->LivePeers(now);
  const auto most_recent =
      std::max_element(alive.begin(), alive.end(),
                       [](const Peer* a, const Peer* b) { return a->confirmed < b->confirmed; });
  if (most_recent == alive.end() || (*most_recent)->confirmed == BootTime()) return nullptr;
  return *most_recent;
}

}  // namespace limpetfall
