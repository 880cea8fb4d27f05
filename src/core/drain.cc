#include "core/drain.h"

namespace limpetfall {

Result<Drain> Drain::Create(DrainOptions options) {
  if (options.address_ttl < Milliseconds(0) || options.announce_timeout < Milliseconds(0) ||
      options.quiet_time < Milliseconds(0)) {
    return NotRun(ErrorCode::kInvalidArgument, "drain times must not be negative");
  }
  return Drain(options);
}

void Drain::Start(TimePoint now) {
  if (this->current != DrainStage::kServing) return;
  this->current = DrainStage::kAnnouncing;
  this->deadline = now + this->options.announce_timeout;
}

// An address response sent just before the last node was notified is valid for the whole TTL, so
// the TTL counts from here and not from the start of the drain.
void Drain::OnAnnounced(TimePoint now) {
  if (this->current != DrainStage::kAnnouncing) return;
  this->current = DrainStage::kAccepting;
  this->deadline = now + this->options.address_ttl;
}

DrainStage Drain::Tick(const DrainLoad& load, TimePoint now) {
  if (this->current == DrainStage::kAnnouncing && this->deadline <= now) {
    this->OnAnnounced(this->deadline);
  }
  if (this->current == DrainStage::kAccepting && this->deadline <= now) {
    // The caller closes the listener now, which may bring in further connections.
    this->current = DrainStage::kRefusing;
    this->deadline = now + this->options.quiet_time;
    this->requests_begun = load.requests_begun;
    return this->current;
  }
  if (this->current != DrainStage::kRefusing) return this->current;
  const bool is_used = load.in_flight > 0 || load.requests_begun != this->requests_begun;
  this->requests_begun = load.requests_begun;
  if (is_used) this->deadline = now + this->options.quiet_time;
  if (load.in_flight > 0) return this->current;
  if (load.connections == 0 || this->deadline <= now) this->current = DrainStage::kFinished;
  return this->current;
}

}  // namespace limpetfall
