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

/** Whether a request may run, depending on the upstreams lost while they ran it. */
enum class QuarantineStatus {
  kNone,         ///< No upstream was lost while it ran this request.
  kSuspect,      ///< The request may run once more, after `BeginTrial`.
  kQuarantined,  ///< The request may not run.
};

/**
 * Requests that were running when their upstream was lost. Thread-safe.
 *
 * The second run of a suspect request is a trial. The node that runs it counts the trial as a loss
 * in advance and notifies all nodes before it starts. No other node then runs the same request
 * meanwhile, and the request stays quarantined if the node fails during the trial. If two nodes
 * begin a trial at the same time, the one with the lower entry version receives the mark of the
 * other and does not start.
 */
class QuarantineTable {
 public:
  explicit QuarantineTable(NodeId self);

  [[nodiscard]] QuarantineStatus Check(std::uint64_t fingerprint, TimePoint now) const;

  /**
   * Records the loss of `group` while it ran the request. Several copies of the request that were
   * lost with the same group count once. Returns the entry to push to the other nodes.
   */
  [[nodiscard]] SharedEntry OnLoss(std::uint64_t fingerprint, const GroupSummary& group,
                                   TimePoint now);

  /** Claims the second run. The returned entry must be pushed before calling `MayStartTrial`. */
  [[nodiscard]] Result<SharedEntry> BeginTrial(std::uint64_t fingerprint, TimePoint now);

  /** Returns whether this node still owns the trial after its mark has been pushed. */
  [[nodiscard]] bool MayStartTrial(const SharedEntry& trial) const;

  /** Releases a trial that did not run. Returns nothing if this node no longer owns the trial. */
  [[nodiscard]] std::optional<SharedEntry> AbandonTrial(const SharedEntry& trial, TimePoint now);

  /** Clears the mark of a request that was completed. Returns nothing if there is no such mark. */
  [[nodiscard]] std::optional<SharedEntry> OnSuccess(std::uint64_t fingerprint, TimePoint now);

  /**
   * Merges a mark from another node. Returns an entry to push if each of the two nodes has recorded
   * the loss of a different group, as neither mark alone shows both losses.
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
