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
    bool cut = false;  // Closes the connection before the end of the body.
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
  std::vector<std::string> known;  // Set before the first request.

 private:
  asio::awaitable<void> Handle(HttpExchange& exchange) {
    if (exchange.request().target.starts_with("/v1/addresses")) {
      ++this->address_requests;
      std::string list;
      for (const std::string& one : this->known) list += (list.empty() ? "\"" : ",\"") + one + "\"";
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
    if (!this->reply.cut) (void)co_await exchange.FinishStream();
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

const std::string kEnd = "data: [DONE]\n\n";
const std::string kRefusal =
    R"({"error":{"code":"unavailable","message":"no","verdict":"not-run","request_id":"r"}})";

class ClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(StreamsTokensOnce);
  CPPUNIT_TEST(FailsOverWithoutRepeatingTokens);
  CPPUNIT_TEST(DifferentTokensOfAnotherNodeAreAnError);
  CPPUNIT_TEST(StreamWithoutEndMarkIsNotASuccess);
  CPPUNIT_TEST(AnswerToAnotherRequestIsNotASuccess);
  CPPUNIT_TEST(MissingTokenIsNotASuccess);
  CPPUNIT_TEST(RefusalIsRepeatedAtAnotherNode);
  CPPUNIT_TEST(NonIdempotentCallIsSentOnceIfItMayHaveRun);
  CPPUNIT_TEST(LostOrderIsAskedForUnderItsKey);
  CPPUNIT_TEST(AnsweredOrderIsNotRepeated);
  CPPUNIT_TEST(AddressesAreKeptUntilTheirDeadline);
  CPPUNIT_TEST(NothingListeningIsNotRun);
  CPPUNIT_TEST(EqualPlansGiveEqualLoad);
  CPPUNIT_TEST(LoadReportCountsVerdicts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against lost or duplicate tokens when an event is split between chunks.
  void StreamsTokensOnce() {
    FakeNode node({200, "may-have-run", {Token(0, "a"), Token(1, "b"), "data: [DO", "NE]\n\n"}});
    const auto completion = this->Complete({node.address()});
    CPPUNIT_ASSERT(completion.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), completion.value().text);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), this->seen);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), completion.value().config_version);
  }

  // Guards against delivering a token twice after a node failed.
  void FailsOverWithoutRepeatingTokens() {
    FakeNode first({200, "may-have-run", {Token(0, "a"), Token(1, "b")}, true});
    FakeNode second({200, "may-have-run", {Token(0, "a"), Token(1, "b"), Token(2, "c"), kEnd}});
    const auto completion = this->Complete({first.address(), second.address()});
    CPPUNIT_ASSERT(completion.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), this->seen);
  }

  // Guards against a completion that mixes the tokens of two different responses.
  void DifferentTokensOfAnotherNodeAreAnError() {
    FakeNode first({200, "may-have-run", {Token(0, "a")}, true});
    FakeNode second({200, "may-have-run", {Token(0, "x"), kEnd}});
    const auto completion = this->Complete({first.address(), second.address()});
    CPPUNIT_ASSERT(!completion && completion.error().code == ErrorCode::kUpstreamProtocol);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), this->seen);
  }

  // Guards against treating a truncated response as complete.
  void StreamWithoutEndMarkIsNotASuccess() {
    FakeNode node({200, "may-have-run", {Token(0, "a")}});
    const auto completion = this->Complete({node.address()});
    CPPUNIT_ASSERT(!completion && completion.error().verdict == Verdict::kMayHaveRun);
  }

  // Guards against delivering the response to another caller's request.
  void AnswerToAnotherRequestIsNotASuccess() {
    FakeNode node({200, "may-have-run", {kEnd}, false, true});
    CPPUNIT_ASSERT(!this->Complete({node.address()}));
  }

  // Guards against a completion with a missing token.
  void MissingTokenIsNotASuccess() {
    FakeNode node({200, "may-have-run", {Token(0, "a"), Token(2, "c"), kEnd}});
    CPPUNIT_ASSERT(!this->Complete({node.address()}));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), this->seen);
  }

  // Guards against failing a request while another node has capacity.
  void RefusalIsRepeatedAtAnotherNode() {
    FakeNode refusing({503, "not-run", {kRefusal}});
    FakeNode serving({200, "may-have-run", {Token(0, "a"), kEnd}});
    CPPUNIT_ASSERT(this->Complete({refusing.address(), serving.address()}).has_value());
    CPPUNIT_ASSERT_EQUAL(1, refusing.requests.load());
  }

  // Guards against running a call twice because its response was lost.
  void NonIdempotentCallIsSentOnceIfItMayHaveRun() {
    FakeNode first({200, "ran", {"x"}, true});
    FakeNode second({200, "ran", {}});
    auto client = this->Connect({first.address(), second.address()});
    const auto reply = client->CallService("orders", "POST", "/orders", "{}", false, InSeconds(5));
    CPPUNIT_ASSERT(!reply && reply.error().verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT_EQUAL(1, first.requests.load());
    CPPUNIT_ASSERT_EQUAL(0, second.requests.load());
  }

  // Guards against an order whose outcome remains unknown although a node has recorded it.
  void LostOrderIsAskedForUnderItsKey() {
    FakeNode first({200, "ran", {"x"}, true});
    FakeNode second({200, "ran", {}});
    auto client = this->Connect({first.address(), second.address()});
    const auto reply = client->PlaceOrder("orders", "/orders", "{}", "k1", InSeconds(5));
    CPPUNIT_ASSERT(reply.has_value());
    CPPUNIT_ASSERT_EQUAL(1, second.requests.load());
  }

  // Guards against retrying an order after a node reported that its outcome is unknown.
  void AnsweredOrderIsNotRepeated() {
    FakeNode first({502, "may-have-run", {"{}"}});
    FakeNode second({200, "ran", {}});
    auto client = this->Connect({first.address(), second.address()});
    const auto reply = client->PlaceOrder("orders", "/orders", "{}", "k1", InSeconds(5));
    CPPUNIT_ASSERT(!reply && reply.error().verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT_EQUAL(0, second.requests.load());
  }

  // Guards against requesting the addresses for each request, and against ignoring the response.
  void AddressesAreKeptUntilTheirDeadline() {
    FakeNode serving({200, "may-have-run", {Token(0, "a"), kEnd}});
    FakeNode seed({503, "not-run", {kRefusal}});
    seed.known = {serving.address()};
    ClientOptions options;
    options.addresses = {seed.address()};
    auto client = std::move(Client::Create(options)).value();
    for (int i = 0; i < 3; ++i) CPPUNIT_ASSERT(client->Complete(Call(), {}).has_value());
    CPPUNIT_ASSERT_EQUAL(1, seed.address_requests.load());
    CPPUNIT_ASSERT_EQUAL(0, seed.requests.load());
  }

  // Guards against the verdict "may have run" for a request that no node received.
  void NothingListeningIsNotRun() {
    std::string gone;
    {
      FakeNode node({});
      gone = node.address();
    }
    const auto completion = this->Complete({gone});
    CPPUNIT_ASSERT(!completion && completion.error().verdict == Verdict::kNotRun);
  }

  // Guards against load runs that cannot be compared although they have the same seed.
  void EqualPlansGiveEqualLoad() {
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
    FakeNode refusing({503, "not-run", {kRefusal}});
    LoadPlan plan;
    plan.addresses = {refusing.address()};
    plan.teams = {{"a", 1}};
    plan.requests_per_second = 50;
    plan.seconds = 0.2;
    plan.threads = 4;
    const auto report = RunLoad(plan);
    CPPUNIT_ASSERT(report.has_value());
    const std::string sent = std::to_string(refusing.requests.load());
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
    options.ask_for_addresses = false;
    return std::move(Client::Create(std::move(options))).value();
  }

  Result<Completion> Complete(std::vector<std::string> addresses) {
    return Connect(std::move(addresses))->Complete(Call(), [this](std::string_view token) {
      this->seen += token;
    });
  }

  std::string seen;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

}  // namespace
}  // namespace limpetfall
