#ifndef LIMPETFALL_UPSTREAM_SERVICE_REPORT_H_
#define LIMPETFALL_UPSTREAM_SERVICE_REPORT_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/routing.h"
#include "http/client.h"

namespace limpetfall {

/** Fetches the load and the leaving state of the plain service at `address`. */
boost::asio::awaitable<Result<ServiceReport>> FetchServiceReport(HttpClient& client,
                                                                 std::string address,
                                                                 Deadline deadline);

}  // namespace limpetfall

#endif  // LIMPETFALL_UPSTREAM_SERVICE_REPORT_H_
