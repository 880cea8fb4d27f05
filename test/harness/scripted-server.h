#ifndef LIMPETFALL_TEST_HARNESS_SCRIPTED_SERVER_H_
#define LIMPETFALL_TEST_HARNESS_SCRIPTED_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "limpetfall/time.h"

namespace limpetfall::testing {

/** What happens to the connection after a scripted response. */
enum class ScriptedEnd { kKeep, kClose, kReset };

/** Bytes that a `ScriptedServer` sends in response to a request. */
struct ScriptedResponse {
  std::string bytes;  ///< "{id}" stands for the id of the request.
  std::string extra;  ///< Sent `extra_delay` after `bytes`, also while the next request arrives.
  Milliseconds extra_delay{0};
  ScriptedEnd end = ScriptedEnd::kKeep;
};

/** An upstream that sends whatever the test states, valid or not. Request bodies must be empty or
 * of one packet with the head. */
class ScriptedServer {
 public:
  /** Returns the response to the request with this id and number, counted from 0. */
  using Script = std::function<ScriptedResponse(const std::string& id, std::size_t number)>;

  ScriptedServer(boost::asio::io_context& context, Script responses);

  [[nodiscard]] std::string address() const;

  /** Returns the ids of the requests that have arrived, in order. */
  [[nodiscard]] const std::vector<std::string>& requests() const { return this->request_ids; }

  /** Time between a request and its response. */
  Milliseconds response_delay{0};

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io;
  Script script;
  boost::asio::ip::tcp::acceptor acceptor;
  std::vector<std::string> request_ids;
};

/** Returns the id of a request from its head, or an empty text. */
std::string FindRequestId(const std::string& head);

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_SCRIPTED_SERVER_H_
