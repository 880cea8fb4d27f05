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
 * Entries spread between nodes. For each key the higher version wins, an equal version with a later
 * expiry extends the entry, and an entry is dropped after its deadline.
 *
 * Thread-safe: keys are divided among shards, each with its own lock. Listeners run outside the
 * locks, on the thread that made the change.
 *
 *     state.Put({"group/ennis-1/g7", 12, now + 8s, summary}, Urgency::kUrgent, now);
 */
class SharedState {
 public:
  using Listener = std::function<void(const SharedEntry&, Urgency)>;

  /** Adds a listener of accepted changes. All listeners are added before the first `Put`. */
  void AddListener(Listener listener);

  /** Stores the entry if it is newer; returns whether it was stored. */
  bool Put(SharedEntry entry, Urgency urgency, TimePoint now);

  [[nodiscard]] std::optional<SharedEntry> Find(std::string_view key, TimePoint now) const;

  /** Returns the live entries whose keys start with `prefix`, in order of key. */
  [[nodiscard]] std::vector<SharedEntry> List(std::string_view prefix, TimePoint now) const;

  /** Calls `visitor` for each live entry without a copy. It runs under a shard's lock and must not
   * call this object. */
  void Visit(const std::function<void(const SharedEntry&)>& visitor, TimePoint now) const;

  /** Frees the memory of entries whose deadline has passed; returns how many there were. */
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
