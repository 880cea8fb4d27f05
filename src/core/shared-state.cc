#include "core/shared-state.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpetfall {

void SharedState::AddListener(Listener listener) { this->listeners.push_back(std::move(listener)); }

bool SharedState::Put(SharedEntry entry, Urgency urgency, TimePoint now) {
  if (entry.expires <= now) return false;
  {
    Shard& shard = this->ShardOf(entry.key);
    const std::lock_guard lock(shard.mutex);
    auto [position, inserted] = shard.entries.try_emplace(entry.key, entry);
    if (!inserted) {
      SharedEntry& present = position->second;
      const bool replaces = present.expires <= now || entry.version > present.version ||
                            (entry.version == present.version && entry.expires > present.expires);
      if (!replaces) return false;
      present = entry;
    }
  }
  for (const Listener& listener : this->listeners) listener(entry, urgency);
  return true;
}

std::optional<SharedEntry> SharedState::Find(std::string_view key, TimePoint now) const {
  const Shard& shard = this->ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  const auto position = shard.entries.find(key);
  if (position == shard.entries.end() || position->second.expires <= now) return std::nullopt;
  return position->second;
}

std::vector<SharedEntry> SharedState::List(std::string_view prefix, TimePoint now) const {
  std::vector<SharedEntry> found;
  for (const Shard& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    for (auto it = shard.entries.lower_bound(prefix);
         it != shard.entries.end() && it->first.starts_with(prefix); ++it) {
      if (it->second.expires > now) found.push_back(it->second);
    }
  }
  std::sort(found.begin(), found.end(),
            [](const SharedEntry& a, const SharedEntry& b) { return a.key < b.key; });
  return found;
}

void SharedState::Visit(const std::function<void(const SharedEntry&)>& visitor,
                        TimePoint now) const {
  for (const Shard& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [key, entry] : shard.entries) {
      if (entry.expires > now) visitor(entry);
    }
  }
}

std::size_t SharedState::RemoveExpired(TimePoint now) {
  std::size_t removed = 0;
  for (Shard& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    removed += std::erase_if(shard.entries,
                             [now](const auto& item) { return item.second.expires <= now; });
  }
  return removed;
}

SharedState::Shard& SharedState::ShardOf(std::string_view key) {
  return this->shards[std::hash<std::string_view>{}(key) % kShards];
}

const SharedState::Shard& SharedState::ShardOf(std::string_view key) const {
  return this->shards[std::hash<std::string_view>{}(key) % kShards];
}

}  // namespace limpetfall
