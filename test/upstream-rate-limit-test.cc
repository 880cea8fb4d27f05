#include "core/upstream-rate-limit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <random>
#include <string>
#include <vector>

namespace limpetfall {
namespace {

TimePoint At(double seconds) {
  return TimePoint(std::chrono::hours(1)) +
         std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

RequestRate PerSecond(double value) { return RequestRate::FromPerSecond(value).value(); }

/** What happens in one replay. */
struct ReplayOptions {
  std::size_t nodes = 6;
  double limit = 4;                  ///< Requests per second; stated from 1 s on.
  double demand = 12;                ///< Requests per second that callers send in all.
  bool one_node_only = false;        ///< All callers use one node.
  double report_loss = 0;            ///< Fraction of the reports that are lost.
  bool freezes = false;              ///< Nodes stand still for up to 3 s and go on.
  double lower_limit_from_s = 1000;  ///< From then on, the limit is a half.
};

/** Nodes in front of one upstream, in virtual time. */
class Replay {
 public:
  Replay(ReplayOptions settings, unsigned seed) : options(settings), random(seed) {
    for (std::size_t i = 0; i < this->options.nodes; ++i) {
      Node& node = this->nodes.emplace_back();
      node.id = NodeId("n" + std::to_string(i));
      node.next_round_s = this->Uniform() * kRoundS;
    }
  }

  void Run(double seconds) {
    for (; this->now_s < seconds; this->now_s += kStepS) this->Step();
  }

  /** Returns the most requests in some 4 s from `from_s` on that count for the limit. */
  [[nodiscard]] int MostInWindow(double from_s) const {
    std::size_t first = 0;
    int most = 0;
    int count = 0;
    for (const Arrival& arrival : this->arrivals) {
      if (!arrival.counts || arrival.time_s < from_s) continue;
      ++count;
      while (this->arrivals[first].time_s <= arrival.time_s - 4) {
        const Arrival& old = this->arrivals[first++];
        if (old.counts && old.time_s >= from_s) --count;
      }
      most = std::max(most, count);
    }
    return most;
  }

  [[nodiscard]] double RateBetween(double from_s, double to_s) const {
    const auto count = std::count_if(
        this->arrivals.begin(), this->arrivals.end(),
        [&](const Arrival& arrival) { return from_s <= arrival.time_s && arrival.time_s < to_s; });
    return static_cast<double>(count) / (to_s - from_s);
  }

 private:
  static constexpr double kStepS = 0.005;
  static constexpr double kRoundS = 0.2;
  static constexpr double kPatienceS = 0.4;
  static constexpr double kServiceS = 0.15;

  struct Node {
    NodeId id;
    UpstreamRateLimit limit;
    std::deque<double> waiting;  ///< Arrival times of requests.
    double next_round_s = 0;
    double frozen_until_s = 0;
    double excused_until_s = 0;
    double told_s = 1e9;  ///< When it passed on a response with the limit.
  };

  struct Arrival {
    double time_s = 0;
    bool counts = false;
  };

  struct Response {
    double time_s = 0;
    std::size_t node = 0;
    double sent_s = 0;
    RequestRate rate;
  };

  struct Message {
    double time_s = 0;
    std::size_t to = 0;
    NodeId from;
    RateLimitReport report;
  };

  double Uniform() { return std::uniform_real_distribution<double>()(this->random); }

  [[nodiscard]] RequestRate StatedRate() const {
    if (this->now_s < 1) return {};
    return PerSecond(this->now_s < this->options.lower_limit_from_s ? this->options.limit
                                                                    : this->options.limit / 2);
  }

  void Step() {
    this->AddRequests();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      Node& node = this->nodes[i];
      if (this->options.freezes && this->Uniform() < kStepS / 8) {
        node.frozen_until_s = this->now_s + 3 * this->Uniform();
        node.excused_until_s = node.frozen_until_s + 3;
      }
      if (this->now_s < node.frozen_until_s) continue;
      this->Deliver(i);
      if (node.next_round_s <= this->now_s) this->StartRound(i);
      this->Send(i);
    }
  }

  void AddRequests() {
    if (this->Uniform() >= this->options.demand * kStepS) return;
    const std::size_t node = this->options.one_node_only ? 0 : this->random() % this->nodes.size();
    this->nodes[node].waiting.push_back(this->now_s);
  }

  void Deliver(std::size_t index) {
    Node& node = this->nodes[index];
    std::erase_if(this->messages, [&](const Message& message) {
      if (message.to != index || message.time_s > this->now_s) return false;
      node.limit.OnReport(message.from, message.report, At(this->now_s));
      return true;
    });
    std::erase_if(this->responses, [&](const Response& response) {
      if (response.node != index || response.time_s > this->now_s) return false;
      node.limit.OnResponse(response.rate, At(response.sent_s), At(this->now_s));
      if (response.rate.IsLimited()) node.told_s = std::min(node.told_s, this->now_s);
      return true;
    });
  }

  void StartRound(std::size_t index) {
    Node& node = this->nodes[index];
    node.next_round_s = this->now_s + kRoundS;
    node.limit.StartRound(this->nodes.size(), this->Uniform(), At(this->now_s));
    if (!node.limit.IsWorthReporting(At(this->now_s))) return;
    for (std::size_t to = 0; to < this->nodes.size(); ++to) {
      if (to == index || this->Uniform() < this->options.report_loss) continue;
      this->messages.push_back({this->now_s + 0.001 + 0.01 * this->Uniform(), to, node.id,
                                node.limit.Report(1, At(this->now_s))});
    }
  }

  void Send(std::size_t index) {
    Node& node = this->nodes[index];
    while (!node.waiting.empty() && node.waiting.front() + kPatienceS < this->now_s)
      node.waiting.pop_front();
    while (!node.waiting.empty() && node.limit.CanSend()) {
      node.waiting.pop_front();
      node.limit.Take();
      node.limit.OnSent(At(this->now_s));
      this->arrivals.push_back(
          {this->now_s, node.told_s + 0.5 <= this->now_s && node.excused_until_s <= this->now_s});
      this->responses.push_back({this->now_s + kServiceS * (0.5 + this->Uniform()), index,
                                 this->now_s, this->StatedRate()});
    }
  }

  ReplayOptions options;
  std::mt19937 random;
  double now_s = 0;
  std::vector<Node> nodes;
  std::vector<Arrival> arrivals;
  std::vector<Response> responses;
  std::vector<Message> messages;
};

class UpstreamRateLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamRateLimitTest);
  CPPUNIT_TEST(OnlyDecimalNumbersAreRates);
  CPPUNIT_TEST(UpstreamWithoutLimitIsNotRestricted);
  CPPUNIT_TEST(NewLimitGrantsNothingBeforeNextRound);
  CPPUNIT_TEST(ResponseToEarlierRequestDoesNotEndLimit);
  CPPUNIT_TEST(LimitEndsForAllNodesWithNextResponse);
  CPPUNIT_TEST(NewerStatementOfPeerIsTakenOver);
  CPPUNIT_TEST(PausedNodeDoesNotCatchUp);
  CPPUNIT_TEST(IdleNodesHoldOneGrantEach);
  CPPUNIT_TEST(UpstreamThatTakesNothingIsAskedNowAndThen);
  CPPUNIT_TEST(EndedLimitIsForgotten);
  CPPUNIT_TEST(NodesTogetherKeepLimitUnderRandomLoad);
  CPPUNIT_TEST(NodesKeepLimitWithFreezesAndLostReports);
  CPPUNIT_TEST(LowerLimitIsKeptFromTheNextResponsesOn);
  CPPUNIT_TEST(LimitIsUsedWhenDemandIsSpreadOverNodes);
  CPPUNIT_TEST(LimitIsUsedWhenAllCallersAreAtOneNode);
  CPPUNIT_TEST(HighLimitIsGranted);
  CPPUNIT_TEST(ManyNodesKeepLimit);
  CPPUNIT_TEST(RepeatedReportsDoNotRenewStatement);
  CPPUNIT_TEST(FirstCallersOfOneNodeAmongManyAreServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OnlyDecimalNumbersAreRates() {
    CPPUNIT_ASSERT(RequestRate::Parse("4.8") == PerSecond(4.8));
    CPPUNIT_ASSERT(RequestRate::Parse("0") == PerSecond(0));
    for (const char* text :
         {"", "x", "-1", "-0.5", "nan", "inf", "1e300", "4.8 ", " 4.8", "+4", "4,8", "4.8, 3"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !RequestRate::Parse(text));
    }
    CPPUNIT_ASSERT(!RequestRate::Parse(std::string(400, '9')));
    CPPUNIT_ASSERT(!RequestRate::FromPerSecond(std::numeric_limits<double>::quiet_NaN()));
    CPPUNIT_ASSERT(!PerSecond(std::numeric_limits<double>::infinity()).IsLimited());
  }

  void UpstreamWithoutLimitIsNotRestricted() {
    UpstreamRateLimit limit;
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(limit.CanSend());
      limit.Take();
      limit.OnSent(At(0));
    }
  }

  // Guards against a burst to an upstream that has just asked for less.
  void NewLimitGrantsNothingBeforeNextRound() {
    UpstreamRateLimit limit;
    limit.StartRound(1, 0.99, At(0));
    CPPUNIT_ASSERT(limit.OnResponse(PerSecond(5), At(0), At(0.1)));
    CPPUNIT_ASSERT(!limit.CanSend());
    CPPUNIT_ASSERT(!limit.OnResponse(PerSecond(5), At(0), At(0.15)));
    limit.StartRound(1, 0, At(0.2));
    CPPUNIT_ASSERT(limit.CanSend());
  }

  // Guards against a burst after an answer that was made before the limit and arrives after it.
  void ResponseToEarlierRequestDoesNotEndLimit() {
    UpstreamRateLimit limit;
    limit.OnResponse(PerSecond(5), At(0), At(1));
    CPPUNIT_ASSERT(!limit.OnResponse({}, At(0.9), At(1.1)));
    CPPUNIT_ASSERT(limit.IsLimited());
    CPPUNIT_ASSERT(limit.OnResponse({}, At(1.2), At(1.3)));
    CPPUNIT_ASSERT(!limit.IsLimited());
  }

  void LimitEndsForAllNodesWithNextResponse() {
    UpstreamRateLimit first;
    UpstreamRateLimit second;
    first.OnResponse(PerSecond(5), At(0), At(1));
    second.OnReport(NodeId("n1"), first.Report(1, At(1.1)), At(1.1));
    CPPUNIT_ASSERT(second.IsLimited());
    first.OnResponse({}, At(2), At(2.1));
    CPPUNIT_ASSERT(first.IsWorthReporting(At(2.2)));
    second.OnReport(NodeId("n1"), first.Report(1, At(2.2)), At(2.2));
    CPPUNIT_ASSERT(!second.IsLimited());
  }

  void NewerStatementOfPeerIsTakenOver() {
    UpstreamRateLimit limit;
    limit.OnResponse(PerSecond(5), At(0), At(1));
    limit.OnReport(NodeId("n1"), {1, StatedRate{PerSecond(3), At(0.9)}, 0}, At(1.2));
    CPPUNIT_ASSERT(limit.Concurrency(std::chrono::seconds(1)) == 5);
    limit.OnReport(NodeId("n1"), {1, StatedRate{PerSecond(3), At(1.1)}, 0}, At(1.3));
    CPPUNIT_ASSERT(limit.Concurrency(std::chrono::seconds(1)) == 3);
  }

  // Guards against a bucket that fills while the process stands still.
  void PausedNodeDoesNotCatchUp() {
    UpstreamRateLimit limit;
    limit.OnResponse(PerSecond(10), At(0), At(0.1));
    limit.StartRound(1, 0, At(0.2));
    limit.StartRound(1, 0, At(60));
    int granted = 0;
    for (; limit.CanSend(); ++granted) limit.Take();
    CPPUNIT_ASSERT(granted <= 4);
  }

  // Guards against requests that wait for a round although the upstream is far below its limit.
  void IdleNodesHoldOneGrantEach() {
    UpstreamRateLimit limit;
    limit.OnResponse(PerSecond(5), At(0), At(0));
    limit.StartRound(6, 0.99, At(0.2));
    CPPUNIT_ASSERT(limit.CanSend());
    limit.StartRound(6, 0, At(0.4));
    CPPUNIT_ASSERT(limit.CanSend());
    // The others have sent what the limit allows.
    limit.OnReport(NodeId("n1"), {1, StatedRate{PerSecond(5), At(0)}, 9}, At(0.5));
    limit.StartRound(6, 0, At(0.6));
    CPPUNIT_ASSERT(limit.CanSend());
    limit.StartRound(6, 0, At(1.4));
    CPPUNIT_ASSERT(!limit.CanSend());
  }

  // Guards against an upstream that is never used again after it has stated 0.
  void UpstreamThatTakesNothingIsAskedNowAndThen() {
    UpstreamRateLimit limit;
    limit.OnResponse(PerSecond(0), At(0), At(0));
    std::mt19937 random(1);
    int sent = 0;
    for (int round = 1; round <= 5 * 600; ++round) {
      const TimePoint now = At(0.2 * round);
      limit.StartRound(1, std::uniform_real_distribution<double>()(random), now);
      for (; limit.CanSend(); ++sent) {
        limit.Take();
        limit.OnSent(now);
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), 10 <= sent && sent <= 90);
  }

  void EndedLimitIsForgotten() {
    UpstreamRateLimit limit;
    limit.OnResponse(PerSecond(5), At(0), At(1));
    CPPUNIT_ASSERT(!limit.IsObsolete(At(30)));
    limit.OnResponse({}, At(30), At(31));
    CPPUNIT_ASSERT(!limit.IsObsolete(At(32)));
    CPPUNIT_ASSERT(limit.IsObsolete(At(40)));
  }

  // Replays the rule LIMIT: in no 4 s more than one and a half times what the limit allows, + 5.
  void NodesTogetherKeepLimitUnderRandomLoad() {
    for (unsigned seed = 1; seed <= 150; ++seed) {
      std::mt19937 random(seed);
      ReplayOptions options;
      options.nodes = 1 + random() % 10;
      options.limit = 0.3 + static_cast<double>(random() % 100) / 10;
      options.demand = 1 + static_cast<double>(random() % 60);
      options.one_node_only = random() % 4 == 0;
      CheckLimit(options, seed);
    }
  }

  void NodesKeepLimitWithFreezesAndLostReports() {
    for (unsigned seed = 1; seed <= 150; ++seed) {
      std::mt19937 random(seed);
      ReplayOptions options;
      options.nodes = 2 + random() % 9;
      options.limit = 1 + static_cast<double>(random() % 80) / 10;
      options.demand = 5 + static_cast<double>(random() % 60);
      options.report_loss = 0.2;
      options.freezes = true;
      CheckLimit(options, seed);
    }
  }

  void LowerLimitIsKeptFromTheNextResponsesOn() {
    for (unsigned seed = 1; seed <= 50; ++seed) {
      ReplayOptions options;
      options.limit = 6;
      options.demand = 30;
      options.lower_limit_from_s = 15;
      Replay replay(options, seed);
      replay.Run(30);
      // The earlier limit may have been used up shortly before.
      CPPUNIT_ASSERT(replay.MostInWindow(15 + 3) <= 3 * 4 * 1.5 + 5);
      CPPUNIT_ASSERT(replay.RateBetween(20, 30) <= 3 * 1.2);
    }
  }

  // Guards against a division of the limit that leaves most of it unused.
  void LimitIsUsedWhenDemandIsSpreadOverNodes() {
    for (const double limit : {1.0, 2.0, 5.0, 10.0}) {
      ReplayOptions options;
      options.limit = limit;
      options.demand = 6 * limit;
      Replay replay(options, 1);
      replay.Run(60);
      const double rate = replay.RateBetween(10, 60);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(rate / limit), 0.75 * limit <= rate);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(rate / limit), rate <= 1.15 * limit);
    }
  }

  void LimitIsUsedWhenAllCallersAreAtOneNode() {
    for (const double limit : {2.0, 5.0, 10.0}) {
      ReplayOptions options;
      options.limit = limit;
      options.demand = 6 * limit;
      options.one_node_only = true;
      Replay replay(options, 1);
      replay.Run(60);
      const double rate = replay.RateBetween(10, 60);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(rate / limit), 0.5 * limit <= rate);
    }
  }

  void ManyNodesKeepLimit() {
    for (unsigned seed = 1; seed <= 40; ++seed) {
      std::mt19937 random(seed);
      ReplayOptions options;
      options.nodes = 20 + random() % 60;
      options.limit = 1 + static_cast<double>(random() % 400) / 10;
      options.demand = 20 + static_cast<double>(random() % 180);
      CheckLimit(options, seed);
    }
  }

  // Guards against a grant that exceeds the range of an integer.
  void HighLimitIsGranted() {
    for (const char* text : {"1000", "100000000000", "99999999999999999999999999"}) {
      UpstreamRateLimit limit;
      limit.OnResponse(RequestRate::Parse(text).value(), At(0), At(0));
      limit.StartRound(1, 0.5, At(0.2));
      limit.StartRound(1, 0.5, At(0.4));
      CPPUNIT_ASSERT_MESSAGE(text, limit.CanSend());
    }
  }

  // Guards against reports that make an old statement look new when nodes pass them on, so that
  // responses to later requests do not end the limit.
  void RepeatedReportsDoNotRenewStatement() {
    std::string drifts;
    double longest_s = 0;
    for (const std::size_t count : {3, 8, 20, 78}) {
      for (const double delay_s : {0.0005, 0.005}) {
        const double drift_s = DriftOfStatement(count, delay_s);
        drifts += " " + std::to_string(count) + " nodes, " + std::to_string(delay_s) +
                  " s: " + std::to_string(drift_s);
        longest_s = std::max(longest_s, drift_s);
      }
    }
    CPPUNIT_ASSERT_MESSAGE(drifts, longest_s < 0.1);
  }

  // Guards against callers that wait for the turn of their node although nobody sends.
  void FirstCallersOfOneNodeAmongManyAreServed() {
    for (const std::size_t nodes : {6, 8, 20, 78}) {
      double served = 0;
      for (unsigned seed = 1; seed <= 20; ++seed) {
        ReplayOptions options;
        options.nodes = nodes;
        options.limit = 2;
        options.demand = 1;
        options.one_node_only = true;
        Replay replay(options, seed);
        replay.Run(31);
        served += replay.RateBetween(1, 31) / 20;
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(nodes) + " nodes: " + std::to_string(served),
                             0.5 <= served);
    }
  }

 private:
  /** Returns how much newer a statement looks after 3 s of reports between nodes. */
  static double DriftOfStatement(std::size_t count, double delay_s) {
    struct Datagram {
      double received_s = 0;
      std::size_t from = 0;
      RequestRate rate;
      std::chrono::milliseconds age{};
    };
    std::mt19937 random(1);
    std::uniform_real_distribution<double> fraction;
    std::vector<UpstreamRateLimit> nodes(count);
    std::vector<double> next_status_s;
    for (std::size_t i = 0; i < count; ++i) next_status_s.push_back(1 + 0.2 * fraction(random));
    std::deque<Datagram> sent;
    nodes[0].OnResponse(PerSecond(2), At(0.9), At(1));
    for (double now_s = 1; now_s < 4; now_s += 0.0001) {
      while (!sent.empty() && sent.front().received_s <= now_s) {
        const Datagram& datagram = sent.front();
        for (std::size_t to = 0; to < count; ++to) {
          if (to == datagram.from) continue;
          nodes[to].OnReport(NodeId("n" + std::to_string(datagram.from)),
                             {1, StatedRate{datagram.rate, At(now_s) - datagram.age}, 0},
                             At(now_s));
        }
        sent.pop_front();
      }
      for (std::size_t from = 0; from < count; ++from) {
        if (now_s < next_status_s[from]) continue;
        next_status_s[from] += 0.2;
        const auto stated = nodes[from].Report(1, At(now_s)).stated;
        if (!stated) continue;
        // The wire format has ages in whole milliseconds.
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(At(now_s) - stated->at);
        sent.push_back({now_s + delay_s, from, stated->rate, age});
      }
    }
    // A response ends the limit only if its request was sent after the statement.
    double drift_s = 0;
    for (UpstreamRateLimit& node : nodes) {
      double sent_s = 1;
      while (!node.OnResponse({}, At(sent_s), At(4.1))) sent_s += 0.001;
      drift_s = std::max(drift_s, sent_s - 1);
    }
    return drift_s;
  }

  static void CheckLimit(const ReplayOptions& options, unsigned seed) {
    Replay replay(options, seed);
    replay.Run(30);
    const int most = replay.MostInWindow(1 + 3);
    const double allowed = options.limit * 4 * 1.5 + 5;
    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + std::to_string(most) + " of " +
                               std::to_string(allowed) + " allowed, limit " +
                               std::to_string(options.limit) + ", nodes " +
                               std::to_string(options.nodes),
                           most <= allowed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamRateLimitTest);

}  // namespace
}  // namespace limpetfall
