#ifndef LIMPETFALL_CORE_SHARED_STATE_H_
#define LIMPETFALL_CORE_SHARED_STATE_H_

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace limpetfall {

enum class Urgency { kNormal, kUrgent };

/**
 * This node's copy of the entries that are replicated between nodes. For each key, the highest
 * version is kept. An equal version with a later expiry extends the entry. An entry is not returned
 * once it has expired.
 *
 * Thread-safe: keys are distributed over shards, each with its own lock. Listeners are called
 * without a lock held, on the thread that called `Put`.
 *
 *     state.Put({"group/ennis-1/g7", 12, now + 8s, summary}, Urgency::kUrgent, now);
 */
class SharedState {
 public:
  using Listener = std::function<void(const SharedEntry&, Urgency)>;

  /** Adds a listener for accepted changes. All listeners must be added before the first `Put`. */
  void AddListener(Listener listener);

  /** Stores the entry if it has not expired and is newer than the present one; returns whether it
   * was stored. */
  bool Put(SharedEntry entry, Urgency urgency, TimePoint now);

  [[nodiscard]] std::optional<SharedEntry> Find(std::string_view key, TimePoint now) const;

  /** Returns the unexpired entries whose keys start with `prefix`, sorted by key. */
  [[nodiscard]] std::vector<SharedEntry> List(std::string_view prefix, TimePoint now) const;

  /** Calls `visitor` for each unexpired entry without copying it. The visitor runs with a shard's
   * lock held and must not call methods of this object. */
  void Visit(const std::function<void(const SharedEntry&)>& visitor, TimePoint now) const;

  /** Removes expired entries and returns how many were removed. */
  std::size_t RemoveExpired(TimePoint now);

 private:
  static constexpr std::size_t kShards = 16;

  struct Shard {
    mutable std::mutex mutex;
    std::map<std::string, SharedEntry, std::less<>> entries;
  };

  [[nodiscard]] Shard& ShardOf(std::string_view key);
  [[nodiscard]] const Shard& ShardOf(std::string_view key) const;

  std::array<Shard, kShards> shards;
  std::vector<Listener> listeners;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_SHARED_STATE_H_
