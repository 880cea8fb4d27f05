#ifndef LIMPETFALL_REVIEW_STAND_INS_CALLERS_H_
#define LIMPETFALL_REVIEW_STAND_INS_CALLERS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "gateway/http-connection.h"

namespace limpetfall::review {

/** What a caller has received for one request. `complete` is false if the answer ended early. */
struct Answer {
  int status = 0;
  Headers headers;
  std::string body;
  bool complete = false;
  std::string error;  ///< Why the answer is incomplete.
};

/** Returns a short text about an answer, for the record. */
std::string Describe(const Answer& answer);

/** Sends a request on a connection and reads the answer until `deadline`. */
boost::asio::awaitable<Answer> CallOn(std::shared_ptr<HttpConnection> connection,
                                      HttpRequest request, Deadline deadline);

/** Sends a request on a new connection. */
boost::asio::awaitable<Answer> Call(boost::asio::io_context& io, std::string address,
                                    HttpRequest request, Deadline deadline);

}  // namespace limpetfall::review

#endif  // LIMPETFALL_REVIEW_STAND_INS_CALLERS_H_
