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

/** A lease as the store granted or renewed it. */
struct LeaseGrant {
  std::int64_t id = 0;
  BootTime until;  ///< Holds at least until then: counted from before the call was sent.

  friend bool operator==(const LeaseGrant&, const LeaseGrant&) = default;
};

/** A condition of a write: the key's last revision; 0 means that it must not exist. */
struct WriteCondition {
  std::string key;
  std::int64_t revision = 0;

  friend bool operator==(const WriteCondition&, const WriteCondition&) = default;
};

struct WritePut {
  std::string key;
  std::string value;
  std::int64_t lease = 0;  ///< 0 for a key that stays.

  friend bool operator==(const WritePut&, const WritePut&) = default;
};

/** A write of all its keys or of none. */
struct StoreWrite {
  std::vector<WriteCondition> conditions;
  std::vector<WritePut> puts;
  std::vector<std::string> deletes;

  friend bool operator==(const StoreWrite&, const StoreWrite&) = default;
};

/**
 * The platform's store as the gateway uses it. An error with `kMayHaveRun` leaves open whether a
 * write took effect, now or seconds later. `Watch` answers `kNotFound` when the changes after that
 * revision are no longer known; `Write` answers false when a condition did not hold; `KeepLease`
 * answers `kNotFound` when the lease has ended.
 */
template <typename T>
concept CoordinationStore = requires(T& store, std::int64_t number, StoreWrite write,
                                     Milliseconds time, Deadline deadline) {
  { store.Snapshot(deadline) } -> std::same_as<boost::asio::awaitable<Result<StateUpdate>>>;
  { store.Watch(number, time) } -> std::same_as<boost::asio::awaitable<Result<StateUpdate>>>;
  { store.Write(write, deadline) } -> std::same_as<boost::asio::awaitable<Result<bool>>>;
  { store.GrantLease(time, deadline) } -> std::same_as<boost::asio::awaitable<Result<LeaseGrant>>>;
  {
    store.KeepLease(number, time, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<LeaseGrant>>>;
  { store.EndLease(number, deadline) } -> std::same_as<boost::asio::awaitable<Result<void>>>;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_COORDINATION_STORE_H_
