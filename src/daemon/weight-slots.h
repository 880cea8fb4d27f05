#ifndef LIMPETFALL_DAEMON_WEIGHT_SLOTS_H_
#define LIMPETFALL_DAEMON_WEIGHT_SLOTS_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/store.h"

namespace limpetfall {

/**
 * The weight store's slots that one domain holds. Each slot is a key of the platform's store that
 * is acquired by compare-and-swap, so owners together never hold more than the limit. A lease frees
 * the slots of an owner that has stopped.
 */
template <Store S>
class WeightSlots {
 public:
  WeightSlots(std::shared_ptr<S> platform, std::string holder_name)
      : store(std::move(platform)), holder(std::move(holder_name)) {}

  /** Returns the number of slots held. A slot is no longer counted before its lease can expire. */
  [[nodiscard]] int Held(TimePoint now) {
    std::erase_if(this->held, [now](const auto& slot) { return slot.second.until <= now; });
    return static_cast<int>(this->held.size());
  }

  /** Acquires free slots below `limit` until `wanted` are held or none is free. */
  boost::asio::awaitable<void> Acquire(int wanted, int limit, TimePoint now, Deadline deadline) {
    auto listed = co_await this->store->List(Prefix(), deadline);
    if (!listed) co_return;
    std::map<std::string, StoredValue> current;
    for (StoredValue& slot : listed.value()) current[slot.key] = std::move(slot);
    for (int i = 0; i < limit && this->Held(now) < wanted; ++i) {
      const std::string key = Prefix() + std::to_string(i);
      const auto found = current.find(key);
      if (this->held.contains(key)) continue;
      if (found != current.end() && !found->second.value.empty()) continue;
      const std::int64_t revision = found == current.end() ? 0 : found->second.revision;
      co_await this->AcquireSlot(key, revision, now, deadline);
    }
  }

  /** Frees slots until `wanted` are held. A slot that cannot be freed expires with its lease; the
   * next call continues with the others. */
  boost::asio::awaitable<void> Release(int wanted, Deadline deadline) {
    while (static_cast<int>(this->held.size()) > wanted) {
      const auto slot = std::prev(this->held.end());
      const std::string key = slot->first;
      const std::int64_t revision = slot->second.revision;
      this->held.erase(slot);
      const auto freed = co_await this->store->Swap(key, "", revision, 0, deadline);
      if (!freed) co_return;
    }
  }

  /** Discards all held slots without freeing them; they are freed when their leases expire. */
  void Clear() { this->held.clear(); }

 private:
  struct Slot {
    std::int64_t revision;
    Deadline until;
  };

  // Longer than any observed model load. The slot of a stopped owner is unavailable for this time.
  static constexpr std::int64_t kLeaseSeconds = 300;
  static constexpr std::chrono::seconds kUsableTime{240};

  static std::string Prefix() { return "/limpetfall/slots/"; }

  boost::asio::awaitable<void> AcquireSlot(std::string key, std::int64_t revision, TimePoint now,
                                           Deadline deadline) {
    const std::string token = this->holder + "-" + std::to_string(++this->taken);
    auto swapped = co_await this->store->Swap(key, token, revision, kLeaseSeconds, deadline);
    if (swapped) {
      if (swapped.value().written) this->held[key] = {swapped.value().revision, now + kUsableTime};
      co_return;
    }
    if (swapped.error().verdict == Verdict::kNotRun) co_return;
    // The reply was lost; the stored value shows whether the slot was acquired.
    auto read = co_await this->store->Get(key, deadline);
    if (read && read.value() && read.value()->value == token) {
      this->held[key] = {read.value()->revision, now + kUsableTime};
    }
  }

  std::shared_ptr<S> store;
  std::string holder;
  std::uint64_t taken = 0;
  std::map<std::string, Slot> held;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_DAEMON_WEIGHT_SLOTS_H_
