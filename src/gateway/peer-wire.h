#ifndef LIMPETFALL_GATEWAY_PEER_WIRE_H_
#define LIMPETFALL_GATEWAY_PEER_WIRE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "core/state-mirror.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** What a gateway node tells each other node several times a second. */
struct PeerStatus {
  NodeId node;
  ZoneId zone;
  std::string caller_address;
  std::string peer_address;
  bool ready = false;
  double capacity = 1;  ///< Processor share of the node, in cores.
  std::uint64_t sent_at_ns = 0;
  std::uint64_t echo_at_ns = 0;
  std::int64_t proof_age_ms = -1;
  std::int64_t mirror_revision = 0;
  std::map<std::uint64_t, int> loads;  ///< By hash of the upstream's id.
  std::vector<std::uint64_t> suspended;
  std::map<ModelName, double> demands;  ///< Places that the node's callers would occupy at once.

  friend bool operator==(const PeerStatus&, const PeerStatus&) = default;
};

/** Hash that stands for an upstream in messages between nodes. */
std::uint64_t UpstreamHash(const VmId& upstream);

/** Returns how long ago the proof was, as messages state it; -1 without one. */
std::int64_t ProofAgeMs(BootTime confirmed, BootTime now);

std::string EncodePeerStatus(const PeerStatus& status);
Result<PeerStatus> DecodePeerStatus(std::string_view bytes);

/** Encodes changes for a node that requested_at at `requested_at`; the proof is sent as its age at
 * `now`. */
std::string EncodeChanges(const StateUpdate& update, BootTime requested_at, BootTime now);

/** Decodes changes that were requested_at for at `requested_at` and arrived at `now`. The proof's
 * age counts from the earliest time at which the other node can have answered. */
Result<StateUpdate> DecodeChanges(std::string_view bytes, BootTime requested_at, BootTime now);

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_PEER_WIRE_H_
