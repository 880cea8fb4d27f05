#include "upstream/release-check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "upstream/engine-control.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using std::chrono::milliseconds;

// Returns the result of `answer` for each request after a delay.
class FakeClient : public HttpClient {
 public:
  using Answer = std::function<Result<HttpResponse>(const HttpRequest&)>;

  awaitable<Result<HttpResponse>> Fetch(HttpRequest request, Deadline /*deadline*/) override {
    ++this->fetches;
    const auto executor = co_await asio::this_coro::executor;
    // The report has the engine's state at the arrival of the request, not of the response.
    const Result<HttpResponse> response = this->answer(request);
    asio::steady_timer timer(executor, this->delay);
    co_await timer.async_wait(asio::use_awaitable);
    co_return response;
  }

  awaitable<Result<std::unique_ptr<HttpStream>>> Open(HttpRequest /*request*/,
                                                      Deadline /*deadline*/) override {
    co_return NotRun(ErrorCode::kInternal, "not used");
  }

  Answer answer;
  milliseconds delay{0};
  std::atomic<int> fetches = 0;
};

nlohmann::json ReportJson(const std::string& vm, const std::string& instance, int generation) {
  return {{"vm", vm},
          {"instance", instance},
          {"state", "ready"},
          {"group", "d/g1"},
          {"generation", generation},
          {"model", "m"},
          {"version", "1"},
          {"rank", 0},
          {"size", 2},
          {"running", 0},
          {"queued", 0}};
}

GroupSummary TwoMemberGroup() {
  GroupSummary group;
  group.group = GroupId("d/g1");
  group.generation = 4;
  group.members = {{VmId("v1"), "127.0.0.1:1", "i1"}, {VmId("v2"), "127.0.0.1:2", "i2"}};
  return group;
}

class ReleaseCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReleaseCheckTest);
  CPPUNIT_TEST(MatchingReportsConfirmGroup);
  CPPUNIT_TEST(ChangedGenerationIsUpstreamLost);
  CPPUNIT_TEST(RestartedEngineIsUpstreamLost);
  CPPUNIT_TEST(ReportOfAnotherVmIsUpstreamLost);
  CPPUNIT_TEST(RefusedConnectionsFailBeforeDeadline);
  CPPUNIT_TEST(TimedOutReportIsRetried);
  CPPUNIT_TEST(MissingReportFailsAtDeadline);
  CPPUNIT_TEST(ConcurrentRequestsShareRound);
  CPPUNIT_TEST(RequestDuringRoundUsesNextRound);
  CPPUNIT_TEST(MalformedReportIsProtocolError);
  CPPUNIT_TEST(RefusedAssignmentIsConflict);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->client = std::make_shared<FakeClient>();
    this->client->answer = [this](const HttpRequest& request) {
      return this->MatchingReport(request);
    };
    this->check = ReleaseCheck::Create(this->client);
  }

  Result<HttpResponse> MatchingReport(const HttpRequest& request) const {
    const bool first = request.address.ends_with(":1");
    return HttpResponse{
        200, {}, ReportJson(first ? "v1" : "v2", first ? "i1" : "i2", this->generation).dump()};
  }

  void StartConfirm(std::vector<Result<void>>& results, milliseconds start_delay,
                    milliseconds limit) {
    asio::co_spawn(this->io, Confirm(this->io, this->check, start_delay, limit, &results),
                   asio::detached);
  }

  static awaitable<void> Confirm(asio::io_context& io, std::shared_ptr<ReleaseCheck> check,
                                 milliseconds start_delay, milliseconds limit,
                                 std::vector<Result<void>>* results) {
    asio::steady_timer timer(io, start_delay);
    co_await timer.async_wait(asio::use_awaitable);
    const Deadline deadline = Clock::now() + limit;
    auto result = co_await check->Confirm(TwoMemberGroup(), deadline);
    results->push_back(result);
  }

  static awaitable<void> ReadReport(HttpClient& client, std::optional<Result<VmReport>>* report) {
    auto result = co_await FetchReport(client, "127.0.0.1:1", Clock::now() + kLimit);
    report->emplace(std::move(result));
  }

  static awaitable<void> Assign(HttpClient& client, std::optional<Result<void>>* sent) {
    GroupRecord group;
    auto result = co_await SendAssignment(client, "127.0.0.1:1", group, 0, Clock::now() + kLimit);
    sent->emplace(std::move(result));
  }

  Result<void> ConfirmOnce(milliseconds limit = milliseconds(1000)) {
    std::vector<Result<void>> results;
    this->StartConfirm(results, milliseconds(0), limit);
    this->io.restart();
    this->io.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, results.size());
    return results.front();
  }

  void MatchingReportsConfirmGroup() { CPPUNIT_ASSERT(this->ConfirmOnce().has_value()); }

  // Guards against releasing a response of a group that was reassembled in the meantime.
  void ChangedGenerationIsUpstreamLost() {
    this->generation = 5;
    CPPUNIT_ASSERT(this->ConfirmOnce().error().code == ErrorCode::kUpstreamLost);
  }

  // Guards against releasing a response although a member was restarted in between.
  void RestartedEngineIsUpstreamLost() {
    this->client->answer = [](const HttpRequest& request) -> Result<HttpResponse> {
      const bool first = request.address.ends_with(":1");
      return HttpResponse{200, {}, ReportJson(first ? "v1" : "v2", "i1", 4).dump()};
    };
    CPPUNIT_ASSERT(this->ConfirmOnce().error().code == ErrorCode::kUpstreamLost);
  }

  // Guards against accepting the report of another VM at the member's address.
  void ReportOfAnotherVmIsUpstreamLost() {
    this->client->answer = [](const HttpRequest&) -> Result<HttpResponse> {
      return HttpResponse{200, {}, ReportJson("v1", "i1", 4).dump()};
    };
    CPPUNIT_ASSERT(this->ConfirmOnce().error().code == ErrorCode::kUpstreamLost);
  }

  // Guards against delaying the failure until the deadline when a member refuses connections.
  void RefusedConnectionsFailBeforeDeadline() {
    this->client->answer = [](const HttpRequest&) -> Result<HttpResponse> {
      return NotRun(ErrorCode::kUnavailable, "connection refused");
    };
    const TimePoint start = Clock::now();
    CPPUNIT_ASSERT(!this->ConfirmOnce(milliseconds(5000)).has_value());
    CPPUNIT_ASSERT(Clock::now() - start < milliseconds(2500));
  }

  // Guards against failing a group because one connection stalled.
  void TimedOutReportIsRetried() {
    this->client->answer = [this](const HttpRequest& request) -> Result<HttpResponse> {
      if (this->client->fetches > 4) return this->MatchingReport(request);
      return MayHaveRun(ErrorCode::kDeadlineExceeded, "silent");
    };
    CPPUNIT_ASSERT(this->ConfirmOnce().has_value());
  }

  // Guards against releasing a response without the reports of all members.
  void MissingReportFailsAtDeadline() {
    this->client->answer = [](const HttpRequest&) -> Result<HttpResponse> {
      return MayHaveRun(ErrorCode::kDeadlineExceeded, "silent");
    };
    CPPUNIT_ASSERT(this->ConfirmOnce(milliseconds(100)).error().code ==
                   ErrorCode::kDeadlineExceeded);
  }

  // Guards against running a separate round of reports for each response.
  void ConcurrentRequestsShareRound() {
    this->client->delay = milliseconds(100);
    std::vector<Result<void>> results;
    for (int i = 0; i < 50; ++i) this->StartConfirm(results, milliseconds(i == 0 ? 0 : 30), kLimit);
    this->io.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, results.size());
    // One round for the first request and one for the rest, of two members each.
    CPPUNIT_ASSERT_EQUAL(4, this->client->fetches.load());
  }

  // Guards against confirming a response with reports from before its end.
  void RequestDuringRoundUsesNextRound() {
    this->client->delay = milliseconds(100);
    std::vector<Result<void>> results;
    this->StartConfirm(results, milliseconds(0), kLimit);
    this->StartConfirm(results, milliseconds(50), kLimit);
    asio::steady_timer change(this->io, milliseconds(25));
    change.async_wait([this](const boost::system::error_code&) { this->generation = 5; });
    this->io.run();
    CPPUNIT_ASSERT(results.at(0).has_value());
    CPPUNIT_ASSERT(!results.at(1).has_value());
  }

  // Guards against treating a malformed report as that of an idle VM.
  void MalformedReportIsProtocolError() {
    this->client->answer = [](const HttpRequest&) -> Result<HttpResponse> {
      return HttpResponse{200, {}, R"({"vm":"v1","state":"ready"})"};
    };
    std::optional<Result<VmReport>> report;
    asio::co_spawn(this->io, ReadReport(*this->client, &report), asio::detached);
    this->io.run();
    CPPUNIT_ASSERT(report->error().code == ErrorCode::kUpstreamProtocol);
  }

  // Guards against treating a refused assignment as accepted.
  void RefusedAssignmentIsConflict() {
    this->client->answer = [](const HttpRequest&) -> Result<HttpResponse> {
      return HttpResponse{409, {}, ""};
    };
    std::optional<Result<void>> sent;
    asio::co_spawn(this->io, Assign(*this->client, &sent), asio::detached);
    this->io.run();
    CPPUNIT_ASSERT(sent->error().code == ErrorCode::kConflict);
  }

 private:
  static constexpr milliseconds kLimit{2000};

  asio::io_context io;
  std::shared_ptr<FakeClient> client;
  std::shared_ptr<ReleaseCheck> check;
  int generation = 4;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReleaseCheckTest);

}  // namespace
}  // namespace limpetfall
