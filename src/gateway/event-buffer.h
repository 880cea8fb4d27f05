#ifndef LIMPETFALL_GATEWAY_EVENT_BUFFER_H_
#define LIMPETFALL_GATEWAY_EVENT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "limpetfall/result.h"

namespace limpetfall {

/**
 * Splits a byte stream into complete server-sent events and checks that their ids are consecutive.
 * Partial events are never forwarded, so another upstream can continue after the last complete
 * event.
 */
class EventBuffer {
 public:
  /** `last_id` is the id of the last event that the caller has received, if any. */
  explicit EventBuffer(std::optional<std::int64_t> last_id) : last(last_id) {}

  /** Buffer to which bytes of the upstream are appended. */
  [[nodiscard]] std::string& bytes() { return this->buffer; }

  /**
   * Removes and returns the complete events that have arrived; empty if there are none. It is an
   * error if an event does not follow the previous one, or exceeds `kMaxEventBytes` before it is
   * complete. After an error, `last_id` is still the last event that was returned.
   */
  [[nodiscard]] Result<std::string> TakeCompleteEvents();

  /** Discards a partial event, so that another upstream can continue the stream. */
  void DiscardPartialEvent() {
    this->buffer.clear();
    this->searched_bytes = 0;
  }

  [[nodiscard]] bool has_partial_event() const { return !this->buffer.empty(); }
  [[nodiscard]] std::optional<std::int64_t> last_id() const { return this->last; }

  /** Far more than an event with a few tokens needs. */
  static constexpr std::size_t kMaxEventBytes = 64 << 10;

 private:
  std::string buffer;
  std::size_t searched_bytes = 0;  ///< Start of `buffer` that contains no end of an event.
  std::optional<std::int64_t> last;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_EVENT_BUFFER_H_
