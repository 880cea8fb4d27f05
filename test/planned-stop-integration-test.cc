#include <algorithm>

#include "harness/gateway-fixture.h"
#include "harness/run.h"

// Planned stops of gateway nodes: each request that a node has read gets a complete response.
namespace limpetfall::testing {
namespace {

class PlannedStopIntegrationTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(PlannedStopIntegrationTest);
  CPPUNIT_TEST(LateStreamIsRefusedAndEarlyOneEndsWhole);
  CPPUNIT_TEST(LateStreamIsWholeOrRefusedWhenUpstreamsSlowDown);
  CPPUNIT_TEST(StopIsKnownToAllNodesBeforeAnnounceTimeout);
  CPPUNIT_TEST(RequestInQueueAtStopIsRefusedWithoutRunning);
  CPPUNIT_TEST(OrderInFlightAtEndOfGraceGetsCompleteFailure);
  CPPUNIT_TEST(StopWithoutStoreEndsWithinGrace);
  CPPUNIT_TEST(RequestsOnKeptConnectionsAreAnsweredUntilProcessEnds);
  CPPUNIT_TEST(UnusedKeptConnectionsDelayStopByQuietTimeOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against streams that are accepted late in the grace period and cut at its end (review/4,
  // LOST).
  void LateStreamIsRefusedAndEarlyOneEndsWhole() {
    this->StartServing();
    this->deployment->events_in_stream = 80;
    this->deployment->event_interval = Milliseconds(60);
    const Deadline stopped_at = this->StopFrontNode();
    std::optional<Answer> early;
    this->StartRequest("GET", "/chat/1", "early", "k1", "", early);
    this->RunUntilTime(stopped_at + Milliseconds(3050));
    std::optional<Answer> late;
    this->StartRequest("GET", "/chat/2", "late", "k1", "", late);
    std::optional<Answer> order;
    this->StartRequest("POST", "/order/1", "order", "k1", "{}", order);
    this->RunUntil([&] { return late && order; }, 250);
    this->CheckRefusal(*late, "late");
    CPPUNIT_ASSERT_EQUAL(200, order->status);
    this->RunUntil([&] { return this->finished; }, 8000);
    CPPUNIT_ASSERT(early && early->complete);
    CPPUNIT_ASSERT_EQUAL(this->CompleteStream(), early->body);
  }

  // Guards against streams that are accepted late in the grace period because earlier ones were
  // short, and cut at its end because their upstreams have become slower (LOST).
  void LateStreamIsWholeOrRefusedWhenUpstreamsSlowDown() {
    this->StartServing();
    this->deployment->event_interval = Milliseconds(5);
    constexpr int kShortStreams = 30;
    for (int i = 0; i < kShortStreams; ++i)
      this->SendAndWait("GET", "/chat/1", "short-" + std::to_string(i), "k1");
    const auto kept = this->Connect();
    const Deadline stopped_at = this->StopFrontNode();
    this->RunUntilTime(stopped_at + Milliseconds(3300));
    this->deployment->event_interval = Milliseconds(750);
    const HttpRequest request = this->MakeRequest("GET", "/chat/1", "late", "k1", "");
    const auto response =
        RunUntilDone(*this->io, kept->Call(request, Clock::now() + Milliseconds(6000), 1 << 16));
    CPPUNIT_ASSERT_MESSAGE("the stream was cut", response.has_value());
    if (response.value().status == 200) {
      CPPUNIT_ASSERT_EQUAL(this->CompleteStream(), response.value().body);
    } else {
      this->CheckRefusal({response.value().status, response.value().headers, "", true}, "late");
    }
  }

  // Guards against callers that are sent to a node for up to a second after its stop began, and so
  // still use it near the end of its grace period (review/4, LOST).
  void StopIsKnownToAllNodesBeforeAnnounceTimeout() {
    this->deployment->Put("op/config", ConfigJson(5, R"("k1")"));
    this->StartNode("n0", FreeAddress(), {});
    for (int i = 1; i < 8; ++i)
      this->StartNode("n" + std::to_string(i), FreeAddress(), {this->peer_addresses.front()});
    this->RunFor(3000);
    constexpr std::size_t kStops = 4;
    for (std::size_t i = 0; i < kStops; ++i) {
      this->nodes.at(i)->Stop([] {});
      this->RunFor(400);
      for (std::size_t other = kStops; other < this->nodes.size(); ++other) {
        const auto addresses = this->nodes.at(other)->state().CallerAddresses("z1");
        CPPUNIT_ASSERT(!addresses.empty());
        CPPUNIT_ASSERT(std::find(addresses.begin(), addresses.end(),
                                 this->caller_addresses.at(i)) == addresses.end());
      }
    }
  }

  // Guards against a request that waits for a slot when the stop begins, and is sent to an upstream
  // although the process ends before its deadline.
  void RequestInQueueAtStopIsRefusedWithoutRunning() {
    this->stop_grace = Milliseconds(3000);
    this->StartServing();
    this->deployment->event_interval = Milliseconds(50);
    constexpr std::size_t kSlots = 18;
    std::vector<std::optional<Answer>> running(kSlots);
    for (std::size_t i = 0; i < kSlots; ++i)
      this->StartRequest("GET", "/chat/1", "s" + std::to_string(i), "k1", "", running[i]);
    this->RunUntil([&] { return this->deployment->runner_requests.size() == kSlots; }, 200);
    std::optional<Answer> queued;
    this->StartRequest("GET", "/chat/1", "queued", "k1", "", queued);
    this->RunFor(20);
    this->StopFrontNode();
    this->RunUntil([&] { return queued.has_value(); }, 200);
    this->CheckRefusal(*queued, "queued");
    for (std::optional<Answer>& answer : running) {
      this->RunUntil([&] { return answer.has_value(); }, 2000);
      CPPUNIT_ASSERT_EQUAL(this->CompleteStream(), answer->body);
    }
  }

  // Guards against a closed connection in place of an answer for requests that are in flight when
  // the process must end.
  void OrderInFlightAtEndOfGraceGetsCompleteFailure() {
    this->stop_grace = Milliseconds(1500);
    this->StartServing();
    this->deployment->plain_response_delay = Milliseconds(5000);
    std::optional<Answer> answer;
    this->StartRequest("POST", "/order/1", "order", "k1", "{}", answer);
    this->RunUntil([&] { return this->deployment->CountRuns("order") == 1; }, 500);
    const Deadline stopped_at = this->StopFrontNode();
    this->RunUntil([&] { return this->finished; }, 1500);
    CPPUNIT_ASSERT(answer && answer->complete);
    CPPUNIT_ASSERT_EQUAL(502, answer->status);
    CPPUNIT_ASSERT(Clock::now() <= stopped_at + this->stop_grace);
  }

  // Guards against a stop that waits for the store past the end of the grace period.
  void StopWithoutStoreEndsWithinGrace() {
    this->stop_grace = Milliseconds(1500);
    this->StartServing();
    this->deployment->store_mode = StoreMode::kUnresponsive;
    const Deadline stopped_at = this->StopFrontNode();
    this->RunUntil([&] { return this->finished; }, 5000);
    CPPUNIT_ASSERT(Clock::now() <= stopped_at + this->stop_grace);
  }

  // Guards against kept connections that end without a response, 3.4 s after SIGTERM (LOST).
  void RequestsOnKeptConnectionsAreAnsweredUntilProcessEnds() {
    this->StartServing();
    constexpr int kConnections = 12;
    std::vector<std::shared_ptr<HttpConnection>> kept;
    for (int i = 0; i < kConnections; ++i) {
      kept.push_back(this->Connect());
      CPPUNIT_ASSERT_EQUAL(200, this->CallOn(*kept.back(), "before-" + std::to_string(i)).status);
    }
    const Deadline stopped_at = this->StopFrontNode();
    for (int i = 0; i < kConnections; ++i) {
      this->RunUntilTime(stopped_at + Milliseconds(400 * i));
      const std::string id = "after-" + std::to_string(i);
      const Answer answer = this->CallOn(*kept[static_cast<std::size_t>(i)], id);
      CPPUNIT_ASSERT_MESSAGE(id, answer.complete);
      CPPUNIT_ASSERT_MESSAGE(id, answer.status == 200 || answer.status == 503);
      CPPUNIT_ASSERT_EQUAL(std::string("close"),
                           std::string(GetHeader(answer.headers, "Connection")));
      CPPUNIT_ASSERT_EQUAL(answer.status == 200 ? 1 : 0, this->deployment->CountRuns(id));
      kept[static_cast<std::size_t>(i)]->Close();
    }
    this->RunUntil([&] { return this->finished; }, 200);
  }

  void UnusedKeptConnectionsDelayStopByQuietTimeOnly() {
    this->StartServing();
    const auto kept = this->Connect();
    CPPUNIT_ASSERT_EQUAL(200, this->CallOn(*kept, "before").status);
    const Deadline stopped_at = this->StopFrontNode();
    this->RunUntil([&] { return this->finished; }, 5000);
    CPPUNIT_ASSERT(stopped_at + Milliseconds(4400) <= Clock::now());
  }

 private:
  std::shared_ptr<HttpConnection> Connect() {
    return RunUntilDone(*this->io, HttpConnection::Connect(*this->io, this->caller_address,
                                                           Clock::now() + Milliseconds(500)))
        .value();
  }

  /** Sends an order on a kept connection and reads the response. */
  Answer CallOn(HttpConnection& connection, const std::string& id) {
    HttpRequest request = this->MakeRequest("POST", "/order/1", id, "k1", "");
    request.headers["X-Deadline-Ms"] = "1000";
    const auto response = RunUntilDone(
        *this->io, connection.Call(request, Clock::now() + Milliseconds(2000), 1 << 16));
    if (!response) return {};
    return {response.value().status, response.value().headers, response.value().body, true};
  }

  /** Stops the first node and returns the time. */
  Deadline StopFrontNode() {
    this->finished = false;
    this->nodes.front()->Stop([this] { this->finished = true; });
    return Clock::now();
  }

  void RunUntilTime(Deadline end) { this->io->run_until(end); }

  /** Checks that a request was refused with a true "not run" and a time to come back. */
  void CheckRefusal(const Answer& answer, const std::string& id) {
    CPPUNIT_ASSERT(answer.complete);
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(answer.headers.contains("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(0, this->deployment->CountRuns(id));
  }

  bool finished = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
