#ifndef LIMPETFALL_GATEWAY_GATEWAY_NODE_IMPL_H_
#define LIMPETFALL_GATEWAY_GATEWAY_NODE_IMPL_H_

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/lexical_cast.hpp>
#include <utility>

#include "base/log.h"
#include "base/pause.h"
#include "gateway/gateway-node.h"
#include "gateway/plan-codec.h"
#include "gateway/quarantine-codec.h"
#include "http/address.h"
#include "http/error-response.h"

namespace limpetfall {

namespace gateway_detail {

inline constexpr auto kNoThrow = boost::asio::as_tuple(boost::asio::use_awaitable);

// Maximum duration of one watch call. A watch that returns without a change renews the proof that
// the configuration is in force. The proof is between one and two watches old, which must stay
// below `kMaxFollowedProofAge`.
inline constexpr Milliseconds kWatchTime{400};

// Delay before the next watch, so that changes in close succession are fetched with one call.
inline constexpr Milliseconds kWatchBatchDelay{100};

inline constexpr Milliseconds kStoreCallTimeout{1500};
inline constexpr Milliseconds kStoreRetryDelay{250};

// Duration of the leader's lease. A failed leader is replaced once its lease has expired.
inline constexpr Milliseconds kLeaderLeaseTime{3000};
inline constexpr Milliseconds kLeaderLeaseRenewal{900};

// A leader stops acting this long before its lease may expire, so that its last orders arrive while
// it still holds the lease.
inline constexpr Milliseconds kLeaderLeaseMargin{500};

// Maximum age of the store copy on which the leader acts. It covers the duration of a watch, the
// network delay and a slow response.
inline constexpr Milliseconds kLeaderProofAge{1600};

// Time within which the watch delivers a plan that this node has written. A watch that hangs times
// out before it.
inline constexpr Milliseconds kPlanVisibleTimeout{2000};

// The watch delivers a write before the next one.
inline constexpr Milliseconds kQuarantineWriteInterval{1000};

inline constexpr Milliseconds kStatusInterval{200};
inline constexpr Milliseconds kPlannerInterval{100};
inline constexpr Milliseconds kRefreshInterval{50};
inline constexpr Milliseconds kOrderTimeout{800};

// Maximum proof age of a peer that this node follows. A peer that reads the store has a proof that
// is at most one watch old, so an older proof shows that the peer receives no updates. Together
// with the response time of a followed peer, this stays below the 2 s within which a configuration
// must be in force.
inline constexpr Milliseconds kMaxFollowedProofAge{1100};

// A node that cannot read the store follows any peer whose proof is at most this old.
inline constexpr Milliseconds kMaxFallbackProofAge{2500};

// A peer responds to its followers as soon as there is a change, or with a new proof after this.
inline constexpr Milliseconds kPeerWatchTime{400};
inline constexpr Milliseconds kPeerResponseTimeout{500};

// Duration of the lease on a node's registration, through which nodes discover each other.
inline constexpr Milliseconds kNodeLeaseTime{12000};
inline constexpr Milliseconds kNodeLeaseRenewal{4000};

// Standby nodes, which carry no traffic, exchange status messages once in this many rounds.
inline constexpr std::uint64_t kRoundsPerStandbyStatus = 5;

// Age up to which evidence of crashes is sent in each round. A few messages may be lost.
inline constexpr Milliseconds kEvidenceAge{700};
inline constexpr Milliseconds kStandbyEvidenceAge{2500};

// Nodes to which all evidence is sent in one round. Several nodes send to each that lacks some.
inline constexpr std::size_t kMaxEvidenceTargets = 3;

// Time between two probes of a suspect runner.
inline constexpr Milliseconds kProbeInterval{220};
inline constexpr Milliseconds kProbeTimeout{200};

// Runners without a confirmed membership that are asked for it in one planning step.
inline constexpr std::size_t kMaxConfirmations = 200;

// Time for which a new owner waits for these confirmations after a restore of the store.
inline constexpr Milliseconds kConfirmationTime{1500};

// Interval at which the leader logs the capacity of each model.
inline constexpr Milliseconds kCapacityInterval{1000};

// Nodes that are not the leader only need the crests of the demand.
inline constexpr Milliseconds kDemandInterval{1000};

// Part of the stop grace period that is reserved for ending what is still in flight, and for the
// exit of the process.
inline constexpr Milliseconds kStopMargin{600};

// A stopping process ends when callers have not used their open connections for this long.
inline constexpr Milliseconds kQuietTime{1000};

// Longest time from a SIGTERM until the process handles it, for example while it is not scheduled.
inline constexpr Milliseconds kSignalDelay{200};

// Time in which the responses to ended requests are sent.
inline constexpr Milliseconds kFinalResponseTime{200};

// Pause before a loop that has failed starts again, so that a lasting fault does not fill the log.
inline constexpr Milliseconds kLoopRestartDelay{500};

inline constexpr std::size_t kMaxDatagramBytes = 64 << 10;

// Maximum size of the changes that a peer sends. A copy of the whole store at the target size of
// the fleet, 5,200 entries of runners and a configuration of 4 MiB, is less than half of it.
inline constexpr std::size_t kMaxChangesBytes = 24 << 20;

// Requests of a follower: the changes since a revision, and whether to wait for one. The era of the
// revision is in a header, which earlier programs neither send nor read.
inline constexpr std::string_view kChangesTarget = "/v1/changes?after=";
inline constexpr std::string_view kWaitSuffix = "&wait=1";
inline constexpr char kMirrorEraHeader[] = "Mirror-Era";

// Time between two fetches of documents. A peer may hold some that this node cannot read.
inline constexpr Milliseconds kDocumentFetchInterval{500};

// Request for the newest configuration and plan that a node knows.
inline constexpr std::string_view kDocumentsTarget = "/v1/documents";

/** Returns the revision in the request of a follower, or nothing for another one. A request without
 * an era is taken to be of `era`. */
inline std::optional<StoreRevision> ParseChangesRequest(const HttpRequest& request,
                                                        std::string_view target, std::int64_t era) {
  if (!target.starts_with(kChangesTarget)) return std::nullopt;
  target.remove_prefix(kChangesTarget.size());
  StoreRevision revision{era, 0};
  const std::string_view stated = GetHeader(request.headers, kMirrorEraHeader);
  const bool is_valid =
      boost::conversion::try_lexical_convert(target, revision.number) &&
      (stated.empty() || boost::conversion::try_lexical_convert(stated, revision.era));
  if (!is_valid || revision.era < 0 || revision.number < 0) return std::nullopt;
  if (revision.number == 0) return StoreRevision();
  return revision;
}

}  // namespace gateway_detail

template <CoordinationStore Store, DeploymentAdapter Adapter>
GatewayNode<Store, Adapter>::GatewayNode(boost::asio::io_context& context, GatewayOptions settings,
                                         Store& platform_store, Adapter& deployment,
                                         std::shared_ptr<Metrics> counters)
    : io(context),
      gateway_state(context, std::move(settings), std::move(counters)),
      store(platform_store),
      adapter(deployment),
      mirror(
          [this](const StateItem& item, ChangeOrigin origin) { this->OnStoreItem(item, origin); }),
      planner([this] {
        PlannerOptions planner_options = this->gateway_state.options.planner;
        planner_options.unlimited_loads_until =
            Clock::now() + this->gateway_state.options.free_load_time;
        return planner_options;
      }()),
      drain(Drain::Create({this->gateway_state.options.LongestAddressUse(), Milliseconds(400),
                           gateway_detail::kQuietTime})
                .value()),
      peer_socket(context),
      random(std::random_device{}()),
      incarnation(this->random()) {}

template <CoordinationStore Store, DeploymentAdapter Adapter>
Result<void> GatewayNode<Store, Adapter>::Start() {
  namespace asio = boost::asio;
  HttpServerOptions caller_options = this->gateway_state.ListenerOptions();
  caller_options.max_body_bytes = 8 << 20;
  caller_options.max_connections = this->gateway_state.options.listeners.max_caller_connections;
  BOOST_OUTCOME_TRY(this->caller_server, HttpServer::Create(
                                             this->io, this->gateway_state.options.caller_address,
                                             [this](HttpExchange& exchange) {
                                               return this->gateway_state.relay.Handle(exchange);
                                             },
                                             std::move(caller_options)));
  BOOST_OUTCOME_TRY(this->peer_server,
                    HttpServer::Create(
                        this->io, this->gateway_state.options.peer_address,
                        [this](HttpExchange& exchange) { return this->ServePeer(exchange); },
                        this->gateway_state.ListenerOptions()));
  BOOST_OUTCOME_TRY(const auto endpoint, ParseEndpoint(this->gateway_state.options.peer_address));
  boost::system::error_code error;
  const asio::ip::udp::endpoint udp_endpoint(endpoint.address(), endpoint.port());
  this->peer_socket.open(udp_endpoint.protocol(), error);
  if (!error) this->peer_socket.bind(udp_endpoint, error);
  if (error) {
    return NotRun(
        ErrorCode::kUnavailable,
        "cannot bind " + this->gateway_state.options.peer_address + ": " + error.message());
  }
  this->Spawn(&GatewayNode::MirrorLoop, "mirror");
  this->Spawn(&GatewayNode::RegistrationLoop, "registration");
  this->Spawn(&GatewayNode::ElectionLoop, "election");
  this->Spawn(&GatewayNode::PlannerLoop, "planner");
  this->Spawn(&GatewayNode::RefreshLoop, "refresh");
  this->Spawn(&GatewayNode::SendStatusLoop, "send_status");
  this->Spawn(&GatewayNode::ReceiveStatusLoop, "receive_status");
  return success();
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::Spawn(Loop loop, const char* name) {
  boost::asio::co_spawn(this->io, this->KeepRunning(loop, name), boost::asio::detached);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::KeepRunning(Loop loop, const char* name) {
  for (;;) {
    std::string failure;
    try {
      co_await (this->*loop)();
      co_return;
    } catch (const std::exception& error) {
      failure = error.what();
    }
    this->gateway_state.metrics->Add("loop_failures_total", {{"loop", name}});
    Log(LogLevel::kError, "loop_failed", {{"loop", name}, {"detail", failure}});
    co_await detail::PauseUntil(Clock::now() + gateway_detail::kLoopRestartDelay);
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::OnStoreItem(const StateItem& item, ChangeOrigin origin) {
  if (item.key.starts_with(gateway_keys::kPrefix))
    return this->gateway_state.ApplyGatewayItem(item, origin);
  auto change = this->adapter.Decode(item);
  if (change)
    return this->gateway_state.ApplyDeploymentChange(std::move(change.value()), item, origin);
  Log(LogLevel::kWarning, "entry_unreadable",
      {{"key", item.key}, {"detail", change.error().message}});
  this->gateway_state.metrics->Add("unreadable_entries_total", {});
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::ApplyUpdate(const StateUpdate& update) {
  const TimePoint now = Clock::now();
  const StoreRevision before = this->mirror.revision();
  const bool was_empty = this->mirror.IsEmpty();
  if (!this->mirror.Apply(update)) return;
  const StoreRevision after = this->mirror.revision();
  if (after != before) {
    for (boost::asio::steady_timer* follower : this->followers) follower->cancel();
  }
  GroupPlan& plan = this->gateway_state.plan;
  if (plan.revision.number == 0) plan.revision.era = after.era;
  // No owner has written a plan since the last restore, so others may not have written either.
  const bool is_new_to_owner = was_empty && plan.version.era < after.era;
  const bool was_seen = !was_empty && after.era != before.era;
  if (is_new_to_owner || was_seen) {
    this->gateway_state.OnStoreRestored(was_seen, now);
    this->LogRestore(before, now);
  }
  const BootClock::duration proof_age = BootClock::now() - this->mirror.confirmed();
  this->gateway_state.store_read = now - std::chrono::duration_cast<Clock::duration>(proof_age);
  this->gateway_state.ConfirmConfiguration(this->mirror.confirmed(), now);
  this->gateway_state.Refresh();
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::LogRestore(StoreRevision before, TimePoint now) {
  const GatewayState& state = this->gateway_state;
  this->gateway_state.metrics->Add("store_restores_total", {});
  Log(LogLevel::kWarning, "store_restored",
      {{"era", this->mirror.revision().era},
       {"revision", this->mirror.revision().number},
       {"era_before", before.era},
       {"revision_before", before.number},
       {"config_stored", state.stored_config_version()},
       {"config_kept", state.routes ? state.routes->config().version : 0},
       {"plan_kept", state.plan.version.sequence},
       {"plan_lost", !state.plan.is_stored},
       {"entries_held_back", state.runners.held_count()},
       {"proof_age_ms", ProofAgeMs(state.confirmed, BootClock::now())},
       {"settles_in_ms", TimeLeft(state.rewritten_by(), now).count()}});
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<Result<StateUpdate>> GatewayNode<Store, Adapter>::NextUpdate() {
  if (const Peer* source = this->PeerToFollow()) {
    return this->FetchFromPeer(source->status.peer_address);
  }
  // Other calls may have shown that the store was restored.
  const bool is_outdated = this->mirror.revision().era != this->CurrentEra();
  if (this->snapshot_needed || is_outdated)
    return this->store.Snapshot(Clock::now() + gateway_detail::kStoreCallTimeout);
  return this->store.Watch(this->mirror.revision(), gateway_detail::kWatchTime);
}

/**
 * Returns the peer to follow instead of the store, or null. It prefers a watcher whose last status
 * message shows that it reads the store, one in this node's zone if possible.
 */
template <CoordinationStore Store, DeploymentAdapter Adapter>
const Peer* GatewayNode<Store, Adapter>::PeerToFollow() const {
  const NodeId& self = this->gateway_state.options.node;
  const BootTime now = BootClock::now();
  if (this->gateway_state.IsWatcher(self) && this->store_available) return nullptr;
  const Peer* best = nullptr;
  for (const NodeId& watcher : this->gateway_state.traffic_set.watchers) {
    const Peer* peer = watcher == self ? nullptr : this->gateway_state.peers.Find(watcher);
    if (peer == nullptr ||
        !peer->HasRecentProof(gateway_detail::kMaxFollowedProofAge, Clock::now()))
      continue;
    const bool same_zone = peer->status.zone == this->gateway_state.options.zone;
    if (best == nullptr || same_zone) best = peer;
  }
  if (best == nullptr && !this->store_available) {
    best = this->gateway_state.peers.MostRecentlyConfirmed(Clock::now());
    if (best != nullptr && best->confirmed + gateway_detail::kMaxFallbackProofAge < now)
      best = nullptr;
  }
  // After a failure to follow a peer, the store is tried once before the next peer.
  return this->followed_peer_failed ? nullptr : best;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<Result<LeaseGrant>> GatewayNode<Store, Adapter>::RenewLease(
    const std::optional<LeaseGrant>& held, Milliseconds time) {
  const Deadline deadline = Clock::now() + gateway_detail::kStoreCallTimeout;
  if (held) return this->store.RenewLease(*held, time, deadline);
  return this->store.GrantLease(time, deadline);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::MirrorLoop() {
  for (;;) {
    const bool from_peer = this->PeerToFollow() != nullptr;
    auto update = co_await this->NextUpdate();
    if (update) {
      if (!from_peer && !this->store_available) Log(LogLevel::kInfo, "store_regained");
      if (!from_peer) this->store_available = true;
      this->snapshot_needed = false;
      this->ApplyUpdate(update.value());
      // Status messages only suggest that the peer reads the store; the proof in its update shows
      // it.
      const bool proof_outdated =
          this->mirror.confirmed() + gateway_detail::kMaxFollowedProofAge < BootClock::now();
      this->followed_peer_failed = from_peer && proof_outdated;
      if (!update.value().items.empty())
        co_await detail::PauseUntil(Clock::now() + gateway_detail::kWatchBatchDelay);
      continue;
    }
    if (from_peer) {
      Log(LogLevel::kWarning, "peer_changes_missing", {{"detail", update.error().message}});
      this->followed_peer_failed = true;
      continue;
    }
    this->followed_peer_failed = false;
    if (update.error().code == ErrorCode::kNotFound) {
      Log(LogLevel::kWarning, "store_history_lost",
          {{"era", this->mirror.revision().era}, {"revision", this->mirror.revision().number}});
      this->snapshot_needed = true;
      continue;
    }
    if (this->store_available) {
      Log(LogLevel::kWarning, "store_lost", {{"detail", update.error().message}});
    }
    this->store_available = false;
    co_await detail::PauseUntil(Clock::now() + gateway_detail::kStoreRetryDelay);
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<Result<StateUpdate>> GatewayNode<Store, Adapter>::FetchFromPeer(
    std::string address) {
  std::string target =
      std::string(gateway_detail::kChangesTarget) + std::to_string(this->mirror.revision().number);
  if (!this->mirror.IsEmpty()) target += gateway_detail::kWaitSuffix;
  return this->CallPeer(std::move(address), std::move(target));
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<Result<StateUpdate>> GatewayNode<Store, Adapter>::CallPeer(
    std::string address, std::string target) {
  const BootTime requested_at = BootClock::now();
  const Deadline deadline =
      Clock::now() + gateway_detail::kPeerWatchTime + gateway_detail::kPeerResponseTimeout;
  BOOST_OUTCOME_CO_TRY(auto connection,
                       co_await this->gateway_state.pool.Acquire(address, deadline));
  HttpRequest request;
  request.target = std::move(target);
  request.headers["Host"] = address;
  request.headers[gateway_detail::kMirrorEraHeader] = std::to_string(this->mirror.revision().era);
  BOOST_OUTCOME_CO_TRY(
      const auto response,
      co_await connection->Call(request, deadline, gateway_detail::kMaxChangesBytes));
  this->gateway_state.pool.Release(connection);
  if (response.status != 200) {
    co_return NotRun(ErrorCode::kUnavailable,
                     address + " responded with status " + std::to_string(response.status));
  }
  co_return DecodeChanges(response.body, requested_at, BootClock::now());
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
bool GatewayNode<Store, Adapter>::IsAhead(const PeerStatus& peer) const {
  // Otherwise the next update of the copy brings what the peer knows.
  if (this->mirror.IsEmpty() || this->mirror.revision() < peer.mirror_revision) return false;
  const GatewayState& state = this->gateway_state;
  const ConfigVersion own = state.routes ? state.routes->config().version : 0;
  return own < peer.config_version || state.plan.version < peer.plan_version;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::FetchNewestDocuments(
    std::string address) {
  this->fetching_documents = true;
  this->next_document_fetch = Clock::now() + gateway_detail::kDocumentFetchInterval;
  const std::shared_ptr<void> fetching(nullptr,
                                       [this](void*) { this->fetching_documents = false; });
  const auto fetched =
      co_await this->CallPeer(address, std::string(gateway_detail::kDocumentsTarget));
  if (!fetched) {
    Log(LogLevel::kWarning, "documents_missing",
        {{"peer", address}, {"detail", fetched.error().message}});
    co_return;
  }
  for (const StateItem& item : fetched.value().items) {
    if (!item.value) continue;
    if (item.key == gateway_keys::kPlan) {
      if (auto plan = DecodePlan(*item.value, fetched.value().revision)) {
        this->gateway_state.AdoptPlan(std::move(plan.value()));
      } else {
        Log(LogLevel::kError, "plan_unreadable", {{"detail", plan.error().message}});
      }
      continue;
    }
    auto change = this->adapter.Decode(item);
    if (!change) {
      Log(LogLevel::kWarning, "entry_unreadable",
          {{"key", item.key}, {"detail", change.error().message}});
      continue;
    }
    if (auto* config = std::get_if<GatewayConfig>(&change.value()))
      this->gateway_state.AdoptConfig(std::move(*config), item);
  }
  this->gateway_state.Refresh();
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::ServePeer(HttpExchange& exchange) {
  const BootTime requested_at = BootClock::now();
  std::string target = exchange.request().target;
  const bool wait = target.ends_with(gateway_detail::kWaitSuffix);
  if (wait) target.resize(target.size() - gateway_detail::kWaitSuffix.size());
  const auto after =
      gateway_detail::ParseChangesRequest(exchange.request(), target, this->mirror.revision().era);
  const bool wants_documents = target == gateway_detail::kDocumentsTarget;
  HttpResponse response;
  response.headers["Content-Type"] = "application/octet-stream";
  response.status = 200;
  if ((!after && !wants_documents) || this->mirror.IsEmpty()) {
    response = ErrorResponse(
        this->mirror.IsEmpty() ? 503 : 404,
        NotRun(ErrorCode::kUnavailable, "unknown target, or no copy of the store yet"), "");
  } else if (wants_documents) {
    StateUpdate documents;
    documents.items = this->gateway_state.NewestDocuments();
    documents.revision = this->mirror.revision();
    response.body = EncodeChanges(documents, requested_at, BootClock::now());
  } else {
    if (wait && !this->mirror.HasChangesSince(*after)) {
      boost::asio::steady_timer timer(this->io, Clock::now() + gateway_detail::kPeerWatchTime);
      this->followers.insert(&timer);
      [[maybe_unused]] const auto [ended] = co_await timer.async_wait(gateway_detail::kNoThrow);
      this->followers.erase(&timer);
    }
    response.body =
        EncodeChanges(this->mirror.ChangesSince(*after), requested_at, BootClock::now());
  }
  [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(response));
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::RegistrationLoop() {
  while (!this->gateway_state.stopping) {
    if (this->node_lease && this->node_lease->era != this->CurrentEra()) {
      this->node_lease.reset();
      this->registered = false;
    }
    const auto grant = co_await this->RenewLease(this->node_lease, gateway_detail::kNodeLeaseTime);
    if (grant) {
      this->node_lease = grant.value();
      if (!this->registered) co_await this->WriteRegistration();
    } else if (grant.error().code == ErrorCode::kNotFound) {
      Log(LogLevel::kWarning, "lease_ended",
          {{"lease", this->node_lease ? this->node_lease->id : 0}});
      this->node_lease.reset();
      this->registered = false;
      continue;
    }
    co_await detail::PauseUntil(Clock::now() + (this->registered
                                                    ? gateway_detail::kNodeLeaseRenewal
                                                    : gateway_detail::kStoreRetryDelay));
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::ElectionLoop() {
  while (!this->gateway_state.stopping) {
    // While there is no leader, each node retries the election after a short random delay.
    co_await detail::PauseUntil(Clock::now() +
                                (this->leader_lease && !this->CanCampaign()
                                     ? gateway_detail::kLeaderLeaseRenewal
                                     : Milliseconds(100 + static_cast<int>(this->random() % 150))));
    // The stop has begun meanwhile and releases the lease.
    if (this->gateway_state.stopping) co_return;
    if (this->leader_lease && this->leader_lease->era != this->CurrentEra())
      this->leader_lease.reset();
    const bool leads =
        this->gateway_state.leader && this->gateway_state.leader->value == this->LeaderValue();
    const bool candidate =
        this->CanCampaign() && this->gateway_state.IsWatcher(this->gateway_state.options.node);
    if (!leads && !candidate) {
      this->leader_lease.reset();
      continue;
    }
    const auto grant =
        co_await this->RenewLease(this->leader_lease, gateway_detail::kLeaderLeaseTime);
    if (grant) {
      this->leader_lease = grant.value();
      if (this->CanCampaign() && !this->gateway_state.stopping) co_await this->Campaign();
    } else if (grant.error().code == ErrorCode::kNotFound) {
      Log(LogLevel::kWarning, "leader_lease_ended");
      this->leader_lease.reset();
    }
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::WriteRegistration() {
  StoreWrite write;
  write.era = this->node_lease->era;
  write.puts.push_back({std::string(gateway_keys::kNodes) + this->gateway_state.options.node.value,
                        this->gateway_state.options.peer_address, this->node_lease->id});
  const auto written = co_await this->store.Write(std::move(write),
                                                  Clock::now() + gateway_detail::kStoreCallTimeout);
  this->registered = written && written.value();
  if (!written) {
    Log(LogLevel::kWarning, "registration_failed", {{"detail", written.error().message}});
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::Campaign() {
  // The condition needs the revision of the leader key in the era of the lease.
  if (this->leader_lease->era != this->mirror.revision().era) co_return;
  StoreWrite write;
  write.era = this->mirror.revision().era;
  write.conditions.push_back(
      {std::string(gateway_keys::kLeader),
       this->gateway_state.leader ? this->gateway_state.leader->revision : StoreRevision()});
  write.puts.push_back(
      {std::string(gateway_keys::kLeader), this->LeaderValue(), this->leader_lease->id});
  const auto written = co_await this->store.Write(std::move(write),
                                                  Clock::now() + gateway_detail::kStoreCallTimeout);
  if (!written) {
    Log(LogLevel::kWarning, "election_failed", {{"detail", written.error().message}});
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
std::string GatewayNode<Store, Adapter>::LeaderValue() const {
  return EncodeLeader(this->gateway_state.options.node, this->incarnation,
                      this->mirror.revision().era);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
bool GatewayNode<Store, Adapter>::CanCampaign() const {
  if (this->mirror.IsEmpty()) return false;
  const GatewayState& state = this->gateway_state;
  if (!state.leader || state.leader_node == NodeId()) return true;
  // The leader key of an earlier process of this node remains until its lease expires.
  return state.leader_node == state.options.node && state.leader->value != this->LeaderValue();
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
bool GatewayNode<Store, Adapter>::IsLeader() const {
  if (this->gateway_state.stopping || !this->gateway_state.leader || !this->leader_lease)
    return false;
  if (this->gateway_state.leader->value != this->LeaderValue()) return false;
  const std::int64_t era = this->CurrentEra();
  if (this->leader_lease->era != era || this->mirror.revision().era != era) return false;
  // Orders derived from an outdated copy can break groups that another leader has rebuilt since.
  if (this->mirror.confirmed() + gateway_detail::kLeaderProofAge < BootClock::now()) return false;
  return BootClock::now() + gateway_detail::kLeaderLeaseMargin < this->leader_lease->until;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
bool GatewayNode<Store, Adapter>::MayOrder() const {
  return this->IsLeader() && !this->gateway_state.IsRestoring(Clock::now());
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
std::map<ModelName, double> GatewayNode<Store, Adapter>::FleetSlotDemand() {
  std::map<ModelName, double> slots = this->gateway_state.relay.SlotDemand();
  for (const Peer* peer : this->gateway_state.peers.LivePeers(Clock::now())) {
    for (const auto& [model, wanted] : peer->status.demands) slots[model] += wanted;
  }
  return slots;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
std::map<ModelName, double> GatewayNode<Store, Adapter>::GroupDemand() {
  const std::map<ModelName, double> slots = this->FleetSlotDemand();
  const std::map<VmId, Runner>& runners = this->gateway_state.runners.runners();
  std::map<ModelName, double> demand;
  std::map<ModelName, int> in_flight;
  for (const auto& [name, service] : this->gateway_state.routes->config().services) {
    if (!service.engine) continue;
    for (const ServedModel& model : service.engine->models) {
      in_flight[model.name] +=
          this->gateway_state.dispatch.SlotsAndLoad(name, model.name, Clock::now()).second;
    }
  }
  const std::map<ModelName, double>& peak =
      this->demand_peak.Update(slots, in_flight, Clock::now());
  for (const auto& named : this->gateway_state.routes->config().services) {
    const GatewayService& service = named.second;
    if (!service.engine) continue;
    const auto members = std::count_if(runners.begin(), runners.end(), [&](const auto& entry) {
      return entry.second.service == service.name;
    });
    // The measured demand of one model is not comparable with the expected demand of another.
    const bool measured =
        std::all_of(service.engine->models.begin(), service.engine->models.end(),
                    [&](const ServedModel& model) { return slots.contains(model.name); });
    for (const ServedModel& model : service.engine->models) {
      const double expected = model.share * static_cast<double>(members) / model.group_size;
      demand[model.name] = measured ? peak.at(model.name) / service.engine->slots : expected;
    }
  }
  return demand;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::ObserveDemand() {
  const TimePoint now = Clock::now();
  if (now < this->demand_observed + gateway_detail::kDemandInterval) return;
  this->demand_observed = now;
  this->demand_peak.Update(this->FleetSlotDemand(), {}, now);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::PlannerLoop() {
  bool was_leader = false;
  Deadline confirm_by;
  for (;;) {
    co_await detail::PauseUntil(Clock::now() + gateway_detail::kPlannerInterval);
    if (!this->gateway_state.routes || !this->MayOrder()) {
      was_leader = false;
      this->ObserveDemand();
      continue;
    }
    const TimePoint now = Clock::now();
    if (!was_leader) {
      this->planner.OnOwnershipGained();
      const GroupPlan& plan = this->gateway_state.plan;
      // The store may have lost the plans by which runners are in groups.
      if (plan.version.era < plan.revision.era) {
        this->gateway_state.runners.DoubtMemberships();
        confirm_by = now + gateway_detail::kConfirmationTime;
      }
    }
    was_leader = true;
    boost::asio::co_spawn(this->io, this->StoreQuarantines(), boost::asio::detached);
    this->ProbeSuspectRunners(now);
    this->ConfirmMemberships(now);
    if (now < confirm_by && !this->gateway_state.UnconfirmedEngines().empty()) continue;
    const std::map<ModelName, double> demand = this->GroupDemand();
    this->planner.SetEvacuatedZones(this->gateway_state.EvacuatedZones());
    this->LogEvacuations(now);
    PlannerOutput output =
        this->planner.Step(this->gateway_state.runners.runners(), this->gateway_state.plan,
                           this->gateway_state.routes->config(), demand, now);
    this->LogCapacity(demand, now);
    for (RunnerOrder& order : output.orders) {
      boost::asio::co_spawn(this->io, this->SendOrder(std::move(order)), boost::asio::detached);
    }
    if (!output.proposal) continue;
    StoreWrite write;
    write.era = this->mirror.revision().era;
    write.conditions.push_back(
        {std::string(gateway_keys::kLeader), this->gateway_state.leader->revision});
    write.conditions.push_back(
        {std::string(gateway_keys::kPlan), this->gateway_state.plan.revision});
    write.puts.push_back({std::string(gateway_keys::kPlan), EncodePlan(*output.proposal), 0});
    const StoreRevision before = this->gateway_state.plan.revision;
    const auto written =
        co_await this->store.Write(std::move(write), now + gateway_detail::kStoreCallTimeout);
    Log(LogLevel::kInfo, "plan",
        {{"groups", output.proposal->groups.size()},
         {"from", before.number},
         {"era", before.era},
         {"outcome", !written          ? written.error().message
                     : written.value() ? "written"
                                       : "lost"}});
    // The next planning step must start from the stored plan.
    const Deadline visible_by = now + gateway_detail::kPlanVisibleTimeout;
    while (written && written.value() && this->gateway_state.plan.revision == before) {
      if (visible_by <= Clock::now()) break;
      co_await detail::PauseUntil(Clock::now() + Milliseconds(25));
    }
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::StoreQuarantines() {
  const TimePoint now = Clock::now();
  const CrashAttribution& known = this->gateway_state.crash_attribution;
  if (known.IsCovered(this->gateway_state.stored_quarantines, now)) co_return;
  if (now < this->quarantines_written + gateway_detail::kQuarantineWriteInterval) co_return;
  this->quarantines_written = now;
  const StateItem* stored = this->mirror.Find(std::string(gateway_keys::kQuarantines));
  const auto active = known.CollectAll(now).quarantines;
  StoreWrite write;
  write.era = this->mirror.revision().era;
  write.conditions.push_back(
      {std::string(gateway_keys::kLeader), this->gateway_state.leader->revision});
  write.conditions.push_back({std::string(gateway_keys::kQuarantines),
                              stored == nullptr ? StoreRevision() : stored->revision});
  write.puts.push_back({std::string(gateway_keys::kQuarantines),
                        EncodeQuarantines(active, now, std::chrono::system_clock::now()), 0});
  const auto written =
      co_await this->store.Write(std::move(write), now + gateway_detail::kStoreCallTimeout);
  Log(LogLevel::kInfo, "quarantines_stored",
      {{"count", active.size()},
       {"outcome", !written          ? written.error().message
                   : written.value() ? "written"
                                     : "lost"}});
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::LogEvacuations(TimePoint now) {
  std::erase_if(this->logged_evacuations, [&](const auto& entry) {
    return !this->gateway_state.evacuations.zones().contains(entry.first);
  });
  const std::vector<const Peer*> peers = this->gateway_state.peers.LivePeers(now);
  for (const auto& [zone, revision] : this->gateway_state.evacuations.zones()) {
    if (this->logged_evacuations.contains(zone)) continue;
    // clang 14 does not let lambdas refer to structured bindings.
    const StoreRevision evacuated_at = revision;
    const bool all_know = std::all_of(peers.begin(), peers.end(), [evacuated_at](const Peer* peer) {
      return evacuated_at <= peer->status.mirror_revision;
    });
    if (!all_know) continue;
    this->logged_evacuations.emplace(zone, revision);
    Log(LogLevel::kInfo, "evacuation_known_to_all",
        {{"zone", zone.value}, {"revision", revision.number}, {"nodes", peers.size() + 1}});
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::LogCapacity(const std::map<ModelName, double>& demand,
                                              TimePoint now) {
  if (now < this->capacity_logged + gateway_detail::kCapacityInterval) return;
  this->capacity_logged = now;
  for (const auto& [name, service] : this->gateway_state.routes->config().services) {
    if (!service.engine) continue;
    for (const ServedModel& model : service.engine->models) {
      const auto [slots, load] = this->gateway_state.dispatch.SlotsAndLoad(name, model.name, now);
      const auto planned = std::count_if(
          this->gateway_state.plan.groups.begin(), this->gateway_state.plan.groups.end(),
          [&](const PlannedGroup& group) { return group.model == model.name; });
      Log(LogLevel::kInfo, "capacity",
          {{"model", model.name.value},
           {"open", slots / service.engine->slots},
           {"planned", planned},
           {"wanted", demand.at(model.name)},
           {"in_flight", load},
           {"waiting", this->gateway_state.relay.waiting()}});
    }
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::ProbeSuspectRunners(TimePoint now) {
  std::vector<VmId> suspects = this->gateway_state.dispatch.SuspendedUpstreams(now);
  for (const Peer* peer : this->gateway_state.peers.LivePeers(now)) {
    for (const std::uint64_t hash : peer->status.suspended) {
      if (const VmId* runner = this->gateway_state.runners.FindByHash(hash))
        suspects.push_back(*runner);
    }
  }
  std::set<VmId> to_probe = this->unreachable_runners;
  for (const PlannedGroup& group : this->gateway_state.plan.groups) {
    if (std::find(suspects.begin(), suspects.end(), group.members.front()) == suspects.end()) {
      continue;
    }
    to_probe.insert(group.members.begin(), group.members.end());
  }
  for (const VmId& id : to_probe) {
    const auto runner = this->gateway_state.runners.runners().find(id);
    if (runner == this->gateway_state.runners.runners().end()) {
      this->unreachable_runners.erase(id);
      continue;
    }
    if (now < this->last_probe[id] + gateway_detail::kProbeInterval) continue;
    if (this->gateway_state.IsEvacuated(id)) continue;
    this->last_probe[id] = now;
    RunnerOrder probe;
    probe.runner = id;
    probe.address = runner->second.address;
    boost::asio::co_spawn(this->io, this->ProbeRunner(std::move(probe)), boost::asio::detached);
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::ConfirmMemberships(TimePoint now) {
  std::vector<VmId> unconfirmed = this->gateway_state.UnconfirmedEngines();
  std::shuffle(unconfirmed.begin(), unconfirmed.end(), this->random);
  unconfirmed.resize(std::min(unconfirmed.size(), gateway_detail::kMaxConfirmations));
  for (const VmId& id : unconfirmed) {
    if (now < this->last_probe[id] + gateway_detail::kProbeInterval) continue;
    if (this->gateway_state.IsEvacuated(id)) continue;
    this->last_probe[id] = now;
    RunnerOrder request;
    request.runner = id;
    request.address = this->gateway_state.runners.runners().at(id).address;
    boost::asio::co_spawn(this->io, this->ConfirmMembership(std::move(request)),
                          boost::asio::detached);
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::OnProbeResult(const VmId& runner, RunnerProbeResult result) {
  if (result == RunnerProbeResult::kRunning) {
    this->unreachable_runners.erase(runner);
  } else {
    this->unreachable_runners.insert(runner);
  }
  this->planner.OnProbeResult(runner, result, Clock::now());
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::ProbeRunner(RunnerOrder order) {
  const auto report = co_await this->adapter.FetchReport(
      this->gateway_state.pool, order, Clock::now() + gateway_detail::kProbeTimeout);
  RunnerProbeResult result = RunnerProbeResult::kRunning;
  if (!report) {
    result = RunnerProbeResult::kUnreachable;
  } else if (!report.value()) {
    result = RunnerProbeResult::kReplaced;
  } else {
    const RunnerReport& stated = *report.value();
    this->gateway_state.runners.Confirm(order.runner, stated.started_ms, stated.membership);
  }
  this->OnProbeResult(order.runner, result);
  Log(LogLevel::kInfo, "runner_probe",
      {{"runner", order.runner.value},
       {"outcome", !report          ? report.error().message
                   : report.value() ? "alive"
                                    : "elsewhere"}});
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::ConfirmMembership(RunnerOrder order) {
  const auto report = co_await this->adapter.FetchReport(
      this->gateway_state.pool, order, Clock::now() + gateway_detail::kProbeTimeout);
  if (!report || !report.value()) {
    Log(LogLevel::kInfo, "membership_unknown",
        {{"runner", order.runner.value},
         {"detail", report ? "another runner answers" : report.error().message}});
    co_return;
  }
  this->gateway_state.runners.Confirm(order.runner, report.value()->started_ms,
                                      report.value()->membership);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<Result<OrderResult>> GatewayNode<Store, Adapter>::SendWithOrderCount(
    const RunnerOrder& order) {
  const Deadline deadline = Clock::now() + gateway_detail::kOrderTimeout;
  const std::pair runner_process{order.runner, order.started_ms};
  if (!this->accepted_orders.contains(runner_process)) {
    BOOST_OUTCOME_CO_TRY(const auto report, co_await this->adapter.FetchReport(
                                                this->gateway_state.pool, order, deadline));
    if (!report) co_return OrderResult::kWrongRunner;
    this->accepted_orders[runner_process] = report->accepted_orders;
  }
  const std::int64_t accepted = this->accepted_orders[runner_process];
  // The process may have been paused while it waited for the count.
  if (!this->MayOrder()) co_return NotRun(ErrorCode::kConflict, "no longer the leader");
  auto response =
      co_await this->adapter.SendOrder(this->gateway_state.pool, order, accepted, deadline);
  if (!response || response.value() == OrderResult::kRefused) {
    this->accepted_orders.erase(runner_process);
  } else if (response.value() == OrderResult::kStarted || order.kind == RunnerOrderKind::kLeave) {
    // A leave order takes effect at once and counts as accepted, although the runner responds as to
    // an order that is already done.
    this->accepted_orders[runner_process] = accepted + 1;
  }
  co_return response;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::SendOrder(RunnerOrder order) {
  if (order.kind == RunnerOrderKind::kProbe) {
    co_await this->ProbeRunner(std::move(order));
    co_return;
  }
  auto response = co_await this->SendWithOrderCount(order);
  // Either the order count was wrong or the order does not fit the runner's state. A retry with a
  // fetched count tells which.
  if (response && response.value() == OrderResult::kRefused)
    response = co_await this->SendWithOrderCount(order);
  const char* outcome = "no answer";
  if (response) {
    constexpr std::array<const char*, 4> kOutcomes{"begun", "holds", "refused", "elsewhere"};
    outcome = kOutcomes.at(static_cast<std::size_t>(response.value()));
    const bool wrong_runner = response.value() == OrderResult::kWrongRunner;
    this->OnProbeResult(order.runner,
                        wrong_runner ? RunnerProbeResult::kReplaced : RunnerProbeResult::kRunning);
    const bool done =
        response.value() == OrderResult::kStarted || response.value() == OrderResult::kAlreadyDone;
    if (done) this->planner.OnOrderDone(order);
  } else if (response.error().code != ErrorCode::kConflict) {
    this->OnProbeResult(order.runner, RunnerProbeResult::kUnreachable);
  }
  Log(LogLevel::kInfo, "runner_order",
      {{"runner", order.runner.value},
       {"kind", ToString(order.kind)},
       {"group", order.group.group.value},
       {"outcome", outcome},
       {"detail", response ? "" : response.error().message}});
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::RefreshLoop() {
  for (;;) {
    co_await detail::PauseUntil(Clock::now() + gateway_detail::kRefreshInterval);
    this->gateway_state.relay.ExpireWaiting();
    this->gateway_state.pool.CloseExpired(Clock::now());
    Metrics& metrics = *this->gateway_state.metrics;
    const RequestMemory& memory = *this->gateway_state.request_memory;
    metrics.Set("request_memory_bytes", {}, static_cast<double>(memory.bytes()));
    metrics.Set("requests_dropped_for_memory", {}, static_cast<double>(memory.drops()));
    metrics.Set("cold_upstreams", {},
                static_cast<double>(this->gateway_state.dispatch.CountCold(Clock::now())));
    metrics.Set("caller_connections_shed", {},
                static_cast<double>(this->caller_server->connections_shed()));
    this->gateway_state.Refresh();
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
PeerStatus GatewayNode<Store, Adapter>::MakeStatus() const {
  const BootTime now = BootClock::now();
  PeerStatus status;
  status.node = this->gateway_state.options.node;
  status.zone = this->gateway_state.options.zone;
  status.caller_address = this->gateway_state.options.caller_address;
  status.peer_address = this->gateway_state.options.peer_address;
  status.ready = this->gateway_state.IsReady();
  status.capacity = this->gateway_state.options.capacity;
  status.sent_at_ns = static_cast<std::uint64_t>(now.time_since_epoch().count());
  status.mirror_revision = this->mirror.revision();
  status.proof_age_ms = ProofAgeMs(this->mirror.confirmed(), now);
  status.config_version =
      this->gateway_state.routes ? this->gateway_state.routes->config().version : 0;
  status.plan_version = this->gateway_state.plan.version;
  for (const auto& [upstream, in_flight] : this->gateway_state.dispatch.LocalLoad()) {
    status.loads[UpstreamHash(upstream)] = in_flight;
  }
  for (const VmId& upstream : this->gateway_state.dispatch.SuspendedUpstreams(Clock::now())) {
    status.suspended.push_back(UpstreamHash(upstream));
  }
  return status;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::SendStatusTo(PeerStatus& status, const std::string& address,
                                               std::uint64_t echo) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return;
  status.echo_at_ns = echo;
  const std::string message = EncodePeerStatus(status, Clock::now());
  boost::system::error_code ignored;  // Datagrams may also be lost in the network.
  this->peer_socket.send_to(
      boost::asio::buffer(message),
      boost::asio::ip::udp::endpoint(endpoint.value().address(), endpoint.value().port()), 0,
      ignored);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::SendStatusLoop() {
  for (;;) {
    co_await detail::PauseUntil(Clock::now() + gateway_detail::kStatusInterval);
    this->SendStatus();
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::SendStatus() {
  this->gateway_state.UpdateTrafficSet();
  ++this->status_rounds;
  const TimePoint now = Clock::now();
  const NodeId& self = this->gateway_state.options.node;
  const bool self_is_core = this->gateway_state.IsCore(self);
  const bool standby_round = this->status_rounds % gateway_detail::kRoundsPerStandbyStatus == 0;
  // Until the other nodes have heard of the stop, they send callers here.
  const bool is_stopping = this->gateway_state.stopping;
  if (!self_is_core && !standby_round && !is_stopping) return;
  this->gateway_state.ShareFreeSlots();
  PeerStatus status = this->MakeStatus();
  status.demands = this->gateway_state.relay.SlotDemand();
  status.rate_limits = this->gateway_state.dispatch.RateLimitReports(now);
  const CrashAttribution& crash_attribution = this->gateway_state.crash_attribution;
  status.crash_digest = crash_attribution.Digest(now);
  status.crashes = crash_attribution.CollectRecent(
      standby_round ? gateway_detail::kStandbyEvidenceAge : gateway_detail::kEvidenceAge, now);
  // Standby nodes dispatch no requests, so they are not sent the state that dispatching needs.
  PeerStatus standby_status = status;
  standby_status.loads.clear();
  standby_status.suspended.clear();
  standby_status.demands.clear();
  standby_status.rate_limits.clear();
  struct Target {
    std::uint64_t echo = 0;
    bool is_core = true;
    bool lacks_evidence = false;  ///< Knows something else about crashes than this node.
  };
  std::map<std::string, Target> targets;
  const bool no_live_peers = this->gateway_state.peers.LivePeers(now).empty();
  for (const auto& [node, address] : this->gateway_state.peers.Addresses(now)) {
    const bool to_core = this->gateway_state.IsCore(node);
    // Two standby nodes exchange no status messages.
    const bool due = self_is_core && to_core ? true : (self_is_core || to_core) && standby_round;
    if (!due && !no_live_peers && !is_stopping) continue;
    const Peer* peer = this->gateway_state.peers.Find(node);
    const bool differs = peer->status.crash_digest != status.crash_digest;
    targets[address] = {this->gateway_state.peers.LastSentAtNs(node), to_core,
                        standby_round && differs};
  }
  if (no_live_peers || standby_round) {
    for (const std::string& seed : this->gateway_state.options.peer_seeds)
      targets.try_emplace(seed);
  }
  targets.erase(status.peer_address);
  const CrashEvidence recent = status.crashes;
  std::vector<std::string> lacking;
  for (const auto& [address, target] : targets) {
    if (target.lacks_evidence) lacking.push_back(address);
  }
  std::shuffle(lacking.begin(), lacking.end(), this->random);
  lacking.resize(std::min(lacking.size(), gateway_detail::kMaxEvidenceTargets));
  CrashEvidence all;
  if (!lacking.empty()) all = crash_attribution.CollectAll(now);
  for (const auto& [address, target] : targets) {
    PeerStatus& message = target.is_core ? status : standby_status;
    const bool sends_all = std::find(lacking.begin(), lacking.end(), address) != lacking.end();
    message.crashes = sends_all ? all : recent;
    this->SendStatusTo(message, address, target.echo);
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::ReceiveStatusLoop() {
  std::vector<char> datagram(gateway_detail::kMaxDatagramBytes);
  for (;;) {
    boost::asio::ip::udp::endpoint from;
    const auto [error, length] = co_await this->peer_socket.async_receive_from(
        boost::asio::buffer(datagram), from, gateway_detail::kNoThrow);
    // The failure to deliver an earlier datagram, to a node that is down, is reported here.
    if (error) {
      co_await detail::PauseUntil(Clock::now() + Milliseconds(1));
      continue;
    }
    const auto status = DecodePeerStatus({datagram.data(), length}, Clock::now());
    if (status) this->OnPeerStatus(status.value());
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::OnPeerStatus(const PeerStatus& status) {
  const TimePoint now = Clock::now();
  const Peer* known = this->gateway_state.peers.Find(status.node);
  const bool was_ready = known != nullptr && known->status.ready;
  if (!this->gateway_state.peers.OnStatus(status, now)) return;
  // Callers must no longer be sent to a node that stops.
  if (was_ready && !status.ready) this->gateway_state.UpdateTrafficSet();
  this->gateway_state.relay.OnQuarantined(
      this->gateway_state.crash_attribution.Merge(status.crashes, now));
  std::map<VmId, int> loads;
  for (const auto& [hash, in_flight] : status.loads) {
    if (const VmId* runner = this->gateway_state.runners.FindByHash(hash))
      loads.emplace(*runner, in_flight);
  }
  this->gateway_state.dispatch.SetPeerLoad(status.node, std::move(loads), now);
  this->gateway_state.dispatch.MergeRateLimits(status.node, status.rate_limits, now);
  if (this->IsAhead(status) && !this->fetching_documents && this->next_document_fetch <= now) {
    boost::asio::co_spawn(this->io, this->FetchNewestDocuments(status.peer_address),
                          boost::asio::detached);
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::Stop(std::function<void()> on_finished) {
  if (this->gateway_state.stopping) return;
  Log(LogLevel::kInfo, "stopping");
  this->gateway_state.stopping = true;
  this->gateway_state.Refresh();
  this->SendStatus();
  const TimePoint now = Clock::now();
  this->drain.Start(now);
  this->stop_by = now + this->gateway_state.options.stop_grace - gateway_detail::kStopMargin;
  this->caller_server->EndKeepAlive();
  // Callers count from the signal, and so may know other nodes before this one expects it.
  const Deadline estimate_until =
      now + this->gateway_state.options.LongestAddressUse() - gateway_detail::kSignalDelay;
  this->gateway_state.relay.BeginStop(estimate_until, this->stop_by);
  boost::asio::co_spawn(this->io, this->ReleaseLeases(), boost::asio::detached);
  boost::asio::co_spawn(this->io, this->StopLoop(std::move(on_finished)), boost::asio::detached);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::ReleaseLeases() {
  for (const std::optional<LeaseGrant>& held : {this->leader_lease, this->node_lease}) {
    // In a later era, the number may belong to a lease of another process.
    if (!held || held->era != this->CurrentEra()) continue;
    const auto ended =
        co_await this->store.RevokeLease(*held, Clock::now() + gateway_detail::kStoreCallTimeout);
    if (!ended) Log(LogLevel::kWarning, "lease_not_ended", {{"detail", ended.error().message}});
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::StopLoop(
    std::function<void()> on_finished) {
  const HttpServer& server = *this->caller_server;
  DrainStage stage = this->drain.stage();
  bool ended_calls = false;
  bool closes_idle = false;
  for (;;) {
    const TimePoint now = Clock::now();
    const DrainStage before = std::exchange(
        stage,
        this->drain.Tick({server.in_flight(), server.connections(), server.requests_begun()}, now));
    if (before < DrainStage::kRefusing && stage >= DrainStage::kRefusing)
      this->caller_server->StopListening();
    if (this->stop_by <= now && !ended_calls) {
      this->gateway_state.relay.EndCalls();
      ended_calls = true;
    }
    if ((stage == DrainStage::kFinished || ended_calls) && !closes_idle) {
      this->caller_server->StopAccepting();
      closes_idle = true;
    }
    // Callers need time to read the responses on the connections that are being closed.
    if (closes_idle && server.connections() == 0) break;
    if (this->stop_by + gateway_detail::kFinalResponseTime <= now) break;
    co_await detail::PauseUntil(Clock::now() + Milliseconds(20));
  }
  this->gateway_state.relay.OnProcessEnd();
  Log(LogLevel::kInfo, "stopped",
      {{"in_flight", server.in_flight()},
       {"connections", server.connections()},
       {"unsent_bytes", server.unsent_bytes()}});
  on_finished();
}

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_GATEWAY_NODE_IMPL_H_
