#include <csignal>
#include <nlohmann/json.hpp>
#include <sstream>

#include "harness/gateway-process-fixture.h"
#include "harness/scripted-server.h"

// The log of a gateway process names each request that it has accepted, however it ends.
namespace limpetfall::testing {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

class RequestEndIntegrationTest : public GatewayProcessFixture {
  CPPUNIT_TEST_SUITE(RequestEndIntegrationTest);
  CPPUNIT_TEST(RequestWhoseCallerLeavesTheQueueIsLogged);
  CPPUNIT_TEST(RequestInHandWhenTheProcessEndsIsLogged);
  CPPUNIT_TEST(RequestCutAtTheEndOfGraceIsLogged);
  CPPUNIT_TEST(RequestThatRanAndFailedIsLoggedAmongManyRefusals);
  CPPUNIT_TEST(StreamOfSlowCallerStaysAtItsUpstream);
  CPPUNIT_TEST(RequestWhoseCallerHasLeftIsNotSentOn);
  CPPUNIT_TEST(RequestWhoseDeadlinePassesAtABusyNodeIsNotSentOn);
  CPPUNIT_TEST(MalformedHeadIsToldFromLostConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that end without a line in the log (LOST).
  void RequestWhoseCallerLeavesTheQueueIsLogged() {
    this->StartProcesses(1);
    this->deployment->events_in_stream = 100;
    this->deployment->event_interval = Milliseconds(50);
    const auto running = this->OccupySlots();
    const auto queued = this->SendWithoutReading("queued");
    this->RunFor(100);
    queued->Close();
    this->ExpectEnd("queued", "caller_gone", "slot");
  }

  // Guards against requests that end with the process without a line in the log (LOST).
  void RequestInHandWhenTheProcessEndsIsLogged() {
    this->stop_grace = Milliseconds(2000);
    this->StartProcesses(1);
    this->deployment->events_in_stream = 400;
    this->deployment->event_interval = Milliseconds(0);
    this->deployment->event_padding = 50 << 10;  // 20 MB in all, more than sockets buffer.
    const auto unread = this->SendWithoutReading("unread");
    this->RunFor(700);
    this->Stop();
    this->ExpectEnd("unread", "unfinished", "caller");
    CPPUNIT_ASSERT(this->FindLine("stopped", "unsent_bytes")->at("unsent_bytes") > 0);
  }

  void RequestCutAtTheEndOfGraceIsLogged() {
    this->stop_grace = Milliseconds(2000);
    this->StartProcesses(1);
    this->deployment->events_in_stream = 100;
    this->deployment->event_interval = Milliseconds(40);
    std::optional<Answer> answer;
    this->StartRequest("GET", "/chat/1", "cut", "k1", "", answer);
    this->RunFor(300);
    this->Stop();
    CPPUNIT_ASSERT(answer && !answer->complete);
    this->ExpectEnd("cut", "failed", "");
  }

  // Guards against requests whose only line is dropped because refusals use up the rate of routine
  // lines (LOST).
  void RequestThatRanAndFailedIsLoggedAmongManyRefusals() {
    this->StartProcesses(1);
    this->deployment->events_in_stream = 100;
    this->deployment->event_interval = Milliseconds(50);
    const auto left = this->SendWithoutReading("left");
    this->RunUntil([&] { return this->deployment->CountRuns("left") == 1; }, 1000);
    constexpr int kCallers = 20;
    constexpr int kRefusals = 2500;  // More than the log takes in a burst and the time of the test.
    int refused = 0;
    for (int i = 0; i < kCallers; ++i)
      asio::co_spawn(*this->io, this->SendToNoRoute(kRefusals, refused), asio::detached);
    this->RunUntil([&] { return refused >= kRefusals; }, 3000);
    left->Close();
    CPPUNIT_ASSERT_EQUAL(std::string("caller_gone"), this->AwaitEnd("left").value("outcome", ""));
  }

  // Guards against a healthy upstream that counts as lost because a caller reads slowly.
  void StreamOfSlowCallerStaysAtItsUpstream() {
    this->StartProcesses(1);
    this->deployment->events_in_stream = 400;
    this->deployment->event_interval = Milliseconds(0);
    this->deployment->event_padding = 50 << 10;  // 20 MB in all, more than sockets buffer.
    const auto unread = this->SendWithoutReading("slow");
    this->RunFor(2500);
    std::string body;
    std::optional<bool> whole;
    asio::co_spawn(
        *this->io,
        [&]() -> asio::awaitable<void> {
          const Deadline deadline = Clock::now() + Milliseconds(4000);
          auto done = (co_await unread->ReadHead(deadline)).has_value()
                          ? co_await unread->ReadSome(body, deadline)
                          : Result<bool>(false);
          while (done && !done.value()) done = co_await unread->ReadSome(body, deadline);
          whole = done.has_value();
        },
        asio::detached);
    this->RunUntil([&] { return whole.has_value(); }, 5000);
    CPPUNIT_ASSERT(*whole);
    const auto padding = static_cast<std::size_t>(this->deployment->events_in_stream) *
                         this->deployment->event_padding;
    CPPUNIT_ASSERT(padding < body.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->deployment->runner_requests.size());
    CPPUNIT_ASSERT(!this->FindLine("upstream_failure", "request", "slow"));
  }

  // Guards against requests that run although their callers left before a busy node read them
  // (GONE).
  void RequestWhoseCallerHasLeftIsNotSentOn() {
    this->StartProcesses(1);
    const std::vector<std::pair<std::string, std::string>> kinds = {
        {"GET", "/chat/1"}, {"POST", "/order/1"}, {"GET", "/lookup/1"}};
    for (const auto& [method, target] : kinds) {
      // Leaves an idle connection to an upstream, on which a request is sent at once.
      CPPUNIT_ASSERT_EQUAL(200, this->SendAndWait(method, target, "before", "k1", "{}").status);
      const std::string id = "left" + target;
      this->processes.front()->Suspend();
      this->SendWithoutReading(id, method, target)->Close();
      this->processes.front()->Resume();
      this->RunFor(300);
      for (const RunnerRequest& seen : this->deployment->runner_requests)
        CPPUNIT_ASSERT(GetHeader(seen.headers, "X-Request-Id") != id);
    }
  }

  // Guards against requests that run after their deadline, because a busy node handles the end of
  // their wait late (GONE).
  void RequestWhoseDeadlinePassesAtABusyNodeIsNotSentOn() {
    this->StartProcesses(1);
    this->deployment->events_in_stream = 30;
    this->deployment->event_interval = Milliseconds(50);
    const auto running = this->OccupySlots();
    HttpRequest request = this->MakeRequest("GET", "/chat/1", "late", "k1", "");
    request.headers["X-Deadline-Ms"] = "1200";
    std::optional<Answer> answer;
    asio::co_spawn(*this->io, this->Send(request, answer), asio::detached);
    this->RunFor(800);
    this->processes.front()->Suspend();
    this->RunFor(1500);
    this->processes.front()->Resume();
    this->RunUntil([&] { return answer.has_value(); }, 2000);
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(running->size(), this->deployment->runner_requests.size());
  }

  // Guards against looking for a fault of the network when an upstream sends what is no response.
  void MalformedHeadIsToldFromLostConnection() {
    this->StartProcesses(1);
    std::string bytes;
    ScriptedServer server(*this->io, [&bytes](const std::string&, std::size_t) {
      return ScriptedResponse{bytes, "", Milliseconds(0), ScriptedEnd::kClose};
    });
    for (const char* runner : {"b1", "b2"})
      this->deployment->SetRunnerAddress(runner, server.address());
    this->RunFor(300);
    const std::vector<std::pair<std::string, std::string>> kinds = {
        {"malformed", "HTTP/1.1 000 Odd\r\n\r\n"}, {"no_answer", "HTTP/1.1 200 OK\r\n"}};
    for (const auto& [kind, response] : kinds) {
      bytes = response;
      CPPUNIT_ASSERT_EQUAL(502, this->SendAndWait("POST", "/order/1", kind, "k1", "{}").status);
      (void)this->AwaitEnd(kind);
      const auto line = this->FindLine("upstream_failure", "request", kind);
      CPPUNIT_ASSERT_EQUAL(kind, line->value("kind", ""));
    }
    this->io->DropPending();
  }

 private:
  void Stop() {
    this->processes.front()->Signal(SIGTERM);
    this->RunUntil([&] { return !this->processes.front()->running(); }, 2500);
    CPPUNIT_ASSERT_EQUAL(0, this->processes.front()->exit_code());
  }

  /** Sends a stream request and reads nothing of the response. */
  std::shared_ptr<HttpConnection> SendWithoutReading(const std::string& id,
                                                     const std::string& method = "GET",
                                                     const std::string& target = "/chat/1") {
    std::shared_ptr<HttpConnection> connection;
    asio::co_spawn(
        *this->io,
        [&]() -> asio::awaitable<void> {
          const Deadline deadline = Clock::now() + Milliseconds(20000);
          connection =
              (co_await HttpConnection::Connect(*this->io, this->caller_address, deadline)).value();
          const std::string body = method == "POST" ? "{}" : "";
          const HttpRequest request = this->MakeRequest(method, target, id, "k1", body);
          (co_await connection->Send(request, deadline)).value();
        },
        asio::detached);
    this->RunFor(100);
    CPPUNIT_ASSERT(connection != nullptr);
    return connection;
  }

  /** Sends requests that have no route, until twice `least` were refused in all. */
  asio::awaitable<void> SendToNoRoute(int least, int& refused) {
    const Deadline deadline = Clock::now() + Milliseconds(10000);
    const auto connection =
        (co_await HttpConnection::Connect(*this->io, this->caller_address, deadline)).value();
    const HttpRequest request = this->MakeRequest("GET", "/none/1", "refused", "k1", "");
    while (refused < 2 * least) {
      const auto response = co_await connection->Call(request, deadline, 1 << 16);
      if (!response || response.value().status != 404) co_return;
      ++refused;
    }
  }

  /** Returns the first line of an event with a field, or nothing. */
  [[nodiscard]] std::optional<json> FindLine(const std::string& event, const std::string& field,
                                             const std::string& value = "") const {
    std::istringstream lines(this->processes.front()->log());
    for (std::string line; std::getline(lines, line);) {
      const json entry = json::parse(line, nullptr, false);
      if (entry.is_discarded() || entry.value("event", "") != event || !entry.contains(field))
        continue;
      if (value.empty() || entry.at(field) == value) return entry;
    }
    return std::nullopt;
  }

  /** Returns the line of the end of a request. */
  [[nodiscard]] json AwaitEnd(const std::string& id) {
    std::optional<json> line;
    this->RunUntil([&] { return (line = this->FindLine("request", "request", id)).has_value(); },
                   1000);
    return *line;
  }

  void ExpectEnd(const std::string& id, const std::string& outcome, const std::string& waits_for) {
    const json line = this->AwaitEnd(id);
    CPPUNIT_ASSERT_EQUAL(outcome, line.value("outcome", ""));
    CPPUNIT_ASSERT_EQUAL(waits_for, line.value("waits_for", ""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestEndIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
