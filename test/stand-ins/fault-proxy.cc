// TCP proxy that delays, closes or blocks connections between two processes under test.
//
// POST /control on the control address sets the mode:
//   {"mode":"pass"}                     forwards both directions
//   {"mode":"cut"}                      closes open connections and refuses new ones
//   {"mode":"silence"}                  keeps all connections open and forwards nothing
//   {"mode":"silence_existing"}         forwards nothing on open connections; new ones pass
//   {"mode":"silence_replies"}          forwards requests and no replies
//   {"mode":"drop_replies"}             forwards requests; closes the connection at the first reply
//   {"mode":"pass","delay_ms":20}       forwards each chunk after a delay

#include <utility>
//
#include <tclap/CmdLine.h>

#include <atomic>
#include <boost/asio.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "http/server.h"

namespace limpetfall {
namespace {

namespace net = boost::asio;
using tcp = net::ip::tcp;

constexpr auto kToken = net::as_tuple(net::use_awaitable);
constexpr std::size_t kBufferBytes = 16 << 10;

enum class Mode { kPass, kCut, kSilence, kSilenceReplies, kDropReplies };

tcp::endpoint ParseAddress(const std::string& text) {
  std::size_t colon = text.rfind(':');
  return {net::ip::make_address(text.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
}

struct Connection {
  tcp::socket client;
  tcp::socket target;
  bool silenced = false;

  void Close() {
    boost::system::error_code ignored;
    this->client.close(ignored);
    this->target.close(ignored);
  }
};

// Not thread-safe: runs on the single thread of the io_context.
class Proxy {
 public:
  Proxy(net::io_context& io, tcp::endpoint target) : io(io), target(std::move(target)) {}

  net::awaitable<void> Listen(tcp::endpoint address) {
    tcp::acceptor acceptor(this->io, address);
    for (;;) {
      auto [error, socket] = co_await acceptor.async_accept(kToken);
      if (error) continue;
      if (this->mode == Mode::kCut) continue;
      net::co_spawn(this->io, this->Serve(std::move(socket)), net::detached);
    }
  }

  bool SetMode(const std::string& name, int delay) {
    static const std::map<std::string, Mode> modes = {{"pass", Mode::kPass},
                                                      {"cut", Mode::kCut},
                                                      {"silence", Mode::kSilence},
                                                      {"silence_existing", Mode::kPass},
                                                      {"silence_replies", Mode::kSilenceReplies},
                                                      {"drop_replies", Mode::kDropReplies}};
    auto found = modes.find(name);
    if (found == modes.end()) return false;
    this->mode = found->second;
    this->delay_ms = delay;
    if (name == "silence_existing") {
      for (auto& connection : this->connections) connection->silenced = true;
    }
    if (this->mode == Mode::kCut) {
      for (auto& connection : this->connections) connection->Close();
    }
    return true;
  }

 private:
  net::awaitable<void> Serve(tcp::socket client) {
    auto connection =
        std::make_shared<Connection>(Connection{std::move(client), tcp::socket(this->io)});
    this->connections.insert(connection);
    auto [error] = co_await connection->target.async_connect(this->target, kToken);
    if (error) {
      connection->Close();
      this->connections.erase(connection);
      co_return;
    }
    net::co_spawn(this->io, this->Copy(connection, false), net::detached);
    co_await this->Copy(connection, true);
    this->connections.erase(connection);
  }

  net::awaitable<void> Copy(std::shared_ptr<Connection> connection, bool reply) {
    tcp::socket& from = reply ? connection->target : connection->client;
    tcp::socket& to = reply ? connection->client : connection->target;
    std::array<char, kBufferBytes> buffer;
    for (;;) {
      auto [error, count] = co_await from.async_read_some(net::buffer(buffer), kToken);
      if (error) break;
      if (reply && this->mode == Mode::kDropReplies) break;
      if (this->IsSilenced(*connection, reply)) continue;
      if (this->delay_ms > 0) {
        net::steady_timer timer(this->io, std::chrono::milliseconds(this->delay_ms));
        co_await timer.async_wait(kToken);
      }
      auto chunk = net::buffer(buffer.data(), count);
      auto [write_error, written] = co_await net::async_write(to, chunk, kToken);
      if (write_error) break;
    }
    // A silenced connection stays open to one end, also after the other end has closed it.
    if (!this->IsSilenced(*connection, reply)) connection->Close();
  }

  [[nodiscard]] bool IsSilenced(const Connection& connection, bool reply) const {
    if (connection.silenced || this->mode == Mode::kSilence) return true;
    return reply && this->mode == Mode::kSilenceReplies;
  }

  net::io_context& io;
  tcp::endpoint target;
  Mode mode = Mode::kPass;
  int delay_ms = 0;
  std::set<std::shared_ptr<Connection>> connections;
};

net::awaitable<void> HandleControl(Proxy& proxy, HttpExchange& exchange) {
  HttpResponse response;
  response.status = 200;
  auto request = nlohmann::json::parse(exchange.request().body, nullptr, false);
  bool known =
      request.is_object() && proxy.SetMode(request.value("mode", ""), request.value("delay_ms", 0));
  if (!known) response.status = 400;
  auto sent = co_await exchange.Send(std::move(response));
  if (!sent) std::cerr << sent.error().message << "\n";
}

int Run(const std::string& listen, const std::string& target, const std::string& control) {
  net::io_context io(1);
  Proxy proxy(io, ParseAddress(target));
  auto handler = [&proxy](HttpExchange& exchange) { return HandleControl(proxy, exchange); };
  auto server = HttpServer::Create(io, control, handler, {});
  if (!server) {
    std::cerr << server.error().message << "\n";
    return 1;
  }
  net::co_spawn(io, proxy.Listen(ParseAddress(listen)), net::detached);
  std::cout << "listening " << listen << std::endl;
  io.run();
  return 0;
}

}  // namespace
}  // namespace limpetfall

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Fault-injecting TCP proxy for tests");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to accept on", true, "", "IP:PORT",
                                        command);
    TCLAP::ValueArg<std::string> target("", "target", "address to connect to", true, "", "IP:PORT",
                                        command);
    TCLAP::ValueArg<std::string> control("", "control", "address of the control interface", true,
                                         "", "IP:PORT", command);
    command.parse(argc, argv);
    return limpetfall::Run(listen.getValue(), target.getValue(), control.getValue());
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}
