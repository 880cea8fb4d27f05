#ifndef LIMPETFALL_UPSTREAM_ENGINE_CONTROL_H_
#define LIMPETFALL_UPSTREAM_ENGINE_CONTROL_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/types.h"
#include "http/client.h"

namespace limpetfall {

/** Fetches the status report of the engine at `address`. */
boost::asio::awaitable<Result<VmReport>> FetchReport(HttpClient& client, std::string address,
                                                     Deadline deadline);

/** Assigns the engine at `address` to `group` as the member with this rank. An empty group id
 * releases the VM. */
boost::asio::awaitable<Result<void>> SendAssignment(HttpClient& client, std::string address,
                                                    GroupRecord group, int rank, Deadline deadline);

}  // namespace limpetfall

#endif  // LIMPETFALL_UPSTREAM_ENGINE_CONTROL_H_
