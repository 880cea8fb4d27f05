#ifndef LIMPETFALL_HTTP_RESPONSE_HEAD_H_
#define LIMPETFALL_HTTP_RESPONSE_HEAD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "http/client.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Maximum size of the head of a response. Common servers limit it to 8 or 16 KiB. */
constexpr std::size_t kMaxHeadBytes = 32 << 10;

/** Maximum size of the interim responses to one request, which may be many. */
constexpr std::size_t kMaxInterimBytes = 256 << 10;

/** Returns whether another response to the same request follows one with this status. */
constexpr bool IsInterim(int status) { return status < 200; }

struct ResponseHead {
  int status = 0;
  Headers headers;

  /** Returns the value of a header, if present. */
  [[nodiscard]] std::optional<std::string> Find(const std::string& name) const;
};

/** Returns an error if no server may respond with this status to a request without an upgrade. */
Result<void> CheckResponseStatus(int status);

/**
 * Returns an error if the head of a response does not determine one end of its body. The arguments
 * are the minor version of HTTP/1 and the values of `Transfer-Encoding` and `Content-Length`, if
 * present, with those of repeated fields joined by commas.
 */
Result<void> CheckBodyFraming(int minor_version, const std::optional<std::string>& coding,
                              const std::optional<std::string>& length);

/**
 * Reads the lines of a response's head, past those of interim responses, and then those of its
 * trailer. Fails on what RFC 9112 does not allow, of which libcurl, which splits the lines, lets
 * much pass.
 */
class ResponseHeadReader {
 public:
  /** Takes the next line with its line ending. After an error, the response must not be used. */
  Result<void> AddLine(std::string_view line);

  /** Returns whether the head of the final response is complete. */
  [[nodiscard]] bool is_complete() const { return this->section == Section::kTrailer; }

  [[nodiscard]] const ResponseHead& head() const { return this->response; }

 private:
  enum class Section { kStatusLine, kFields, kTrailer };

  /** Returns an error if the lines up to one of this size are more than a response may have. */
  Result<void> CheckSize(std::size_t line_size);
  Result<void> AddStatusLine(std::string_view line);
  Result<void> AddField(std::string_view line);
  Result<void> AddFold(std::string_view line);
  Result<void> EndSection();

  Section section = Section::kStatusLine;
  ResponseHead response;
  int minor_version = 1;
  std::size_t section_bytes = 0;  ///< Size of the current head or trailer so far.
  std::size_t interim_bytes = 0;  ///< Size of all interim heads so far.
  std::string last_name;          ///< Name of the last field, to whose value a folded line belongs.
};

}  // namespace limpetfall

#endif  // LIMPETFALL_HTTP_RESPONSE_HEAD_H_
