#include "core/state-mirror.h"

#include <algorithm>

namespace limpetfall {
namespace {

// Removals kept for nodes that request changes; a node that lags further gets a snapshot.
constexpr std::size_t kMaxRemovals = 1000;

}  // namespace

void StateMirror::ApplyItem(const StateItem& item, ChangeOrigin origin) {
  const auto existing = this->items.find(item.key);
  if (existing != this->items.end() && existing->second.revision >= item.revision) return;
  if (item.value) {
    this->items.insert_or_assign(item.key, item);
  } else {
    this->removed.emplace(item.revision, item.key);
    if (existing == this->items.end()) return;
    this->items.erase(existing);
  }
  this->observer(item, origin);
}

void StateMirror::RemoveUnlisted(const StateUpdate& snapshot, ChangeOrigin origin) {
  std::set<std::string> listed;
  for (const StateItem& item : snapshot.items) listed.insert(item.key);
  std::vector<std::string> unlisted;
  for (const auto& [key, item] : this->items) {
    if (!listed.contains(key) && item.revision <= snapshot.revision) unlisted.push_back(key);
  }
  for (const std::string& key : unlisted) {
    this->ApplyItem({key, std::nullopt, snapshot.revision, 0}, origin);
  }
}

bool StateMirror::Apply(const StateUpdate& update) {
  if (update.revision < this->complete_revision) return false;
  const bool is_new_era = !this->IsEmpty() && update.revision.era != this->complete_revision.era;
  if (is_new_era && !update.snapshot) return false;
  const ChangeOrigin origin = is_new_era ? ChangeOrigin::kRestored : ChangeOrigin::kWritten;
  std::vector<StateItem> ordered = update.items;
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const StateItem& a, const StateItem& b) { return a.revision < b.revision; });
  if (is_new_era) this->removed.clear();
  if (update.snapshot) {
    this->RemoveUnlisted(update, origin);
    this->removal_history_start = update.revision;
  }
  for (const StateItem& item : ordered) this->ApplyItem(item, origin);
  this->complete_revision = update.revision;
  this->confirmed_at = std::max(this->confirmed_at, update.confirmed);
  while (this->removed.size() > kMaxRemovals) {
    this->removal_history_start = this->removed.begin()->first;
    this->removed.erase(this->removed.begin());
  }
  return true;
}

StateUpdate StateMirror::ChangesSince(StoreRevision after) const {
  StateUpdate update;
  update.revision = this->complete_revision;
  update.confirmed = this->confirmed_at;
  update.snapshot = after < this->removal_history_start || after == StoreRevision();
  for (const auto& [key, item] : this->items) {
    if (update.snapshot || item.revision > after) update.items.push_back(item);
  }
  if (update.snapshot) return update;
  for (auto entry = this->FirstRemovalAfter(after); entry != this->removed.end(); ++entry) {
    update.items.push_back({entry->second, std::nullopt, entry->first, 0});
  }
  return update;
}

bool StateMirror::HasChangesSince(StoreRevision after) const {
  if (after.era < this->complete_revision.era) return true;
  if (this->FirstRemovalAfter(after) != this->removed.end()) return true;
  return std::any_of(this->items.begin(), this->items.end(),
                     [after](const auto& entry) { return entry.second.revision > after; });
}

const StateItem* StateMirror::Find(const std::string& key) const {
  const auto found = this->items.find(key);
  return found == this->items.end() ? nullptr : &found->second;
}

}  // namespace limpetfall
