#ifndef LIMPETFALL_GATEWAY_COORDINATION_STORE_H_
#define LIMPETFALL_GATEWAY_COORDINATION_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "base/boot-clock.h"
#include "core/state-mirror.h"
#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** A lease that the store has granted or renewed. */
struct LeaseGrant {
  std::int64_t id = 0;
  BootTime until;  ///< Valid at least until then; counted from before the call was sent.

  friend bool operator==(const LeaseGrant&, const LeaseGrant&) = default;
};

/** Requires that a key has this revision; 0 requires that the key does not exist. */
struct WriteCondition {
  std::string key;
  std::int64_t revision = 0;

  friend bool operator==(const WriteCondition&, const WriteCondition&) = default;
};

struct WritePut {
  std::string key;
  std::string value;
  std::int64_t lease = 0;  ///< 0 for a key without a lease.

  friend bool operator==(const WritePut&, const WritePut&) = default;
};

/** An atomic write of all its keys. */
struct StoreWrite {
  std::vector<WriteCondition> conditions;
  std::vector<WritePut> puts;
  std::vector<std::string> deletes;

  friend bool operator==(const StoreWrite&, const StoreWrite&) = default;
};

/**
 * Interface of the platform's store. After an error with `kMayHaveRun`, a write may have taken
 * effect or may still do so seconds later. `Watch` returns `kNotFound` when the store no longer has
 * the changes after that revision. `Write` returns false when a condition does not hold.
 * `RenewLease` returns `kNotFound` when the lease has ended.
 */
template <typename T>
concept CoordinationStore = requires(T& store, std::int64_t number, StoreWrite write,
                                     Milliseconds time, Deadline deadline) {
  { store.Snapshot(deadline) } -> std::same_as<boost::asio::awaitable<Result<StateUpdate>>>;
  { store.Watch(number, time) } -> std::same_as<boost::asio::awaitable<Result<StateUpdate>>>;
  { store.Write(write, deadline) } -> std::same_as<boost::asio::awaitable<Result<bool>>>;
  { store.GrantLease(time, deadline) } -> std::same_as<boost::asio::awaitable<Result<LeaseGrant>>>;
  {
    store.RenewLease(number, time, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<LeaseGrant>>>;
  { store.RevokeLease(number, deadline) } -> std::same_as<boost::asio::awaitable<Result<void>>>;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_COORDINATION_STORE_H_
