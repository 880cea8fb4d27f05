#include "core/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace limpetfall {
namespace {

constexpr auto kQuarantineDuration = std::chrono::minutes(10);
constexpr int kLossesToQuarantine = 2;

// The version of an entry consists of a sequence number, a hash of the group that was lost last and
// a hash of the node that wrote the entry. Versions of two nodes are therefore never equal, and a
// node can determine whether two marks refer to the same lost group.
constexpr unsigned kNodeBits = 16;
constexpr unsigned kGroupBits = 16;
constexpr std::uint64_t kLowMask = 0xffff;

std::uint64_t SequenceOf(const SharedEntry& entry) {
  return entry.version >> (kNodeBits + kGroupBits);
}

std::uint64_t GroupBitsOf(const SharedEntry& entry) {
  return (entry.version >> kNodeBits) & kLowMask;
}

std::uint64_t GroupBits(const GroupSummary& group) {
  const std::string text =
      group.domain.value + "/" + group.group.value + "/" + std::to_string(group.generation);
  return XXH3_64bits(text.data(), text.size()) & kLowMask;
}

constexpr auto kSweepInterval = std::chrono::seconds(10);

const SuspectMark& MarkOf(const SharedEntry& entry) { return std::get<SuspectMark>(entry.value); }

std::uint64_t HashCombine(std::uint64_t seed, const std::string& text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t HashCombine(std::uint64_t seed, std::uint64_t number) {
  return XXH3_64bits_withSeed(&number, sizeof(number), seed);
}

bool HasActiveMark(const SharedEntry& entry, TimePoint now) {
  return entry.expires > now && !MarkOf(entry).cleared && MarkOf(entry).losses > 0;
}

std::string EntryKey(std::uint64_t fingerprint) { return "suspect/" + std::to_string(fingerprint); }

}  // namespace

std::uint64_t Fingerprint(const CompletionRequest& request, const ModelVersion& version) {
  std::uint64_t hash = HashCombine(0, request.model.value);
  hash = HashCombine(hash, version.value);
  hash = HashCombine(hash, request.prompt);
  hash = HashCombine(hash, static_cast<std::uint64_t>(request.max_tokens));
  return HashCombine(hash, request.seed);
}

QuarantineTable::QuarantineTable(NodeId self)
    : node_bits(XXH3_64bits(self.value.data(), self.value.size()) & kLowMask) {}

QuarantineStatus QuarantineTable::Check(std::uint64_t fingerprint, TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() || !HasActiveMark(found->second, now))
    return QuarantineStatus::kNone;
  return MarkOf(found->second).losses < kLossesToQuarantine ? QuarantineStatus::kSuspect
                                                            : QuarantineStatus::kQuarantined;
}

SharedEntry QuarantineTable::Store(const SuspectMark& mark, std::uint64_t group_bits,
                                   TimePoint now) {
  this->RemoveExpired(now);
  auto& entry = this->entries[mark.fingerprint];
  const std::uint64_t sequence = SequenceOf(entry) + 1;
  const std::uint64_t version =
      (sequence << (kNodeBits + kGroupBits)) | (group_bits << kNodeBits) | this->node_bits;
  entry = SharedEntry{EntryKey(mark.fingerprint), version, now + kQuarantineDuration, mark};
  return entry;
}

SharedEntry QuarantineTable::OnLoss(std::uint64_t fingerprint, const GroupSummary& group,
                                    TimePoint now) {
  const std::lock_guard lock(this->mutex);
  int losses = 1;
  if (auto found = this->entries.find(fingerprint);
      found != this->entries.end() && HasActiveMark(found->second, now)) {
    const bool same_group = GroupBitsOf(found->second) == GroupBits(group);
    losses = same_group ? MarkOf(found->second).losses : kLossesToQuarantine;
  }
  return this->Store({fingerprint, losses, false}, GroupBits(group), now);
}

Result<SharedEntry> QuarantineTable::BeginTrial(std::uint64_t fingerprint, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  std::uint64_t group_bits = 0;
  if (auto found = this->entries.find(fingerprint);
      found != this->entries.end() && HasActiveMark(found->second, now)) {
    if (MarkOf(found->second).losses >= kLossesToQuarantine) {
      return NotRun(ErrorCode::kQuarantined,
                    "the request is quarantined because upstreams were lost while they ran it");
    }
    group_bits = GroupBitsOf(found->second);
  }
  return this->Store({fingerprint, kLossesToQuarantine, false}, group_bits, now);
}

bool QuarantineTable::MayStartTrial(const SharedEntry& trial) const {
  const std::lock_guard lock(this->mutex);
  auto found = this->entries.find(MarkOf(trial).fingerprint);
  return found != this->entries.end() && found->second.version == trial.version;
}

std::optional<SharedEntry> QuarantineTable::AbandonTrial(const SharedEntry& trial, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  const std::uint64_t fingerprint = MarkOf(trial).fingerprint;
  auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() || found->second.version != trial.version) return std::nullopt;
  return this->Store({fingerprint, kLossesToQuarantine - 1, false}, GroupBitsOf(trial), now);
}

std::optional<SharedEntry> QuarantineTable::OnSuccess(std::uint64_t fingerprint, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() || MarkOf(found->second).cleared) return std::nullopt;
  return this->Store({fingerprint, 0, true}, 0, now);
}

std::optional<SharedEntry> QuarantineTable::Merge(const SharedEntry& entry, TimePoint now) {
  const auto* mark = std::get_if<SuspectMark>(&entry.value);
  if (mark == nullptr || entry.expires <= now) return std::nullopt;
  const std::lock_guard lock(this->mutex);
  this->RemoveExpired(now);
  auto [found, inserted] = this->entries.try_emplace(mark->fingerprint, entry);
  if (inserted) return std::nullopt;
  SharedEntry& known = found->second;
  const bool different_groups_lost =
      HasActiveMark(known, now) && HasActiveMark(entry, now) &&
      SequenceOf(known) == SequenceOf(entry) && GroupBitsOf(known) != GroupBitsOf(entry) &&
      MarkOf(known).losses < kLossesToQuarantine && mark->losses < kLossesToQuarantine;
  if (known.version < entry.version) known = entry;
  if (!different_groups_lost) return std::nullopt;
  return this->Store({mark->fingerprint, kLossesToQuarantine, false}, GroupBitsOf(known), now);
}

void QuarantineTable::RemoveExpired(TimePoint now) {
  if (now - this->last_sweep < kSweepInterval) return;
  this->last_sweep = now;
  std::erase_if(this->entries, [&](const auto& item) { return item.second.expires <= now; });
}

}  // namespace limpetfall
