#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <random>

#include "harness/net.h"
#include "http/client.h"
#include "http/server.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using testing::Eventually;
using testing::IoThreads;
using testing::PeerConnection;
using testing::ScriptedPeer;

constexpr std::string_view kOkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr Milliseconds kTestTimeout{5000};

HttpRequest Post(const std::string& address, const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.address = address;
  request.target = "/orders";
  request.body = body;
  return request;
}

asio::awaitable<Result<std::unique_ptr<HttpStream>>> OpenFrom(HttpClient& client,
                                                              HttpRequest request) {
  return client.Open(std::move(request), Clock::now() + kTestTimeout);
}

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(RequestIsSentUnchanged);
  CPPUNIT_TEST(ConnectionRefusedYieldsNotRun);
  CPPUNIT_TEST(ConnectTimeoutYieldsNotRun);
  CPPUNIT_TEST(CloseWithoutResponseYieldsMayHaveRun);
  CPPUNIT_TEST(TruncatedBodyYieldsMayHaveRun);
  CPPUNIT_TEST(ClosedPooledConnectionDoesNotResendRequest);
  CPPUNIT_TEST(ClosedIdleConnectionIsReplaced);
  CPPUNIT_TEST(ExtraResponseIsNotUsedForNextRequest);
  CPPUNIT_TEST(DelayedExtraResponseIsNotUsedForNextRequest);
  CPPUNIT_TEST(MissingResponseYieldsDeadlineExceeded);
  CPPUNIT_TEST(ExpiredDeadlineYieldsNotRun);
  CPPUNIT_TEST(TimeoutBypassesPooledConnections);
  CPPUNIT_TEST(CancelledFetchClosesItsConnection);
  CPPUNIT_TEST(UnreadStreamAppliesBackpressure);
  CPPUNIT_TEST(StalledStreamYieldsDeadlineExceeded);
  CPPUNIT_TEST(DestroyedStreamClosesItsConnection);
  CPPUNIT_TEST(ResponseWithoutLengthIsRejected);
  CPPUNIT_TEST(OversizedResponseIsRejected);
  CPPUNIT_TEST(HeaderWithLineBreakIsRejected);
  CPPUNIT_TEST(ResponsesMatchRequestsWhenOthersTimeOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestIsSentUnchanged() {
    std::string received_request;
    ScriptedPeer peer([&](PeerConnection& connection) {
      received_request = connection.ReadRequest();
      connection.Write("HTTP/1.1 201 Created\r\nX-A: 1\r\nx-a: 2\r\nContent-Length: 2\r\n\r\nhi");
    });
    HttpRequest request = Post(peer.address(), "body");
    request.target = "/a/../b?x=%2F";
    request.headers["X-Request-Id"] = "r1";
    const auto response = this->Fetch(request);
    CPPUNIT_ASSERT_EQUAL(201, response.value().status);
    CPPUNIT_ASSERT_EQUAL(std::string("1, 2"), response.value().headers.at("X-A"));
    CPPUNIT_ASSERT_EQUAL(std::string("hi"), response.value().body);
    CPPUNIT_ASSERT(received_request.starts_with("POST /a/../b?x=%2F HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(received_request.find("X-Request-Id: r1\r\n") != std::string::npos);
    CPPUNIT_ASSERT(received_request.find("Expect") == std::string::npos);
    CPPUNIT_ASSERT(received_request.ends_with("\r\n\r\nbody"));
  }

  // Guards against failing a request that could be retried on another upstream.
  void ConnectionRefusedYieldsNotRun() {
    std::string address;
    {
      ScriptedPeer closed([](PeerConnection&) {});
      address = closed.address();
    }
    this->ExpectError(this->Fetch(Post(address, "x")), ErrorCode::kUnavailable, Verdict::kNotRun);
  }

  // Guards against reporting may-have-run for an upstream that drops packets while connecting.
  void ConnectTimeoutYieldsNotRun() {
    asio::io_context io;
    const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    asio::ip::tcp::acceptor full_listener(io, any.protocol());
    full_listener.bind(any);
    full_listener.listen(0);
    // When the accept queue is full, the kernel ignores further connection attempts.
    std::vector<asio::ip::tcp::socket> queued;
    for (int i = 0; i < 3; ++i) {
      queued.emplace_back(io);
      queued.back().open(any.protocol());
      queued.back().native_non_blocking(true);
      const auto target = full_listener.local_endpoint();
      (void)::connect(queued.back().native_handle(), target.data(),
                      static_cast<socklen_t>(target.size()));
    }
    HttpClientOptions options;
    options.connect_timeout = Milliseconds(200);
    this->client = HttpClient::Create(options).value();
    const std::string address =
        "127.0.0.1:" + std::to_string(full_listener.local_endpoint().port());
    this->ExpectError(this->Fetch(Post(address, "x")), ErrorCode::kUnavailable, Verdict::kNotRun);
  }

  // Guards against running an order twice after its response was lost.
  void CloseWithoutResponseYieldsMayHaveRun() {
    ScriptedPeer peer([](PeerConnection& connection) { connection.ReadRequest(); });
    this->ExpectError(this->Fetch(Post(peer.address(), "x")), ErrorCode::kUpstreamLost,
                      Verdict::kMayHaveRun);
  }

  // Guards against treating a truncated response as complete.
  void TruncatedBodyYieldsMayHaveRun() {
    ScriptedPeer peer([](PeerConnection& connection) {
      connection.ReadRequest();
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    });
    this->ExpectError(this->Fetch(Post(peer.address(), "x")), ErrorCode::kUpstreamLost,
                      Verdict::kMayHaveRun);
  }

  // Guards against libcurl resending a request when a pooled connection is closed during sending.
  void ClosedPooledConnectionDoesNotResendRequest() {
    std::atomic<int> requests = 0;
    ScriptedPeer peer([&](PeerConnection& connection) {
      while (!connection.ReadRequest().empty()) {
        if (++requests == 2) return;
        connection.Write(kOkResponse);
      }
    });
    CPPUNIT_ASSERT(this->Fetch(Post(peer.address(), "first")).has_value());
    this->ExpectError(this->Fetch(Post(peer.address(), "second")), ErrorCode::kUpstreamLost,
                      Verdict::kMayHaveRun);
    CPPUNIT_ASSERT_EQUAL(2, requests.load());
    CPPUNIT_ASSERT(this->Fetch(Post(peer.address(), "third")).has_value());
  }

  // Guards against request errors whenever an upstream closes idle connections.
  void ClosedIdleConnectionIsReplaced() {
    std::atomic<int> closed = 0;
    ScriptedPeer peer([&](PeerConnection& connection) {
      connection.ReadRequest();
      connection.Write(kOkResponse);
      connection.ShutDown();
      ++closed;
    });
    for (int i = 1; i <= 3; ++i) {
      CPPUNIT_ASSERT(this->Fetch(Post(peer.address(), "x")).has_value());
      CPPUNIT_ASSERT(Eventually([&] { return closed == i; }));
    }
  }

  // Guards against parsing bytes after a response as the response to the next request.
  void ExtraResponseIsNotUsedForNextRequest() {
    ScriptedPeer peer([&](PeerConnection& connection) {
      while (!connection.ReadRequest().empty()) {
        std::string response = connection.number() % 2 == 0
                                   ? "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
                                   : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "3\r\nown\r\n0\r\n\r\n";
        connection.Write(response.append("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"));
      }
    });
    for (int i = 0; i < 4; ++i) {
      const auto response = this->Fetch(Post(peer.address(), "x"));
      CPPUNIT_ASSERT_EQUAL(std::string("own"), response.value().body);
    }
  }

  // Guards against the same fault for bytes that arrive once the connection is in the pool.
  void DelayedExtraResponseIsNotUsedForNextRequest() {
    std::atomic<bool> sent = false;
    ScriptedPeer peer([&](PeerConnection& connection) {
      connection.ReadRequest();
      connection.Write(kOkResponse);
      if (connection.number() > 0) return;
      std::this_thread::sleep_for(Milliseconds(50));
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
      sent = true;
      connection.ReadRequest();
    });
    CPPUNIT_ASSERT(this->Fetch(Post(peer.address(), "x")).has_value());
    CPPUNIT_ASSERT(Eventually([&] { return sent.load(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), this->Fetch(Post(peer.address(), "y")).value().body);
  }

  // Guards against waiting indefinitely for an upstream that stopped responding.
  void MissingResponseYieldsDeadlineExceeded() {
    std::atomic<bool> closed = false;
    ScriptedPeer peer([&](PeerConnection& connection) {
      connection.ReadRequest();
      closed = connection.ReadRequest().empty();
    });
    const TimePoint start = Clock::now();
    this->ExpectError(this->Fetch(Post(peer.address(), "x"), Milliseconds(150)),
                      ErrorCode::kDeadlineExceeded, Verdict::kMayHaveRun);
    CPPUNIT_ASSERT(Clock::now() - start >= Milliseconds(150));
    CPPUNIT_ASSERT(Eventually([&] { return closed.load(); }));
  }

  // Guards against sending a request whose caller has already timed out.
  void ExpiredDeadlineYieldsNotRun() {
    ScriptedPeer peer([](PeerConnection&) {});
    this->ExpectError(this->Fetch(Post(peer.address(), "x"), Milliseconds(0)),
                      ErrorCode::kDeadlineExceeded, Verdict::kNotRun);
  }

  // Guards against repeated time-outs when all pooled connections to an address stop responding at
  // the same time, while new connections work.
  void TimeoutBypassesPooledConnections() {
    std::atomic<int> connected = 0;
    ScriptedPeer peer([&](PeerConnection& connection) {
      connection.ReadRequest();
      ++connected;
      if (connection.number() < 3) {
        CPPUNIT_ASSERT(Eventually([&] { return connected >= 3; }));
      }
      connection.Write(kOkResponse);
      // From now on the first three connections accept requests but never respond.
      while (!connection.ReadRequest().empty()) {
        if (connection.number() >= 3) connection.Write(kOkResponse);
      }
    });
    std::vector<std::future<bool>> pooled;
    pooled.reserve(3);
    for (int i = 0; i < 3; ++i) {
      pooled.push_back(std::async(
          std::launch::async, [&] { return this->Fetch(Post(peer.address(), "x")).has_value(); }));
    }
    for (auto& fetched : pooled) CPPUNIT_ASSERT(fetched.get());
    CPPUNIT_ASSERT(!this->Fetch(Post(peer.address(), "y"), Milliseconds(150)).has_value());
    CPPUNIT_ASSERT(this->Fetch(Post(peer.address(), "z"), Milliseconds(1000)).has_value());
  }

  // Guards against an upstream that keeps working on a request after its cancellation.
  void CancelledFetchClosesItsConnection() {
    std::atomic<bool> received = false;
    std::atomic<bool> closed = false;
    ScriptedPeer peer([&](PeerConnection& connection) {
      connection.ReadRequest();
      received = true;
      closed = connection.ReadRequest().empty();
    });
    asio::cancellation_signal signal;
    const auto strand = asio::make_strand(this->threads.io());
    std::optional<Error> error;
    std::atomic<bool> ended = false;
    const auto fetch = [](std::shared_ptr<HttpClient> client, HttpRequest request,
                          std::optional<Error>& out) -> asio::awaitable<void> {
      const auto response = co_await client->Fetch(std::move(request), Clock::now() + kTestTimeout);
      if (!response) out = response.error();
    };
    asio::co_spawn(strand, fetch(this->client, Post(peer.address(), "x"), error),
                   asio::bind_cancellation_slot(signal.slot(),
                                                [&](const std::exception_ptr&) { ended = true; }));
    CPPUNIT_ASSERT(Eventually([&] { return received.load(); }));
    asio::post(strand, [&] { signal.emit(asio::cancellation_type::terminal); });
    CPPUNIT_ASSERT(Eventually([&] { return ended.load() && closed.load(); }));
    CPPUNIT_ASSERT(error && error->code == ErrorCode::kCancelled);
    CPPUNIT_ASSERT(error->verdict == Verdict::kMayHaveRun);
  }

  // Guards against buffering whole streams in memory for slow readers.
  void UnreadStreamAppliesBackpressure() {
    constexpr int kChunks = 1024;
    const std::string chunk(64 << 10, 'a');
    std::atomic<int> written = 0;
    ScriptedPeer peer([&](PeerConnection& connection) {
      connection.ReadRequest();
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(kChunks * chunk.size()) + "\r\n\r\n");
      for (int i = 0; i < kChunks; ++i, ++written) connection.Write(chunk);
    });
    auto opened = this->threads.Run(OpenFrom(*this->client, Post(peer.address(), "x")));
    std::this_thread::sleep_for(Milliseconds(300));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(written), written < kChunks / 2);
    const auto received = this->threads.Run(ReadLength(*opened.value(), kTestTimeout));
    CPPUNIT_ASSERT_EQUAL(kChunks * chunk.size(), received.value());
  }

  // Guards against streams that stall between two tokens.
  void StalledStreamYieldsDeadlineExceeded() {
    ScriptedPeer peer([](PeerConnection& connection) {
      connection.ReadRequest();
      connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
      connection.ReadRequest();
    });
    auto opened = this->threads.Run(OpenFrom(*this->client, Post(peer.address(), "x")));
    const auto read = this->threads.Run(ReadLength(*opened.value(), Milliseconds(150)));
    CPPUNIT_ASSERT(read.error().code == ErrorCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(read.error().verdict == Verdict::kMayHaveRun);
  }

  // Guards against engines that keep generating for a stream that was destroyed.
  void DestroyedStreamClosesItsConnection() {
    std::atomic<bool> closed = false;
    ScriptedPeer peer([&](PeerConnection& connection) {
      connection.ReadRequest();
      connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
      closed = connection.ReadRequest().empty();
    });
    {
      auto opened = this->threads.Run(OpenFrom(*this->client, Post(peer.address(), "x")));
      CPPUNIT_ASSERT_EQUAL(200, opened.value()->status());
      CPPUNIT_ASSERT(!closed);
    }
    CPPUNIT_ASSERT(Eventually([&] { return closed.load(); }));
  }

  // Guards against treating a truncated response as complete when only the close marks its end.
  void ResponseWithoutLengthIsRejected() {
    ScriptedPeer peer([](PeerConnection& connection) {
      connection.ReadRequest();
      connection.Write("HTTP/1.1 200 OK\r\n\r\npart");
    });
    this->ExpectError(this->Fetch(Post(peer.address(), "x")), ErrorCode::kUpstreamProtocol,
                      Verdict::kMayHaveRun);
  }

  // Guards against an upstream that exhausts this process's memory.
  void OversizedResponseIsRejected() {
    ScriptedPeer peer([](PeerConnection& connection) {
      connection.ReadRequest();
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'a'));
    });
    HttpClientOptions options;
    options.max_body_bytes = 1999;
    this->client = HttpClient::Create(options).value();
    this->ExpectError(this->Fetch(Post(peer.address(), "x")), ErrorCode::kUpstreamProtocol,
                      Verdict::kMayHaveRun);
  }

  // Guards against request smuggling through a header value.
  void HeaderWithLineBreakIsRejected() {
    ScriptedPeer peer([](PeerConnection&) {});
    HttpRequest request = Post(peer.address(), "x");
    request.headers["X-Team"] = "a\r\nX-Priority: high";
    this->ExpectError(this->Fetch(request), ErrorCode::kInvalidArgument, Verdict::kNotRun);
  }

  // Guards against delivering the response of a timed-out request to the next request.
  void ResponsesMatchRequestsWhenOthersTimeOut() {
    const auto seed = std::random_device()();
    std::cout << " seed " << seed;
    auto server = HttpServer::Create(this->threads.io(), "127.0.0.1:0", &RespondAfterDelay, {});
    const std::string address = server.value()->address();
    std::vector<std::future<int>> workers;
    workers.reserve(16);
    std::atomic<int> responses = 0;
    std::atomic<int> abandoned = 0;
    const TimePoint end = Clock::now() + Milliseconds(1500);
    for (int i = 0; i < 16; ++i) {
      workers.push_back(std::async(std::launch::async, [&, i] {
        std::mt19937 random(seed + i);
        int mismatched = 0;
        // Tracks the response time on this machine, so that about half of the requests time out.
        std::chrono::microseconds response_time(3000);
        for (int n = 0; Clock::now() < end; ++n) {
          const std::string body = std::to_string(i) + "-" + std::to_string(n);
          const std::chrono::microseconds timeout(response_time.count() * (80 + random() % 41) /
                                                  100);
          const auto response = this->Fetch(Post(address, body), timeout);
          ++(response ? responses : abandoned);
          if (response && response.value().body != body) ++mismatched;
          response_time = response_time * (response ? 9 : 11) / 10;
        }
        return mismatched;
      }));
    }
    int mismatched = 0;
    for (auto& worker : workers) mismatched += worker.get();
    std::cout << " responses " << responses << " abandoned " << abandoned;
    CPPUNIT_ASSERT_EQUAL(0, mismatched);
    CPPUNIT_ASSERT(responses > 100 && abandoned > 100);
    CPPUNIT_ASSERT(Eventually([&] { return server.value()->in_flight() == 0; }));
  }

 private:
  static asio::awaitable<void> RespondAfterDelay(HttpExchange& exchange) {
    thread_local std::mt19937 random;
    asio::steady_timer timer(co_await asio::this_coro::executor, Milliseconds(random() % 5));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    HttpResponse response;
    response.status = 200;
    response.body = exchange.request().body;
    [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(response));
  }

  static asio::awaitable<Result<std::size_t>> ReadLength(HttpStream& stream,
                                                         Milliseconds read_timeout) {
    std::size_t length = 0;
    for (;;) {
      BOOST_OUTCOME_CO_TRY(auto bytes, co_await stream.Read(Clock::now() + read_timeout));
      if (!bytes) co_return length;
      length += bytes->size();
    }
  }

  Result<HttpResponse> Fetch(HttpRequest request, Clock::duration timeout = kTestTimeout) {
    return this->threads.Run(this->client->Fetch(std::move(request), Clock::now() + timeout));
  }

  static void ExpectError(const Result<HttpResponse>& result, ErrorCode code, Verdict verdict) {
    CPPUNIT_ASSERT(!result.has_value());
    const Error& error = result.error();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(error.message, std::string(ToString(code)),
                                 std::string(ToString(error.code)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(error.message, std::string(ToString(verdict)),
                                 std::string(ToString(error.verdict)));
  }

  IoThreads threads;
  std::shared_ptr<HttpClient> client = HttpClient::Create({}).value();
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace
}  // namespace limpetfall
