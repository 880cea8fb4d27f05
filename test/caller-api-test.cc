#include "caller/caller-api.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "harness/net.h"
#include "http/client.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using testing::IoThreads;
using testing::RawClient;

constexpr Milliseconds kTestTimeout{5000};

/** Returns prepared tokens and responses, and records the last request. */
class FakeBackend {
 public:
  asio::awaitable<Result<void>> Complete(const CompletionRequest& request, CompletionSink& sink) {
    this->completion = request;
    ++this->calls;
    if (this->start) {
      BOOST_OUTCOME_CO_TRY(co_await sink.OnStart(41));
    }
    for (const std::string& token : this->tokens) {
      BOOST_OUTCOME_CO_TRY(co_await sink.OnToken(token));
    }
    if (this->failure) co_return *this->failure;
    co_return success();
  }

  asio::awaitable<Result<ServiceAnswer>> CallService(const ServiceCall& call) {
    this->service_call = call;
    ++this->calls;
    if (this->failure) co_return *this->failure;
    co_return this->answer;
  }

  AddressList Addresses(const ZoneId& zone) { return {{zone.value + ":80", "127.0.0.1:81"}, 5000}; }
  bool AcceptsWork() { return this->accepts_work; }
  ConfigVersion ActiveConfig() { return 42; }

  std::atomic<int> calls = 0;
  std::atomic<bool> accepts_work = true;
  bool start = true;
  std::vector<std::string> tokens = {"fold ", "h\"å\n"};
  std::optional<Error> failure;
  ServiceAnswer answer = {201, "text/plain", "order 1", 41};
  CompletionRequest completion;
  ServiceCall service_call;
};

class CallerApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerApiTest);
  CPPUNIT_TEST(BufferedCompletionReturnsSingleBody);
  CPPUNIT_TEST(StreamedCompletionSendsEventPerToken);
  CPPUNIT_TEST(MissingRequestIdIsGenerated);
  CPPUNIT_TEST(ErrorMessageListsAllFaults);
  CPPUNIT_TEST(MalformedJsonIsRejected);
  CPPUNIT_TEST(MalformedRequestIdIsRejected);
  CPPUNIT_TEST(OversizedInputIsRejected);
  CPPUNIT_TEST(SlowRequestIsRejected);
  CPPUNIT_TEST(TruncatedBodyIsRejected);
  CPPUNIT_TEST(FailedBufferedCompletionReturnsNoTokens);
  CPPUNIT_TEST(FailedStreamEndsWithErrorEvent);
  CPPUNIT_TEST(ErrorBeforeStreamStartReturnsErrorStatus);
  CPPUNIT_TEST(ErrorCodesMapToHttpStatus);
  CPPUNIT_TEST(ServiceCallIsForwardedToBackend);
  CPPUNIT_TEST(ServicePathNotInNormalFormIsRejected);
  CPPUNIT_TEST(AddressesUseRequestedOrDefaultZone);
  CPPUNIT_TEST(StoppingNodeRejectsRequests);
  CPPUNIT_TEST(RetriedOrderOnStoppingNodeMayHaveRun);
  CPPUNIT_TEST(UnknownPathOrMethodIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->Start({}); }

  void BufferedCompletionReturnsSingleBody() {
    const HttpResponse response =
        this->Complete(R"({"model":"m1","prompt":"p","max_tokens":9,"seed":18446744073709551615})");
    this->ExpectHeaders(response, 200, "ran", "41");
    const json body = json::parse(response.body);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), body["id"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("fold h\"å\n"), body["choices"][0]["text"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(2, body["usage"]["completion_tokens"].get<int>());
    const CompletionRequest& received = this->backend->completion;
    CPPUNIT_ASSERT(received.id == RequestId("r1") && received.branch == BranchName("ennis") &&
                   received.team == TeamName("councils") && received.priority == Priority::kHigh);
    CPPUNIT_ASSERT(received.model == ModelName("m1") && received.prompt == "p" &&
                   received.max_tokens == 9 && received.seed == UINT64_MAX);
    const auto time_left = TimeLeft(received.deadline, Clock::now());
    CPPUNIT_ASSERT(time_left <= Milliseconds(3000) && time_left > Milliseconds(1000));
  }

  void StreamedCompletionSendsEventPerToken() {
    const HttpResponse response = this->Complete(kStreamedRequest);
    this->ExpectHeaders(response, 200, "may-have-run", "41");
    CPPUNIT_ASSERT_EQUAL(std::string("text/event-stream"), response.headers.at("Content-Type"));
    std::vector<std::string> events;
    for (std::size_t at = 0, end = 0; at < response.body.size(); at = end + 2) {
      end = response.body.find("\n\n", at);
      events.push_back(response.body.substr(at, end - at));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, events.size());
    for (int i = 0; i < 2; ++i) {
      const json event = json::parse(events[i].substr(6));
      CPPUNIT_ASSERT_EQUAL(std::string("r1"), event["id"].get<std::string>());
      CPPUNIT_ASSERT_EQUAL(i, event["token_index"].get<int>());
      CPPUNIT_ASSERT_EQUAL(this->backend->tokens[i],
                           event["choices"][0]["text"].get<std::string>());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("data: [DONE]"), events[2]);
  }

  // Guards against indistinguishable responses when two callers send no request id.
  void MissingRequestIdIsGenerated() {
    this->headers.erase("X-Request-Id");
    const std::string first = this->Complete(kBufferedRequest).headers.at("X-Request-Id");
    CPPUNIT_ASSERT(IsRequestId(first));
    CPPUNIT_ASSERT_EQUAL(first, this->backend->completion.id.value);
    CPPUNIT_ASSERT(first != this->Complete(kBufferedRequest).headers.at("X-Request-Id"));
  }

  // Guards against an error message that reports only one of several faults.
  void ErrorMessageListsAllFaults() {
    this->headers = {{"X-Priority", "urgent"}, {"X-Deadline-Ms", "-1"}, {"X-Branch", "a b"}};
    const HttpResponse response = this->Complete(
        R"({"prompt":7,"max_tokens":0,"seed":-1,"stream":1,"colour":"red","seed":2})");
    const std::string message = this->ExpectRejection(response, 400);
    for (const char* part :
         {"X-Priority", "X-Deadline-Ms", "X-Branch", "X-Team", "\"model\"", "\"prompt\"",
          "\"max_tokens\"", "\"stream\"", "\"colour\"", "\"seed\" occurs more than once"}) {
      CPPUNIT_ASSERT_MESSAGE(message + " lacks " + part, message.find(part) != std::string::npos);
    }
  }

  void MalformedJsonIsRejected() {
    for (const std::string& body :
         {std::string(), std::string("{"), std::string("[]"), std::string("null"),
          std::string("{\"model\":\"\xff\"}"), std::string(100000, '[')}) {
      this->ExpectRejection(this->Complete(body), 400);
    }
  }

  // Guards against an id that would corrupt a log line or the header of an upstream request.
  void MalformedRequestIdIsRejected() {
    for (const std::string& id : {std::string("a b"), std::string(129, 'a'), std::string("a,b")}) {
      this->headers["X-Request-Id"] = id;
      this->ExpectRejection(this->Complete(kBufferedRequest), 400);
    }
  }

  void OversizedInputIsRejected() {
    const std::string prompt(1 << 20, 'a');
    this->ExpectRejection(this->Complete(R"({"model":"m","prompt":")" + prompt + "\"}"), 413);
    this->headers["X-Note"] = std::string(16 << 10, 'a');
    this->ExpectRejection(this->Complete(kBufferedRequest), 431);
  }

  void SlowRequestIsRejected() {
    HttpServerOptions options;
    options.request_read_timeout = Milliseconds(150);
    this->Start(options);
    this->ExpectRawRejection("POST /v1/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n{", 408,
                             false);
  }

  void TruncatedBodyIsRejected() {
    this->ExpectRawRejection("POST /v1/completions HTTP/1.1\r\nContent-Length: 99\r\n\r\n{}", 400,
                             true);
  }

  // Guards against returning tokens of a completion whose final check failed.
  void FailedBufferedCompletionReturnsNoTokens() {
    this->backend->failure = MayHaveRun(ErrorCode::kUpstreamLost, "a member was lost");
    const HttpResponse response = this->Complete(kBufferedRequest);
    this->ExpectHeaders(response, 502, "may-have-run", "41");
    CPPUNIT_ASSERT(response.body.find("fold") == std::string::npos);
  }

  void FailedStreamEndsWithErrorEvent() {
    this->backend->failure = MayHaveRun(ErrorCode::kUpstreamLost, "a member was lost");
    const std::string body = this->Complete(kStreamedRequest).body;
    CPPUNIT_ASSERT(body.find("[DONE]") == std::string::npos);
    const auto event = body.find("event: error\ndata: ");
    CPPUNIT_ASSERT(event != std::string::npos && body.ends_with("\n\n"));
    const json error = json::parse(body.substr(event + 19))["error"];
    CPPUNIT_ASSERT_EQUAL(std::string("upstream_lost"), error["code"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("may-have-run"), error["verdict"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), error["request_id"].get<std::string>());
  }

  // Guards against a rejection that is reported only inside a stream with status 200.
  void ErrorBeforeStreamStartReturnsErrorStatus() {
    this->backend->start = false;
    this->backend->tokens.clear();
    this->backend->failure = NotRun(ErrorCode::kResourceExhausted, "the queue is full");
    const HttpResponse response = this->Complete(kStreamedRequest);
    this->ExpectHeaders(response, 503, "not-run", "42");
    CPPUNIT_ASSERT_EQUAL(std::string("1"), response.headers.at("Retry-After"));
  }

  void ErrorCodesMapToHttpStatus() {
    const std::vector<std::pair<Error, int>> expected = {
        {NotRun(ErrorCode::kNotFound, ""), 404},
        {NotRun(ErrorCode::kConflict, ""), 422},
        {NotRun(ErrorCode::kPermissionDenied, ""), 403},
        {NotRun(ErrorCode::kUnavailable, ""), 503},
        {NotRun(ErrorCode::kDeadlineExceeded, ""), 503},
        {MayHaveRun(ErrorCode::kDeadlineExceeded, ""), 504},
        {MayHaveRun(ErrorCode::kUpstreamProtocol, ""), 502},
        {NotRun(ErrorCode::kQuarantined, ""), 422},
        {MayHaveRun(ErrorCode::kInternal, ""), 500}};
    this->backend->tokens.clear();
    for (const auto& [error, status] : expected) {
      this->backend->failure = error;
      const HttpResponse response = this->Complete(kBufferedRequest);
      this->ExpectHeaders(response, status, std::string(ToString(error.verdict)), "41");
      CPPUNIT_ASSERT_EQUAL(status == 503, response.headers.contains("Retry-After"));
    }
  }

  void ServiceCallIsForwardedToBackend() {
    this->headers["Idempotency-Key"] = "k1";
    this->headers["Content-Type"] = "text/plain";
    const auto response = this->Send("PUT", "/v1/services/order-book/orders/7?x=%2F..", "two");
    this->ExpectHeaders(response, 201, "ran", "41");
    CPPUNIT_ASSERT_EQUAL(std::string("order 1"), response.body);
    const ServiceCall& received = this->backend->service_call;
    CPPUNIT_ASSERT(received.id == RequestId("r1") && received.branch == BranchName("ennis") &&
                   received.team == TeamName("councils") &&
                   received.service == ServiceName("order-book"));
    CPPUNIT_ASSERT(received.method == "PUT" && received.path == "/orders/7?x=%2F.." &&
                   received.body == "two" && received.content_type == "text/plain" &&
                   received.idempotency_key == "k1");
  }

  // Guards against a path that the service interprets differently from the configured routes. A
  // call that must not be repeated could then be treated as repeatable.
  void ServicePathNotInNormalFormIsRejected() {
    for (const char* path : {"stock/../orders", "./orders", "stock//orders", "%6Frders", "a%2e",
                             "a%2Fb", "a%5Cb", "a%", "a%4", "a%zz", "a\\b", "stock/.."}) {
      const std::string target = std::string("/v1/services/order-book/") + path;
      this->ExpectRejection(this->Send("GET", target, ""), 400);
    }
  }

  void AddressesUseRequestedOrDefaultZone() {
    const auto requested_zone = this->Send("GET", "/v1/addresses?zone=limerick", "");
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"addresses":["limerick:80","127.0.0.1:81"],"ttl_ms":5000})"),
        requested_zone.body);
    const auto default_zone = this->Send("GET", "/v1/addresses", "");
    CPPUNIT_ASSERT(default_zone.body.find("\"ennis:80\"") != std::string::npos);
    this->ExpectRejection(this->Send("GET", "/v1/addresses?city=x", ""), 400);
  }

  void StoppingNodeRejectsRequests() {
    CPPUNIT_ASSERT_EQUAL(200, this->Send("GET", "/healthz", "").status);
    this->backend->accepts_work = false;
    this->ExpectRejection(this->Send("GET", "/healthz", ""), 503);
    this->ExpectRejection(this->Complete(kBufferedRequest), 503);
    this->ExpectRejection(this->Send("POST", "/v1/services/order-book/orders", "x"), 503);
  }

  // Guards against the verdict "not run" for a retried order on a node that has no configuration
  // yet or is stopping. The order may have run through another node or before a restart of this
  // node.
  void RetriedOrderOnStoppingNodeMayHaveRun() {
    this->backend->accepts_work = false;
    this->headers["Idempotency-Key"] = "job-1";
    const HttpResponse repeat = this->Send("POST", "/v1/services/order-book/orders", "x");
    CPPUNIT_ASSERT_EQUAL(503, repeat.status);
    CPPUNIT_ASSERT_EQUAL(std::string("may-have-run"), repeat.headers.at("X-Verdict"));
    this->headers["X-Attempt"] = "1";
    this->ExpectRejection(this->Send("POST", "/v1/services/order-book/orders", "x"), 503);
  }

  void UnknownPathOrMethodIsRejected() {
    this->ExpectRejection(this->Send("GET", "/v1/unknown", ""), 404);
    this->ExpectRejection(this->Send("GET", "/v1/completions", ""), 405);
    this->ExpectRejection(this->Send("DELETE", "/v1/addresses", ""), 405);
    this->ExpectRejection(this->Send("POST", "/v1/services/", "x"), 400);
  }

 private:
  inline static const std::string kBufferedRequest = R"({"model":"m1","prompt":"p"})";
  inline static const std::string kStreamedRequest = R"({"model":"m1","prompt":"p","stream":true})";

  void Start(HttpServerOptions server_options) {
    CallerApiOptions options;
    options.zone = ZoneId("ennis");
    const auto api = CallerApi<FakeBackend>::Create(this->backend, options);
    this->server = HttpServer::Create(this->threads.io(), "127.0.0.1:0", api->Handler(),
                                      std::move(server_options))
                       .value();
  }

  HttpResponse Complete(const std::string& body) {
    return this->Send("POST", "/v1/completions", body);
  }

  HttpResponse Send(const std::string& method, const std::string& target, const std::string& body) {
    HttpRequest request;
    request.method = method;
    request.address = this->server->address();
    request.target = target;
    request.headers = this->headers;
    request.body = body;
    return this->threads.Run(this->client->Fetch(request, Clock::now() + kTestTimeout)).value();
  }

  void ExpectHeaders(const HttpResponse& response, int status, const std::string& verdict,
                     const std::string& version) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, status, response.status);
    CPPUNIT_ASSERT_EQUAL(verdict, response.headers.at("X-Verdict"));
    CPPUNIT_ASSERT_EQUAL(version, response.headers.at("X-Config-Version"));
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), response.headers.at("X-Request-Id"));
  }

  /** Checks that a request was rejected before it reached the backend. Returns the message. */
  std::string ExpectRejection(const HttpResponse& response, int status) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, status, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), response.headers.at("X-Verdict"));
    CPPUNIT_ASSERT_EQUAL(0, this->backend->calls.load());
    const json error = json::parse(response.body)["error"];
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), error["verdict"].get<std::string>());
    CPPUNIT_ASSERT(error["code"].is_string() && error["request_id"].is_string());
    return error["message"].get<std::string>();
  }

  void ExpectRawRejection(const std::string& bytes, int status, bool shut_down_send) {
    RawClient raw(this->server->address());
    raw.Send(bytes);
    if (shut_down_send) raw.ShutDownSend();
    const std::string answer = raw.ReadAll();
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 " + std::to_string(status) + " "));
    CPPUNIT_ASSERT(answer.find("\r\nX-Verdict: not-run\r\n") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, this->backend->calls.load());
  }

  Headers headers = {{"X-Request-Id", "r1"},
                     {"X-Branch", "ennis"},
                     {"X-Team", "councils"},
                     {"X-Priority", "high"},
                     {"X-Deadline-Ms", "3000"}};
  std::shared_ptr<FakeBackend> backend = std::make_shared<FakeBackend>();
  IoThreads threads;
  std::shared_ptr<HttpClient> client = HttpClient::Create({}).value();
  std::unique_ptr<HttpServer> server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerApiTest);

}  // namespace
}  // namespace limpetfall
