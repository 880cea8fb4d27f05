#include "harness/net.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <random>
#include <stdexcept>

namespace limpetfall::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds kWaitTimeout{5};

tcp::endpoint EndpointOf(const std::string& address) {
  const auto colon = address.rfind(':');
  const auto ip = asio::ip::make_address(address.substr(0, colon));
  return {ip, static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

/** Appends the next received bytes. Returns false at the end of the connection or on time-out. */
bool ReadSome(tcp::socket& socket, std::string& received) {
  std::array<char, 16384> bytes;
  const auto length = ::recv(socket.native_handle(), bytes.data(), bytes.size(), 0);
  if (length <= 0) return false;
  received.append(bytes.data(), static_cast<std::size_t>(length));
  return true;
}

void WriteAll(tcp::socket& socket, std::string_view bytes) {
  error_code ignored;
  asio::write(socket, asio::buffer(bytes), ignored);
}

}  // namespace

std::string FreeAddress(const std::string& ip) {
  // Below the usual ports of outgoing connections, one of which might take it before its owner.
  constexpr std::uint32_t kFirstPort = 16384;
  constexpr std::uint32_t kPorts = 16384;
  static std::uint32_t next = std::random_device()() % kPorts;
  for (std::uint32_t tried = 0; tried < kPorts; ++tried) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    asio::io_context io;
    tcp::socket probe(io, tcp::v4());
    error_code used;
    probe.bind({asio::ip::address_v4::any(), port}, used);
    if (!used) return ip + ":" + std::to_string(port);
  }
  throw std::runtime_error("all ports for tests are in use");
}

bool Eventually(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

RawClient::RawClient(const std::string& address) : socket(this->context) {
  this->socket.connect(EndpointOf(address));
  const timeval limit{kWaitTimeout.count(), 0};
  ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

void RawClient::Send(std::string_view bytes) { WriteAll(this->socket, bytes); }

void RawClient::ShutDownSend() {
  error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

std::string RawClient::ReadUntil(std::string_view delimiter) {
  for (;;) {
    const auto found = delimiter.empty() ? std::string::npos : this->received.find(delimiter);
    if (found != std::string::npos) {
      std::string result = this->received.substr(0, found + delimiter.size());
      this->received.erase(0, result.size());
      return result;
    }
    if (!ReadSome(this->socket, this->received)) return std::exchange(this->received, {});
  }
}

std::string PeerConnection::ReadRequest() {
  constexpr std::string_view kLengthName = "Content-Length: ";
  for (;;) {
    const auto end = this->received.find("\r\n\r\n");
    if (end != std::string::npos) {
      const auto length_at = this->received.find(kLengthName);
      std::size_t size = end + 4;
      if (length_at < end)
        size += std::stoul(this->received.substr(length_at + kLengthName.size()));
      if (this->received.size() >= size) {
        std::string request = this->received.substr(0, size);
        this->received.erase(0, size);
        return request;
      }
    }
    if (!ReadSome(this->socket, this->received)) return {};
  }
}

void PeerConnection::Write(std::string_view bytes) { WriteAll(this->socket, bytes); }

void PeerConnection::ShutDown() { ::shutdown(this->socket.native_handle(), SHUT_RDWR); }

ScriptedPeer::ScriptedPeer(std::function<void(PeerConnection&)> connection_script)
    : script(std::move(connection_script)),
      acceptor(this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      accept_thread([this] { this->Accept(); }) {}

ScriptedPeer::~ScriptedPeer() {
  ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& connection : this->connections) connection->ShutDown();
  }
  this->accept_thread.join();
}

std::string ScriptedPeer::address() const {
  return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void ScriptedPeer::Accept() {
  for (int number = 0;; ++number) {
    error_code error;
    tcp::socket socket = this->acceptor.accept(error);
    if (error) break;
    auto connection = std::make_shared<PeerConnection>(std::move(socket), number);
    {
      const std::lock_guard lock(this->mutex);
      this->connections.push_back(connection);
    }
    this->threads.emplace_back([this, connection] {
      this->script(*connection);
      connection->ShutDown();
    });
  }
  for (std::thread& thread : this->threads) thread.join();
}

}  // namespace limpetfall::testing
