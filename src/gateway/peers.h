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
  /**
   * A node counts as alive, and is offered to callers, for this long after its last message, plus
   * one and a half of its message intervals (of at most 1 s each), since standby nodes send less
   * often.
   */
  Milliseconds liveness_timeout{1200};
  /** No messages are sent to a node whose last message is older than this. */
  Milliseconds retention_time{60000};
};

/** The last state received from another node. */
struct Peer {
  PeerStatus status;
  TimePoint last_received;
  Milliseconds interval{0};  ///< Time between its last two messages.
  BootTime confirmed;        ///< Latest time at which its copy of the store is proven current.

  /** Returns whether its last message is recent and states a proof of at most this age. */
  [[nodiscard]] bool HasRecentProof(Milliseconds proof_age, TimePoint now) const;

  friend bool operator==(const Peer&, const Peer&) = default;
};

/** Tracks the other gateway nodes by their status messages. Does no I/O. */
class PeerTable {
 public:
  explicit PeerTable(PeerOptions settings) : options(std::move(settings)) {}

  /** Records a message. Returns false if it is from this node or older than the last one. */
  bool OnStatus(const PeerStatus& status, TimePoint now);

  /** Records the address of a registered node that has not sent a message yet. */
  void OnRegistered(const NodeId& node, const std::string& peer_address, TimePoint now);

  /** Returns the peer addresses of the known nodes and forgets those past their retention time. */
  [[nodiscard]] std::map<NodeId, std::string> Addresses(TimePoint now);

  /** Returns the sender's time in the peer's last message, which is echoed to it; 0 for none. */
  [[nodiscard]] std::uint64_t LastSentAtNs(const NodeId& node) const;

  [[nodiscard]] std::vector<const Peer*> LivePeers(TimePoint now) const;

  /** Returns the live peer with the most recent proof, or null if none has a proof. */
  [[nodiscard]] const Peer* MostRecentlyConfirmed(TimePoint now) const;

  [[nodiscard]] const Peer* Find(const NodeId& node) const;

  /** Returns the newest configuration version that a known peer has stated, 0 for none. */
  [[nodiscard]] ConfigVersion NewestConfigVersion() const;

 private:
  [[nodiscard]] bool IsAlive(const Peer& peer, TimePoint now) const;

  PeerOptions options;
  std::map<NodeId, Peer> peers;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_PEERS_H_
