#ifndef LIMPETFALL_HTTP_ADDRESS_H_
#define LIMPETFALL_HTTP_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "limpetfall/result.h"

namespace limpetfall {

/** Parses "IP:port". An IPv6 address must be in brackets. */
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address);

}  // namespace limpetfall

#endif  // LIMPETFALL_HTTP_ADDRESS_H_
