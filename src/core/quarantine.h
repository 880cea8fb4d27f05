#ifndef LIMPETFALL_CORE_QUARANTINE_H_
#define LIMPETFALL_CORE_QUARANTINE_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/request.h"
#include "core/types.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Hashes what determines how a completion runs: model, version, prompt and parameters. */
std::uint64_t Fingerprint(const CompletionRequest& request, const ModelVersion& version);

/** How a request may run in view of the losses seen so far. */
enum class Suspicion {
  kNone,         ///< No upstream was lost while it ran this request.
  kSuspect,      ///< May run once more, after `BeginTrial`.
  kQuarantined,  ///< May not run.
};

/**
 * Requests during which upstreams were lost. Thread-safe.
 *
 * The second run of a suspect is a trial. Its node counts the trial as a loss in advance and tells
 * all nodes before it starts, so that no other node runs the same request meanwhile, and a node
 * that dies during the trial leaves the request quarantined. Of two nodes that begin a trial at the
 * same time, the one with the lower entry version receives the other's mark and gives way.
 */
class QuarantineTable {
 public:
  explicit QuarantineTable(NodeId self);

  [[nodiscard]] Suspicion Check(std::uint64_t fingerprint, TimePoint now) const;

  /**
   * Counts the loss of `group` while it ran the request. Copies that were lost with the same group
   * count once. Returns the entry to push.
   */
  [[nodiscard]] SharedEntry OnLoss(std::uint64_t fingerprint, const GroupSummary& group,
                                   TimePoint now);

  /** Claims the second run; the entry is pushed before `MayStartTrial` is asked. */
  [[nodiscard]] Result<SharedEntry> BeginTrial(std::uint64_t fingerprint, TimePoint now);

  /** Returns whether the trial still belongs to this node after its mark has been pushed. */
  [[nodiscard]] bool MayStartTrial(const SharedEntry& trial) const;

  /** Gives back a trial that certainly did not run. Returns nothing if it is no longer held. */
  [[nodiscard]] std::optional<SharedEntry> AbandonTrial(const SharedEntry& trial, TimePoint now);

  /** Clears a request that ran to its end. Returns nothing when it was not suspect. */
  [[nodiscard]] std::optional<SharedEntry> OnSuccess(std::uint64_t fingerprint, TimePoint now);

  /**
   * Takes a mark from another node. Returns an entry to push when the two nodes have each seen the
   * request lose a different group, which neither mark alone says.
   */
  std::optional<SharedEntry> Merge(const SharedEntry& entry, TimePoint now);

 private:
  void RemoveExpired(TimePoint now);
  SharedEntry Store(const SuspectMark& mark, std::uint64_t group_bits, TimePoint now);

  std::uint64_t node_bits;
  mutable std::mutex mutex;
  std::unordered_map<std::uint64_t, SharedEntry> entries;
  TimePoint last_sweep;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_QUARANTINE_H_
