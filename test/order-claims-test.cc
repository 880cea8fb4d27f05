#include "core/order-claims.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iostream>
#include <random>

#include "daemon/order-runner.h"
#include "harness/fake-store.h"
#include "harness/run.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using testing::Fault;

/** Fake service that counts how often it ran each order. */
struct FakeService {
  std::map<std::string, int> runs;
  std::function<Result<ServiceAnswer>(const ServiceCall&)> answer;
  std::function<void(const ServiceCall&)> on_call;
  Milliseconds delay{0};

  awaitable<Result<ServiceAnswer>> Run(ServiceCall call) {
    if (this->on_call) this->on_call(call);
    if (this->delay.count() > 0) co_await detail::PauseUntil(Clock::now() + this->delay);
    Result<ServiceAnswer> result = ServiceAnswer{201, "text/plain", "done", 7};
    if (this->answer) result = this->answer(call);
    // With the verdict "not run" the service has not run the order, so the run is not counted.
    if (result || result.error().verdict != Verdict::kNotRun) ++this->runs[call.idempotency_key];
    co_return result;
  }
};

struct Dispatch {
  std::shared_ptr<FakeService> service;
  awaitable<Result<ServiceAnswer>> operator()(ServiceCall call) {
    return this->service->Run(std::move(call));
  }
};

using Runner = OrderRunner<testing::FakeStore, Dispatch>;

ServiceCall Order(const std::string& key = "k1", const std::string& body = "two pallets") {
  ServiceCall call;
  call.team = TeamName("order-desk");
  call.service = ServiceName("order-book");
  call.method = "POST";
  call.path = "/dispatches";
  call.body = body;
  call.idempotency_key = key;
  call.deadline = Clock::now() + std::chrono::seconds(2);
  return call;
}

ServiceCall FirstAttempt() {
  ServiceCall call = Order();
  call.first_attempt = true;
  return call;
}

std::string KeyOf(const ServiceCall& call) {
  return ClaimKey(call.service, call.idempotency_key).value();
}

class OrderClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderClaimsTest);
  CPPUNIT_TEST(ClaimRoundTrips);
  CPPUNIT_TEST(MalformedClaimYieldsMayHaveRun);
  CPPUNIT_TEST(ClaimKeyEscapesPathCharacters);
  CPPUNIT_TEST(DigestCoversSenderPathAndBody);
  CPPUNIT_TEST(ClaimIsWrittenBeforeDispatch);
  CPPUNIT_TEST(RepeatReturnsTheRecordedAnswer);
  CPPUNIT_TEST(RepeatWaitsForTheRunningOrder);
  CPPUNIT_TEST(RepeatThatTimesOutDuringTheOrderYieldsMayHaveRun);
  CPPUNIT_TEST(ReusedKeyWithDifferentBodyIsRejected);
  CPPUNIT_TEST(SameOrderAtTwoNodesRunsOnce);
  CPPUNIT_TEST(OrderClaimedByAFailedNodeYieldsMayHaveRun);
  CPPUNIT_TEST(OrderClaimedBeforeARestartYieldsMayHaveRun);
  CPPUNIT_TEST(StoreDownYieldsNotRunOnlyForAFirstAttempt);
  CPPUNIT_TEST(ClaimIsConfirmedBeforeDispatchAfterALostReply);
  CPPUNIT_TEST(LostClaimRequestIsRetried);
  CPPUNIT_TEST(OrderWithUnconfirmedClaimIsNotDispatched);
  CPPUNIT_TEST(DelayedClaimWriteDoesNotBlockTheKey);
  CPPUNIT_TEST(OrderRefusedByTheServiceCanRunLater);
  CPPUNIT_TEST(UnknownOutcomeIsRecorded);
  CPPUNIT_TEST(OutcomeIsRecordedAfterTheStoreRecovers);
  CPPUNIT_TEST(LostReplyToTheOutcomeWriteIsResolved);
  CPPUNIT_TEST(OversizedAnswerIsNotTruncated);
  CPPUNIT_TEST(CallerDisconnectDoesNotCancelTheOrder);
  CPPUNIT_TEST(CallWithoutKeyIsNotClaimed);
  CPPUNIT_TEST(StaleReadDoesNotCauseASecondDispatch);
  CPPUNIT_TEST(OrderRunsAtMostOnceUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an answer that serialization alters.
  void ClaimRoundTrips() {
    OrderClaim claim = NewClaim(Order(), NodeId("n1"), "n1-1");
    CPPUNIT_ASSERT(ParseClaim(SerializeClaim(claim)).value() == claim);
    claim = ClaimWithOutcome(claim, ServiceAnswer{200, "a/b\xff", std::string("\0\xfe\n", 3), 9});
    CPPUNIT_ASSERT(ParseClaim(SerializeClaim(claim)).value() == claim);
  }

  // Guards against reporting "not run" for an order whose claim is malformed.
  void MalformedClaimYieldsMayHaveRun() {
    for (const char* text : {"", "[]", "{}", R"({"digest":"d","node":"n","attempt":"a"})",
                             R"({"digest":"d","node":"n","attempt":"a","state":"new"})"}) {
      CPPUNIT_ASSERT(ParseClaim(text).error().verdict == Verdict::kMayHaveRun);
    }
  }

  // Guards against an idempotency key that resolves to the claim of another service.
  void ClaimKeyEscapesPathCharacters() {
    const auto key = ClaimKey(ServiceName("stock"), "a/../b%");
    CPPUNIT_ASSERT_EQUAL(std::string("/limpetfall/orders/stock/a%2f..%2fb%25"), key.value());
    CPPUNIT_ASSERT(!ClaimKey(ServiceName("stock"), "").has_value());
    CPPUNIT_ASSERT(!ClaimKey(ServiceName("stock"), std::string(257, 'a')).has_value());
  }

  // Guards against returning the answer of one team's order to another team.
  void DigestCoversSenderPathAndBody() {
    const std::string digest = OrderDigest(Order());
    ServiceCall call = Order();
    call.team = TeamName("councils");
    CPPUNIT_ASSERT(OrderDigest(call) != digest);
    call = Order();
    call.path = "/jobs";
    CPPUNIT_ASSERT(OrderDigest(call) != digest);
    CPPUNIT_ASSERT(OrderDigest(Order("k2")) == digest);
  }

  // Guards against a dispatch without a claim that other nodes can read.
  void ClaimIsWrittenBeforeDispatch() {
    this->service->on_call = [this](const ServiceCall& call) {
      const auto claim = ParseClaim(this->store->Newest(KeyOf(call)).value().value).value();
      CPPUNIT_ASSERT(claim.state == ClaimState::kClaimed);
      CPPUNIT_ASSERT_EQUAL(std::string("n1"), claim.node.value);
    };
    CPPUNIT_ASSERT_EQUAL(201, Run(this->first).value().status);
    CPPUNIT_ASSERT_EQUAL(kClaimLeaseSeconds, this->store->leases[KeyOf(Order())]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->first->unsettled());
  }

  // Guards against a second dispatch when a caller repeats an order whose answer it did not
  // receive.
  void RepeatReturnsTheRecordedAnswer() {
    const auto answer = Run(this->first).value();
    CPPUNIT_ASSERT(Run(this->second).value() == answer);
    CPPUNIT_ASSERT(Run(this->first).value() == answer);
    ExpectRuns(1);
  }

  // Guards against a second dispatch while the first is in progress.
  void RepeatWaitsForTheRunningOrder() {
    this->service->delay = Milliseconds(150);
    const auto [one, two] = RunBoth(Milliseconds(30));
    CPPUNIT_ASSERT(one.value() == two.value());
    ExpectRuns(1);
  }

  // Guards against reporting "not run" for an order that another node is running.
  void RepeatThatTimesOutDuringTheOrderYieldsMayHaveRun() {
    this->service->delay = Milliseconds(400);
    ServiceCall repeat = Order();
    repeat.deadline = Clock::now() + Milliseconds(150);
    Spawn(this->first, Order());
    const auto answer = testing::RunUntilDone(this->io, RunAfter(Milliseconds(30), repeat));
    CPPUNIT_ASSERT(answer.error().verdict == Verdict::kMayHaveRun);
    this->io.run();
    ExpectRuns(1);
  }

  // Guards against answering one order with the outcome of another.
  void ReusedKeyWithDifferentBodyIsRejected() {
    Run(this->first).value();
    const auto other = Run(this->second, Order("k1", "three pallets"));
    CPPUNIT_ASSERT(other.error() ==
                   NotRun(ErrorCode::kConflict,
                          "the idempotency key was used before with a different request"));
    ExpectRuns(1);
  }

  // Guards against two nodes that both claim the same order.
  void SameOrderAtTwoNodesRunsOnce() {
    const auto [one, two] = RunBoth(Milliseconds(0));
    CPPUNIT_ASSERT(one.value() == two.value());
    ExpectRuns(1);
  }

  // Guards against a second dispatch after the first node failed during its dispatch.
  void OrderClaimedByAFailedNodeYieldsMayHaveRun() {
    PutClaim(NewClaim(Order(), NodeId("dead"), "dead-1"));
    CPPUNIT_ASSERT(Run(this->first).error().verdict == Verdict::kMayHaveRun);
    ExpectRuns(0);
  }

  // Guards against a second dispatch after the first node restarted under the same name.
  void OrderClaimedBeforeARestartYieldsMayHaveRun() {
    PutClaim(NewClaim(Order(), NodeId("n1"), "n1-earlier"));
    CPPUNIT_ASSERT(Run(this->first).error().verdict == Verdict::kMayHaveRun);
    ExpectRuns(0);
  }

  // Guards against dispatching an order without a claim.
  void StoreDownYieldsNotRunOnlyForAFirstAttempt() {
    this->store->unavailable = true;
    const auto answer = Run(this->first, FirstAttempt());
    CPPUNIT_ASSERT(answer.error().code == ErrorCode::kUnavailable);
    CPPUNIT_ASSERT(answer.error().verdict == Verdict::kNotRun);
    // A call that is not marked as a first attempt may repeat an order that ran.
    CPPUNIT_ASSERT(Run(this->first).error().verdict == Verdict::kMayHaveRun);
    ExpectRuns(0);
  }

  // Guards against dispatching without confirming that the claim was written, and against not
  // dispatching at all.
  void ClaimIsConfirmedBeforeDispatchAfterALostReply() {
    this->store->swap_faults = {Fault::kLoseReply};
    this->service->on_call = [this](const ServiceCall&) {
      CPPUNIT_ASSERT_EQUAL(2, this->store->swaps);
    };
    CPPUNIT_ASSERT_EQUAL(201, Run(this->first).value().status);
    ExpectRuns(1);
  }

  // Guards against abandoning an order that can still be claimed.
  void LostClaimRequestIsRetried() {
    this->store->swap_faults = {Fault::kLoseRequest, Fault::kDelay};
    CPPUNIT_ASSERT_EQUAL(201, Run(this->first).value().status);
    this->store->DeliverDelayed();
    CPPUNIT_ASSERT_EQUAL(201, Run(this->second).value().status);
    ExpectRuns(1);
  }

  // Guards against a dispatch whose claim may not be stored, and against a key that stays blocked.
  void OrderWithUnconfirmedClaimIsNotDispatched() {
    this->store->swap_faults.assign(40, Fault::kRefuse);
    this->store->swap_faults.push_front(Fault::kLoseReply);
    const auto answer = Run(this->first, FirstAttempt());
    CPPUNIT_ASSERT(answer.error().verdict == Verdict::kNotRun);
    ExpectRuns(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->first->unsettled());
    // This node has recorded that its attempt was abandoned. The other node finds the claim
    // released.
    this->store->swap_faults.clear();
    CPPUNIT_ASSERT_EQUAL(201, Run(this->first).value().status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the repeat waited for the attempt", 0, this->store->gets);
    CPPUNIT_ASSERT_EQUAL(201, Run(this->second).value().status);
    ExpectRuns(1);
    this->io.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->first->unsettled());
  }

  // Guards against a claim write that takes effect after its attempt was abandoned and blocks the
  // key for the claim lifetime of one day.
  void DelayedClaimWriteDoesNotBlockTheKey() {
    this->store->swap_faults.assign(40, Fault::kRefuse);
    this->store->swap_faults.push_front(Fault::kDelay);
    CPPUNIT_ASSERT(Run(this->first, FirstAttempt()).error().verdict == Verdict::kNotRun);
    this->store->swap_faults.clear();
    this->io.run();
    this->store->DeliverDelayed();
    CPPUNIT_ASSERT_EQUAL(201, Run(this->second).value().status);
    ExpectRuns(1);
  }

  // Guards against a key that cannot be reused after the service refused the order.
  void OrderRefusedByTheServiceCanRunLater() {
    this->service->answer = [](const ServiceCall&) -> Result<ServiceAnswer> {
      return NotRun(ErrorCode::kUnavailable, "refused");
    };
    CPPUNIT_ASSERT(Run(this->first).error().verdict == Verdict::kNotRun);
    this->service->answer = nullptr;
    CPPUNIT_ASSERT_EQUAL(201, Run(this->second).value().status);
    ExpectRuns(1);
  }

  // Guards against a second dispatch after the connection was lost during the first.
  void UnknownOutcomeIsRecorded() {
    this->service->answer = [](const ServiceCall&) -> Result<ServiceAnswer> {
      return MayHaveRun(ErrorCode::kUpstreamLost, "lost");
    };
    CPPUNIT_ASSERT(Run(this->first).error().verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT(Run(this->second).error().verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT(Run(this->first).error().verdict == Verdict::kMayHaveRun);
    ExpectRuns(1);
  }

  // Guards against losing an outcome that arrives while the store is down.
  void OutcomeIsRecordedAfterTheStoreRecovers() {
    this->service->on_call = [this](const ServiceCall&) { this->store->unavailable = true; };
    CPPUNIT_ASSERT_EQUAL(201, Run(this->first).value().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->first->unsettled());
    this->store->unavailable = false;
    this->io.restart();
    this->io.run();
    CPPUNIT_ASSERT_EQUAL(201, Run(this->second).value().status);
    ExpectRuns(1);
  }

  // Guards against overwriting a recorded outcome, and against retrying a write that took effect.
  void LostReplyToTheOutcomeWriteIsResolved() {
    this->store->swap_faults = {Fault::kNone, Fault::kLoseReply};
    CPPUNIT_ASSERT_EQUAL(201, Run(this->first).value().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->first->unsettled());
    CPPUNIT_ASSERT_EQUAL(201, Run(this->second).value().status);
    ExpectRuns(1);
  }

  // Guards against answering a repeat with a truncated body.
  void OversizedAnswerIsNotTruncated() {
    std::size_t size = kMaxRecordedBodyBytes;
    this->service->answer = [&](const ServiceCall&) -> Result<ServiceAnswer> {
      return ServiceAnswer{200, "", std::string(size, 'x'), 1};
    };
    Run(this->first).value();
    CPPUNIT_ASSERT_EQUAL(size, Run(this->second).value().body.size());
    ++size;
    CPPUNIT_ASSERT_EQUAL(size, Run(this->first, Order("k2")).value().body.size());
    CPPUNIT_ASSERT(Run(this->second, Order("k2")).error().verdict == Verdict::kRan);
    CPPUNIT_ASSERT_EQUAL(1, this->service->runs["k2"]);
  }

  // Guards against cancelling an order and losing its outcome when the caller disconnects.
  void CallerDisconnectDoesNotCancelTheOrder() {
    this->service->delay = Milliseconds(100);
    asio::cancellation_signal disconnect;
    auto call = this->first->Run(Order());
    bool ended = false;
    asio::co_spawn(this->io, Ignore(std::move(call)),
                   asio::bind_cancellation_slot(disconnect.slot(),
                                                [&](const std::exception_ptr&) { ended = true; }));
    asio::steady_timer timer(this->io, Milliseconds(30));
    timer.async_wait(
        [&](boost::system::error_code) { disconnect.emit(asio::cancellation_type::terminal); });
    this->io.run();
    CPPUNIT_ASSERT(ended);
    CPPUNIT_ASSERT_EQUAL(201, Run(this->second).value().status);
    ExpectRuns(1);
  }

  // Guards against writing claims for calls without an idempotency key, which cannot be repeated.
  void CallWithoutKeyIsNotClaimed() {
    CPPUNIT_ASSERT_EQUAL(201, Run(this->first, Order("")).value().status);
    CPPUNIT_ASSERT_EQUAL(0, this->store->swaps);
  }

  // Guards against acting on a stale read of the claim.
  void StaleReadDoesNotCauseASecondDispatch() {
    this->store->Apply("/other", "x", 0, 0);
    this->service->delay = Milliseconds(200);
    this->service->on_call = [this](const ServiceCall&) { this->store->read_revision = 1; };
    const auto [one, two] = RunBoth(Milliseconds(30));
    CPPUNIT_ASSERT(one.has_value());
    CPPUNIT_ASSERT(two.has_value() || two.error().verdict == Verdict::kMayHaveRun);
    ExpectRuns(1);
  }

  // Guards against combinations of faults that the other tests do not cover.
  void OrderRunsAtMostOnceUnderRandomFaults() {
    const unsigned seed = std::random_device()();
    std::cout << " seed " << seed;
    std::mt19937 random(seed);
    const auto chance = [&](unsigned percent) { return random() % 100 < percent; };
    this->service->answer = [&](const ServiceCall&) -> Result<ServiceAnswer> {
      if (chance(20)) return NotRun(ErrorCode::kUnavailable, "refused");
      if (chance(10)) return MayHaveRun(ErrorCode::kUpstreamLost, "lost");
      return ServiceAnswer{201, "", "done", 1};
    };
    this->store->before_swap = [&](const std::string&) {
      constexpr std::array kFaults = {Fault::kLoseRequest, Fault::kLoseReply, Fault::kDelay,
                                      Fault::kRefuse};
      this->store->swap_faults = {chance(40) ? kFaults[random() % kFaults.size()] : Fault::kNone};
      if (chance(10)) this->store->DeliverDelayed();
    };
    std::map<std::string, int> not_run;
    std::map<std::string, int> others;
    constexpr int kOrders = 60;
    for (int i = 0; i < kOrders; ++i) {
      for (int copy = 0; copy < 4; ++copy) {
        ServiceCall call = Order("k" + std::to_string(i));
        call.deadline = Clock::now() + Milliseconds(50 + random() % 600);
        auto run = Count((copy % 2 == 0 ? this->first : this->second), call, not_run, others);
        asio::co_spawn(this->io, std::move(run), asio::detached);
      }
    }
    this->io.run();
    for (int i = 0; i < kOrders; ++i) {
      const std::string key = "k" + std::to_string(i);
      const int runs = this->service->runs[key];
      CPPUNIT_ASSERT_MESSAGE(key + " ran twice", runs <= 1);
      CPPUNIT_ASSERT_MESSAGE(key + " ran and all callers got the verdict \"not run\"",
                             runs == 0 || others[key] > 0);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->first->unsettled() + this->second->unsettled());
  }

 private:
  static awaitable<void> Ignore(awaitable<Result<ServiceAnswer>> call) {
    (void)co_await std::move(call);
  }

  static awaitable<void> Count(std::shared_ptr<Runner> runner, ServiceCall call,
                               std::map<std::string, int>& not_run,
                               std::map<std::string, int>& others) {
    const auto answer = co_await runner->Run(call);
    const bool refused = !answer && answer.error().verdict == Verdict::kNotRun;
    ++(refused ? not_run : others)[call.idempotency_key];
  }

  std::shared_ptr<Runner> Make(const char* node) {
    OrderRunnerOptions options;
    options.node = NodeId(node);
    options.node_is_running = [](const NodeId& id) { return id.value != "dead"; };
    options.claim_timeout = Milliseconds(300);
    options.record_timeout = Milliseconds(100);
    options.initial_pause = Milliseconds(10);
    options.max_pause = Milliseconds(40);
    options.max_retry_pause = Milliseconds(40);
    return Runner::Create(this->store, Dispatch{this->service}, options);
  }

  Result<ServiceAnswer> Run(const std::shared_ptr<Runner>& runner, ServiceCall call = Order()) {
    return testing::RunUntilDone(this->io, runner->Run(std::move(call)));
  }

  void Spawn(const std::shared_ptr<Runner>& runner, ServiceCall call) {
    asio::co_spawn(this->io, Ignore(runner->Run(std::move(call))), asio::detached);
  }

  awaitable<Result<ServiceAnswer>> RunAfter(Milliseconds delay, ServiceCall call) {
    co_await detail::PauseUntil(Clock::now() + delay);
    co_return co_await this->second->Run(std::move(call));
  }

  awaitable<void> RunInto(std::optional<Result<ServiceAnswer>>& out) {
    out = co_await this->first->Run(Order());
  }

  // Runs the same order at the first node and, after `delay`, at the second.
  std::pair<Result<ServiceAnswer>, Result<ServiceAnswer>> RunBoth(Milliseconds delay) {
    std::optional<Result<ServiceAnswer>> one;
    asio::co_spawn(this->io, RunInto(one), asio::detached);
    auto two = testing::RunUntilDone(this->io, RunAfter(delay, Order()));
    this->io.run();
    return {*one, two};
  }

  void PutClaim(const OrderClaim& claim) {
    this->store->Apply(KeyOf(Order()), SerializeClaim(claim), 0, kClaimLeaseSeconds);
  }

  void ExpectRuns(int count) { CPPUNIT_ASSERT_EQUAL(count, this->service->runs["k1"]); }

  asio::io_context io;
  std::shared_ptr<testing::FakeStore> store = std::make_shared<testing::FakeStore>();
  std::shared_ptr<FakeService> service = std::make_shared<FakeService>();
  std::shared_ptr<Runner> first = Make("n1");
  std::shared_ptr<Runner> second = Make("n2");
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderClaimsTest);

}  // namespace
}  // namespace limpetfall
