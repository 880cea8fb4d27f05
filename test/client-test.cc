#include "limpetfall/client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>

#include "http/server.h"
#include "tool/load-command.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using std::chrono::seconds;

/** A node that returns prepared replies. It runs on a separate thread. */
class FakeNode {
 public:
  /** Either the chunks of a stream or, with a status other than 200, a single body. */
  struct Reply {
    int status = 200;
    std::string verdict = "ran";
    std::vector<std::string> chunks;
    bool truncate = false;  // Closes the connection before the end of the body.
    bool wrong_id = false;
  };

  explicit FakeNode(Reply reply) : reply(std::move(reply)) {
    auto handler = [this](HttpExchange& exchange) { return this->Handle(exchange); };
    this->server = std::move(HttpServer::Create(this->io, "127.0.0.1:0", handler, {})).value();
    this->thread = std::jthread([this] { this->io.run(); });
  }

  ~FakeNode() {
    this->io.stop();
    this->thread.join();
    this->server.reset();
  }

  [[nodiscard]] std::string address() const { return this->server->address(); }

  std::atomic<int> requests{0};
  std::atomic<int> address_requests{0};
  std::vector<std::string> returned_addresses;  // Set before the first request.

 private:
  asio::awaitable<void> Handle(HttpExchange& exchange) {
    if (exchange.request().target.starts_with("/v1/addresses")) {
      ++this->address_requests;
      std::string list;
      for (const std::string& entry : this->returned_addresses)
        list += (list.empty() ? "\"" : ",\"") + entry + "\"";
      HttpResponse response{200, {}, "{\"addresses\":[" + list + "],\"ttl_ms\":60000}"};
      (void)co_await exchange.Send(std::move(response));
      co_return;
    }
    ++this->requests;
    const std::string id = exchange.request().headers.at("X-Request-Id");
    Headers headers{{"X-Request-Id", this->reply.wrong_id ? "other" : id},
                    {"X-Verdict", this->reply.verdict},
                    {"X-Config-Version", "7"}};
    if (this->reply.status != 200 || this->reply.chunks.empty()) {
      const std::string body = this->reply.chunks.empty() ? "{}" : this->reply.chunks.front();
      HttpResponse response{this->reply.status, headers, body};
      (void)co_await exchange.Send(std::move(response));
      co_return;
    }
    (void)co_await exchange.StartStream(200, headers);
    for (std::string chunk : this->reply.chunks) {
      if (auto at = chunk.find("<id>"); at != std::string::npos) chunk.replace(at, 4, id);
      (void)co_await exchange.WriteChunk(chunk);
    }
    if (!this->reply.truncate) (void)co_await exchange.FinishStream();
  }

  Reply reply;
  asio::io_context io{1};
  std::unique_ptr<HttpServer> server;
  std::jthread thread;
};

std::string Token(int index, const std::string& text) {
  return "data: {\"id\":\"<id>\",\"token_index\":" + std::to_string(index) +
         ",\"choices\":[{\"text\":\"" + text + "\"}]}\n\n";
}

const std::string kEndOfStreamEvent = "data: [DONE]\n\n";
const std::string kUnavailableBody =
    R"({"error":{"code":"unavailable","message":"no","verdict":"not-run","request_id":"r"}})";

class ClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(SplitEventsDeliverEachTokenOnce);
  CPPUNIT_TEST(FailoverDeliversEachTokenOnce);
  CPPUNIT_TEST(DifferentTokensAfterFailoverAreAnError);
  CPPUNIT_TEST(StreamWithoutEndMarkerIsAnError);
  CPPUNIT_TEST(ResponseWithOtherRequestIdIsAnError);
  CPPUNIT_TEST(MissingTokenIsAnError);
  CPPUNIT_TEST(RejectedRequestIsRetriedOnAnotherNode);
  CPPUNIT_TEST(NonIdempotentCallThatMayHaveRunIsNotRetried);
  CPPUNIT_TEST(OrderWithLostResponseIsRetriedWithSameKey);
  CPPUNIT_TEST(OrderWithReportedOutcomeIsNotRetried);
  CPPUNIT_TEST(AddressesAreFetchedOnceWithinTtl);
  CPPUNIT_TEST(RefusedConnectionHasVerdictNotRun);
  CPPUNIT_TEST(EqualLoadPlansGiveEqualArrivals);
  CPPUNIT_TEST(LoadReportCountsVerdicts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against lost or duplicate tokens when an event is split between chunks.
  void SplitEventsDeliverEachTokenOnce() {
    FakeNode node({200, "may-have-run", {Token(0, "a"), Token(1, "b"), "data: [DO", "NE]\n\n"}});
    const auto completion = this->Complete({node.address()});
    CPPUNIT_ASSERT(completion.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), completion.value().text);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), this->received_text);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), completion.value().config_version);
  }

  // Guards against delivering a token twice after a node failed.
  void FailoverDeliversEachTokenOnce() {
    FakeNode first({200, "may-have-run", {Token(0, "a"), Token(1, "b")}, true});
    FakeNode second(
        {200, "may-have-run", {Token(0, "a"), Token(1, "b"), Token(2, "c"), kEndOfStreamEvent}});
    const auto completion = this->Complete({first.address(), second.address()});
    CPPUNIT_ASSERT(completion.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), this->received_text);
  }

  // Guards against a completion that mixes the tokens of two different responses.
  void DifferentTokensAfterFailoverAreAnError() {
    FakeNode first({200, "may-have-run", {Token(0, "a")}, true});
    FakeNode second({200, "may-have-run", {Token(0, "x"), kEndOfStreamEvent}});
    const auto completion = this->Complete({first.address(), second.address()});
    CPPUNIT_ASSERT(!completion && completion.error().code == ErrorCode::kUpstreamProtocol);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), this->received_text);
  }

  // Guards against treating a truncated response as complete.
  void StreamWithoutEndMarkerIsAnError() {
    FakeNode node({200, "may-have-run", {Token(0, "a")}});
    const auto completion = this->Complete({node.address()});
    CPPUNIT_ASSERT(!completion && completion.error().verdict == Verdict::kMayHaveRun);
  }

  // Guards against delivering the response to another caller's request.
  void ResponseWithOtherRequestIdIsAnError() {
    FakeNode node({200, "may-have-run", {kEndOfStreamEvent}, false, true});
    CPPUNIT_ASSERT(!this->Complete({node.address()}));
  }

  // Guards against a completion with a missing token.
  void MissingTokenIsAnError() {
    FakeNode node({200, "may-have-run", {Token(0, "a"), Token(2, "c"), kEndOfStreamEvent}});
    CPPUNIT_ASSERT(!this->Complete({node.address()}));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), this->received_text);
  }

  // Guards against failing a request while another node has capacity.
  void RejectedRequestIsRetriedOnAnotherNode() {
    FakeNode rejecting({503, "not-run", {kUnavailableBody}});
    FakeNode serving({200, "may-have-run", {Token(0, "a"), kEndOfStreamEvent}});
    CPPUNIT_ASSERT(this->Complete({rejecting.address(), serving.address()}).has_value());
    CPPUNIT_ASSERT_EQUAL(1, rejecting.requests.load());
  }

  // Guards against running a call twice because its response was lost.
  void NonIdempotentCallThatMayHaveRunIsNotRetried() {
    FakeNode first({200, "ran", {"x"}, true});
    FakeNode second({200, "ran", {}});
    auto client = this->Connect({first.address(), second.address()});
    const auto reply = client->CallService("orders", "POST", "/orders", "{}", false, InSeconds(5));
    CPPUNIT_ASSERT(!reply && reply.error().verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT_EQUAL(1, first.requests.load());
    CPPUNIT_ASSERT_EQUAL(0, second.requests.load());
  }

  // Guards against an order whose outcome remains unknown although a node has recorded it.
  void OrderWithLostResponseIsRetriedWithSameKey() {
    FakeNode first({200, "ran", {"x"}, true});
    FakeNode second({200, "ran", {}});
    auto client = this->Connect({first.address(), second.address()});
    const auto reply = client->PlaceOrder("orders", "/orders", "{}", "k1", InSeconds(5));
    CPPUNIT_ASSERT(reply.has_value());
    CPPUNIT_ASSERT_EQUAL(1, second.requests.load());
  }

  // Guards against retrying an order after a node reported that its outcome is unknown.
  void OrderWithReportedOutcomeIsNotRetried() {
    FakeNode first({502, "may-have-run", {"{}"}});
    FakeNode second({200, "ran", {}});
    auto client = this->Connect({first.address(), second.address()});
    const auto reply = client->PlaceOrder("orders", "/orders", "{}", "k1", InSeconds(5));
    CPPUNIT_ASSERT(!reply && reply.error().verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT_EQUAL(0, second.requests.load());
  }

  // Guards against requesting the addresses for each request, and against ignoring the response.
  void AddressesAreFetchedOnceWithinTtl() {
    FakeNode serving({200, "may-have-run", {Token(0, "a"), kEndOfStreamEvent}});
    FakeNode seed({503, "not-run", {kUnavailableBody}});
    seed.returned_addresses = {serving.address()};
    ClientOptions options;
    options.addresses = {seed.address()};
    auto client = std::move(Client::Create(options)).value();
    for (int i = 0; i < 3; ++i) CPPUNIT_ASSERT(client->Complete(Call(), {}).has_value());
    CPPUNIT_ASSERT_EQUAL(1, seed.address_requests.load());
    CPPUNIT_ASSERT_EQUAL(0, seed.requests.load());
  }

  // Guards against the verdict "may have run" for a request that no node received.
  void RefusedConnectionHasVerdictNotRun() {
    std::string closed_address;
    {
      FakeNode node({});
      closed_address = node.address();
    }
    const auto completion = this->Complete({closed_address});
    CPPUNIT_ASSERT(!completion && completion.error().verdict == Verdict::kNotRun);
  }

  // Guards against load runs that cannot be compared although they have the same seed.
  void EqualLoadPlansGiveEqualArrivals() {
    LoadPlan plan;
    plan.teams = {{"a", 3}, {"b", 1}};
    plan.requests_per_second = 100;
    const auto arrivals = PlanArrivals(plan);
    CPPUNIT_ASSERT(arrivals == PlanArrivals(plan));
    plan.seed = 2;
    CPPUNIT_ASSERT(arrivals != PlanArrivals(plan));
    CPPUNIT_ASSERT(ParseTeamMix("a=3,b").value() == (decltype(plan.teams){{"a", 3}, {"b", 1}}));
    CPPUNIT_ASSERT(!ParseTeamMix("a=0") && !ParseTeamMix("a=x") && !ParseTeamMix(""));
  }

  // Guards against a load report that counts rejected requests as useful.
  void LoadReportCountsVerdicts() {
    FakeNode rejecting({503, "not-run", {kUnavailableBody}});
    LoadPlan plan;
    plan.addresses = {rejecting.address()};
    plan.teams = {{"a", 1}};
    plan.requests_per_second = 50;
    plan.seconds = 0.2;
    plan.threads = 4;
    const auto report = RunLoad(plan);
    CPPUNIT_ASSERT(report.has_value());
    const std::string sent = std::to_string(rejecting.requests.load());
    CPPUNIT_ASSERT(report.value().find("\"not-run\": " + sent) != std::string::npos);
    CPPUNIT_ASSERT(report.value().find("\"useful\": 0.0") != std::string::npos);
  }

 private:
  static Deadline InSeconds(int count) { return Clock::now() + seconds(count); }

  static CompletionCall Call() {
    CompletionCall call;
    call.model = "folds";
    call.prompt = "fold";
    call.deadline = InSeconds(5);
    return call;
  }

  static std::unique_ptr<Client> Connect(std::vector<std::string> addresses) {
    ClientOptions options;
    options.addresses = std::move(addresses);
    options.discover_addresses = false;
    return std::move(Client::Create(std::move(options))).value();
  }

  Result<Completion> Complete(std::vector<std::string> addresses) {
    return Connect(std::move(addresses))->Complete(Call(), [this](std::string_view token) {
      this->received_text += token;
    });
  }

  std::string received_text;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

}  // namespace
}  // namespace limpetfall
