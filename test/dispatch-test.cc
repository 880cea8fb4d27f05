#include "core/dispatch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <set>

namespace limpetfall {
namespace {

class DispatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchTest);
  CPPUNIT_TEST(GroupWithMissingMemberIsNotChosen);
  CPPUNIT_TEST(GroupWithLeavingMemberIsNotChosen);
  CPPUNIT_TEST(DissolvingGroupIsNotChosen);
  CPPUNIT_TEST(GroupWithMemberOfOlderEpochIsNotChosen);
  CPPUNIT_TEST(LoadOfPeerNodesIsIncluded);
  CPPUNIT_TEST(StaleLoadsDoNotOverfillUpstream);
  CPPUNIT_TEST(SlotFreedByLocalRequestIsReusedImmediately);
  CPPUNIT_TEST(StartedResponseIgnoresInFlightLimit);
  CPPUNIT_TEST(FullGroupIsNotChosen);
  CPPUNIT_TEST(SameZoneIsPreferredAtEqualLoad);
  CPPUNIT_TEST(LossNotifiesOnlyRequestsInFlight);
  CPPUNIT_TEST(UpstreamAfterSuspensionGetsOneTrialRequest);
  CPPUNIT_TEST(RepeatedLossDoublesSuspension);
  CPPUNIT_TEST(RestartedRunnerIsNotSuspended);
  CPPUNIT_TEST(PeerLoadExpires);
  CPPUNIT_TEST(UpstreamThatResetsConnectionsIsSuspended);
  CPPUNIT_TEST(UpstreamWithHighFaultRateIsChosenLess);
  CPPUNIT_TEST(MisdirectedFaultSuspendsUpstream);
  CPPUNIT_TEST(NonRetryableRequestIsNotUsedAsTrial);
  CPPUNIT_TEST(LastUpstreamIsUsedWhileSuspended);
  CPPUNIT_TEST(LimitedUpstreamIsNotChosenBeyondItsGrants);
  CPPUNIT_TEST(StartedResponseKeepsRateLimit);
  CPPUNIT_TEST(RateLimitSurvivesMissingEntryAndEndsWithNewStart);
  CPPUNIT_TEST(RateLimitReportedByPeerIsKept);
  CPPUNIT_TEST(LimitedUpstreamIsAvoidedBeyondItsRate);
  CPPUNIT_TEST(ExpectedRateIsKnownOnlyIfAllUpstreamsAreLimited);
  CPPUNIT_TEST(NumberOfReportedRateLimitsIsBounded);
  CPPUNIT_TEST(UpstreamIsUsedAfterItsRateLimitIsForgotten);
  CPPUNIT_TEST(ExpectedRateIsUnknownBeforeFirstRound);
  CPPUNIT_TEST(UpstreamInEvacuatedZoneIsNotChosen);
  CPPUNIT_TEST(ChosenUpstreamIsUnwantedOnceItsZoneIsEvacuated);
  CPPUNIT_TEST(ColdUpstreamGetsNoMoreThanItsShare);
  CPPUNIT_TEST(UpstreamsAreColdAfterEvacuationOfTheirZone);
  CPPUNIT_TEST(UpstreamOfServiceWithoutColdPhaseIsNotLimited);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests to a group whose member has disappeared from the store.
  void GroupWithMissingMemberIsNotChosen() {
    this->OpenGroup("h1", {"h1", "m1"});
    CPPUNIT_ASSERT(this->Choose().has_value());
    this->runners.erase(VmId("m1"));
    this->Update(0);
    CPPUNIT_ASSERT(this->Choose().has_value());  // A missing entry may be due to a store outage.
    this->Update(1100);
    CPPUNIT_ASSERT(!this->Choose(1100).has_value());
  }

  // Guards against new requests to a group that is about to lose a member through a drain.
  void GroupWithLeavingMemberIsNotChosen() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->runners[VmId("m1")].leaving = true;
    this->Update(0);
    CPPUNIT_ASSERT(!this->Choose().has_value());
  }

  // Guards against new requests to a group that is dissolved to free VMs for another model.
  void DissolvingGroupIsNotChosen() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->plan.groups.front().dissolving = true;
    this->Update(0);
    CPPUNIT_ASSERT(!this->Choose().has_value());
  }

  // Guards against requests to a group whose member joined in an older epoch.
  void GroupWithMemberOfOlderEpochIsNotChosen() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->runners[VmId("m1")].membership->epoch = 1;
    this->Update(0);
    CPPUNIT_ASSERT(!this->Choose().has_value());
  }

  // Guards against several nodes overfilling the same group in a burst that reaches all nodes.
  void LoadOfPeerNodesIsIncluded() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->OpenGroup("h2", {"h2", "m2"});
    this->table.SetPeerLoad(NodeId("n2"), {{VmId("h1"), 9}}, At(0));
    for (int i = 0; i < 8; ++i) {
      this->tickets.push_back(*this->Choose());
      CPPUNIT_ASSERT(this->tickets.back().upstream() == VmId("h2"));
    }
  }

  // Guards against nodes that all fill the same slots, which each considers free. This happens when
  // all callers retry together after a power loss of all nodes (site speilbod-prod-grown,
  // trouble-1: 811 requests on 525 slots).
  void StaleLoadsDoNotOverfillUpstream() {
    this->StartNodes(kNodes);
    for (int step = 0; step < 800; ++step) {
      this->Exchange(step);
      this->FillAll(step);
      // Requests finish between the exchanges, so an overfilled upstream recovers.
      if (step % 3 == 0) this->tickets.erase(this->tickets.begin());
      CPPUNIT_ASSERT(this->tickets.size() <= kSlots + kSlots);
      if (step > 80) CPPUNIT_ASSERT(this->tickets.size() <= kSlots + kNodes);
    }
    CPPUNIT_ASSERT(this->tickets.size() >= kSlots - kNodes);
  }

  // Guards against slots that stay unused until the next exchange of loads.
  void SlotFreedByLocalRequestIsReusedImmediately() {
    this->StartNodes(kNodes);
    for (int step = 0; step < 80; ++step) {
      this->Exchange(step);
      this->FillAll(step);
    }
    this->tickets.clear();
    this->FillAll(80);
    CPPUNIT_ASSERT(this->tickets.size() >= kSlots - kNodes);
  }

  // Guards against interrupting a started stream although its new upstream has a free slot, because
  // the slot is outside the fraction of this node.
  void StartedResponseIgnoresInFlightLimit() {
    this->StartNodes(100);
    DispatchRequest started = this->request;
    started.response_started = true;
    std::size_t accepted = 0;
    for (DispatchTable& node : this->nodes) {
      node.ShareFreeSlots(100, At(0));
      if (node.Choose(this->request, nullptr, At(0))) ++accepted;
      CPPUNIT_ASSERT(node.Choose(started, nullptr, At(0)).has_value());
    }
    CPPUNIT_ASSERT(accepted < this->nodes.size());
  }

  // Guards against requests that queue inside an engine, where priorities do not apply.
  void FullGroupIsNotChosen() {
    this->OpenGroup("h1", {"h1", "m1"});
    for (int i = 0; i < 17; ++i) this->tickets.push_back(*this->Choose());
    CPPUNIT_ASSERT(!this->Choose().has_value());
    this->tickets.pop_back();
    CPPUNIT_ASSERT(this->Choose().has_value());
  }

  // Guards against traffic between zones that load balancing does not require.
  void SameZoneIsPreferredAtEqualLoad() {
    this->OpenGroup("h1", {"h1", "m1"}, "far");
    this->OpenGroup("h2", {"h2", "m2"}, "near");
    CPPUNIT_ASSERT(this->Choose()->upstream() == VmId("h2"));
  }

  // Guards against streams that wait for a group after one of them has detected its loss, as when a
  // member stops responding.
  void LossNotifiesOnlyRequestsInFlight() {
    struct Listener : UpstreamLossListener {
      int notifications = 0;
      void OnUpstreamLost() override { ++this->notifications; }
    };
    this->OpenGroup("h1", {"h1", "m1"});
    Listener first;
    Listener second;
    const auto a = this->table.Choose(this->request, &first, At(0));
    { const auto b = this->table.Choose(this->request, &second, At(0)); }
    this->table.OnLost(VmId("h1"), At(0));
    CPPUNIT_ASSERT_EQUAL(1, first.notifications);
    CPPUNIT_ASSERT_EQUAL(0, second.notifications);
    CPPUNIT_ASSERT(!this->Choose(999).has_value());
  }

  // Guards against many requests to a flapping upstream that is still unavailable.
  void UpstreamAfterSuspensionGetsOneTrialRequest() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->table.OnLost(VmId("h1"), At(0));
    const auto trial = this->Choose(1001);
    CPPUNIT_ASSERT(trial.has_value());
    CPPUNIT_ASSERT(!this->Choose(1001).has_value());
    this->table.OnProgress(*trial, At(1100));
    CPPUNIT_ASSERT(this->Choose(1100).has_value());
  }

  // Guards against using a flapping upstream again every second.
  void RepeatedLossDoublesSuspension() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->table.OnLost(VmId("h1"), At(0));
    this->table.OnLost(VmId("h1"), At(1001));
    CPPUNIT_ASSERT(!this->Choose(2900).has_value());
    CPPUNIT_ASSERT(this->Choose(3002).has_value());
  }

  // Guards against avoiding a restarted upstream because of losses before the restart.
  void RestartedRunnerIsNotSuspended() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->table.OnLost(VmId("h1"), At(0));
    this->runners[VmId("h1")].started_ms = 99;
    this->Update(0);
    CPPUNIT_ASSERT(this->Choose().has_value());
  }

  // Guards against groups that look full because of the last report of a node that has failed.
  void PeerLoadExpires() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->table.SetPeerLoad(NodeId("n2"), {{VmId("h1"), 17}}, At(0));
    CPPUNIT_ASSERT(!this->Choose(100).has_value());
    CPPUNIT_ASSERT(this->Choose(1600).has_value());
  }

  // Simulates 10 s of a burst with an upstream that resets each request immediately. It never has
  // requests in flight, so load alone would send nearly all requests to it.
  void UpstreamThatResetsConnectionsIsSuspended() {
    for (const char* head : {"h1", "h2", "h3"})
      this->OpenGroup(head, {head, std::string(head) + "m"});
    int broken = 0;
    int suspended = 0;
    constexpr int kRequests = 1000;
    for (int i = 0; i < kRequests; ++i) {
      const int now = i * 10;
      // A healthy upstream takes 300 ms per request, so 30 requests are in flight.
      if (this->tickets.size() >= 30) this->tickets.erase(this->tickets.begin());
      auto ticket = this->Choose(now);
      CPPUNIT_ASSERT(ticket.has_value());
      if (ticket->upstream() == VmId("h1")) {
        ++broken;
        suspended += this->table.OnFault(*ticket, UpstreamFault::kBrokenResponse, At(now)) ? 1 : 0;
        continue;
      }
      this->table.OnProgress(*ticket, At(now));
      this->table.OnSuccess(*ticket, At(now));
      this->tickets.push_back(std::move(*ticket));
    }
    // Two requests detect the fault. One trial follows after 1, 2, 4 and 8 s of suspension.
    CPPUNIT_ASSERT(broken <= 2 + 4);
    CPPUNIT_ASSERT(broken >= 3);
    CPPUNIT_ASSERT_EQUAL(broken - 1, suspended);
  }

  // Guards against sending half of the requests to an upstream that fails four out of ten.
  void UpstreamWithHighFaultRateIsChosenLess() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->OpenGroup("h2", {"h2", "m2"});
    int at_failing = 0;
    constexpr int kRequests = 400;
    for (int i = 0; i < kRequests; ++i) {
      if (this->tickets.size() >= 10) this->tickets.erase(this->tickets.begin());
      auto ticket = this->Choose(i * 20);
      const bool failing = ticket->upstream() == VmId("h1");
      if (failing && ++at_failing % 5 < 2) {
        this->table.OnFault(*ticket, UpstreamFault::kErrorResponse, At(i * 20));
        continue;
      }
      this->table.OnSuccess(*ticket, At(i * 20));
      this->tickets.push_back(std::move(*ticket));
    }
    CPPUNIT_ASSERT(at_failing < kRequests / 4);
    CPPUNIT_ASSERT(at_failing > 0);
  }

  // Guards against more requests to a head that no longer serves its group.
  void MisdirectedFaultSuspendsUpstream() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->OpenGroup("h2", {"h2", "m2"});
    const auto first = this->Choose();
    CPPUNIT_ASSERT(this->table.OnFault(*first, UpstreamFault::kMisdirected, At(0)));
    for (int i = 0; i < 17; ++i) {
      this->tickets.push_back(*this->Choose(10));
      CPPUNIT_ASSERT(this->tickets.back().upstream() != first->upstream());
    }
  }

  // Guards against losing an order at an upstream that has recently failed.
  void NonRetryableRequestIsNotUsedAsTrial() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->OpenGroup("h2", {"h2", "m2"});
    for (int i = 0; i < 2; ++i) {
      const auto ticket = this->table.Choose(
          {this->request.service, this->request.model, {VmId("h2")}}, nullptr, At(0));
      this->table.OnFault(*ticket, UpstreamFault::kBrokenResponse, At(0));
    }
    DispatchRequest order = this->request;
    order.retry_safe = false;
    for (int i = 0; i < 17; ++i) {
      this->tickets.push_back(*this->table.Choose(order, nullptr, At(1500)));
      CPPUNIT_ASSERT(this->tickets.back().upstream() == VmId("h2"));
    }
  }

  // Guards against refusing all requests because every upstream has recently failed.
  void LastUpstreamIsUsedWhileSuspended() {
    this->OpenGroup("h1", {"h1", "m1"});
    for (int i = 0; i < 2; ++i) {
      this->table.OnFault(*this->Choose(), UpstreamFault::kBrokenResponse, At(0));
    }
    CPPUNIT_ASSERT(this->table.HasEligible(this->request, At(10)));
    CPPUNIT_ASSERT(this->Choose(10).has_value());
  }

  // Guards against requests to an upstream in need beyond what it has asked for (LIMIT).
  void LimitedUpstreamIsNotChosenBeyondItsGrants() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->StateRate(*this->Choose(), 2, 0);
    CPPUNIT_ASSERT(!this->Choose().has_value());
    int chosen = 0;
    for (int ms = 200; ms <= 20000; ms += 200) {
      this->table.StartRateLimitRounds(1, At(ms));
      while (auto ticket = this->Choose(ms)) {
        ticket->OnSent(At(ms));
        ++chosen;
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(chosen), 30 <= chosen && chosen <= 50);
  }

  void StartedResponseKeepsRateLimit() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->StateRate(*this->Choose(), 2, 0);
    this->request.response_started = true;
    CPPUNIT_ASSERT(!this->Choose().has_value());
  }

  void RateLimitSurvivesMissingEntryAndEndsWithNewStart() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->StateRate(*this->Choose(), 2, 0);
    const Runner head = this->runners.at(VmId("h1"));
    this->runners.erase(VmId("h1"));
    this->Update(100);
    this->Update(2000);
    this->runners[VmId("h1")] = head;
    this->Update(2100);
    CPPUNIT_ASSERT(!this->Choose(2100).has_value());
    this->runners[VmId("h1")].started_ms = 7;
    this->plan.groups.front().started_ms.front() = 7;
    this->Update(2200);
    CPPUNIT_ASSERT(this->Choose(2200).has_value());
  }

  // Guards against a burst from a node that has not heard the limit itself.
  void RateLimitReportedByPeerIsKept() {
    this->StartNodes(2);
    const auto ticket = this->nodes[0].Choose(this->request, nullptr, At(0));
    CPPUNIT_ASSERT(
        this->nodes[0].OnStatedRate(*ticket, RequestRate::FromPerSecond(2).value(), At(0)));
    this->nodes[1].MergeRateLimits(NodeId("0"), this->nodes[0].RateLimitReports(At(10)), At(10));
    CPPUNIT_ASSERT(!this->nodes[1].Choose(this->request, nullptr, At(10)));
  }

  void LimitedUpstreamIsAvoidedBeyondItsRate() {
    this->OpenGroup("h1", {"h1", "m1"});
    {
      auto ticket = this->Choose();
      ticket->OnSent(At(0));
      this->table.OnSuccess(*ticket, At(500));
      this->StateRate(*ticket, 4, 500);
    }
    this->OpenGroup("h2", {"h2", "m2"});
    // At 4 requests a second of half a second each, two are in flight.
    for (int i = 1; i <= 10; ++i) {
      this->table.StartRateLimitRounds(1, At(500 + 1000 * i));
      this->tickets.push_back(*this->Choose());
    }
    const auto load = this->table.LocalLoad();
    CPPUNIT_ASSERT_EQUAL(1, load.at(VmId("h1")));
    CPPUNIT_ASSERT_EQUAL(9, load.at(VmId("h2")));
  }

  void ExpectedRateIsKnownOnlyIfAllUpstreamsAreLimited() {
    this->OpenGroup("h1", {"h1", "m1"});
    CPPUNIT_ASSERT(!this->table.LimitedRate(this->request, At(0)));
    this->StateRate(*this->Choose(), 4, 0);
    this->table.StartRateLimitRounds(2, At(200));
    while (const auto ticket = this->Choose(200)) continue;
    const double rate = this->table.LimitedRate(this->request, At(200)).value();
    CPPUNIT_ASSERT(0 < rate && rate <= 4);
    this->OpenGroup("h2", {"h2", "m2"});
    CPPUNIT_ASSERT(!this->table.LimitedRate(this->request, At(200)));
  }

  // Guards against status messages that exceed a datagram in a large fleet.
  void NumberOfReportedRateLimitsIsBounded() {
    constexpr std::size_t kUpstreams = 1200;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      Runner runner;
      runner.id = VmId("p" + std::to_string(i));
      runner.service = ServiceName("plain");
      runner.address = "10.0.0.1:1";
      runner.slots = 1;
      this->runners[runner.id] = runner;
    }
    this->Update(0);
    this->request.service = ServiceName("plain");
    this->request.model = ModelName();
    while (auto ticket = this->Choose()) {
      this->StateRate(*ticket, 4, 0);
      this->tickets.push_back(std::move(*ticket));
    }
    CPPUNIT_ASSERT_EQUAL(kUpstreams, this->tickets.size());
    std::set<std::uint64_t> reported;
    for (int round = 0; round < 3; ++round) {
      const auto some = this->table.RateLimitReports(At(10));
      CPPUNIT_ASSERT(some.size() <= 500);
      for (const RateLimitReport& report : some) reported.insert(report.upstream_boot);
    }
    CPPUNIT_ASSERT_EQUAL(kUpstreams, reported.size());
  }

  // Guards against an upstream that is never used again after a quiet time with a limit.
  void UpstreamIsUsedAfterItsRateLimitIsForgotten() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->StateRate(*this->Choose(), 2, 0);
    constexpr int kQuietMs = 601'000;
    this->table.StartRateLimitRounds(1, At(200));
    this->table.StartRateLimitRounds(1, At(kQuietMs));
    int chosen = 0;
    for (int ms = kQuietMs + 200; ms <= kQuietMs + 60'000; ms += 200) {
      this->table.StartRateLimitRounds(1, At(ms));
      auto ticket = this->Choose(ms);
      if (!ticket) continue;
      ++chosen;
      ticket->OnSent(At(ms));
      this->table.OnStatedRate(*ticket, RequestRate(), At(ms + 50));
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(chosen), 100 <= chosen);
  }

  // Guards against refusing requests at the beginning of a limit that allows many of them.
  void ExpectedRateIsUnknownBeforeFirstRound() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->StateRate(*this->Choose(), 50, 0);
    CPPUNIT_ASSERT(!this->table.LimitedRate(this->request, At(10)));
  }

  // Guards against requests to a zone that operators have evacuated (EVAC), and against waiting for
  // its upstreams.
  void UpstreamInEvacuatedZoneIsNotChosen() {
    this->OpenGroup("h1", {"h1", "m1"}, "near");
    this->table.SetEvacuations({ZoneId("near")}, {});
    CPPUNIT_ASSERT(!this->Choose().has_value());
    CPPUNIT_ASSERT(!this->table.HasEligible(this->request, At(0)));
    this->OpenGroup("h2", {"h2", "m2"}, "far");
    CPPUNIT_ASSERT(this->Choose()->upstream() == VmId("h2"));
    CPPUNIT_ASSERT_EQUAL(
        17, this->table.SlotsAndLoad(this->request.service, this->request.model, At(0)).first);
    this->table.SetEvacuations({}, {});
    CPPUNIT_ASSERT(this->Choose()->upstream() == VmId("h1"));
  }

  // Guards against a request that is sent after the evacuation because its connection took time.
  void ChosenUpstreamIsUnwantedOnceItsZoneIsEvacuated() {
    this->OpenGroup("h1", {"h1", "m1"}, "near");
    const auto ticket = this->Choose();
    CPPUNIT_ASSERT(ticket->IsWanted(At(0)));
    this->table.SetEvacuations({ZoneId("near")}, {});
    CPPUNIT_ASSERT(!ticket->IsWanted(At(0)));
  }

  // Guards against a crash of an upstream that has just returned and looks idle (FAILBACK).
  void ColdUpstreamGetsNoMoreThanItsShare() {
    this->table.SetColdProfiles({{this->request.service, {Milliseconds(3000), 24}}});
    this->table.SetSenderCount(12);
    this->OpenGroup("h1", {"h1", "m1"});
    this->runners[VmId("h1")].cold_until = At(3000);
    this->Update(0);
    CPPUNIT_ASSERT_EQUAL(2, this->CountChosen(0));
    CPPUNIT_ASSERT_EQUAL(0, this->CountChosen(900));
    CPPUNIT_ASSERT_EQUAL(2, this->CountChosen(1100));
    CPPUNIT_ASSERT_EQUAL(13, this->CountChosen(3000));
  }

  // Guards against a burst on upstreams that turned cold during an evacuation, by entries that are
  // older.
  void UpstreamsAreColdAfterEvacuationOfTheirZone() {
    this->table.SetColdProfiles({{this->request.service, {Milliseconds(3000), 24}}});
    this->table.SetSenderCount(12);
    this->OpenGroup("h1", {"h1", "m1"}, "near");
    this->table.SetEvacuations({}, {{ZoneId("near"), At(0)}});
    this->Update(0);
    CPPUNIT_ASSERT_EQUAL(2, this->CountChosen(0));
    CPPUNIT_ASSERT_EQUAL(15, this->CountChosen(3100));
  }

  // Guards against a limit in deployments whose upstreams are never cold.
  void UpstreamOfServiceWithoutColdPhaseIsNotLimited() {
    this->OpenGroup("h1", {"h1", "m1"});
    this->runners[VmId("h1")].cold_until = At(3000);
    this->Update(0);
    CPPUNIT_ASSERT_EQUAL(17, this->CountChosen(0));
  }

 private:
  /** Sends requests until none is taken. Returns their number; they stay in flight. */
  int CountChosen(int ms) {
    this->Update(ms);
    int count = 0;
    while (auto ticket = this->table.Choose(this->request, nullptr, At(ms))) {
      ticket->OnSent(At(ms));
      this->tickets.push_back(std::move(*ticket));
      ++count;
    }
    return count;
  }

  void StateRate(const DispatchTicket& ticket, double per_second, int ms) {
    this->table.OnStatedRate(ticket, RequestRate::FromPerSecond(per_second).value(), At(ms));
  }

  static TimePoint At(int ms) { return TimePoint(std::chrono::seconds(100)) + Milliseconds(ms); }

  /** Adds an open group. The first of `members` is the head. */
  void OpenGroup(const std::string& name, const std::vector<std::string>& members,
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

  /** Creates the tables of several nodes with the same open group. */
  void StartNodes(std::size_t count) {
    this->OpenGroup("h1", {"h1", "m1"});
    for (std::size_t i = 0; i < count; ++i) {
      DispatchOptions options{ZoneId("near")};
      options.seed = static_cast<std::uint32_t>(i + 1);
      this->nodes.emplace_back(options);
      this->nodes.back().ShareFreeSlots(count, At(0));
      this->nodes.back().Update(this->runners, this->plan, {{this->request.service, 17}}, At(0));
    }
  }

  /** In each step one node updates its in-flight limits and sends its load to the others. */
  void Exchange(int step) {
    const std::size_t sender = static_cast<std::size_t>(step) % this->nodes.size();
    const TimePoint now = At(step * kStepMs);
    this->nodes[sender].ShareFreeSlots(this->nodes.size(), now);
    const auto load = this->nodes[sender].LocalLoad();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (i != sender) this->nodes[i].SetPeerLoad(NodeId(std::to_string(sender)), load, now);
    }
  }

  /** Sends requests from each node until it refuses one. */
  void FillAll(int step) {
    for (DispatchTable& node : this->nodes) {
      while (auto ticket = node.Choose(this->request, nullptr, At(step * kStepMs))) {
        this->tickets.push_back(std::move(*ticket));
      }
    }
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
  std::deque<DispatchTable> nodes;
  std::vector<DispatchTicket> tickets;

  static constexpr std::size_t kSlots = 17;
  static constexpr std::size_t kNodes = 8;

  // Interval between load reports of two nodes. Each node sends one every 200 ms.
  static constexpr int kStepMs = 25;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchTest);

}  // namespace
}  // namespace limpetfall
