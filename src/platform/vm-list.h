#ifndef LIMPETFALL_PLATFORM_VM_LIST_H_
#define LIMPETFALL_PLATFORM_VM_LIST_H_

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"
#include "http/client.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Fetches the platform's list of live and leaving VMs that run engines. The list may be outdated.
 */
boost::asio::awaitable<Result<std::vector<Vm>>> FetchVms(HttpClient& client, std::string address,
                                                         Deadline deadline);

/** Parses the body of the list. One malformed entry fails the whole list, because a missing entry
 * would look like the loss of a VM. */
Result<std::vector<Vm>> ParseVms(std::string_view json);

}  // namespace limpetfall

#endif  // LIMPETFALL_PLATFORM_VM_LIST_H_
