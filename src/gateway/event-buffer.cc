#include "gateway/event-buffer.h"

#include <algorithm>
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
  std::optional<std::int64_t> complete_id = this->last;
  for (;;) {
    const std::size_t end =
        this->buffer.find("\n\n", std::max(complete_bytes, this->searched_bytes));
    if (end == std::string::npos) break;
    const std::string_view event(this->buffer.data() + complete_bytes, end + 2 - complete_bytes);
    if (const auto id = EventId(event)) {
      const bool follows = !complete_id || (*complete_id < *id && *id - 1 == *complete_id);
      if (!follows) {
        return MayHaveRun(
            ErrorCode::kUpstreamProtocol,
            "event " + std::to_string(*id) + " follows event " + std::to_string(*complete_id));
      }
      complete_id = id;
    }
    complete_bytes = end + 2;
  }
  if (complete_bytes == 0 && this->buffer.size() > kMaxEventBytes) {
    return MayHaveRun(ErrorCode::kResponseTooLarge,
                      "an event exceeds " + std::to_string(kMaxEventBytes) + " bytes");
  }
  this->last = complete_id;
  std::string complete = this->buffer.substr(0, complete_bytes);
  this->buffer.erase(0, complete_bytes);
  // The last byte may be the first of the two that end an event.
  this->searched_bytes = this->buffer.empty() ? 0 : this->buffer.size() - 1;
  return complete;
}

}  // namespace limpetfall
