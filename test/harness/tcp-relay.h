#ifndef LIMPETFALL_TEST_HARNESS_TCP_RELAY_H_
#define LIMPETFALL_TEST_HARNESS_TCP_RELAY_H_

#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <thread>

namespace limpetfall {

/** Parses an endpoint in the form "IP:port". */
inline boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  return {boost::asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

/** Relays TCP connections. Can stop relaying bytes without closing the connections. */
class TcpRelay {
 public:
  /** Listens on a free port of `ip`. */
  explicit TcpRelay(const std::string& ip)
      : acceptor(io, {boost::asio::ip::make_address(ip), 0}), thread([this] { this->Run(); }) {}

  ~TcpRelay() {
    this->io.stop();
    this->thread.join();
  }

  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  [[nodiscard]] std::string address() const {
    const auto endpoint = this->acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

  /** Sets the target of new connections. Without one, connections are accepted and not relayed. */
  void SetTarget(const std::string& address) {
    boost::asio::post(this->io, [this, address] { this->target = address; });
  }

  /** Stops relaying bytes on all open connections. New connections work. */
  void BlockOpenConnections() { ++this->first_open_generation; }

  /** Sets whether all connections, including new ones, are blocked. */
  void SetBlocked(bool value) { this->blocked = value; }

  /** Delays the bytes of each read by this time. */
  void SetDelay(std::chrono::milliseconds value) { this->delay_ms = value.count(); }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  using SocketPtr = std::shared_ptr<Socket>;

  void Run() {
    boost::asio::co_spawn(this->io, this->Accept(), boost::asio::detached);
    this->io.run();
  }

  boost::asio::awaitable<void> Accept() {
    for (;;) {
      auto from = std::make_shared<Socket>(
          co_await this->acceptor.async_accept(boost::asio::use_awaitable));
      this->accepted.push_back(from);
      if (this->target.empty()) continue;
      auto to = std::make_shared<Socket>(this->io);
      boost::system::error_code error;
      to->connect(ParseEndpoint(this->target), error);
      if (error) continue;
      const std::uint64_t generation = this->first_open_generation;
      boost::asio::co_spawn(this->io, this->Copy(from, to, generation), boost::asio::detached);
      boost::asio::co_spawn(this->io, this->Copy(to, from, generation), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Copy(SocketPtr from, SocketPtr to, std::uint64_t generation) {
    std::string buffer(1 << 16, '\0');
    boost::asio::steady_timer timer(this->io);
    boost::system::error_code error;
    while (!error) {
      auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
      const std::size_t size = co_await from->async_read_some(boost::asio::buffer(buffer), token);
      if (error) break;
      if (this->blocked || generation < this->first_open_generation) continue;
      timer.expires_after(std::chrono::milliseconds(this->delay_ms));
      co_await timer.async_wait(token);
      co_await boost::asio::async_write(*to, boost::asio::buffer(buffer.data(), size), token);
    }
    to->close(error);
    from->close(error);
  }

  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
  std::string target;
  std::vector<SocketPtr> accepted;
  std::atomic<std::uint64_t> first_open_generation = 0;
  std::atomic<bool> blocked = false;
  std::atomic<std::int64_t> delay_ms = 0;
  std::thread thread;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_TEST_HARNESS_TCP_RELAY_H_
