#include "node/digest.h"

#include <xxhash.h>

#include <algorithm>

namespace limpetfall::detail {
namespace {

constexpr std::uint64_t kExpiryStepMs = 2000;

// The expiry of two copies of an entry differs by the network delay. A smaller difference than this
// is not an extension.
constexpr std::uint32_t kMinExtensionMs = 500;

}  // namespace

std::uint64_t HashKey(std::string_view key) { return XXH3_64bits(key.data(), key.size()); }

BucketHashes HashBuckets(const std::vector<EntryDigest>& digests, std::uint64_t receiver_clock_ms) {
  BucketHashes hashes{};
  for (const EntryDigest& digest : digests) {
    const bool expires = digest.remaining_ms > 0 && digest.remaining_ms < kMaxComparedLifetimeMs;
    const std::uint64_t step = (receiver_clock_ms + digest.remaining_ms) / kExpiryStepMs;
    const std::array<std::uint64_t, 3> parts = {digest.key, digest.version, expires ? step : 0};
    hashes[BucketIndex(digest.key)] ^=
        static_cast<std::uint32_t>(XXH3_64bits(parts.data(), sizeof parts));
  }
  return hashes;
}

bool HasLaterExpiry(const EntryDigest& local, const EntryDigest& remote) {
  if (local.version != remote.version) return false;
  return std::min(local.remaining_ms, kMaxComparedLifetimeMs) >
         std::min(remote.remaining_ms, kMaxComparedLifetimeMs) + kMinExtensionMs;
}

}  // namespace limpetfall::detail
