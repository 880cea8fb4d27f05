#include "core/quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

using std::chrono::minutes;

constexpr std::uint64_t kRequest = 42;

class QuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(FingerprintCoversModelVersionPromptAndParameters);
  CPPUNIT_TEST(SecondLossQuarantinesForTenMinutes);
  CPPUNIT_TEST(RepeatedLossOfSameGroupCountsOnce);
  CPPUNIT_TEST(SuccessClearsMarkOnAllNodes);
  CPPUNIT_TEST(TrialQuarantinesRequestOnOtherNodes);
  CPPUNIT_TEST(OnlyOneOfTwoConcurrentTrialsMayStart);
  CPPUNIT_TEST(AbandonedTrialLeavesRequestSuspect);
  CPPUNIT_TEST(ConcurrentLossesOfDifferentGroupsQuarantine);
  CPPUNIT_TEST(ConcurrentLossesOfSameGroupCountOnce);
  CPPUNIT_TEST(OlderMarkIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against sharing a mark between requests with different inputs.
  void FingerprintCoversModelVersionPromptAndParameters() {
    CompletionRequest request;
    request.model = ModelName("folds");
    request.prompt = "fold";
    const ModelVersion version("1");
    const std::uint64_t plain = Fingerprint(request, version);
    CompletionRequest other = request;
    other.seed = 1;
    CPPUNIT_ASSERT(Fingerprint(other, version) != plain);
    other = request;
    other.max_tokens = 1;
    CPPUNIT_ASSERT(Fingerprint(other, version) != plain);
    other = request;
    other.prompt = "fold ";
    CPPUNIT_ASSERT(Fingerprint(other, version) != plain);
    CPPUNIT_ASSERT(Fingerprint(request, ModelVersion("2")) != plain);
    other = request;
    other.id = RequestId("another");
    other.team = TeamName("another");
    CPPUNIT_ASSERT_EQUAL(plain, Fingerprint(other, version));
  }

  // Guards against losing a third group to one request, and against a quarantine without end.
  void SecondLossQuarantinesForTenMinutes() {
    (void)this->a.OnLoss(kRequest, Group("g1"), this->now);
    CPPUNIT_ASSERT(this->a.Check(kRequest, this->now) == QuarantineStatus::kSuspect);
    (void)this->a.OnLoss(kRequest, Group("g2"), this->now);
    CPPUNIT_ASSERT(this->a.Check(kRequest, this->now) == QuarantineStatus::kQuarantined);
    CPPUNIT_ASSERT(!this->a.BeginTrial(kRequest, this->now));
    CPPUNIT_ASSERT(this->a.Check(kRequest, this->now + minutes(10)) == QuarantineStatus::kNone);
  }

  // Guards against quarantining every request that was sent twice to a lost group.
  void RepeatedLossOfSameGroupCountsOnce() {
    (void)this->a.OnLoss(kRequest, Group("g1"), this->now);
    (void)this->a.OnLoss(kRequest, Group("g1"), this->now);
    CPPUNIT_ASSERT(this->a.Check(kRequest, this->now) == QuarantineStatus::kSuspect);
  }

  // Guards against a request that stays suspect after it was completed.
  void SuccessClearsMarkOnAllNodes() {
    this->b.Merge(this->a.OnLoss(kRequest, Group("g1"), this->now), this->now);
    const auto cleared = this->a.OnSuccess(kRequest, this->now);
    CPPUNIT_ASSERT(cleared.has_value());
    this->b.Merge(*cleared, this->now);
    CPPUNIT_ASSERT(this->b.Check(kRequest, this->now) == QuarantineStatus::kNone);
    CPPUNIT_ASSERT(!this->a.OnSuccess(kRequest, this->now).has_value());
  }

  // Guards against running a suspect request on another node during its trial, or after the node
  // that ran the trial has failed.
  void TrialQuarantinesRequestOnOtherNodes() {
    this->b.Merge(this->a.OnLoss(kRequest, Group("g1"), this->now), this->now);
    const SharedEntry trial = this->a.BeginTrial(kRequest, this->now).value();
    this->b.Merge(trial, this->now);
    CPPUNIT_ASSERT(this->a.MayStartTrial(trial));
    CPPUNIT_ASSERT(this->b.Check(kRequest, this->now) == QuarantineStatus::kQuarantined);
  }

  // Guards against two nodes that both run the trial of a request.
  void OnlyOneOfTwoConcurrentTrialsMayStart() {
    this->b.Merge(this->a.OnLoss(kRequest, Group("g1"), this->now), this->now);
    const SharedEntry first = this->a.BeginTrial(kRequest, this->now).value();
    const SharedEntry second = this->b.BeginTrial(kRequest, this->now).value();
    this->a.Merge(second, this->now);
    this->b.Merge(first, this->now);
    CPPUNIT_ASSERT(this->a.MayStartTrial(first) != this->b.MayStartTrial(second));
  }

  // Guards against quarantining a request whose trial was refused before it ran.
  void AbandonedTrialLeavesRequestSuspect() {
    this->b.Merge(this->a.OnLoss(kRequest, Group("g1"), this->now), this->now);
    const SharedEntry trial = this->a.BeginTrial(kRequest, this->now).value();
    this->b.Merge(trial, this->now);
    this->b.Merge(this->a.AbandonTrial(trial, this->now).value(), this->now);
    CPPUNIT_ASSERT(this->b.Check(kRequest, this->now) == QuarantineStatus::kSuspect);
    CPPUNIT_ASSERT(!this->a.AbandonTrial(trial, this->now).has_value());
  }

  // Guards against counting the losses of two groups on two nodes as one.
  void ConcurrentLossesOfDifferentGroupsQuarantine() {
    const SharedEntry first = this->a.OnLoss(kRequest, Group("g1"), this->now);
    const SharedEntry second = this->b.OnLoss(kRequest, Group("g2"), this->now);
    const auto from_a = this->a.Merge(second, this->now);
    const auto from_b = this->b.Merge(first, this->now);
    CPPUNIT_ASSERT(from_a.has_value() && from_b.has_value());
    CPPUNIT_ASSERT(this->a.Check(kRequest, this->now) == QuarantineStatus::kQuarantined);
    CPPUNIT_ASSERT(this->b.Check(kRequest, this->now) == QuarantineStatus::kQuarantined);
  }

  // Guards against quarantining a request because two nodes lost copies of it with the same group.
  void ConcurrentLossesOfSameGroupCountOnce() {
    const SharedEntry first = this->a.OnLoss(kRequest, Group("g1"), this->now);
    const SharedEntry second = this->b.OnLoss(kRequest, Group("g1"), this->now);
    this->a.Merge(second, this->now);
    this->b.Merge(first, this->now);
    CPPUNIT_ASSERT(this->a.Check(kRequest, this->now) == QuarantineStatus::kSuspect);
    CPPUNIT_ASSERT(this->b.Check(kRequest, this->now) == QuarantineStatus::kSuspect);
  }

  // Guards against replacing a mark by an older one that arrives late.
  void OlderMarkIsIgnored() {
    const SharedEntry loss = this->a.OnLoss(kRequest, Group("g1"), this->now);
    const auto cleared = this->a.OnSuccess(kRequest, this->now);
    this->b.Merge(*cleared, this->now);
    this->b.Merge(loss, this->now);
    CPPUNIT_ASSERT(this->b.Check(kRequest, this->now) == QuarantineStatus::kNone);
  }

 private:
  static GroupSummary Group(const std::string& name) {
    GroupSummary group;
    group.group = GroupId(name);
    group.domain = DomainId("d1");
    group.generation = 3;
    return group;
  }

  TimePoint now = TimePoint(minutes(100));
  QuarantineTable a{NodeId("a")};
  QuarantineTable b{NodeId("b")};
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

}  // namespace
}  // namespace limpetfall
