#ifndef LIMPETFALL_GATEWAY_PEERS_H_
#define LIMPETFALL_GATEWAY_PEERS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot-clock.h"
#include "gateway/peer-wire.h"
#include "limpetfall/time.h"

namespace limpetfall {

struct PeerOptions {
  NodeId self;
  /** A node that was not heard for this long is not given to callers: the longer of this time and
   * of two intervals between its messages, which nodes that stand by send less often. */
  Milliseconds liveness_timeout{1200};
  /** A node that was not heard for this long is no longer sent messages. */
  Milliseconds retention_time{60000};
};

/** What this node knows of another one. */
struct Peer {
  PeerStatus status;
  TimePoint last_received;
  Milliseconds interval{0};  ///< Between its last two messages.
  BootTime confirmed;        ///< When its copy of the store certainly was the newest.

  /** Says whether its last message, a recent one, states a proof of at most this age. */
  [[nodiscard]] bool HasRecentProof(Milliseconds proof_age, TimePoint now) const;

  friend bool operator==(const Peer&, const Peer&) = default;
};

/** The other gateway nodes by their own messages. Pure; messages are sent by the owner. */
class PeerTable {
 public:
  explicit PeerTable(PeerOptions settings) : options(std::move(settings)) {}

  /** Takes a message in. Returns false for one of this node or older than the last. */
  bool OnStatus(const PeerStatus& status, TimePoint now);

  /** Notes the address of a node that has registered but was not heard yet. */
  void OnRegistered(const NodeId& node, const std::string& peer_address, TimePoint now);

  /** Returns where to send messages: addresses of known nodes, without this one. */
  [[nodiscard]] std::map<NodeId, std::string> Addresses(TimePoint now);

  /** Returns the clock of the peer as last heard, to be echoed to it. */
  [[nodiscard]] std::uint64_t LastSentAtNs(const NodeId& node) const;

  [[nodiscard]] std::vector<const Peer*> LivePeers(TimePoint now) const;

  /** Returns the peer whose copy of the store is proven newest, if any is. */
  [[nodiscard]] const Peer* MostRecentlyConfirmed(TimePoint now) const;

  [[nodiscard]] const Peer* Find(const NodeId& node) const;

 private:
  [[nodiscard]] bool IsAlive(const Peer& peer, TimePoint now) const;

  PeerOptions options;
  std::map<NodeId, Peer> peers;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_PEERS_H_
