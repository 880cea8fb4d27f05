#include "harness/scripted-server.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/lexical_cast.hpp>
#include <memory>
#include <utility>

#include "base/pause.h"

namespace limpetfall::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void> SendLater(std::shared_ptr<tcp::socket> socket, std::string bytes,
                                Deadline at) {
  co_await limpetfall::detail::PauseUntil(at);
  [[maybe_unused]] const auto [error, length] =
      co_await asio::async_write(*socket, asio::buffer(bytes), kNoThrow);
}

}  // namespace

std::string FindRequestId(const std::string& head) {
  constexpr std::string_view kName = "X-Request-Id: ";
  const auto found = head.find(kName);
  if (found == std::string::npos) return "";
  const auto start = found + kName.size();
  return head.substr(start, head.find("\r\n", start) - start);
}

ScriptedServer::ScriptedServer(asio::io_context& context, Script responses)
    : io(context),
      script(std::move(responses)),
      acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  asio::co_spawn(this->io, this->Accept(), asio::detached);
}

std::string ScriptedServer::address() const {
  return boost::lexical_cast<std::string>(this->acceptor.local_endpoint());
}

asio::awaitable<void> ScriptedServer::Accept() {
  for (;;) {
    auto [error, socket] = co_await this->acceptor.async_accept(kNoThrow);
    if (error) co_return;
    asio::co_spawn(this->io, this->Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> ScriptedServer::Serve(tcp::socket accepted) {
  const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
  for (;;) {
    std::string request;
    while (request.find("\r\n\r\n") == std::string::npos) {
      char part[4096];
      const auto [error, length] =
          co_await socket->async_read_some(asio::buffer(part, sizeof part), kNoThrow);
      if (error) co_return;
      request.append(part, length);
    }
    const std::string id = FindRequestId(request);
    const ScriptedResponse response = this->script(id, this->request_ids.size());
    this->request_ids.push_back(id);
    co_await limpetfall::detail::PauseUntil(Clock::now() + this->response_delay);
    const std::string bytes = boost::replace_all_copy(response.bytes, "{id}", id);
    const auto [error, length] = co_await asio::async_write(*socket, asio::buffer(bytes), kNoThrow);
    if (error) co_return;
    if (!response.extra.empty()) {
      asio::co_spawn(this->io,
                     SendLater(socket, boost::replace_all_copy(response.extra, "{id}", id),
                               Clock::now() + response.extra_delay),
                     asio::detached);
    }
    if (response.end == ScriptedEnd::kKeep) continue;
    boost::system::error_code ignored;
    if (response.end == ScriptedEnd::kReset) socket->set_option(asio::socket_base::linger(true, 0));
    // Bytes sent before a reset are lost unless the peer has read them.
    co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(20));
    socket->close(ignored);
    co_return;
  }
}

}  // namespace limpetfall::testing
