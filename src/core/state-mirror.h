#ifndef LIMPETFALL_CORE_STATE_MIRROR_H_
#define LIMPETFALL_CORE_STATE_MIRROR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/boot-clock.h"
#include "core/store-revision.h"

namespace limpetfall {

/** State of one key of the platform's store after a write or a removal. */
struct StateItem {
  std::string key;
  std::optional<std::string> value;  ///< Absent for a removed key.
  StoreRevision revision;
  std::int64_t created_revision = 0;  ///< In the era of `revision`.

  friend bool operator==(const StateItem&, const StateItem&) = default;
};

/** Changes in the store up to a revision, with the time at which they were known to be complete. */
struct StateUpdate {
  std::vector<StateItem> items;
  StoreRevision revision;  ///< Up to which the update is complete. All items are of its era.
  bool snapshot = false;   ///< Holds all keys; keys that are not listed are removed.
  BootTime confirmed;      ///< `revision` was the store's newest at this time or later.

  friend bool operator==(const StateUpdate&, const StateUpdate&) = default;
};

/** How a change of the copy came about. */
enum class ChangeOrigin {
  kWritten,   ///< The key was written or removed.
  kRestored,  ///< The store was restored from an older copy, with this state of the key.
};

/**
 * Copy of the platform's store in one node, received from the store or from another node. Revisions
 * never decrease: an update older than the copy is ignored. A snapshot of a later era replaces the
 * copy as a whole; changes of a later era do not apply to it.
 */
class StateMirror {
 public:
  using Observer = std::function<void(const StateItem&, ChangeOrigin)>;

  /** `observer` is called for each change, in order of revision. */
  explicit StateMirror(Observer callback) : observer(std::move(callback)) {}

  /** Applies an update. Returns false if it is older or does not apply to the copy. */
  bool Apply(const StateUpdate& update);

  /** Returns the changes after a revision, or a snapshot if the copy has no such history. */
  [[nodiscard]] StateUpdate ChangesSince(StoreRevision after) const;

  /** Returns whether any item has changed after a revision. */
  [[nodiscard]] bool HasChangesSince(StoreRevision after) const;

  [[nodiscard]] const StateItem* Find(const std::string& key) const;

  /** Returns whether no update has been applied yet. */
  [[nodiscard]] bool IsEmpty() const { return this->complete_revision == StoreRevision(); }

  /** Returns the revision up to which the copy is complete. */
  [[nodiscard]] StoreRevision revision() const { return this->complete_revision; }

  /** Returns the latest time at which the copy is known to have been the store's newest state. */
  [[nodiscard]] BootTime confirmed() const { return this->confirmed_at; }

 private:
  void ApplyItem(const StateItem& item, ChangeOrigin origin);

  /** Removes the keys that a snapshot does not list. */
  void RemoveUnlisted(const StateUpdate& snapshot, ChangeOrigin origin);

  [[nodiscard]] auto FirstRemovalAfter(StoreRevision revision) const {
    return this->removed.lower_bound({{revision.era, revision.number + 1}, std::string()});
  }

  Observer observer;
  std::map<std::string, StateItem> items;
  /** Removed keys with the revision of their removal. One revision may remove several. */
  std::set<std::pair<StoreRevision, std::string>> removed;
  StoreRevision removal_history_start;  ///< All removals after this revision are in `removed`.
  StoreRevision complete_revision;
  BootTime confirmed_at;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_STATE_MIRROR_H_
