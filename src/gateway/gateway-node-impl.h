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
#include "http/address.h"
#include "http/error-response.h"

namespace limpetfall {

namespace gateway_detail {

inline constexpr auto kNoThrow = boost::asio::as_tuple(boost::asio::use_awaitable);

// A watch that answers without a change renews the proof that the configuration is in force. The
// proof is between one and two watches old, which must stay below `kSourceAge`.
inline constexpr Milliseconds kWatchTime{400};

// Changes that come in close succession are fetched with one call.
inline constexpr Milliseconds kWatchPause{40};

inline constexpr Milliseconds kCallTimeout{1500};
inline constexpr Milliseconds kStoreRetry{250};

// Length of the leader's lease. A leader that died is replaced after it.
inline constexpr Milliseconds kLeaseTime{3000};
inline constexpr Milliseconds kLeaseRenewal{900};

// A leader stops this long before its lease may end: its last orders must have arrived by then.
inline constexpr Milliseconds kLeaseMargin{500};

// An owner acts only on a copy of the store that was the newest this long ago: a watch, its way,
// and the time of a slow answer.
inline constexpr Milliseconds kOwnerProofAge{1600};

// A plan that was written is seen by the watch within this; a watch that hangs ends before.
inline constexpr Milliseconds kPlanSeenTimeout{2000};

inline constexpr Milliseconds kPeerInterval{200};
inline constexpr Milliseconds kOwnerInterval{100};
inline constexpr Milliseconds kTickInterval{50};
inline constexpr Milliseconds kOrderTimeout{800};

// A node whose proof is older than this reads nothing new at present and is not followed: the
// proof of one that does is at most one watch old. With the time of one answer of a followed node
// this stays below the 2 s in which a configuration must be in force.
inline constexpr Milliseconds kSourceAge{1100};

// A node that the store refuses follows any node with a proof of up to this age.
inline constexpr Milliseconds kLastResortAge{2500};

// A node that follows another one gets changes at once and otherwise a new proof this often.
inline constexpr Milliseconds kPeerWait{400};
inline constexpr Milliseconds kPeerTimeout{500};

// Length of the lease that holds a node's registration, by which nodes find each other.
inline constexpr Milliseconds kNodeLeaseTime{12000};
inline constexpr Milliseconds kNodeLeaseRenewal{4000};

// Nodes that do not carry traffic exchange messages once in so many rounds.
inline constexpr std::uint64_t kStandbyRounds = 5;

// An upstream that is suspected is asked again after this.
inline constexpr Milliseconds kProbeInterval{220};
inline constexpr Milliseconds kProbeTimeout{200};

// The owner states the capacity of each model this often.
inline constexpr Milliseconds kCapacityInterval{1000};

// Time of the stop grace that is left for the process to end by itself.
inline constexpr Milliseconds kStopMargin{600};

inline constexpr std::size_t kMaxDatagram = 64 << 10;

}  // namespace gateway_detail

template <CoordinationStore Store, DeploymentAdapter Adapter>
GatewayNode<Store, Adapter>::GatewayNode(boost::asio::io_context& context, GatewayOptions settings,
                                         Store& platform_store, Adapter& deployment,
                                         std::shared_ptr<Metrics> counters)
    : io(context),
      shared(context, std::move(settings), std::move(counters)),
      store(platform_store),
      adapter(deployment),
      mirror([this](const StateItem& item) { this->OnItem(item); }),
      planner([this] {
        PlannerOptions planner_options = this->shared.options.planner;
        planner_options.unlimited_loads_until = Clock::now() + this->shared.options.free_load_time;
        return planner_options;
      }()),
      // Callers may use an answer for three times its lifetime.
      drain(Drain::Create({3 * this->shared.options.address_lifetime, Milliseconds(400)}).value()),
      peer_socket(context),
      random(std::random_device{}()),
      life(this->random()) {}

template <CoordinationStore Store, DeploymentAdapter Adapter>
Result<void> GatewayNode<Store, Adapter>::Start() {
  namespace asio = boost::asio;
  BOOST_OUTCOME_TRY(this->caller_server,
                    HttpServer::Create(this->io, this->shared.options.caller_address,
                                       [this](HttpExchange& exchange) {
                                         return this->shared.relay.Handle(exchange);
                                       },
                                       {.max_body_bytes = 8 << 20}));
  BOOST_OUTCOME_TRY(
      this->peer_server,
      HttpServer::Create(this->io, this->shared.options.peer_address,
                         [this](HttpExchange& exchange) { return this->ServePeer(exchange); }, {}));
  BOOST_OUTCOME_TRY(const auto endpoint, ParseEndpoint(this->shared.options.peer_address));
  boost::system::error_code error;
  const asio::ip::udp::endpoint udp_endpoint(endpoint.address(), endpoint.port());
  this->peer_socket.open(udp_endpoint.protocol(), error);
  if (!error) this->peer_socket.bind(udp_endpoint, error);
  if (error) {
    return NotRun(ErrorCode::kUnavailable,
                  "cannot use " + this->shared.options.peer_address + ": " + error.message());
  }
  asio::co_spawn(this->io, this->MirrorLoop(), asio::detached);
  asio::co_spawn(this->io, this->LeaseLoop(), asio::detached);
  asio::co_spawn(this->io, this->LeadLoop(), asio::detached);
  asio::co_spawn(this->io, this->OwnerLoop(), asio::detached);
  asio::co_spawn(this->io, this->TickLoop(), asio::detached);
  asio::co_spawn(this->io, this->SendPeersLoop(), asio::detached);
  asio::co_spawn(this->io, this->ReceivePeersLoop(), asio::detached);
  return success();
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::OnItem(const StateItem& item) {
  if (item.key.starts_with(gateway_keys::kPrefix)) return this->shared.ApplyOwn(item);
  auto change = this->adapter.Decode(item);
  if (change) return this->shared.Apply(std::move(change.value()));
  Log(LogLevel::kWarning, "entry_unreadable",
      {{"key", item.key}, {"detail", change.error().message}});
  this->shared.metrics->Add("unreadable_entries_total", {});
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::Take(const StateUpdate& update) {
  const std::int64_t before = this->mirror.revision();
  this->mirror.Apply(update);
  if (this->mirror.revision() != before) {
    for (boost::asio::steady_timer* follower : this->followers) follower->cancel();
  }
  this->shared.Confirm(this->mirror.confirmed());
  this->shared.Refresh();
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<Result<StateUpdate>> GatewayNode<Store, Adapter>::NextUpdate() {
  if (const Peer* source = this->Source()) {
    return this->FetchFromPeer(source->status.peer_address);
  }
  if (this->snapshot_needed)
    return this->store.Snapshot(Clock::now() + gateway_detail::kCallTimeout);
  return this->store.Watch(this->mirror.revision(), gateway_detail::kWatchTime);
}

/** Returns the node to follow instead of the store: a watcher that reads by its last message. */
template <CoordinationStore Store, DeploymentAdapter Adapter>
const Peer* GatewayNode<Store, Adapter>::Source() const {
  const NodeId& self = this->shared.options.node;
  const BootTime now = BootClock::now();
  if (this->shared.IsWatcher(self) && this->store_ok) return nullptr;
  const Peer* best = nullptr;
  for (const NodeId& watcher : this->shared.work.watchers) {
    const Peer* peer = watcher == self ? nullptr : this->shared.peers.Find(watcher);
    if (peer == nullptr || !peer->Reads(gateway_detail::kSourceAge, Clock::now())) continue;
    const bool near = peer->status.zone == this->shared.options.zone;
    if (best == nullptr || near) best = peer;
  }
  if (best == nullptr && !this->store_ok) {
    best = this->shared.peers.Freshest(Clock::now());
    if (best != nullptr && best->confirmed + gateway_detail::kLastResortAge < now) best = nullptr;
  }
  // A node that could not be followed is tried again after the store was asked.
  return this->source_failed ? nullptr : best;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<Result<LeaseGrant>> GatewayNode<Store, Adapter>::RenewLease(
    const std::optional<LeaseGrant>& held, Milliseconds time) {
  const Deadline deadline = Clock::now() + gateway_detail::kCallTimeout;
  if (held) return this->store.KeepLease(held->id, time, deadline);
  return this->store.GrantLease(time, deadline);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::MirrorLoop() {
  for (;;) {
    const bool from_peer = this->Source() != nullptr;
    auto update = co_await this->NextUpdate();
    if (update) {
      if (!from_peer && !this->store_ok) Log(LogLevel::kInfo, "store_regained");
      if (!from_peer) this->store_ok = true;
      this->snapshot_needed = false;
      this->Take(update.value());
      // Messages only suggest that the node reads; what it hands on shows it.
      const bool old = this->mirror.confirmed() + gateway_detail::kSourceAge < BootClock::now();
      this->source_failed = from_peer && old;
      if (!update.value().items.empty())
        co_await detail::PauseUntil(Clock::now() + gateway_detail::kWatchPause);
      continue;
    }
    if (from_peer) {
      Log(LogLevel::kWarning, "peer_changes_missing", {{"detail", update.error().message}});
      this->source_failed = true;
      continue;
    }
    this->source_failed = false;
    if (update.error().code == ErrorCode::kNotFound) {
      Log(LogLevel::kWarning, "store_history_lost", {{"revision", this->mirror.revision()}});
      this->snapshot_needed = true;
      continue;
    }
    if (this->store_ok) {
      Log(LogLevel::kWarning, "store_lost", {{"detail", update.error().message}});
    }
    this->store_ok = false;
    co_await detail::PauseUntil(Clock::now() + gateway_detail::kStoreRetry);
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<Result<StateUpdate>> GatewayNode<Store, Adapter>::FetchFromPeer(
    std::string address) {
  const BootTime asked = BootClock::now();
  const Deadline deadline = Clock::now() + gateway_detail::kPeerWait + gateway_detail::kPeerTimeout;
  BOOST_OUTCOME_CO_TRY(auto connection, co_await this->shared.pool.Acquire(address, deadline));
  HttpRequest request;
  request.target = "/v1/changes?after=" + std::to_string(this->mirror.revision());
  if (this->mirror.revision() > 0) request.target += "&wait=1";
  request.headers["Host"] = address;
  BOOST_OUTCOME_CO_TRY(const auto response, co_await connection->Call(request, deadline));
  this->shared.pool.Release(connection);
  if (response.status != 200) {
    co_return NotRun(ErrorCode::kUnavailable,
                     address + " answered with " + std::to_string(response.status));
  }
  co_return DecodeChanges(response.body, asked, BootClock::now());
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::ServePeer(HttpExchange& exchange) {
  constexpr std::string_view kChanges = "/v1/changes?after=";
  constexpr std::string_view kWait = "&wait=1";
  const BootTime asked = BootClock::now();
  std::string target = exchange.request().target;
  const bool wait = target.ends_with(kWait);
  if (wait) target.resize(target.size() - kWait.size());
  std::int64_t after = -1;
  if (target.starts_with(kChanges)) {
    boost::conversion::try_lexical_convert(target.substr(kChanges.size()), after);
  }
  HttpResponse response;
  if (after < 0 || this->mirror.revision() == 0) {
    response = ErrorResponse(after < 0 ? 404 : 503,
                             NotRun(ErrorCode::kUnavailable, "no such state here"), "");
  } else {
    if (wait && !this->mirror.HasChangesSince(after)) {
      boost::asio::steady_timer timer(this->io, Clock::now() + gateway_detail::kPeerWait);
      this->followers.insert(&timer);
      [[maybe_unused]] const auto [ended] = co_await timer.async_wait(gateway_detail::kNoThrow);
      this->followers.erase(&timer);
    }
    response.status = 200;
    response.headers["Content-Type"] = "application/octet-stream";
    response.body = EncodeChanges(this->mirror.ChangesSince(after), asked, BootClock::now());
  }
  [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(response));
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::LeaseLoop() {
  while (!this->shared.stopping) {
    const auto grant = co_await this->RenewLease(this->lease, gateway_detail::kNodeLeaseTime);
    if (grant) {
      this->lease = grant.value();
      if (!this->registered) co_await this->WriteRegistration();
    } else if (grant.error().code == ErrorCode::kNotFound) {
      Log(LogLevel::kWarning, "lease_ended", {{"lease", this->lease ? this->lease->id : 0}});
      this->lease.reset();
      this->registered = false;
      continue;
    }
    co_await detail::PauseUntil(Clock::now() + (this->registered ? gateway_detail::kNodeLeaseRenewal
                                                                 : gateway_detail::kStoreRetry));
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::LeadLoop() {
  while (!this->shared.stopping) {
    // While nobody leads, the election is tried again soon, at a random time of each node.
    co_await detail::PauseUntil(Clock::now() +
                                (this->leader_lease && !this->MayLead()
                                     ? gateway_detail::kLeaseRenewal
                                     : Milliseconds(100 + static_cast<int>(this->random() % 150))));
    const bool leads = this->shared.leader && this->shared.leader->value == this->LeaderValue();
    const bool candidate = this->MayLead() && this->shared.IsWatcher(this->shared.options.node);
    if (!leads && !candidate) {
      this->leader_lease.reset();
      continue;
    }
    const auto grant = co_await this->RenewLease(this->leader_lease, gateway_detail::kLeaseTime);
    if (grant) {
      this->leader_lease = grant.value();
      if (this->MayLead()) co_await this->TryLead();
    } else if (grant.error().code == ErrorCode::kNotFound) {
      Log(LogLevel::kWarning, "leader_lease_ended");
      this->leader_lease.reset();
    }
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::WriteRegistration() {
  StoreWrite write;
  write.puts.push_back({std::string(gateway_keys::kNodes) + this->shared.options.node.value,
                        this->shared.options.peer_address, this->lease->id});
  const auto written =
      co_await this->store.Write(std::move(write), Clock::now() + gateway_detail::kCallTimeout);
  this->registered = written && written.value();
  if (!written) {
    Log(LogLevel::kWarning, "registration_failed", {{"detail", written.error().message}});
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::TryLead() {
  StoreWrite write;
  write.conditions.push_back({std::string(gateway_keys::kLeader),
                              this->shared.leader ? this->shared.leader->revision : 0});
  write.puts.push_back(
      {std::string(gateway_keys::kLeader), this->LeaderValue(), this->leader_lease->id});
  const auto written =
      co_await this->store.Write(std::move(write), Clock::now() + gateway_detail::kCallTimeout);
  if (!written) {
    Log(LogLevel::kWarning, "election_failed", {{"detail", written.error().message}});
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
std::string GatewayNode<Store, Adapter>::LeaderValue() const {
  return this->shared.options.node.value + " " + std::to_string(this->life);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
bool GatewayNode<Store, Adapter>::MayLead() const {
  if (this->mirror.revision() == 0) return false;
  if (!this->shared.leader) return true;
  // The key of this node's last life outlives the process until its lease ends.
  const std::string& holder = *this->shared.leader->value;
  return holder != this->LeaderValue() && holder.starts_with(this->shared.options.node.value + " ");
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
bool GatewayNode<Store, Adapter>::Leads() const {
  if (this->shared.stopping || !this->shared.leader || !this->leader_lease) return false;
  if (this->shared.leader->value != this->LeaderValue()) return false;
  // Orders that follow from an old copy can break groups that others have rebuilt since.
  if (this->shared.confirmed + gateway_detail::kOwnerProofAge < BootClock::now()) return false;
  return BootClock::now() + gateway_detail::kLeaseMargin < this->leader_lease->until;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
std::map<ModelName, double> GatewayNode<Store, Adapter>::Demand() {
  std::map<ModelName, double> places = this->shared.relay.Demand();
  for (const Peer* peer : this->shared.peers.Alive(Clock::now())) {
    for (const auto& [model, wanted] : peer->status.demands) places[model] += wanted;
  }
  std::map<ModelName, double> demand;
  for (const auto& named : this->shared.routes->config().services) {
    const GatewayService& service = named.second;
    if (!service.engine) continue;
    const auto members =
        std::count_if(this->shared.runners.begin(), this->shared.runners.end(),
                      [&](const auto& entry) { return entry.second.service == service.name; });
    // A measure of one model and an expectation for another cannot be compared.
    const bool measured =
        std::all_of(service.engine->models.begin(), service.engine->models.end(),
                    [&](const ServedModel& model) { return places.contains(model.name); });
    for (const ServedModel& model : service.engine->models) {
      const double expected = model.share * static_cast<double>(members) / model.group_size;
      demand[model.name] = measured ? places.at(model.name) / service.engine->slots : expected;
    }
  }
  return demand;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::OwnerLoop() {
  bool owned = false;
  for (;;) {
    co_await detail::PauseUntil(Clock::now() + gateway_detail::kOwnerInterval);
    if (!this->shared.routes || !this->Leads()) {
      owned = false;
      continue;
    }
    if (!owned) this->planner.OnOwnershipGained();
    owned = true;
    const TimePoint now = Clock::now();
    this->ProbeSuspects(now);
    const std::map<ModelName, double> demand = this->Demand();
    PlannerOutput output = this->planner.Step(this->shared.runners, this->shared.plan,
                                              this->shared.routes->config(), demand, now);
    this->LogCapacity(demand, now);
    for (RunnerOrder& order : output.orders) {
      boost::asio::co_spawn(this->io, this->SendOrder(std::move(order)), boost::asio::detached);
    }
    if (!output.proposal) continue;
    StoreWrite write;
    write.conditions.push_back({std::string(gateway_keys::kLeader), this->shared.leader->revision});
    write.conditions.push_back({std::string(gateway_keys::kPlan), this->shared.plan.revision});
    write.puts.push_back({std::string(gateway_keys::kPlan), EncodePlan(*output.proposal), 0});
    const std::int64_t before = this->shared.plan.revision;
    const auto written =
        co_await this->store.Write(std::move(write), now + gateway_detail::kCallTimeout);
    Log(LogLevel::kInfo, "plan",
        {{"groups", output.proposal->groups.size()},
         {"from", before},
         {"outcome", !written          ? written.error().message
                     : written.value() ? "written"
                                       : "lost"}});
    // The next step starts from the plan that the store holds.
    const Deadline seen_by = now + gateway_detail::kPlanSeenTimeout;
    while (written && written.value() && this->shared.plan.revision == before) {
      if (seen_by <= Clock::now()) break;
      co_await detail::PauseUntil(Clock::now() + Milliseconds(25));
    }
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::LogCapacity(const std::map<ModelName, double>& demand,
                                              TimePoint now) {
  if (now < this->capacity_logged + gateway_detail::kCapacityInterval) return;
  this->capacity_logged = now;
  for (const auto& [name, service] : this->shared.routes->config().services) {
    if (!service.engine) continue;
    for (const ServedModel& model : service.engine->models) {
      const auto [slots, load] = this->shared.dispatch.SlotsAndLoad(name, model.name, now);
      const auto planned =
          std::count_if(this->shared.plan.groups.begin(), this->shared.plan.groups.end(),
                        [&](const PlannedGroup& group) { return group.model == model.name; });
      Log(LogLevel::kInfo, "capacity",
          {{"model", model.name.value},
           {"open", slots / service.engine->slots},
           {"planned", planned},
           {"wanted", demand.at(model.name)},
           {"in_flight", load},
           {"waiting", this->shared.relay.waiting()}});
    }
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::ProbeSuspects(TimePoint now) {
  std::vector<VmId> suspects = this->shared.dispatch.Suspended(now);
  for (const Peer* peer : this->shared.peers.Alive(now)) {
    for (const std::uint64_t hash : peer->status.suspended) {
      if (const VmId* runner = this->shared.FindByHash(hash)) suspects.push_back(*runner);
    }
  }
  std::set<VmId> asked = this->unseen;
  for (const PlannedGroup& group : this->shared.plan.groups) {
    if (std::find(suspects.begin(), suspects.end(), group.members.front()) == suspects.end()) {
      continue;
    }
    asked.insert(group.members.begin(), group.members.end());
  }
  for (const VmId& id : asked) {
    const auto runner = this->shared.runners.find(id);
    if (runner == this->shared.runners.end()) {
      this->unseen.erase(id);
      continue;
    }
    if (now < this->probed[id] + gateway_detail::kProbeInterval) continue;
    this->probed[id] = now;
    RunnerOrder probe;
    probe.runner = id;
    probe.address = runner->second.address;
    boost::asio::co_spawn(this->io, this->ProbeRunner(std::move(probe)), boost::asio::detached);
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::OnSighting(const VmId& runner, RunnerProbeResult sighting) {
  if (sighting == RunnerProbeResult::kRunning) {
    this->unseen.erase(runner);
  } else {
    this->unseen.insert(runner);
  }
  this->planner.OnProbeResult(runner, sighting, Clock::now());
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::ProbeRunner(RunnerOrder order) {
  const auto count = co_await this->adapter.FetchOrderCount(
      this->shared.pool, order, Clock::now() + gateway_detail::kProbeTimeout);
  RunnerProbeResult sighting = RunnerProbeResult::kRunning;
  if (!count) {
    sighting = RunnerProbeResult::kUnreachable;
  } else if (!count.value()) {
    sighting = RunnerProbeResult::kReplaced;
  }
  this->OnSighting(order.runner, sighting);
  Log(LogLevel::kInfo, "runner_probe",
      {{"runner", order.runner.value},
       {"outcome", !count          ? count.error().message
                   : count.value() ? "alive"
                                   : "elsewhere"}});
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<Result<OrderAnswer>> GatewayNode<Store, Adapter>::CountAndSend(
    const RunnerOrder& order) {
  const Deadline deadline = Clock::now() + gateway_detail::kOrderTimeout;
  const std::pair life{order.runner, order.started_ms};
  if (!this->accepted_orders.contains(life)) {
    BOOST_OUTCOME_CO_TRY(const auto count, co_await this->adapter.FetchOrderCount(this->shared.pool,
                                                                                  order, deadline));
    if (!count) co_return OrderAnswer::kElsewhere;
    this->accepted_orders[life] = *count;
  }
  const std::int64_t accepted = this->accepted_orders[life];
  auto answer = co_await this->adapter.SendOrder(this->shared.pool, order, accepted, deadline);
  if (!answer || answer.value() == OrderAnswer::kRefused) {
    this->accepted_orders.erase(life);
  } else if (answer.value() == OrderAnswer::kBegun || order.kind == RunnerOrderKind::kLeave) {
    // A leave takes effect at once and counts, though its answer is that of an order that is done.
    this->accepted_orders[life] = accepted + 1;
  }
  co_return answer;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::SendOrder(RunnerOrder order) {
  if (order.kind == RunnerOrderKind::kProbe) {
    co_await this->ProbeRunner(std::move(order));
    co_return;
  }
  auto answer = co_await this->CountAndSend(order);
  // The count was wrong, or the state does not fit; a report tells which.
  if (answer && answer.value() == OrderAnswer::kRefused)
    answer = co_await this->CountAndSend(order);
  const char* outcome = "no answer";
  if (answer) {
    constexpr std::array<const char*, 4> kOutcomes{"begun", "holds", "refused", "elsewhere"};
    outcome = kOutcomes.at(static_cast<std::size_t>(answer.value()));
    const bool elsewhere = answer.value() == OrderAnswer::kElsewhere;
    this->OnSighting(order.runner,
                     elsewhere ? RunnerProbeResult::kReplaced : RunnerProbeResult::kRunning);
    const bool done =
        answer.value() == OrderAnswer::kBegun || answer.value() == OrderAnswer::kHolds;
    if (done) this->planner.OnOrderDone(order);
  } else {
    this->OnSighting(order.runner, RunnerProbeResult::kUnreachable);
  }
  Log(LogLevel::kInfo, "runner_order",
      {{"runner", order.runner.value},
       {"kind", ToString(order.kind)},
       {"group", order.group.group.value},
       {"outcome", outcome},
       {"detail", answer ? "" : answer.error().message}});
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::TickLoop() {
  for (;;) {
    co_await detail::PauseUntil(Clock::now() + gateway_detail::kTickInterval);
    this->shared.relay.ExpireWaiting();
    this->shared.Refresh();
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
PeerStatus GatewayNode<Store, Adapter>::Status() const {
  const BootTime now = BootClock::now();
  PeerStatus status;
  status.node = this->shared.options.node;
  status.zone = this->shared.options.zone;
  status.caller_address = this->shared.options.caller_address;
  status.peer_address = this->shared.options.peer_address;
  status.ready = this->shared.IsReady();
  status.capacity = this->shared.options.capacity;
  status.sent_at_ns = static_cast<std::uint64_t>(now.time_since_epoch().count());
  status.mirror_revision = this->mirror.revision();
  status.proof_age_ms = ProofAgeMs(this->shared.confirmed, now);
  for (const auto& [upstream, in_flight] : this->shared.dispatch.OwnLoad()) {
    status.loads[UpstreamHash(upstream)] = in_flight;
  }
  for (const VmId& upstream : this->shared.dispatch.Suspended(Clock::now())) {
    status.suspended.push_back(UpstreamHash(upstream));
  }
  return status;
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::SendStatus(PeerStatus& status, const std::string& address,
                                             std::uint64_t echo) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return;
  status.echo_at_ns = echo;
  const std::string message = EncodePeerStatus(status);
  boost::system::error_code lost;  // A datagram may be lost on the way as well.
  this->peer_socket.send_to(
      boost::asio::buffer(message),
      boost::asio::ip::udp::endpoint(endpoint.value().address(), endpoint.value().port()), 0, lost);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::SendPeersLoop() {
  for (;;) {
    co_await detail::PauseUntil(Clock::now() + gateway_detail::kPeerInterval);
    this->shared.DivideWork();
    ++this->status_rounds;
    const TimePoint now = Clock::now();
    const NodeId& self = this->shared.options.node;
    const bool core = this->shared.IsActive(self) || this->shared.IsWatcher(self);
    const bool standby_round = this->status_rounds % gateway_detail::kStandbyRounds == 0;
    if (!core && !standby_round) continue;
    this->shared.ShareFreeSlots();
    PeerStatus status = this->Status();
    status.demands = this->shared.relay.Demand();
    // Nodes that stand by place no requests, so they are spared the state that placing needs.
    PeerStatus brief = status;
    brief.loads.clear();
    brief.suspended.clear();
    brief.demands.clear();
    struct Target {
      std::uint64_t echo = 0;
      bool is_core = true;
    };
    std::map<std::string, Target> targets;
    const bool alone = this->shared.peers.Alive(now).empty();
    for (const auto& [node, address] : this->shared.peers.Addresses(now)) {
      const bool to_core = this->shared.IsActive(node) || this->shared.IsWatcher(node);
      // Two nodes that stand by have nothing to tell each other.
      const bool due = core && to_core ? true : (core || to_core) && standby_round;
      if (due || alone) targets[address] = {this->shared.peers.EchoFor(node), to_core};
    }
    if (alone || standby_round) {
      for (const std::string& seed : this->shared.options.peer_seeds) targets.try_emplace(seed);
    }
    targets.erase(status.peer_address);
    for (const auto& [address, target] : targets) {
      this->SendStatus(target.is_core ? status : brief, address, target.echo);
    }
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::ReceivePeersLoop() {
  std::vector<char> datagram(gateway_detail::kMaxDatagram);
  for (;;) {
    boost::asio::ip::udp::endpoint from;
    const auto [error, length] = co_await this->peer_socket.async_receive_from(
        boost::asio::buffer(datagram), from, gateway_detail::kNoThrow);
    // An earlier datagram to a node that is down is reported as an error here.
    if (error) {
      co_await detail::PauseUntil(Clock::now() + Milliseconds(1));
      continue;
    }
    const auto status = DecodePeerStatus({datagram.data(), length});
    if (status) this->OnPeerStatus(status.value());
  }
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::OnPeerStatus(const PeerStatus& status) {
  const TimePoint now = Clock::now();
  if (!this->shared.peers.OnStatus(status, now)) return;
  std::map<VmId, int> loads;
  for (const auto& [hash, in_flight] : status.loads) {
    if (const VmId* runner = this->shared.FindByHash(hash)) loads.emplace(*runner, in_flight);
  }
  this->shared.dispatch.SetPeerLoad(status.node, std::move(loads), now);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
void GatewayNode<Store, Adapter>::Stop(std::function<void()> on_finished) {
  if (this->shared.stopping) return;
  Log(LogLevel::kInfo, "stopping");
  this->shared.stopping = true;
  this->shared.Refresh();
  this->drain.Start(Clock::now());
  boost::asio::co_spawn(this->io, this->StopLoop(std::move(on_finished)), boost::asio::detached);
}

template <CoordinationStore Store, DeploymentAdapter Adapter>
boost::asio::awaitable<void> GatewayNode<Store, Adapter>::StopLoop(
    std::function<void()> on_finished) {
  const Deadline last =
      Clock::now() + this->shared.options.stop_grace - gateway_detail::kStopMargin;
  for (const std::optional<LeaseGrant>& held : {this->leader_lease, this->lease}) {
    if (!held) continue;
    const auto ended =
        co_await this->store.EndLease(held->id, Clock::now() + gateway_detail::kCallTimeout);
    if (!ended) Log(LogLevel::kWarning, "lease_not_ended", {{"detail", ended.error().message}});
  }
  bool closed = false;
  for (;;) {
    const TimePoint now = Clock::now();
    const DrainStage stage = this->drain.Tick(this->caller_server->in_flight(), now);
    if (stage >= DrainStage::kRefusing && !closed) {
      this->caller_server->StopAccepting();
      closed = true;
    }
    if (stage == DrainStage::kFinished || last <= now) break;
    co_await detail::PauseUntil(Clock::now() + Milliseconds(20));
  }
  Log(LogLevel::kInfo, "stopped", {{"in_flight", this->caller_server->in_flight()}});
  on_finished();
}

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_GATEWAY_NODE_IMPL_H_
