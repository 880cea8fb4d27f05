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

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_MALFORMED_RESPONSES_H_
