#ifndef LIMPETFALL_UPSTREAM_SERVICE_CALL_H_
#define LIMPETFALL_UPSTREAM_SERVICE_CALL_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/request.h"
#include "http/client.h"

namespace limpetfall {

/**
 * Sends the call once to the plain service at `address` ("IP:port").
 *
 * A complete response is a success whatever its status, because the call ran. A refusal of a call
 * that did not run and a connection that was not established are errors with `kNotRun`. Every other
 * failure is `kMayHaveRun`. This function does not set the `version` of the result.
 *
 *     auto answer = co_await SendServiceCall(*client, upstream.address, call, call.deadline);
 */
boost::asio::awaitable<Result<ServiceAnswer>> SendServiceCall(HttpClient& client,
                                                              std::string address, ServiceCall call,
                                                              Deadline deadline);

}  // namespace limpetfall

#endif  // LIMPETFALL_UPSTREAM_SERVICE_CALL_H_
