#ifndef LIMPETFALL_NODE_DIGEST_H_
#define LIMPETFALL_NODE_DIGEST_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "limpetfall/time.h"

// Internal to the package: detects the entries that differ between two nodes.

namespace limpetfall::detail {

// One hash per bucket is sent with each exchange: 256 bytes.
inline constexpr std::size_t kBucketCount = 64;

/** The properties of an entry that two nodes compare. */
struct EntryDigest {
  std::uint64_t key = 0;  ///< Hash of the key.
  std::uint64_t version = 0;
  std::uint32_t remaining_ms = 0;  ///< 0 for members, which do not expire.

  friend bool operator==(const EntryDigest&, const EntryDigest&) = default;
};

using BucketHashes = std::array<std::uint32_t, kBucketCount>;

// Longer lifetimes are sent as this value.
inline constexpr Milliseconds kMaxLifetime = std::chrono::hours(24);

// Longer lifetimes compare equal. An entry that never expires is sent with a lifetime of 24 h in
// each message, so its expiry would otherwise differ at every comparison.
inline constexpr std::uint32_t kMaxComparedLifetimeMs = 3'600'000;

std::uint64_t HashKey(std::string_view key);

inline std::size_t BucketIndex(std::uint64_t key) { return key % kBucketCount; }

/**
 * Hashes the digests of each bucket independently of their order. The expiry is rounded down to 2 s
 * on the receiver's clock, so that an extension changes the hash and the network delay rarely does.
 */
BucketHashes HashBuckets(const std::vector<EntryDigest>& digests, std::uint64_t receiver_clock_ms);

/** Returns whether `local` has a later expiry than `remote` of the same version by
 * more than the network delay. */
bool HasLaterExpiry(const EntryDigest& local, const EntryDigest& remote);

}  // namespace limpetfall::detail

#endif  // LIMPETFALL_NODE_DIGEST_H_
