#include "http/response-head.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace limpetfall {
namespace {

// Maximum length of a value in an error message.
constexpr std::size_t kMaxQuotedBytes = 40;

Error Malformed(const std::string& problem) {
  return MayHaveRun(ErrorCode::kUpstreamProtocol, problem);
}

/** Returns the length that a value of `Content-Length` states, once or several times. */
std::optional<std::int64_t> ParseLength(std::string_view text) {
  std::optional<std::int64_t> length;
  for (;;) {
    const std::string_view part = text.substr(0, text.find(','));
    std::int64_t value = 0;
    const auto parsed = std::from_chars(part.data(), part.data() + part.size(), value);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == part.data() + part.size();
    if (!valid || part.front() == '-' || value != length.value_or(value)) return std::nullopt;
    length = value;
    if (part.size() == text.size()) return length;
    text.remove_prefix(part.size() + 1);
    text.remove_prefix(std::min(text.size(), text.find_first_not_of(" \t")));
  }
}

bool IsDigit(char c) { return '0' <= c && c <= '9'; }

bool IsBlank(char c) { return c == ' ' || c == '\t'; }

/** Returns whether a text has no control characters, except tabs. */
bool IsFieldText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return IsBlank(c) || (byte > 0x20 && byte != 0x7f);
  });
}

std::string_view TrimBlanks(std::string_view text) {
  while (!text.empty() && IsBlank(text.front())) text.remove_prefix(1);
  while (!text.empty() && IsBlank(text.back())) text.remove_suffix(1);
  return text;
}

}  // namespace

std::optional<std::string> ResponseHead::Find(const std::string& name) const {
  const auto found = this->headers.find(name);
  if (found == this->headers.end()) return std::nullopt;
  return found->second;
}

Result<void> CheckResponseStatus(int status) {
  constexpr int kFirstStatus = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kLastStatus = 599;
  if (status < kFirstStatus || kLastStatus < status)
    return Malformed("the status " + std::to_string(status) + " is undefined");
  if (status == kSwitchingProtocols) return Malformed("no change of the protocol was requested");
  return success();
}

Result<void> CheckBodyFraming(int minor_version, const std::optional<std::string>& coding,
                              const std::optional<std::string>& length) {
  if (length && !ParseLength(*length))
    return Malformed("the length \"" + length->substr(0, kMaxQuotedBytes) + "\" is invalid");
  if (!coding) return success();
  if (!boost::iequals(*coding, "chunked")) {
    return Malformed("the transfer coding \"" + coding->substr(0, kMaxQuotedBytes) +
                     "\" was not requested");
  }
  if (length) return Malformed("the body has a length and chunks");
  if (minor_version == 0) return Malformed("HTTP/1.0 has no chunks");
  return success();
}

Result<void> ResponseHeadReader::AddLine(std::string_view line) {
  constexpr std::string_view kLineEnd = "\r\n";
  BOOST_OUTCOME_TRY(this->CheckSize(line.size()));
  if (!line.ends_with(kLineEnd)) return Malformed("a line of the head does not end with CR LF");
  line.remove_suffix(kLineEnd.size());
  if (!IsFieldText(line)) return Malformed("the head has a control character");
  if (this->section == Section::kStatusLine) return this->AddStatusLine(line);
  if (line.empty()) return this->EndSection();
  return IsBlank(line.front()) ? this->AddFold(line) : this->AddField(line);
}

Result<void> ResponseHeadReader::CheckSize(std::size_t line_size) {
  this->section_bytes += line_size;
  if (this->section_bytes <= kMaxHeadBytes && this->interim_bytes <= kMaxInterimBytes)
    return success();
  return MayHaveRun(ErrorCode::kResponseTooLarge,
                    "the head or trailer of the response is too large");
}

Result<void> ResponseHeadReader::AddStatusLine(std::string_view line) {
  constexpr std::size_t kVersionSize = std::string_view("HTTP/1.1 ").size();
  constexpr std::size_t kStatusSize = 3;
  const bool is_1_1 = line.starts_with("HTTP/1.1 ");
  if (!is_1_1 && !line.starts_with("HTTP/1.0 "))
    return Malformed("the version is not HTTP/1.1 or HTTP/1.0");
  const std::string_view status = line.substr(kVersionSize, kStatusSize);
  line.remove_prefix(kVersionSize + status.size());
  const bool valid = status.size() == kStatusSize && line.starts_with(' ') &&
                     std::all_of(status.begin(), status.end(), IsDigit);
  if (!valid) return Malformed("the status line has no status");
  this->response = {};
  this->minor_version = is_1_1 ? 1 : 0;
  std::from_chars(status.data(), status.data() + status.size(), this->response.status);
  this->last_name.clear();
  this->section = Section::kFields;
  return CheckResponseStatus(this->response.status);
}

Result<void> ResponseHeadReader::AddField(std::string_view line) {
  const std::size_t colon = line.find(':');
  const std::string name(line.substr(0, colon));
  if (colon == std::string_view::npos || !IsToken(name)) {
    return Malformed("the line \"" + std::string(line.substr(0, kMaxQuotedBytes)) +
                     "\" is no field");
  }
  this->last_name = name;
  if (this->section == Section::kTrailer) return success();
  const std::string_view value = TrimBlanks(line.substr(colon + 1));
  const auto [entry, added] = this->response.headers.emplace(name, value);
  // A repeated header must not be mistaken for a single one with either value.
  if (!added) entry->second.append(", ").append(value);
  return success();
}

Result<void> ResponseHeadReader::AddFold(std::string_view line) {
  if (this->last_name.empty()) return Malformed("the first line of the head begins with a blank");
  if (this->section == Section::kTrailer) return success();
  std::string& value = this->response.headers.at(this->last_name);
  const std::string_view rest = TrimBlanks(line);
  if (!value.empty() && !rest.empty()) value += ' ';
  value += rest;
  return success();
}

Result<void> ResponseHeadReader::EndSection() {
  this->last_name.clear();
  if (IsInterim(this->response.status)) this->interim_bytes += this->section_bytes;
  this->section_bytes = 0;
  this->section = IsInterim(this->response.status) ? Section::kStatusLine : Section::kTrailer;
  return CheckBodyFraming(this->minor_version, this->response.Find("Transfer-Encoding"),
                          this->response.Find("Content-Length"));
}

}  // namespace limpetfall
