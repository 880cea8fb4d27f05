#ifndef LIMPETFALL_CORE_RUNNER_REGISTRY_H_
#define LIMPETFALL_CORE_RUNNER_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/runner.h"
#include "core/state-mirror.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Returns the hash that identifies an upstream in messages between nodes. */
std::uint64_t UpstreamHash(const VmId& upstream);

struct RunnerRegistryOptions {
  /** Time after a restore of the store within which running upstreams write their entries again. */
  Milliseconds rewrite_time{2200};
  /** The store removes the entry of an upstream that has ended within this time. */
  Milliseconds expiry_time{8000};
};

/**
 * The upstreams that this node knows by their entries in the store. An entry of a restored store
 * may be older than what the node knows, or newer, if the upstream has written it again already.
 * What is known of one process only changes in one direction decides: it does not stop leaving, and
 * the epochs of its groups rise. Where neither is known to be newer, the known membership stays,
 * not confirmed. Performs no I/O.
 *
 *     registry.Apply(runner, ChangeOrigin::kRestored, now);
 *     for (;;) registry.ApplyDue(Clock::now(), store_read);
 */
class RunnerRegistry {
 public:
  explicit RunnerRegistry(RunnerRegistryOptions settings) : options(settings) {}

  /** Applies the entry of an upstream. */
  void Apply(Runner runner, ChangeOrigin origin, TimePoint now);

  /** Applies the removal of an entry. If the restored store has no entry, its upstream has time to
   * write again first. */
  void Remove(const VmId& id, ChangeOrigin origin, TimePoint now);

  /** Records the membership that a process has stated itself. */
  void Confirm(const VmId& id, std::int64_t started_ms, std::optional<RunnerMembership> membership);

  /** Marks all memberships as not confirmed: entries may be older than the last restore. */
  void DoubtMemberships();

  /** Applies the entries that are no longer held back. What the store held at `store_read` has been
   * applied before: an upstream cannot write its entry again while the store is away. */
  void ApplyDue(TimePoint now, TimePoint store_read);

  [[nodiscard]] const std::map<VmId, Runner>& runners() const { return this->known; }

  /** Returns the upstreams whose membership is not confirmed. */
  [[nodiscard]] std::vector<VmId> Unconfirmed() const;

  /** Returns the upstream with this hash, or null. */
  [[nodiscard]] const VmId* FindByHash(std::uint64_t hash) const;

  /** Returns the number of entries that are held back. */
  [[nodiscard]] std::size_t held_count() const { return this->held.size(); }

 private:
  struct HeldEntry {
    std::optional<Runner> runner;  ///< Absent if the restored store has no entry.
    Deadline until;
  };

  /** An upstream whose entry was removed. */
  struct RemovedRunner {
    std::int64_t started_ms = 0;
    Deadline remembered_until;
  };

  void ApplyRestored(Runner restored, TimePoint now);
  void Store(Runner runner);
  void Erase(const VmId& id);

  RunnerRegistryOptions options;
  std::map<VmId, Runner> known;
  std::map<std::uint64_t, VmId> by_hash;
  std::map<VmId, HeldEntry> held;
  std::map<VmId, RemovedRunner> removed;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_RUNNER_REGISTRY_H_
