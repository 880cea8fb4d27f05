#include "core/crash-attribution.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <random>

namespace limpetfall {
namespace {

constexpr CauseId kRequest = 7;
constexpr CauseId kOther = 8;
constexpr CauseId kFirstPart = 3;
constexpr CauseId kPart = 5;

class CrashAttributionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashAttributionTest);
  CPPUNIT_TEST(RequestCauseCoversCallerAndContent);
  CPPUNIT_TEST(ThreeCrashesInARowQuarantine);
  CPPUNIT_TEST(CrashesOfOneUpstreamCountOnce);
  CPPUNIT_TEST(UpstreamsLostTogetherCountOnce);
  CPPUNIT_TEST(SurvivalBetweenCrashesStartsNewRow);
  CPPUNIT_TEST(CrashesSeenByDifferentNodesAddUp);
  CPPUNIT_TEST(SurvivalAtAnotherNodeStartsNewRow);
  CPPUNIT_TEST(RestartedNodeLearnsQuarantineFromAnother);
  CPPUNIT_TEST(RestartedNodeDoesNotBlameCauseThatSurvivedElsewhere);
  CPPUNIT_TEST(ReportThatArrivesLateDoesNotUndoSurvival);
  CPPUNIT_TEST(SurvivalBeforeReportArrivesCounts);
  CPPUNIT_TEST(SurvivalThatBecomesKnownLaterLiftsQuarantine);
  CPPUNIT_TEST(DigestsOfNodesThatKnowTheSameAreEqual);
  CPPUNIT_TEST(SurvivalLiftsQuarantineAtAllNodes);
  CPPUNIT_TEST(LiftedQuarantineBeginsAgainAfterThreeCrashes);
  CPPUNIT_TEST(OneCrashAfterExpiryRenewsQuarantine);
  CPPUNIT_TEST(CrashesFarApartDoNotQuarantine);
  CPPUNIT_TEST(ManyDifferentRequestsUseBoundedMemory);
  CPPUNIT_TEST(StormOfCrashesQuarantinesNoSharedCause);
  CPPUNIT_TEST(PartOfDifferentRequestsIsQuarantined);
  CPPUNIT_TEST(FirstPartThatAlwaysCoincidesIsNotQuarantinedAlone);
  CPPUNIT_TEST(GuiltyPartStaysQuarantinedWhenItsFirstPartSurvives);
  CPPUNIT_TEST(GuiltyFirstPartIsQuarantinedDespiteDifferentSecondParts);
  CPPUNIT_TEST(PartInTrafficOfSoundPartsIsFoundAlone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestCauseCoversCallerAndContent() {
    const TeamName team("clubs");
    const CauseId cause = RequestCause(team, "POST", "h", "/order/1", "{}");
    CPPUNIT_ASSERT_EQUAL(cause, RequestCause(team, "POST", "h", "/order/1", "{}"));
    CPPUNIT_ASSERT(cause != RequestCause(TeamName("other"), "POST", "h", "/order/1", "{}"));
    CPPUNIT_ASSERT(cause != RequestCause(team, "PUT", "h", "/order/1", "{}"));
    CPPUNIT_ASSERT(cause != RequestCause(team, "POST", "i", "/order/1", "{}"));
    CPPUNIT_ASSERT(cause != RequestCause(team, "POST", "h", "/order/1{", "}"));
    CPPUNIT_ASSERT(cause != RequestCause(team, "POST", "h", "/order/1", "{ }"));
  }

  // Guards against sending a request on after it has ended three upstreams.
  void ThreeCrashesInARowQuarantine() {
    this->Crash(this->a, {kRequest}, 1);
    this->Crash(this->a, {kRequest}, 2);
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Crash(this->a, {kRequest}, 3).size());
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) != nullptr);
    CPPUNIT_ASSERT(this->a.Find({kOther}, this->now) == nullptr);
    CPPUNIT_ASSERT(this->Crash(this->a, {kRequest}, 4).empty());
  }

  void CrashesOfOneUpstreamCountOnce() {
    for (int i = 0; i < 5; ++i) this->Crash(this->a, {kRequest}, 1);
    this->Crash(this->a, {kRequest}, 2);
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) == nullptr);
  }

  // Guards against blaming what many upstreams of one fabric domain were running when it went dark.
  void UpstreamsLostTogetherCountOnce() {
    for (std::uint64_t boot = 1; boot <= 10; ++boot) {
      (void)this->a.OnCrash(
          {boot, kRequest, {kRequest}, this->now, this->now + Milliseconds(100 + boot)},
          this->now + Milliseconds(200));
    }
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) == nullptr);
  }

  void SurvivalBetweenCrashesStartsNewRow() {
    this->Crash(this->a, {kRequest}, 1);
    this->Crash(this->a, {kRequest}, 2);
    (void)this->a.OnSurvived({kRequest}, this->now);
    this->Crash(this->a, {kRequest}, 3);
    this->Crash(this->a, {kRequest}, 4);
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) == nullptr);
    this->Crash(this->a, {kRequest}, 5);
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) != nullptr);
  }

  // Guards against counting the crashes of each node by itself.
  void CrashesSeenByDifferentNodesAddUp() {
    this->Crash(this->a, {kRequest}, 1);
    this->Crash(this->b, {kRequest}, 2);
    this->Crash(this->c, {kRequest}, 3);
    (void)this->a.Merge(this->Collect(this->b), this->now);
    (void)this->a.Merge(this->Collect(this->c), this->now);
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) != nullptr);
    CPPUNIT_ASSERT(this->a.Merge(this->Collect(this->c), this->now).empty());
  }

  void SurvivalAtAnotherNodeStartsNewRow() {
    this->Crash(this->a, {kRequest}, 1);
    this->Crash(this->a, {kRequest}, 2);
    (void)this->b.Merge(this->Collect(this->a), this->now);
    (void)this->b.OnSurvived({kRequest}, this->now);
    (void)this->a.Merge(this->Collect(this->b), this->now);
    this->Crash(this->a, {kRequest}, 3);
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) == nullptr);
  }

  // Guards against a node that starts from nothing after a restart.
  void RestartedNodeLearnsQuarantineFromAnother() {
    this->Quarantine(this->a);
    this->now += std::chrono::minutes(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->b.Merge(this->Collect(this->a), this->now).size());
    CPPUNIT_ASSERT(this->b.Find({kRequest}, this->now) != nullptr);
  }

  // Guards against refusing sound requests after the nodes that saw them survive have restarted.
  void RestartedNodeDoesNotBlameCauseThatSurvivedElsewhere() {
    this->Crash(this->a, {kFirstPart, 100}, 1);
    this->Crash(this->a, {kFirstPart, 101}, 2);
    (void)this->b.Merge(this->Collect(this->a), this->now);
    (void)this->b.OnSurvived({kFirstPart, 102}, this->now);
    (void)this->a.Merge(this->Collect(this->b), this->now);
    this->Crash(this->a, {kFirstPart, 103}, 3);
    (void)this->c.Merge(this->Collect(this->a), this->now);
    CPPUNIT_ASSERT(this->c.Find({kFirstPart, 104}, this->now) == nullptr);
  }

  // Guards against taking a report for new that waited at a node while it stood still.
  void ReportThatArrivesLateDoesNotUndoSurvival() {
    this->Crash(this->a, {kFirstPart, 100}, 1);
    this->Crash(this->a, {kFirstPart, 101}, 2);
    this->Crash(this->a, {kFirstPart, 102}, 3);
    const CrashEvidence delayed = this->Collect(this->a);
    (void)this->a.OnSurvived({kFirstPart, 103}, this->now);
    CrashEvidence late = delayed;
    for (CrashReport& report : late.reports) report.lost += Milliseconds(3000);
    this->now += Milliseconds(3000);
    late.quarantines.clear();
    (void)this->a.Merge(late, this->now);
    CPPUNIT_ASSERT(this->a.Find({kFirstPart, 104}, this->now) == nullptr);
  }

  // Guards against losing a survival at a node that has not heard of the crash yet.
  void SurvivalBeforeReportArrivesCounts() {
    this->Crash(this->a, {kFirstPart, 100}, 1);
    this->Crash(this->a, {kFirstPart, 101}, 2);
    (void)this->b.OnSurvived({kFirstPart, 102}, this->now);
    this->now += Milliseconds(200);
    (void)this->b.Merge(this->Collect(this->a), this->now);
    (void)this->a.Merge(this->Collect(this->b), this->now);
    this->Crash(this->a, {kFirstPart, 103}, 3);
    CPPUNIT_ASSERT(this->a.Find({kFirstPart, 104}, this->now) == nullptr);
  }

  // Guards against refusing a sound part for minutes after a fast row of crashes beside it.
  void SurvivalThatBecomesKnownLaterLiftsQuarantine() {
    this->Crash(this->a, {kFirstPart, 100}, 1);
    this->Crash(this->a, {kFirstPart, 101}, 2);
    (void)this->b.OnSurvived({kFirstPart, 102}, this->now);
    this->Crash(this->a, {kFirstPart, 103}, 3);
    CPPUNIT_ASSERT(this->a.Find({kFirstPart, 104}, this->now) != nullptr);
    (void)this->b.Merge(this->Collect(this->a), this->now);
    CPPUNIT_ASSERT(this->b.Find({kFirstPart, 104}, this->now) == nullptr);
    (void)this->a.Merge(this->Collect(this->b), this->now);
    CPPUNIT_ASSERT(this->a.Find({kFirstPart, 104}, this->now) == nullptr);
  }

  // Guards against messages with all evidence between nodes that have it.
  void DigestsOfNodesThatKnowTheSameAreEqual() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, this->a.Digest(this->now));
    this->Quarantine(this->a);
    CPPUNIT_ASSERT(this->a.Digest(this->now) != this->b.Digest(this->now));
    (void)this->b.Merge(this->Collect(this->a), this->now);
    CPPUNIT_ASSERT_EQUAL(this->a.Digest(this->now), this->b.Digest(this->now));
    (void)this->b.OnSurvived({kRequest}, this->now);
    CPPUNIT_ASSERT(this->a.Digest(this->now) != this->b.Digest(this->now));
  }

  void SurvivalLiftsQuarantineAtAllNodes() {
    this->Quarantine(this->a);
    (void)this->b.Merge(this->Collect(this->a), this->now);
    (void)this->b.OnSurvived({kRequest}, this->now);
    CPPUNIT_ASSERT(this->b.Find({kRequest}, this->now) == nullptr);
    (void)this->a.Merge(this->Collect(this->b), this->now);
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) == nullptr);
    // A node that has not heard of it does not bring the quarantine back.
    (void)this->b.Merge(this->Collect(this->a), this->now);
    CPPUNIT_ASSERT(this->b.Find({kRequest}, this->now) == nullptr);
  }

  void LiftedQuarantineBeginsAgainAfterThreeCrashes() {
    this->Quarantine(this->a);
    (void)this->a.OnSurvived({kRequest}, this->now);
    this->Crash(this->a, {kRequest}, 11);
    this->Crash(this->a, {kRequest}, 12);
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) == nullptr);
    this->Crash(this->a, {kRequest}, 13);
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) != nullptr);
  }

  // Guards against a flood of a request whose quarantine has expired.
  void OneCrashAfterExpiryRenewsQuarantine() {
    this->Quarantine(this->a);
    this->now += std::chrono::minutes(11);
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) == nullptr);
    this->Crash(this->a, {kRequest}, 20);
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) != nullptr);
  }

  void CrashesFarApartDoNotQuarantine() {
    for (std::uint64_t boot = 1; boot <= 10; ++boot) {
      this->Crash(this->a, {kRequest}, boot);
      this->now += std::chrono::seconds(31);
    }
    CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) == nullptr);
  }

  // Guards against memory and messages that grow with the number of crashing requests.
  void ManyDifferentRequestsUseBoundedMemory() {
    for (CauseId cause = 1; cause <= 1000; ++cause) {
      for (std::uint64_t boot = 0; boot < 3; ++boot) {
        this->Crash(this->a, {cause}, 3 * cause + boot, Milliseconds(5));
      }
    }
    CPPUNIT_ASSERT(this->a.CountActive(this->now) <= CrashAttribution::kMaxQuarantines);
    const CrashEvidence sent = this->Collect(this->a);
    CPPUNIT_ASSERT(sent.reports.size() <= CrashAttribution::kMaxReports);
    CPPUNIT_ASSERT(sent.quarantines.size() <= CrashAttribution::kMaxQuarantines);
    CPPUNIT_ASSERT(this->a.Find({1000}, this->now) != nullptr);
  }

  // Replays 30 s in which an upstream ends twice a second, whatever it runs. Requests with the
  // shared cause survive elsewhere 20 times a second.
  void StormOfCrashesQuarantinesNoSharedCause() {
    for (int step = 0; step < 600; ++step) {
      this->now += Milliseconds(50);
      const CauseId own = 1000 + static_cast<CauseId>(step);
      (void)this->a.OnSurvived({kRequest}, this->now);
      if (step % 10 != 0) continue;
      (void)this->a.OnCrash({own, own, {kRequest, own}, this->now - Milliseconds(80), this->now},
                            this->now);
      CPPUNIT_ASSERT(this->a.Find({kRequest}, this->now) == nullptr);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->a.CountActive(this->now));
  }

  // Guards against a prompt part that ends one upstream after the other in requests that differ.
  void PartOfDifferentRequestsIsQuarantined() {
    for (CauseId own = 100; own < 103; ++own) this->Crash(this->a, {kPart, own}, own);
    CPPUNIT_ASSERT(this->a.Find({kPart, 200}, this->now) != nullptr);
    CPPUNIT_ASSERT(this->a.Find({kFirstPart, 200}, this->now) == nullptr);
  }

  // Guards against refusing sound requests that share the first part of the guilty ones.
  void FirstPartThatAlwaysCoincidesIsNotQuarantinedAlone() {
    for (CauseId own = 100; own < 106; ++own) this->Crash(this->a, {kFirstPart, kPart, own}, own);
    CPPUNIT_ASSERT(this->a.Find({kFirstPart, kPart, 200}, this->now) != nullptr);
    CPPUNIT_ASSERT(this->a.Find({kFirstPart, 200}, this->now) == nullptr);
    CPPUNIT_ASSERT(this->a.Find({kPart, 200}, this->now) == nullptr);
    this->Crash(this->a, {kPart, 201}, 201);
    CPPUNIT_ASSERT(this->a.Find({kPart, 202}, this->now) != nullptr);
    CPPUNIT_ASSERT(this->a.Find({kFirstPart, 202}, this->now) == nullptr);
  }

  // Guards against lifting the quarantine of the guilty part when its companion survives.
  void GuiltyPartStaysQuarantinedWhenItsFirstPartSurvives() {
    for (CauseId own = 100; own < 103; ++own) this->Crash(this->a, {kFirstPart, kPart, own}, own);
    (void)this->a.OnSurvived({kFirstPart, 200}, this->now);
    CPPUNIT_ASSERT(this->a.Find({kFirstPart, kPart, 201}, this->now) != nullptr);
    CPPUNIT_ASSERT(this->a.Find({kPart, 201}, this->now) != nullptr);
    CPPUNIT_ASSERT(this->a.Find({kFirstPart, 201}, this->now) == nullptr);
  }

  void GuiltyFirstPartIsQuarantinedDespiteDifferentSecondParts() {
    for (CauseId part = 100; part < 103; ++part) {
      this->Crash(this->a, {kFirstPart, part, part + 100}, part);
    }
    CPPUNIT_ASSERT(this->a.Find({kFirstPart, 300, 301}, this->now) != nullptr);
    CPPUNIT_ASSERT(this->a.Find({100, 302}, this->now) == nullptr);
  }

  // Replays 20 s of three nodes before 30 upstreams. Each upstream begins a request every 200 ms;
  // one in 40 requests carries the guilty part and ends its upstream, with all requests there whose
  // responses have not begun. Nodes exchange their evidence every 200 ms.
  void PartInTrafficOfSoundPartsIsFoundAlone() {
    for (unsigned seed = 1; seed <= 50; ++seed) {
      std::mt19937 random(seed);
      std::array<CrashAttribution, 3> nodes;
      struct Run {
        std::size_t node = 0;
        Causes causes;
        TimePoint sent;
      };
      std::array<std::vector<Run>, 30> upstreams;
      std::array<std::uint64_t, 30> boots{};
      std::uint64_t boot_count = 0;
      CauseId own = 1000;
      int crashes = 0;
      for (int step = 0; step < 2000; ++step) {
        this->now += Milliseconds(10);
        if (step % 20 == 0) {
          for (CrashAttribution& node : nodes) {
            const CrashEvidence sent = node.CollectRecent(Milliseconds(1000), this->now);
            for (CrashAttribution& other : nodes) {
              if (&other != &node) (void)other.Merge(sent, this->now);
            }
          }
        }
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
          if (boots[i] == 0) boots[i] = ++boot_count;
          bool ended = false;
          for (const Run& run : upstreams[i]) {
            if (run.sent + Milliseconds(100) > this->now) continue;
            if (std::binary_search(run.causes.begin(), run.causes.end(), kPart)) ended = true;
            if (!ended) (void)nodes.at(run.node).OnSurvived(run.causes, this->now);
          }
          if (ended) {
            ++crashes;
            for (const Run& run : upstreams[i]) {
              (void)nodes.at(run.node).OnCrash(
                  {boots[i], run.causes.back(), run.causes, run.sent, this->now}, this->now);
            }
            boots[i] = ++boot_count;
            upstreams[i].clear();
          }
          std::erase_if(upstreams[i], [this](const Run& run) {
            return run.sent + Milliseconds(100) <= this->now;
          });
          if (random() % 20 != 0) continue;
          std::vector<CauseId> causes{10 + random() % 60, ++own};
          if (random() % 40 == 0) causes.push_back(kPart);
          const std::size_t node = random() % nodes.size();
          const Causes request = MakeCauses(std::move(causes));
          const bool guilty = std::binary_search(request.begin(), request.end(), kPart);
          if (nodes.at(node).Find(request, this->now) == nullptr) {
            upstreams[i].push_back({node, request, this->now});
          } else {
            CPPUNIT_ASSERT_MESSAGE("a sound request is refused", guilty);
          }
        }
      }
      CPPUNIT_ASSERT(crashes >= 3);
      CPPUNIT_ASSERT_MESSAGE("crashes: " + std::to_string(crashes), crashes <= 8);
    }
  }

 private:
  /** Lets an upstream end 100 ms after a request with these causes was sent there. */
  std::vector<limpetfall::Quarantine> Crash(CrashAttribution& node, const Causes& causes,
                                            std::uint64_t boot,
                                            Milliseconds after = Milliseconds(100)) {
    const TimePoint sent = this->now + Milliseconds(1);
    this->now = sent + after;
    return node.OnCrash({boot, causes.back(), causes, sent, this->now}, this->now);
  }

  void Quarantine(CrashAttribution& node) {
    for (std::uint64_t boot = 1; boot <= 3; ++boot) this->Crash(node, {kRequest}, boot);
    CPPUNIT_ASSERT(node.Find({kRequest}, this->now) != nullptr);
  }

  [[nodiscard]] CrashEvidence Collect(const CrashAttribution& node) const {
    CrashEvidence evidence = node.CollectAll(this->now);
    evidence.survivals = node.CollectRecent(Milliseconds(1000), this->now).survivals;
    return evidence;
  }

  TimePoint now = TimePoint() + std::chrono::hours(1);
  CrashAttribution a;
  CrashAttribution b;
  CrashAttribution c;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashAttributionTest);

}  // namespace
}  // namespace limpetfall
