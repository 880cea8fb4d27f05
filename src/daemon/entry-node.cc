#include "daemon/entry-node.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "caller/caller-api.h"
#include "core/capacity-measures.h"
#include "core/drain.h"
#include "daemon/config-sync.h"
#include "daemon/dispatcher.h"
#include "daemon/domain-owner.h"
#include "daemon/node-context.h"
#include "daemon/order-runner.h"
#include "http/client.h"
#include "http/server.h"
#include "node/node-service.h"
#include "operators/admin-api.h"
#include "platform/etcd-store.h"
#include "platform/vm-list.h"
#include "upstream/release-check.h"
#include "upstream/service-call.h"
#include "upstream/service-report.h"

namespace limpetfall {
namespace {

namespace net = boost::asio;

// Demand that a node has not reported for this time no longer counts against a team's limit.
constexpr Milliseconds kDemandLifetime{5000};
constexpr Milliseconds kDemandInterval{1000};
constexpr Milliseconds kMeasureInterval{1000};
constexpr Milliseconds kAdminTimeout{20000};

// Interval at which expired entries are removed from memory.
constexpr Milliseconds kCleanupInterval{5000};

// Interval at which the number of requests in flight is checked during a planned stop.
constexpr Milliseconds kDrainPollInterval{20};

// A draining process ends when callers have not used their open connections for this long.
constexpr Milliseconds kDrainQuietTime{1000};

// Time in which callers read the last responses before the process ends.
constexpr Milliseconds kDrainCloseTime{200};

// A node behind a network partition must stay known for as long as partitions last, because the
// majority rule of the configuration counts known nodes. With a longer retention, replaced nodes
// would block changes.
constexpr std::chrono::minutes kDeadRetention{10};

MembershipOptions MembershipOptionsFrom(const Settings& settings) {
  MembershipOptions options;
  options.probe_interval = Milliseconds(settings.probe_interval_ms);
  options.probe_timeout = Milliseconds(settings.probe_timeout_ms);
  options.suspicion = Milliseconds(settings.suspicion_ms);
  options.dead_retention = kDeadRetention;
  return options;
}

/** `OpenCompletion` bound to the client for upstreams. */
class EngineOpener {
 public:
  explicit EngineOpener(std::shared_ptr<HttpClient> http) : client(std::move(http)) {}

  net::awaitable<Result<std::unique_ptr<TokenStream>>> Open(
      const GroupSummary& group, const CompletionRequest& request,
      const std::vector<std::string>& resume_tokens, Deadline deadline) {
    return OpenCompletion(*this->client, group, request, resume_tokens, deadline);
  }

 private:
  std::shared_ptr<HttpClient> client;
};

/** Publishes suspect marks in the shared state. */
class NodeMarkPusher {
 public:
  NodeMarkPusher(std::shared_ptr<SharedState> state, NodeService* nodes)
      : state(std::move(state)), nodes(nodes) {}

  net::awaitable<void> Push(SharedEntry entry, Deadline deadline) {
    this->state->Put(entry, Urgency::kNormal, Clock::now());
    co_await this->nodes->PushAndWait(std::move(entry), deadline);
  }

 private:
  std::shared_ptr<SharedState> state;
  NodeService* nodes;
};

/** `SendServiceCall` bound to the client for upstreams. */
class ServiceUpstreamClient {
 public:
  explicit ServiceUpstreamClient(std::shared_ptr<HttpClient> http) : client(std::move(http)) {}

  net::awaitable<Result<ServiceAnswer>> operator()(std::string address, ServiceCall call,
                                                   Deadline deadline) {
    return SendServiceCall(*this->client, std::move(address), std::move(call), deadline);
  }

 private:
  std::shared_ptr<HttpClient> client;
};

using NodeServiceCaller = ServiceCaller<NodeContext, ServiceUpstreamClient>;

struct OrderDispatch {
  std::shared_ptr<NodeServiceCaller> services;

  net::awaitable<Result<ServiceAnswer>> operator()(ServiceCall call) {
    return this->services->Call(std::move(call));
  }
};

using NodeOrderRunner = OrderRunner<EtcdStore, OrderDispatch>;
using NodeDispatcher = Dispatcher<NodeContext, EngineOpener, ReleaseCheck, NodeMarkPusher,
                                  NodeOrderRunner, ServiceUpstreamClient>;
using NodeOwners = DomainOwners<EtcdStore, NodeContext, HttpEngines>;

std::string_view StateName(GroupState state) {
  switch (state) {
    case GroupState::kLoading:
      return "loading";
    case GroupState::kServing:
      return "serving";
    case GroupState::kDraining:
      return "draining";
    case GroupState::kLost:
      return "lost";
  }
  return "lost";
}

std::string_view StateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "dead";
}

nlohmann::json GroupJson(const GroupSummary& group, std::string_view state) {
  nlohmann::json members = nlohmann::json::array();
  for (const GroupMember& member : group.members) members.push_back(member.vm.value);
  return {{"group", group.group.value},
          {"domain", group.domain.value},
          {"generation", group.generation},
          {"model", group.model.value},
          {"version", group.version.value},
          {"zone", group.zone.value},
          {"state", state},
          {"members", members},
          {"running", group.running},
          {"queued", group.queued}};
}

class EntryNodeImpl final : public EntryNode {
 public:
  explicit EntryNodeImpl(Settings node_settings)
      : settings(std::move(node_settings)),
        io(this->settings.threads),
        state(std::make_shared<SharedState>()),
        metrics(Metrics::Create()),
        context(std::make_shared<NodeContext>(this->settings, this->state)) {}

  Result<void> Open();
  void Run() override;

  // Operations of the administration API; see the concept `AdminNode`.
  [[nodiscard]] std::shared_ptr<const VersionedDocument> ActiveDocument() const {
    return this->context->ActiveDocument();
  }
  net::awaitable<Result<ConfigChangeResult>> ChangeConfig(std::string document,
                                                          ConfigVersion expected,
                                                          Deadline deadline) {
    return this->sync->ChangeDocument(std::move(document), expected, deadline);
  }
  [[nodiscard]] std::string StatusJson() const;
  void Drain();

 private:
  Result<void> OpenClients();
  Result<void> OpenNodeService();
  void BuildTables();
  void BuildDispatcher();
  Result<void> OpenServers();
  void AddListeners();
  void OnSharedEntry(const SharedEntry& entry);
  void ApplyDocument(const VersionedDocument& document);
  void Spawn(net::awaitable<void> task);
  net::awaitable<void> PollVms();
  net::awaitable<void> PollServices();
  net::awaitable<void> PollService(ServiceName service, std::string address);
  net::awaitable<void> PublishDemand();
  net::awaitable<void> ReportCapacity();
  net::awaitable<void> CleanUp();
  net::awaitable<void> DrainAndStop();

  Settings settings;
  net::io_context io;
  // Created before the listeners: by default, a signal ends the process.
  net::signal_set signals{this->io, SIGTERM, SIGINT};
  std::shared_ptr<SharedState> state;
  std::shared_ptr<Metrics> metrics;
  std::shared_ptr<NodeContext> context;
  std::shared_ptr<HttpClient> upstream_client;
  std::shared_ptr<HttpClient> control_client;
  std::shared_ptr<EtcdStore> store;
  std::shared_ptr<ConfigSync> sync;
  std::shared_ptr<GroupTable> groups;
  std::shared_ptr<ServiceTable> services;
  std::shared_ptr<QuarantineTable> quarantine;
  std::shared_ptr<AdmissionGate> gate;
  // The thread of the service passes entries to the tables above, so it is destroyed before them.
  std::unique_ptr<NodeService> nodes;
  std::shared_ptr<NodeOrderRunner> orders;
  std::shared_ptr<NodeDispatcher> dispatcher;
  std::shared_ptr<NodeOwners> owners;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> admin_server;
  std::unique_ptr<MetricsServer> metrics_server;
  std::atomic<bool> draining = false;
};

Result<void> EntryNodeImpl::Open() {
  BOOST_OUTCOME_TRYV(this->OpenClients());
  this->sync =
      std::make_shared<ConfigSync>(this->settings, this->store, this->context, this->state);
  this->BuildTables();
  BOOST_OUTCOME_TRYV(this->OpenNodeService());
  this->BuildDispatcher();
  this->sync->on_change = [this](const VersionedDocument& document) {
    this->ApplyDocument(document);
  };
  return this->OpenServers();
}

// Requests and control traffic use separate clients, so that a burst of requests delays no report.
Result<void> EntryNodeImpl::OpenClients() {
  HttpClientOptions options;
  options.connect_timeout = Milliseconds(this->settings.connect_timeout_ms);
  BOOST_OUTCOME_TRY(this->upstream_client, HttpClient::Create(options));
  BOOST_OUTCOME_TRY(this->control_client, HttpClient::Create(options));
  EtcdStoreOptions store_options;
  store_options.addresses = this->settings.store_addresses;
  store_options.attempt_timeout = Milliseconds(this->settings.platform_timeout_ms / 2);
  BOOST_OUTCOME_TRY(this->store, EtcdStore::Create(this->control_client, store_options));
  return success();
}

Result<void> EntryNodeImpl::OpenNodeService() {
  this->AddListeners();
  NodeServiceOptions options;
  options.self = {this->settings.node,
                  this->settings.zone,
                  this->settings.caller_address,
                  this->settings.node_address,
                  0,
                  MemberState::kAlive};
  options.advertised_address = this->settings.advertised_address;
  options.seeds = this->settings.seeds;
  options.membership = MembershipOptionsFrom(this->settings);
  options.random_seed = std::random_device{}();
  options.section_source = [sync = this->sync](const std::string& digest) {
    return sync->FindSection(digest);
  };
  BOOST_OUTCOME_TRY(this->nodes,
                    NodeService::Create(std::move(options), *this->state, this->metrics));
  this->context->SetNodeService(this->nodes.get());
  this->sync->SetNodeService(this->nodes.get());
  return success();
}

// Called before the node service opens, because entries of other nodes can arrive from then on.
void EntryNodeImpl::BuildTables() {
  const std::uint64_t seed = std::random_device{}();
  this->groups = std::make_shared<GroupTable>(seed, this->settings.routing_policy);
  this->services = std::make_shared<ServiceTable>(seed + 1);
  this->quarantine = std::make_shared<QuarantineTable>(this->settings.node);
  this->gate = AdmissionGate::Create(this->io.get_executor(), AdmissionOptions{});
}

void EntryNodeImpl::BuildDispatcher() {
  auto retries = std::make_shared<NodeRetryBudget>();
  auto upstream = std::make_shared<ServiceUpstreamClient>(this->upstream_client);
  auto caller = std::make_shared<NodeServiceCaller>(this->context, upstream, this->services,
                                                    this->gate, retries);
  OrderRunnerOptions order_options;
  order_options.node = this->settings.node;
  order_options.node_is_running = [context = this->context](const NodeId& node) {
    return context->IsConsideredRunning(node);
  };
  NodeDispatcher::Parts parts;
  parts.executor = this->io.get_executor();
  parts.config = this->context;
  parts.opener = std::make_shared<EngineOpener>(this->upstream_client);
  parts.check = ReleaseCheck::Create(this->control_client);
  parts.pusher = std::make_shared<NodeMarkPusher>(this->state, this->nodes.get());
  this->orders = NodeOrderRunner::Create(this->store, OrderDispatch{caller}, order_options);
  parts.orders = this->orders;
  parts.services = caller;
  parts.groups = this->groups;
  parts.quarantine = this->quarantine;
  parts.gate = this->gate;
  parts.retries = retries;
  parts.metrics = this->metrics;
  parts.addresses = [context = this->context](const ZoneId& zone) {
    return context->AddressesFor(zone);
  };
  DispatcherOptions options;
  options.first_token_timeout = Milliseconds(this->settings.first_token_timeout_ms);
  options.token_timeout = Milliseconds(this->settings.token_timeout_ms);
  options.release_timeout = Milliseconds(this->settings.release_timeout_ms);
  this->dispatcher = NodeDispatcher::Create(std::move(parts), options);
  this->owners =
      NodeOwners::Create(this->settings, this->store, this->context,
                         std::make_shared<HttpEngines>(this->control_client), this->state);
}

Result<void> EntryNodeImpl::OpenServers() {
  CallerApiOptions api_options;
  api_options.zone = this->settings.zone;
  api_options.request_timeout = Milliseconds(this->settings.request_timeout_ms);
  auto api = CallerApi<NodeDispatcher>::Create(this->dispatcher, api_options);
  HttpServerOptions caller_options;
  caller_options.request_memory =
      std::make_shared<RequestMemory>(ListenerLimits().max_request_bytes);
  BOOST_OUTCOME_TRY(this->caller_server,
                    HttpServer::Create(this->io, this->settings.caller_address, api->Handler(),
                                       std::move(caller_options)));
  // The node outlives its servers, so the handler needs no ownership of it.
  auto self = std::shared_ptr<EntryNodeImpl>(std::shared_ptr<void>(), this);
  BOOST_OUTCOME_TRY(this->admin_server,
                    HttpServer::Create(this->io, this->settings.admin_address,
                                       MakeAdminHandler(self, kAdminTimeout), {}));
  BOOST_OUTCOME_TRY(this->metrics_server,
                    MetricsServer::Create(this->settings.metrics_address, this->metrics));
  return success();
}

void EntryNodeImpl::AddListeners() {
  this->state->AddListener(
      [this](const SharedEntry& entry, Urgency) { this->OnSharedEntry(entry); });
}

// Runs on the thread that stored the entry, so longer work is posted to the io_context.
void EntryNodeImpl::OnSharedEntry(const SharedEntry& entry) {
  const TimePoint now = Clock::now();
  if (const auto* group = std::get_if<GroupSummary>(&entry.value)) {
    this->groups->Update(*group, entry.expires, now);
    this->gate->StartWaiting();
  } else if (std::holds_alternative<SuspectMark>(entry.value)) {
    if (auto merged = this->quarantine->Merge(entry, now)) {
      net::post(this->io, [this, mark = *std::move(merged)] {
        this->state->Put(mark, Urgency::kUrgent, Clock::now());
      });
    }
  } else if (const auto* demand = std::get_if<TeamDemand>(&entry.value)) {
    if (demand->node != this->settings.node) this->gate->OnDemand(*demand, entry.expires);
  } else if (std::holds_alternative<ConfigFreshness>(entry.value)) {
    this->sync->ApplyConfirmation(entry);
  } else if (const auto* announcement = std::get_if<ConfigAnnouncement>(&entry.value)) {
    if (announcement->version > this->context->config_state().version()) {
      this->Spawn(this->sync->OnAnnouncement(*announcement));
    }
  }
}

void EntryNodeImpl::ApplyDocument(const VersionedDocument& document) {
  this->gate->SetTeams(document.document.teams);
  for (const ServiceSpec& service : document.document.services) {
    this->services->SetUpstreams(service);
  }
  this->gate->StartWaiting();
}

void EntryNodeImpl::Spawn(net::awaitable<void> task) {
  net::co_spawn(net::make_strand(this->io), std::move(task), net::detached);
}

net::awaitable<void> EntryNodeImpl::PollVms() {
  for (;;) {
    const TimePoint now = Clock::now();
    const Deadline deadline = now + Milliseconds(this->settings.platform_timeout_ms);
    auto list = co_await FetchVms(*this->control_client, this->settings.vm_list_address, deadline);
    if (list) this->context->SetVms(std::move(list).value());
    co_await detail::PauseUntil(now + Milliseconds(this->settings.vm_list_poll_ms));
  }
}

net::awaitable<void> EntryNodeImpl::PollServices() {
  for (;;) {
    const TimePoint now = Clock::now();
    const auto document = this->context->ActiveDocument();
    if (document) {
      for (const ServiceSpec& service : document->document.services) {
        for (const ServiceUpstream& upstream : service.upstreams) {
          this->Spawn(this->PollService(service.name, upstream.address));
        }
      }
    }
    co_await detail::PauseUntil(now + Milliseconds(2 * this->settings.report_interval_ms));
  }
}

net::awaitable<void> EntryNodeImpl::PollService(ServiceName service, std::string address) {
  const Deadline deadline = Clock::now() + Milliseconds(this->settings.report_timeout_ms);
  auto report = co_await FetchServiceReport(*this->control_client, address, deadline);
  if (report) {
    this->services->OnReport(service, address, report.value());
    this->gate->StartWaiting();
    co_return;
  }
  const Deadline until = Clock::now() + Milliseconds(4 * this->settings.report_interval_ms);
  this->services->MarkUnreachable(service, address, until);
}

net::awaitable<void> EntryNodeImpl::PublishDemand() {
  std::uint64_t version = FirstEntryVersion();
  for (;;) {
    const TimePoint now = Clock::now();
    const std::vector<NodeInfo> members = this->nodes->Members();
    this->groups->SetNodeCount(
        static_cast<int>(std::count_if(members.begin(), members.end(), [](const NodeInfo& member) {
          return member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
        })));
    for (const TeamDemand& demand : this->gate->Demand(this->settings.node)) {
      const std::string key = "demand/" + this->settings.node.value + "/" + demand.team.value;
      this->state->Put({key, ++version, now + kDemandLifetime, demand}, Urgency::kNormal, now);
    }
    co_await detail::PauseUntil(now + kDemandInterval);
  }
}

// Reports group downtime and stranded VMs as observed by this node. Every node reports on the same
// deployment.
net::awaitable<void> EntryNodeImpl::ReportCapacity() {
  TimePoint last = Clock::now();
  for (;;) {
    co_await detail::PauseUntil(last + kMeasureInterval);
    const TimePoint now = Clock::now();
    const double seconds = std::chrono::duration<double>(now - last).count();
    last = now;
    const auto document = this->context->ActiveDocument();
    const auto vms = this->context->Vms();
    if (!document || !vms) continue;
    const auto measures = MeasureCapacity(document->document, *vms, this->groups->Serving(now));
    for (const ModelCapacity& model : measures.models) {
      const Labels labels = {{"model", model.model.value}};
      this->metrics->Set("groups_wanted", labels, model.wanted);
      this->metrics->Set("groups_serving", labels, model.serving);
      const int missing = std::max(0, model.wanted - model.serving);
      this->metrics->Add("group_downtime_seconds_total", labels, missing * seconds);
    }
    this->metrics->Set("stranded_vms", {}, measures.stranded_vms);
    this->metrics->Add("stranded_vm_seconds_total", {}, measures.stranded_vms * seconds);
  }
}

net::awaitable<void> EntryNodeImpl::CleanUp() {
  for (;;) {
    const TimePoint now = Clock::now();
    this->state->RemoveExpired(now);
    co_await detail::PauseUntil(now + kCleanupInterval);
  }
}

std::string EntryNodeImpl::StatusJson() const {
  const TimePoint now = Clock::now();
  nlohmann::json members = nlohmann::json::array();
  for (const NodeInfo& member : this->nodes->Members()) {
    members.push_back({{"node", member.node.value},
                       {"zone", member.zone.value},
                       {"caller_address", member.caller_address},
                       {"state", StateName(member.state)}});
  }
  const std::vector<GroupSummary> serving = this->groups->Serving(now);
  nlohmann::json group_list = nlohmann::json::array();
  for (const SharedEntry& entry : this->state->List("group/", now)) {
    const auto* group = std::get_if<GroupSummary>(&entry.value);
    if (group == nullptr) continue;
    // A group is reported as serving only if the gate of this node is open for it.
    const bool open = std::any_of(serving.begin(), serving.end(), [&](const GroupSummary& s) {
      return KeyOf(s) == KeyOf(*group) && s.generation == group->generation;
    });
    const bool closed_here = group->state == GroupState::kServing && !open;
    group_list.push_back(GroupJson(*group, closed_here ? "closed" : StateName(group->state)));
  }
  nlohmann::json vms = nlohmann::json::array();
  std::set<std::string> owned;
  if (const auto list = this->context->Vms()) {
    for (const Vm& vm : *list) {
      if (this->context->OwnsDomain(vm.domain)) owned.insert(vm.domain.value);
      vms.push_back({{"vm", vm.id.value},
                     {"zone", vm.zone.value},
                     {"domain", vm.domain.value},
                     {"leaving", vm.leaving}});
    }
  }
  ConfigState& config = this->context->config_state();
  return nlohmann::json({{"node", this->settings.node.value},
                         {"zone", this->settings.zone.value},
                         {"config_version", config.version()},
                         {"config_confirmed", config.confirmed_until() > now},
                         {"accepts_work", this->dispatcher->AcceptsWork()},
                         {"draining", this->draining.load()},
                         {"in_flight", this->dispatcher->in_flight()},
                         {"queued", this->gate->queued()},
                         {"platform_calls", this->store->calls()},
                         {"nodes", members},
                         {"owned_domains", owned},
                         {"groups", group_list},
                         {"vms", vms}})
      .dump();
}

void EntryNodeImpl::Drain() {
  if (this->draining.exchange(true)) return;
  Log(LogLevel::kInfo, "drain_started", {{"in_flight", this->dispatcher->in_flight()}});
  this->Spawn(this->DrainAndStop());
}

net::awaitable<void> EntryNodeImpl::DrainAndStop() {
  DrainOptions options;
  options.address_ttl = Milliseconds(this->settings.address_ttl_ms);
  options.quiet_time = kDrainQuietTime;
  auto created = limpetfall::Drain::Create(options);
  if (!created) co_return;
  limpetfall::Drain drain = std::move(created).value();
  const TimePoint start = Clock::now();
  drain.Start(start);
  this->caller_server->EndKeepAlive();
  this->owners->Stop();
  const int notified_nodes =
      co_await this->nodes->AnnounceLeaving(start + options.announce_timeout);
  if (notified_nodes >= static_cast<int>(this->context->ReachableNodes().size())) {
    drain.OnAnnounced(Clock::now());
  }
  // An order whose outcome is not recorded yet counts as in flight.
  const auto load = [this] {
    return DrainLoad{this->caller_server->in_flight() + this->orders->unsettled(),
                     this->caller_server->connections(), this->caller_server->requests_begun()};
  };
  std::optional<Deadline> limit;
  while (drain.Tick(load(), Clock::now()) != DrainStage::kFinished) {
    if (!drain.AcceptsWork() && !limit) {
      this->dispatcher->StopNewWork();
      this->caller_server->StopListening();
      limit = Clock::now() + Milliseconds(this->settings.request_timeout_ms);
    }
    if (limit && Clock::now() >= *limit) break;
    co_await detail::PauseUntil(Clock::now() + kDrainPollInterval);
  }
  this->caller_server->StopAccepting();
  const Deadline close_by = Clock::now() + kDrainCloseTime;
  while (this->caller_server->connections() > 0 && Clock::now() < close_by)
    co_await detail::PauseUntil(Clock::now() + kDrainPollInterval);
  Log(LogLevel::kInfo, "drain_ended", {{"in_flight", load().in_flight}});
  this->sync->Stop();
  this->io.stop();
}

void EntryNodeImpl::Run() {
  this->Spawn(this->sync->Run());
  this->Spawn(this->PollVms());
  this->Spawn(this->PollServices());
  this->Spawn(this->PublishDemand());
  this->Spawn(this->ReportCapacity());
  this->Spawn(this->CleanUp());
  net::co_spawn(this->io, this->owners->Run(), net::detached);
  this->signals.async_wait([this](const boost::system::error_code& error, int) {
    if (!error) this->Drain();
  });
  Log(LogLevel::kInfo, "started",
      {{"node", this->settings.node.value},
       {"zone", this->settings.zone.value},
       {"caller_address", this->caller_server->address()},
       {"admin_address", this->admin_server->address()}});
  std::vector<std::thread> threads;
  for (int i = 1; i < this->settings.threads; ++i) {
    threads.emplace_back([this] { this->io.run(); });
  }
  this->io.run();
  for (std::thread& thread : threads) thread.join();
}

}  // namespace

Result<std::unique_ptr<EntryNode>> EntryNode::Create(Settings settings) {
  auto node = std::make_unique<EntryNodeImpl>(std::move(settings));
  BOOST_OUTCOME_TRYV(node->Open());
  return std::unique_ptr<EntryNode>(std::move(node));
}

}  // namespace limpetfall
