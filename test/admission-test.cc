#include "core/admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>
#include <queue>

namespace limpetfall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TeamSpec Team(const std::string& name, double weight, Priority priority = Priority::kNormal) {
  TeamSpec team;
  team.name = TeamName(name);
  team.weight = weight;
  team.priority = priority;
  return team;
}

/** Simulates a queue in front of a fixed number of slots. */
class Simulation {
 public:
  Simulation(AdmissionQueue& queue, int slots, milliseconds service)
      : queue(queue), slots(slots), service(service) {}

  /** Enqueues the requests of `sources` every `gap` until `end`, and serves them in queue order. */
  void Run(const std::vector<AdmissionRequest>& sources, milliseconds gap, milliseconds end) {
    for (TimePoint now = this->start; now < this->start + end; now += milliseconds(1)) {
      this->FinishDue(now);
      if ((now - this->start) % gap == milliseconds(0)) this->Offer(sources, now);
      this->expired += this->queue.Expire(now).size();
      this->StartNext(now);
    }
  }

  std::map<std::string, int> started;
  std::map<std::string, milliseconds> longest_wait;
  std::size_t refused = 0;
  std::size_t expired = 0;
  std::size_t late = 0;  // Requests that finished after their deadline.

 private:
  struct Job {
    TimePoint end;
    AdmissionId id;
    Deadline deadline;
    bool operator>(const Job& other) const { return this->end > other.end; }
  };

  void Offer(const std::vector<AdmissionRequest>& sources, TimePoint now) {
    for (AdmissionRequest request : sources) {
      request.deadline = now + (request.deadline - TimePoint());
      const auto id = this->queue.Enqueue(request, now);
      if (!id) {
        ++this->refused;
        continue;
      }
      this->offered[id.value()] = {request, now};
    }
  }

  void StartNext(TimePoint now) {
    while (static_cast<int>(this->running.size()) < this->slots) {
      const auto id = this->queue.Next({}, now);
      if (!id) return;
      this->queue.Start(*id, now);
      const auto& [request, since] = this->offered.at(*id);
      ++this->started[request.team.value];
      auto& longest = this->longest_wait[request.team.value];
      longest = std::max(longest, std::chrono::duration_cast<milliseconds>(now - since));
      this->running.push({now + this->service, *id, request.deadline});
    }
  }

  void FinishDue(TimePoint now) {
    while (!this->running.empty() && this->running.top().end <= now) {
      this->queue.Finish(this->running.top().id, true, now);
      if (this->running.top().end > this->running.top().deadline) ++this->late;
      this->running.pop();
    }
  }

  AdmissionQueue& queue;
  int slots;
  milliseconds service;
  TimePoint start{seconds(1000)};
  std::map<AdmissionId, std::pair<AdmissionRequest, TimePoint>> offered;
  std::priority_queue<Job, std::vector<Job>, std::greater<>> running;
};

AdmissionRequest Request(const std::string& team, Priority priority, seconds deadline) {
  AdmissionRequest request;
  request.team = TeamName(team);
  request.lane = "folds/1";
  request.priority = priority;
  request.deadline = TimePoint(deadline);
  return request;
}

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(TeamsShareCapacityByWeightUnderOverload);
  CPPUNIT_TEST(ShareIsMeasuredInRequestCost);
  CPPUNIT_TEST(IdleTeamAccumulatesNoCredit);
  CPPUNIT_TEST(HigherPriorityGoesFirst);
  CPPUNIT_TEST(LowPriorityIsNotStarved);
  CPPUNIT_TEST(RequestThatWouldMissItsDeadlineIsRefusedOnArrival);
  CPPUNIT_TEST(RequestsAreAdmittedAfterSlowPeriod);
  CPPUNIT_TEST(LongServiceTimeIsNotCountedAsWait);
  CPPUNIT_TEST(LateRequestStartsAfterThoseThatCanBeOnTime);
  CPPUNIT_TEST(UrgencyGoesBeforeBeingOnTime);
  CPPUNIT_TEST(LateRequestsDoNotDelayOneThatCanBeOnTime);
  CPPUNIT_TEST(CancelledLateRequestIsRemoved);
  CPPUNIT_TEST(BacklogAfterOutageDelaysNoNewRequests);
  CPPUNIT_TEST(StartedStreamIsAdmittedWithShortDeadline);
  CPPUNIT_TEST(RequestIsRefusedWhenQueueIsFull);
  CPPUNIT_TEST(CancelledRequestIsRemoved);
  CPPUNIT_TEST(BlockedLaneDoesNotBlockOtherLanes);
  CPPUNIT_TEST(RateLimitAppliesAcrossNodes);
  CPPUNIT_TEST(RateLimitIsDividedByDemand);
  CPPUNIT_TEST(RetriesStayWithinBudget);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a large team that takes capacity from small ones. Tolerance: 2% of the total.
  void TeamsShareCapacityByWeightUnderOverload() {
    AdmissionQueue queue({});
    queue.SetTeams({Team("a", 6), Team("b", 3), Team("c", 1)}, TimePoint(seconds(1000)));
    Simulation simulation(queue, 4, milliseconds(40));
    simulation.Run(
        {Request("a", Priority::kNormal, seconds(60)), Request("b", Priority::kNormal, seconds(60)),
         Request("c", Priority::kNormal, seconds(60))},
        milliseconds(5), milliseconds(20000));
    const double total =
        simulation.started["a"] + simulation.started["b"] + simulation.started["c"];
    CPPUNIT_ASSERT(total > 1900);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, simulation.started["a"] / total, 0.02);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, simulation.started["b"] / total, 0.02);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, simulation.started["c"] / total, 0.02);
  }

  // Guards against a team that obtains more capacity by sending larger requests.
  void ShareIsMeasuredInRequestCost() {
    AdmissionQueue queue({});
    queue.SetTeams({Team("a", 1), Team("b", 1)}, TimePoint(seconds(1000)));
    AdmissionRequest large = Request("a", Priority::kNormal, seconds(60));
    large.cost = 4;
    Simulation simulation(queue, 1, milliseconds(10));
    simulation.Run({large, Request("b", Priority::kNormal, seconds(60))}, milliseconds(5),
                   milliseconds(10000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        4.0, static_cast<double>(simulation.started["b"]) / simulation.started["a"], 0.1);
  }

  // Guards against a team that blocks all others after a period without requests.
  void IdleTeamAccumulatesNoCredit() {
    AdmissionQueue queue({});
    queue.SetTeams({Team("a", 1), Team("b", 1)}, TimePoint(seconds(1000)));
    const TimePoint now(seconds(1000));
    for (int i = 0; i < 100; ++i) {
      const auto id = queue.Enqueue(this->RequestAt("a", now), now).value();
      queue.Start(id, now);
    }
    for (int i = 0; i < 10; ++i) {
      (void)queue.Enqueue(this->RequestAt("a", now), now).value();
      (void)queue.Enqueue(this->RequestAt("b", now), now).value();
    }
    std::set<AdmissionId> first;
    for (int i = 0; i < 10; ++i) {
      first.insert(*queue.Next({}, now));
      queue.Start(*queue.Next({}, now), now);
    }
    const auto of_a =
        std::count_if(first.begin(), first.end(), [](auto id) { return id % 2 == 1; });
    CPPUNIT_ASSERT(of_a >= 4 && of_a <= 6);
  }

  // Guards against requests of high priority that wait for those of lower priority.
  void HigherPriorityGoesFirst() {
    AdmissionQueue queue({});
    const TimePoint now(seconds(1000));
    (void)queue.Enqueue(this->RequestAt("a", now, Priority::kLow), now).value();
    const auto urgent = queue.Enqueue(this->RequestAt("a", now, Priority::kHigh), now).value();
    CPPUNIT_ASSERT_EQUAL(urgent, *queue.Next({}, now));
  }

  // Guards against low-priority requests that never start under constant high-priority load.
  void LowPriorityIsNotStarved() {
    AdmissionQueue queue({});
    queue.SetTeams({Team("high", 1), Team("low", 1)}, TimePoint(seconds(1000)));
    Simulation simulation(queue, 2, milliseconds(20));
    simulation.Run({Request("high", Priority::kHigh, seconds(60)),
                    Request("low", Priority::kLow, seconds(60))},
                   milliseconds(8), milliseconds(30000));
    CPPUNIT_ASSERT(simulation.started["low"] > 100);
    CPPUNIT_ASSERT(simulation.started["high"] > simulation.started["low"]);
  }

  // Guards against using capacity for responses that would arrive after their deadline.
  void RequestThatWouldMissItsDeadlineIsRefusedOnArrival() {
    AdmissionQueue queue({});
    queue.SetTeams({Team("a", 1)}, TimePoint(seconds(1000)));
    Simulation simulation(queue, 2, milliseconds(100));
    simulation.Run({Request("a", Priority::kNormal, seconds(1))}, milliseconds(25),
                   milliseconds(20000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation.late);
    CPPUNIT_ASSERT(simulation.started["a"] > 390);  // Of 400 that the slots can serve.
    CPPUNIT_ASSERT(simulation.refused > 300);
    CPPUNIT_ASSERT(simulation.expired < 40);  // Nearly all requests are refused on arrival.
  }

  // Guards against refusing all requests because of the service time measured in a slow period. No
  // request would then run and correct the estimate.
  void RequestsAreAdmittedAfterSlowPeriod() {
    AdmissionQueue queue({});
    TimePoint now(seconds(1000));
    const auto slow = queue.Enqueue(this->RequestAt("a", now), now).value();
    queue.Start(slow, now);
    now += seconds(30);
    queue.Finish(slow, true, now);
    int served = 0;
    for (int i = 0; i < 40; ++i) {
      AdmissionRequest request = this->RequestAt("a", now);
      request.deadline = now + seconds(1);
      const auto id = queue.Enqueue(request, now);
      if (id) {
        queue.Start(id.value(), now);
        now += milliseconds(50);
        queue.Finish(id.value(), true, now);
        ++served;
      }
    }
    CPPUNIT_ASSERT_EQUAL(40, served);
  }

  // Guards against refusing long completions because of the limit on queueing time.
  void LongServiceTimeIsNotCountedAsWait() {
    AdmissionQueue queue({});
    TimePoint now(seconds(1000));
    const auto long_request = queue.Enqueue(this->RequestAt("a", now), now).value();
    queue.Start(long_request, now);
    now += seconds(15);
    queue.Finish(long_request, true, now);
    queue.Start(queue.Enqueue(this->RequestAt("a", now), now).value(), now);
    AdmissionRequest request = this->RequestAt("a", now);
    request.start_by = now + seconds(10);
    CPPUNIT_ASSERT(queue.Enqueue(request, now).has_value());
    CPPUNIT_ASSERT(queue.Expire(now + seconds(9)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.Expire(now + seconds(10)).size());
  }

  // Guards against giving a slot to a request that is late in any case, while another one that
  // waits for it becomes late.
  void LateRequestStartsAfterThoseThatCanBeOnTime() {
    AdmissionQueue queue({});
    const TimePoint now(seconds(100));
    AdmissionRequest first = Request("a", Priority::kNormal, seconds(106));
    first.on_time_by = now + milliseconds(100);
    const AdmissionId late = queue.Enqueue(first, now).value();
    first.on_time_by = now + milliseconds(300);
    const AdmissionId on_time = queue.Enqueue(first, now + milliseconds(50)).value();
    CPPUNIT_ASSERT(queue.Next({}, now + milliseconds(50)) == late);
    queue.MoveLate(now + milliseconds(150));
    CPPUNIT_ASSERT(queue.Next({}, now + milliseconds(150)) == on_time);
    queue.Start(on_time, now + milliseconds(150));
    CPPUNIT_ASSERT(queue.Next({}, now + milliseconds(150)) == late);
  }

  // Guards against refusing a request that can be on time because many late ones wait, which start
  // after it.
  void LateRequestsDoNotDelayOneThatCanBeOnTime() {
    AdmissionQueue queue({});
    TimePoint now(seconds(100));
    AdmissionRequest request = Request("a", Priority::kNormal, seconds(160));
    for (int i = 0; i < 2; ++i) {
      const AdmissionId served = queue.Enqueue(request, now).value();
      queue.Start(served, now);
      if (i > 0) break;
      now += seconds(1);
      queue.Finish(served, true, now);
    }
    request.on_time_by = now;
    for (int i = 0; i < 5; ++i) CPPUNIT_ASSERT(queue.Enqueue(request, now));
    request.start_by = now + seconds(1);
    CPPUNIT_ASSERT(!queue.Enqueue(request, now));
    request.on_time_by = request.start_by;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.QueuedBefore(request, now));
    CPPUNIT_ASSERT(queue.Enqueue(request, now));
  }

  // Guards against serving less urgent requests more often than urgent ones under overload.
  void UrgencyGoesBeforeBeingOnTime() {
    AdmissionQueue queue({});
    const TimePoint now(seconds(100));
    AdmissionRequest urgent = Request("a", Priority::kHigh, seconds(106));
    urgent.on_time_by = now;
    const AdmissionId late = queue.Enqueue(urgent, now).value();
    AdmissionRequest normal = Request("a", Priority::kNormal, seconds(106));
    normal.on_time_by = now + milliseconds(300);
    CPPUNIT_ASSERT(queue.Enqueue(normal, now));
    queue.MoveLate(now);
    CPPUNIT_ASSERT(queue.Next({}, now) == late);
  }

  // Guards against a queue that fills up with requests that have been cancelled after they became
  // late.
  void CancelledLateRequestIsRemoved() {
    AdmissionQueue queue({});
    const TimePoint now(seconds(100));
    AdmissionRequest request = Request("a", Priority::kNormal, seconds(106));
    request.on_time_by = now + milliseconds(100);
    const AdmissionId id = queue.Enqueue(request, now).value();
    queue.MoveLate(now + milliseconds(200));
    CPPUNIT_ASSERT(queue.Cancel(id));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.queued());
    CPPUNIT_ASSERT(!queue.Next({}, now + milliseconds(200)));
  }

  // Guards against answers that are all late for seconds after an outage: 40 requests have queued
  // up for 4 slots of 100 ms, and new ones arrive at the rate that the slots can serve.
  void BacklogAfterOutageDelaysNoNewRequests() {
    AdmissionQueue queue({});
    const TimePoint start(seconds(100));
    AdmissionRequest request = Request("a", Priority::kNormal, seconds(106));
    request.on_time_by = start - milliseconds(1);
    for (int i = 0; i < 40; ++i) CPPUNIT_ASSERT(queue.Enqueue(request, start));
    std::map<AdmissionId, Deadline> fresh;
    std::map<AdmissionId, TimePoint> running;
    int on_time = 0;
    for (TimePoint now = start; now < start + seconds(2); now += milliseconds(5)) {
      std::erase_if(running, [&](const auto& entry) {
        if (now < entry.second) return false;
        queue.Finish(entry.first, true, now);
        return true;
      });
      if ((now - start) % milliseconds(25) == milliseconds(0)) {
        request.on_time_by = now + milliseconds(100);
        fresh[queue.Enqueue(request, now).value()] = request.on_time_by;
      }
      queue.MoveLate(now);
      for (auto id = queue.Next({}, now); id && running.size() < 4; id = queue.Next({}, now)) {
        queue.Start(*id, now);
        running[*id] = now + milliseconds(100);
        if (const auto entry = fresh.find(*id); entry != fresh.end() && now <= entry->second)
          ++on_time;
      }
    }
    CPPUNIT_ASSERT(on_time >= static_cast<int>(fresh.size()) - 4);
  }

  // Guards against aborting a stream after the loss of its group because the remaining time is too
  // short for a complete request.
  void StartedStreamIsAdmittedWithShortDeadline() {
    AdmissionQueue queue({});
    TimePoint now(seconds(1000));
    const auto first = queue.Enqueue(this->RequestAt("a", now), now).value();
    queue.Start(first, now);
    now += seconds(4);
    queue.Finish(first, true, now);
    queue.Start(queue.Enqueue(this->RequestAt("a", now), now).value(), now);
    AdmissionRequest request = this->RequestAt("a", now);
    request.deadline = now + seconds(2);
    request.is_retry = true;
    CPPUNIT_ASSERT(queue.Enqueue(request, now).has_error());
    request.response_started = true;
    CPPUNIT_ASSERT(queue.Enqueue(request, now).has_value());
    CPPUNIT_ASSERT(queue.Expire(now + seconds(1)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.Expire(now + seconds(2)).size());
  }

  // Guards against a queue that grows until the node is out of memory.
  void RequestIsRefusedWhenQueueIsFull() {
    AdmissionQueue queue({8, milliseconds(1000)});
    const TimePoint now(seconds(1000));
    for (int i = 0; i < 8; ++i) (void)queue.Enqueue(this->RequestAt("a", now), now).value();
    const auto full = queue.Enqueue(this->RequestAt("b", now), now);
    CPPUNIT_ASSERT(!full && full.error().code == ErrorCode::kResourceExhausted);
    CPPUNIT_ASSERT(full.error().verdict == Verdict::kNotRun);
  }

  // Guards against starting requests whose callers have disconnected.
  void CancelledRequestIsRemoved() {
    AdmissionQueue queue({});
    const TimePoint now(seconds(1000));
    const auto first = queue.Enqueue(this->RequestAt("a", now), now).value();
    const auto second = queue.Enqueue(this->RequestAt("a", now), now).value();
    CPPUNIT_ASSERT(queue.Cancel(first));
    CPPUNIT_ASSERT(!queue.Cancel(first));
    CPPUNIT_ASSERT_EQUAL(second, *queue.Next({}, now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.queued());
  }

  // Guards against a model without groups that blocks the requests of all other models.
  void BlockedLaneDoesNotBlockOtherLanes() {
    AdmissionQueue queue({});
    const TimePoint now(seconds(1000));
    (void)queue.Enqueue(this->RequestAt("a", now), now).value();
    AdmissionRequest other = this->RequestAt("a", now);
    other.lane = "captions/1";
    const auto id = queue.Enqueue(other, now).value();
    CPPUNIT_ASSERT_EQUAL(id, *queue.Next({"folds/1"}, now));
  }

  // Guards against a team that exceeds its rate by sending through several nodes.
  void RateLimitAppliesAcrossNodes() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        200,
        this->CountAdmittedByTwoNodes(10, 10).first + this->CountAdmittedByTwoNodes(10, 10).second,
        20);
  }

  // Guards against reserving rate at nodes through which the team sends few requests.
  void RateLimitIsDividedByDemand() {
    const auto [busy, quiet] = this->CountAdmittedByTwoNodes(10, 200);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, busy + quiet, 20);
    CPPUNIT_ASSERT(busy > 8 * quiet);
  }

  // Guards against retries that multiply load.
  void RetriesStayWithinBudget() {
    RetryBudget budget;
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
      budget.OnRequest(0.1);
      if (budget.TryTake()) ++taken;
    }
    CPPUNIT_ASSERT(taken >= 100 && taken <= 116);
  }

 private:
  AdmissionRequest RequestAt(const std::string& team, TimePoint now,
                             Priority priority = Priority::kNormal) {
    AdmissionRequest request = Request(team, priority, seconds(0));
    request.deadline = now + seconds(60);
    return request;
  }

  // Sends requests of one team, limited to 20 per second, through two nodes. The gaps are the
  // milliseconds between requests at each node. The nodes exchange their demand every second.
  // Returns the number of requests that each node admits during the last 10 s of 20 s.
  std::pair<int, int> CountAdmittedByTwoNodes(int first_gap, int second_gap) {
    struct Node {
      AdmissionQueue queue{{}};
      int gap = 0;
      int admitted = 0;
    };
    TeamSpec team = Team("a", 1);
    team.requests_per_second = 20;
    Node first;
    Node second;
    first.gap = first_gap;
    second.gap = second_gap;
    const TimePoint start(seconds(1000));
    for (Node* node : {&first, &second}) node->queue.SetTeams({team}, start);
    for (int ms = 0; ms < 20000; ++ms) {
      const TimePoint now = start + milliseconds(ms);
      for (Node* node : {&first, &second}) {
        if (ms % node->gap != 0) continue;
        const auto id = node->queue.Enqueue(this->RequestAt("a", now), now);
        if (!id) continue;
        if (ms >= 10000) ++node->admitted;  // The averaged demand is stable by now.
        node->queue.Start(id.value(), now);
        node->queue.Finish(id.value(), true, now);
      }
      if (ms % 1000 != 999) continue;
      const auto from_first = first.queue.Demand(NodeId("1"), now);
      const auto from_second = second.queue.Demand(NodeId("2"), now);
      first.queue.OnDemand(from_second.front(), now + seconds(3));
      second.queue.OnDemand(from_first.front(), now + seconds(3));
    }
    return {first.admitted, second.admitted};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace
}  // namespace limpetfall
