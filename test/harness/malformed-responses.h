#ifndef LIMPETFALL_TEST_HARNESS_MALFORMED_RESPONSES_H_
#define LIMPETFALL_TEST_HARNESS_MALFORMED_RESPONSES_H_

#include <string>
#include <string_view>
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

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_MALFORMED_RESPONSES_H_
