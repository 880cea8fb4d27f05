#ifndef LIMPETFALL_NODE_NODE_LOOP_H_
#define LIMPETFALL_NODE_NODE_LOOP_H_

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "node/connection.h"
#include "node/mailbox.h"
#include "node/node-service.h"
#include "node/node-table.h"

// Internal to the package: everything that runs on the event loop's thread.

namespace limpetfall::detail {

/** Delivers its value when it is destroyed, even if the loop stops before the work is done. */
template <typename T>
class DeferredResult {
 public:
  explicit DeferredResult(std::function<void(T)> deliver) : deliver_value(std::move(deliver)) {}
  ~DeferredResult() { this->deliver_value(std::move(this->value)); }

  DeferredResult(const DeferredResult&) = delete;
  DeferredResult& operator=(const DeferredResult&) = delete;

  T value{};

 private:
  std::function<void(T)> deliver_value;
};

class NodeLoop : private kj::TaskSet::ErrorHandler {
 public:
  NodeLoop(kj::AsyncIoContext& context, const NodeServiceOptions& settings, NodeTable& node_table,
           TrafficCounters& traffic, Mailbox& task_mailbox, Metrics& metrics_registry);

  /** Runs until `Stop`. */
  void Run(kj::Own<kj::ConnectionReceiver> listener);

  // The functions below run on the loop's thread.

  void Stop() { this->stop->fulfill(); }

  /** Queues an urgent entry for the next flush. An entry from a peer is queued only if it has to be
   * forwarded. */
  void QueueUrgent(SharedEntry entry, bool from_network);

  void PushToAll(const SharedEntry& entry, Deadline deadline,
                 const std::shared_ptr<DeferredResult<int>>& acknowledged);
  void Fetch(std::vector<std::string> digests, Deadline deadline,
             std::shared_ptr<DeferredResult<Sections>> found);
  void AddSeeds(const std::vector<std::string>& addresses);
  void Perform(const MembershipActions& actions);

  // Calls from peers.

  void OnExchange(wire::ExchangeRequest::Reader request, wire::ExchangeResponse::Builder response);
  std::uint32_t OnPush(std::uint64_t sent_at_ms, capnp::List<wire::Entry>::Reader entries);
  kj::Promise<bool> OnProbe(wire::NodeInfo::Reader target);
  void OnFetch(capnp::List<capnp::Text>::Reader digests,
               wire::Node::FetchSectionsResults::Builder results);
  [[nodiscard]] const NodeId& node() const { return this->id; }

  /** Returns whether the calling thread is storing an entry received from a peer. */
  static bool IsStoringFromNetwork();

 private:
  using ReplyCallback = std::function<void()>;

  struct FetchState;

  template <typename Function>
  auto CallOnce(const std::string& address, const NodeId& expected, Milliseconds limit,
                Function call);
  template <typename Function>
  auto CallWithRetry(const std::string& address, const NodeId& expected, Milliseconds limit,
                     Function call);

  kj::Promise<void> Accept(kj::ConnectionReceiver& listener);
  kj::Promise<void> Serve(kj::Own<kj::AsyncIoStream> socket);
  kj::Promise<void> WhenIdle(CountingStream& stream);
  kj::Promise<void> RunMailbox();
  kj::Promise<void> RunTicks();
  void Tick(TimePoint now);
  void TickSecond(TimePoint now);
  void ReportMetrics();

  kj::Promise<void> Exchange(const ConnectionPtr& connection, const ReplyCallback& on_reply);
  kj::Promise<void> ExchangeEntries(const ConnectionPtr& connection,
                                    const TableDifference& difference);
  void StoreAll(capnp::List<wire::Entry>::Reader entries, Milliseconds age, Urgency urgency,
                std::uint32_t* accepted_count);
  [[nodiscard]] Milliseconds MessageAge(std::uint64_t sent_at_ms, TimePoint now) const;

  void Execute(const SendProbe& probe);
  void Execute(const SendIndirectProbe& probe);
  void Execute(const AnnounceMember& announcement);
  void ContactSeed();
  void OnPeerClosed(const NodeId& peer);

  void ScheduleFlush();
  void Flush();
  kj::Promise<std::uint32_t> Push(const NodeInfo& target, const std::vector<SharedEntry>& entries,
                                  Milliseconds limit);
  kj::Promise<void> FetchNext(const std::shared_ptr<FetchState>& fetch);
  void taskFailed(kj::Exception&& exception) override;

  kj::AsyncIoContext& io;
  kj::Timer& timer;
  const NodeServiceOptions& options;
  NodeId id;
  NodeTable& table;
  TrafficCounters& counters;
  Mailbox& mailbox;
  Metrics& metrics;
  std::mt19937_64 random;
  std::vector<std::string> seeds;
  kj::PromiseFulfillerPair<void> stopping = kj::newPromiseAndFulfiller<void>();
  kj::Own<kj::PromiseFulfiller<void>> stop = kj::mv(stopping.fulfiller);

  std::map<std::string, SharedEntry> urgent;       ///< Sent with the next flush, by key.
  std::map<std::string, std::uint64_t> forwarded;  ///< Versions already forwarded, by key.
  std::set<NodeId> pending_introductions;          ///< Members that may not know this node yet.
  bool flush_scheduled = false;
  std::uint64_t elapsed_seconds = 0;
  TimePoint next_second;
  NodeTraffic reported_traffic;
  std::size_t incoming_count = 0;

  capnp::Capability::Client server;
  ConnectionPool pool;
  kj::TaskSet tasks;  ///< Declared last, so that tasks are destroyed before what they use.
};

}  // namespace limpetfall::detail

#endif  // LIMPETFALL_NODE_NODE_LOOP_H_
