#include "node/connection.h"

#include <algorithm>
#include <utility>

namespace limpetfall::detail {

std::uint64_t ClockMs(TimePoint now) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count());
}

capnp::ReaderOptions MessageLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = (8 << 20) / sizeof(capnp::word);
  options.nestingLimit = 16;
  return options;
}

kj::Promise<size_t> CountingStream::tryRead(void* buffer, size_t least, size_t most) {
  return this->inner->tryRead(buffer, least, most).then([this](size_t size) {
    this->counters.received += size;
    this->last_arrival = Clock::now();
    return size;
  });
}

kj::Promise<void> CountingStream::write(const void* buffer, size_t size) {
  this->counters.sent += size;
  return this->inner->write(buffer, size);
}

kj::Promise<void> CountingStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  for (const auto& piece : pieces) this->counters.sent += piece.size();
  return this->inner->write(pieces);
}

Connection::Connection(kj::Own<kj::AsyncIoStream> socket, TrafficCounters& traffic)
    : last_use(Clock::now()),
      stream(kj::mv(socket), traffic),
      network(this->stream, capnp::rpc::twoparty::Side::CLIENT, MessageLimits()),
      rpc(capnp::makeRpcClient(this->network)),
      client(nullptr) {
  capnp::MallocMessageBuilder message;
  auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
  vat.setSide(capnp::rpc::twoparty::Side::SERVER);
  this->client = this->rpc.bootstrap(vat).castAs<wire::Node>();
}

void Connection::NoteClock(std::uint64_t peer_clock_ms, TimePoint now) {
  const std::int64_t sample =
      static_cast<std::int64_t>(peer_clock_ms) - static_cast<std::int64_t>(ClockMs(now)) - 1;
  // The quickest reply gives the best estimate. It loses a millisecond with each later reply, which
  // is more than two clocks drift apart in that time.
  this->offset_ms = this->has_offset ? std::max(sample, this->offset_ms - 1) : sample;
  this->has_offset = true;
}

std::uint64_t Connection::PeerClock(TimePoint now) const {
  return static_cast<std::uint64_t>(static_cast<std::int64_t>(ClockMs(now)) + this->offset_ms);
}

ConnectionPool::ConnectionPool(kj::Network& net, TrafficCounters& traffic, ClosedHandler on_closed)
    : network(net), counters(traffic), closed(std::move(on_closed)), tasks(*this) {}

kj::Promise<ConnectionPtr> ConnectionPool::Get(const std::string& address) {
  if (const auto found = this->slots.find(address); found != this->slots.end()) {
    return found->second.promise.addBranch();
  }
  const std::uint64_t number = ++this->last_number;
  auto promise = this->Open(address)
                     .then([this, address, number](ConnectionPtr connection) {
                       this->Watch(address, number, connection);
                       return connection;
                     })
                     .fork();
  auto branch = promise.addBranch();
  this->slots.emplace(address, Slot{number, kj::mv(promise), nullptr});
  return branch;
}

kj::Promise<ConnectionPtr> ConnectionPool::Open(const std::string& address) {
  return this->network.parseAddress(address)
      .then([](kj::Own<kj::NetworkAddress> parsed) {
        auto connecting = parsed->connect();
        return connecting.attach(kj::mv(parsed));
      })
      .then([this](kj::Own<kj::AsyncIoStream> socket) {
        auto connection = std::make_shared<Connection>(kj::mv(socket), this->counters);
        auto reply = connection->node().helloRequest(capnp::MessageSize{8, 0}).send();
        return reply.then([connection](capnp::Response<wire::Node::HelloResults>&& hello) {
          connection->peer = NodeId(hello.getNode().cStr());
          connection->NoteClock(hello.getClockMs(), Clock::now());
          return connection;
        });
      });
}

void ConnectionPool::Watch(const std::string& address, std::uint64_t number,
                           const ConnectionPtr& connection) {
  const auto found = this->slots.find(address);
  if (found == this->slots.end() || found->second.number != number) return;
  found->second.open = connection;
  this->tasks.add(connection->WhenClosed().then([this, address, number] {
    const auto slot = this->slots.find(address);
    if (slot == this->slots.end() || slot->second.number != number) return;
    const NodeId peer = slot->second.open->peer;
    this->Drop(address);
    this->closed(peer);
  }));
}

void ConnectionPool::Drop(const std::string& address) {
  const auto found = this->slots.find(address);
  if (found == this->slots.end()) return;
  // The caller may run inside a callback of this very connection, so it is destroyed later.
  auto slot = kj::heap<Slot>(kj::mv(found->second));
  this->slots.erase(found);
  this->tasks.add(kj::evalLater([slot = kj::mv(slot)] {}));
}

void ConnectionPool::DropUnused(TimePoint least) {
  std::vector<std::string> unused;
  for (const auto& [address, slot] : this->slots) {
    if (slot.open && slot.open->last_use < least) unused.push_back(address);
  }
  for (const std::string& address : unused) this->Drop(address);
}

void ConnectionPool::taskFailed(kj::Exception&&) {}

}  // namespace limpetfall::detail
