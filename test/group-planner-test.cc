#include "core/group-planner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <set>

#include "harness/planner-config.h"

namespace limpetfall {
namespace {

using testing::kLarge;
using testing::kService;
using testing::kSmall;

class GroupPlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupPlannerTest);
  CPPUNIT_TEST(UnwrittenPlanYieldsNoOrders);
  CPPUNIT_TEST(FirstPlanKeepsGroupsInOneDomainWithoutSharedRunners);
  CPPUNIT_TEST(GroupOpensWhenAllMembersAreReady);
  CPPUNIT_TEST(MemberOfOlderEpochPreventsOpening);
  CPPUNIT_TEST(UnreachableMemberMakesHeadLeave);
  CPPUNIT_TEST(MembersAreReassignedAfterHeadLeft);
  CPPUNIT_TEST(UnreachableHeadKeepsMembersUntilStallTimeout);
  CPPUNIT_TEST(ExpiredMembersOfUnreachableHeadAreNotReassigned);
  CPPUNIT_TEST(ReplacedHeadReleasesMembersImmediately);
  CPPUNIT_TEST(UnreachableHeadThatIsReplacedReleasesMembers);
  CPPUNIT_TEST(UnreachableHeadAfterOwnerChangeKeepsMembers);
  CPPUNIT_TEST(MemberWhoseJoinWasNotAnsweredIsOrderedToLeaveAgain);
  CPPUNIT_TEST(HeadThatLeftAndJoinedAgainKeepsMembers);
  CPPUNIT_TEST(UnplannedServingHeadIsOrderedToLeaveFirst);
  CPPUNIT_TEST(RestartedMemberDissolvesGroup);
  CPPUNIT_TEST(ExpiredEntryDissolvesGroupOnlyAfterGrace);
  CPPUNIT_TEST(LeavingMemberClosesGroupGracefully);
  CPPUNIT_TEST(IdleGroupsAreDissolvedForModelShortOfCapacity);
  CPPUNIT_TEST(BusyGroupsAreNotDissolved);
  CPPUNIT_TEST(ReserveOfOneModelServesTheOtherThatRefusesCallers);
  CPPUNIT_TEST(ModelThatLosesCallersWithEachMemberGetsRunners);
  CPPUNIT_TEST(RunnersOfEvacuatedZoneGetNoOrders);
  CPPUNIT_TEST(GroupsOfEvacuatedZoneAreReplacedElsewhereAndServeAgain);
  CPPUNIT_TEST(ColdRunnerIsNotTheHead);
  CPPUNIT_TEST(MembersOfIdleModelStageWeightsOfModelShortOfCapacity);
  CPPUNIT_TEST(BalancedModelsStageNoWeightsDuringTraffic);
  CPPUNIT_TEST(FreeRunnerStagesWeightsThatCompleteGroup);
  CPPUNIT_TEST(SpareRunnersReplaceLossesOfLargeGroupsFirst);
  CPPUNIT_TEST(SmallGroupIsDissolvedToCompleteLargeGroup);
  CPPUNIT_TEST(RemainingMembersOfLargeGroupAreHeldForShift);
  CPPUNIT_TEST(SoonFreeRunnersPreventDissolvingSmallGroups);
  CPPUNIT_TEST(IdleLargeModelDoesNotHoldBackRunners);
  CPPUNIT_TEST(LoadsAreRateLimited);
  CPPUNIT_TEST(NewOwnerStartsWithoutLoadTokens);
  CPPUNIT_TEST(EpochsRiseAcrossErasThoughPlansAreLost);
  CPPUNIT_TEST(PlanThatTheStoreHasLostIsWrittenAgain);
  CPPUNIT_TEST(CompleteGroupMissingInRestoredPlanGoesOn);
  CPPUNIT_TEST(AdoptedGroupIsOrderedOnlyOnceItsPlanIsWritten);
  CPPUNIT_TEST(MemberOfUnknownHeadIsNotGivenAway);
  CPPUNIT_TEST(HeadWithoutConfirmedMembershipKeepsMembers);
  CPPUNIT_TEST(RandomHistoriesKeepEveryRunnerInAtMostOneGroup);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two owners that order different groups: only a written plan may be ordered.
  void UnwrittenPlanYieldsNoOrders() {
    this->AddRunners("d1", 4);
    const PlannerOutput output = this->Step();
    CPPUNIT_ASSERT(output.proposal.has_value());
    CPPUNIT_ASSERT(output.orders.empty());
  }

  // Guards against groups that span domains, which are slow, and runners in two groups, at the
  // first start of a fleet.
  void FirstPlanKeepsGroupsInOneDomainWithoutSharedRunners() {
    for (const char* domain : {"d1", "d2", "d3"}) this->AddRunners(domain, 10);
    this->WritePlan(this->Step());
    std::set<VmId> seen;
    for (const PlannedGroup& group : this->plan.groups) {
      CPPUNIT_ASSERT_EQUAL(group.model == kLarge ? std::size_t{4} : std::size_t{2},
                           group.members.size());
      for (const VmId& member : group.members) {
        CPPUNIT_ASSERT(seen.insert(member).second);
        CPPUNIT_ASSERT(this->runners.at(member).domain == group.domain);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, seen.size());
  }

  // Guards against an incomplete group that serves when one member joins late.
  void GroupOpensWhenAllMembersAreReady() {
    this->AddRunners("d1", 4);
    this->WritePlan(this->Step());
    const PlannedGroup group = this->plan.groups.front();
    CPPUNIT_ASSERT_EQUAL(group.members.size(), this->Orders(RunnerOrderKind::kJoin).size());
    for (std::size_t i = 0; i + 1 < group.members.size(); ++i)
      this->Join(group, i, MembershipStage::kReady);
    this->Join(group, group.members.size() - 1, MembershipStage::kJoining);
    CPPUNIT_ASSERT(this->Orders(RunnerOrderKind::kOpen).empty());
    this->Join(group, group.members.size() - 1, MembershipStage::kReady);
    const auto opens = this->Orders(RunnerOrderKind::kOpen);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, opens.size());
    CPPUNIT_ASSERT(opens.front().runner == group.members.front());
  }

  // Guards against a group that opens with a member that joined an earlier group of the same name.
  void MemberOfOlderEpochPreventsOpening() {
    this->AddRunners("d1", 2);
    this->demand = {{kSmall, 1}};
    this->WritePlan(this->Step());
    const PlannedGroup group = this->plan.groups.front();
    this->Join(group, 0, MembershipStage::kReady);
    this->Join(group, 1, MembershipStage::kReady);
    this->runners.at(group.members[1]).membership->epoch -= 1;
    CPPUNIT_ASSERT(this->Orders(RunnerOrderKind::kOpen).empty());
  }

  // Guards against requests sent to a stalled group: a member became unreachable and the platform
  // has not detected it yet.
  void UnreachableMemberMakesHeadLeave() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->MakeUnreachable(group.members[1]);
    const PlannerOutput output = this->Step();
    const auto orders = GroupOrders(output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    CPPUNIT_ASSERT(orders.front().kind == RunnerOrderKind::kLeave);
    CPPUNIT_ASSERT(orders.front().runner == group.members.front());
    CPPUNIT_ASSERT(output.proposal->groups.front().dissolving);
  }

  // Guards against a member in two groups while the head of its previous group still serves.
  void MembersAreReassignedAfterHeadLeft() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->AddRunners("d1", 1);
    this->MakeUnreachable(group.members[1]);
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT(!this->Step().proposal.has_value());
    this->runners.at(group.members.front()).membership.reset();
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->plan.groups.size());
    CPPUNIT_ASSERT(!this->plan.groups.front().dissolving);
  }

  // Guards against reassigning members of a head that is unreachable only from this node.
  void UnreachableHeadKeepsMembersUntilStallTimeout() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->AddRunners("d1", 1);
    this->MakeUnreachable(group.members.front());
    this->WritePlan(this->Step());
    this->runners.at(group.members[1]).membership.reset();
    this->WritePlan(this->Step());
    this->now += Milliseconds(5900);
    CPPUNIT_ASSERT(!this->Step().proposal.has_value());
    this->now += Milliseconds(200);
    CPPUNIT_ASSERT(this->Step().proposal.has_value());
  }

  // Guards against members that join another group while their partitioned head still serves. Their
  // entries expired in a store outage and returned (fault-injection run cb80-23 of speilbod-prod: a
  // runner in two groups).
  void ExpiredMembersOfUnreachableHeadAreNotReassigned() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    const auto kept = this->runners;
    this->MakeUnreachable(group.members.front());
    this->WritePlan(this->Step());
    this->runners.clear();
    for (int i = 0; i < 30; ++i) {
      this->now += Milliseconds(100);
      this->WritePlan(this->Step());
    }
    this->runners = kept;
    this->AddRunners("d1", 1);
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->plan.groups.size());
    CPPUNIT_ASSERT(this->plan.groups.front().group == group.group);
  }

  // Guards against idle members of a head that has certainly ended, because another runner has its
  // address.
  void ReplacedHeadReleasesMembersImmediately() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->planner.OnProbeResult(group.members.front(), RunnerProbeResult::kReplaced, this->now);
    this->now += Milliseconds(300);
    this->WritePlan(this->Step());
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT(this->plan.groups.empty());
  }

  // Guards against members that wait for the stall timeout of a head that has certainly ended: it
  // was unreachable first, and then another runner answered at its address.
  void UnreachableHeadThatIsReplacedReleasesMembers() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->MakeUnreachable(group.members.front());
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->plan.groups.size());
    this->planner.OnProbeResult(group.members.front(), RunnerProbeResult::kReplaced, this->now);
    this->now += Milliseconds(300);
    this->WritePlan(this->Step());
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT(this->plan.groups.empty());
  }

  // Guards against reassigning members of a leaving head that no longer listens but still finishes
  // its requests. A store outage hid that it was leaving (fault-injection run cb80-23 of
  // speilbod-prod: a runner in two groups).
  void UnreachableHeadAfterOwnerChangeKeepsMembers() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->AddRunners("d1", 1);
    this->planner.OnOwnershipGained();
    this->planner.OnProbeResult(group.members.front(), RunnerProbeResult::kUnreachable, this->now);
    for (int i = 0; i < 20; ++i) {
      this->now += Milliseconds(100);
      this->WritePlan(this->Step());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->plan.groups.size());
    CPPUNIT_ASSERT(this->plan.groups.front().dissolving);
  }

  // Guards against giving a member away that is taken for one that has left, because its latest
  // join was carried out and not answered (review/2, TWO).
  void MemberWhoseJoinWasNotAnsweredIsOrderedToLeaveAgain() {
    const PlannedGroup first = this->OpenGroup(kSmall);
    this->MakeUnreachable(first.members.front());
    this->WritePlan(this->Step());
    this->ConfirmOrders(RunnerOrderKind::kLeave);
    for (const VmId& id : first.members) this->SetMembership(id, std::nullopt);
    this->MakeReachable(first.members.front());
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT(!this->Orders(RunnerOrderKind::kJoin).empty());
    const PlannedGroup second = this->plan.groups.front();
    CPPUNIT_ASSERT(second.group != first.group);
    this->SetMembership(second.members[0], Member(second, 0, MembershipStage::kOpen));
    this->SetMembership(second.members[1], Member(second, 1, MembershipStage::kReady));
    this->Step();
    this->MakeUnreachable(second.members.front());
    this->WritePlan(this->Step());
    this->AddRunners("d1", 1);
    const auto leaves = this->Orders(RunnerOrderKind::kLeave);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaves.size());
    CPPUNIT_ASSERT(leaves.front().runner == second.members[1]);
    this->now += PlannerOptions().stall_timeout + Milliseconds(1000);
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT(this->plan.groups.front().group == second.group);
  }

  // Guards against giving the members of a head away that left its group and joined it again,
  // because the plan without the group was not written (TWO).
  void HeadThatLeftAndJoinedAgainKeepsMembers() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    const VmId& head = group.members[0];
    this->MakeUnreachable(group.members[1]);
    for (const RunnerOrder& order : this->Step().orders) this->planner.OnOrderDone(order);
    this->SetMembership(head, std::nullopt);
    this->MakeReachable(group.members[1]);
    CPPUNIT_ASSERT(!this->Orders(RunnerOrderKind::kJoin).empty());
    this->SetMembership(head, Member(group, 0, MembershipStage::kOpen));
    this->runners.at(group.members[1]).leaving = true;
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT(this->plan.groups.front().dissolving);
    CPPUNIT_ASSERT(!this->Step().proposal.has_value());
  }

  // Guards against a head that joins a new group while its previous one is still open (run
  // on a grown site: a runner in two groups).
  void UnplannedServingHeadIsOrderedToLeaveFirst() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->plan.groups.clear();
    this->AddRunners("d1", 1);
    this->planner.OnOwnershipGained();
    this->now += Milliseconds(1100);
    const PlannerOutput output = this->Step();
    const auto orders = GroupOrders(output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    CPPUNIT_ASSERT(orders.front().kind == RunnerOrderKind::kLeave);
    CPPUNIT_ASSERT(orders.front().runner == group.members.front());
    if (output.proposal) {
      for (const PlannedGroup& planned : output.proposal->groups) {
        CPPUNIT_ASSERT(std::find(planned.members.begin(), planned.members.end(),
                                 group.members.front()) == planned.members.end());
      }
    }
  }

  // Guards against a group that relies on a member that restarted, and lost its state, under the
  // same id.
  void RestartedMemberDissolvesGroup() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->runners.at(group.members[1]).started_ms = 77;
    CPPUNIT_ASSERT(this->Step().proposal->groups.front().dissolving);
  }

  // Guards against the loss of every group when entries expire in a store outage and return.
  void ExpiredEntryDissolvesGroupOnlyAfterGrace() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    const Runner kept = this->runners.at(group.members[1]);
    this->runners.erase(group.members[1]);
    CPPUNIT_ASSERT(!this->Step().proposal.has_value());
    this->now += Milliseconds(2000);
    CPPUNIT_ASSERT(!this->Step().proposal.has_value());
    this->runners[kept.id] = kept;
    CPPUNIT_ASSERT(!this->Step().proposal.has_value());
    this->runners.erase(kept.id);
    this->Step();
    this->now += Milliseconds(2300);
    CPPUNIT_ASSERT(this->Step().proposal->groups.front().dissolving);
  }

  // Guards against streams that are interrupted by a planned release.
  void LeavingMemberClosesGroupGracefully() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->runners.at(group.members[1]).leaving = true;
    const PlannerOutput output = this->Step();
    const auto orders = GroupOrders(output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    CPPUNIT_ASSERT(orders.front().kind == RunnerOrderKind::kClose);
  }

  // Guards against refused requests for one model, whose large groups were lost, while groups of
  // the other model are idle.
  void IdleGroupsAreDissolvedForModelShortOfCapacity() {
    this->AddRunners("d1", 10);
    this->demand = {{kSmall, 5}};
    this->WritePlan(this->Step());
    for (const PlannedGroup& group : this->plan.groups) this->JoinAll(group);
    this->StageAllModels();
    this->demand = {{kLarge, 1}, {kSmall, 1}};
    const PlannerOutput output = this->Step();
    const auto dissolving =
        std::count_if(output.proposal->groups.begin(), output.proposal->groups.end(),
                      [](const PlannedGroup& group) { return group.dissolving; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, dissolving);
  }

  // Guards against a shift that leaves both models short of capacity during a burst for both.
  void BusyGroupsAreNotDissolved() {
    this->AddRunners("d1", 10);
    this->demand = {{kSmall, 5}};
    this->WritePlan(this->Step());
    for (const PlannedGroup& group : this->plan.groups) this->JoinAll(group);
    this->StageAllModels();
    this->demand = {{kLarge, 1}, {kSmall, 3}};
    CPPUNIT_ASSERT(!this->Step().proposal.has_value());
  }

  // Guards against a model that keeps refusing callers while the other one holds a reserve
  // (odalaigh-fold-large, scale-1: 16 large groups for a demand of 38, and 94 small ones for 72).
  void ReserveOfOneModelServesTheOtherThatRefusesCallers() {
    this->AddRunners("d1", 10);
    this->demand = {{kSmall, 5}};
    this->WritePlan(this->Step());
    for (const PlannedGroup& group : this->plan.groups) this->JoinAll(group);
    this->StageAllModels();
    this->demand = {{kLarge, 1}, {kSmall, 2.6}};
    const PlannerOutput output = this->Step();
    CPPUNIT_ASSERT(output.proposal.has_value());
    const auto dissolving =
        std::count_if(output.proposal->groups.begin(), output.proposal->groups.end(),
                      [](const PlannedGroup& group) { return group.dissolving; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, dissolving);
  }

  // Guards against a large model without room for the loss of a member, while the small one is half
  // idle but holds a reserve (quiet-1 of zhw-limpetfall-grown: 3 large groups for a demand of 2.2).
  void ModelThatLosesCallersWithEachMemberGetsRunners() {
    this->AddRunners("d1", 10);
    this->demand = {{kSmall, 5}};
    this->WritePlan(this->Step());
    for (const PlannedGroup& group : this->plan.groups) this->JoinAll(group);
    this->StageAllModels();
    this->now += std::chrono::seconds(60);
    this->AddRunners("d2", 4);
    for (int i = 10; i < 14; ++i)
      this->runners.at(VmId("i-" + std::to_string(i))).staged = {kLarge};
    this->demand = {{kLarge, 0.95}, {kSmall, 2.4}};
    this->planner.OnOwnershipGained();
    this->WritePlan(this->Step());
    this->WritePlan(this->Step());
    const auto dissolving =
        std::count_if(this->plan.groups.begin(), this->plan.groups.end(),
                      [](const PlannedGroup& group) { return group.dissolving; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, dissolving);
  }

  // Guards against orders to runners that operators want to be left alone.
  void RunnersOfEvacuatedZoneGetNoOrders() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->planner.SetEvacuatedZones({ZoneId()});
    this->MakeUnreachable(group.members[1]);
    this->AddRunners("d1", 4);
    const PlannerOutput output = this->Step();
    CPPUNIT_ASSERT(output.orders.empty());
    CPPUNIT_ASSERT(!output.proposal.has_value());
  }

  // Guards against a model without capacity during an evacuation, and against groups that have to
  // be built again after it.
  void GroupsOfEvacuatedZoneAreReplacedElsewhereAndServeAgain() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    for (auto& [id, runner] : this->runners) runner.zone = ZoneId("evacuated");
    this->planner.SetEvacuatedZones({ZoneId("evacuated")});
    this->AddRunners("d2", 2);
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->plan.groups.size());
    CPPUNIT_ASSERT(this->plan.groups.front() == group);
    CPPUNIT_ASSERT(this->plan.groups.back().domain == DomainId("d2"));
  }

  // Guards against a new group that serves few requests because its head has just started.
  void ColdRunnerIsNotTheHead() {
    this->AddRunners("d1", 2);
    this->runners.at(VmId("i-0")).cold_until = this->now + std::chrono::seconds(60);
    this->demand = {{kSmall, 1}};
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT(this->plan.groups.front().members ==
                   (std::vector<VmId>{VmId("i-1"), VmId("i-0")}));
  }

  // Guards against a model whose groups can only become fewer, because runners that joined groups
  // of the other model have given up its weights.
  void MembersOfIdleModelStageWeightsOfModelShortOfCapacity() {
    const std::vector<RunnerOrder> orders =
        this->StageOrdersOfSmallGroups({{kLarge, 1}, {kSmall, 1}});
    CPPUNIT_ASSERT(!orders.empty());
    for (const RunnerOrder& order : orders) CPPUNIT_ASSERT(order.group.model == kLarge);
  }

  // Guards against loads of weights that serve no purpose.
  void BalancedModelsStageNoWeightsDuringTraffic() {
    CPPUNIT_ASSERT(this->StageOrdersOfSmallGroups({{kSmall, 1}}).empty());
  }

  // Guards against the members of a broken group that stay idle because the free runner in their
  // domain holds the weights of the other model (trouble-1 of zhw-limpetfall-grown: 58 of 155
  // runners idle, while callers were refused).
  void FreeRunnerStagesWeightsThatCompleteGroup() {
    this->AddRunners("d1", 4);
    for (int i = 0; i < 3; ++i) this->runners.at(VmId("i-" + std::to_string(i))).staged = {kLarge};
    this->runners.at(VmId("i-3")).staged = {kSmall};
    this->now += std::chrono::seconds(60);
    this->demand = {{kLarge, 2}};
    const std::vector<RunnerOrder> orders = this->Orders(RunnerOrderKind::kStage);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    CPPUNIT_ASSERT(orders.front().runner == VmId("i-3"));
    CPPUNIT_ASSERT(orders.front().group.model == kLarge);
  }

  // Guards against spare runners that all hold the weights of a small model, so that the loss of
  // one member of a large group leaves all its other members idle.
  void SpareRunnersReplaceLossesOfLargeGroupsFirst() {
    this->demand = {{kLarge, 1}, {kSmall, 1.1}};
    this->AddRunners("d1", 6);
    this->WritePlan(this->Step());
    for (const PlannedGroup& group : this->plan.groups) this->JoinAll(group);
    this->AddRunners("d1", 1);
    std::vector<ModelName> staged;
    for (const RunnerOrder& order : this->Orders(RunnerOrderKind::kStage)) {
      if (!this->runners.at(order.runner).membership) staged.push_back(order.group.model);
    }
    CPPUNIT_ASSERT(staged == std::vector<ModelName>{kLarge});
  }

  // Guards against a large model that loses its groups one by one, because the remaining members of
  // each join small groups (quiet-1 of odalaigh-fold-grown loses a single member every three
  // seconds).
  void SmallGroupIsDissolvedToCompleteLargeGroup() {
    const VmId lost = this->LoseMemberOfLargeGroup({{kLarge, 0.7}, {kSmall, 0.9}});
    this->WritePlan(this->Step());
    this->WritePlan(this->Step());
    std::size_t small = 0;
    for (const PlannedGroup& group : this->plan.groups) {
      if (group.model == kSmall && !group.dissolving) ++small;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, small);
    for (const PlannedGroup& group : this->plan.groups) {
      if (!group.dissolving) continue;
      for (const VmId& member : group.members) this->runners.at(member).membership.reset();
    }
    this->WritePlan(this->Step());
    const auto formed = std::find_if(
        this->plan.groups.begin(), this->plan.groups.end(), [](const PlannedGroup& group) {
          return group.model == kLarge && group.domain == DomainId("d1");
        });
    CPPUNIT_ASSERT(formed != this->plan.groups.end());
    CPPUNIT_ASSERT(std::find(formed->members.begin(), formed->members.end(), lost) ==
                   formed->members.end());
  }

  // Guards against remaining members of a large group that form small groups while a shift to the
  // large model is in progress in another domain.
  void RemainingMembersOfLargeGroupAreHeldForShift() {
    this->LoseMemberOfLargeGroup({{kLarge, 0.7}, {kSmall, 0.9}});
    for (int i = 0; i < 5; ++i) {
      this->WritePlan(this->Step());
      this->now += Milliseconds(100);
    }
    const auto joined =
        std::count_if(this->plan.groups.begin(), this->plan.groups.end(),
                      [](const PlannedGroup& group) { return group.model == kSmall; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, joined);
  }

  // Guards against dissolving small groups although the remaining members of a broken group, which
  // are released soon, and a free runner suffice for a large group.
  void SoonFreeRunnersPreventDissolvingSmallGroups() {
    this->LoseMemberOfLargeGroup({{kLarge, 0.7}, {kSmall, 0.9}}, 2);
    const auto dissolving = std::count_if(
        this->plan.groups.begin(), this->plan.groups.end(),
        [](const PlannedGroup& group) { return group.dissolving && group.model == kSmall; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, dissolving);
  }

  // Guards against runners held back for a large model that has spare capacity.
  void IdleLargeModelDoesNotHoldBackRunners() {
    this->LoseMemberOfLargeGroup({{kLarge, 0.3}, {kSmall, 2.5}});
    this->WritePlan(this->Step());
    const auto small = std::count_if(
        this->plan.groups.begin(), this->plan.groups.end(),
        [](const PlannedGroup& group) { return group.model == kSmall && !group.dissolving; });
    CPPUNIT_ASSERT(small > 3);
  }

  // Guards against more loads than the weight store allows when many runners appear at once.
  void LoadsAreRateLimited() {
    this->now += std::chrono::seconds(60);
    this->Step();
    this->now += std::chrono::seconds(10);
    this->AddRunners("d9", 60);
    std::size_t loads = 0;
    for (int i = 0; i < 50; ++i) {
      for (const RunnerOrder& order : this->Step().orders) {
        if (order.kind == RunnerOrderKind::kStage || order.kind == RunnerOrderKind::kJoin) ++loads;
      }
      this->now += Milliseconds(100);
    }
    CPPUNIT_ASSERT(loads > 0);
    CPPUNIT_ASSERT(loads <= 5 * 5 * 1.1 + 3);
  }

  // Guards against two successive owners that both use the load rate of the same window.
  void NewOwnerStartsWithoutLoadTokens() {
    this->now += std::chrono::seconds(60);
    this->Step();
    this->now += std::chrono::seconds(10);
    this->AddRunners("d9", 4);
    this->planner.OnOwnershipGained();
    CPPUNIT_ASSERT(this->Step().orders.empty());
  }

  // Guards against epochs that runners refuse, or that two groups get, because the store has lost
  // the newest plans (CONFIG).
  void EpochsRiseAcrossErasThoughPlansAreLost() {
    const PlanVersion restored{1, 5};
    const PlanVersion lost{1, 90'000};
    CPPUNIT_ASSERT(lost.sequence < restored.Next(2).sequence);
    CPPUNIT_ASSERT(lost < restored.Next(2));
    CPPUNIT_ASSERT(restored.Next(1) == (PlanVersion{1, 6}));
    CPPUNIT_ASSERT(restored.Next(2).sequence < restored.Next(4).sequence);
  }

  void PlanThatTheStoreHasLostIsWrittenAgain() {
    this->OpenGroup(kSmall);
    this->plan.revision = {2, 3};
    this->plan.is_stored = false;
    const auto proposal = this->Step().proposal;
    CPPUNIT_ASSERT(proposal.has_value());
    CPPUNIT_ASSERT(proposal->groups == this->plan.groups);
    CPPUNIT_ASSERT(proposal->is_stored);
    CPPUNIT_ASSERT(this->plan.version < proposal->version);
  }

  // Guards against an owner that dissolves a group because the restored plan is older (CONFIG).
  void CompleteGroupMissingInRestoredPlanGoesOn() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    for (auto& [id, runner] : this->runners) runner.loaded = {kSmall};
    this->plan.groups.clear();
    this->plan.revision = {2, 3};
    const PlannerOutput output = this->Step();
    CPPUNIT_ASSERT(GroupOrders(output).empty());
    CPPUNIT_ASSERT(output.proposal->groups == std::vector{group});
  }

  // Guards against orders by a plan that the owner may not be able to write.
  void AdoptedGroupIsOrderedOnlyOnceItsPlanIsWritten() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->runners.erase(group.members.back());
    this->plan.groups.clear();
    this->plan.revision = {2, 3};
    const PlannerOutput output = this->Step();
    CPPUNIT_ASSERT(output.proposal.has_value());
    CPPUNIT_ASSERT(GroupOrders(output).empty());
  }

  // Guards against a member whose head the owner does not know, and which still serves (TWO).
  void MemberOfUnknownHeadIsNotGivenAway() {
    const PlannedGroup group = this->OpenGroup(kLarge);
    this->runners.erase(group.members.front());
    this->plan.groups.clear();
    this->plan.revision = {2, 3};
    this->demand = {{kSmall, 5}};
    this->WritePlan(this->Step());
    for (int second = 0; second < 6; ++second) {
      for (const PlannedGroup& planned : this->plan.groups)
        CPPUNIT_ASSERT(planned.group == group.group && planned.dissolving);
      for (const RunnerOrder& order : this->Orders(RunnerOrderKind::kLeave)) {
        this->planner.OnOrderDone(order);
        this->SetMembership(order.runner, std::nullopt);
      }
    }
    this->now += Milliseconds(6000);
    this->WritePlan(this->Step());
    this->WritePlan(this->Step());
    CPPUNIT_ASSERT(this->plan.groups.front().model == kSmall);
  }

  // Guards against members that are given away because the entry of their head is that of a
  // restored store (TWO).
  void HeadWithoutConfirmedMembershipKeepsMembers() {
    const PlannedGroup group = this->OpenGroup(kSmall);
    this->plan.groups.front().dissolving = true;
    Runner& head = this->runners.at(group.members.front());
    head.membership.reset();
    head.is_confirmed = false;
    CPPUNIT_ASSERT(!this->Step().proposal);
    head.is_confirmed = true;
    CPPUNIT_ASSERT(this->Step().proposal);
  }

  // Guards against untested sequences of losses, returns and shifts, with seeded random histories.
  void RandomHistoriesKeepEveryRunnerInAtMostOneGroup() {
    for (unsigned seed = 1; seed <= 60; ++seed) this->RunRandomHistory(seed);
  }

 private:
  void AddRunners(const std::string& domain, int count) {
    for (int i = 0; i < count; ++i) {
      Runner runner;
      runner.id = VmId("i-" + std::to_string(this->runners.size()));
      runner.service = kService;
      runner.domain = DomainId(domain);
      runner.started_ms = 1;
      this->runners.emplace(runner.id, runner);
    }
    // Groups are formed once the new runners have been listed for the settle time.
    this->Step();
    this->now += Milliseconds(500);
  }

  PlannerOutput Step() {
    return this->planner.Step(this->runners, this->plan, this->config, this->demand, this->now);
  }

  void WritePlan(const PlannerOutput& output) {
    if (!output.proposal) return;
    this->plan = *output.proposal;
    this->plan.revision.number += 1;
  }

  std::vector<RunnerOrder> Orders(RunnerOrderKind kind) {
    this->now += Milliseconds(1100);
    std::vector<RunnerOrder> found;
    for (const RunnerOrder& order : this->Step().orders) {
      if (order.kind == kind) found.push_back(order);
    }
    return found;
  }

  void Join(const PlannedGroup& group, std::size_t rank, MembershipStage stage) {
    this->runners.at(group.members[rank]).membership =
        RunnerMembership{group.group, group.epoch, static_cast<int>(rank), stage};
  }

  void JoinAll(const PlannedGroup& group) {
    for (std::size_t i = 0; i < group.members.size(); ++i) {
      this->Join(group, i, i == 0 ? MembershipStage::kOpen : MembershipStage::kReady);
    }
  }

  /** Plans one group of a model and opens it. */
  PlannedGroup OpenGroup(const ModelName& model) {
    this->demand = {{model, 1}};
    this->AddRunners("d1", model == kLarge ? 4 : 2);
    this->WritePlan(this->Step());
    PlannedGroup group = this->plan.groups.front();
    this->JoinAll(group);
    // Answers the orders of this step, so that they do not block later ones.
    for (const RunnerOrder& order : this->Step().orders) this->planner.OnOrderDone(order);
    this->now += Milliseconds(1100);
    this->planner.OnOwnershipGained();
    return group;
  }

  static std::vector<RunnerOrder> GroupOrders(const PlannerOutput& output) {
    std::vector<RunnerOrder> found;
    for (const RunnerOrder& order : output.orders) {
      if (order.kind != RunnerOrderKind::kStage) found.push_back(order);
    }
    return found;
  }

  /**
   * Opens one large and three small groups in domain "d1" and a large group in "d0". Then ends the
   * period of unlimited loads and makes one member of the large group in "d1" unreachable. Adds
   * `spares` runners to "d1" that are in no group and can join a large one. Returns the lost
   * member.
   */
  VmId LoseMemberOfLargeGroup(const std::map<ModelName, double>& new_demand,
                              std::size_t spares = 0) {
    this->demand = {{kLarge, 0.9}};
    this->AddRunners("d0", 4);
    this->WritePlan(this->Step());
    this->demand = {{kLarge, 1.9}, {kSmall, 3}};
    this->AddRunners("d1", 10);
    this->WritePlan(this->Step());
    for (const PlannedGroup& group : this->plan.groups) this->JoinAll(group);
    this->StageAllModels();
    this->Step();
    this->now += std::chrono::seconds(60);
    const std::size_t first_spare = this->runners.size();
    this->AddRunners("d1", static_cast<int>(spares));
    for (std::size_t i = first_spare; i < this->runners.size(); ++i) {
      this->runners.at(VmId("i-" + std::to_string(i))).staged = {kLarge};
    }
    this->demand = new_demand;
    this->planner.OnOwnershipGained();
    const auto large = std::find_if(
        this->plan.groups.begin(), this->plan.groups.end(), [](const PlannedGroup& group) {
          return group.model == kLarge && group.domain == DomainId("d1");
        });
    const PlannedGroup broken = *large;
    VmId lost = broken.members.back();
    this->MakeUnreachable(lost);
    this->WritePlan(this->Step());
    this->runners.at(broken.members.front()).membership.reset();
    this->runners.erase(lost);
    return lost;
  }

  /** Opens small groups whose members hold no other weights. Returns the orders to stage weights
   * that follow after the period of unlimited loads. */
  std::vector<RunnerOrder> StageOrdersOfSmallGroups(const std::map<ModelName, double>& new_demand) {
    this->AddRunners("d1", 10);
    this->demand = {{kSmall, 5}};
    this->WritePlan(this->Step());
    for (const PlannedGroup& group : this->plan.groups) this->JoinAll(group);
    for (auto& [id, runner] : this->runners) runner.staged = {kSmall};
    this->now += std::chrono::seconds(60);
    this->planner.OnOwnershipGained();
    this->demand = new_demand;
    this->Step();
    this->now += std::chrono::seconds(1);
    return this->Orders(RunnerOrderKind::kStage);
  }

  void StageAllModels() {
    for (auto& [id, runner] : this->runners) runner.staged = {kLarge, kSmall};
  }

  static RunnerMembership Member(const PlannedGroup& group, int rank, MembershipStage stage) {
    return {group.group, group.epoch, rank, stage};
  }

  /** Writes the entry of a runner with another membership. */
  void SetMembership(const VmId& id, std::optional<RunnerMembership> membership) {
    Runner& runner = this->runners.at(id);
    runner.membership = std::move(membership);
    runner.revision.number += 1;
  }

  /** Lets all runners confirm the orders of this kind. */
  void ConfirmOrders(RunnerOrderKind kind) {
    for (const RunnerOrder& order : this->Orders(kind)) this->planner.OnOrderDone(order);
  }

  void MakeReachable(const VmId& runner) {
    this->planner.OnProbeResult(runner, RunnerProbeResult::kRunning, this->now);
    this->now += Milliseconds(300);
  }

  void MakeUnreachable(const VmId& runner) {
    this->planner.OnProbeResult(runner, RunnerProbeResult::kUnreachable, this->now);
    this->now += Milliseconds(300);
  }

  /** Applies orders to runners as the engines do, with random lost orders and restarts. */
  void RunRandomHistory(unsigned seed) {
    GroupPlannerTest simulation;
    std::mt19937 random(seed);
    simulation.AddRunners("d1", 10);
    simulation.AddRunners("d2", 9);
    for (int round = 0; round < 300; ++round) {
      simulation.now += Milliseconds(100);
      const PlannerOutput output = simulation.Step();
      for (const RunnerOrder& order : output.orders) {
        const bool lost = random() % 10 == 0;
        if (!lost) simulation.ApplyOrder(order);
      }
      if (random() % 8 != 0) simulation.WritePlan(output);
      for (auto& [id, runner] : simulation.runners) {
        if (runner.membership && runner.membership->stage == MembershipStage::kJoining) {
          runner.membership->stage = MembershipStage::kReady;
        }
      }
      if (random() % 25 == 0) {
        auto victim = std::next(simulation.runners.begin(),
                                static_cast<std::ptrdiff_t>(random() % simulation.runners.size()));
        victim->second.started_ms += 1;
        victim->second.membership.reset();
      }
      simulation.demand = {{kLarge, 1 + random() % 3}, {kSmall, 1 + random() % 6}};
      simulation.CheckEveryRunnerIsInAtMostOneGroup();
    }
  }

  void ApplyOrder(const RunnerOrder& order) {
    Runner& runner = this->runners.at(order.runner);
    if (runner.started_ms != order.started_ms) return;
    auto& membership = runner.membership;
    const bool member = membership && membership->group == order.group.group &&
                        membership->epoch == order.group.epoch;
    switch (order.kind) {
      case RunnerOrderKind::kJoin: {
        // Documented guarantee: no join while the runner's own group serves.
        CPPUNIT_ASSERT(!membership || membership->rank != 0 ||
                       (membership->stage != MembershipStage::kOpen &&
                        membership->stage != MembershipStage::kClosing));
        const auto rank =
            std::find(order.group.members.begin(), order.group.members.end(), order.runner) -
            order.group.members.begin();
        membership = RunnerMembership{order.group.group, order.group.epoch, static_cast<int>(rank),
                                      MembershipStage::kJoining};
        return;
      }
      case RunnerOrderKind::kOpen:
        if (member) this->CheckAllMembersJoined(order.group);
        if (member) membership->stage = MembershipStage::kOpen;
        return;
      case RunnerOrderKind::kClose:
        if (member) membership->stage = MembershipStage::kReady;
        return;
      case RunnerOrderKind::kLeave:
        if (member) membership.reset();
        return;
      case RunnerOrderKind::kStage:
        runner.staged = {order.group.model};
        return;
      case RunnerOrderKind::kProbe:
        this->planner.OnProbeResult(order.runner, RunnerProbeResult::kRunning, this->now);
        return;
    }
  }

  void CheckAllMembersJoined(const PlannedGroup& group) const {
    for (const VmId& member : group.members) {
      const auto& membership = this->runners.at(member).membership;
      CPPUNIT_ASSERT(membership && membership->group == group.group);
    }
  }

  void CheckEveryRunnerIsInAtMostOneGroup() const {
    std::set<VmId> seen;
    for (const PlannedGroup& group : this->plan.groups) {
      for (const VmId& member : group.members) CPPUNIT_ASSERT(seen.insert(member).second);
    }
  }

  GatewayConfig config = testing::PlannerConfig();
  std::map<VmId, Runner> runners;
  std::map<ModelName, double> demand{{kLarge, 1}, {kSmall, 2}};
  GroupPlan plan;
  TimePoint now{std::chrono::seconds(1000)};
  GroupPlanner planner{[] {
    PlannerOptions options;
    options.unlimited_loads_until = TimePoint(std::chrono::seconds(1030));
    return options;
  }()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupPlannerTest);

}  // namespace
}  // namespace limpetfall
