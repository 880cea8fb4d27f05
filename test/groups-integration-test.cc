#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "harness/cluster.h"

// Properties P1 (no incomplete group answers) and P2 (no VM is in two groups), with real processes.
namespace limpetfall::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kRebuildLimit{20000};
constexpr int kLongAnswerTokens = 60;

class GroupsIntegrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupsIntegrationTest);
  CPPUNIT_TEST(CompleteGroupServesRequests);
  CPPUNIT_TEST(GroupWithKilledMemberCompletesNoAnswer);
  CPPUNIT_TEST(GroupWithSuspendedMemberCompletesNoAnswer);
  CPPUNIT_TEST(IdempotentStreamResumesWithoutRepeatOrGap);
  CPPUNIT_TEST(FormerMemberOfRebuiltGroupIsInNoSecondGroup);
  CPPUNIT_TEST(SuspendedDomainStopsServingAndOtherDomainServes);
  CPPUNIT_TEST(NoVmIsInTwoGroupsWhileOwnersAreSuspended);
  CPPUNIT_TEST(GroupsServeAfterOwnerLossDuringPlatformOutage);
  CPPUNIT_TEST(GroupWithOverwrittenAssignmentAnswersNoRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a cluster that serves nothing, with which every other test would pass.
  void CompleteGroupServesRequests() {
    auto cluster = Cluster::Start({});
    const Reply reply = cluster->Complete(0, "whole");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.error, 200, reply.status);
    CPPUNIT_ASSERT_EQUAL(std::string("ran"), reply.headers.at("x-verdict"));
    CPPUNIT_ASSERT(!Cluster::CompletionText(reply).empty());
    auto stream = cluster->Stream(1, "whole", 8);
    CPPUNIT_ASSERT(stream->WaitForEnd(milliseconds(10000)));
    CPPUNIT_ASSERT_EQUAL(Cluster::CompletionText(reply), stream->CompleteText());
  }

  // Guards against a leader that goes on answering after a member of its group was killed.
  void GroupWithKilledMemberCompletesNoAnswer() {
    CheckMemberLoss([](Cluster& cluster, int vm) { cluster.engine(vm).Kill(); });
  }

  // Guards against the same with a member that is unresponsive but keeps its connections open.
  void GroupWithSuspendedMemberCompletesNoAnswer() {
    CheckMemberLoss([](Cluster& cluster, int vm) { cluster.engine(vm).Suspend(); });
  }

  // Guards against a resumed stream that repeats or skips a token.
  void IdempotentStreamResumesWithoutRepeatOrGap() {
    auto cluster = Cluster::Start({.token_ms = 20});
    const std::string expected =
        Cluster::CompletionText(cluster->Complete(0, "resume", kLongAnswerTokens));
    CPPUNIT_ASSERT(!expected.empty());
    auto stream = cluster->Stream(0, "resume", kLongAnswerTokens);
    CPPUNIT_ASSERT(WaitFor([&] { return stream->tokens() >= 5; }, milliseconds(10000)));
    cluster->engine(LeaderOf(*cluster, "resume")).Kill();
    CPPUNIT_ASSERT(stream->WaitForEnd(milliseconds(30000)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(stream->raw(), expected, stream->CompleteText());
    CPPUNIT_ASSERT_EQUAL(kLongAnswerTokens, stream->tokens());
  }

  // Guards against counting a returned member with an old assignment as a member of the group.
  void FormerMemberOfRebuiltGroupIsInNoSecondGroup() {
    // One spare VM in each domain replaces the lost member.
    auto cluster = Cluster::Start({.vms_per_domain = 5});
    const std::vector<int> group = cluster->ServingMembers(0).front();
    cluster->engine(group.back()).Suspend();
    CPPUNIT_ASSERT(WaitFor([&] { return !IsServing(*cluster, group.back()); }, kRebuildLimit));
    CPPUNIT_ASSERT(cluster->WaitForServingGroups(0, 4, kRebuildLimit));
    cluster->engine(group.back()).Resume();
    for (int i = 0; i < 20; ++i) {
      const Reply reply = cluster->Complete(0, "returned " + std::to_string(i));
      CPPUNIT_ASSERT_EQUAL(200, reply.status);
      CPPUNIT_ASSERT(!IsServing(*cluster, group.back()) || VmsAreDistinct(*cluster));
    }
  }

  // Guards against groups that stay in service after all VMs of their fabric domain are suspended.
  void SuspendedDomainStopsServingAndOtherDomainServes() {
    auto cluster = Cluster::Start({});
    for (int vm = 0; vm < 4; ++vm) cluster->engine(vm).Suspend();
    CPPUNIT_ASSERT(cluster->WaitForServingGroups(0, 2, kRebuildLimit));
    for (int i = 0; i < 10; ++i) {
      const Reply reply = cluster->Complete(0, "dark " + std::to_string(i));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
    }
    for (int vm = 0; vm < 4; ++vm) cluster->engine(vm).Resume();
    CPPUNIT_ASSERT(cluster->WaitForServingGroups(0, 4, kRebuildLimit));
  }

  // Guards against two owners that assemble groups from the same VMs, because one of them resumes
  // with an outdated record.
  void NoVmIsInTwoGroupsWhileOwnersAreSuspended() {
    auto cluster = Cluster::Start({.vms_per_domain = 5});
    for (int round = 0; round < 3; ++round) {
      const int suspended = round % 3;
      cluster->node(suspended).Suspend();
      const std::vector<int> group = cluster->ServingMembers((suspended + 1) % 3).front();
      cluster->RestartEngine(group.back());
      CPPUNIT_ASSERT(cluster->WaitForServingGroups((suspended + 1) % 3, 4, milliseconds(30000)));
      cluster->node(suspended).Resume();
      CPPUNIT_ASSERT(
          WaitFor([&] { return cluster->ServingGroups(suspended) == 4; }, kRebuildLimit));
      for (int node = 0; node < 3; ++node) CPPUNIT_ASSERT(VmsAreDistinct(*cluster, node));
      // Summaries are up to date only after the owner has read a report of the restarted engine.
      CPPUNIT_ASSERT(WaitFor([&] { return MembersReportSameGeneration(*cluster); }, kRebuildLimit));
    }
  }

  // Guards against a new owner that lets groups expire because it cannot read their record.
  void GroupsServeAfterOwnerLossDuringPlatformOutage() {
    auto cluster = Cluster::Start({});
    int owner = 0;
    while (owner < 3 && cluster->Status(owner)["owned_domains"].empty()) ++owner;
    CPPUNIT_ASSERT(owner < 3);
    cluster->ControlPlatform(R"({"outage":"silent","vm_outage":"silent"})");
    cluster->node(owner).Kill();
    // Longer than summary_lifetime_ms plus the time to detect the loss of a node.
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(13);
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
      const int node = (owner + 1 + i % 2) % 3;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster->Status(node).dump(), 4, cluster->ServingGroups(node));
      const Reply reply = cluster->Complete(node, "ownerless " + std::to_string(i));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
    }
  }

  // Guards against relying on engines to refuse assignments of an old generation.
  void GroupWithOverwrittenAssignmentAnswersNoRequest() {
    ClusterOptions options{.vms_per_domain = 5};
    options.engines_check_generation = false;
    options.extra_timing = "order_delay_bound_ms = 500\n";
    auto cluster = Cluster::Start(options);
    const std::vector<int> group = cluster->ServingMembers(0).front();
    cluster->engine(group.back()).Kill();
    CPPUNIT_ASSERT(WaitFor([&] { return !IsServing(*cluster, group.back()); }, kRebuildLimit));
    CPPUNIT_ASSERT(cluster->WaitForServingGroups(0, 4, kRebuildLimit));
    // A delayed assignment of an old generation reaches a member of the rebuilt group.
    const std::vector<int> rebuilt = ServingGroupOf(*cluster, group.front());
    CPPUNIT_ASSERT(!rebuilt.empty());
    const json late = {{"group", "late"},
                       {"generation", 1},
                       {"model", "fold-plan"},
                       {"version", "1"},
                       {"members", json::array({"vm-" + std::to_string(rebuilt.back())})},
                       {"rank", 0}};
    const Reply accepted =
        Fetch("POST", cluster->engine_url(rebuilt.back()) + "/v1/assignment", late.dump());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(accepted.body, 200, accepted.status);
    for (int i = 0; i < 10; ++i) {
      const Reply reply = cluster->Complete(0, "fenced " + std::to_string(i));
      if (reply.status == 200) CPPUNIT_ASSERT(!RanOnlyOn(*cluster, rebuilt, reply));
    }
    CPPUNIT_ASSERT(cluster->WaitForServingGroups(0, 4, kRebuildLimit));
  }

 private:
  // Removes a member other than the leader while its group answers. Another group may then complete
  // the answer; the group that lost a member must not.
  template <typename RemoveMember>
  static void CheckMemberLoss(RemoveMember remove_member) {
    ClusterOptions options{.token_ms = 20};
    // There are no spare VMs, so the group cannot be rebuilt.
    auto cluster = Cluster::Start(options);
    const std::string expected =
        Cluster::CompletionText(cluster->Complete(0, "loss", kLongAnswerTokens));
    CPPUNIT_ASSERT(!expected.empty());
    auto stream = cluster->Stream(0, "loss", kLongAnswerTokens);
    CPPUNIT_ASSERT(WaitFor([&] { return stream->tokens() >= 5; }, milliseconds(10000)));
    const int leader = LeaderOf(*cluster, "loss");
    const std::vector<int> group = ServingGroupOf(*cluster, leader);
    remove_member(*cluster, group.back());
    CPPUNIT_ASSERT(stream->WaitForEnd(milliseconds(40000)));
    const bool complete = stream->complete();
    if (complete) CPPUNIT_ASSERT_EQUAL(expected, stream->CompleteText());
    // The broken group may have generated all tokens. A complete answer needs another group too.
    CPPUNIT_ASSERT_MESSAGE(stream->raw(), !complete || CountRuns(*cluster, "loss", leader) >= 1);
    CPPUNIT_ASSERT(WaitFor([&] { return !IsServing(*cluster, group.back()); }, kRebuildLimit));
    for (int i = 0; i < 10; ++i) {
      const Reply reply = cluster->Complete(0, "after loss " + std::to_string(i));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
      CPPUNIT_ASSERT(!RanOnlyOn(*cluster, group, reply, group.back()));
    }
  }

  static bool IsServing(const Cluster& cluster, int vm, int node = 0) {
    return !ServingGroupOf(cluster, vm, node).empty();
  }

  static std::vector<int> ServingGroupOf(const Cluster& cluster, int vm, int node = 0) {
    for (const std::vector<int>& group : cluster.ServingMembers(node)) {
      if (std::find(group.begin(), group.end(), vm) != group.end()) return group;
    }
    return {};
  }

  // Returns the engine that started to run a prompt last.
  static int LeaderOf(const Cluster& cluster, const std::string& prompt) {
    int leader = -1;
    std::int64_t latest = -1;
    for (int vm = 0; vm < 8; ++vm) {
      for (const json& run : cluster.EngineJournal(vm)) {
        const std::int64_t started = run.value("started_ms", std::int64_t{0});
        if (run.value("prompt", "") != prompt || started <= latest) continue;
        leader = vm;
        latest = started;
      }
    }
    CPPUNIT_ASSERT(leader >= 0);
    return leader;
  }

  // Returns the number of runs of a prompt on engines other than `except`.
  static int CountRuns(const Cluster& cluster, const std::string& prompt, int except) {
    int runs = 0;
    for (int vm = 0; vm < 8; ++vm) {
      if (vm == except) continue;
      for (const json& run : cluster.EngineJournal(vm)) runs += run.value("prompt", "") == prompt;
    }
    return runs;
  }

  // Returns whether the request of this reply ran only on members of `group`. Skips the engine
  // `suspended`, because a request for its journal would time out.
  static bool RanOnlyOn(const Cluster& cluster, const std::vector<int>& group, const Reply& reply,
                        int suspended = -1) {
    const std::string id = reply.headers.at("x-request-id");
    std::set<int> ran;
    for (int vm = 0; vm < 8; ++vm) {
      if (vm == suspended) continue;
      for (const json& run : cluster.EngineJournal(vm)) {
        if (run.value("id", "") == id) ran.insert(vm);
      }
    }
    return !ran.empty() && std::all_of(ran.begin(), ran.end(), [&](int vm) {
      return std::find(group.begin(), group.end(), vm) != group.end();
    });
  }

  static bool VmsAreDistinct(const Cluster& cluster, int node = 0) {
    std::set<int> distinct_vms;
    for (const std::vector<int>& group : cluster.ServingMembers(node)) {
      for (int vm : group) {
        if (!distinct_vms.insert(vm).second) return false;
      }
    }
    return true;
  }

  // Returns whether the engines of each serving group report the same group and generation.
  static bool MembersReportSameGeneration(const Cluster& cluster) {
    for (const std::vector<int>& group : cluster.ServingMembers(0)) {
      std::set<std::string> reported;
      for (int vm : group) {
        const json report = cluster.EngineReport(vm);
        if (!report.is_object()) return false;
        reported.insert(report.value("group", "") + "/" +
                        std::to_string(report.value("generation", 0)));
      }
      if (reported.size() != 1) return false;
    }
    return true;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupsIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
