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
  CPPUNIT_TEST(GroupIsUnavailableAfterServeDeadline);
  CPPUNIT_TEST(GroupIsUnavailableUnlessServing);
  CPPUNIT_TEST(SummaryOfOldGenerationIsIgnored);
  CPPUNIT_TEST(SuspensionEndsWithNewGeneration);
  CPPUNIT_TEST(GroupWithChangedModelServesOnlyNewModel);
  CPPUNIT_TEST(GroupMustMatchZonesAndVersion);
  CPPUNIT_TEST(DestroyedTicketReleasesItsSlot);
  CPPUNIT_TEST(InFlightLimitHoldsWithConcurrentThreads);
  CPPUNIT_TEST(LoadOfOtherNodesCountsAgainstLimit);
  CPPUNIT_TEST(EachNodeHasGuaranteedShareOfLimit);
  CPPUNIT_TEST(OwnRequestsAreNotCountedTwice);
  CPPUNIT_TEST(EqualPrefixesUseSameGroup);
  CPPUNIT_TEST(OverloadedPreferredGroupIsAvoided);
  CPPUNIT_TEST(SlowPreferredGroupIsAvoidedBelowItsLimit);
  CPPUNIT_TEST(EqualRequestsUseSameGroupWhenOverloaded);
  CPPUNIT_TEST(BaselinePoliciesIgnorePrefix);
  CPPUNIT_TEST(GroupRunsOneSuspectRequestAtATime);
  CPPUNIT_TEST(LeavingAndUnreachableUpstreamsReceiveNoCalls);
  CPPUNIT_TEST(UpstreamInFlightLimitHolds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests to a group whose summary has expired.
  void GroupIsUnavailableAfterServeDeadline() {
    this->Add("g1");
    CPPUNIT_ASSERT(this->table.Acquire(this->request, this->now + seconds(7)).has_value());
    const auto late = this->table.Acquire(this->request, this->now + seconds(8));
    CPPUNIT_ASSERT(!late && late.error().code == ErrorCode::kUnavailable);
    CPPUNIT_ASSERT(late.error().verdict == Verdict::kNotRun);
  }

  // Guards against requests to a group that loads, drains or has lost a member.
  void GroupIsUnavailableUnlessServing() {
    for (GroupState state : {GroupState::kLoading, GroupState::kDraining, GroupState::kLost}) {
      GroupSummary group = Summary("g1");
      group.state = state;
      this->table.Update(group, this->now + seconds(8), this->now);
      CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
    }
  }

  // Guards against a delayed summary that reopens the serving gate of a rebuilt group.
  void SummaryOfOldGenerationIsIgnored() {
    GroupSummary rebuilt = Summary("g1");
    rebuilt.generation = 4;
    rebuilt.state = GroupState::kLoading;
    this->table.Update(rebuilt, this->now + seconds(8), this->now);
    this->Add("g1");
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
  }

  // Guards against a serving gate that reopens on a summary from before the loss, or never reopens.
  void SuspensionEndsWithNewGeneration() {
    this->Add("g1");
    this->table.Suspend(Summary("g1"), this->now + seconds(1));
    this->Add("g1");
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
    GroupSummary rebuilt = Summary("g1");
    rebuilt.generation = 4;
    this->table.Update(rebuilt, this->now + seconds(8), this->now);
    CPPUNIT_ASSERT(this->table.Acquire(this->request, this->now).has_value());
  }

  // Guards against requests to a group that has since loaded another model.
  void GroupWithChangedModelServesOnlyNewModel() {
    this->Add("g1");
    GroupSummary changed = Summary("g1");
    changed.generation = 4;
    changed.model = ModelName("captions");
    this->table.Update(changed, this->now + seconds(8), this->now);
    this->Add("g1");  // A delayed summary of the old model.
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
    this->request.model = ModelName("captions");
    CPPUNIT_ASSERT(this->table.Acquire(this->request, this->now).has_value());
  }

  // Guards against a request that is sent outside its allowed zones or to another version.
  void GroupMustMatchZonesAndVersion() {
    this->Add("g1");
    this->request.zones = {ZoneId("shannon")};
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
    this->request.zones = {ZoneId("ennis"), ZoneId("shannon")};
    CPPUNIT_ASSERT(this->table.Acquire(this->request, this->now).has_value());
    this->request.version = ModelVersion("2");
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
  }

  // Guards against capacity leaks when tickets are moved, assigned or outlive a rebuild.
  void DestroyedTicketReleasesItsSlot() {
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

  // Guards against a limit check and an increment that are not atomic together.
  void InFlightLimitHoldsWithConcurrentThreads() {
    this->Add("g1");
    this->request.max_in_flight = 3;
    std::atomic<int> held{0};
    std::atomic<int> max_held{0};
    {
      std::vector<std::jthread> threads;
      threads.reserve(4);
      for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
          for (int round = 0; round < 5000; ++round) {
            const auto ticket = this->table.Acquire(this->request, this->now);
            if (!ticket) continue;
            const int count = ++held;
            for (int current_max = max_held;
                 current_max < count && !max_held.compare_exchange_weak(current_max, count);) {
            }
            --held;
          }
        });
      }
    }
    CPPUNIT_ASSERT(max_held <= 3);
    CPPUNIT_ASSERT_EQUAL(0, this->table.in_flight());
  }

  // Guards against several nodes that each send up to the full limit of a group.
  void LoadOfOtherNodesCountsAgainstLimit() {
    this->Add("g1", 7);
    std::vector<GroupTicket> held;
    held.reserve(40);
    held.push_back(this->table.Acquire(this->request, this->now).value());
    const auto full = this->table.Acquire(this->request, this->now);
    CPPUNIT_ASSERT(!full && full.error().code == ErrorCode::kResourceExhausted);
  }

  // Guards against a node that gets no slots because other nodes took all of them first.
  void EachNodeHasGuaranteedShareOfLimit() {
    this->Add("g1", 8);
    this->table.SetNodeCount(3);
    std::vector<GroupTicket> held;
    held.reserve(2);
    for (int i = 0; i < 2; ++i) {
      held.push_back(this->table.Acquire(this->request, this->now).value());
    }
    CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
  }

  // Guards against counting this node's own requests in a report as load from other nodes.
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

  // Guards against prompts with one prefix that are spread over groups, each of which has to cache
  // it.
  void EqualPrefixesUseSameGroup() {
    for (const char* name : {"g1", "g2", "g3", "g4"}) this->Add(name);
    std::set<std::string> all;
    for (int prefix = 0; prefix < 40; ++prefix) {
      this->request.prefix_hash = PrefixHash(this->request.model, std::to_string(prefix));
      std::set<std::string> chosen;
      for (int i = 0; i < 3; ++i) chosen.insert(this->ChooseGroup());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), chosen.size());
      all.merge(chosen);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), all.size());
  }

  // Guards against prefix affinity that queues requests at one group while others are idle.
  void OverloadedPreferredGroupIsAvoided() {
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
  void SlowPreferredGroupIsAvoidedBelowItsLimit() {
    for (const char* name : {"g1", "g2", "g3", "g4"}) this->Add(name);
    const std::string preferred = this->ChooseGroup();
    this->Add(preferred);  // Resets the peak, which still includes the request of the choice above.
    for (const char* name : {"g1", "g2", "g3", "g4"}) this->Add(name, name == preferred ? 5 : 3);
    for (int i = 0; i < 20; ++i) CPPUNIT_ASSERT(this->ChooseGroup() != preferred);
  }

  // Guards against one request that crashes several groups at the same time.
  void EqualRequestsUseSameGroupWhenOverloaded() {
    for (const char* name : {"g1", "g2", "g3"}) this->Add(name);
    this->request.fingerprint = 99;
    std::vector<GroupTicket> held;
    held.reserve(40);
    for (int i = 0; i < 8; ++i) {
      held.push_back(this->table.Acquire(this->request, this->now).value());
      CPPUNIT_ASSERT(held.front().group() == held.back().group());
    }
  }

  // Guards against two suspect requests in one group, where a crash cannot be attributed to either.
  void GroupRunsOneSuspectRequestAtATime() {
    this->Add("g1");
    this->request.suspect = true;
    {
      const auto first = this->table.Acquire(this->request, this->now);
      CPPUNIT_ASSERT(first.has_value());
      CPPUNIT_ASSERT(!this->table.Acquire(this->request, this->now));
    }
    CPPUNIT_ASSERT(this->table.Acquire(this->request, this->now).has_value());
  }

  // Guards against calls to a service upstream that is leaving or unreachable.
  void LeavingAndUnreachableUpstreamsReceiveNoCalls() {
    const ServiceName service("orders");
    this->services.OnReport(service, "a:1", {0, 0, true});
    this->services.MarkUnreachable(service, "b:1", this->now + seconds(1));
    CPPUNIT_ASSERT(!this->services.Acquire(service, {}, {}, 4, this->now));
    CPPUNIT_ASSERT(this->services.Acquire(service, {}, {}, 4, this->now + seconds(1)).has_value());
    this->services.OnReport(service, "b:1", {0, 0, false});
    CPPUNIT_ASSERT(this->services.Acquire(service, {}, {}, 4, this->now).value().address() ==
                   "b:1");
    CPPUNIT_ASSERT(!this->services.Acquire(service, {}, {"b:1"}, 4, this->now));
  }

  // Guards against more calls in flight at a service upstream than its limit.
  void UpstreamInFlightLimitHolds() {
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

  // Guards against baselines that use the prefix, which would compare the default policy with
  // itself.
  void BaselinePoliciesIgnorePrefix() {
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

  std::string ChooseGroup() {
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
