#include "harness/endless-server.h"

#include <algorithm>
#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/lexical_cast.hpp>
#include <utility>

#include "base/pause.h"
#include "harness/scripted-server.h"

namespace limpetfall::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

}  // namespace

EndlessServer::EndlessServer(asio::io_context& context, EndlessResponse endless)
    : io(context),
      response(std::move(endless)),
      acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  asio::co_spawn(this->io, this->Accept(), asio::detached);
}

std::string EndlessServer::address() const {
  return boost::lexical_cast<std::string>(this->acceptor.local_endpoint());
}

asio::awaitable<void> EndlessServer::Accept() {
  for (;;) {
    auto [error, socket] = co_await this->acceptor.async_accept(kNoThrow);
    if (error) co_return;
    asio::co_spawn(this->io, this->Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> EndlessServer::Serve(tcp::socket socket) {
  ++this->connection_count;
  std::size_t sent = 0;
  std::string head;
  const auto [read_error, length] =
      co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", kNoThrow);
  if (!read_error) {
    ++this->request_count;
    std::string bytes = boost::replace_all_copy(this->response.start, "{id}", FindRequestId(head));
    for (;;) {
      const auto [error, written] =
          co_await asio::async_write(socket, asio::buffer(bytes), kNoThrow);
      sent += written;
      this->open_bytes += written;
      this->most_open_bytes = std::max(this->most_open_bytes, this->open_bytes);
      if (error) break;
      bytes = this->response.filler;
      if (this->response.filler_interval > Milliseconds(0))
        co_await limpetfall::detail::PauseUntil(Clock::now() + this->response.filler_interval);
    }
  }
  --this->connection_count;
  this->open_bytes -= sent;
}

}  // namespace limpetfall::testing
