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

kj::Promise<size_t> CountingStream::tryRead(void* buffer, size_t min_bytes, size_t max_bytes) {
  return this->inner->tryRead(buffer, min_bytes, max_bytes).then([this](size_t size) {
    this->counters.received += size;
    this->last_read_time = Clock::now();
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

void Connection::UpdateClockOffset(std::uint64_t peer_clock_ms, TimePoint now) {
  const std::int64_t sample =
      static_cast<std::int64_t>(peer_clock_ms) - static_cast<std::int64_t>(ClockMs(now)) - 1;
  // The fastest reply gives the best estimate. Each later reply lowers the estimate by 1 ms, which
  // exceeds the drift of the two clocks between replies.
  this->offset_ms = this->has_offset ? std::max(sample, this->offset_ms - 1) : sample;
  this->has_offset = true;
}

std::uint64_t Connection::EstimatePeerClockMs(TimePoint now) const {
  return static_cast<std::uint64_t>(static_cast<std::int64_t>(ClockMs(now)) + this->offset_ms);
}

ConnectionPool::ConnectionPool(kj::Network& net, TrafficCounters& traffic, ClosedHandler on_closed)
    : network(net), counters(traffic), closed_handler(std::move(on_closed)), tasks(*this) {}

kj::Promise<ConnectionPtr> ConnectionPool::Get(const std::string& address) {
  if (const auto found = this->connections.find(address); found != this->connections.end()) {
    return found->second.promise.addBranch();
  }
  const std::uint64_t id = ++this->last_id;
  auto promise = this->Open(address)
                     .then([this, address, id](ConnectionPtr connection) {
                       this->RemoveWhenClosed(address, id, connection);
                       return connection;
                     })
                     .fork();
  auto branch = promise.addBranch();
  this->connections.emplace(address, PooledConnection{id, kj::mv(promise), nullptr});
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
          connection->UpdateClockOffset(hello.getClockMs(), Clock::now());
          return connection;
        });
      });
}

void ConnectionPool::RemoveWhenClosed(const std::string& address, std::uint64_t id,
                                      const ConnectionPtr& connection) {
  const auto found = this->connections.find(address);
  if (found == this->connections.end() || found->second.id != id) return;
  found->second.established = connection;
  this->tasks.add(connection->WhenClosed().then([this, address, id] {
    const auto current = this->connections.find(address);
    if (current == this->connections.end() || current->second.id != id) return;
    const NodeId peer = current->second.established->peer;
    this->Drop(address);
    this->closed_handler(peer);
  }));
}

void ConnectionPool::Drop(const std::string& address) {
  const auto found = this->connections.find(address);
  if (found == this->connections.end()) return;
  // The caller may run inside a callback of this connection, so its destruction is deferred.
  auto removed = kj::heap<PooledConnection>(kj::mv(found->second));
  this->connections.erase(found);
  this->tasks.add(kj::evalLater([removed = kj::mv(removed)] {}));
}

void ConnectionPool::CloseUnused(TimePoint unused_since) {
  std::vector<std::string> unused;
  for (const auto& [address, pooled] : this->connections) {
    if (pooled.established && pooled.established->last_use < unused_since)
      unused.push_back(address);
  }
  for (const std::string& address : unused) this->Drop(address);
}

void ConnectionPool::taskFailed(kj::Exception&&) {}

}  // namespace limpetfall::detail
