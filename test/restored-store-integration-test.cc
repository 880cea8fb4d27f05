#include "harness/gateway-process-fixture.h"
#include "harness/run.h"

// The store is away for a moment and comes back from a copy that is some seconds old (CONFIG).
namespace limpetfall::testing {
namespace {

class RestoredStoreIntegrationTest : public GatewayProcessFixture {
  CPPUNIT_TEST_SUITE(RestoredStoreIntegrationTest);
  CPPUNIT_TEST(ChangeAfterRestoreIsInForceInTime);
  CPPUNIT_TEST(RestoredConfigurationDoesNotReplaceNewerOne);
  CPPUNIT_TEST(KeysAreRefusedUntilTheNewestConfigurationIsWrittenAgain);
  CPPUNIT_TEST(NodeStartedAfterRestoreServesWhatItsPeersKnow);
  CPPUNIT_TEST(NodeStartedAfterRestoreRefusesKeysUntilRewritten);
  CPPUNIT_TEST(NodeStartedAfterRestoreWithoutPlanRefusesKeysUntilRewritten);
  CPPUNIT_TEST(HeadWithAllConnectionsInUseServesOnAfterRestore);
  CPPUNIT_TEST(RevisionsGivenOutAgainDoNotHideChanges);
  CPPUNIT_TEST(LeavingRunnerGetsNoRequestsAfterRestore);
  CPPUNIT_TEST(RunnerStartedAfterTheCopyServesOn);
  CPPUNIT_TEST(GroupsServeOnAndEpochsRiseAfterRestore);
  CPPUNIT_TEST(NewOwnerKeepsGroupsThatNoPlanNames);
  CPPUNIT_TEST(LeasesOfOtherProcessesAreNeitherRenewedNorEnded);
  CPPUNIT_TEST(TwoRestoresInSeries);
  CPPUNIT_TEST(AnswersOfAnEarlierEraAreNotUsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against nodes that read the restored store again and again and apply nothing, because
  // its revisions are lower than before.
  void ChangeAfterRestoreIsInForceInTime() {
    this->StartServing();
    const auto copy = this->deployment->CopyStore();
    this->RaiseRevision(40);
    this->Restore(*copy);
    this->deployment->RewriteEntries();
    this->RunFor(500);
    this->deployment->Put("op/config", ConfigJson(6, R"("k1","k2")"));
    this->RunFor(1500);
    CPPUNIT_ASSERT_EQUAL(200, this->Lookup("k2").status);
  }

  // Guards against routes and keys of an older configuration that the restored store holds.
  void RestoredConfigurationDoesNotReplaceNewerOne() {
    this->StartServing();
    const auto copy = this->deployment->CopyStore();
    this->deployment->Put("op/config", ConfigJson(6, R"("k2")"));
    this->RunFor(300);
    this->Restore(*copy);
    for (int i = 0; i < 6; ++i) {
      this->RunFor(300);
      CPPUNIT_ASSERT_EQUAL(200, this->Lookup("k2").status);
      CPPUNIT_ASSERT_EQUAL(401, this->Lookup("k1").status);
    }
    this->deployment->Put("op/config", ConfigJson(7, R"("k3")"));
    this->RunFor(1000);
    CPPUNIT_ASSERT_EQUAL(200, this->Lookup("k3").status);
    CPPUNIT_ASSERT_EQUAL(401, this->Lookup("k2").status);
  }

  // Guards against an older configuration that counts as a proof that the newest one is in force: a
  // key that was taken away would be accepted for ever.
  void KeysAreRefusedUntilTheNewestConfigurationIsWrittenAgain() {
    this->StartServing();
    const auto copy = this->deployment->CopyStore();
    this->deployment->Put("op/config", ConfigJson(6, R"("k1","k2")"));
    this->RunFor(300);
    this->Restore(*copy);
    this->RunFor(4500);
    CPPUNIT_ASSERT_EQUAL(503, this->Lookup("k2").status);
    this->deployment->RewriteEntries();
    this->RunFor(1000);
    CPPUNIT_ASSERT_EQUAL(200, this->Lookup("k2").status);
  }

  // Guards against a node that starts from the restored store, and refuses or accepts what the
  // other nodes no longer do.
  void NodeStartedAfterRestoreServesWhatItsPeersKnow() {
    this->StartServing();
    const auto copy = this->deployment->CopyStore();
    this->deployment->Put("op/config", ConfigJson(6, R"("k2")"));
    this->RunFor(300);
    this->Restore(*copy);
    this->RunFor(300);
    this->StartNode("n2", FreeAddress(), {this->peer_addresses.front()});
    this->RunFor(1200);
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{6}, this->nodes.back()->state().routes->config().version);
    CPPUNIT_ASSERT(this->Lookup("k1").status != 200);
    this->deployment->RewriteEntries();
    this->RunFor(1000);
    CPPUNIT_ASSERT_EQUAL(200, this->Lookup("k2").status);
  }

  // Guards against a key that was taken away, at a node that starts from the restored store before
  // the operator has written again.
  void NodeStartedAfterRestoreRefusesKeysUntilRewritten() {
    this->StartProcesses(1);
    this->CheckStartAfterRestore(*this->deployment->CopyStore());
  }

  // The same where the copy holds no plan of groups, as in a deployment without groups.
  void NodeStartedAfterRestoreWithoutPlanRefusesKeysUntilRewritten() {
    this->StartProcesses(1);
    auto copy = std::make_shared<FakeDeployment::StoreCopy>(*this->deployment->CopyStore());
    copy->items.erase("limpetfall/plan");
    this->CheckStartAfterRestore(*copy);
  }

  // Guards against an owner that dissolves a group that serves, because its head accepts no further
  // connection when the owner asks it for its membership.
  void HeadWithAllConnectionsInUseServesOnAfterRestore() {
    constexpr std::size_t kMaxConnections = 4;
    // Work of the deployment that is replaced must not outlive it.
    this->io->DropPending();
    this->deployment.reset();
    this->io = std::make_unique<ServerContext>(1);
    this->deployment = std::make_unique<FakeDeployment>(*this->io);
    for (int i = 0; i < 6; ++i) {
      this->deployment->AddRunner("r" + std::to_string(i), "llm", i < 4 ? "d1" : "d2",
                                  kMaxConnections);
    }
    this->StartProcesses(1);
    const std::vector<std::string> heads = this->deployment->OpenHeads();
    this->processes.front()->Kill();
    this->RunFor(200);
    const auto entry = nlohmann::json::parse(this->deployment->Get("servers/" + heads.front()));
    std::vector<std::shared_ptr<HttpConnection>> held;
    for (std::size_t i = 0; i < kMaxConnections; ++i) {
      held.push_back(RunUntilDone(*this->io, HttpConnection::Connect(
                                                 *this->io, entry.at("addr").get<std::string>(),
                                                 Clock::now() + Milliseconds(1000)))
                         .value());
    }
    this->Restore(*this->deployment->CopyStore());
    this->deployment->RewriteEntries();
    this->RestartProcess(0);
    this->RunFor(8000);
    const auto plan = nlohmann::json::parse(this->deployment->Get("limpetfall/plan"));
    CPPUNIT_ASSERT_EQUAL(heads.size(), plan.at("groups").size());
    for (const auto& group : plan.at("groups")) CPPUNIT_ASSERT(!group.at("dissolving"));
    CPPUNIT_ASSERT(this->deployment->OpenHeads() == heads);
  }

  // Guards against changes of two histories in one copy, when the store has reached the old
  // revision again before a node asks.
  void RevisionsGivenOutAgainDoNotHideChanges() {
    this->StartServing();
    const auto copy = this->deployment->CopyStore();
    this->RaiseRevision(10);
    this->RunFor(300);
    this->deployment->store_mode = StoreMode::kRefusing;
    this->RunFor(600);
    this->deployment->RestoreStore(*copy);
    // The change is among the revisions that the nodes have seen in the former era.
    this->deployment->Put("op/config", ConfigJson(6, R"("k2")"));
    this->RaiseRevision(30);
    this->deployment->store_mode = StoreMode::kServing;
    this->RunFor(1000);
    CPPUNIT_ASSERT_EQUAL(200, this->Lookup("k2").status);
  }

  // Guards against requests to a runner whose notice the store has lost (DRAIN).
  void LeavingRunnerGetsNoRequestsAfterRestore() {
    this->StartServing();
    const auto copy = this->deployment->CopyStore();
    this->deployment->SetRunnerState("b1", "draining");
    this->RunFor(300);
    this->Restore(*copy);
    for (int i = 0; i < 12; ++i) {
      this->RunFor(300);
      CPPUNIT_ASSERT_EQUAL(std::string("done by b2"), this->Lookup("k1").body);
    }
  }

  // Guards against runners that are not used after a restore, although they run.
  void RunnerStartedAfterTheCopyServesOn() {
    this->StartServing();
    const auto copy = this->deployment->CopyStore();
    this->deployment->AddRunner("b3", "book", "d0");
    this->deployment->SetRunnerState("b1", "draining");
    this->deployment->SetRunnerState("b2", "draining");
    this->RunFor(300);
    this->Restore(*copy);
    for (int i = 0; i < 4; ++i) {
      this->RunFor(300);
      CPPUNIT_ASSERT_EQUAL(std::string("done by b3"), this->Lookup("k1").body);
    }
    this->deployment->RewriteEntries();
    this->RunFor(3000);
    CPPUNIT_ASSERT_EQUAL(std::string("done by b3"), this->Lookup("k1").body);
  }

  // Guards against an owner that dissolves groups that serve because the restored plan does not
  // name them, and against epochs that runners refuse or that two groups get.
  void GroupsServeOnAndEpochsRiseAfterRestore() {
    const auto copy = this->deployment->CopyStore();
    this->StartServing();
    const std::vector<std::string> heads = this->deployment->OpenHeads();
    const auto highest = this->HighestEpoch();
    this->Restore(*copy);
    this->deployment->RewriteEntries();
    this->RunFor(4000);
    CPPUNIT_ASSERT(this->deployment->OpenHeads() == heads);
    CPPUNIT_ASSERT_EQUAL(highest, this->HighestEpoch());
    CPPUNIT_ASSERT(this->deployment->Get("limpetfall/plan").find("\"groups\":[{") !=
                   std::string::npos);
    this->deployment->Crash(heads.front());
    this->RunFor(1500);
    this->RunUntil([&] { return this->deployment->OpenHeads().size() == 3; }, 9000);
    CPPUNIT_ASSERT(highest < this->HighestEpoch());
    CPPUNIT_ASSERT(this->deployment->HasKey("limpetfall/nodes/n1"));
  }

  // Guards against an owner that started after the restore, knows only the restored plan, and
  // dissolves groups that serve.
  void NewOwnerKeepsGroupsThatNoPlanNames() {
    const auto copy = this->deployment->CopyStore();
    this->StartProcesses(1);
    const std::vector<std::string> heads = this->deployment->OpenHeads();
    const auto highest = this->HighestEpoch();
    this->processes.front()->Kill();
    this->Restore(*copy);
    this->deployment->RewriteEntries();
    this->RestartProcess(0);
    this->RunFor(5000);
    CPPUNIT_ASSERT(this->deployment->OpenHeads() == heads);
    CPPUNIT_ASSERT_EQUAL(highest, this->HighestEpoch());
    CPPUNIT_ASSERT_EQUAL(200, this->SendAndWait("GET", "/chat/1", "after", "k1").status);
  }

  // Guards against the renewal or the end of a lease whose number the store has given to another
  // process.
  void LeasesOfOtherProcessesAreNeitherRenewedNorEnded() {
    const auto copy = this->deployment->CopyStore();
    this->StartServing();
    this->Restore(*copy);
    constexpr int kLeases = 10;
    for (int i = 0; i < kLeases; ++i)
      this->deployment->Put("other/" + std::to_string(i), "x",
                            this->deployment->GrantLease(Milliseconds(4000)));
    this->RunFor(1500);
    bool finished = false;
    this->nodes.front()->Stop([&] { finished = true; });
    this->RunFor(500);
    for (int i = 0; i < kLeases; ++i)
      CPPUNIT_ASSERT(this->deployment->HasKey("other/" + std::to_string(i)));
    this->RunFor(2500);
    for (int i = 0; i < kLeases; ++i)
      CPPUNIT_ASSERT(!this->deployment->HasKey("other/" + std::to_string(i)));
  }

  void TwoRestoresInSeries() {
    this->StartServing();
    const auto oldest = this->deployment->CopyStore();
    this->deployment->Put("op/config", ConfigJson(6, R"("k1","k2")"));
    this->RunFor(300);
    const auto copy = this->deployment->CopyStore();
    this->RaiseRevision(20);
    this->Restore(*copy);
    this->RunFor(700);
    this->Restore(*oldest);
    this->RunFor(300);
    CPPUNIT_ASSERT_EQUAL(200, this->Lookup("k2").status);
    this->deployment->RewriteEntries();
    this->RunFor(1000);
    this->deployment->Put("op/config", ConfigJson(7, R"("k3")"));
    this->RunFor(1000);
    CPPUNIT_ASSERT_EQUAL(200, this->Lookup("k3").status);
    this->RunFor(3000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->deployment->OpenHeads().size());
  }

  // Guards against state of a store that is behind, and of one whose era cannot be read.
  void AnswersOfAnEarlierEraAreNotUsed() {
    platform::StoreClient store(*this->io, this->deployment->store_address());
    const auto snapshot = [&] {
      return RunUntilDone(*this->io, store.Snapshot(Clock::now() + Milliseconds(1000)));
    };
    this->deployment->stated_era = "7";
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, snapshot().value().revision.era);
    for (const char* odd : {"6", "", "x", "-1", "7 7", "99999999999999999999"}) {
      this->deployment->stated_era = odd;
      CPPUNIT_ASSERT_MESSAGE(odd, !snapshot());
      const auto watched =
          RunUntilDone(*this->io, store.Watch({7, this->FirstRevision()}, Milliseconds(10)));
      CPPUNIT_ASSERT_MESSAGE(odd, !watched);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, store.era());
    }
    this->deployment->stated_era = "8";
    const auto watched =
        RunUntilDone(*this->io, store.Watch({7, this->FirstRevision()}, Milliseconds(10)));
    CPPUNIT_ASSERT(watched.error().code == ErrorCode::kNotFound);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, snapshot().value().revision.era);
    const auto write = RunUntilDone(*this->io, store.Write({7, {}, {{"a", "old era", 0}}, {}},
                                                           Clock::now() + Milliseconds(1000)));
    CPPUNIT_ASSERT(!write.value());
    CPPUNIT_ASSERT(!this->deployment->HasKey("a"));
  }

 private:
  /** The store is away for 300 ms and comes back from a copy. */
  void Restore(const FakeDeployment::StoreCopy& copy) {
    this->deployment->store_mode = StoreMode::kRefusing;
    this->RunFor(300);
    this->deployment->RestoreStore(copy);
    this->deployment->store_mode = StoreMode::kServing;
  }

  /** A key is taken away, the store loses that, and the only node starts again. */
  void CheckStartAfterRestore(const FakeDeployment::StoreCopy& copy) {
    constexpr int kRevocationMs = 5000;  // As in the settings of the processes.
    this->deployment->Put("op/config", ConfigJson(6, R"("k2")"));
    this->RunFor(kRevocationMs + 300);
    this->processes.front()->Kill();
    this->Restore(copy);
    this->RestartProcess(0);
    const Deadline rewritten = Clock::now() + Milliseconds(1500);
    while (Clock::now() < rewritten) {
      CPPUNIT_ASSERT(this->Lookup("k1").status != 200);
      this->RunFor(50);
    }
    this->deployment->RewriteEntries();
    this->RunFor(3000);
    CPPUNIT_ASSERT_EQUAL(401, this->Lookup("k1").status);
    CPPUNIT_ASSERT_EQUAL(200, this->Lookup("k2").status);
  }

  void RaiseRevision(int count) {
    for (int i = 0; i < count; ++i) this->deployment->Put("noise", std::to_string(i));
  }

  Answer Lookup(const std::string& key) {
    return this->SendAndWait("GET", "/lookup/1", "l" + std::to_string(this->lookups++), key);
  }

  [[nodiscard]] std::int64_t FirstRevision() const {
    return this->deployment->CopyStore()->revision;
  }

  [[nodiscard]] std::int64_t HighestEpoch() const { return this->deployment->HighestEpoch(); }

  int lookups = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
