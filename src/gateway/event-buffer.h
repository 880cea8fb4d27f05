#ifndef LIMPETFALL_GATEWAY_EVENT_BUFFER_H_
#define LIMPETFALL_GATEWAY_EVENT_BUFFER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "limpetfall/result.h"

namespace limpetfall {

/**
 * Cuts the bytes of server-sent events into whole events and checks that their ids go on without a
 * gap. A part of an event is never handed on, so that another upstream can go on behind the last
 * whole one.
 */
class EventBuffer {
 public:
  /** `last_id` is the id of the last event that the caller has, if any. */
  explicit EventBuffer(std::optional<std::int64_t> last_id) : last(last_id) {}

  /** Where bytes of the upstream are appended. */
  [[nodiscard]] std::string& bytes() { return this->buffer; }

  /** Takes out the whole events that have arrived; empty when there are none. */
  [[nodiscard]] Result<std::string> TakeCompleteEvents();

  /** Drops a part of an event before another upstream goes on. */
  void DiscardPartialEvent() { this->buffer.clear(); }

  [[nodiscard]] bool has_partial_event() const { return !this->buffer.empty(); }
  [[nodiscard]] std::optional<std::int64_t> last_id() const { return this->last; }

 private:
  std::string buffer;
  std::optional<std::int64_t> last;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_EVENT_BUFFER_H_
