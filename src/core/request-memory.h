#ifndef LIMPETFALL_CORE_REQUEST_MEMORY_H_
#define LIMPETFALL_CORE_REQUEST_MEMORY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "limpetfall/time.h"

namespace limpetfall {

/** Bounds on what a process holds for the peers of its listeners, derived from its VM. */
struct ListenerLimits {
  std::size_t max_request_bytes = 128 << 20;  ///< Bodies of all requests together.
  std::size_t max_caller_connections = 4096;
  std::size_t max_other_connections = 1024;  ///< At each listener that does not serve callers.

  /** Returns the bounds for a VM. What is left is for upstreams, nodes, the store, buffered
   * responses and the program itself. */
  static ListenerLimits ForVm(std::size_t memory_bytes, std::size_t descriptors) {
    // An open connection holds a buffer and a coroutine. Both grow with the size of its head.
    constexpr std::size_t kBytesPerConnection = 32 << 10;
    ListenerLimits limits;
    limits.max_request_bytes = memory_bytes / 4;
    limits.max_caller_connections = std::min({limits.max_caller_connections, descriptors / 2,
                                              limits.max_request_bytes / kBytesPerConnection});
    limits.max_other_connections = std::min(limits.max_other_connections, descriptors / 16);
    return limits;
  }

  friend bool operator==(const ListenerLimits&, const ListenerLimits&) = default;
};

/** The body of a request that is being read. */
struct HeldBody {
  std::size_t bytes = 0;
  TimePoint begun;

  friend bool operator==(const HeldBody&, const HeldBody&) = default;
};

/**
 * Returns the index of the body to give up when memory is short: the one that has held most memory
 * for the longest time. Answers the load of many callers that send nearly whole bodies and stop,
 * while others send at a normal pace. `bodies` must not be empty.
 */
[[nodiscard]] inline std::size_t ChooseBodyToDrop(const std::vector<HeldBody>& bodies,
                                                  TimePoint now) {
  // Bodies that have just begun are told apart by their size.
  const std::chrono::duration<double> min_age(0.001);
  const auto cost = [now, min_age](const HeldBody& body) {
    const std::chrono::duration<double> age = now - body.begun;
    return static_cast<double>(body.bytes) * std::max(age, min_age).count();
  };
  const auto most =
      std::max_element(bodies.begin(), bodies.end(),
                       [&cost](const HeldBody& a, const HeldBody& b) { return cost(a) < cost(b); });
  return static_cast<std::size_t>(most - bodies.begin());
}

/**
 * Account of the bytes that all listeners of a process hold for requests. Thread-safe.
 *
 *     RequestMemory::Entry entry(memory, [connection] { connection->Drop(); });
 *     if (!entry.Resize(body.capacity(), now)) ...  // Refuse the request.
 *     entry.OnComplete();  // No longer dropped for others.
 */
class RequestMemory {
 public:
  explicit RequestMemory(std::size_t limit) : max_bytes(limit) {}

  /** The bytes of one request. Returns them when destroyed. */
  class Entry {
   public:
    /** `drop` ends the reading of the request. It may be called from any thread, but not after the
     * entry is destroyed, and must not call back. */
    Entry(RequestMemory& owner, std::function<void()> drop) : memory(owner) {
      const std::lock_guard lock(this->memory.mutex);
      this->id = ++this->memory.last_id;
      this->memory.held[this->id] = {{}, std::move(drop)};
    }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;
    ~Entry() {
      const std::lock_guard lock(this->memory.mutex);
      this->memory.in_use -= this->memory.held.at(this->id).body.bytes;
      this->memory.held.erase(this->id);
    }

    /** Records how many bytes the request holds. Drops others if memory is short; returns false if
     * this request has to be refused. */
    [[nodiscard]] bool Resize(std::size_t bytes, TimePoint now) {
      return this->memory.Resize(this->id, bytes, now);
    }

    /** The request has been read. It is not dropped any more. */
    void OnComplete() {
      const std::lock_guard lock(this->memory.mutex);
      this->memory.held.at(this->id).is_complete = true;
    }

   private:
    RequestMemory& memory;
    std::uint64_t id = 0;
  };

  [[nodiscard]] std::size_t bytes() const {
    const std::lock_guard lock(this->mutex);
    return this->in_use;
  }

  /** Returns the number of requests that were dropped or refused. */
  [[nodiscard]] std::uint64_t drops() const {
    const std::lock_guard lock(this->mutex);
    return this->drop_count;
  }

 private:
  struct Holder {
    HeldBody body;
    std::function<void()> drop;
    bool is_complete = false;
    bool is_dropped = false;
  };

  bool Resize(std::uint64_t id, std::size_t bytes, TimePoint now) {
    const std::lock_guard lock(this->mutex);
    Holder& own = this->held.at(id);
    if (own.body.begun == TimePoint()) own.body.begun = now;
    if (own.is_dropped) return false;
    this->in_use += bytes - own.body.bytes;
    own.body.bytes = bytes;
    while (this->max_bytes < this->in_use) {
      std::vector<std::uint64_t> ids;
      std::vector<HeldBody> bodies;
      for (const auto& [candidate, holder] : this->held) {
        if (holder.is_complete || holder.is_dropped || holder.body.bytes == 0) continue;
        ids.push_back(candidate);
        bodies.push_back(holder.body);
      }
      if (ids.empty()) return false;
      const std::size_t chosen = ChooseBodyToDrop(bodies, now);
      ++this->drop_count;
      Holder& dropped = this->held.at(ids[chosen]);
      dropped.is_dropped = true;
      // The memory itself is returned a moment later, on the thread of the connection.
      this->in_use -= std::exchange(dropped.body.bytes, 0);
      if (ids[chosen] == id) return false;
      dropped.drop();
    }
    return true;
  }

  const std::size_t max_bytes;
  mutable std::mutex mutex;
  std::map<std::uint64_t, Holder> held;  ///< Guarded by `mutex`, as all below.
  std::size_t in_use = 0;
  std::uint64_t last_id = 0;
  std::uint64_t drop_count = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_REQUEST_MEMORY_H_
