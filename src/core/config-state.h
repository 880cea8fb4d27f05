#ifndef LIMPETFALL_CORE_CONFIG_STATE_H_
#define LIMPETFALL_CORE_CONFIG_STATE_H_

#include <memory>
#include <mutex>

#include "core/document.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Counts of the nodes that a node knows and can reach. The counts include the node itself. */
struct NodeReachability {
  int known_nodes = 1;
  int reachable_nodes = 1;
  /// At least one other reachable node has a confirmed document.
  bool confirmed_peer_reachable = false;

  friend bool operator==(const NodeReachability&, const NodeReachability&) = default;
};

/** Returns whether the node reaches a strict majority of the known nodes, itself included. A node
 * accepts configuration changes from operators only while this is true. */
constexpr bool HasMajority(const NodeReachability& reachability) {
  return reachability.reachable_nodes > reachability.known_nodes - reachability.reachable_nodes;
}

/**
 * Returns whether a node may serve with its current document.
 *
 * Until `confirmed_until` it may always serve. After that it may serve only if it reaches a strict
 * majority and no reachable node has a confirmed document. Any change accepted in the meantime was
 * accepted by a majority. Two majorities have a node in common, so this node would know the change.
 */
constexpr bool MayServe(Deadline confirmed_until, const NodeReachability& reachability,
                        TimePoint now) {
  if (now < confirmed_until) return true;
  return HasMajority(reachability) && !reachability.confirmed_peer_reachable;
}

/**
 * The newest document of a node and the deadline until which it is confirmed to be in force.
 * Thread-safe.
 *
 *     if (state.Adopt({7, document})) NotifyPeers(7);
 *     state.Confirm(7, read_started + 5s);
 */
class ConfigState {
 public:
  /** Replaces the current document if the version is higher; returns whether it was replaced. */
  bool Adopt(VersionedDocument document);

  /** Returns the current document, or null if there is none yet. */
  [[nodiscard]] std::shared_ptr<const VersionedDocument> Current() const;

  /** Returns the version of the current document, or 0 if there is none yet. */
  [[nodiscard]] ConfigVersion version() const;

  /** Records that a version exists. Older versions cannot be confirmed afterwards. */
  void ObserveVersion(ConfigVersion version);

  /** Returns the highest version that was adopted or observed. */
  [[nodiscard]] ConfigVersion newest_known_version() const;

  /**
   * Extends the confirmation to `until` if `version` is the current version and no newer one is
   * known. Callers compute `until` from the start of the read that returned this version.
   */
  void Confirm(ConfigVersion version, Deadline until);

  [[nodiscard]] Deadline confirmed_until() const;

  /** Returns whether the node may serve at `now`. Returns false without a document, and also if the
   * confirmation has expired and a newer version is known. Otherwise `MayServe` decides. */
  [[nodiscard]] bool MayServeNow(const NodeReachability& reachability, TimePoint now) const;

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const VersionedDocument> current;
  ConfigVersion newest_version = 0;
  Deadline confirmation_deadline;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_CONFIG_STATE_H_
