#ifndef LIMPETFALL_NODE_CONNECTION_H_
#define LIMPETFALL_NODE_CONNECTION_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "base/ids.h"
#include "limpetfall/time.h"
#include "node/node.capnp.h"

// Internal to the package: connections between nodes. Used only on the event loop's thread.

namespace limpetfall::detail {

struct TrafficCounters {
  std::atomic<std::uint64_t> sent = 0;
  std::atomic<std::uint64_t> received = 0;
};

/** Returns the time in milliseconds as written into messages between nodes. */
std::uint64_t ClockMs(TimePoint now);

/** Returns limits for one message, so that a forged size cannot exhaust memory. */
capnp::ReaderOptions MessageLimits();

/** Counts the bytes of a stream and records the time of the last read. */
class CountingStream : public kj::AsyncIoStream {
 public:
  CountingStream(kj::Own<kj::AsyncIoStream> stream, TrafficCounters& traffic)
      : inner(kj::mv(stream)), counters(traffic) {}

  [[nodiscard]] TimePoint last_read() const { return this->last_read_time; }

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, size_t size) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override { return inner->whenWriteDisconnected(); }
  void shutdownWrite() override { this->inner->shutdownWrite(); }
  void abortRead() override { this->inner->abortRead(); }

 private:
  kj::Own<kj::AsyncIoStream> inner;
  TrafficCounters& counters;
  TimePoint last_read_time = Clock::now();
};

/** A connection to a peer, which sends its node id in the reply to `hello`. */
class Connection {
 public:
  Connection(kj::Own<kj::AsyncIoStream> socket, TrafficCounters& traffic);

  wire::Node::Client& node() { return this->client; }

  kj::Promise<void> WhenClosed() { return this->network.onDisconnect(); }

  /** Updates the estimate of the peer's clock from a reply that arrived at `now`. */
  void UpdateClockOffset(std::uint64_t peer_clock_ms, TimePoint now);

  /** Returns an estimate of the peer's clock that is never ahead of it. */
  [[nodiscard]] std::uint64_t EstimatePeerClockMs(TimePoint now) const;

  NodeId peer;
  TimePoint last_use;

 private:
  CountingStream stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  wire::Node::Client client;
  std::int64_t offset_ms = 0;  ///< Lower bound of the peer's clock minus the local clock.
  bool has_offset = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/** Connections to peers, at most one for each address. */
class ConnectionPool : private kj::TaskSet::ErrorHandler {
 public:
  using ClosedHandler = std::function<void(const NodeId&)>;

  /** `on_closed` is called when the peer of a pooled connection closes it. */
  ConnectionPool(kj::Network& network, TrafficCounters& traffic, ClosedHandler on_closed);

  /**
   * Returns the connection to this address, or opens one. The caller sets the time limit and calls
   * `Drop` on failure.
   */
  kj::Promise<ConnectionPtr> Get(const std::string& address);

  /** Removes the connection to this address, so that the next call opens a new one. */
  void Drop(const std::string& address);

  /** Closes connections that have not been used since `unused_since`. */
  void CloseUnused(TimePoint unused_since);

 private:
  struct PooledConnection {
    std::uint64_t id = 0;
    kj::ForkedPromise<ConnectionPtr> promise;
    ConnectionPtr established;
  };

  kj::Promise<ConnectionPtr> Open(const std::string& address);
  void RemoveWhenClosed(const std::string& address, std::uint64_t id,
                        const ConnectionPtr& connection);
  void taskFailed(kj::Exception&& exception) override;

  kj::Network& network;
  TrafficCounters& counters;
  ClosedHandler closed_handler;
  std::uint64_t last_id = 0;
  std::map<std::string, PooledConnection> connections;
  kj::TaskSet tasks;
};

}  // namespace limpetfall::detail

#endif  // LIMPETFALL_NODE_CONNECTION_H_
