#ifndef LIMPETFALL_TEST_HARNESS_ENDLESS_SERVER_H_
#define LIMPETFALL_TEST_HARNESS_ENDLESS_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>

#include "limpetfall/time.h"

namespace limpetfall::testing {

/** What an `EndlessServer` sends in response to each request. */
struct EndlessResponse {
  std::string start;                ///< Sent once; "{id}" stands for the id of the request.
  std::string filler;               ///< Sent again and again until the client closes.
  Milliseconds filler_interval{0};  ///< Pause before each filler; 0 sends as fast as possible.
};

/**
 * A server in trouble: it answers each request with bytes that never end. The bytes of a response
 * are valid HTTP as far as they go.
 */
class EndlessServer {
 public:
  EndlessServer(boost::asio::io_context& context, EndlessResponse endless);

  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::size_t requests() const { return this->request_count; }
  /** Returns the maximum of the bytes sent on all connections that were open at the same time. */
  [[nodiscard]] std::size_t max_open_bytes() const { return this->most_open_bytes; }
  [[nodiscard]] std::size_t open_connections() const { return this->connection_count; }

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io;
  EndlessResponse response;
  boost::asio::ip::tcp::acceptor acceptor;
  std::size_t request_count = 0;
  std::size_t connection_count = 0;
  std::size_t open_bytes = 0;  ///< Sent on the connections that are open.
  std::size_t most_open_bytes = 0;
};

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_ENDLESS_SERVER_H_
