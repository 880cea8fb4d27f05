#include "core/runner-registry.h"

#include <xxhash.h>

#include <utility>

namespace limpetfall {

std::uint64_t UpstreamHash(const VmId& upstream) {
  return XXH3_64bits(upstream.value.data(), upstream.value.size());
}

namespace {

/** Returns whether a membership may be one that the same process had before another one. */
bool IsEarlier(const std::optional<RunnerMembership>& a, const std::optional<RunnerMembership>& b) {
  if (a == b) return false;
  if (!a || !b || a->epoch != b->epoch || a->group != b->group)
    return !a || !b || a->epoch <= b->epoch;
  return a->stage < b->stage;
}

}  // namespace

void RunnerRegistry::Apply(Runner runner, ChangeOrigin origin, TimePoint now) {
  this->held.erase(runner.id);
  if (origin == ChangeOrigin::kRestored) return this->ApplyRestored(std::move(runner), now);
  this->Store(std::move(runner));
}

void RunnerRegistry::ApplyRestored(Runner restored, TimePoint now) {
  const auto found = this->known.find(restored.id);
  if (found == this->known.end()) {
    const auto gone = this->removed.find(restored.id);
    const bool is_removed =
        gone != this->removed.end() && gone->second.started_ms == restored.started_ms;
    if (!is_removed) return this->Store(std::move(restored));
    const VmId id = restored.id;
    this->held[id] = {std::move(restored), now + this->options.expiry_time};
    return;
  }
  Runner& before = found->second;
  const bool same_process = before.started_ms == restored.started_ms;
  if (same_process) {
    restored.leaving = restored.leaving || before.leaving;
    before.leaving = restored.leaving;
  }
  // A higher revision is later in the history that the copy shares, or was written since.
  const bool is_rewritten = before.revision.number < restored.revision.number;
  const bool is_newer = same_process
                            ? is_rewritten || !IsEarlier(restored.membership, before.membership)
                            : before.started_ms < restored.started_ms;
  if (is_newer) return this->Store(std::move(restored));
  before.is_confirmed = false;
}

void RunnerRegistry::Remove(const VmId& id, ChangeOrigin origin, TimePoint now) {
  this->held.erase(id);
  const auto found = this->known.find(id);
  if (found == this->known.end()) return;
  if (origin == ChangeOrigin::kRestored) {
    this->held[id] = {std::nullopt, now + this->options.rewrite_time};
    return;
  }
  // A copy is some seconds old at most, and the store may be away before it is restored.
  constexpr Milliseconds kMemory{60000};
  this->removed[id] = {found->second.started_ms, now + kMemory};
  this->Erase(id);
}

void RunnerRegistry::Confirm(const VmId& id, std::int64_t started_ms,
                             std::optional<RunnerMembership> membership) {
  const auto found = this->known.find(id);
  if (found == this->known.end() || found->second.started_ms != started_ms) return;
  if (found->second.is_confirmed) return;
  found->second.membership = std::move(membership);
  found->second.is_confirmed = true;
}

void RunnerRegistry::DoubtMemberships() {
  for (auto& [id, runner] : this->known) runner.is_confirmed = false;
}

void RunnerRegistry::ApplyDue(TimePoint now, TimePoint store_read) {
  std::erase_if(this->removed,
                [now](const auto& entry) { return entry.second.remembered_until <= now; });
  for (auto it = this->held.begin(); it != this->held.end();) {
    // What an upstream without an entry has written since may not have been read yet.
    const TimePoint passed = it->second.runner ? now : store_read;
    if (passed < it->second.until) {
      ++it;
      continue;
    }
    const auto [id, entry] = *it;
    it = this->held.erase(it);
    if (entry.runner) {
      this->Store(*entry.runner);
    } else {
      // That it has ended is a presumption, which its entry in a later copy may refute.
      this->Erase(id);
    }
  }
}

std::vector<VmId> RunnerRegistry::Unconfirmed() const {
  std::vector<VmId> ids;
  for (const auto& [id, runner] : this->known) {
    if (!runner.is_confirmed) ids.push_back(id);
  }
  return ids;
}

void RunnerRegistry::Store(Runner runner) {
  this->removed.erase(runner.id);
  this->by_hash[UpstreamHash(runner.id)] = runner.id;
  this->known.insert_or_assign(runner.id, std::move(runner));
}

void RunnerRegistry::Erase(const VmId& id) {
  this->known.erase(id);
  this->by_hash.erase(UpstreamHash(id));
}

const VmId* RunnerRegistry::FindByHash(std::uint64_t hash) const {
  const auto found = this->by_hash.find(hash);
  return found == this->by_hash.end() ? nullptr : &found->second;
}

}  // namespace limpetfall
