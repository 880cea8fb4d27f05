#include "daemon/dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Tokens = std::vector<std::string>;

struct FakeConfig {
  std::shared_ptr<const VersionedDocument> document;
  std::shared_ptr<const VersionedDocument> Current() { return this->document; }
};

// Response of a fake group to one completion: the tokens, then an error or the end mark.
struct Script {
  Tokens tokens;
  std::optional<Error> failure;
  std::optional<Error> refusal;
  milliseconds token_delay{0};
};

class FakeStream final : public TokenStream {
 public:
  FakeStream(Script script, std::function<void()> on_failure)
      : script(std::move(script)), on_failure(std::move(on_failure)) {}

  asio::awaitable<Result<std::optional<std::string>>> Next(Deadline) override {
    asio::steady_timer timer(co_await asio::this_coro::executor, this->script.token_delay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (this->next < this->script.tokens.size()) {
      co_return std::optional(this->script.tokens[this->next++]);
    }
    if (this->script.failure) {
      this->on_failure();
      co_return *this->script.failure;
    }
    co_return std::optional<std::string>();
  }

 private:
  Script script;
  std::function<void()> on_failure;
  std::size_t next = 0;
};

struct FakeOpener {
  struct Opened {
    std::string group;
    Tokens resumed;
  };

  std::deque<Script> scripts;  // One for each attempt, in order.
  std::vector<Opened> opened;
  /// Receives the groups of scripts that end with a loss.
  std::set<std::string>* incomplete = nullptr;

  asio::awaitable<Result<std::unique_ptr<TokenStream>>> Open(GroupSummary group, CompletionRequest,
                                                             Tokens resume, Deadline) {
    this->opened.push_back({group.group.value, std::move(resume)});
    const Script script = this->scripts.front();
    this->scripts.pop_front();
    if (script.refusal) co_return *script.refusal;
    auto on_failure = [this, name = group.group.value, failure = script.failure] {
      if (failure->code == ErrorCode::kUpstreamLost) this->incomplete->insert(name);
    };
    co_return std::unique_ptr<TokenStream>(std::make_unique<FakeStream>(script, on_failure));
  }
};

struct FakeCheck {
  std::set<std::string> incomplete;  // Groups that have lost a member.
  int rounds = 0;

  asio::awaitable<Result<void>> Confirm(GroupSummary group, Deadline) {
    ++this->rounds;
    if (!this->incomplete.contains(group.group.value)) co_return success();
    co_return MayHaveRun(ErrorCode::kUpstreamLost, "a member restarted");
  }
};

struct FakePusher {
  std::vector<SharedEntry> pushed;
  std::function<void(const SharedEntry&)> on_push;

  asio::awaitable<void> Push(SharedEntry entry, Deadline) {
    this->pushed.push_back(entry);
    if (this->on_push) this->on_push(entry);
    co_return;
  }
};

struct FakeOrders {
  int runs = 0;
  asio::awaitable<Result<ServiceAnswer>> Run(ServiceCall) {
    ++this->runs;
    co_return ServiceAnswer{201, "text/plain", "recorded", 0};
  }
};

struct FakeUpstream {
  std::deque<Result<ServiceAnswer>> answers;
  std::vector<std::string> addresses;
  asio::awaitable<Result<ServiceAnswer>> operator()(std::string address, ServiceCall, Deadline) {
    this->addresses.push_back(address);
    Result<ServiceAnswer> answer = this->answers.front();
    this->answers.pop_front();
    co_return answer;
  }
};

struct NullMetrics final : Metrics {
  void Add(std::string_view, const Labels&, double) override {}
  void Set(std::string_view, const Labels&, double) override {}
  void Observe(std::string_view, const Labels&, double) override {}
  std::string Text() const override { return ""; }
};

struct CollectingSink final : CompletionSink {
  Tokens tokens;
  ConfigVersion version = 0;
  std::function<void(std::size_t)> on_token;

  asio::awaitable<Result<void>> OnStart(ConfigVersion config) override {
    this->version = config;
    co_return success();
  }
  asio::awaitable<Result<void>> OnToken(std::string_view text) override {
    this->tokens.emplace_back(text);
    if (this->on_token) this->on_token(this->tokens.size());
    co_return success();
  }
};

using TestDispatcher =
    Dispatcher<FakeConfig, FakeOpener, FakeCheck, FakePusher, FakeOrders, FakeUpstream>;

VersionedDocument TestDocument() {
  VersionedDocument versioned;
  versioned.version = 7;
  Document& document = versioned.document;
  ModelSpec model;
  model.name = ModelName("folds");
  model.versions = {ModelVersion("1")};
  document.models = {model};
  TeamSpec team;
  team.name = TeamName("councils");
  document.teams = {team};
  BranchSpec branch;
  branch.name = BranchName("ennis");
  branch.models = {{ModelName("folds"), ModelVersion("1")}};
  document.branches = {branch};
  ServiceSpec service;
  service.name = ServiceName("orders");
  service.upstreams = {{"127.0.0.1:1", ZoneId("a")}, {"127.0.0.1:2", ZoneId("a")}};
  service.routes = {{"GET", "/stock", true}, {"POST", "/orders", false}};
  document.services = {service};
  return versioned;
}

const Error kLost = MayHaveRun(ErrorCode::kUpstreamLost, "connection reset");

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(LostMemberResumesWithoutRepeatedOrMissingTokens);
  CPPUNIT_TEST(ResumeStartsAfterTheConfirmedTokens);
  CPPUNIT_TEST(BrokenConnectionToCompleteGroupSetsNoSuspectMark);
  CPPUNIT_TEST(DifferentRegeneratedTokensFailTheRequest);
  CPPUNIT_TEST(FailedReleaseCheckFailsTheRequest);
  CPPUNIT_TEST(FailedRoundAbandonsAStalledStream);
  CPPUNIT_TEST(RefusalIsRetriedOnAnotherGroup);
  CPPUNIT_TEST(RefusalAfterARunIsNotReportedAsNotRun);
  CPPUNIT_TEST(SecondLossFailsAndQuarantinesTheRequest);
  CPPUNIT_TEST(RequestWithTrialOnAnotherNodeIsNotRun);
  CPPUNIT_TEST(RetriesStopWhenTheBudgetIsUsedUp);
  CPPUNIT_TEST(UnknownTeamIsNotRun);
  CPPUNIT_TEST(StoppedDispatcherRefusesNewWork);
  CPPUNIT_TEST(OrdersAreRunByTheOrderRunner);
  CPPUNIT_TEST(NonIdempotentCallIsNotRepeatedAfterItMayHaveRun);
  CPPUNIT_TEST(IdempotentCallIsRepeatedOnAnotherUpstream);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->io = std::make_unique<asio::io_context>();
    this->config = std::make_shared<FakeConfig>();
    this->config->document = std::make_shared<const VersionedDocument>(TestDocument());
    this->opener = std::make_shared<FakeOpener>();
    this->check = std::make_shared<FakeCheck>();
    this->opener->incomplete = &this->check->incomplete;
    this->pusher = std::make_shared<FakePusher>();
    this->orders = std::make_shared<FakeOrders>();
    this->upstream = std::make_shared<FakeUpstream>();
    this->groups = std::make_shared<GroupTable>(1);
    this->quarantine = std::make_shared<QuarantineTable>(NodeId("n1"));
    this->retries = std::make_shared<NodeRetryBudget>();
    auto services = std::make_shared<ServiceTable>(1);
    services->SetUpstreams(this->config->document->document.services.front());
    const asio::any_io_executor executor = this->io->get_executor();
    auto gate = AdmissionGate::Create(executor, {});
    gate->SetTeams(this->config->document->document.teams);
    auto caller = std::make_shared<ServiceCaller<FakeConfig, FakeUpstream>>(
        this->config, this->upstream, services, gate, this->retries);
    DispatcherOptions options;
    options.round_interval = milliseconds(20);
    this->dispatcher = TestDispatcher::Create(
        {executor, this->config, this->opener, this->check, this->pusher, this->orders, caller,
         this->groups, this->quarantine, gate, this->retries, std::make_shared<NullMetrics>(),
         [](const ZoneId&) { return AddressList(); }},
        options);
    for (const char* name : {"g1", "g2", "g3"}) this->AddGroup(name);
  }

  void tearDown() override {
    this->dispatcher.reset();
    this->io.reset();
  }

  // Guards against a caller that receives a token twice or not at all when a group is lost.
  void LostMemberResumesWithoutRepeatedOrMissingTokens() {
    this->opener->scripts = {{{"a", "b", "c"}, kLost, {}}, {{"a", "b", "c", "d"}, {}, {}}};
    CPPUNIT_ASSERT(this->Complete().has_value());
    CPPUNIT_ASSERT((this->sink.tokens == Tokens{"a", "b", "c", "d"}));
    CPPUNIT_ASSERT(this->opener->opened[0].group != this->opener->opened[1].group);
    CPPUNIT_ASSERT_EQUAL(ConfigVersion(7), this->sink.version);
  }

  // Guards against a resume after tokens that may come from a partial group.
  void ResumeStartsAfterTheConfirmedTokens() {
    this->opener->scripts = {{{"a", "b", "c", "d"}, kLost, {}, milliseconds(30)},
                             {{"b", "c", "d", "e"}, {}, {}}};
    // Rounds fail from the second token on, so only the first is confirmed.
    this->sink.on_token = [this](std::size_t tokens) {
      if (tokens == 2) this->check->incomplete.insert(this->opener->opened.front().group);
    };
    CPPUNIT_ASSERT(this->Complete().has_value());
    CPPUNIT_ASSERT((this->opener->opened.at(1).resumed == Tokens{"a"}));
    CPPUNIT_ASSERT((this->sink.tokens == Tokens{"a", "b", "c", "d", "e"}));
  }

  // Guards against a suspect mark, and against generating tokens again, when only a connection
  // is broken.
  void BrokenConnectionToCompleteGroupSetsNoSuspectMark() {
    const Error cut = MayHaveRun(ErrorCode::kUnavailable, "connection reset");
    this->opener->scripts = {{{"a", "b"}, cut, {}}, {{"c"}, {}, {}}};
    CPPUNIT_ASSERT(this->Complete().has_value());
    CPPUNIT_ASSERT((this->opener->opened.at(1).resumed == Tokens{"a", "b"}));
    CPPUNIT_ASSERT((this->sink.tokens == Tokens{"a", "b", "c"}));
    CPPUNIT_ASSERT(this->pusher->pushed.empty());
  }

  // Guards against a stream that mixes tokens of two different completions.
  void DifferentRegeneratedTokensFailTheRequest() {
    this->opener->scripts = {{{"a", "b"}, kLost, {}}, {{"a", "x", "y"}, {}, {}}};
    const Result<void> result = this->Complete();
    CPPUNIT_ASSERT(!result && result.error().code == ErrorCode::kUpstreamProtocol);
    CPPUNIT_ASSERT(result.error().verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT((this->sink.tokens == Tokens{"a", "b"}));
  }

  // Guards against an end mark for a completion during which a member was replaced.
  void FailedReleaseCheckFailsTheRequest() {
    this->check->incomplete = {"g1", "g2", "g3"};
    this->opener->scripts = {{{"a"}, {}, {}}, {{"a"}, {}, {}}};
    const Result<void> result = this->Complete();
    CPPUNIT_ASSERT(!result && result.error().verdict == Verdict::kMayHaveRun);
  }

  // Guards against a stream that waits for its token timeout although the group is known to be
  // lost.
  void FailedRoundAbandonsAStalledStream() {
    this->opener->scripts = {{{"a"}, {}, {}, milliseconds(2000)}, {{"a", "b"}, {}, {}}};
    this->check->incomplete = {this->PreferredGroup()};
    const TimePoint before = Clock::now();
    CPPUNIT_ASSERT(this->Complete().has_value());
    CPPUNIT_ASSERT(Clock::now() - before < milliseconds(1000));
  }

  // Guards against failing the request, or marking it as suspect, when a group only refuses it.
  void RefusalIsRetriedOnAnotherGroup() {
    this->opener->scripts = {{{}, {}, NotRun(ErrorCode::kUnavailable, "refused")}, {{"a"}, {}, {}}};
    CPPUNIT_ASSERT(this->Complete().has_value());
    CPPUNIT_ASSERT(this->opener->opened[0].group != this->opener->opened[1].group);
    CPPUNIT_ASSERT(this->pusher->pushed.empty());
  }

  // Guards against "not run" for a request of which an earlier attempt ran.
  void RefusalAfterARunIsNotReportedAsNotRun() {
    const Error refused = NotRun(ErrorCode::kInvalidArgument, "too long");
    this->opener->scripts = {{{"a"}, kLost, {}}, {{}, {}, refused}};
    const Result<void> result = this->Complete();
    CPPUNIT_ASSERT(!result && result.error().verdict == Verdict::kMayHaveRun);
  }

  // Guards against one request that causes the loss of several groups in succession.
  void SecondLossFailsAndQuarantinesTheRequest() {
    this->opener->scripts = {{{}, kLost, {}}, {{}, kLost, {}}, {{"a"}, {}, {}}};
    CPPUNIT_ASSERT(!this->Complete());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->opener->opened.size());
    const Result<void> repeated = this->Complete();
    CPPUNIT_ASSERT(!repeated && repeated.error().code == ErrorCode::kQuarantined);
    CPPUNIT_ASSERT(repeated.error().verdict == Verdict::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->opener->opened.size());
  }

  // Guards against two nodes that start the trial of a suspect request at the same time.
  void RequestWithTrialOnAnotherNodeIsNotRun() {
    this->opener->scripts = {{{}, kLost, {}}};
    this->pusher->on_push = [this](const SharedEntry& entry) {
      SharedEntry other = entry;
      ++other.version;
      if (std::get<SuspectMark>(entry.value).losses == 2) {
        this->quarantine->Merge(other, Clock::now());
      }
    };
    CPPUNIT_ASSERT(!this->Complete());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->opener->opened.size());
  }

  // Guards against retries that multiply the load of an overloaded system.
  void RetriesStopWhenTheBudgetIsUsedUp() {
    while (this->retries->TryTake()) {
    }
    this->opener->scripts = {{{}, {}, NotRun(ErrorCode::kResourceExhausted, "busy")}};
    const Result<void> result = this->Complete();
    CPPUNIT_ASSERT(!result && result.error().verdict == Verdict::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->opener->opened.size());
  }

  // Guards against serving teams that are not in the document.
  void UnknownTeamIsNotRun() {
    this->request.team = TeamName("strangers");
    const Result<void> result = this->Complete();
    CPPUNIT_ASSERT(!result && result.error().code == ErrorCode::kNotFound);
    CPPUNIT_ASSERT(result.error().verdict == Verdict::kNotRun);
  }

  // Guards against work that a planned stop would interrupt.
  void StoppedDispatcherRefusesNewWork() {
    this->dispatcher->StopNewWork();
    const Result<void> result = this->Complete();
    CPPUNIT_ASSERT(!result && result.error().verdict == Verdict::kNotRun);
    CPPUNIT_ASSERT(!this->dispatcher->AcceptsWork());
    CPPUNIT_ASSERT_EQUAL(0, this->dispatcher->in_flight());
  }

  // Guards against dispatching an order without a claim.
  void OrdersAreRunByTheOrderRunner() {
    const Result<ServiceAnswer> answer = this->Call("POST", "/orders", "k1");
    CPPUNIT_ASSERT(answer && answer.value().version == 7);
    CPPUNIT_ASSERT_EQUAL(1, this->orders->runs);
    CPPUNIT_ASSERT(this->upstream->addresses.empty());
  }

  // Guards against a second execution of a call without a key.
  void NonIdempotentCallIsNotRepeatedAfterItMayHaveRun() {
    this->upstream->answers = {kLost};
    const Result<ServiceAnswer> answer = this->Call("POST", "/orders", "");
    CPPUNIT_ASSERT(!answer && answer.error().verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->upstream->addresses.size());
  }

  // Guards against failing a read because one upstream stopped.
  void IdempotentCallIsRepeatedOnAnotherUpstream() {
    this->upstream->answers = {kLost, ServiceAnswer{200, "text/plain", "3", 0}};
    CPPUNIT_ASSERT(this->Call("GET", "/stock/maps", "").has_value());
    CPPUNIT_ASSERT(this->upstream->addresses.at(0) != this->upstream->addresses.at(1));
  }

 private:
  void AddGroup(const std::string& name) {
    GroupSummary group;
    group.group = GroupId(name);
    group.generation = 3;
    group.domain = DomainId("d1");
    group.zone = ZoneId("a");
    group.model = ModelName("folds");
    group.version = ModelVersion("1");
    group.state = GroupState::kServing;
    group.members = {{VmId(name + "-vm"), "127.0.0.1:9", "i1"}};
    const TimePoint now = Clock::now();
    this->groups->Update(group, now + std::chrono::seconds(60), now);
  }

  std::string PreferredGroup() {
    RouteRequest route;
    route.model = ModelName("folds");
    route.version = ModelVersion("1");
    route.prefix_hash = PrefixHash(route.model, this->request.prompt);
    return this->groups->Acquire(route, Clock::now()).value().group().group.value;
  }

  // Runs the loop until the result is available; background checks may still run.
  template <typename T>
  T Await(asio::awaitable<T> awaitable) {
    std::optional<T> result;
    std::exception_ptr failure;
    asio::co_spawn(*this->io, Store(std::move(awaitable), &result),
                   [&](const std::exception_ptr& error) { failure = error; });
    this->io->restart();
    const TimePoint limit = Clock::now() + std::chrono::seconds(10);
    while (!result && !failure && Clock::now() < limit) this->io->run_one_for(milliseconds(100));
    if (failure) std::rethrow_exception(failure);
    CPPUNIT_ASSERT(result.has_value());
    return *std::move(result);
  }

  template <typename T>
  static asio::awaitable<void> Store(asio::awaitable<T> awaitable, std::optional<T>* result) {
    T value = co_await std::move(awaitable);
    result->emplace(std::move(value));
  }

  Result<void> Complete() {
    this->request.deadline = Clock::now() + std::chrono::seconds(5);
    return this->Await(this->dispatcher->Complete(this->request, this->sink));
  }

  Result<ServiceAnswer> Call(const std::string& method, const std::string& path,
                             const std::string& key) {
    ServiceCall call;
    call.id = RequestId("r2");
    call.branch = BranchName("ennis");
    call.team = TeamName("councils");
    call.service = ServiceName("orders");
    call.method = method;
    call.path = path;
    call.idempotency_key = key;
    call.deadline = Clock::now() + std::chrono::seconds(5);
    return this->Await(this->dispatcher->CallService(call));
  }

  std::unique_ptr<asio::io_context> io;
  std::shared_ptr<FakeConfig> config;
  std::shared_ptr<FakeOpener> opener;
  std::shared_ptr<FakeCheck> check;
  std::shared_ptr<FakePusher> pusher;
  std::shared_ptr<FakeOrders> orders;
  std::shared_ptr<FakeUpstream> upstream;
  std::shared_ptr<GroupTable> groups;
  std::shared_ptr<QuarantineTable> quarantine;
  std::shared_ptr<NodeRetryBudget> retries;
  std::shared_ptr<TestDispatcher> dispatcher;
  CollectingSink sink;
  CompletionRequest request = [] {
    CompletionRequest initial;
    initial.id = RequestId("r1");
    initial.branch = BranchName("ennis");
    initial.model = ModelName("folds");
    initial.prompt = "fold a map of the Burren";
    initial.team = TeamName("councils");
    return initial;
  }();
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

}  // namespace
}  // namespace limpetfall
