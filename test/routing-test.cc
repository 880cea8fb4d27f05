#include "core/routing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <set>
#include <thread>

namespace limpetfall {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;

class RoutingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(GateClosesAtItsDeadline);
  CPPUNIT_TEST(GateIsClosedUnlessServing);
  CPPUNIT_TEST(OldGenerationIsIgnored);
  CPPUNIT_TEST(SuspendedGroupOpensWithNewGeneration);
  CPPUNIT_TEST(GroupThatChangesItsModelServesOnlyTheNewOne);
  CPPUNIT_TEST(RequestsStayInAllowedZonesAndVersion);
  CPPUNIT_TEST(TicketReleasesItsCount);
  CPPUNIT_TEST(InFlightLimitHoldsUnderThreads);
  CPPUNIT_TEST(LoadOfOthersCountsAgainstTheLimit);
  CPPUNIT_TEST(EachNodeHasAShareOfTheLimit);
  CPPUNIT_TEST(OwnRequestsAreNotCountedTwice);
  CPPUNIT_TEST(EqualPrefixesShareAGroup);
  CPPUNIT_TEST(OverloadedPreferredGroupIsRelieved);
  CPPUNIT_TEST(SlowPreferredGroupIsRelievedBelowItsLimit);
  CPPUNIT_TEST(EqualRequestsShareAGroupWhenOverloaded);
  CPPUNIT_TEST(BaselinePoliciesIgnoreThePrefix);
  CPPUNIT_TEST(OneSuspectAtATimeOnAGroup);
  CPPUNIT_TEST(LeavingAndUnreachableUpstreamsGetNoCalls);
  CPPUNIT_TEST(UpstreamLimitHolds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against work sent to a group whose owner no longer vouches for it.
  void GateClosesAtItsDeadline() {
    this->Add("g1");
    CPPUNIT_ASSERT(this->table.Acquire(this->request, this->now + seconds(7)).has_value());
    const auto late = this->table.Acquire(this->request, this->now + seconds(8));
    CPPUNIT_ASSERT(!late && late.error().code == ErrorCode::kUnavailable);
    CPPUNIT_ASSERT(late.error().verdict == Verdict::kNotRun);
  }

  // Guards against work sent to a group that is still loading or has lost a member.
  void GateIsClosedUnlessServing() {
    for (GroupState state : {GroupState::kLoading, GroupState::kDraining, GroupState::kLost}) {
      GroupSummary group = Summary("g1");
      group.state = state;
      this->table.Update(group, this->now + seconds(8), this->now);
      CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
    }
  }

  // Guards against a late summary that reopens the gate of a rebuilt group.
  void OldGenerationIsIgnored() {
    GroupSummary rebuilt = Summary("g1");
    rebuilt.generation = 4;
    rebuilt.state = GroupState::kLoading;
    this->table.Update(rebuilt, this->now + seconds(8), this->now);
    this->Add("g1");
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
  }

  // Guards against a gate that reopens on a summary from before the loss, or never again.
  void SuspendedGroupOpensWithNewGeneration() {
    this->Add("g1");
    this->table.Suspend(Summary("g1"), this->now + seconds(1));
    this->Add("g1");
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
    GroupSummary rebuilt = Summary("g1");
    rebuilt.generation = 4;
    this->table.Update(rebuilt, this->now + seconds(8), this->now);
    CPPUNIT_ASSERT(this->table.Acquire(this->request, this->now).has_value());
  }

  // Guards against an answer by a group that has loaded another model since.
  void GroupThatChangesItsModelServesOnlyTheNewOne() {
    this->Add("g1");
    GroupSummary changed = Summary("g1");
    changed.generation = 4;
    changed.model = ModelName("captions");
    this->table.Update(changed, this->now + seconds(8), this->now);
    this->Add("g1");  // A late summary of the old model.
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
    this->request.model = ModelName("captions");
    CPPUNIT_ASSERT(this->table.Acquire(this->request, this->now).has_value());
  }

  // Guards against a request that leaves its branch's zones or runs another version.
  void RequestsStayInAllowedZonesAndVersion() {
    this->Add("g1");
    this->request.zones = {ZoneId("shannon")};
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
    this->request.zones = {ZoneId("ennis"), ZoneId("shannon")};
    CPPUNIT_ASSERT(this->table.Acquire(this->request, this->now).has_value());
    this->request.version = ModelVersion("2");
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
  }

  // Guards against capacity that leaks when tickets are moved, assigned or outlive a rebuild.
  void TicketReleasesItsCount() {
    this->Add("g1");
    this->request.max_in_flight = 1;
    {
      auto first = this->table.Acquire(this->request, this->now);
      GroupTicket moved = std::move(first).value();
      CPPUNIT_ASSERT_EQUAL(1, this->table.in_flight());
      CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
      GroupSummary rebuilt = Summary("g1");
      rebuilt.generation = 4;
      this->table.Update(rebuilt, this->now + seconds(8), this->now);
      moved = this->table.Acquire(this->request, this->now).value();
      CPPUNIT_ASSERT_EQUAL(1, this->table.in_flight());
    }
    CPPUNIT_ASSERT_EQUAL(0, this->table.in_flight());
  }

  // Guards against a check of the limit and a count that are not one step.
  void InFlightLimitHoldsUnderThreads() {
    this->Add("g1");
    this->request.max_in_flight = 3;
    std::atomic<int> held{0};
    std::atomic<int> most{0};
    {
      std::vector<std::jthread> threads;
      threads.reserve(4);
      for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
          for (int round = 0; round < 5000; ++round) {
            const auto ticket = this->table.Acquire(this->request, this->now);
            if (!ticket) continue;
            const int count = ++held;
            for (int seen = most; seen < count && !most.compare_exchange_weak(seen, count);) {
            }
            --held;
          }
        });
      }
    }
    CPPUNIT_ASSERT(most <= 3);
    CPPUNIT_ASSERT_EQUAL(0, this->table.in_flight());
  }

  // Guards against several nodes that each fill a group to its limit.
  void LoadOfOthersCountsAgainstTheLimit() {
    this->Add("g1", 7);
    std::vector<GroupTicket> held;
    held.reserve(40);
    held.push_back(this->table.Acquire(this->request, this->now).value());
    const auto full = this->table.Acquire(this->request, this->now);
    CPPUNIT_ASSERT(!full && full.error().code == ErrorCode::kResourceExhausted);
  }

  // Guards against a node that gets no slots because other nodes took all of them first.
  void EachNodeHasAShareOfTheLimit() {
    this->Add("g1", 8);
    this->table.SetNodes(3);
    std::vector<GroupTicket> held;
    held.reserve(2);
    for (int i = 0; i < 2; ++i) {
      held.push_back(this->table.Acquire(this->request, this->now).value());
    }
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
  }

  // Guards against a report that counts this node's own requests as load of others.
  void OwnRequestsAreNotCountedTwice() {
    this->Add("g1");
    std::vector<GroupTicket> held;
    held.reserve(40);
    for (int i = 0; i < 5; ++i) {
      held.push_back(this->table.Acquire(this->request, this->now).value());
    }
    this->Add("g1", 5);
    for (int i = 0; i < 3; ++i) {
      held.push_back(this->table.Acquire(this->request, this->now).value());
    }
  }

  // Guards against prompts of one prefix spread over groups that each cache it anew.
  void EqualPrefixesShareAGroup() {
    for (const char* name : {"g1", "g2", "g3", "g4"}) this->Add(name);
    std::set<std::string> all;
    for (int prefix = 0; prefix < 40; ++prefix) {
      this->request.prefix_hash = PrefixHash(this->request.model, std::to_string(prefix));
      std::set<std::string> chosen;
      for (int i = 0; i < 3; ++i) chosen.insert(this->Chosen());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), chosen.size());
      all.merge(chosen);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), all.size());
  }

  // Guards against affinity that queues requests at one group while others are idle.
  void OverloadedPreferredGroupIsRelieved() {
    for (const char* name : {"g1", "g2", "g3", "g4"}) this->Add(name);
    this->request.max_in_flight = 100;
    std::vector<GroupTicket> held;
    held.reserve(40);
    std::map<std::string, int> load;
    for (int i = 0; i < 40; ++i) {
      held.push_back(this->table.Acquire(this->request, this->now).value());
      ++load[held.back().group().group.value];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), load.size());
    for (const auto& [group, count] : load) CPPUNIT_ASSERT(count <= 19);
  }

  // Guards against a slow group that keeps its prefixes until it is full, because its own load
  // raises the mean that it is compared with.
  void SlowPreferredGroupIsRelievedBelowItsLimit() {
    for (const char* name : {"g1", "g2", "g3", "g4"}) this->Add(name);
    const std::string preferred = this->Chosen();
    this->Add(preferred);  // The next report no longer covers the request of the choice above.
    for (const char* name : {"g1", "g2", "g3", "g4"}) this->Add(name, name == preferred ? 5 : 3);
    for (int i = 0; i < 20; ++i) CPPUNIT_ASSERT(this->Chosen() != preferred);
  }

  // Guards against one request that crashes several groups at the same time.
  void EqualRequestsShareAGroupWhenOverloaded() {
    for (const char* name : {"g1", "g2", "g3"}) this->Add(name);
    this->request.fingerprint = 99;
    std::vector<GroupTicket> held;
    held.reserve(40);
    for (int i = 0; i < 8; ++i) {
      held.push_back(this->table.Acquire(this->request, this->now).value());
      CPPUNIT_ASSERT(held.front().group() == held.back().group());
    }
  }

  // Guards against two suspects of which nobody can tell which one crashed the group.
  void OneSuspectAtATimeOnAGroup() {
    this->Add("g1");
    this->request.suspect = true;
    {
      const auto first = this->table.Acquire(this->request, this->now);
      CPPUNIT_ASSERT(first.has_value());
      CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
    }
    CPPUNIT_ASSERT(this->table.Acquire(this->request, this->now).has_value());
  }

  // Guards against new work for a service upstream that is about to stop or does not answer.
  void LeavingAndUnreachableUpstreamsGetNoCalls() {
    const ServiceName service("orders");
    this->services.OnReport(service, "a:1", {0, 0, true});
    this->services.OnUnreachable(service, "b:1", this->now + seconds(1));
    CPPUNIT_ASSERT(!this->services.Acquire(service, {}, {}, 4, this->now));
    CPPUNIT_ASSERT(this->services.Acquire(service, {}, {}, 4, this->now + seconds(1)).has_value());
    this->services.OnReport(service, "b:1", {0, 0, false});
    CPPUNIT_ASSERT(this->services.Acquire(service, {}, {}, 4, this->now).value().address() ==
                   "b:1");
    CPPUNIT_ASSERT(!this->services.Acquire(service, {}, {"b:1"}, 4, this->now));
  }

  // Guards against more calls at a service upstream than its limit.
  void UpstreamLimitHolds() {
    std::vector<ServiceTicket> held;
    held.reserve(4);
    for (int i = 0; i < 4; ++i) {
      held.push_back(this->services.Acquire(ServiceName("orders"), {}, {}, 2, this->now).value());
    }
    const auto full = this->services.Acquire(ServiceName("orders"), {}, {}, 2, this->now);
    CPPUNIT_ASSERT(!full && full.error().code == ErrorCode::kResourceExhausted);
    held.pop_back();
    CPPUNIT_ASSERT(this->services.Acquire(ServiceName("orders"), {}, {}, 2, this->now).has_value());
  }

  void setUp() override {
    this->request.model = ModelName("folds");
    this->request.version = ModelVersion("1");
    ServiceSpec spec;
    spec.name = ServiceName("orders");
    spec.upstreams = {{"a:1", ZoneId("ennis")}, {"b:1", ZoneId("ennis")}};
    this->services.SetUpstreams(spec);
  }

  // Guards against measurements that compare the default policy with itself.
  void BaselinePoliciesIgnoreThePrefix() {
    for (RoutingPolicy policy : {RoutingPolicy::kRoundRobin, RoutingPolicy::kLeastInFlight}) {
      GroupTable baseline(kSeed, policy);
      for (const char* name : {"g1", "g2", "g3"}) {
        baseline.Update(Summary(name), this->now + seconds(8), this->now);
      }
      std::vector<GroupTicket> tickets;
      std::set<std::string> chosen;
      for (int i = 0; i < 3; ++i) {
        tickets.push_back(baseline.Acquire(this->request, this->now).value());
        chosen.insert(tickets.back().group().group.value);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), chosen.size());
    }
  }

 private:
  static GroupSummary Summary(const std::string& name) {
    GroupSummary group;
    group.group = GroupId(name);
    group.domain = DomainId("d1");
    group.generation = 3;
    group.zone = ZoneId("ennis");
    group.model = ModelName("folds");
    group.version = ModelVersion("1");
    group.state = GroupState::kServing;
    group.members = {{VmId(name), "127.0.0.1:1", "i1"}};
    return group;
  }

  void Add(const std::string& name, int running = 0) {
    GroupSummary group = Summary(name);
    group.running = running;
    this->table.Update(group, this->now + seconds(8), this->now);
  }

  std::string Chosen() {
    return this->table.Acquire(this->request, this->now).value().group().group.value;
  }

  TimePoint now = TimePoint(seconds(1000));
  GroupTable table{kSeed};
  ServiceTable services{kSeed};
  RouteRequest request;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

}  // namespace
}  // namespace limpetfall
