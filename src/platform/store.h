#ifndef LIMPETFALL_PLATFORM_STORE_H_
#define LIMPETFALL_PLATFORM_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** A key of the platform's store with its value and revision at the time of the read. */
struct StoredValue {
  std::string key;
  std::string value;
  std::int64_t revision = 0;  ///< Revision of the last write of this key.

  friend bool operator==(const StoredValue&, const StoredValue&) = default;
};

/** Outcome of a compare-and-swap to which the store has responded. */
struct SwapOutcome {
  bool written = false;
  std::int64_t revision = 0;           ///< Revision of this write, if `written`.
  std::optional<StoredValue> current;  ///< The key's current value, if not `written`.

  friend bool operator==(const SwapOutcome&, const SwapOutcome&) = default;
};

/**
 * The operations of the platform's key-value store that this system uses.
 *
 * `expected_revision` 0 means that the key must not exist. An error of `Swap` with `kMayHaveRun`
 * means that the write may have taken effect; the writer then reads the key and checks whether it
 * holds the writer's own token.
 */
template <typename T>
concept Store = requires(T& store, std::string key, std::string value,
                         std::int64_t expected_revision, std::int64_t lease_seconds,
                         Deadline deadline) {
  {
    store.Get(key, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<std::optional<StoredValue>>>>;
  {
    store.List(key, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<std::vector<StoredValue>>>>;
  {
    store.Swap(key, value, expected_revision, lease_seconds, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<SwapOutcome>>>;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_PLATFORM_STORE_H_
