#include "core/state-mirror.h"

#include <algorithm>
#include <set>

namespace limpetfall {
namespace {

// Removals kept for nodes that request changes; a node that lags further gets a snapshot.
constexpr std::size_t kRemovalsKept = 1000;

}  // namespace

void StateMirror::Put(const StateItem& item) {
  const auto known = this->items.find(item.key);
  if (known != this->items.end() && known->second.revision >= item.revision) return;
  if (item.value) {
    this->items.insert_or_assign(item.key, item);
  } else {
    this->removed.emplace(item.revision, item.key);
    if (known == this->items.end()) return;
    this->items.erase(known);
  }
  this->observer(item);
}

void StateMirror::Apply(const StateUpdate& update) {
  if (update.revision < this->complete_to) return;
  std::vector<StateItem> ordered = update.items;
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const StateItem& a, const StateItem& b) { return a.revision < b.revision; });
  if (update.snapshot) {
    std::set<std::string> named;
    for (const StateItem& item : ordered) named.insert(item.key);
    std::vector<std::string> gone;
    for (const auto& [key, item] : this->items) {
      if (!named.contains(key) && item.revision <= update.revision) gone.push_back(key);
    }
    for (const std::string& key : gone) {
      this->Put({key, std::nullopt, update.revision, 0});
    }
    this->removals_from = update.revision;
  }
  for (const StateItem& item : ordered) this->Put(item);
  this->complete_to = std::max(this->complete_to, update.revision);
  this->confirmed_at = std::max(this->confirmed_at, update.confirmed);
  while (this->removed.size() > kRemovalsKept) {
    this->removals_from = this->removed.begin()->first;
    this->removed.erase(this->removed.begin());
  }
}

StateUpdate StateMirror::Since(std::int64_t after) const {
  StateUpdate update;
  update.revision = this->complete_to;
  update.confirmed = this->confirmed_at;
  update.snapshot = after < this->removals_from || after == 0;
  for (const auto& [key, item] : this->items) {
    if (update.snapshot || item.revision > after) update.items.push_back(item);
  }
  if (update.snapshot) return update;
  for (auto entry = this->removed.upper_bound(after); entry != this->removed.end(); ++entry) {
    update.items.push_back({entry->second, std::nullopt, entry->first, 0});
  }
  return update;
}

bool StateMirror::HasChangesSince(std::int64_t after) const {
  if (this->removed.upper_bound(after) != this->removed.end()) return true;
  return std::any_of(this->items.begin(), this->items.end(),
                     [after](const auto& entry) { return entry.second.revision > after; });
}

const StateItem* StateMirror::Find(const std::string& key) const {
  const auto found = this->items.find(key);
  return found == this->items.end() ? nullptr : &found->second;
}

}  // namespace limpetfall
