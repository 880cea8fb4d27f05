#ifndef LIMPETFALL_GATEWAY_PEER_WIRE_H_
#define LIMPETFALL_GATEWAY_PEER_WIRE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "core/crash-attribution.h"
#include "core/group-planner.h"
#include "core/runner-registry.h"
#include "core/state-mirror.h"
#include "core/upstream-rate-limit.h"
#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Status that a gateway node sends to the other nodes several times a second. */
struct PeerStatus {
  NodeId node;
  ZoneId zone;
  std::string caller_address;
  std::string peer_address;
  bool ready = false;
  double capacity = 1;             ///< Processor capacity of the node, in cores.
  std::uint64_t sent_at_ns = 0;    ///< On the sender's clock.
  std::uint64_t echo_at_ns = 0;    ///< `sent_at_ns` of the receiver's last message; 0 for none.
  std::int64_t proof_age_ms = -1;  ///< Age of the sender's proof, see `ProofAgeMs`.
  StoreRevision mirror_revision;
  ConfigVersion config_version = 0;          ///< Newest one that the sender knows; 0 for none.
  PlanVersion plan_version;                  ///< Newest one that the sender knows.
  std::map<std::uint64_t, int> loads;        ///< Requests in flight, by hash of the upstream's id.
  std::vector<std::uint64_t> suspended;      ///< Hashes of suspended upstreams.
  std::map<ModelName, double> demands;       ///< Slots that its callers would occupy concurrently.
  std::vector<RateLimitReport> rate_limits;  ///< On the clock of the node that holds this object.
  std::uint64_t crash_digest = 0;            ///< `CrashAttribution::Digest` of the sender.
  CrashEvidence crashes;                     ///< On the clock of the node that holds this object.

  friend bool operator==(const PeerStatus&, const PeerStatus&) = default;
};

/**
 * Returns the age of a proof as messages state it, or -1 without a proof. The proof is the latest
 * time at which the node's copy of the store is certain to have been current.
 */
std::int64_t ProofAgeMs(BootTime confirmed, BootTime now);

/** Encodes a message that is sent at `now`. Times are sent as ages. */
std::string EncodePeerStatus(const PeerStatus& status, TimePoint now);

/** Decodes a message that arrived at `now`. */
Result<PeerStatus> DecodePeerStatus(std::string_view bytes, TimePoint now);

/** Encodes changes for a request of `requested_at`. The proof is sent as its age at `now`. */
std::string EncodeChanges(const StateUpdate& update, BootTime requested_at, BootTime now);

/**
 * Decodes changes that were requested at `requested_at` and arrived at `now`. The age of the proof
 * is counted from the earliest time at which the other node can have responded.
 */
Result<StateUpdate> DecodeChanges(std::string_view bytes, BootTime requested_at, BootTime now);

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_PEER_WIRE_H_
