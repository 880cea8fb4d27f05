#ifndef LIMPETFALL_CORE_DRAIN_H_
#define LIMPETFALL_CORE_DRAIN_H_

#include <cstddef>

#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Stage of a planned stop; stages follow each other in this order only. */
enum class DrainStage {
  kServing,     ///< No stop is planned.
  kAnnouncing,  ///< Other nodes are being told to leave this node out of address answers.
  kAccepting,   ///< Callers may still hold an answer with this address; new work is taken.
  kRefusing,    ///< New work is refused with "not run"; requests in flight go on.
  kFinished,    ///< Nothing is in flight; the process may exit.
};

struct DrainOptions {
  Milliseconds address_ttl{5000};  ///< Longest time for which callers keep an address answer.
  /** Longest wait until all nodes know of the stop; a node cut off for longer is dead to callers.
   */
  Milliseconds announce_bound{5000};
};

/**
 * Stages of a planned stop of a node, as a pure state machine.
 *
 *     drain.Start(now);
 *     if (drain.Tick(in_flight, now) == DrainStage::kFinished) Exit();
 */
class Drain {
 public:
  static Result<Drain> Create(DrainOptions options);

  /** Plans the stop. Further calls change nothing. */
  void Start(TimePoint now);

  /** Says that every reachable node has stopped giving out this node's address. */
  void OnAnnounced(TimePoint now);

  /** Moves to the stage that is due and returns it. */
  DrainStage Tick(std::size_t in_flight, TimePoint now);

  [[nodiscard]] DrainStage stage() const { return this->current; }

  /** Returns whether address answers may name this node. */
  [[nodiscard]] bool InAddresses() const { return this->current == DrainStage::kServing; }

  /** Returns whether new work is taken. */
  [[nodiscard]] bool AcceptsWork() const { return this->current <= DrainStage::kAccepting; }

 private:
  explicit Drain(DrainOptions settings) : options(settings) {}

  DrainOptions options;
  DrainStage current = DrainStage::kServing;
  Deadline deadline;  ///< End of the announcing or accepting stage.
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_DRAIN_H_
