#include "upstream/completion.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "upstream/refusal.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

// An event contains one token, so an engine sends no longer events.
constexpr std::size_t kMaxEventBytes = 1 << 20;

// The end of the body usually follows the end mark in the same packet. After the end of the body
// the connection can be reused. If it does not arrive within this time, the connection is closed.
constexpr Milliseconds kBodyEndTimeout{50};

/** One server-sent event. */
struct Event {
  std::string type;
  std::string data;
};

/** Splits a byte stream into server-sent events. */
class EventParser {
 public:
  /** Appends bytes. Returns false if an event is too long. */
  bool Add(std::string_view bytes) {
    this->buffer.append(bytes);
    return this->buffer.size() - this->position <= kMaxEventBytes;
  }

  /** Returns the next complete event. */
  std::optional<Event> Next() {
    while (auto line = this->NextLine()) {
      if (!line->empty()) {
        this->AddLine(*line);
        continue;
      }
      if (!this->has_data) {
        this->event = Event();
        continue;
      }
      this->has_data = false;
      return std::exchange(this->event, Event());
    }
    return std::nullopt;
  }

  /** Returns whether no part of a further event has been received. */
  [[nodiscard]] bool empty() const {
    return this->position == this->buffer.size() && !this->has_data;
  }

 private:
  std::optional<std::string_view> NextLine() {
    const auto end = this->buffer.find('\n', this->position);
    if (end == std::string::npos) {
      this->buffer.erase(0, std::exchange(this->position, 0));
      return std::nullopt;
    }
    std::string_view line(this->buffer.data() + this->position, end - this->position);
    this->position = end + 1;
    if (line.ends_with('\r')) line.remove_suffix(1);
    return line;
  }

  void AddLine(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == 0) return;  // A comment, which keeps the connection open.
    const std::string_view field = line.substr(0, colon);
    std::string_view value;
    if (colon != std::string_view::npos) value = line.substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    if (field == "event") this->event.type = value;
    if (field != "data") return;
    if (this->has_data) this->event.data += '\n';
    this->event.data += value;
    this->has_data = true;
  }

  std::string buffer;
  std::size_t position = 0;
  Event event;
  bool has_data = false;
};

HttpRequest BuildRequest(const GroupSummary& group, const CompletionRequest& completion,
                         const std::vector<std::string>& resume_tokens) {
  const json body = {{"model", completion.model.value},
                     {"prompt", completion.prompt},
                     {"max_tokens", completion.max_tokens},
                     {"seed", completion.seed},
                     {"stream", true},
                     {"priority", ToString(completion.priority)},
                     {"resume_tokens", resume_tokens}};
  HttpRequest request;
  request.method = "POST";
  request.address = group.members.front().address;
  request.target = "/v1/completions";
  request.headers["Content-Type"] = "application/json";
  request.headers["X-Request-Id"] = completion.id.value;
  request.headers["X-Group-Generation"] = std::to_string(group.generation);
  request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

bool HasHeader(const Headers& headers, const std::string& name, const std::string& value) {
  const auto found = headers.find(name);
  return found != headers.end() && found->second == value;
}

class EngineStream final : public TokenStream {
 public:
  EngineStream(std::unique_ptr<HttpStream> http_stream, std::string engine, RequestId request_id,
               Generation group_generation, std::size_t first_index)
      : stream(std::move(http_stream)),
        address(std::move(engine)),
        id(std::move(request_id)),
        generation(group_generation),
        next_index(first_index) {}

  asio::awaitable<Result<std::optional<std::string>>> Next(Deadline deadline) override {
    if (this->ended) co_return std::optional<std::string>();
    if (this->failure) co_return *this->failure;
    Result<std::optional<std::string>> token = co_await this->ReadToken(deadline);
    if (token && token.value()) co_return token;
    if (token) {
      const Result<void> finished = co_await this->FinishBody(deadline);
      if (!finished) token = finished.error();
    }
    this->ended = token.has_value();
    if (!token) this->failure = token.error();
    // Closes the connection unless the whole body has been read.
    this->stream.reset();
    co_return token;
  }

 private:
  [[nodiscard]] Error ProtocolError(const std::string& what) const {
    return MayHaveRun(ErrorCode::kUpstreamProtocol, "upstream " + this->address + ": " + what);
  }

  asio::awaitable<Result<std::optional<std::string>>> ReadToken(Deadline deadline) {
    for (;;) {
      if (auto event = this->events.Next()) co_return this->ParseToken(*event);
      BOOST_OUTCOME_CO_TRY(auto bytes, co_await this->stream->Read(deadline));
      if (!bytes) co_return this->ProtocolError("the stream ended without an end mark");
      if (!this->events.Add(*bytes)) co_return this->ProtocolError("an event is too long");
    }
  }

  /** Returns the event's token, or nothing if it is the end mark. */
  Result<std::optional<std::string>> ParseToken(const Event& event) {
    if (event.type == "error")
      return this->ProtocolError("the engine sent an error event: " + event.data);
    if (!event.type.empty()) return this->ProtocolError("unknown event \"" + event.type + "\"");
    if (event.data == "[DONE]") return std::optional<std::string>();
    const json body = json::parse(event.data, nullptr, false);
    if (!body.is_object()) return this->ProtocolError("an event is not a JSON object");
    BOOST_OUTCOME_TRY(this->CheckIdentity(body));
    const auto choices = body.find("choices");
    if (choices == body.end() || !choices->is_array() || choices->size() != 1) {
      return this->ProtocolError("an event does not have exactly one choice");
    }
    const json& choice = choices->front();
    if (!choice.is_object() || !choice.contains("text") || !choice["text"].is_string()) {
      return this->ProtocolError("a choice has no text");
    }
    ++this->next_index;
    return std::optional<std::string>(choice["text"].get<std::string>());
  }

  Result<void> CheckIdentity(const json& body) {
    const auto event_id = body.find("id");
    if (event_id == body.end() || *event_id != this->id.value) {
      return this->ProtocolError("an event belongs to another request");
    }
    const auto event_generation = body.find("generation");
    if (event_generation != body.end() && *event_generation != this->generation) {
      return this->ProtocolError("an event belongs to another generation of the group");
    }
    const auto index = body.find("token_index");
    if (index == body.end() || !index->is_number_unsigned()) {
      return this->ProtocolError("an event has no token index");
    }
    if (*index == this->next_index) return success();
    return this->ProtocolError("received token " + index->dump() + " but token " +
                               std::to_string(this->next_index) + " was expected");
  }

  /** Verifies that nothing follows the end mark. */
  asio::awaitable<Result<void>> FinishBody(Deadline deadline) {
    const Deadline end = std::min<Deadline>(deadline, Clock::now() + kBodyEndTimeout);
    while (this->events.empty()) {
      const auto bytes = co_await this->stream->Read(end);
      // The completion is complete; only the connection cannot be reused.
      if (!bytes || !bytes.value()) co_return success();
      if (!this->events.Add(*bytes.value())) break;
      if (this->events.Next()) break;
    }
    co_return this->ProtocolError("received bytes after the end mark");
  }

  std::unique_ptr<HttpStream> stream;
  std::string address;
  RequestId id;
  Generation generation;
  std::size_t next_index;
  EventParser events;
  bool ended = false;
  std::optional<Error> failure;  ///< Returned by every further call.
};

/** Checks that the headers belong to the response of this group to this request. */
Result<void> CheckResponseHeaders(const HttpStream& stream, Generation generation,
                                  const RequestId& id, const std::string& address) {
  if (auto refusal = ParseRefusal(stream.status(), stream.headers(), address)) return *refusal;
  const auto protocol_error = [&](const std::string& what) {
    return MayHaveRun(ErrorCode::kUpstreamProtocol, "upstream " + address + ": " + what);
  };
  if (stream.status() != 200) {
    return protocol_error("responded with status " + std::to_string(stream.status()));
  }
  if (!HasHeader(stream.headers(), "X-Request-Id", id.value)) {
    return protocol_error("the response belongs to another request");
  }
  if (!HasHeader(stream.headers(), "X-Group-Generation", std::to_string(generation))) {
    return protocol_error("the response belongs to another generation of the group");
  }
  return success();
}

asio::awaitable<Result<std::unique_ptr<TokenStream>>> OpenStream(
    HttpClient& client, HttpRequest http_request, Generation generation, RequestId id,
    std::size_t first_index, Deadline deadline) {
  const std::string address = http_request.address;
  BOOST_OUTCOME_CO_TRY(auto stream, co_await client.Open(std::move(http_request), deadline));
  BOOST_OUTCOME_CO_TRY(CheckResponseHeaders(*stream, generation, id, address));
  co_return std::make_unique<EngineStream>(std::move(stream), address, id, generation, first_index);
}

asio::awaitable<Result<std::unique_ptr<TokenStream>>> FailWith(Error error) { co_return error; }

}  // namespace

asio::awaitable<Result<std::unique_ptr<TokenStream>>> OpenCompletion(
    HttpClient& client, const GroupSummary& group, const CompletionRequest& request,
    const std::vector<std::string>& resume_tokens, Deadline deadline) {
  if (group.members.empty()) {
    return FailWith(
        NotRun(ErrorCode::kUnavailable, "group " + group.group.value + " has no members"));
  }
  HttpRequest http_request = BuildRequest(group, request, resume_tokens);
  return OpenStream(client, std::move(http_request), group.generation, request.id,
                    resume_tokens.size(), deadline);
}

}  // namespace limpetfall
