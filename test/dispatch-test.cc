#include "core/dispatch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

class DispatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchTest);
  CPPUNIT_TEST(OnlyWholeOpenGroupsAreChosen);
  CPPUNIT_TEST(LeavingMemberClosesTheGroup);
  CPPUNIT_TEST(DissolvingGroupIsNotChosen);
  CPPUNIT_TEST(MemberOfAnotherEpochIsNoMember);
  CPPUNIT_TEST(LoadOfAllNodesCounts);
  CPPUNIT_TEST(FullGroupsTakeNothing);
  CPPUNIT_TEST(NearGroupWinsWhenLoadIsEqual);
  CPPUNIT_TEST(LossTellsEveryRequestThere);
  CPPUNIT_TEST(SuspendedUpstreamGetsOneTrial);
  CPPUNIT_TEST(RepeatedLossSuspendsLonger);
  CPPUNIT_TEST(NewLifeOfARunnerStartsClean);
  CPPUNIT_TEST(LoadOfASilentNodeIsForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests to a group that lost a member (a member vanishes from the store).
  void OnlyWholeOpenGroupsAreChosen() {
    this->Open("h1", {"h1", "m1"});
    CPPUNIT_ASSERT(this->Choose().has_value());
    this->runners.erase(VmId("m1"));
    this->Update(0);
    CPPUNIT_ASSERT(this->Choose().has_value());  // Entries lapse with the store and return.
    this->Update(1100);
    CPPUNIT_ASSERT(!this->Choose(1100).has_value());
  }

  // Guards against new work for a group that is about to lose a member (drain).
  void LeavingMemberClosesTheGroup() {
    this->Open("h1", {"h1", "m1"});
    this->runners[VmId("m1")].leaving = true;
    this->Update(0);
    CPPUNIT_ASSERT(!this->Choose().has_value());
  }

  // Guards against new work for a group that makes way for another model.
  void DissolvingGroupIsNotChosen() {
    this->Open("h1", {"h1", "m1"});
    this->plan.groups.front().dissolving = true;
    this->Update(0);
    CPPUNIT_ASSERT(!this->Choose().has_value());
  }

  // Guards against a group whose member joined under an older epoch.
  void MemberOfAnotherEpochIsNoMember() {
    this->Open("h1", {"h1", "m1"});
    this->runners[VmId("m1")].membership->epoch = 1;
    this->Update(0);
    CPPUNIT_ASSERT(!this->Choose().has_value());
  }

  // Guards against nodes that fill the same group together (burst through all nodes).
  void LoadOfAllNodesCounts() {
    this->Open("h1", {"h1", "m1"});
    this->Open("h2", {"h2", "m2"});
    this->table.SetPeerLoad(NodeId("n2"), {{VmId("h1"), 9}}, At(0));
    for (int i = 0; i < 8; ++i) {
      this->held.push_back(*this->Choose());
      CPPUNIT_ASSERT(this->held.back().upstream() == VmId("h2"));
    }
  }

  // Guards against requests that wait inside an engine while their order is out of our hands.
  void FullGroupsTakeNothing() {
    this->Open("h1", {"h1", "m1"});
    for (int i = 0; i < 17; ++i) this->held.push_back(*this->Choose());
    CPPUNIT_ASSERT(!this->Choose().has_value());
    this->held.pop_back();
    CPPUNIT_ASSERT(this->Choose().has_value());
  }

  // Guards against traffic between zones that no load requires.
  void NearGroupWinsWhenLoadIsEqual() {
    this->Open("h1", {"h1", "m1"}, "far");
    this->Open("h2", {"h2", "m2"}, "near");
    CPPUNIT_ASSERT(this->Choose()->upstream() == VmId("h2"));
  }

  // Guards against streams that stay on a dead group after one of them found out (member goes
  // dark).
  void LossTellsEveryRequestThere() {
    struct Listener : LossListener {
      int told = 0;
      void OnUpstreamLost() override { ++this->told; }
    };
    this->Open("h1", {"h1", "m1"});
    Listener first;
    Listener second;
    const auto a = this->table.Choose(this->request, &first, At(0));
    { const auto b = this->table.Choose(this->request, &second, At(0)); }
    this->table.OnLost(VmId("h1"), At(0));
    CPPUNIT_ASSERT_EQUAL(1, first.told);
    CPPUNIT_ASSERT_EQUAL(0, second.told);
    CPPUNIT_ASSERT(!this->Choose(999).has_value());
  }

  // Guards against a crowd of requests at an upstream that is still dead (flapping).
  void SuspendedUpstreamGetsOneTrial() {
    this->Open("h1", {"h1", "m1"});
    this->table.OnLost(VmId("h1"), At(0));
    const auto trial = this->Choose(1001);
    CPPUNIT_ASSERT(trial.has_value());
    CPPUNIT_ASSERT(!this->Choose(1001).has_value());
    this->table.OnProgress(*trial, At(1100));
    CPPUNIT_ASSERT(this->Choose(1100).has_value());
  }

  // Guards against an upstream that is trusted anew every second (flapping).
  void RepeatedLossSuspendsLonger() {
    this->Open("h1", {"h1", "m1"});
    this->table.OnLost(VmId("h1"), At(0));
    this->table.OnLost(VmId("h1"), At(1001));
    CPPUNIT_ASSERT(!this->Choose(2900).has_value());
    CPPUNIT_ASSERT(this->Choose(3002).has_value());
  }

  // Guards against a restarted upstream that is passed over for its last life.
  void NewLifeOfARunnerStartsClean() {
    this->Open("h1", {"h1", "m1"});
    this->table.OnLost(VmId("h1"), At(0));
    this->runners[VmId("h1")].started_ms = 99;
    this->Update(0);
    CPPUNIT_ASSERT(this->Choose().has_value());
  }

  // Guards against groups that look full because a dead node once used them.
  void LoadOfASilentNodeIsForgotten() {
    this->Open("h1", {"h1", "m1"});
    this->table.SetPeerLoad(NodeId("n2"), {{VmId("h1"), 17}}, At(0));
    CPPUNIT_ASSERT(!this->Choose(100).has_value());
    CPPUNIT_ASSERT(this->Choose(1600).has_value());
  }

 private:
  static TimePoint At(int ms) { return TimePoint(std::chrono::seconds(100)) + Milliseconds(ms); }

  /** Adds an open group; `members` begins with the head. */
  void Open(const std::string& name, const std::vector<std::string>& members,
            const std::string& zone = "near") {
    PlannedGroup group;
    group.group = GroupId(name);
    group.epoch = 5;
    group.service = this->request.service;
    group.model = this->request.model;
    for (const std::string& member : members) {
      Runner runner;
      runner.id = VmId(member);
      runner.service = this->request.service;
      runner.address = "10.0.0.1:1";
      runner.zone = ZoneId(zone);
      const bool head = member == members.front();
      runner.membership = {GroupId(name), 5, head ? 0 : 1,
                           head ? MembershipStage::kOpen : MembershipStage::kReady};
      this->runners[runner.id] = runner;
      group.members.push_back(runner.id);
      group.started_ms.push_back(0);
    }
    this->plan.groups.push_back(group);
    this->Update(0);
  }

  void Update(int ms) {
    this->table.Update(this->runners, this->plan, {{this->request.service, 17}}, At(ms));
  }

  std::optional<DispatchTicket> Choose(int ms = 0) {
    return this->table.Choose(this->request, nullptr, At(ms));
  }

  DispatchTable table{DispatchOptions{ZoneId("near")}};
  std::map<VmId, Runner> runners;
  GroupPlan plan;
  DispatchRequest request{ServiceName("folds"), ModelName("m0"), {}};
  std::vector<DispatchTicket> held;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchTest);

}  // namespace
}  // namespace limpetfall
