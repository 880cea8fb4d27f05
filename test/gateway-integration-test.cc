#include <algorithm>
#include <limits>
#include <list>

#include "harness/gateway-fixture.h"

namespace limpetfall::testing {
namespace {

/** A store client with a fault of its own: its next watches throw. */
struct ThrowingStore : platform::StoreClient {
  using StoreClient::StoreClient;

  boost::asio::awaitable<Result<StateUpdate>> Watch(StoreRevision after, Milliseconds wait) {
    if (this->throws > 0) {
      --this->throws;
      throw std::runtime_error("fault of the test");
    }
    co_return co_await StoreClient::Watch(after, wait);
  }

  int throws = 0;
};

class GatewayIntegrationTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(GatewayIntegrationTest);
  CPPUNIT_TEST(RequestsWithoutFaultsAreServedCompletely);
  CPPUNIT_TEST(StreamResumesAtAnotherGroup);
  CPPUNIT_TEST(StalledStreamContinuesAfterOtherGroupRefuses);
  CPPUNIT_TEST(StalledStreamContinuesWhenNoOtherGroupHasFreeSlot);
  CPPUNIT_TEST(StalledStreamResumesElsewhereWhenItsConnectionCloses);
  CPPUNIT_TEST(OrderWithLostAnswerMayHaveRun);
  CPPUNIT_TEST(OrdersKeepNoIdleConnections);
  CPPUNIT_TEST(LookupWithLostAnswerIsRetried);
  CPPUNIT_TEST(RefusedOrderIsNotRun);
  CPPUNIT_TEST(ApiKeysFollowNewestConfiguration);
  CPPUNIT_TEST(NodeFollowsTheStoreAgainAfterAnException);
  CPPUNIT_TEST(RequestsAreRefusedWhileConfigurationIsUnconfirmed);
  CPPUNIT_TEST(UnknownRouteIs404AndMissingConfigurationIs503);
  CPPUNIT_TEST(CallerDisconnectCancelsUpstreamStream);
  CPPUNIT_TEST(CallersThatDisconnectDoNotSuspendUpstream);
  CPPUNIT_TEST(RequestsAreServedDuringStoreOutage);
  CPPUNIT_TEST(GroupsOpenDespiteLostWriteReplies);
  CPPUNIT_TEST(OwnerWithStaleStoreCopyWritesNothing);
  CPPUNIT_TEST(NodeWithoutStoreAccessFollowsAnotherNode);
  CPPUNIT_TEST(FollowerSwitchesFromNodeThatStoreRefuses);
  CPPUNIT_TEST(StandbyNodesMakeNoWatchCalls);
  CPPUNIT_TEST(RequestRefusedAsItGetsItsSlotGivesTheSlotBack);
  CPPUNIT_TEST(LongDeadlineOfOneCallerMakesOthersNoRetries);
  CPPUNIT_TEST(EvacuatedZoneGetsNoRequestsUntilTheEvacuationEnds);
  CPPUNIT_TEST(StatusOfOrderThatHasRunIsNoPromise);
  CPPUNIT_TEST(LeaderOnStandbyKnowsLoadOfAllNodes);
  CPPUNIT_TEST(GroupWithUnresponsiveHeadIsNotUsed);
  CPPUNIT_TEST(MembersOfIsolatedHeadJoinNoOtherGroup);
  CPPUNIT_TEST(StoppedNodeFinishesStreamsAndReleasesLeadership);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against failures without any fault: groups open, streams are complete, orders run once.
  void RequestsWithoutFaultsAreServedCompletely() {
    this->StartServing();
    const Answer stream = this->SendAndWait("GET", "/chat/1", "s1", "k1");
    CPPUNIT_ASSERT_EQUAL(200, stream.status);
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(), stream.body);
    const Answer order = this->SendAndWait("POST", "/order/1", "o1", "k1", "{}");
    CPPUNIT_ASSERT_EQUAL(200, order.status);
    CPPUNIT_ASSERT(order.body.starts_with("done by b"));
    CPPUNIT_ASSERT_EQUAL(1, this->deployment->CountRuns("o1"));
    const RunnerRequest& received = this->deployment->runner_requests.back();
    CPPUNIT_ASSERT_EQUAL(std::string("clubs"), received.headers.at("X-Tenant"));
    CPPUNIT_ASSERT(!received.headers.contains("X-Key"));
    CPPUNIT_ASSERT(std::stoi(received.headers.at("X-Deadline-Ms")) <= 1500);
  }

  // Guards against truncating a stream when the group stops responding in the middle of it.
  void StreamResumesAtAnotherGroup() {
    this->StartServing();
    for (const std::string& head : this->deployment->OpenHeads()) {
      this->deployment->SetRunnerMode(head, RunnerMode::kHangingMidStream);
    }
    std::optional<Answer> answer;
    this->StartRequest("GET", "/chat/1", "s1", "k1", "", answer);
    this->RunUntil([&] { return this->deployment->runner_requests.size() == 2; }, 3000);
    // The second run resumes after the last event of the first.
    this->deployment->SetRunnerMode(this->deployment->runner_requests[1].runner,
                                    RunnerMode::kServing);
    this->RunUntil([&] { return answer.has_value(); }, 5000);
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(), answer->body);
    CPPUNIT_ASSERT(answer->complete);
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         this->deployment->runner_requests[1].headers.at("Last-Event-Id"));
    CPPUNIT_ASSERT_EQUAL(this->deployment->runner_requests[0].runner,
                         answer->headers.at("X-Server-Stamp"));
  }

  // Guards against truncating a stream at a group that is only slow: the second upstream refuses
  // the request, and no attempt is left.
  void StalledStreamContinuesAfterOtherGroupRefuses() {
    this->StartServing();
    for (const std::string& head : this->deployment->OpenHeads()) {
      this->deployment->SetRunnerMode(head, RunnerMode::kPausingMidStream);
    }
    std::optional<Answer> answer;
    this->StartRequest("GET", "/chat/1", "s1", "k1", "", answer);
    this->RunUntil([&] { return !this->deployment->runner_requests.empty(); }, 2000);
    const std::string first = this->deployment->runner_requests.front().runner;
    for (const std::string& head : this->deployment->OpenHeads()) {
      if (head != first) this->deployment->SetRunnerMode(head, RunnerMode::kRefusing);
    }
    this->RunUntil([&] { return answer.has_value(); }, 5000);
    CPPUNIT_ASSERT(answer->complete);
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(), answer->body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->deployment->runner_requests.size());
  }

  // Guards against a stream that waits for a free slot at another group while its own group
  // continues.
  void StalledStreamContinuesWhenNoOtherGroupHasFreeSlot() {
    this->deployment->RemoveRunnerEntry("r4");
    this->deployment->RemoveRunnerEntry("r5");
    this->deployment->RemoveRunnerEntry("r2");
    this->deployment->RemoveRunnerEntry("r3");
    this->StartServing(1);
    this->deployment->SetRunnerMode(this->deployment->OpenHeads().front(),
                                    RunnerMode::kPausingMidStream);
    const Answer answer = this->SendAndWait("GET", "/chat/1", "s1", "k1");
    CPPUNIT_ASSERT(answer.complete);
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(), answer.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->deployment->runner_requests.size());
  }

  // Guards against failing a stream with an attempt left. No other group is available when its
  // group stalls, but one is when its connection closes.
  void StalledStreamResumesElsewhereWhenItsConnectionCloses() {
    this->StartServing();
    const std::string head = this->deployment->OpenHeads().front();
    this->deployment->SetRunnerMode(head, RunnerMode::kClosingMidStream);
    std::vector<std::string> others;
    for (const std::string& other : this->deployment->OpenHeads()) {
      if (other != head) others.push_back(other);
    }
    for (const std::string& other : others) this->deployment->RemoveRunnerEntry(other);
    this->RunFor(1200);  // Until missing entries are no longer considered available.
    std::optional<Answer> answer;
    this->StartRequest("GET", "/chat/1", "s1", "k1", "", answer);
    this->RunFor(600);
    for (const std::string& other : others) this->deployment->RestoreRunnerEntry(other);
    this->RunUntil([&] { return answer.has_value(); }, 5000);
    CPPUNIT_ASSERT(answer->complete);
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(), answer->body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->deployment->runner_requests.size());
  }

  // Guards against reporting "not run" for an order whose answer was lost, and against running it
  // twice.
  void OrderWithLostAnswerMayHaveRun() {
    this->StartServing();
    this->deployment->SetRunnerMode("b1", RunnerMode::kDroppingAnswers);
    this->deployment->SetRunnerMode("b2", RunnerMode::kDroppingAnswers);
    const Answer answer = this->SendAndWait("POST", "/order/1", "o1", "k1", "{}");
    CPPUNIT_ASSERT_EQUAL(502, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("may-have-run"), answer.headers.at("X-Verdict"));
    CPPUNIT_ASSERT_EQUAL(1, this->deployment->CountRuns("o1"));
  }

  // Guards against idle connections of finished orders that use up the connection limit of an
  // upstream for all nodes (scale-2 of speilbod-prod: one order in eight was answered 502).
  void OrdersKeepNoIdleConnections() {
    this->deployment->RemoveRunnerEntry("b1");
    this->deployment->RemoveRunnerEntry("b2");
    this->deployment->AddRunner("b3", "book", "d0", 2);
    this->StartServing();
    for (int i = 0; i < 8; ++i) {
      const Answer answer =
          this->SendAndWait("POST", "/order/1", "o" + std::to_string(i), "k1", "{}");
      CPPUNIT_ASSERT_EQUAL(200, answer.status);
    }
  }

  // Guards against failing an idempotent lookup that another upstream can answer.
  void LookupWithLostAnswerIsRetried() {
    this->StartServing();
    this->deployment->SetRunnerMode("b1", RunnerMode::kDroppingAnswers);
    for (int i = 0; i < 4; ++i) {
      const Answer answer = this->SendAndWait("GET", "/lookup/1", "l" + std::to_string(i), "k1");
      CPPUNIT_ASSERT_EQUAL(200, answer.status);
      CPPUNIT_ASSERT_EQUAL(std::string("done by b2"), answer.body);
    }
  }

  // Guards against a refusal without the "not run" verdict, which allows the caller to retry.
  void RefusedOrderIsNotRun() {
    this->StartServing();
    this->deployment->SetRunnerMode("b1", RunnerMode::kRefusing);
    this->deployment->SetRunnerMode("b2", RunnerMode::kRefusing);
    const Answer answer = this->SendAndWait("POST", "/order/1", "o1", "k1", "{}");
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer.headers.at("X-Verdict"));
    CPPUNIT_ASSERT(std::stod(answer.headers.at("Retry-After")) < 0.5);
    CPPUNIT_ASSERT_EQUAL(0, this->deployment->CountRuns("o1"));
  }

  // Guards against accepting a removed API key and refusing a new one.
  void ApiKeysFollowNewestConfiguration() {
    this->StartServing();
    CPPUNIT_ASSERT_EQUAL(401, this->SendAndWait("GET", "/lookup/1", "l1", "k2").status);
    this->deployment->Put("op/config", ConfigJson(8, R"("k2")"));
    this->RunUntil([&] { return this->SendAndWait("GET", "/lookup/1", "l2", "k2").status == 200; },
                   1000);
    CPPUNIT_ASSERT_EQUAL(401, this->SendAndWait("GET", "/lookup/1", "l3", "k1").status);
    // An older version that arrives later is ignored.
    this->deployment->Put("op/config", ConfigJson(7, R"("k1")"));
    this->RunFor(300);
    CPPUNIT_ASSERT_EQUAL(401, this->SendAndWait("GET", "/lookup/1", "l4", "k1").status);
  }

  // Guards against a loop of a node that an exception ends for good, without a line in the log.
  void NodeFollowsTheStoreAgainAfterAnException() {
    this->deployment->Put("op/config", ConfigJson(5, R"("k1")"));
    const GatewayOptions options = this->MakeOptions("n1", FreeAddress(), {});
    this->caller_address = options.caller_address;
    ThrowingStore store(*this->io, this->deployment->store_address());
    GatewayNode<ThrowingStore, platform::WireAdapter> node(*this->io, options, store, this->adapter,
                                                           Metrics::Create());
    const std::shared_ptr<void> ended(nullptr, [this](void*) { this->io->DropPending(); });
    CPPUNIT_ASSERT(node.Start());
    this->RunUntil([&] { return this->deployment->OpenHeads().size() == 3; }, 8000);
    store.throws = 2;
    this->RunUntil([&] { return store.throws == 0; }, 3000);
    this->deployment->Put("op/config", ConfigJson(6, R"("k2")"));
    this->RunUntil([&] { return this->SendAndWait("GET", "/lookup/1", "l1", "k2").status == 200; },
                   2000);
  }

  // Guards against accepting API keys while no node can confirm that they are still valid.
  void RequestsAreRefusedWhileConfigurationIsUnconfirmed() {
    this->StartServing();
    this->deployment->store_mode = StoreMode::kUnresponsive;
    this->RunFor(1200);
    CPPUNIT_ASSERT_EQUAL(200, this->SendAndWait("GET", "/lookup/1", "l1", "k1").status);
    this->RunFor(3200);
    const Answer answer = this->SendAndWait("GET", "/lookup/1", "l2", "k1");
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer.headers.at("X-Verdict"));
    this->deployment->store_mode = StoreMode::kServing;
    this->RunUntil([&] { return this->SendAndWait("GET", "/lookup/1", "l3", "k1").status == 200; },
                   6000);
  }

  // Guards against a 404 from a node that has no configuration yet.
  void UnknownRouteIs404AndMissingConfigurationIs503() {
    this->StartNode("n1", FreeAddress(), {});
    this->RunFor(200);
    CPPUNIT_ASSERT_EQUAL(503, this->SendAndWait("GET", "/lookup/1", "l1", "k1").status);
    this->deployment->Put("op/config", ConfigJson(5, R"("k1")"));
    this->RunUntil([&] { return this->SendAndWait("GET", "/lookup/1", "l2", "k1").status == 200; },
                   2000);
    CPPUNIT_ASSERT_EQUAL(404, this->SendAndWait("GET", "/elsewhere/", "l3", "k1").status);
    this->deployment->Put("op/config", "{not a configuration");
    this->RunFor(200);
    CPPUNIT_ASSERT_EQUAL(200, this->SendAndWait("GET", "/lookup/1", "l4", "k1").status);
  }

  // Guards against engines that go on generating after the caller has disconnected.
  void CallerDisconnectCancelsUpstreamStream() {
    this->StartServing();
    this->deployment->events_in_stream = 200;
    std::optional<Answer> answer;
    this->StartRequest("GET", "/chat/1", "s1", "k1", "", answer);
    this->RunUntil([&] { return !this->deployment->runner_requests.empty(); }, 2000);
    this->RunFor(100);
    this->last_connection->Close();
    this->RunFor(300);
    CPPUNIT_ASSERT(this->deployment->runner_requests.front().caller_disconnected);
    const auto requests_before = this->deployment->runner_requests.size();
    this->RunFor(500);
    CPPUNIT_ASSERT_EQUAL(requests_before, this->deployment->runner_requests.size());
  }

  // Guards against taking impatient callers for a fault of their upstream (odalaigh-fold-large,
  // scale-1: callers that disconnected counted as 373 failures of sound upstreams).
  void CallersThatDisconnectDoNotSuspendUpstream() {
    this->StartServing();
    this->deployment->event_interval = Milliseconds(400);
    this->deployment->plain_response_delay = Milliseconds(400);
    std::list<std::optional<Answer>> answers;
    for (int i = 0; i < 12; ++i) {
      const std::string id = std::to_string(i);
      const bool stream = i % 2 == 0;
      this->StartRequest(stream ? "GET" : "POST", stream ? "/chat/1" : "/order/1", "c" + id, "k1",
                         stream ? "" : "{}", answers.emplace_back());
      this->RunFor(150);
      this->last_connection->Close();
    }
    this->RunFor(300);
    const std::string metrics = this->nodes.front()->state().metrics->Text();
    CPPUNIT_ASSERT(metrics.find("upstream_failures_total") == std::string::npos);
    CPPUNIT_ASSERT(metrics.find("upstream_suspensions_total") == std::string::npos);
  }

  // Guards against requests that depend on the availability of the store.
  void RequestsAreServedDuringStoreOutage() {
    this->StartServing();
    this->deployment->store_mode = StoreMode::kRefusing;
    this->RunFor(500);
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(),
                         this->SendAndWait("GET", "/chat/1", "s1", "k1").body);
    CPPUNIT_ASSERT_EQUAL(200, this->SendAndWait("POST", "/order/1", "o1", "k1", "{}").status);
    this->deployment->store_mode = StoreMode::kServing;
    this->RunFor(4000);
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(),
                         this->SendAndWait("GET", "/chat/1", "s2", "k1").body);
  }

  // Guards against an owner that makes no progress, or plans twice, when write replies are lost.
  void GroupsOpenDespiteLostWriteReplies() {
    this->deployment->store_mode = StoreMode::kDroppingWriteReplies;
    this->deployment->Put("op/config", ConfigJson(5, R"("k1")"));
    this->StartNode("n1", FreeAddress(), {});
    this->RunUntil([&] { return this->deployment->OpenHeads().size() == 3; }, 20000);
  }

  // Guards against orders based on a stale copy of the store (hunt day cb80-23 of speilbod-prod:
  // for 2 s writes were answered while the watch from before the outage was still hanging).
  void OwnerWithStaleStoreCopyWritesNothing() {
    this->StartServing();
    this->deployment->store_mode = StoreMode::kHangingWatches;
    this->RunFor(2000);
    const std::uint64_t calls_before = this->deployment->transaction_calls;
    const std::string head = this->deployment->OpenHeads().front();
    this->deployment->SetRunnerMode(head, RunnerMode::kUnresponsive);
    for (int i = 0; i < 4; ++i) this->SendAndWait("GET", "/chat/1", "s" + std::to_string(i), "k1");
    this->RunFor(1500);
    CPPUNIT_ASSERT_EQUAL(calls_before, this->deployment->transaction_calls);
  }

  // Guards against a node that stops serving while another node can confirm the configuration.
  void NodeWithoutStoreAccessFollowsAnotherNode() {
    this->StartServing();
    // The store address of the second node has no server.
    this->StartNode("n2", FreeAddress(), {this->peer_addresses.front()}, FreeAddress());
    this->RunUntil([&] { return this->nodes.back()->state().IsReady(); }, 5000);
    this->caller_address = this->caller_addresses.back();
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(),
                         this->SendAndWait("GET", "/chat/1", "s1", "k1").body);
    this->deployment->Put("op/config", ConfigJson(9, R"("k9")"));
    this->RunUntil([&] { return this->SendAndWait("GET", "/lookup/1", "l1", "k9").status == 200; },
                   1500);
    this->RunFor(4500);
    CPPUNIT_ASSERT_EQUAL(200, this->SendAndWait("GET", "/lookup/1", "l2", "k9").status);
  }

  // Guards against receiving a configuration late because the followed node lost access to the
  // store (scale-2 of odalaigh-fold, seed 1057202741051: the store refused two of three readers).
  void FollowerSwitchesFromNodeThatStoreRefuses() {
    this->StartServing();
    std::vector<std::string> stores;
    for (int i = 2; i <= 4; ++i) {
      stores.push_back(this->deployment->AddStoreAddress());
      this->StartNode("n" + std::to_string(i), FreeAddress(), this->peer_addresses, stores.back());
    }
    this->RunFor(1500);
    CPPUNIT_ASSERT(!this->nodes.back()->state().IsWatcher(NodeId("n4")));
    this->deployment->refused_stores = {stores[0], stores[1]};
    this->RunFor(300);
    this->deployment->Put("op/config", ConfigJson(9, R"("k9")"));
    this->caller_address = this->caller_addresses.back();
    this->RunUntil([&] { return this->SendAndWait("GET", "/lookup/1", "l1", "k9").status == 200; },
                   1800);
  }

  // Guards against a group that is not replaced after the loss of a member while spares are
  // available.
  void GroupWithUnresponsiveHeadIsNotUsed() {
    this->StartServing();
    const std::string head = this->deployment->OpenHeads().front();
    this->deployment->SetRunnerMode(head, RunnerMode::kUnresponsive);
    std::optional<Answer> answer;
    for (int i = 0; i < 6; ++i) {
      const Answer served = this->SendAndWait("GET", "/chat/1", "s" + std::to_string(i), "k1");
      CPPUNIT_ASSERT_EQUAL(this->CompleteStream(), served.body);
    }
    this->deployment->RemoveRunnerEntry(head);
    this->RunFor(3000);
    const auto before = this->deployment->runner_requests.size();
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(),
                         this->SendAndWait("GET", "/chat/1", "s9", "k1").body);
    for (std::size_t i = before; i < this->deployment->runner_requests.size(); ++i) {
      CPPUNIT_ASSERT(this->deployment->runner_requests[i].runner != head);
    }
  }

  // Guards against members that join another group while the group of their head is still open. The
  // head is isolated and refuses connections from all nodes (speilbod-prod-grown,
  // mix --seed 937698819340, TWO).
  void MembersOfIsolatedHeadJoinNoOtherGroup() {
    this->StartServing();
    this->RunFor(4500);
    std::map<std::string, std::string> before;
    for (const char* id : {"r0", "r1", "r2", "r3"}) before[id] = this->deployment->GroupOf(id);
    for (const std::string& head : this->deployment->OpenHeads()) {
      if (before.contains(head)) this->deployment->Isolate(head);
    }
    for (int i = 0; i < 50; ++i) {
      if (i % 10 == 0) this->SendAndWait("GET", "/chat/1", "s" + std::to_string(i), "k1");
      this->RunFor(100);
      for (const auto& [id, group] : before) {
        const std::string now = this->deployment->GroupOf(id);
        CPPUNIT_ASSERT_MESSAGE(std::string(id).append(" is in ").append(now),
                               now.empty() || now == group);
      }
    }
  }

  // Guards against a planned stop that truncates requests or leaves the other nodes without a
  // leader.
  void StoppedNodeFinishesStreamsAndReleasesLeadership() {
    this->StartServing();
    this->deployment->events_in_stream = 60;
    std::optional<Answer> answer;
    this->StartRequest("GET", "/chat/1", "s1", "k1", "", answer);
    this->RunUntil([&] { return !this->deployment->runner_requests.empty(); }, 2000);
    bool finished = false;
    this->nodes.front()->Stop([&finished] { finished = true; });
    this->RunFor(300);
    CPPUNIT_ASSERT(!this->nodes.front()->state().IsReady());
    CPPUNIT_ASSERT(!this->deployment->HasKey("limpetfall/leader"));
    CPPUNIT_ASSERT_EQUAL(200, this->SendAndWait("POST", "/order/1", "o1", "k1", "{}").status);
    this->RunUntil([&] { return finished; }, 8000);
    CPPUNIT_ASSERT(answer && answer->complete);
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(), answer->body);
  }

  // Guards against requests that count as running for ever.
  void RequestRefusedAsItGetsItsSlotGivesTheSlotBack() {
    this->stop_grace = Milliseconds(700);
    this->StartServing();
    this->deployment->event_interval = Milliseconds(20);
    const auto running = this->OccupySlots();
    std::optional<Answer> answer;
    this->StartRequest("GET", "/chat/1", "waits", "k1", "", answer);
    const Relay& relay = this->nodes.front()->state().relay;
    this->RunUntil([&] { return relay.waiting() == 1; }, 500);
    // The request has got its slot, and its coroutine has not been resumed yet.
    while (relay.waiting() == 1) this->io->run_one_for(Milliseconds(5));
    this->nodes.front()->Stop([] {});
    this->RunUntil([&] { return answer.has_value(); }, 1000);
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    this->RunUntil([&] { return relay.running() == 0; }, 2000);
  }

  // Guards against first requests that count as retries, because one caller would wait for longer
  // than the route allows.
  void LongDeadlineOfOneCallerMakesOthersNoRetries() {
    this->StartServing();
    HttpRequest request = this->MakeRequest("GET", "/chat/1", "patient", "k1", "");
    request.headers["X-Deadline-Ms"] = std::to_string(std::numeric_limits<std::int64_t>::max());
    std::optional<Answer> patient;
    boost::asio::co_spawn(*this->io, this->Send(request, patient), boost::asio::detached);
    this->RunUntil([&] { return patient.has_value(); }, 3000);
    CPPUNIT_ASSERT_EQUAL(200, patient->status);
    CPPUNIT_ASSERT_EQUAL(200, this->SendAndWait("GET", "/chat/1", "first", "k1").status);
    // A retry would not count as demand, and would wait behind first requests.
    CPPUNIT_ASSERT(this->CountCallerRetries().empty());
    request = this->MakeRequest("GET", "/chat/1", "returning", "k1", "");
    request.headers["X-Deadline-Ms"] = "3000";
    std::optional<Answer> retry;
    boost::asio::co_spawn(*this->io, this->Send(request, retry), boost::asio::detached);
    this->RunUntil([&] { return retry.has_value(); }, 3000);
    CPPUNIT_ASSERT(!this->CountCallerRetries().empty());
  }

  // Guards against requests to an evacuated zone (EVAC), and against callers that wait although no
  // upstream is left.
  void EvacuatedZoneGetsNoRequestsUntilTheEvacuationEnds() {
    this->StartServing();
    this->deployment->Put("op/evacuate/z1", "{}");
    this->RunUntil([&] { return this->nodes.front()->state().EvacuatedZones().size() == 1; }, 3000);
    const std::size_t before = this->deployment->runner_requests.size();
    CPPUNIT_ASSERT_EQUAL(503, this->SendAndWait("GET", "/chat/1", "s1", "k1").status);
    CPPUNIT_ASSERT_EQUAL(503, this->SendAndWait("POST", "/order/1", "o1", "k1", "{}").status);
    CPPUNIT_ASSERT_EQUAL(before, this->deployment->runner_requests.size());
    this->deployment->Remove("op/evacuate/z1");
    this->RunUntil([&] { return this->nodes.front()->state().EvacuatedZones().empty(); }, 3000);
    CPPUNIT_ASSERT_EQUAL(200, this->SendAndWait("GET", "/chat/1", "s2", "k1").status);
  }

  // Guards against a promise of "not run" for an order that has run, which its caller would repeat
  // (review/5, REFUSED): only a header of the upstream states it, whatever the status.
  void StatusOfOrderThatHasRunIsNoPromise() {
    this->StartServing();
    for (const int status : {400, 408, 409, 429, 500, 503, 504}) {
      this->deployment->plain_status = status;
      const std::string id = "o" + std::to_string(status);
      const Answer order = this->SendAndWait("POST", "/order/1", id, "k1", "{}");
      const bool promises = status == 408 || status == 429 || status == 503;
      CPPUNIT_ASSERT_EQUAL(promises ? 502 : status, order.status);
      CPPUNIT_ASSERT_EQUAL(1, this->deployment->CountRuns(id));
      const Answer lookup = this->SendAndWait("GET", "/lookup/1", "l" + id, "k1");
      CPPUNIT_ASSERT_EQUAL(status, lookup.status);
    }
  }

  // Guards against a leader that moves groups to another model because it knows only its own
  // callers: it took office before larger nodes started, which then carried all traffic.
  void LeaderOnStandbyKnowsLoadOfAllNodes() {
    this->fewest_active = 2;
    this->node_capacity = 0.1;
    this->StartServing();
    this->node_capacity = 1;
    for (int i = 2; i <= 5; ++i) {
      this->StartNode("n" + std::to_string(i), FreeAddress(), {this->peer_addresses.front()});
    }
    this->RunFor(3000);
    const GatewayState& leader = this->nodes.front()->state();
    CPPUNIT_ASSERT(this->deployment->Get("limpetfall/leader").starts_with("n1 "));
    CPPUNIT_ASSERT(!leader.IsActive(NodeId("n1")) && !leader.IsWatcher(NodeId("n1")));
    this->caller_address = this->caller_addresses.at(1);
    this->deployment->events_in_stream = 500;
    std::optional<Answer> answer;
    this->StartRequest("GET", "/chat/1", "s1", "k1", "", answer);
    this->RunFor(1000);
    const auto load =
        leader.dispatch.SlotsAndLoad(ServiceName("llm"), ModelName("m"), Clock::now());
    CPPUNIT_ASSERT_EQUAL(1, load.second);
  }

  // Guards against a number of store calls that grows with the number of nodes. Standby nodes
  // follow a node that reads, both without changes and while entries change.
  void StandbyNodesMakeNoWatchCalls() {
    constexpr int kNodes = 12;
    this->fewest_active = 3;
    this->StartServing();
    for (int i = 2; i <= kNodes; ++i) {
      this->StartNode("n" + std::to_string(i), FreeAddress(), {this->peer_addresses.front()});
    }
    this->RunFor(4000);
    // Three nodes read. Each of them makes a watch call every 400 ms, and after each change.
    constexpr std::uint64_t kReaders = 3;
    constexpr int kSeconds = 4;
    const std::uint64_t before_idle = this->deployment->watch_calls;
    this->RunFor(kSeconds * 1000);
    CPPUNIT_ASSERT(this->deployment->watch_calls - before_idle <= kReaders * (kSeconds / 0.4 + 1));
    const std::uint64_t before_changes = this->deployment->watch_calls;
    constexpr int kChanges = 40;
    for (int i = 0; i < kChanges; ++i) {
      this->deployment->Put("other/" + std::to_string(i), "");
      this->RunFor(kSeconds * 1000 / kChanges);
    }
    CPPUNIT_ASSERT(this->deployment->watch_calls - before_changes <= kReaders * (kChanges + 2));
    for (const auto& node : this->nodes) CPPUNIT_ASSERT(node->state().IsReady());
  }

 private:
  /** Returns the line of the metric that counts retries of callers, or an empty string. */
  [[nodiscard]] std::string CountCallerRetries() const {
    const std::string text = this->nodes.front()->state().metrics->Text();
    const std::size_t start = text.find("caller_retries_total{");
    return start == std::string::npos ? "" : text.substr(start, text.find('\n', start) - start);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
