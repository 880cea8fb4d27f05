#include "node/node-loop.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <type_traits>

#include "base/log.h"
#include "node/wire.h"

namespace limpetfall::detail {
namespace {

// Up to this many live members, urgent entries are sent to every member directly. Above it, they
// are sent to a random sample, which forwards them.
constexpr std::size_t kMaxDirectPush = 16;
constexpr std::size_t kForwardFanout = 3;

// An older message is rejected, because its sender's call has already timed out.
constexpr Milliseconds kMaxMessageAge{10000};

constexpr std::size_t kMaxIncomingConnections = 4096;
constexpr Milliseconds kIncomingIdleTimeout{300000};
constexpr Milliseconds kOutgoingIdleTimeout{60000};
constexpr Milliseconds kMaxSleep{100};
constexpr Milliseconds kSecond{1000};
constexpr std::uint64_t kSeedContactIntervalSeconds = 10;
constexpr std::size_t kMaxSectionBytes = 4 << 20;
constexpr std::size_t kMaxForwardedKeys = 10000;

// Initial allocations in words; a larger message allocates more.
const capnp::MessageSize kSmallMessage{32, 0};
const capnp::MessageSize kLargeMessage{256, 0};

thread_local bool storing_from_network = false;

kj::Duration ToKj(Milliseconds duration) {
  return std::max<std::int64_t>(duration.count(), 0) * kj::MILLISECONDS;
}

/** Fails the call in progress unless `condition`; the calling peer receives the reason. */
void FailCallUnless(bool condition, const char* reason) {
  if (condition) return;
  kj::throwFatalException(
      kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(reason)));
}

template <typename T>
struct PromisedType;
template <typename T>
struct PromisedType<kj::Promise<T>> {
  using Type = T;
};

std::vector<EntryDigest> ReadDigests(capnp::List<wire::Digest>::Reader reader) {
  std::vector<EntryDigest> digests;
  digests.reserve(reader.size());
  for (const auto digest : reader) {
    digests.push_back({digest.getKey(), digest.getVersion(), digest.getRemainingMs()});
  }
  return digests;
}

void WriteDigests(const std::vector<EntryDigest>& digests,
                  capnp::List<wire::Digest>::Builder builder) {
  for (unsigned i = 0; i < builder.size(); ++i) {
    builder[i].setKey(digests[i].key);
    builder[i].setVersion(digests[i].version);
    builder[i].setRemainingMs(digests[i].remaining_ms);
  }
}

void WriteEntries(const std::vector<SharedEntry>& entries, TimePoint now,
                  capnp::List<wire::Entry>::Builder builder) {
  for (unsigned i = 0; i < builder.size(); ++i) WriteEntry(entries[i], now, builder[i]);
}

/** Handles calls from peers. */
class NodeServer final : public wire::Node::Server {
 public:
  explicit NodeServer(NodeLoop& owner) : loop(owner) {}

  kj::Promise<void> hello(HelloContext context) override {
    auto results = context.getResults(kSmallMessage);
    results.setNode(this->loop.node().value);
    results.setClockMs(ClockMs(Clock::now()));
    return kj::READY_NOW;
  }

  kj::Promise<void> exchange(ExchangeContext context) override {
    this->loop.OnExchange(context.getParams().getRequest(),
                          context.getResults(kLargeMessage).initResponse());
    return kj::READY_NOW;
  }

  kj::Promise<void> push(PushContext context) override {
    const auto params = context.getParams();
    auto results = context.getResults(kSmallMessage);
    results.setAccepted(this->loop.OnPush(params.getSentAtMs(), params.getEntries()));
    results.setClockMs(ClockMs(Clock::now()));
    return kj::READY_NOW;
  }

  kj::Promise<void> probe(ProbeContext context) override {
    return this->loop.OnProbe(context.getParams().getTarget()).then([context](bool alive) mutable {
      context.getResults(kSmallMessage).setAlive(alive);
    });
  }

  kj::Promise<void> fetchSections(FetchSectionsContext context) override {
    this->loop.OnFetch(context.getParams().getDigests(), context.getResults(kLargeMessage));
    return kj::READY_NOW;
  }

 private:
  NodeLoop& loop;
};

}  // namespace

struct NodeLoop::FetchState {
  std::vector<std::string> wanted;
  std::vector<NodeInfo> candidates;
  Deadline deadline;
  std::shared_ptr<DeferredResult<Sections>> found;
};

NodeLoop::NodeLoop(kj::AsyncIoContext& context, const NodeServiceOptions& settings,
                   NodeTable& node_table, TrafficCounters& traffic, Mailbox& task_mailbox,
                   Metrics& metrics_registry)
    : io(context),
      timer(context.provider->getTimer()),
      options(settings),
      id(node_table.Self().node),
      table(node_table),
      counters(traffic),
      mailbox(task_mailbox),
      metrics(metrics_registry),
      random(settings.random_seed),
      seeds(settings.seeds),
      next_second(Clock::now()),
      server(kj::heap<NodeServer>(*this)),
      pool(context.provider->getNetwork(), traffic,
           [this](const NodeId& p) { this->OnPeerClosed(p); }),
      tasks(*this) {}

bool NodeLoop::IsStoringFromNetwork() { return storing_from_network; }

void NodeLoop::Run(kj::Own<kj::ConnectionReceiver> listener) {
  auto& receiver = *listener;
  this->tasks.add(this->Accept(receiver).attach(kj::mv(listener)));
  this->tasks.add(this->RunMailbox());
  this->tasks.add(this->RunTicks());
  this->stopping.promise.wait(this->io.waitScope);
}

void NodeLoop::taskFailed(kj::Exception&& exception) {
  Log(LogLevel::kDebug, "node_task_failed", {{"reason", exception.getDescription().cStr()}});
}

// Calls to peers.

template <typename Function>
auto NodeLoop::CallOnce(const std::string& address, const NodeId& expected, Milliseconds limit,
                        Function call) {
  using T = typename PromisedType<std::invoke_result_t<Function, ConnectionPtr>>::Type;
  auto result = this->pool.Get(address).then(
      [expected, call](ConnectionPtr connection) mutable -> kj::Promise<T> {
        // Another node may have taken over the address of a VM that was replaced.
        FailCallUnless(expected.value.empty() || connection->peer == expected,
                       "the address belongs to another node");
        connection->last_use = Clock::now();
        return call(connection).attach(kj::cp(connection));
      });
  return this->timer.timeoutAfter(ToKj(limit), kj::mv(result));
}

/** Calls a peer. If the call fails or times out after half of `limit`, repeats it once on a new
 * connection. */
template <typename Function>
auto NodeLoop::CallWithRetry(const std::string& address, const NodeId& expected, Milliseconds limit,
                             Function call) {
  using T = typename PromisedType<std::invoke_result_t<Function, ConnectionPtr>>::Type;
  const Deadline deadline = Clock::now() + limit;
  return this->CallOnce(address, expected, limit / 2, call)
      .catch_([=, this](kj::Exception&&) mutable -> kj::Promise<T> {
        this->pool.Drop(address);
        return this->CallOnce(address, expected, TimeLeft(deadline, Clock::now()), call);
      })
      .catch_([=, this](kj::Exception&& exception) -> kj::Promise<T> {
        this->pool.Drop(address);
        return kj::mv(exception);
      });
}

// Connections from peers.

kj::Promise<void> NodeLoop::Accept(kj::ConnectionReceiver& listener) {
  return listener.accept()
      .then([this](kj::Own<kj::AsyncIoStream> socket) {
        if (this->incoming_count < kMaxIncomingConnections)
          this->tasks.add(this->Serve(kj::mv(socket)));
        return kj::Promise<void>(kj::READY_NOW);
      })
      .catch_([this](kj::Exception&& exception) {
        // For example, the process is out of file descriptors.
        Log(LogLevel::kWarning, "node_accept_failed",
            {{"reason", exception.getDescription().cStr()}});
        return this->timer.afterDelay(ToKj(kMaxSleep));
      })
      .then([this, &listener] { return this->Accept(listener); });
}

kj::Promise<void> NodeLoop::Serve(kj::Own<kj::AsyncIoStream> socket) {
  struct Incoming {
    Incoming(kj::Own<kj::AsyncIoStream> accepted, TrafficCounters& traffic,
             capnp::Capability::Client& bootstrap, std::size_t& number)
        : stream(kj::mv(accepted), traffic),
          network(this->stream, capnp::rpc::twoparty::Side::SERVER, MessageLimits()),
          rpc(capnp::makeRpcServer(this->network, bootstrap)),
          count(number) {
      ++this->count;
    }
    ~Incoming() { --this->count; }
    KJ_DISALLOW_COPY(Incoming);

    CountingStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    std::size_t& count;
  };
  auto connection =
      kj::heap<Incoming>(kj::mv(socket), this->counters, this->server, this->incoming_count);
  auto closed =
      connection->network.onDisconnect().exclusiveJoin(this->WhenIdle(connection->stream));
  return closed.attach(kj::mv(connection));
}

kj::Promise<void> NodeLoop::WhenIdle(CountingStream& stream) {
  const Milliseconds remaining = TimeLeft(stream.last_read() + kIncomingIdleTimeout, Clock::now());
  if (remaining <= Milliseconds(0)) return kj::READY_NOW;
  return this->timer.afterDelay(ToKj(remaining)).then([this, &stream] {
    return this->WhenIdle(stream);
  });
}

// Tasks and ticks.

kj::Promise<void> NodeLoop::RunMailbox() {
  return this->mailbox.WhenNotEmpty().then([this] {
    for (auto& task : this->mailbox.TakeAll()) task();
    return this->RunMailbox();
  });
}

kj::Promise<void> NodeLoop::RunTicks() {
  const TimePoint now = Clock::now();
  this->Tick(now);
  const TimePoint next =
      this->table.WithMembership([](const Membership& core) { return core.NextTick(); });
  const Milliseconds sleep = std::clamp(TimeLeft(next, now), Milliseconds(1), kMaxSleep);
  return this->timer.afterDelay(ToKj(sleep)).then([this] { return this->RunTicks(); });
}

void NodeLoop::Tick(TimePoint now) {
  this->Perform(this->table.WithMembership([now](Membership& core) { return core.Tick(now); }));
  if (now < this->next_second) return;
  this->next_second = now + kSecond;
  this->TickSecond(now);
}

void NodeLoop::TickSecond(TimePoint now) {
  ++this->elapsed_seconds;
  this->table.RemoveExpired(now);
  this->pool.CloseUnused(now - kOutgoingIdleTimeout);
  if (this->forwarded.size() > kMaxForwardedKeys) this->forwarded.clear();
  if (this->elapsed_seconds % kSeedContactIntervalSeconds == 0 ||
      this->table.LiveMembers().empty()) {
    this->ContactSeed();
  }
  this->ReportMetrics();
}

void NodeLoop::ReportMetrics() {
  const NodeTraffic total{this->counters.sent, this->counters.received};
  this->metrics.Add("node_bytes_total", {{"direction", "sent"}},
                    static_cast<double>(total.bytes_sent - this->reported_traffic.bytes_sent));
  this->metrics.Add(
      "node_bytes_total", {{"direction", "received"}},
      static_cast<double>(total.bytes_received - this->reported_traffic.bytes_received));
  this->metrics.Set("node_live_members", {}, static_cast<double>(this->table.LiveMembers().size()));
  this->reported_traffic = total;
}

void NodeLoop::AddSeeds(const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    if (std::find(this->seeds.begin(), this->seeds.end(), address) == this->seeds.end()) {
      this->seeds.push_back(address);
    }
  }
}

// Contacting a seed that is not a live member also merges the two sides of a partition that lasted
// longer than dead members are kept.
void NodeLoop::ContactSeed() {
  std::vector<std::string> candidates = this->seeds;
  std::erase(candidates, this->table.Self().node_address);
  for (const NodeInfo& info : this->table.LiveMembers()) std::erase(candidates, info.node_address);
  if (candidates.empty()) return;
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  this->tasks.add(this->CallWithRetry(
      candidates[pick(this->random)], NodeId(), this->options.call_timeout,
      [this](const ConnectionPtr& connection) { return this->Exchange(connection, [] {}); }));
}

// A closed connection often means that the peer's process has ended, so the peer is probed
// immediately.
void NodeLoop::OnPeerClosed(const NodeId& peer) {
  const TimePoint now = Clock::now();
  this->Perform(
      this->table.WithMembership([&](Membership& core) { return core.Probe(peer, now); }));
}

kj::Promise<void> NodeLoop::Exchange(const ConnectionPtr& connection,
                                     const ReplyCallback& on_reply) {
  const TimePoint now = Clock::now();
  auto call = connection->node().exchangeRequest(kLargeMessage);
  auto request = call.initRequest();
  WriteNodeInfo(this->table.Self(), request.initFrom());
  const std::uint64_t peer_clock = connection->EstimatePeerClockMs(now);
  request.setSentAtMs(peer_clock);
  const BucketHashes hashes = HashBuckets(this->table.Digests(now), peer_clock);
  auto buckets = request.initBuckets(kBucketCount);
  for (unsigned i = 0; i < kBucketCount; ++i) buckets.set(i, hashes[i]);
  return call.send().then(
      [this, connection, on_reply,
       now](capnp::Response<wire::Node::ExchangeResults>&& results) -> kj::Promise<void> {
        const auto response = results.getResponse();
        const TimePoint received = Clock::now();
        connection->UpdateClockOffset(response.getClockMs(), received);
        const auto self = ReadNodeInfo(response.getSelf());
        FailCallUnless(self.has_value() && self->node == connection->peer,
                       "the peer's node info is invalid or names another node");
        on_reply();
        this->table.RecordContact(self->node, received);
        this->Perform(this->table.WithMembership(
            [&](Membership& core) { return core.OnUpdate(*self, received); }));
        const auto differing = response.getDiffering();
        std::vector<std::uint16_t> buckets;
        buckets.reserve(differing.size());
        for (const std::uint16_t bucket : differing) buckets.push_back(bucket);
        const auto difference =
            this->table.Compare(buckets, ReadDigests(response.getDigests()), received);
        // The reply was written after `now`, so its lifetimes are at most `received - now` old.
        this->table.ExtendExpiry(difference.received_renewals,
                                 std::chrono::ceil<Milliseconds>(received - now), received);
        return this->ExchangeEntries(connection, difference);
      });
}

kj::Promise<void> NodeLoop::ExchangeEntries(const ConnectionPtr& connection,
                                            const TableDifference& difference) {
  if (difference.wanted.empty() && difference.offered.empty() && difference.renewals.empty()) {
    return kj::READY_NOW;
  }
  const TimePoint now = Clock::now();
  auto call = connection->node().exchangeRequest(kLargeMessage);
  auto request = call.initRequest();
  WriteNodeInfo(this->table.Self(), request.initFrom());
  request.setSentAtMs(connection->EstimatePeerClockMs(now));
  auto wanted = request.initWanted(static_cast<unsigned>(difference.wanted.size()));
  for (unsigned i = 0; i < wanted.size(); ++i) wanted.set(i, difference.wanted[i]);
  WriteDigests(difference.renewals,
               request.initRenewals(static_cast<unsigned>(difference.renewals.size())));
  const auto offered = this->table.Collect(difference.offered, now);
  WriteEntries(offered, now, request.initEntries(static_cast<unsigned>(offered.size())));
  return call.send().then([this, now](capnp::Response<wire::Node::ExchangeResults>&& results) {
    const auto age = std::chrono::ceil<Milliseconds>(Clock::now() - now);
    this->StoreAll(results.getResponse().getEntries(), age, Urgency::kNormal, nullptr);
  });
}

kj::Promise<std::uint32_t> NodeLoop::Push(const NodeInfo& target,
                                          const std::vector<SharedEntry>& entries,
                                          Milliseconds limit) {
  return this->CallWithRetry(
      target.node_address, target.node, limit, [this, entries](const ConnectionPtr& connection) {
        const TimePoint now = Clock::now();
        auto call = connection->node().pushRequest(kLargeMessage);
        call.setSentAtMs(connection->EstimatePeerClockMs(now));
        WriteEntries(entries, now, call.initEntries(static_cast<unsigned>(entries.size())));
        return call.send().then(
            [this, connection](capnp::Response<wire::Node::PushResults>&& results) {
              const TimePoint received = Clock::now();
              connection->UpdateClockOffset(results.getClockMs(), received);
              this->table.RecordContact(connection->peer, received);
              return results.getAccepted();
            });
      });
}

// Membership.

void NodeLoop::Perform(const MembershipActions& actions) {
  for (const MembershipAction& action : actions) {
    std::visit([this](const auto& value) { this->Execute(value); }, action);
  }
}

void NodeLoop::Execute(const SendProbe& probe) {
  const std::uint64_t number = probe.probe;
  const auto on_reply = [this, number] {
    this->table.WithMembership([number](Membership& core) { core.OnProbeAnswered(number); });
  };
  this->tasks.add(this->CallWithRetry(probe.target.node_address, probe.target.node,
                                      this->options.membership.probe_timeout,
                                      [this, on_reply](const ConnectionPtr& connection) {
                                        return this->Exchange(connection, on_reply);
                                      })
                      .catch_([this, number](kj::Exception&&) {
                        const TimePoint now = Clock::now();
                        this->Perform(this->table.WithMembership(
                            [&](Membership& core) { return core.OnProbeFailed(number, now); }));
                      }));
}

// The failure of an indirect probe does not imply a fault of the connection to `via`, which
// therefore stays open.
void NodeLoop::Execute(const SendIndirectProbe& probe) {
  this->tasks.add(this->CallOnce(probe.via.node_address, probe.via.node,
                                 this->options.membership.probe_timeout,
                                 [probe](const ConnectionPtr& connection) {
                                   auto call = connection->node().probeRequest(kSmallMessage);
                                   WriteNodeInfo(probe.target, call.initTarget());
                                   return call.send().then(
                                       [](capnp::Response<wire::Node::ProbeResults>&& results) {
                                         return results.getAlive();
                                       });
                                 })
                      .then([this, number = probe.probe](bool alive) {
                        if (!alive) return;
                        this->table.WithMembership(
                            [number](Membership& core) { core.OnProbeAnswered(number); });
                      }));
}

void NodeLoop::Execute(const AnnounceMember& announcement) {
  const NodeInfo& info = announcement.info;
  static constexpr std::string_view kStates[] = {"alive", "suspect", "leaving", "dead"};
  Log(LogLevel::kInfo, "member_changed",
      {{"node", info.node.value},
       {"state", kStates[static_cast<int>(info.state)]},
       {"incarnation", info.incarnation},
       {"first_hand", announcement.first_hand}});
  if (!announcement.first_hand && info.state == MemberState::kAlive) {
    this->pending_introductions.insert(info.node);
    this->ScheduleFlush();
  }
  this->QueueUrgent(MemberEntry(info, Clock::now()), !announcement.first_hand);
}

// Urgent entries.

void NodeLoop::QueueUrgent(SharedEntry entry, bool from_network) {
  const auto [position, inserted] = this->forwarded.try_emplace(entry.key, entry.version);
  if (from_network) {
    const bool known = !inserted && position->second >= entry.version;
    if (known || this->table.LiveMembers().size() <= kMaxDirectPush) return;
  }
  position->second = std::max(position->second, entry.version);
  std::string key = entry.key;
  this->urgent.insert_or_assign(std::move(key), std::move(entry));
  this->ScheduleFlush();
}

void NodeLoop::ScheduleFlush() {
  if (std::exchange(this->flush_scheduled, true)) return;
  this->tasks.add(kj::evalLater([this] { this->Flush(); }));
}

void NodeLoop::Flush() {
  this->flush_scheduled = false;
  std::vector<SharedEntry> entries;
  entries.reserve(this->urgent.size());
  for (auto& [key, entry] : std::exchange(this->urgent, {})) entries.push_back(std::move(entry));
  const auto introduction_targets = std::exchange(this->pending_introductions, {});
  std::vector<NodeInfo> targets = this->table.LiveMembers();
  const bool direct = targets.size() <= kMaxDirectPush;
  if (!direct) {
    std::vector<NodeInfo> sampled;
    std::sample(targets.begin(), targets.end(), std::back_inserter(sampled), kForwardFanout,
                this->random);
    targets = std::move(sampled);
  }
  const SharedEntry self = MemberEntry(this->table.Self(), Clock::now());
  for (const NodeInfo& target : targets) {
    std::vector<SharedEntry> message = entries;
    if (direct && introduction_targets.contains(target.node)) message.push_back(self);
    if (message.empty()) continue;
    this->tasks.add(this->Push(target, message, this->options.call_timeout).ignoreResult());
  }
}

void NodeLoop::PushToAll(const SharedEntry& entry, Deadline deadline,
                         const std::shared_ptr<DeferredResult<int>>& acknowledged) {
  const Milliseconds limit = TimeLeft(deadline, Clock::now());
  for (const NodeInfo& target : this->table.LiveMembers()) {
    this->tasks.add(this->Push(target, {entry}, limit).then([acknowledged](std::uint32_t accepted) {
      if (accepted > 0) ++acknowledged->value;
    }));
  }
}

// Sections.

void NodeLoop::Fetch(std::vector<std::string> digests, Deadline deadline,
                     std::shared_ptr<DeferredResult<Sections>> found) {
  auto fetch = std::make_shared<FetchState>(
      FetchState{std::move(digests), this->table.LiveMembers(), deadline, std::move(found)});
  std::shuffle(fetch->candidates.begin(), fetch->candidates.end(), this->random);
  this->tasks.add(this->FetchNext(fetch));
}

kj::Promise<void> NodeLoop::FetchNext(const std::shared_ptr<FetchState>& fetch) {
  const Milliseconds remaining = TimeLeft(fetch->deadline, Clock::now());
  if (fetch->wanted.empty() || fetch->candidates.empty() || remaining <= Milliseconds(0)) {
    return kj::READY_NOW;
  }
  const NodeInfo peer = fetch->candidates.back();
  auto call = [fetch](const ConnectionPtr& connection) {
    auto request = connection->node().fetchSectionsRequest(kLargeMessage);
    auto digests = request.initDigests(static_cast<unsigned>(fetch->wanted.size()));
    for (unsigned i = 0; i < digests.size(); ++i) digests.set(i, fetch->wanted[i]);
    return request.send().then(
        [fetch](capnp::Response<wire::Node::FetchSectionsResults>&& results) {
          std::size_t found = 0;
          for (const auto section : results.getSections()) {
            const std::string digest = section.getDigest().cStr();
            if (std::erase(fetch->wanted, digest) == 0) continue;
            const auto content = section.getContent().asChars();
            fetch->found->value[digest] = std::string(content.begin(), content.size());
            ++found;
          }
          return found;
        });
  };
  return this
      ->CallWithRetry(peer.node_address, peer.node, std::min(remaining, this->options.call_timeout),
                      call)
      .catch_([](kj::Exception&&) { return std::size_t(0); })
      .then([this, fetch](std::size_t found) {
        // The size of a reply is limited, so the same peer may have further sections.
        if (found == 0) fetch->candidates.pop_back();
        return this->FetchNext(fetch);
      });
}

// Calls from peers.

Milliseconds NodeLoop::MessageAge(std::uint64_t sent_at_ms, TimePoint now) const {
  const std::uint64_t clock = ClockMs(now);
  const Milliseconds age(clock > sent_at_ms ? clock - sent_at_ms : 0);
  FailCallUnless(age <= kMaxMessageAge, "the message is more than 10 s old");
  return age;
}

void NodeLoop::StoreAll(capnp::List<wire::Entry>::Reader entries, Milliseconds age, Urgency urgency,
                        std::uint32_t* accepted_count) {
  const TimePoint now = Clock::now();
  MembershipActions actions;
  storing_from_network = true;
  for (const auto reader : entries) {
    const auto entry = ReadEntry(reader, age, now);
    if (entry && this->table.Store(*entry, urgency, now, actions) && accepted_count != nullptr)
      ++*accepted_count;
  }
  storing_from_network = false;
  this->Perform(actions);
}

void NodeLoop::OnExchange(wire::ExchangeRequest::Reader request,
                          wire::ExchangeResponse::Builder response) {
  const TimePoint now = Clock::now();
  const Milliseconds age = this->MessageAge(request.getSentAtMs(), now);
  const auto from = ReadNodeInfo(request.getFrom());
  FailCallUnless(from.has_value(), "the sender's node info is invalid");
  // The sender has computed the send time from an earlier reply of this node, so messages pass in
  // both directions.
  this->table.RecordContact(from->node, now);
  this->Perform(
      this->table.WithMembership([&](Membership& core) { return core.OnUpdate(*from, now); }));
  WriteNodeInfo(this->table.Self(), response.initSelf());
  response.setClockMs(ClockMs(now));

  const auto remote = request.getBuckets();
  if (remote.size() == kBucketCount) {
    const auto digests = this->table.Digests(now);
    const BucketHashes local = HashBuckets(digests, ClockMs(now));
    std::vector<std::uint16_t> differing;
    for (std::uint16_t i = 0; i < kBucketCount; ++i) {
      if (local[i] != remote[i]) differing.push_back(i);
    }
    std::vector<EntryDigest> differing_digests;
    std::copy_if(
        digests.begin(), digests.end(), std::back_inserter(differing_digests), [&](const auto& d) {
          return local[BucketIndex(d.key)] != remote[static_cast<unsigned>(BucketIndex(d.key))];
        });
    auto buckets = response.initDiffering(static_cast<unsigned>(differing.size()));
    for (unsigned i = 0; i < buckets.size(); ++i) buckets.set(i, differing[i]);
    WriteDigests(differing_digests,
                 response.initDigests(static_cast<unsigned>(differing_digests.size())));
  }
  EntryKeys wanted;
  for (const std::uint64_t key : request.getWanted()) wanted.insert(key);
  const auto entries = this->table.Collect(wanted, now);
  WriteEntries(entries, now, response.initEntries(static_cast<unsigned>(entries.size())));
  this->StoreAll(request.getEntries(), age, Urgency::kNormal, nullptr);
  this->table.ExtendExpiry(ReadDigests(request.getRenewals()), age, now);
}

std::uint32_t NodeLoop::OnPush(std::uint64_t sent_at_ms, capnp::List<wire::Entry>::Reader entries) {
  std::uint32_t accepted_count = 0;
  this->StoreAll(entries, this->MessageAge(sent_at_ms, Clock::now()), Urgency::kUrgent,
                 &accepted_count);
  return accepted_count;
}

// The RPC library may keep a call after its connection has closed and after this object has been
// destroyed. The probe therefore runs as a task of this object, and the call only waits for the
// result.
kj::Promise<bool> NodeLoop::OnProbe(wire::NodeInfo::Reader target) {
  const auto info = ReadNodeInfo(target);
  FailCallUnless(info.has_value(), "the target's node info is invalid");
  // The result must reach the calling node before its own probe times out.
  const Milliseconds limit = this->options.membership.probe_timeout * 4 / 5;
  auto [promise, fulfiller] = kj::newPromiseAndFulfiller<bool>();
  this->tasks.add(this->CallWithRetry(info->node_address, info->node, limit,
                                      [this](const ConnectionPtr& connection) {
                                        return this->Exchange(connection, [] {});
                                      })
                      .then([] { return true; }, [](kj::Exception&&) { return false; })
                      .then([result = kj::mv(fulfiller)](bool alive) mutable {
                        result->fulfill(kj::cp(alive));
                      }));
  return kj::mv(promise);
}

void NodeLoop::OnFetch(capnp::List<capnp::Text>::Reader digests,
                       wire::Node::FetchSectionsResults::Builder results) {
  std::vector<std::pair<std::string, std::string>> found;
  std::size_t bytes = 0;
  for (const auto digest : digests) {
    if (!this->options.section_source || bytes >= kMaxSectionBytes) break;
    auto content = this->options.section_source(digest.cStr());
    if (!content || (bytes > 0 && bytes + content->size() > kMaxSectionBytes)) continue;
    bytes += content->size();
    found.emplace_back(digest.cStr(), *std::move(content));
  }
  auto sections = results.initSections(static_cast<unsigned>(found.size()));
  for (unsigned i = 0; i < sections.size(); ++i) {
    sections[i].setDigest(found[i].first);
    const auto* content_bytes = reinterpret_cast<const kj::byte*>(found[i].second.data());
    sections[i].setContent(kj::arrayPtr(content_bytes, found[i].second.size()));
  }
}

}  // namespace limpetfall::detail
