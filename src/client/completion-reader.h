#ifndef LIMPETFALL_CLIENT_COMPLETION_READER_H_
#define LIMPETFALL_CLIENT_COMPLETION_READER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpetfall/client.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Parses `{"error":{"code","message","verdict"}}`. Missing fields are taken from `fallback`. */
Error ParseErrorBody(std::string_view body, Error fallback);

/**
 * Parses the event stream of one attempt of a completion. Tokens that an earlier attempt delivered
 * to the caller must be repeated unchanged. They are not delivered again.
 */
class CompletionReader {
 public:
  /** `delivered_tokens` holds the tokens that the caller has received. New tokens are appended. */
  CompletionReader(std::string request_id, std::vector<std::string>* delivered_tokens,
                   const TokenCallback& on_token)
      : request_id(std::move(request_id)), delivered_tokens(delivered_tokens), on_token(on_token) {}

  /** Parses bytes of the body. Returns false if the stream is invalid or has an error event. */
  bool Append(std::string_view bytes);

  /** Succeeds if the end marker was received after all tokens. */
  [[nodiscard]] Result<void> Finish() const;

  /** Returns whether the stream contained an error event or was invalid. */
  [[nodiscard]] bool has_stream_error() const { return this->stream_error.has_value(); }

  /** Returns whether the tokens differ from those already delivered. A retry cannot help then. */
  [[nodiscard]] bool token_mismatch() const { return this->has_token_mismatch; }

 private:
  bool OnLine(std::string_view line);
  bool OnEvent();
  bool OnToken(std::string text);
  bool Fail(std::string message);

  std::string request_id;
  std::vector<std::string>* delivered_tokens;
  const TokenCallback& on_token;
  std::string buffer;
  std::string event_name;
  std::string event_data;
  std::size_t next_token_index = 0;
  bool end_marker_received = false;
  bool has_token_mismatch = false;
  std::optional<Error> stream_error;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CLIENT_COMPLETION_READER_H_
