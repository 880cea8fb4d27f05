#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "harness/net.h"
#include "http/server.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using testing::Eventually;
using testing::IoThreads;
using testing::RawClient;

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view kSlowGet = "GET /wait-4000 HTTP/1.1\r\nHost: a\r\n\r\n";

HttpResponse TextResponse(std::string text) {
  HttpResponse response;
  response.status = 200;
  response.body = std::move(text);
  return response;
}

asio::awaitable<void> Sleep(std::chrono::microseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/** Responds with target and body. A target "/wait-N" delays the response by N ms. */
asio::awaitable<void> Echo(HttpExchange& exchange) {
  const std::string target = exchange.request().target;
  constexpr std::string_view kWait = "/wait-";
  if (target.starts_with(kWait)) {
    co_await Sleep(Milliseconds(std::stoi(target.substr(kWait.size()))));
  }
  HttpResponse response = TextResponse(target + exchange.request().body);
  [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(response));
}

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(MalformedRequestGets400);
  CPPUNIT_TEST(ConflictingLengthsGet400);
  CPPUNIT_TEST(UnknownTransferCodingGets400);
  CPPUNIT_TEST(TruncatedBodyGets400);
  CPPUNIT_TEST(OversizedHeaderGets431);
  CPPUNIT_TEST(OversizedBodyGets413);
  CPPUNIT_TEST(SlowSenderGets408);
  CPPUNIT_TEST(IdleConnectionIsClosed);
  CPPUNIT_TEST(ConnectionOverLimitGets503);
  CPPUNIT_TEST(ConnectionOverLimitReplacesTheOneThatWaitsLongest);
  CPPUNIT_TEST(BodyBeyondSharedMemoryDropsTheOneThatHoldsMost);
  CPPUNIT_TEST(RequestSentOverTheConnectionLimitGets503);
  CPPUNIT_TEST(PipelinedRequestsGetResponsesInOrder);
  CPPUNIT_TEST(ExpectHeaderGets100Continue);
  CPPUNIT_TEST(HeadResponseHasNoBody);
  CPPUNIT_TEST(DisconnectCancelsTheHandler);
  CPPUNIT_TEST(HandlerWithoutResponseGets500);
  CPPUNIT_TEST(UnfinishedStreamHasNoFinalChunk);
  CPPUNIT_TEST(WriteTimeoutClosesConnection);
  CPPUNIT_TEST(StopAcceptingLetsInFlightRequestsFinish);
  CPPUNIT_TEST(KeptConnectionIsServedAfterEndOfKeepAlive);
  CPPUNIT_TEST(ConnectionInBacklogIsServedWhenListenerCloses);
  CPPUNIT_TEST(RequestReadWhileIdleConnectionsCloseIsAnsweredOrNotHandled);
  CPPUNIT_TEST(ResponsesMatchRequestsWhenClientsDisconnect);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MalformedRequestGets400() { this->ExpectRefusal("GET / HTTP/9.x\r\n\r\n", 400); }

  // Guards against request smuggling: two programs must not split the bytes differently.
  void ConflictingLengthsGet400() {
    this->ExpectRefusal(
        "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400);
    this->ExpectRefusal("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
                        400);
  }

  // Guards against a body in an unknown coding that is taken for an empty one, so that its bytes
  // are read as the next request.
  void UnknownTransferCodingGets400() {
    for (const std::string coding : {"gzip", "chunked, gzip", "xchunked"}) {
      this->ExpectRefusal("POST / HTTP/1.1\r\nTransfer-Encoding: " + coding + "\r\n\r\n", 400);
    }
  }

  // Guards against running an order with a truncated body.
  void TruncatedBodyGets400() {
    this->Start(&Echo, {});
    RawClient client(this->server->address());
    client.Send("POST / HTTP/1.1\r\nX-Request-Id: r1\r\nContent-Length: 10\r\n\r\nhalf");
    client.ShutDownSend();
    this->ExpectError(client.ReadAll(), 400, "r1");
  }

  void OversizedHeaderGets431() {
    this->ExpectRefusal("GET / HTTP/1.1\r\nX-A: " + std::string(20 << 10, 'a') + "\r\n\r\n", 431);
  }

  // Guards against losing the response while the client is still sending.
  void OversizedBodyGets413() {
    const std::string header = "POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n";
    this->ExpectRefusal(header + std::string(2000000, 'a'), 413);
    std::string chunks = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 20; ++i) chunks += "10000\r\n" + std::string(0x10000, 'a') + "\r\n";
    this->ExpectRefusal(chunks + "0\r\n\r\n", 413);
  }

  // Guards against clients that occupy connections by sending very slowly.
  void SlowSenderGets408() {
    HttpServerOptions options;
    options.request_read_timeout = Milliseconds(150);
    this->Start(&Echo, options);
    RawClient client(this->server->address());
    const TimePoint start = Clock::now();
    for (int i = 0; i < 10 && Clock::now() - start < Milliseconds(200); ++i) {
      client.Send(kGet.substr(i, 1));
      std::this_thread::sleep_for(Milliseconds(20));
    }
    this->ExpectError(client.ReadAll(), 408, "");
    CPPUNIT_ASSERT(Clock::now() - start < Milliseconds(2000));
  }

  void IdleConnectionIsClosed() {
    HttpServerOptions options;
    options.idle_timeout = Milliseconds(100);
    this->Start(&Echo, options);
    RawClient client(this->server->address());
    client.Send(kGet);
    CPPUNIT_ASSERT(client.ReadUntil("/x").ends_with("\r\n\r\n/x"));
    CPPUNIT_ASSERT_EQUAL(std::string(), client.ReadAll());
  }

  void ConnectionOverLimitGets503() {
    HttpServerOptions options;
    options.max_connections = 1;
    this->Start(&Echo, options);
    RawClient first(this->server->address());
    first.Send(kSlowGet);
    CPPUNIT_ASSERT(Eventually([&] { return this->server->in_flight() == 1; }));
    // The request is read and handled a moment after its first byte has arrived.
    std::this_thread::sleep_for(Milliseconds(100));
    RawClient second(this->server->address());
    this->ExpectError(second.ReadAll(), 503, "");
  }

  // Guards against callers that take all connections without using them.
  void ConnectionOverLimitReplacesTheOneThatWaitsLongest() {
    HttpServerOptions options;
    options.max_connections = 2;
    this->Start(&Echo, options);
    RawClient oldest(this->server->address());
    oldest.Send(kGet);
    oldest.ReadUntil("/x");
    RawClient unfinished(this->server->address());
    unfinished.Send("GET /x HTTP/1.1\r\nX-Half: ");
    CPPUNIT_ASSERT(Eventually([&] { return this->server->in_flight() == 1; }));
    RawClient second(this->server->address());
    second.Send(kGet);
    CPPUNIT_ASSERT(second.ReadUntil("/x").starts_with("HTTP/1.1 200 "));
    RawClient third(this->server->address());
    third.Send(kGet);
    CPPUNIT_ASSERT(third.ReadUntil("/x").starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(oldest.ReadAll().empty());
    CPPUNIT_ASSERT(unfinished.ReadAll().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->server->connections_shed());
  }

  // Guards against bodies of many callers that take the memory of the process together.
  void BodyBeyondSharedMemoryDropsTheOneThatHoldsMost() {
    HttpServerOptions options;
    options.request_memory = std::make_shared<RequestMemory>(800'000);
    this->Start(&Echo, options);
    const std::string head = "POST /x HTTP/1.1\r\nContent-Length: 600000\r\n\r\n";
    RawClient stopped(this->server->address());
    stopped.Send(head + std::string(400'000, 'a'));
    CPPUNIT_ASSERT(Eventually([&] { return options.request_memory->bytes() >= 400'000; }));
    std::this_thread::sleep_for(Milliseconds(200));
    RawClient sound(this->server->address());
    sound.Send(head + std::string(600'000, 'a'));
    CPPUNIT_ASSERT(sound.ReadUntil("/x").starts_with("HTTP/1.1 200 "));
    this->ExpectError(stopped.ReadAll(), 503, "");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, options.request_memory->drops());
  }

  // Guards against a reset in place of the refusal when the request has already arrived (LOST).
  void RequestSentOverTheConnectionLimitGets503() {
    asio::io_context io;
    HttpServerOptions options;
    options.max_connections = 1;
    auto full = HttpServer::Create(io, "127.0.0.1:0", &Echo, options).value();
    io.poll();
    RawClient first(full->address());
    first.Send(kSlowGet);
    io.run_for(Milliseconds(100));
    std::vector<std::unique_ptr<RawClient>> others;
    for (int i = 0; i < 20; ++i) {
      others.push_back(std::make_unique<RawClient>(full->address()));
      others.back()->Send("POST /x HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
                          std::string(100000, 'a'));
    }
    for (const std::string& response : ReadAllWhileRunning(io, others))
      this->ExpectError(response, 503, "");
  }

  // Guards against reading the response to one request as the response to another.
  void PipelinedRequestsGetResponsesInOrder() {
    this->Start(&Echo, {});
    RawClient client(this->server->address());
    client.Send(
        "GET /wait-50 HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\n-1"
        "GET /wait-10 HTTP/1.1\r\n\r\nGET /d HTTP/1.1\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(client.ReadUntil("/wait-50").ends_with("\r\n\r\n/wait-50"));
    CPPUNIT_ASSERT(client.ReadUntil("/b-1").starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT(client.ReadUntil("/wait-10").starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT(client.ReadAll().ends_with("\r\n\r\n/d"));
  }

  void ExpectHeaderGets100Continue() {
    this->Start(&Echo, {});
    RawClient client(this->server->address());
    client.Send("POST /b HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                         client.ReadUntil("\r\n\r\n"));
    client.Send("1");
    CPPUNIT_ASSERT(client.ReadUntil("/b1").ends_with("\r\n\r\n/b1"));
  }

  // Guards against a body that a client would parse as the start of the next response.
  void HeadResponseHasNoBody() {
    this->Start(&Echo, {});
    RawClient client(this->server->address());
    client.Send("HEAD /a HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string response = client.ReadAll();
    CPPUNIT_ASSERT(response.find("Content-Length: 2\r\n") != std::string::npos);
    CPPUNIT_ASSERT(response.ends_with("\r\n\r\n"));
  }

  // Guards against handlers that keep running after the caller disconnected.
  void DisconnectCancelsTheHandler() {
    std::atomic<bool> cancelled = false;
    const HttpHandler handler = [&](HttpExchange&) -> asio::awaitable<void> {
      const std::shared_ptr<void> at_end(nullptr, [&](void*) { cancelled = true; });
      co_await Sleep(std::chrono::minutes(1));
    };
    this->Start(handler, {});
    {
      RawClient client(this->server->address());
      client.Send(kGet);
      CPPUNIT_ASSERT(Eventually([&] { return this->server->in_flight() == 1; }));
    }
    CPPUNIT_ASSERT(Eventually([&] { return cancelled && this->server->in_flight() == 0; }));
  }

  // Guards against a client that waits indefinitely after a handler failed.
  void HandlerWithoutResponseGets500() {
    const HttpHandler handler = [](HttpExchange&) -> asio::awaitable<void> {
      throw std::runtime_error("a failure in the handler");
      co_return;
    };
    this->Start(handler, {});
    RawClient client(this->server->address());
    client.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string response = client.ReadAll();
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 500 "));
    CPPUNIT_ASSERT(response.find("X-Verdict: may-have-run\r\n") != std::string::npos);
  }

  // Guards against a truncated stream that looks complete.
  void UnfinishedStreamHasNoFinalChunk() {
    const HttpHandler handler = [](HttpExchange& exchange) -> asio::awaitable<void> {
      const auto started = co_await exchange.StartStream(200, {});
      const auto written = co_await exchange.WriteChunk("part");
      CPPUNIT_ASSERT(started && written);
    };
    this->Start(handler, {});
    RawClient client(this->server->address());
    client.Send(kGet);
    CPPUNIT_ASSERT(client.ReadAll().ends_with("\r\n\r\n4\r\npart\r\n"));
  }

  // Guards against clients that occupy a handler and its memory by not reading.
  void WriteTimeoutClosesConnection() {
    HttpServerOptions options;
    options.write_timeout = Milliseconds(200);
    const HttpHandler handler = [](HttpExchange& exchange) -> asio::awaitable<void> {
      const std::string chunk(1 << 20, 'a');
      Result<void> written = co_await exchange.StartStream(200, {});
      while (written) written = co_await exchange.WriteChunk(chunk);
    };
    this->Start(handler, options);
    RawClient client(this->server->address());
    client.Send(kGet);
    client.ReadUntil("a");
    CPPUNIT_ASSERT(Eventually([&] { return this->server->in_flight() == 0; }));
  }

  // Guards against a planned shutdown that interrupts a request.
  void StopAcceptingLetsInFlightRequestsFinish() {
    this->Start(&Echo, {});
    RawClient idle(this->server->address());
    idle.Send(kGet);
    idle.ReadUntil("/x");
    CPPUNIT_ASSERT(Eventually([&] { return this->server->in_flight() == 0; }));
    RawClient busy(this->server->address());
    busy.Send("GET /wait-200 HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(Eventually([&] { return this->server->in_flight() == 1; }));
    this->server->StopAccepting();
    CPPUNIT_ASSERT_EQUAL(std::string(), idle.ReadAll());
    CPPUNIT_ASSERT(Eventually([&] {
      try {
        RawClient late(this->server->address());
        return false;
      } catch (const boost::system::system_error&) {
        return true;
      }
    }));
    const std::string response = busy.ReadAll();
    CPPUNIT_ASSERT(response.ends_with("\r\n\r\n/wait-200"));
    CPPUNIT_ASSERT(response.find("Connection: close\r\n") != std::string::npos);
  }

  // Guards against kept connections that end without a response during a planned stop (LOST).
  void KeptConnectionIsServedAfterEndOfKeepAlive() {
    this->Start(&Echo, {});
    RawClient client(this->server->address());
    client.Send(kGet);
    CPPUNIT_ASSERT(client.ReadUntil("/x").find("Connection: close") == std::string::npos);
    this->server->EndKeepAlive();
    this->server->StopListening();
    std::this_thread::sleep_for(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server->connections());
    client.Send(kGet);
    const std::string response = client.ReadAll();
    CPPUNIT_ASSERT(response.ends_with("\r\n\r\n/x"));
    CPPUNIT_ASSERT(response.find("Connection: close\r\n") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->server->requests_begun());
    CPPUNIT_ASSERT(Eventually([&] { return this->server->connections() == 0; }));
  }

  // Guards against a reset of requests that were sent before the listener closes (LOST).
  void ConnectionInBacklogIsServedWhenListenerCloses() {
    asio::io_context io;
    auto stopped = HttpServer::Create(io, "127.0.0.1:0", &Echo, {}).value();
    io.poll();
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 20; ++i) {
      clients.push_back(std::make_unique<RawClient>(stopped->address()));
      clients.back()->Send(kGet);
    }
    stopped->StopListening();
    for (const std::string& response : ReadAllWhileRunning(io, clients)) {
      CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n\r\n/x"));
    }
  }

  // Guards against a request that is handled although its connection was closed after its bytes
  // had been read (LOST).
  void RequestReadWhileIdleConnectionsCloseIsAnsweredOrNotHandled() {
    asio::io_context io;
    int handled = 0;
    const auto handler = [&handled](HttpExchange& exchange) {
      ++handled;
      return Echo(exchange);
    };
    auto stopped = HttpServer::Create(io, "127.0.0.1:0", handler, {}).value();
    io.poll();
    RawClient client(stopped->address());
    client.Send(kGet);
    PollFor(io, Milliseconds(50));
    client.ReadUntil("/x");
    client.Send(kGet);
    std::this_thread::sleep_for(Milliseconds(20));
    asio::post(io, [&stopped] { stopped->StopAccepting(); });
    PollFor(io, Milliseconds(50));
    const std::string response = client.ReadAll();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(handled) + " " + response,
                           handled == 1 || response.ends_with("/x"));
  }

  // Guards against sending a response to the wrong client. This can happen if a connection closes
  // at about the time of the response and its file descriptor is reused immediately.
  void ResponsesMatchRequestsWhenClientsDisconnect() {
    const auto seed = std::random_device()();
    std::cout << " seed " << seed;
    this->Start(&RespondAfterShortDelay, {});
    const TimePoint end = Clock::now() + Milliseconds(5000);
    std::atomic<int> matched = 0;
    std::atomic<int> disconnected = 0;
    std::atomic<int> mismatched = 0;
    std::vector<std::thread> clients;
    clients.reserve(40);
    for (int i = 0; i < 40; ++i) {
      clients.emplace_back([&, i] {
        std::mt19937 random(seed + i);
        for (int n = 0; Clock::now() < end; ++n) {
          const std::string marker = "<" + std::to_string(i) + "." + std::to_string(n) + ">";
          this->SendAndReadOrDisconnect(marker, random, matched, disconnected, mismatched);
        }
      });
    }
    for (std::thread& client : clients) client.join();
    std::cout << " matched " << matched << " disconnected " << disconnected << " mismatched "
              << mismatched;
    CPPUNIT_ASSERT_EQUAL(0, mismatched.load());
    CPPUNIT_ASSERT(matched > 500 && disconnected > 500);
    CPPUNIT_ASSERT(Eventually([&] { return this->server->in_flight() == 0; }));
  }

 private:
  static asio::awaitable<void> RespondAfterShortDelay(HttpExchange& exchange) {
    thread_local std::mt19937 random;
    co_await Sleep(std::chrono::microseconds(random() % 2000));
    HttpResponse response = TextResponse(exchange.request().headers.at("X-Mark"));
    [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(response));
  }

  /** Sends one or two requests, then reads the responses or disconnects at about their time. */
  void SendAndReadOrDisconnect(const std::string& marker, std::mt19937& random,
                               std::atomic<int>& matched, std::atomic<int>& disconnected,
                               std::atomic<int>& mismatched) {
    RawClient client(this->server->address());
    const std::string request = "GET / HTTP/1.1\r\nX-Mark: " + marker + "\r\n\r\n";
    const int requests = 1 + static_cast<int>(random() % 2);
    for (int i = 0; i < requests; ++i) client.Send(request);
    if (random() % 2 == 0) {
      std::this_thread::sleep_for(std::chrono::microseconds(random() % 2500));
      ++disconnected;
      return;
    }
    for (int i = 0; i < requests; ++i) {
      const std::string response = client.ReadUntil(">");
      ++(response.ends_with("\r\n\r\n" + marker) ? matched : mismatched);
    }
  }

  static void PollFor(asio::io_context& io, Milliseconds time) {
    const Deadline end = Clock::now() + time;
    while (Clock::now() < end) {
      io.restart();
      io.poll();
      std::this_thread::sleep_for(Milliseconds(1));
    }
  }

  /** Runs a server's loop on a thread and reads what the clients receive until they are closed. */
  static std::vector<std::string> ReadAllWhileRunning(
      asio::io_context& io, const std::vector<std::unique_ptr<RawClient>>& clients) {
    std::thread loop([&io] { io.run(); });
    std::vector<std::string> responses;
    for (const auto& client : clients) {
      try {
        responses.push_back(client->ReadAll());
      } catch (const boost::system::system_error& error) {
        responses.emplace_back(error.what());
      }
    }
    io.stop();
    loop.join();
    return responses;
  }

  void Start(HttpHandler handler, HttpServerOptions options) {
    this->server = HttpServer::Create(this->threads->io(), "127.0.0.1:0", std::move(handler),
                                      std::move(options))
                       .value();
  }

  /** Sends the bytes and expects an error response with verdict not-run and no handler call. */
  void ExpectRefusal(const std::string& bytes, int status) {
    std::atomic<int> handled = 0;
    const HttpHandler handler = [&](HttpExchange& exchange) {
      ++handled;
      return Echo(exchange);
    };
    this->Start(handler, {});
    RawClient client(this->server->address());
    client.Send(bytes);
    this->ExpectError(client.ReadAll(), status, "");
    CPPUNIT_ASSERT_EQUAL(0, handled.load());
  }

  void ExpectError(const std::string& response, int status, const std::string& request_id) {
    CPPUNIT_ASSERT_MESSAGE(response,
                           response.starts_with("HTTP/1.1 " + std::to_string(status) + " "));
    CPPUNIT_ASSERT(response.find("\r\nX-Verdict: not-run\r\n") != std::string::npos);
    CPPUNIT_ASSERT(response.find("\r\nConnection: close\r\n") != std::string::npos);
    const auto body = nlohmann::json::parse(response.substr(response.find("\r\n\r\n") + 4));
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), body["error"]["verdict"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(request_id, body["error"]["request_id"].get<std::string>());
  }

  std::unique_ptr<IoThreads> threads = std::make_unique<IoThreads>(4);
  std::unique_ptr<HttpServer> server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace
}  // namespace limpetfall
