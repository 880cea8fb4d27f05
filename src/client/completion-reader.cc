#include "client/completion-reader.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace limpetfall {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxLineBytes = 1 << 20;

std::optional<ErrorCode> ParseErrorCode(std::string_view text) {
  for (int value = 0; value <= static_cast<int>(ErrorCode::kInternal); ++value) {
    const auto code = static_cast<ErrorCode>(value);
    if (ToString(code) == text) return code;
  }
  return std::nullopt;
}

std::string StringMember(const Json& object, const char* name) {
  auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

Error ParseErrorBody(std::string_view body, Error fallback) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("error") || !json["error"].is_object()) return fallback;
  const Json& error = json["error"];
  if (auto code = ParseErrorCode(StringMember(error, "code"))) fallback.code = *code;
  if (auto verdict = ParseVerdict(StringMember(error, "verdict"))) fallback.verdict = *verdict;
  if (auto message = StringMember(error, "message"); !message.empty()) fallback.message = message;
  return fallback;
}

bool CompletionReader::Fail(std::string message) {
  this->stream_error = MayHaveRun(ErrorCode::kUpstreamProtocol, std::move(message));
  return false;
}

bool CompletionReader::Append(std::string_view bytes) {
  this->buffer.append(bytes);
  std::size_t start = 0;
  for (auto end = this->buffer.find('\n'); end != std::string::npos;
       end = this->buffer.find('\n', start)) {
    std::string_view line = std::string_view(this->buffer).substr(start, end - start);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (!this->OnLine(line)) return false;
    start = end + 1;
  }
  this->buffer.erase(0, start);
  return this->buffer.size() <= kMaxLineBytes || this->Fail("an event is too long");
}

bool CompletionReader::OnLine(std::string_view line) {
  if (line.empty()) return this->OnEvent();
  if (line.starts_with("event: ")) this->event_name = line.substr(7);
  if (line.starts_with("data: ")) this->event_data += line.substr(6);
  return true;
}

bool CompletionReader::OnEvent() {
  const std::string name = std::exchange(this->event_name, {});
  const std::string body = std::exchange(this->event_data, {});
  if (body.empty() && name.empty()) return true;
  if (name == "error") {
    this->stream_error =
        ParseErrorBody(body, MayHaveRun(ErrorCode::kInternal, "the error event is not valid"));
    return false;
  }
  if (this->end_marker_received) return this->Fail("received data after the end marker");
  if (body == "[DONE]") {
    if (this->next_token_index < this->delivered_tokens->size()) {
      this->has_token_mismatch = true;
      return this->Fail("the retried completion has fewer tokens than were already delivered");
    }
    this->end_marker_received = true;
    return true;
  }
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return this->Fail("an event is not a JSON object");
  if (StringMember(json, "id") != this->request_id) {
    return this->Fail("an event belongs to another request");
  }
  const auto index = json.find("token_index");
  if (index == json.end() || !index->is_number_unsigned() || *index != this->next_token_index) {
    return this->Fail("a token is missing or duplicated");
  }
  const auto choices = json.find("choices");
  if (choices == json.end() || !choices->is_array() || choices->size() != 1 ||
      !choices->front().is_object() || !choices->front().contains("text") ||
      !choices->front()["text"].is_string()) {
    return this->Fail("an event does not have exactly one choice with a text");
  }
  return this->OnToken(choices->front()["text"].get<std::string>());
}

bool CompletionReader::OnToken(std::string text) {
  const std::size_t index = this->next_token_index++;
  if (index < this->delivered_tokens->size()) {
    if ((*this->delivered_tokens)[index] == text) return true;
    this->has_token_mismatch = true;
    return this->Fail("the retried completion differs from the tokens already delivered");
  }
  this->delivered_tokens->push_back(std::move(text));
  if (this->on_token) this->on_token(this->delivered_tokens->back());
  return true;
}

Result<void> CompletionReader::Finish() const {
  if (this->stream_error) return *this->stream_error;
  if (this->end_marker_received) return success();
  return MayHaveRun(ErrorCode::kUpstreamProtocol, "the stream ended without an end marker");
}

}  // namespace limpetfall
