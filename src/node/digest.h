#ifndef LIMPETFALL_NODE_DIGEST_H_
#define LIMPETFALL_NODE_DIGEST_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "limpetfall/time.h"

// Internal to the package: finds out which entries two nodes hold differently.

namespace limpetfall::detail {

// One hash per bucket is sent with each exchange: 256 bytes.
inline constexpr std::size_t kBucketCount = 64;

/** What is compared of one entry. */
struct EntryDigest {
  std::uint64_t key = 0;  ///< Hash of the key.
  std::uint64_t version = 0;
  std::uint32_t remaining_ms = 0;  ///< 0 for members, which do not expire.

  friend bool operator==(const EntryDigest&, const EntryDigest&) = default;
};

using BucketHashes = std::array<std::uint32_t, kBucketCount>;

// Messages carry at most 24 h.
inline constexpr Milliseconds kMaxLifetime = std::chrono::hours(24);

// Longer lives compare as equal. The expiry of an entry without an end, of which each message tells
// 24 h, would otherwise differ at every comparison.
inline constexpr std::uint32_t kMaxComparedLifetimeMs = 3'600'000;

std::uint64_t HashKey(std::string_view key);

inline std::size_t BucketIndex(std::uint64_t key) { return key % kBucketCount; }

/**
 * Hashes the digests of each bucket without regard to their order. Expiry counts in steps of 2 s on
 * the receiver's clock, so that an extension is noticed and the network delay mostly is not.
 */
BucketHashes HashBuckets(const std::vector<EntryDigest>& digests, std::uint64_t receiver_clock_ms);

/** Returns whether `local` has a later expiry than `remote` by more than the network delay. */
bool HasLaterExpiry(const EntryDigest& local, const EntryDigest& remote);

}  // namespace limpetfall::detail

#endif  // LIMPETFALL_NODE_DIGEST_H_
