#ifndef LIMPETFALL_CORE_DRAIN_H_
#define LIMPETFALL_CORE_DRAIN_H_

#include <cstddef>
#include <cstdint>

#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Stage of a planned stop. Stages are entered only in this order. */
enum class DrainStage {
  kServing,     ///< No stop is planned.
  kAnnouncing,  ///< Other nodes are being notified to remove this node from address responses.
  kAccepting,   ///< Callers may still use a cached address; new requests are accepted.
  kRefusing,    ///< New connections are refused; callers may still use those that are open.
  kFinished,    ///< No request is in flight and none is expected; the process may exit.
};

struct DrainOptions {
  Milliseconds address_ttl{5000};  ///< Longest time for which callers cache an address response.
  /** Longest wait for all nodes to be notified. Callers cannot reach a node that is partitioned
   * for longer. */
  Milliseconds announce_timeout{5000};
  /** Callers that keep a connection open are expected to send on it within this time. */
  Milliseconds quiet_time{0};
};

/** What callers do at a node that stops. */
struct DrainLoad {
  std::size_t in_flight = 0;         ///< Requests being read or handled.
  std::size_t connections = 0;       ///< Open connections, also idle ones.
  std::uint64_t requests_begun = 0;  ///< Since the start of the process.

  friend bool operator==(const DrainLoad&, const DrainLoad&) = default;
};

/**
 * State machine for the planned stop of a node. Performs no I/O.
 *
 * A caller cannot know whether a request ran if its connection ends without a response. The process
 * therefore exits when all connections are closed, or when no request has begun on the open ones
 * for the quiet time.
 *
 *     drain.Start(now);
 *     if (drain.Tick({in_flight, connections, begun}, now) == DrainStage::kFinished) Exit();
 */
class Drain {
 public:
  static Result<Drain> Create(DrainOptions options);

  /** Begins the stop. Further calls have no effect. */
  void Start(TimePoint now);

  /** Reports that every reachable node has removed this node from its address responses. */
  void OnAnnounced(TimePoint now);

  /** Advances to the stage that is due and returns it. */
  DrainStage Tick(const DrainLoad& load, TimePoint now);

  [[nodiscard]] DrainStage stage() const { return this->current; }

  /** Returns whether address responses may include this node. */
  [[nodiscard]] bool IsAdvertised() const { return this->current == DrainStage::kServing; }

  /** Returns whether new requests are accepted. */
  [[nodiscard]] bool AcceptsWork() const { return this->current <= DrainStage::kAccepting; }

 private:
  explicit Drain(DrainOptions settings) : options(settings) {}

  DrainOptions options;
  DrainStage current = DrainStage::kServing;
  Deadline deadline;  ///< End of the announcing or accepting stage, or of the quiet time.
  std::uint64_t requests_begun = 0;  ///< At the last tick.
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_DRAIN_H_
