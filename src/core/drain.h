#ifndef LIMPETFALL_CORE_DRAIN_H_
#define LIMPETFALL_CORE_DRAIN_H_

#include <cstddef>

#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Stage of a planned stop. Stages are entered only in this order. */
enum class DrainStage {
  kServing,     ///< No stop is planned.
  kAnnouncing,  ///< Other nodes are being notified to remove this node from address responses.
  kAccepting,   ///< Callers may still use a cached address; new requests are accepted.
  kRefusing,    ///< New requests are refused with "not run"; those in flight continue.
  kFinished,    ///< No request is in flight; the process may exit.
};

struct DrainOptions {
  Milliseconds address_ttl{5000};  ///< Longest time for which callers cache an address response.
  /** Longest wait for all nodes to be notified. Callers cannot reach a node that is partitioned
   * for longer. */
  Milliseconds announce_timeout{5000};
};

/**
 * State machine for the planned stop of a node. Performs no I/O.
 *
 *     drain.Start(now);
 *     if (drain.Tick(in_flight, now) == DrainStage::kFinished) Exit();
 */
class Drain {
 public:
  static Result<Drain> Create(DrainOptions options);

  /** Begins the stop. Further calls have no effect. */
  void Start(TimePoint now);

  /** Reports that every reachable node has removed this node from its address responses. */
  void OnAnnounced(TimePoint now);

  /** Advances to the stage that is due and returns it. */
  DrainStage Tick(std::size_t in_flight, TimePoint now);

  [[nodiscard]] DrainStage stage() const { return this->current; }

  /** Returns whether address responses may include this node. */
  [[nodiscard]] bool IsAdvertised() const { return this->current == DrainStage::kServing; }

  /** Returns whether new requests are accepted. */
  [[nodiscard]] bool AcceptsWork() const { return this->current <= DrainStage::kAccepting; }

 private:
  explicit Drain(DrainOptions settings) : options(settings) {}

  DrainOptions options;
  DrainStage current = DrainStage::kServing;
  Deadline deadline;  ///< End of the announcing or accepting stage.
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_DRAIN_H_
