#include "upstream/completion.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "harness/net.h"
#include "http/error-response.h"
#include "http/server.h"
#include "upstream/service-call.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using testing::Eventually;
using testing::IoThreads;

constexpr Milliseconds kLongTimeout{5000};

std::string Token(const std::string& id, int index, const std::string& text) {
  const nlohmann::json event = {
      {"id", id}, {"token_index", index}, {"choices", {{{"text", text}}}}};
  return "data: " + event.dump() + "\n\n";
}

const std::string kEndMark = "data: [DONE]\n\n";

/** The tokens and the error of one completion. */
struct Outcome {
  std::string text;  ///< All tokens, each followed by '|'.
  std::optional<Error> error;
};

/** The response that the test upstream sends, with the body in pieces. */
struct ScriptedResponse {
  int status = 200;
  Headers headers = {{"X-Request-Id", "r1"}, {"X-Group-Generation", "7"}};
  std::vector<std::string> pieces;
  bool disconnect = false;  ///< Closes the connection after the pieces.
  bool stall = false;       ///< Sends nothing after the pieces and keeps the connection open.
};

class CompletionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompletionTest);
  CPPUNIT_TEST(TokensAreReturnedInOrder);
  CPPUNIT_TEST(EventsSplitAtAnyByteAreParsed);
  CPPUNIT_TEST(ResumedCompletionStartsAtNextIndex);
  CPPUNIT_TEST(MismatchedRequestIdIsProtocolError);
  CPPUNIT_TEST(RepeatedTokenIndexIsProtocolError);
  CPPUNIT_TEST(SkippedTokenIndexIsProtocolError);
  CPPUNIT_TEST(MissingEndMarkIsProtocolError);
  CPPUNIT_TEST(DisconnectIsUpstreamLost);
  CPPUNIT_TEST(BytesAfterEndMarkAreProtocolError);
  CPPUNIT_TEST(ErrorEventIsProtocolError);
  CPPUNIT_TEST(MalformedEventsAreProtocolErrors);
  CPPUNIT_TEST(StalledStreamFailsAtDeadline);
  CPPUNIT_TEST(MismatchedHeadersAreProtocolErrors);
  CPPUNIT_TEST(RefusalIsNotRun);
  CPPUNIT_TEST(ErrorWithoutRefusalProtocolIsMayHaveRun);
  CPPUNIT_TEST(DestroyedStreamCancelsUpstream);
  CPPUNIT_TEST(ServiceResponseIsReturnedUnchanged);
  CPPUNIT_TEST(ServiceRefusalIsNotRun);
  CPPUNIT_TEST(ServiceResponseWithMismatchedIdIsProtocolError);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    const HttpHandler handler = [this](HttpExchange& exchange) {
      return this->SendScriptedResponse(exchange);
    };
    this->server = HttpServer::Create(this->threads.io(), "127.0.0.1:0", handler, {}).value();
  }

  void TokensAreReturnedInOrder() {
    this->response.pieces = {Token("r1", 0, "fold "), Token("r1", 1, "here"), kEndMark};
    const Outcome outcome = this->Complete();
    CPPUNIT_ASSERT(!outcome.error);
    CPPUNIT_ASSERT_EQUAL(std::string("fold |here|"), outcome.text);
    const auto body = nlohmann::json::parse(this->last_request.body);
    CPPUNIT_ASSERT_EQUAL(std::string("7"), this->last_request.headers.at("X-Group-Generation"));
    CPPUNIT_ASSERT_EQUAL(std::string("high"), body["priority"].get<std::string>());
    CPPUNIT_ASSERT(body["resume_tokens"].empty());
  }

  // Guards against losing tokens when the network splits an event into several reads.
  void EventsSplitAtAnyByteAreParsed() {
    const std::string body = ": comment\n\n" + Token("r1", 0, "å") +
                             "data: {\"id\":\"r1\",\r\ndata: \"token_index\":1," +
                             "\"choices\":[{\"text\":\"b\"}]}\r\n\r\n" + kEndMark;
    for (const char byte : body) this->response.pieces.emplace_back(1, byte);
    CPPUNIT_ASSERT_EQUAL(std::string("å|b|"), this->Complete().text);
  }

  void ResumedCompletionStartsAtNextIndex() {
    this->response.pieces = {Token("r1", 2, "c"), kEndMark};
    CPPUNIT_ASSERT_EQUAL(std::string("c|"), this->Complete({"a", "b"}).text);
    const auto body = nlohmann::json::parse(this->last_request.body);
    CPPUNIT_ASSERT_EQUAL(std::string(R"(["a","b"])"), body["resume_tokens"].dump());
    this->response.pieces = {Token("r1", 0, "a"), kEndMark};
    this->ExpectProtocolError(this->Complete({"a", "b"}), "");
  }

  // Guards against returning a token of another request to a caller.
  void MismatchedRequestIdIsProtocolError() {
    this->ExpectErrorAfterFirstToken({Token("r1", 0, "a"), Token("r2", 1, "b"), kEndMark});
  }

  void RepeatedTokenIndexIsProtocolError() {
    this->ExpectErrorAfterFirstToken({Token("r1", 0, "a"), Token("r1", 0, "a"), kEndMark});
  }

  void SkippedTokenIndexIsProtocolError() {
    this->ExpectErrorAfterFirstToken({Token("r1", 0, "a"), Token("r1", 2, "c"), kEndMark});
  }

  void MissingEndMarkIsProtocolError() { this->ExpectErrorAfterFirstToken({Token("r1", 0, "a")}); }

  void DisconnectIsUpstreamLost() {
    this->response.pieces = {Token("r1", 0, "a")};
    this->response.disconnect = true;
    const Outcome outcome = this->Complete();
    CPPUNIT_ASSERT(outcome.error && outcome.error->code == ErrorCode::kUpstreamLost);
    CPPUNIT_ASSERT(outcome.error->verdict == Verdict::kMayHaveRun);
  }

  void BytesAfterEndMarkAreProtocolError() {
    this->ExpectErrorAfterFirstToken({Token("r1", 0, "a"), kEndMark + Token("r1", 1, "b")});
    this->ExpectErrorAfterFirstToken({Token("r1", 0, "a"), kEndMark, kEndMark});
  }

  void ErrorEventIsProtocolError() {
    this->ExpectErrorAfterFirstToken({Token("r1", 0, "a"), "event: error\ndata: {}\n\n", kEndMark});
  }

  void MalformedEventsAreProtocolErrors() {
    const std::string start = R"(data: {"id":"r1","token_index":1,"choices":)";
    for (const std::string& event :
         {std::string("data: x\n\n"), std::string("data: {}\n\n"), start + "[]}\n\n",
          start + R"([{"text":1}]})" + "\n\n", start + R"([{"text":"b"}],"generation":6})" + "\n\n",
          "data: " + std::string(2 << 20, 'x')}) {
      this->ExpectErrorAfterFirstToken({Token("r1", 0, "a"), event, kEndMark});
    }
  }

  // Guards against a stream that never ends because the engine has stopped sending.
  void StalledStreamFailsAtDeadline() {
    this->response.pieces = {Token("r1", 0, "a")};
    this->response.stall = true;
    const Outcome outcome = this->Complete({}, Milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(std::string("a|"), outcome.text);
    CPPUNIT_ASSERT(outcome.error && outcome.error->code == ErrorCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(outcome.error->verdict == Verdict::kMayHaveRun);
  }

  void MismatchedHeadersAreProtocolErrors() {
    this->response.pieces = {Token("r1", 0, "a"), kEndMark};
    for (const Headers& headers :
         {Headers{{"X-Request-Id", "r2"}, {"X-Group-Generation", "7"}},
          Headers{{"X-Request-Id", "r1"}, {"X-Group-Generation", "6"}}, Headers{}}) {
      this->response.headers = headers;
      this->ExpectProtocolError(this->Complete(), "");
    }
  }

  // Guards against failing a request that a busy engine refused and another engine could run.
  void RefusalIsNotRun() {
    this->response.headers["X-Verdict"] = "not-run";
    for (const int status : {409, 429, 503}) {
      this->response.status = status;
      const Outcome outcome = this->Complete();
      CPPUNIT_ASSERT(outcome.error && outcome.error->verdict == Verdict::kNotRun);
    }
  }

  // Guards against repeating a request when the response does not state that it did not run.
  void ErrorWithoutRefusalProtocolIsMayHaveRun() {
    this->response.status = 503;
    this->ExpectProtocolError(this->Complete(), "");
    this->response.headers["X-Verdict"] = "not-run";
    this->response.status = 500;
    this->ExpectProtocolError(this->Complete(), "");
  }

  // Guards against engines that continue generating after the caller has disconnected.
  void DestroyedStreamCancelsUpstream() {
    this->response.pieces = {Token("r1", 0, "a")};
    this->response.stall = true;
    auto stream = this->threads.Run(this->Open({}));
    CPPUNIT_ASSERT(stream.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server->in_flight());
    std::move(stream).value().reset();
    CPPUNIT_ASSERT(Eventually([&] { return this->server->in_flight() == 0; }));
  }

  // Guards against replacing an error response of a service by an error of this system.
  void ServiceResponseIsReturnedUnchanged() {
    this->response.headers = {{"Content-Type", "text/plain"}};
    this->response.pieces = {"no such order"};
    for (const int status : {200, 404, 409, 500, 503}) {
      this->response.status = status;
      const auto answer = this->CallService();
      CPPUNIT_ASSERT_EQUAL(status, answer.value().status);
      CPPUNIT_ASSERT_EQUAL(std::string("no such order"), answer.value().body);
      CPPUNIT_ASSERT_EQUAL(std::string("text/plain"), answer.value().content_type);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("/orders?x=1"), this->last_request.target);
    CPPUNIT_ASSERT_EQUAL(std::string("k1"), this->last_request.headers.at("Idempotency-Key"));
  }

  void ServiceRefusalIsNotRun() {
    this->response.headers = {{"X-Verdict", "not-run"}};
    for (const int status : {409, 429, 503}) {
      this->response.status = status;
      CPPUNIT_ASSERT(this->CallService().error().verdict == Verdict::kNotRun);
    }
    this->response.status = 500;
    CPPUNIT_ASSERT_EQUAL(500, this->CallService().value().status);
  }

  void ServiceResponseWithMismatchedIdIsProtocolError() {
    this->response.headers = {{"X-Request-Id", "r2"}, {"X-Verdict", "not-run"}};
    this->response.status = 503;
    const auto answer = this->CallService();
    CPPUNIT_ASSERT(answer.error().code == ErrorCode::kUpstreamProtocol);
    CPPUNIT_ASSERT(answer.error().verdict == Verdict::kMayHaveRun);
  }

 private:
  asio::awaitable<void> SendScriptedResponse(HttpExchange& exchange) {
    this->last_request = exchange.request();
    Result<void> written =
        co_await exchange.StartStream(this->response.status, this->response.headers);
    for (const std::string& piece : this->response.pieces) {
      if (written) written = co_await exchange.WriteChunk(piece);
    }
    if (this->response.stall) {
      asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::minutes(1));
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (!this->response.disconnect && written) written = co_await exchange.FinishStream();
  }

  asio::awaitable<Result<std::unique_ptr<TokenStream>>> Open(
      const std::vector<std::string>& resume) {
    GroupSummary group;
    group.generation = 7;
    group.members.push_back({VmId("vm-1"), this->server->address(), "i1"});
    CompletionRequest request;
    request.id = RequestId("r1");
    request.priority = Priority::kHigh;
    return OpenCompletion(*this->client, group, request, resume, Clock::now() + kLongTimeout);
  }

  static asio::awaitable<Outcome> ReadTokens(std::unique_ptr<TokenStream> stream,
                                             Milliseconds read_timeout) {
    Outcome outcome;
    for (;;) {
      const auto token = co_await stream->Next(Clock::now() + read_timeout);
      if (!token) outcome.error = token.error();
      if (!token || !token.value()) break;
      outcome.text += *token.value() + "|";
    }
    // Further calls return the same end or error.
    const auto again = co_await stream->Next(Clock::now() + read_timeout);
    CPPUNIT_ASSERT_EQUAL(outcome.error.has_value(), again.has_error());
    co_return outcome;
  }

  Outcome Complete(const std::vector<std::string>& resume = {},
                   Milliseconds read_timeout = kLongTimeout) {
    auto opened = this->threads.Run(this->Open(resume));
    Outcome outcome;
    if (opened) {
      outcome = this->threads.Run(ReadTokens(std::move(opened).value(), read_timeout));
    } else {
      outcome.error = opened.error();
    }
    // The upstream uses `response` until it detects that the stream is closed.
    CPPUNIT_ASSERT(Eventually([&] { return this->server->in_flight() == 0; }));
    return outcome;
  }

  Result<ServiceAnswer> CallService() {
    ServiceCall call;
    call.id = RequestId("r1");
    call.method = "POST";
    call.path = "/orders?x=1";
    call.idempotency_key = "k1";
    auto answer = this->threads.Run(
        SendServiceCall(*this->client, this->server->address(), call, Clock::now() + kLongTimeout));
    CPPUNIT_ASSERT(Eventually([&] { return this->server->in_flight() == 0; }));
    return answer;
  }

  static void ExpectProtocolError(const Outcome& outcome, const std::string& text) {
    CPPUNIT_ASSERT(outcome.error.has_value());
    CPPUNIT_ASSERT_MESSAGE(outcome.error->message,
                           outcome.error->code == ErrorCode::kUpstreamProtocol);
    CPPUNIT_ASSERT(outcome.error->verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT_EQUAL(text, outcome.text);
  }

  /** Expects the first token and then an error. */
  void ExpectErrorAfterFirstToken(const std::vector<std::string>& pieces) {
    this->response.pieces = pieces;
    this->ExpectProtocolError(this->Complete(), "a|");
  }

  ScriptedResponse response;
  HttpRequest last_request;
  IoThreads threads;
  std::shared_ptr<HttpClient> client = HttpClient::Create({}).value();
  std::unique_ptr<HttpServer> server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompletionTest);

}  // namespace
}  // namespace limpetfall
