#ifndef LIMPETFALL_DAEMON_DOMAIN_OWNER_H_
#define LIMPETFALL_DAEMON_DOMAIN_OWNER_H_

#include <algorithm>
#include <atomic>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <concepts>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/log.h"
#include "base/pause.h"
#include "base/settings.h"
#include "core/assembly.h"
#include "core/document.h"
#include "core/domain-record.h"
#include "core/shared-state.h"
#include "daemon/weight-slots.h"
#include "platform/store.h"
#include "upstream/engine-control.h"
#include "upstream/join.h"

namespace limpetfall {

/** What an owner needs from membership, the VM list and the configuration. */
template <typename T>
concept OwnerContext = requires(const T& context, const DomainId& domain) {
  { context.OwnsDomain(domain) } -> std::same_as<bool>;
  { context.Vms() } -> std::same_as<std::shared_ptr<const std::vector<Vm>>>;
  // Null until a document is in force.
  { context.ActiveDocument() } -> std::same_as<std::shared_ptr<const VersionedDocument>>;
  { context.Now() } -> std::same_as<TimePoint>;
};

/** The engines of a domain as its owner uses them. */
template <typename T>
concept EngineFleet = requires(T& engines, std::string address, GroupRecord group, int rank,
                               Deadline deadline) {
  {
    engines.FetchReport(address, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<VmReport>>>;
  {
    engines.SendAssignment(address, group, rank, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<void>>>;
};

/** Engines called over HTTP. */
class HttpEngines {
 public:
  explicit HttpEngines(std::shared_ptr<HttpClient> http) : client(std::move(http)) {}

  boost::asio::awaitable<Result<VmReport>> FetchReport(std::string address, Deadline deadline) {
    return limpetfall::FetchReport(*this->client, std::move(address), deadline);
  }

  boost::asio::awaitable<Result<void>> SendAssignment(std::string address, GroupRecord group,
                                                      int rank, Deadline deadline) {
    return limpetfall::SendAssignment(*this->client, std::move(address), std::move(group), rank,
                                      deadline);
  }

 private:
  std::shared_ptr<HttpClient> client;
};

/** Returns the key of a group's summary in the shared state. */
std::string GroupSummaryKey(const GroupId& group);

namespace detail {

/** Returns the options of the assembly core for a domain. */
AssemblyOptions AssemblyOptionsFrom(const Settings& settings, const DomainId& domain);

/** Sets the counts of groups in other domains, in total and without draining groups. */
void CountOtherGroups(const std::vector<SharedEntry>& entries, const DomainId& own,
                      AssemblyInput& input);

/** Returns a token that is unique to one write. */
std::string NewWriterToken(const NodeId& node);

/** Publishes summaries in the shared state; limits how often load and unchanged ones are sent. */
class SummaryPublisher {
 public:
  void Publish(SharedState& state, const std::vector<SummaryUpdate>& updates,
               std::int64_t record_revision, TimePoint now);
  void Reset() { this->published.clear(); }

 private:
  struct Published {
    GroupSummary summary;
    TimePoint at;
  };

  std::map<GroupId, Published> published;
};

}  // namespace detail

/**
 * Owner of one fabric domain: polls reports, lets the assembly core decide, writes the record by
 * compare-and-swap, sends commands and publishes summaries. Runs on one strand.
 */
template <Store S, OwnerContext C, EngineFleet E, AssemblyPolicy P = CostPolicy>
class DomainOwner : public std::enable_shared_from_this<DomainOwner<S, C, E, P>> {
 public:
  static std::shared_ptr<DomainOwner> Create(DomainId domain, Settings settings,
                                             std::shared_ptr<S> store,
                                             std::shared_ptr<const C> context,
                                             std::shared_ptr<E> engines,
                                             std::shared_ptr<SharedState> state) {
    return std::shared_ptr<DomainOwner>(new DomainOwner(std::move(domain), std::move(settings),
                                                        std::move(store), std::move(context),
                                                        std::move(engines), std::move(state)));
  }

  /** Runs one round of polling, deciding and acting, or nothing if another node is the owner. */
  boost::asio::awaitable<void> Tick() {
    const auto document = this->context->ActiveDocument();
    const auto list = this->context->Vms();
    if (!this->context->OwnsDomain(this->domain) || !document || !list) {
      this->ReleaseOwnership();
      co_return;
    }
    this->BeginTick();
    std::vector<Vm> vms = VmsOf(*list, this->domain);
    if (!this->has_record) this->LoadRecordFromSummaries();
    if (!this->has_record) co_await this->ReadRecord();
    if (!this->has_record) co_return;
    if (!this->RecordIsFresh(this->record_recheck)) co_await this->StartRefresh();
    co_await this->Poll(vms);
    if (!this->active || !this->context->OwnsDomain(this->domain)) co_return;

    this->UpdatePlacement(document, list);
    std::int64_t revision = this->record.revision;
    AssemblyOutput output = this->Step(vms, document->document.policy);
    if (this->record_current && output.slots_needed != this->slots.Held(this->context->Now())) {
      const bool more = co_await this->AdjustSlots(output.slots_needed, document);
      if (more) output = this->Step(vms, document->document.policy);
    }
    if (output.proposal && this->record_current) {
      DomainRecord proposal = std::move(*output.proposal);
      const bool written = co_await this->Write(std::move(proposal));
      if (!written) co_return;
      revision = this->record.revision;
      output = this->Step(vms, document->document.policy);
    }
    co_await this->Send(std::move(output.commands), revision);
  }

 private:
  // The store's copy of the record must be this recent when a command is sent.
  static constexpr Milliseconds kCommandFreshness{500};
  // A record is read again after this time without a change, to notice another writer.
  static constexpr Milliseconds kRecheckInterval{5000};

  DomainOwner(DomainId owned, Settings node_settings, std::shared_ptr<S> platform,
              std::shared_ptr<const C> owner_context, std::shared_ptr<E> engine_fleet,
              std::shared_ptr<SharedState> shared)
      : domain(std::move(owned)),
        settings(std::move(node_settings)),
        store(std::move(platform)),
        context(std::move(owner_context)),
        engines(std::move(engine_fleet)),
        state(std::move(shared)),
        key(DomainRecordKey(this->domain)),
        slots(this->store, detail::NewWriterToken(this->settings.node)),
        core(NewCore()) {}

  Assembly<P> NewCore() const {
    return Assembly<P>::Create(detail::AssemblyOptionsFrom(this->settings, this->domain), P{});
  }

  static std::vector<Vm> VmsOf(const std::vector<Vm>& list, const DomainId& domain) {
    std::vector<Vm> vms;
    for (const Vm& vm : list) {
      if (vm.domain == domain) vms.push_back(vm);
    }
    return vms;
  }

  // Clears the state of the domain, because it may be out of date when this node becomes the owner
  // again.
  void ReleaseOwnership() {
    if (!this->active) return;
    this->active = false;
    ++this->term;
    this->has_record = false;
    this->record_current = false;
    this->reports.clear();
    this->publisher.Reset();
    this->slots.Clear();
    this->core = this->NewCore();
  }

  void BeginTick() {
    const TimePoint now = this->context->Now();
    // After a pause another owner may have changed the record.
    if (now - this->last_tick > Milliseconds(4 * this->settings.report_interval_ms)) {
      this->record_current = false;
    }
    this->last_tick = now;
    this->active = true;
  }

  boost::asio::awaitable<void> Poll(const std::vector<Vm>& vms) {
    const Deadline deadline = this->context->Now() + Milliseconds(this->settings.report_timeout_ms);
    auto received = std::make_shared<std::map<VmId, ReceivedReport>>();
    std::vector<boost::asio::awaitable<void>> tasks;
    tasks.reserve(vms.size());
    for (const Vm& vm : vms) {
      tasks.push_back(PollOne(this->engines, this->context, vm, deadline, received));
    }
    if (!tasks.empty()) co_await JoinAll(std::move(tasks));
    std::map<VmId, ReceivedReport> merged;
    for (const Vm& vm : vms) {
      if (const auto now = received->find(vm.id); now != received->end()) {
        merged.insert(*now);
      } else if (const auto old = this->reports.find(vm.id); old != this->reports.end()) {
        merged.insert(*old);
      }
    }
    this->reports = std::move(merged);
  }

  static boost::asio::awaitable<void> PollOne(
      std::shared_ptr<E> engines, std::shared_ptr<const C> context, Vm vm, Deadline deadline,
      std::shared_ptr<std::map<VmId, ReceivedReport>> received) {
    // The report is only known to be valid at the time of the request; the reply may have been
    // slow.
    const TimePoint request_time = context->Now();
    auto report = co_await engines->FetchReport(vm.address, deadline);
    if (!report || report.value().vm != vm.id) co_return;
    (*received)[vm.id] = ReceivedReport{report.value(), request_time};
  }

  // ---- record

  [[nodiscard]] bool RecordIsFresh(Deadline until) const {
    return this->record_current && this->context->Now() < until;
  }

  void SetRecord(const DomainRecord& next, TimePoint confirmed) {
    this->record = next;
    this->has_record = true;
    this->record_current = true;
    this->command_deadline = confirmed + kCommandFreshness;
    this->record_recheck = confirmed + kRecheckInterval;
  }

  bool SetRecordFromStore(const std::optional<StoredValue>& stored, TimePoint confirmed) {
    if (!stored) {
      DomainRecord none;
      none.domain = this->domain;
      this->SetRecord(none, confirmed);
      return true;
    }
    auto parsed = ParseDomainRecord(stored->value, stored->revision);
    if (!parsed) {
      Log(LogLevel::kError, "domain_record_unreadable",
          {{"domain", this->domain.value}, {"error", parsed.error().message}});
      this->record_current = false;
      return false;
    }
    this->writer = parsed.value().writer;
    this->SetRecord(parsed.value().record, confirmed);
    return true;
  }

  // A new owner continues with the groups that the former owner published, so that they keep
  // serving while the platform does not answer. No record is written and no command is sent before
  // the record is read.
  void LoadRecordFromSummaries() {
    DomainRecord summarized;
    summarized.domain = this->domain;
    for (const SharedEntry& entry : this->state->List("group/", this->context->Now())) {
      const auto* group = std::get_if<GroupSummary>(&entry.value);
      if (group == nullptr || group->domain != this->domain) continue;
      if (group->state == GroupState::kLost) continue;
      GroupRecord record{group->group, group->generation, group->model, group->version, {}};
      for (const GroupMember& member : group->members) record.members.push_back(member.vm);
      summarized.last_generation = std::max(summarized.last_generation, group->generation);
      summarized.groups.push_back(std::move(record));
    }
    if (summarized.groups.empty()) return;
    this->record = std::move(summarized);
    this->has_record = true;
    this->record_current = false;
  }

  boost::asio::awaitable<bool> ReadRecord() {
    const TimePoint request_time = this->context->Now();
    const std::uint64_t started_term = this->term;
    auto stored = co_await this->store->Get(this->key, this->PlatformDeadline());
    if (this->term != started_term) co_return false;
    // A write by this owner may have ended while the read was under way.
    const std::int64_t revision = stored && stored.value() ? stored.value()->revision : 0;
    if (stored && this->has_record && revision < this->record.revision) {
      co_return this->record_current;
    }
    if (!stored) {
      this->record_current = false;
      co_return false;
    }
    co_return this->SetRecordFromStore(stored.value(), request_time);
  }

  // Reads the record concurrently with the rounds, because reports would become stale while the
  // platform does not answer.
  boost::asio::awaitable<void> StartRefresh() {
    if (this->refreshing) co_return;
    this->refreshing = true;
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::co_spawn(executor, Refresh(this->shared_from_this()), boost::asio::detached);
  }

  static boost::asio::awaitable<void> Refresh(std::shared_ptr<DomainOwner> self) {
    co_await self->ReadRecord();
    self->refreshing = false;
  }

  // Returns whether the store now holds the proposal.
  boost::asio::awaitable<bool> Write(DomainRecord proposal) {
    const std::string token = detail::NewWriterToken(this->settings.node);
    const TimePoint request_time = this->context->Now();
    const std::int64_t expected = proposal.revision;
    std::string value = SerializeDomainRecord(proposal, token);
    auto swapped = co_await this->store->Swap(this->key, std::move(value), expected, 0,
                                              this->PlatformDeadline());
    if (!swapped) {
      this->record_current = false;
      if (swapped.error().verdict == Verdict::kNotRun) co_return false;
      // The write may have taken effect although its reply was lost.
      const bool record_read = co_await this->ReadRecord();
      if (!record_read) co_return false;
      co_return this->writer == token;
    }
    if (!swapped.value().written) {
      Log(LogLevel::kInfo, "domain_record_conflict", {{"domain", this->domain.value}});
      co_return this->SetRecordFromStore(swapped.value().current, request_time) &&
          this->writer == token;
    }
    proposal.revision = swapped.value().revision;
    this->writer = token;
    this->SetRecord(proposal, request_time);
    co_return true;
  }

  [[nodiscard]] Deadline PlatformDeadline() const {
    return this->context->Now() + Milliseconds(this->settings.platform_timeout_ms);
  }

  // Returns whether more slots are held than before.
  boost::asio::awaitable<bool> AdjustSlots(int needed,
                                           std::shared_ptr<const VersionedDocument> document) {
    const TimePoint now = this->context->Now();
    const int before = this->slots.Held(now);
    if (needed < before) co_await this->slots.Release(needed, this->PlatformDeadline());
    if (needed <= before) co_return false;
    co_await this->slots.Acquire(needed, document->document.policy.weight_store_slots, now,
                                 this->PlatformDeadline());
    co_return this->slots.Held(now) > before;
  }

  // ---- decision

  void UpdatePlacement(const std::shared_ptr<const VersionedDocument>& document,
                       const std::shared_ptr<const std::vector<Vm>>& list) {
    if (document == this->placed_document && list == this->placed_list) return;
    this->placement = std::make_shared<const Placement>(PlanPlacement(document->document, *list));
    this->placed_document = document;
    this->placed_list = list;
  }

  AssemblyOutput Step(const std::vector<Vm>& vms, const PolicySpec& policy) {
    const TimePoint now = this->context->Now();
    AssemblyInput input;
    input.vms = vms;
    for (const auto& [id, report] : this->reports) input.reports.push_back(report);
    input.record = this->record;
    input.placement = this->placement;
    input.policy = policy;
    input.slots_held = this->slots.Held(now);
    detail::CountOtherGroups(this->state->List("group/", now), this->domain, input);
    AssemblyOutput output = this->core.Step(input, now);
    this->publisher.Publish(*this->state, output.summaries, this->record.revision, now);
    return output;
  }

  // ---- commands

  // After a pause of its process, an owner may hold a record that another owner has replaced. So a
  // command is sent only while a read or write of the record is recent.
  boost::asio::awaitable<void> Send(std::vector<AssignmentCommand> commands,
                                    std::int64_t revision) {
    if (commands.empty()) co_return;
    if (!this->RecordIsFresh(this->command_deadline)) {
      const bool record_read = co_await this->ReadRecord();
      if (!record_read) co_return;
    }
    if (this->record.revision != revision) co_return;
    std::vector<boost::asio::awaitable<void>> tasks;
    tasks.reserve(commands.size());
    for (AssignmentCommand& command : commands) {
      tasks.push_back(
          SendOne(this->engines, this->context, std::move(command), this->command_deadline));
    }
    co_await JoinAll(std::move(tasks));
  }

  static boost::asio::awaitable<void> SendOne(std::shared_ptr<E> engines,
                                              std::shared_ptr<const C> context,
                                              AssignmentCommand command, Deadline deadline) {
    if (context->Now() >= deadline) co_return;
    auto sent =
        co_await engines->SendAssignment(command.address, command.group, command.rank, deadline);
    if (sent) co_return;
    Log(LogLevel::kWarning, "assignment_failed",
        {{"vm", command.vm.value},
         {"group", command.group.group.value},
         {"generation", command.group.generation},
         {"error", sent.error().message}});
  }

  DomainId domain;
  Settings settings;
  std::shared_ptr<S> store;
  std::shared_ptr<const C> context;
  std::shared_ptr<E> engines;
  std::shared_ptr<SharedState> state;
  std::string key;
  WeightSlots<S> slots;
  Assembly<P> core;

  bool active = false;
  std::uint64_t term = 0;  ///< Counts the times that this node stopped being the owner.
  TimePoint last_tick;
  std::map<VmId, ReceivedReport> reports;

  DomainRecord record;
  std::string writer;
  bool has_record = false;  ///< The record was read since this node became the owner.
  bool refreshing = false;
  bool record_current = false;  ///< Nothing indicates that the store holds another record.
  Deadline command_deadline;
  Deadline record_recheck;

  std::shared_ptr<const Placement> placement;
  std::shared_ptr<const VersionedDocument> placed_document;
  std::shared_ptr<const std::vector<Vm>> placed_list;
  detail::SummaryPublisher publisher;
};

/**
 * Runs an owner for each domain of the VM list; owners of domains that another node owns are idle.
 *
 *     auto owners = DomainOwners<...>::Create(settings, store, context, engines, state);
 *     co_spawn(io, owners->Run(), detached);
 */
template <Store S, OwnerContext C, EngineFleet E>
class DomainOwners : public std::enable_shared_from_this<DomainOwners<S, C, E>> {
 public:
  static std::shared_ptr<DomainOwners> Create(Settings settings, std::shared_ptr<S> store,
                                              std::shared_ptr<const C> context,
                                              std::shared_ptr<E> engines,
                                              std::shared_ptr<SharedState> state) {
    return std::shared_ptr<DomainOwners>(new DomainOwners(std::move(settings), std::move(store),
                                                          std::move(context), std::move(engines),
                                                          std::move(state)));
  }

  /** Returns after `Stop`. */
  boost::asio::awaitable<void> Run() {
    auto self = this->shared_from_this();
    const auto executor = co_await boost::asio::this_coro::executor;
    std::set<DomainId> started;
    while (!this->stopped) {
      const auto list = this->context->Vms();
      for (const DomainId& domain : list ? DomainsOf(*list) : std::set<DomainId>{}) {
        if (!started.insert(domain).second) continue;
        auto owner = DomainOwner<S, C, E>::Create(domain, this->settings, this->store,
                                                  this->context, this->engines, this->state);
        boost::asio::co_spawn(boost::asio::make_strand(executor), RunOwner(self, owner),
                              boost::asio::detached);
      }
      co_await detail::PauseUntil(Clock::now() + Milliseconds(this->settings.report_interval_ms));
    }
  }

  void Stop() { this->stopped = true; }

 private:
  static constexpr Milliseconds kMinPause{20};

  DomainOwners(Settings node_settings, std::shared_ptr<S> platform,
               std::shared_ptr<const C> owner_context, std::shared_ptr<E> engine_fleet,
               std::shared_ptr<SharedState> shared)
      : settings(std::move(node_settings)),
        store(std::move(platform)),
        context(std::move(owner_context)),
        engines(std::move(engine_fleet)),
        state(std::move(shared)) {}

  static std::set<DomainId> DomainsOf(const std::vector<Vm>& list) {
    std::set<DomainId> domains;
    for (const Vm& vm : list) domains.insert(vm.domain);
    return domains;
  }

  static boost::asio::awaitable<void> RunOwner(std::shared_ptr<DomainOwners> self,
                                               std::shared_ptr<DomainOwner<S, C, E>> owner) {
    while (!self->stopped) {
      const TimePoint began = Clock::now();
      co_await owner->Tick();
      // Keeps a pause between rounds even if an engine that did not answer used up the interval.
      co_await detail::PauseUntil(std::max(began + Milliseconds(self->settings.report_interval_ms),
                                           Clock::now() + kMinPause));
    }
  }

  Settings settings;
  std::shared_ptr<S> store;
  std::shared_ptr<const C> context;
  std::shared_ptr<E> engines;
  std::shared_ptr<SharedState> state;
  std::atomic<bool> stopped = false;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_DAEMON_DOMAIN_OWNER_H_
