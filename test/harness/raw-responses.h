#ifndef LIMPETFALL_TEST_HARNESS_RAW_RESPONSES_H_
#define LIMPETFALL_TEST_HARNESS_RAW_RESPONSES_H_

#include <string>
#include <vector>

namespace limpetfall::testing {

/** A response to send, byte for byte. */
struct RawResponse {
  std::string name;  ///< What is wrong with it, for messages.
  std::string bytes;
};

/** Returns a response with this status line and these field lines, and the body "done". */
inline std::string MakeRawResponse(const std::string& status_line, const std::string& fields,
                                   const std::string& framing = "Content-Length: 4\r\n",
                                   const std::string& body = "done") {
  return status_line + "\r\n" + fields + framing + "\r\n" + body;
}

/** Returns responses whose status no server may send in reply to a plain request. `fields` are
 * valid field lines that each response has in addition. */
inline std::vector<RawResponse> ResponsesWithInvalidStatus(const std::string& fields = "") {
  std::vector<RawResponse> responses;
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    responses.push_back({std::string("status ") + status,
                         MakeRawResponse(std::string("HTTP/1.1 ") + status + " Odd", fields)});
  }
  return responses;
}

/** Returns responses whose status line does not follow the grammar. */
inline std::vector<RawResponse> ResponsesWithMalformedStatusLine(const std::string& fields = "") {
  using std::string_literals::operator""s;
  std::vector<RawResponse> responses;
  for (const std::string& line :
       {"HTTP/0.9 200 OK"s, "HTTP/1.9 200 OK"s, "HTTP/2 200 OK"s, "HTTP/2.0 200 OK"s,
        "HTTP/1.1 20 OK"s, "HTTP/1.1 2000 OK"s, "HTTP/1.1 2x0 OK"s, "HTTP/1.1 -20 OK"s,
        "HTTP/1.1  200 OK"s, "HTTP/1.1\t200 OK"s, "HTTP/1.1 200"s, "http/1.1 200 OK"s,
        "HTTP/1.1 200 O\x01K"s, "HTTP/1.1 200 O\0K"s, "HTTP/1.1 200 O\x7fK"s,
        "HTTP/1.1 200 O\rK"s}) {
    responses.push_back({"status line " + line, MakeRawResponse(line, fields)});
  }
  return responses;
}

/** Returns responses with a line that is no valid field. */
inline std::vector<RawResponse> ResponsesWithMalformedField(const std::string& fields = "") {
  using std::string_literals::operator""s;
  std::vector<RawResponse> responses;
  for (const std::string& line : {"X Odd: 1"s,
                                  "X\tOdd: 1"s,
                                  "X\0Odd: 1"s,
                                  "X\x01Odd: 1"s,
                                  "X\x7fOdd: 1"s,
                                  "X\x80Odd: 1"s,
                                  "X(Odd): 1"s,
                                  "X\rOdd: 1"s,
                                  "\x01X-Odd: 1"s,
                                  "X-Odd : 1"s,
                                  "X-Odd\t: 1"s,
                                  ": 1"s,
                                  "X-Odd"s,
                                  "X-Odd: 1\0"s,
                                  "X-Odd: \x01"s,
                                  "X-Odd: 1\x7f"s,
                                  "X-Odd: 1\r2"s,
                                  "X-Odd: 1\nX-Other: 2"s,
                                  "\x01"
                                  "Content-Length: 2"s,
                                  "Content-Length : 2"s,
                                  "Content-Length\x01: 2"s,
                                  "Transfer-Encoding : chunked"s}) {
    responses.push_back(
        {"line " + line, MakeRawResponse("HTTP/1.1 200 OK", fields + line + "\r\n")});
    responses.push_back(
        {"first line " + line,
         MakeRawResponse("HTTP/1.1 200 OK", std::string(line).append("\r\n").append(fields))});
  }
  responses.push_back(
      {"first line folded", MakeRawResponse("HTTP/1.1 200 OK\r\n X-Odd: 1", fields)});
  responses.push_back(
      {"bare LF at the end", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\ndone"});
  responses.push_back(
      {"bare LF after the status", "HTTP/1.1 200 OK\n" + fields + "Content-Length: 4\r\n\r\ndone"});
  return responses;
}

/** Returns responses whose body has several ends, or one that only unknown rules determine. */
inline std::vector<RawResponse> ResponsesWithInvalidFraming(const std::string& fields = "") {
  const std::string chunks = "4\r\ndone\r\n0\r\n\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  std::vector<RawResponse> responses;
  for (const char* length :
       {"4, 5", "+4", "-1", "-0", "4x", "0x4", "4 4", "", "4,", "99999999999999999999"}) {
    const std::string field = std::string("Content-Length: ") + length + "\r\n";
    responses.push_back({field, MakeRawResponse("HTTP/1.1 200 OK", fields, field)});
  }
  responses.push_back(
      {"two lengths",
       MakeRawResponse("HTTP/1.1 200 OK", fields, "Content-Length: 4\r\nContent-Length: 2\r\n")});
  responses.push_back(
      {"folded length", MakeRawResponse("HTTP/1.1 200 OK", fields, "Content-Length: 4\r\n 2\r\n")});
  responses.push_back(
      {"length, then chunks",
       MakeRawResponse("HTTP/1.1 200 OK", fields, "Content-Length: 14\r\n" + chunked, chunks)});
  responses.push_back(
      {"chunks, then length",
       MakeRawResponse("HTTP/1.1 200 OK", fields, chunked + "Content-Length: 14\r\n", chunks)});
  responses.push_back(
      {"length and coding", MakeRawResponse("HTTP/1.1 200 OK", fields,
                                            "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n")});
  responses.push_back(
      {"chunks in HTTP/1.0", MakeRawResponse("HTTP/1.0 200 OK", fields, chunked, chunks)});
  for (const char* coding : {"gzip", "x-odd", "identity", "chunked, gzip", "gzip, chunked",
                             "chunked, chunked", "chunked;a=1", "", "chunked,x"}) {
    const std::string field = std::string("Transfer-Encoding: ") + coding + "\r\n";
    responses.push_back({field, MakeRawResponse("HTTP/1.1 200 OK", fields, field, chunks)});
  }
  responses.push_back(
      {"two codings", MakeRawResponse("HTTP/1.1 200 OK", fields,
                                      "Transfer-Encoding: gzip\r\n" + chunked, chunks)});
  responses.push_back(
      {"chunked twice", MakeRawResponse("HTTP/1.1 200 OK", fields, chunked + chunked, chunks)});
  return responses;
}

/** Returns responses that look odd but follow the grammar. */
inline std::vector<RawResponse> UnusualValidResponses() {
  const std::string chunks = "4\r\ndone\r\n0\r\n\r\n";
  std::vector<RawResponse> responses;
  for (const char* line : {"HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 200 \xe9\t!",
                           "HTTP/1.1 299 Odd", "HTTP/1.1 599 Odd"}) {
    responses.push_back({std::string("status line ") + line, MakeRawResponse(line, "")});
  }
  for (const char* field :
       {"X-Odd:", "X-Odd:1", "X-Odd: \t1\t ", "X-Odd: \xe9\xff", "X-Odd: a\tb", "1: 1",
        "!#$%&'*+-.^_`|~: 1", "X-Odd: 1\r\n 2", "X-Odd:\r\n\t2", "content-LENGTH: 4"}) {
    responses.push_back(
        {field, MakeRawResponse("HTTP/1.1 200 OK", std::string(field).append("\r\n"))});
  }
  for (const char* coding : {"Chunked", "\tchunked ", "CHUNKED"}) {
    const std::string field = std::string("Transfer-Encoding:").append(coding).append("\r\n");
    responses.push_back({field, MakeRawResponse("HTTP/1.1 200 OK", "", field, chunks)});
  }
  return responses;
}

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_RAW_RESPONSES_H_
