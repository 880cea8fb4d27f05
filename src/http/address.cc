#include "http/address.h"

#include <charconv>

namespace limpetfall {

namespace asio = boost::asio;
using asio::ip::tcp;

Result<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const Error malformed =
      NotRun(ErrorCode::kInvalidArgument, "address \"" + address + "\" is not of the form IP:port");
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return malformed;
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(host, error);
  if (error) return malformed;
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return malformed;
  return tcp::endpoint(ip, port);
}

}  // namespace limpetfall
