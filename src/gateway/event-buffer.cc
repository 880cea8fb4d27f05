#include "gateway/event-buffer.h"

#include <charconv>

namespace limpetfall {
namespace {

/** Returns the number in the `id:` line of an event, if there is one. */
std::optional<std::int64_t> EventId(std::string_view event) {
  std::size_t start = 0;
  while (start < event.size()) {
    const std::size_t end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with("id:")) continue;
    line.remove_prefix(3);
    while (line.starts_with(' ')) line.remove_prefix(1);
    std::int64_t id = 0;
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) return id;
  }
  return std::nullopt;
}

}  // namespace

Result<std::string> EventBuffer::TakeCompleteEvents() {
  std::size_t complete_bytes = 0;
  for (;;) {
    const std::size_t end = this->buffer.find("\n\n", complete_bytes);
    if (end == std::string::npos) break;
    const std::string_view event(this->buffer.data() + complete_bytes, end + 2 - complete_bytes);
    const auto id = EventId(event);
    if (id) {
      if (this->last && *id != *this->last + 1) {
        return MayHaveRun(
            ErrorCode::kUpstreamProtocol,
            "event " + std::to_string(*id) + " follows event " + std::to_string(*this->last));
      }
      this->last = id;
    }
    complete_bytes = end + 2;
  }
  std::string complete = this->buffer.substr(0, complete_bytes);
  this->buffer.erase(0, complete_bytes);
  return complete;
}

}  // namespace limpetfall
