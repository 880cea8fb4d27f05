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
  std::int64_t era = 0;  ///< Of the store. In a later era, the number may belong to another lease.
  BootTime until;        ///< Valid at least until then; counted from before the call was sent.

  friend bool operator==(const LeaseGrant&, const LeaseGrant&) = default;
};

/** Requires that a key has this revision; number 0 requires that the key does not exist. */
struct WriteCondition {
  std::string key;
  StoreRevision revision;

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
  std::int64_t era = 0;  ///< Of the store; conditions and leases hold in this era only.
  std::vector<WriteCondition> conditions;
  std::vector<WritePut> puts;
  std::vector<std::string> deletes;

  friend bool operator==(const StoreWrite&, const StoreWrite&) = default;
};

/**
 * Interface of the platform's store. After an error with `kMayHaveRun`, a write may have taken
 * effect or may still do so seconds later, also in a later era. `Watch` returns `kNotFound` when
 * the store no longer has the changes after that revision, or has begun a later era. `Write`
 * returns false when a condition does not hold or its era has ended. `RenewLease` returns
 * `kNotFound` when the lease has ended. `era` returns the latest era that the store has stated.
 */
template <typename T>
concept CoordinationStore = requires(T& store, StoreRevision revision, LeaseGrant lease,
                                     StoreWrite write, Milliseconds time, Deadline deadline) {
  { store.era() } -> std::same_as<std::int64_t>;
  { store.Snapshot(deadline) } -> std::same_as<boost::asio::awaitable<Result<StateUpdate>>>;
  { store.Watch(revision, time) } -> std::same_as<boost::asio::awaitable<Result<StateUpdate>>>;
  { store.Write(write, deadline) } -> std::same_as<boost::asio::awaitable<Result<bool>>>;
  { store.GrantLease(time, deadline) } -> std::same_as<boost::asio::awaitable<Result<LeaseGrant>>>;
  {
    store.RenewLease(lease, time, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<LeaseGrant>>>;
  { store.RevokeLease(lease, deadline) } -> std::same_as<boost::asio::awaitable<Result<void>>>;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_COORDINATION_STORE_H_
