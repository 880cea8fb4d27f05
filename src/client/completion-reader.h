#ifndef LIMPETFALL_CLIENT_COMPLETION_READER_H_
#define LIMPETFALL_CLIENT_COMPLETION_READER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpetfall/client.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Parses `{"error":{"code","message","verdict"}}`; `fallback` applies to what is missing. */
Error ParseErrorBody(std::string_view body, Error fallback);

/**
 * Reads the event stream of one attempt of a completion. Tokens that an earlier attempt has already
 * passed on must come again unchanged and are not passed on twice.
 */
class CompletionReader {
 public:
  /** `passed_on` holds the tokens that the caller has; new ones are added to it. */
  CompletionReader(std::string request_id, std::vector<std::string>* passed_on,
                   const TokenCallback& on_token)
      : request_id(std::move(request_id)), passed_on(passed_on), on_token(on_token) {}

  /** Takes bytes of the body; returns false when the stream is wrong or ended with an error. */
  bool Add(std::string_view bytes);

  /** Succeeds if the end mark has arrived after all tokens. */
  [[nodiscard]] Result<void> Finish() const;

  /** Returns whether the stream itself said how the completion failed. */
  [[nodiscard]] bool failed() const { return this->failure.has_value(); }

  /** Returns whether other tokens came than the caller already has; another attempt cannot help. */
  [[nodiscard]] bool differs() const { return this->tokens_differ; }

 private:
  bool OnLine(std::string_view line);
  bool OnEvent();
  bool OnToken(std::string text);
  bool Fail(std::string message);

  std::string request_id;
  std::vector<std::string>* passed_on;
  const TokenCallback& on_token;
  std::string buffer;
  std::string event;
  std::string data;
  std::size_t next_index = 0;
  bool done = false;
  bool tokens_differ = false;
  std::optional<Error> failure;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CLIENT_COMPLETION_READER_H_
