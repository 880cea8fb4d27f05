#ifndef LIMPETFALL_NODE_NODE_TABLE_H_
#define LIMPETFALL_NODE_NODE_TABLE_H_

#include <map>
#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/membership.h"
#include "core/shared-state.h"
#include "node/digest.h"

// Internal to the package: the table of members and shared entries that nodes compare.

namespace limpetfall::detail {

using EntryKeys = std::unordered_set<std::uint64_t>;

/** The result of a comparison with a peer. */
struct TableDifference {
  /** Key hashes of which the peer has a newer version or the only one. */
  std::vector<std::uint64_t> wanted;
  EntryKeys offered;  ///< Key hashes that the peer lacks or has in an older version.
  std::vector<EntryDigest> received_renewals;  ///< Entries whose expiry is later at the peer.
  std::vector<EntryDigest> renewals;           ///< Entries whose expiry is later here.
};

/** Returns the entry for a member, with the key "node/<id>". */
SharedEntry MemberEntry(const NodeInfo& info, TimePoint now);

/** Thread-safe. `WithMembership` runs an action on the membership core under a lock. */
class NodeTable {
 public:
  NodeTable(SharedState& shared_state, Membership membership);

  template <typename Action>
  auto WithMembership(Action action) {
    const std::lock_guard lock(this->mutex);
    return action(this->core);
  }

  template <typename Action>
  auto WithMembership(Action action) const {
    const std::lock_guard lock(this->mutex);
    return action(this->core);
  }

  [[nodiscard]] NodeInfo Self() const;

  /** Returns the other nodes that are not dead. */
  [[nodiscard]] std::vector<NodeInfo> LiveMembers() const;

  [[nodiscard]] std::vector<EntryDigest> Digests(TimePoint now) const;

  /** Compares the entries of the buckets in `differing` with the peer's digests of them. */
  [[nodiscard]] TableDifference Compare(const std::vector<std::uint16_t>& differing,
                                        const std::vector<EntryDigest>& remote,
                                        TimePoint now) const;

  /** Returns the entries with these key hashes, up to the size limit of one message. */
  [[nodiscard]] std::vector<SharedEntry> Collect(const EntryKeys& keys, TimePoint now) const;

  /** Stores an entry from a peer and appends the resulting actions. Returns whether this version or
   * a newer one is stored now. */
  bool Store(const SharedEntry& entry, Urgency urgency, TimePoint now, MembershipActions& actions);

  /** Extends entries of the same version to the expiry that a peer reported `age` ago. */
  void ExtendExpiry(const std::vector<EntryDigest>& digests, Milliseconds age, TimePoint now);

  /** Records that messages were exchanged with a node at `now`. */
  void RecordContact(const NodeId& node, TimePoint now);

  [[nodiscard]] std::vector<NodeId> NodesContactedSince(TimePoint since) const;

  std::size_t RemoveExpired(TimePoint now);

 private:
  mutable std::mutex mutex;
  SharedState& state;
  Membership core;
  std::map<NodeId, TimePoint> contacts;
};

}  // namespace limpetfall::detail

#endif  // LIMPETFALL_NODE_NODE_TABLE_H_
