#ifndef LIMPETFALL_CORE_CONFIG_STATE_H_
#define LIMPETFALL_CORE_CONFIG_STATE_H_

#include <memory>
#include <mutex>

#include "core/document.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** What a node knows of the other nodes. The counts include the node itself. */
struct NodeReachability {
  int known_nodes = 1;
  int reachable_nodes = 1;
  bool confirmed_peer_reachable =
      false;  ///< Another node that is reached has a confirmed document.

  friend bool operator==(const NodeReachability&, const NodeReachability&) = default;
};

/** Says whether the node exchanges messages with a strict majority of the known nodes. A node
 * accepts operators' changes only while this holds. */
constexpr bool HasMajority(const NodeReachability& reachability) {
  return reachability.reachable_nodes > reachability.known_nodes - reachability.reachable_nodes;
}

/**
 * Says whether a node may serve with the document it has, by the deadline of its confirmation.
 *
 * After the deadline it may serve only if nobody it reaches is confirmed either, and it reaches a
 * strict majority. Any change that was accepted since went through a majority, which shares a node
 * with this one, so the change would be known here.
 */
constexpr bool MayServe(Deadline confirmed_until, const NodeReachability& reachability,
                        TimePoint now) {
  if (now < confirmed_until) return true;
  return HasMajority(reachability) && !reachability.confirmed_peer_reachable;
}

/**
 * The newest document that a node has, and whether it is known to be in force. Thread-safe.
 *
 *     if (state.Adopt({7, document})) Announce(7);
 *     state.Confirm(7, read_started + 5s);
 */
class ConfigState {
 public:
  /** Puts a document in force if its version is higher than the present one. */
  bool Adopt(VersionedDocument document);

  /** Returns the document in force, or nothing before the first. */
  [[nodiscard]] std::shared_ptr<const VersionedDocument> Current() const;

  /** Returns the version in force, 0 before the first. */
  [[nodiscard]] ConfigVersion version() const;

  /** Notes that a version exists. From then on, an older one can no longer be confirmed. */
  void ObserveVersion(ConfigVersion version);

  /** Returns the highest version that this node has heard of. */
  [[nodiscard]] ConfigVersion newest_known_version() const;

  /**
   * Extends the confirmation to `until` if `version` is in force here and no newer one is known.
   * `until` counts from the start of the read that found this version.
   */
  void Confirm(ConfigVersion version, Deadline until);

  [[nodiscard]] Deadline confirmed_until() const;

  /** The serve-or-refuse rule. A node without a document, or one that knows of a newer document and
   * whose confirmation has expired, never serves. */
  [[nodiscard]] bool MayServeNow(const NodeReachability& reachability, TimePoint now) const;

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const VersionedDocument> current;
  ConfigVersion newest_version = 0;
  Deadline confirmation_deadline;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_CONFIG_STATE_H_
