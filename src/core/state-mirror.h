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

namespace limpetfall {

/** State of one key of the platform's store after a write or a removal. */
struct StateItem {
  std::string key;
  std::optional<std::string> value;  ///< Absent for a removed key.
  std::int64_t revision = 0;
  std::int64_t created_revision = 0;

  friend bool operator==(const StateItem&, const StateItem&) = default;
};

/** Changes in the store up to a revision, with the time at which they were known to be complete. */
struct StateUpdate {
  std::vector<StateItem> items;
  std::int64_t revision = 0;  ///< Store revision up to which the update is complete.
  bool snapshot = false;      ///< Holds all keys; keys that are not listed are removed.
  BootTime confirmed;         ///< `revision` was the store's newest at this time or later.

  friend bool operator==(const StateUpdate&, const StateUpdate&) = default;
};

/**
 * Copy of the platform's store in one node, received from the store or from another node. Revisions
 * never decrease: an update older than the copy is ignored.
 */
class StateMirror {
 public:
  using Observer = std::function<void(const StateItem&)>;

  /** `observer` is called for each change, in order of revision. */
  explicit StateMirror(Observer callback) : observer(std::move(callback)) {}

  void Apply(const StateUpdate& update);

  /** Returns the changes after a revision, or a snapshot if the removal history starts later. */
  [[nodiscard]] StateUpdate ChangesSince(std::int64_t after) const;

  /** Returns whether any item has changed after a revision. */
  [[nodiscard]] bool HasChangesSince(std::int64_t after) const;

  [[nodiscard]] const StateItem* Find(const std::string& key) const;

  /** Returns the revision up to which the copy is complete, 0 before the first update. */
  [[nodiscard]] std::int64_t revision() const { return this->complete_revision; }

  /** Returns the latest time at which the copy is known to have been the store's newest state. */
  [[nodiscard]] BootTime confirmed() const { return this->confirmed_at; }

 private:
  void ApplyItem(const StateItem& item);

  [[nodiscard]] auto FirstRemovalAfter(std::int64_t revision) const {
    return this->removed.lower_bound({revision + 1, std::string()});
  }

  Observer observer;
  std::map<std::string, StateItem> items;
  /** Removed keys with the revision of their removal. One revision may remove several. */
  std::set<std::pair<std::int64_t, std::string>> removed;
  std::int64_t removal_history_start = 0;  ///< All removals after this revision are in `removed`.
  std::int64_t complete_revision = 0;
  BootTime confirmed_at;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_STATE_MIRROR_H_
