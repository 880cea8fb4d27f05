#ifndef LIMPETFALL_CORE_STATE_MIRROR_H_
#define LIMPETFALL_CORE_STATE_MIRROR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/boot-clock.h"

namespace limpetfall {

/** A key of the platform's store as it was written or removed. */
struct StateItem {
  std::string key;
  std::optional<std::string> value;  ///< Nothing for a removed key.
  std::int64_t revision = 0;
  std::int64_t created_revision = 0;

  friend bool operator==(const StateItem&, const StateItem&) = default;
};

/** What changed in the store, and since when the receiver knows that nothing else did. */
struct StateUpdate {
  std::vector<StateItem> items;
  std::int64_t revision = 0;  ///< Store revision up to which the update is complete.
  bool snapshot = false;      ///< Holds all keys; those that it does not name are removed.
  BootTime confirmed;         ///< The store had `revision` as its newest at this time or later.

  friend bool operator==(const StateUpdate&, const StateUpdate&) = default;
};

/**
 * Copy of the platform's store in one node, from the store itself or from another node. Revisions
 * never go back: an older update only adds nothing.
 */
class StateMirror {
 public:
  using Observer = std::function<void(const StateItem&)>;

  /** `observer` is called for each change, in order of revision. */
  explicit StateMirror(Observer callback) : observer(std::move(callback)) {}

  void Apply(const StateUpdate& update);

  /** Returns what changed after a revision; a snapshot if that is no longer known. */
  [[nodiscard]] StateUpdate Since(std::int64_t after) const;

  /** Says whether `Since` would name any item. */
  [[nodiscard]] bool HasChangesSince(std::int64_t after) const;

  [[nodiscard]] const StateItem* Find(const std::string& key) const;

  /** Returns the revision up to which the copy is complete, 0 before the first update. */
  [[nodiscard]] std::int64_t revision() const { return this->complete_to; }

  /** Returns a time at which the copy certainly was the store's newest state. */
  [[nodiscard]] BootTime confirmed() const { return this->confirmed_at; }

 private:
  void Put(const StateItem& item);

  Observer observer;
  std::map<std::string, StateItem> items;
  std::map<std::int64_t, std::string> removed;  ///< Keys by the revision of their removal.
  std::int64_t removals_from = 0;               ///< Removals after this revision are known.
  std::int64_t complete_to = 0;
  BootTime confirmed_at;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_STATE_MIRROR_H_
