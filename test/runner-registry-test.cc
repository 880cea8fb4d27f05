#include "core/runner-registry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

class RunnerRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunnerRegistryTest);
  CPPUNIT_TEST(WrittenEntryAppliesAtOnce);
  CPPUNIT_TEST(RestoredEntryWithoutNewsAppliesAtOnce);
  CPPUNIT_TEST(EarlierMembershipDoesNotReplaceTheKnownOne);
  CPPUNIT_TEST(LaterMembershipOfTheRestoredStoreApplies);
  CPPUNIT_TEST(MembershipWrittenSinceTheKnownOneApplies);
  CPPUNIT_TEST(LeavingUpstreamStaysLeavingAfterRestore);
  CPPUNIT_TEST(UpstreamThatLeavesByTheRestoredStoreLeaves);
  CPPUNIT_TEST(LaterProcessApplies);
  CPPUNIT_TEST(UpstreamMissingInTheCopyIsRemovedUnlessItWritesAgain);
  CPPUNIT_TEST(UpstreamMissingInTheCopyStaysWhileTheStoreIsAway);
  CPPUNIT_TEST(UpstreamThatWritesBeforeAnotherRestoreAppliesAtOnce);
  CPPUNIT_TEST(RemovedUpstreamDoesNotComeBackBeforeItsEntryWouldExpire);
  CPPUNIT_TEST(UnknownUpstreamOfTheCopyAppliesAtOnce);
  CPPUNIT_TEST(SecondRestoreHoldsBackAgain);
  CPPUNIT_TEST(HashFindsKnownUpstreamsOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WrittenEntryAppliesAtOnce() {
    this->Write("i-1", true);
    CPPUNIT_ASSERT(this->Find("i-1")->leaving);
    this->registry.Remove(VmId("i-1"), ChangeOrigin::kWritten, At(1));
    CPPUNIT_ASSERT(this->Find("i-1") == nullptr);
  }

  void RestoredEntryWithoutNewsAppliesAtOnce() {
    this->Write("i-1", false);
    Runner restored = Entry("i-1", false);
    restored.revision = {2, 3};
    this->registry.Apply(restored, ChangeOrigin::kRestored, At(0));
    CPPUNIT_ASSERT(this->Find("i-1")->revision == (StoreRevision{2, 3}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->registry.held_count());
  }

  // Guards against a head that counts as one that has left its group, because the copy is from
  // before it joined (TWO).
  void EarlierMembershipDoesNotReplaceTheKnownOne() {
    for (const auto& earlier :
         {std::optional<RunnerMembership>(), Member(8, MembershipStage::kOpen),
          Member(9, MembershipStage::kReady)}) {
      this->WriteMember(Member(9, MembershipStage::kOpen));
      this->RestoreMember(earlier);
      const Runner& runner = *this->Find("i-1");
      CPPUNIT_ASSERT(runner.membership == Member(9, MembershipStage::kOpen));
      CPPUNIT_ASSERT(!runner.is_confirmed);
      CPPUNIT_ASSERT(this->registry.Unconfirmed() == std::vector{VmId("i-1")});
      this->registry.Confirm(VmId("i-1"), 1, earlier);
      CPPUNIT_ASSERT(this->Find("i-1")->membership == earlier);
      CPPUNIT_ASSERT(this->registry.Unconfirmed().empty());
    }
  }

  // Guards against groups that get no requests, because their heads wrote before the nodes read the
  // restored store.
  void LaterMembershipOfTheRestoredStoreApplies() {
    for (const auto& later :
         {Member(10, MembershipStage::kReady), Member(9, MembershipStage::kOpen)}) {
      this->WriteMember(Member(9, MembershipStage::kReady));
      this->RestoreMember(later);
      CPPUNIT_ASSERT(this->Find("i-1")->membership == later);
      CPPUNIT_ASSERT(this->Find("i-1")->is_confirmed);
    }
  }

  // Guards against a group that a node does not use, because a member that joined while the store
  // was away wrote its entry before the node read the restored store. A member that is ready does
  // not write again.
  void MembershipWrittenSinceTheKnownOneApplies() {
    Runner idle = Entry("i-1", false);
    idle.revision = {1, 100};
    this->registry.Apply(idle, ChangeOrigin::kWritten, At(0));
    Runner joined = idle;
    joined.membership = Member(9, MembershipStage::kReady);
    joined.revision = {2, 150};
    this->registry.Apply(joined, ChangeOrigin::kRestored, At(0));
    this->registry.ApplyDue(At(60'000), At(60'000));
    CPPUNIT_ASSERT(this->Find("i-1")->membership == joined.membership);
  }

  // Guards against requests to an upstream whose notice the store has lost (DRAIN).
  void LeavingUpstreamStaysLeavingAfterRestore() {
    this->Write("i-1", true);
    this->Restore("i-1", false, 0);
    CPPUNIT_ASSERT(this->Find("i-1")->leaving);
    this->registry.ApplyDue(At(5000), At(5000));
    CPPUNIT_ASSERT(this->Find("i-1")->leaving);
  }

  // Guards against requests to an upstream that has given notice before the nodes read the restored
  // store (DRAIN).
  void UpstreamThatLeavesByTheRestoredStoreLeaves() {
    this->WriteMember(Member(9, MembershipStage::kOpen));
    this->Restore("i-1", true, 0);
    CPPUNIT_ASSERT(this->Find("i-1")->leaving);
    CPPUNIT_ASSERT(this->Find("i-1")->membership.has_value());
  }

  void LaterProcessApplies() {
    this->Write("i-1", true);
    Runner restarted = Entry("i-1", false);
    restarted.started_ms = 2;
    this->registry.Apply(restarted, ChangeOrigin::kRestored, At(0));
    CPPUNIT_ASSERT(!this->Find("i-1")->leaving);
    this->Restore("i-1", true, 0);
    CPPUNIT_ASSERT(!this->Find("i-1")->leaving);
  }

  void UpstreamMissingInTheCopyIsRemovedUnlessItWritesAgain() {
    this->Write("i-1", false);
    this->Write("i-2", false);
    for (const char* id : {"i-1", "i-2"})
      this->registry.Remove(VmId(id), ChangeOrigin::kRestored, At(0));
    this->registry.ApplyDue(At(2000), At(2000));
    CPPUNIT_ASSERT(this->Find("i-1") != nullptr);
    this->Write("i-1", false);
    this->registry.ApplyDue(At(2200), At(2200));
    CPPUNIT_ASSERT(this->Find("i-1") != nullptr);
    CPPUNIT_ASSERT(this->Find("i-2") == nullptr);
  }

  // Guards against sound upstreams that are given up because the store goes away again before they
  // can write.
  void UpstreamMissingInTheCopyStaysWhileTheStoreIsAway() {
    this->Write("i-1", false);
    this->registry.Remove(VmId("i-1"), ChangeOrigin::kRestored, At(0));
    this->registry.ApplyDue(At(5000), At(1000));
    CPPUNIT_ASSERT(this->Find("i-1") != nullptr);
    this->registry.ApplyDue(At(5100), At(2200));
    CPPUNIT_ASSERT(this->Find("i-1") == nullptr);
  }

  // Guards against a head that serves and counts as removed, because it wrote its entry again just
  // before the next restore.
  void UpstreamThatWritesBeforeAnotherRestoreAppliesAtOnce() {
    this->Write("i-1", false);
    this->registry.Remove(VmId("i-1"), ChangeOrigin::kRestored, At(0));
    this->registry.ApplyDue(At(2300), At(2300));
    CPPUNIT_ASSERT(this->Find("i-1") == nullptr);
    this->Restore("i-1", false, 3000);
    CPPUNIT_ASSERT(this->Find("i-1") != nullptr);
  }

  // Guards against requests to an upstream that is gone and that the copy still lists (DRAIN).
  void RemovedUpstreamDoesNotComeBackBeforeItsEntryWouldExpire() {
    this->Write("i-1", false);
    this->registry.Remove(VmId("i-1"), ChangeOrigin::kWritten, At(0));
    this->Restore("i-1", false, 1000);
    this->registry.ApplyDue(At(8900), At(8900));
    CPPUNIT_ASSERT(this->Find("i-1") == nullptr);
    this->registry.ApplyDue(At(9000), At(9000));
    CPPUNIT_ASSERT(this->Find("i-1") != nullptr);
    this->registry.Remove(VmId("i-1"), ChangeOrigin::kWritten, At(9000));
    this->Restore("i-1", false, 10000);
    this->registry.Remove(VmId("i-1"), ChangeOrigin::kWritten, At(12000));
    this->registry.ApplyDue(At(30000), At(30000));
    CPPUNIT_ASSERT(this->Find("i-1") == nullptr);
  }

  void UnknownUpstreamOfTheCopyAppliesAtOnce() {
    this->Restore("i-1", false, 0);
    CPPUNIT_ASSERT(this->Find("i-1") != nullptr);
  }

  void SecondRestoreHoldsBackAgain() {
    this->Write("i-1", false);
    this->registry.Remove(VmId("i-1"), ChangeOrigin::kRestored, At(0));
    this->registry.Remove(VmId("i-1"), ChangeOrigin::kRestored, At(2000));
    this->registry.ApplyDue(At(2300), At(2300));
    CPPUNIT_ASSERT(this->Find("i-1") != nullptr);
    this->Restore("i-1", false, 2500);
    this->registry.ApplyDue(At(9000), At(9000));
    CPPUNIT_ASSERT(this->Find("i-1") != nullptr);
  }

  void HashFindsKnownUpstreamsOnly() {
    this->Write("i-1", false);
    const std::uint64_t hash = UpstreamHash(VmId("i-1"));
    CPPUNIT_ASSERT(*this->registry.FindByHash(hash) == VmId("i-1"));
    this->registry.Remove(VmId("i-1"), ChangeOrigin::kWritten, At(0));
    CPPUNIT_ASSERT(this->registry.FindByHash(hash) == nullptr);
  }

 private:
  static TimePoint At(int ms) { return TimePoint(std::chrono::hours(1)) + Milliseconds(ms); }

  static Runner Entry(const std::string& id, bool leaving) {
    Runner runner;
    runner.id = VmId(id);
    runner.started_ms = 1;
    runner.leaving = leaving;
    return runner;
  }

  void Write(const std::string& id, bool leaving) {
    this->registry.Apply(Entry(id, leaving), ChangeOrigin::kWritten, At(0));
  }

  void Restore(const std::string& id, bool leaving, int at_ms) {
    this->registry.Apply(Entry(id, leaving), ChangeOrigin::kRestored, At(at_ms));
  }

  static std::optional<RunnerMembership> Member(Generation epoch, MembershipStage stage) {
    return RunnerMembership{GroupId("g" + std::to_string(epoch)), epoch, 0, stage};
  }

  void WriteMember(const std::optional<RunnerMembership>& membership) {
    Runner runner = Entry("i-1", false);
    runner.membership = membership;
    this->registry.Apply(runner, ChangeOrigin::kWritten, At(0));
  }

  void RestoreMember(const std::optional<RunnerMembership>& membership) {
    Runner runner = Entry("i-1", false);
    runner.membership = membership;
    this->registry.Apply(runner, ChangeOrigin::kRestored, At(0));
  }

  [[nodiscard]] const Runner* Find(const std::string& id) const {
    const auto found = this->registry.runners().find(VmId(id));
    return found == this->registry.runners().end() ? nullptr : &found->second;
  }

  RunnerRegistry registry{RunnerRegistryOptions()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerRegistryTest);

}  // namespace
}  // namespace limpetfall
