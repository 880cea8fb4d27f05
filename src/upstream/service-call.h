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
 * An answer that arrived whole is a success whatever its status is: the call ran. A refusal that
 * did not run is an error with `kNotRun`, and so is a connection that was never established. Every
 * other failure is `kMayHaveRun`. The answer's `version` is left to the caller of this function.
 *
 *     auto answer = co_await SendServiceCall(*client, upstream.address, call, call.deadline);
 */
boost::asio::awaitable<Result<ServiceAnswer>> SendServiceCall(HttpClient& client,
                                                              std::string address, ServiceCall call,
                                                              Deadline deadline);

}  // namespace limpetfall

#endif  // LIMPETFALL_UPSTREAM_SERVICE_CALL_H_
