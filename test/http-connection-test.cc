#include "gateway/http-connection.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/lexical_cast.hpp>
#include <random>
#include <tuple>

#include "gateway/server-context.h"
#include "harness/endless-server.h"
#include "harness/raw-responses.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

class HttpConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpConnectionTest);
  CPPUNIT_TEST(LengthAndLastChunkCompleteAResponse);
  CPPUNIT_TEST(ResponseWithoutLengthEndsAtConnectionClose);
  CPPUNIT_TEST(TruncatedResponsesAreErrors);
  CPPUNIT_TEST(ExtraBytesMakeConnectionNotReusable);
  CPPUNIT_TEST(ConnectionIsNotReusedPastItsIdleTimeout);
  CPPUNIT_TEST(ExpiredIdleConnectionIsClosed);
  CPPUNIT_TEST(UnresponsivePeerTimesOut);
  CPPUNIT_TEST(RefusedConnectionHasVerdictNotRun);
  CPPUNIT_TEST(DamagedResponsesDoNotCrash);
  CPPUNIT_TEST(EndlessHeadIsTooLarge);
  CPPUNIT_TEST(EndlessChunkHeaderIsTooLarge);
  CPPUNIT_TEST(EndlessTrailerIsTooLarge);
  CPPUNIT_TEST(EndlessBodyIsTooLarge);
  CPPUNIT_TEST(EndlessBytesAfterResponseMakeConnectionNotReusable);
  CPPUNIT_TEST(HeadWithAByteAtATimeEndsAtTheDeadline);
  CPPUNIT_TEST(InvalidStatusIsMalformed);
  CPPUNIT_TEST(InterimResponsesAreSkipped);
  CPPUNIT_TEST(ConnectionIsReusableAfterInterimResponses);
  CPPUNIT_TEST(InterimResponsesWithoutFinalOneAreLost);
  CPPUNIT_TEST(EndlessInterimResponsesAreTooLarge);
  CPPUNIT_TEST(MalformedInterimResponseIsMalformed);
  CPPUNIT_TEST(InvalidFramingIsMalformed);
  CPPUNIT_TEST(RepeatedEqualLengthIsAccepted);
  CPPUNIT_TEST(FieldsOfTrailerAreNotInTheHead);
  CPPUNIT_TEST(MalformedStatusLineIsMalformed);
  CPPUNIT_TEST(MalformedFieldIsMalformed);
  CPPUNIT_TEST(UnusualValidResponsesAreAccepted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against responses that are considered complete too early or too late.
  void LengthAndLastChunkCompleteAResponse() {
    CPPUNIT_ASSERT_EQUAL(std::string("abc"),
                         this->Fetch({"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"}).value());
    CPPUNIT_ASSERT(this->reusable);
    CPPUNIT_ASSERT_EQUAL(
        std::string("abcd"),
        this->Fetch({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
                     "2\r\ncd\r\n0\r\n\r\n"})
            .value());
    CPPUNIT_ASSERT(this->reusable);
  }

  // Guards against rejecting a complete response that has no length.
  void ResponseWithoutLengthEndsAtConnectionClose() {
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), this->Fetch({"HTTP/1.1 200 OK\r\n\r\nabc"}).value());
    CPPUNIT_ASSERT(!this->reusable);
  }

  // Guards against accepting a response whose connection closes or resets within the body.
  void TruncatedResponsesAreErrors() {
    CPPUNIT_ASSERT(!this->Fetch({"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"}));
    CPPUNIT_ASSERT(!this->Fetch({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc"}));
    CPPUNIT_ASSERT(
        !this->Fetch({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}));
    this->reset = true;
    CPPUNIT_ASSERT(!this->Fetch({"HTTP/1.1 200 OK\r\n\r\nabc"}));
  }

  // Guards against an unsolicited response that would be read as the response to the next request.
  void ExtraBytesMakeConnectionNotReusable() {
    CPPUNIT_ASSERT(
        this->Fetch({"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n\r\n"})
            .has_value());
    CPPUNIT_ASSERT(!this->reusable);
  }

  // Guards against sending a request on a connection that the peer is about to close.
  void ConnectionIsNotReusedPastItsIdleTimeout() {
    CPPUNIT_ASSERT(
        this->Fetch({"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na"})
            .has_value());
    CPPUNIT_ASSERT(!this->reusable);
    CPPUNIT_ASSERT(
        this->Fetch({"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\na"})
            .has_value());
    CPPUNIT_ASSERT(!this->reusable);
  }

  // Guards against connections to addresses of the past, which stay open for ever.
  void ExpiredIdleConnectionIsClosed() {
    ServerContext io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address = boost::lexical_cast<std::string>(acceptor.local_endpoint());
    ConnectionPool pool(io);
    bool is_idle = false;
    bool is_closed = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          const Deadline deadline = Clock::now() + Milliseconds(2000);
          const auto connection = (co_await pool.Acquire(address, deadline)).value();
          HttpRequest request;
          request.method = "GET";
          request.target = "/";
          is_idle = (co_await connection->Call(request, deadline, 0)).has_value();
          pool.Release(connection);
        },
        asio::detached);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          constexpr std::string_view kResponse =
              "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n";
          tcp::socket peer = co_await acceptor.async_accept(asio::use_awaitable);
          co_await asio::async_write(peer, asio::buffer(kResponse), asio::use_awaitable);
          std::string received(1 << 10, 0);
          boost::system::error_code error;
          while (!error) {
            std::tie(error, std::ignore) = co_await peer.async_read_some(
                asio::buffer(received), asio::as_tuple(asio::use_awaitable));
          }
          is_closed = true;
        },
        asio::detached);
    io.run_for(Milliseconds(200));
    pool.CloseExpired(Clock::now());
    io.run_for(Milliseconds(50));
    CPPUNIT_ASSERT(is_idle && !is_closed);
    pool.CloseExpired(Clock::now() + Milliseconds(500));
    io.run_for(Milliseconds(50));
    CPPUNIT_ASSERT(is_closed);
    io.DropPending();
  }

  // Guards against a request that waits for an unresponsive peer forever.
  void UnresponsivePeerTimesOut() {
    const auto answer = this->Fetch({"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"}, true);
    CPPUNIT_ASSERT(answer.error().code == ErrorCode::kDeadlineExceeded);
  }

  // Guards against counting a request as possibly run although the peer refused the connection.
  void RefusedConnectionHasVerdictNotRun() {
    asio::io_context io;
    std::optional<Error> error;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          const auto connection = co_await HttpConnection::Connect(
              io, "127.0.0.1:1", Clock::now() + Milliseconds(2000));
          if (!connection) error = connection.error();
        },
        asio::detached);
    io.run();
    CPPUNIT_ASSERT(error && error->code == ErrorCode::kUnavailable);
    CPPUNIT_ASSERT(error->verdict == Verdict::kNotRun);
  }

  // Guards against a crash on malformed HTTP (random damage, fixed seeds).
  void DamagedResponsesDoNotCrash() {
    for (unsigned seed = 1; seed <= 60; ++seed) {
      std::mt19937 random(seed);
      std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\nX-A: b\r\n\r\n";
      for (int i = 0; i < 4; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
      [[maybe_unused]] const auto answer = this->Fetch({bytes});
    }
  }

  // The next six guard against memory and connections that a peer holds with bytes that never
  // become a response.
  void EndlessHeadIsTooLarge() {
    this->ExpectTooLarge({"HTTP/1.1 200 OK\r\nX-Filler: ", std::string(1000, 'x')});
    this->ExpectTooLarge({"HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"});
  }

  void EndlessChunkHeaderIsTooLarge() {
    this->ExpectTooLarge(
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", std::string(1000, 'x')});
  }

  void EndlessTrailerIsTooLarge() {
    this->ExpectTooLarge({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
                          "X-Filler: x\r\n"});
  }

  void EndlessBodyIsTooLarge() {
    this->ExpectTooLarge({"HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x')});
    this->ExpectTooLarge({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                          "400\r\n" + std::string(1024, 'x') + "\r\n"});
    this->ExpectTooLarge(
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", std::string(1000, 'x')});
  }

  void EndlessBytesAfterResponseMakeConnectionNotReusable() {
    const auto answer = this->FetchEndless(
        {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", std::string(1000, 'x')});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), answer.value());
    CPPUNIT_ASSERT(!this->reusable);
  }

  void HeadWithAByteAtATimeEndsAtTheDeadline() {
    const auto answer =
        this->FetchEndless({"HTTP/1.1 200 OK\r\nX-Filler: ", "x", Milliseconds(20)});
    CPPUNIT_ASSERT(answer.error().code == ErrorCode::kDeadlineExceeded);
  }

  // The next ones guard against passing on what is not the answer of the peer, and against taking
  // a peer that sends it for one that has lost the connection.
  void InvalidStatusIsMalformed() { this->ExpectMalformed(testing::ResponsesWithInvalidStatus()); }

  void InvalidFramingIsMalformed() {
    this->ExpectMalformed(testing::ResponsesWithInvalidFraming());
  }

  void MalformedStatusLineIsMalformed() {
    this->ExpectMalformed(testing::ResponsesWithMalformedStatusLine());
  }

  void MalformedFieldIsMalformed() {
    this->ExpectMalformed(testing::ResponsesWithMalformedField());
  }

  // Guards against refusing a sound upstream.
  void UnusualValidResponsesAreAccepted() {
    for (const auto& [name, bytes] : testing::UnusualValidResponses()) {
      const auto answer = this->Fetch({bytes});
      CPPUNIT_ASSERT_MESSAGE(name + (answer ? "" : ": " + answer.error().message), answer);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("done"), answer.value());
    }
  }

  // Guards against refusing what a sender or an intermediary may have repeated.
  void RepeatedEqualLengthIsAccepted() {
    for (const char* length :
         {"Content-Length: 3\r\nContent-Length: 3\r\n", "Content-Length: 3, 3,\t3\r\n"}) {
      const auto answer = this->Fetch({std::string("HTTP/1.1 200 OK\r\n") + length + "\r\nabc"});
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), answer.value());
      CPPUNIT_ASSERT(this->reusable);
    }
  }

  // Guards against obeying in a head what its sender has not put there.
  void FieldsOfTrailerAreNotInTheHead() {
    const std::string head = "HTTP/1.1 200 OK\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string rest = "3\r\nabc\r\n0\r\nX-Not-Run: 1\r\n\r\n";
    for (const std::vector<std::string>& chunks :
         std::vector<std::vector<std::string>>{{head + rest}, {head, rest}}) {
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), this->Fetch(chunks).value());
      CPPUNIT_ASSERT(this->headers.contains("X-A"));
      CPPUNIT_ASSERT(!this->headers.contains("X-Not-Run"));
      CPPUNIT_ASSERT(this->reusable);
    }
  }

  // Guards against taking an interim response for the final one.
  void InterimResponsesAreSkipped() {
    std::string many;
    for (int i = 0; i < 500; ++i) many += kInterim;
    for (const std::vector<std::string>& chunks : std::vector<std::vector<std::string>>{
             {kInterim + kFinal},
             {kInterim, kFinal},
             {kInterim.substr(0, 20), kInterim.substr(20) + kFinal.substr(0, 5), kFinal.substr(5)},
             {"HTTP/1.1 100 Continue\r\n\r\n" + kInterim, kFinal},
             {"HTTP/1.1 199 Odd\r\nContent-Length: 4\r\n\r\n" + kFinal},
             {many + kFinal}}) {
      const auto answer = this->Fetch(chunks);
      CPPUNIT_ASSERT_EQUAL(200, this->status);
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), answer.value());
    }
  }

  // Guards against the answer of one request on the connection of the next one.
  void ConnectionIsReusableAfterInterimResponses() {
    CPPUNIT_ASSERT(this->Fetch({kInterim + kFinal}).has_value());
    CPPUNIT_ASSERT(this->reusable);
    CPPUNIT_ASSERT(this->Fetch({kInterim + kFinal + kInterim}).has_value());
    CPPUNIT_ASSERT(!this->reusable);
  }

  void InterimResponsesWithoutFinalOneAreLost() {
    const auto answer = this->Fetch({kInterim});
    CPPUNIT_ASSERT(answer.error().code == ErrorCode::kUpstreamLost);
    CPPUNIT_ASSERT(answer.error().verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT(this->Fetch({kInterim}, true).error().code == ErrorCode::kDeadlineExceeded);
  }

  void EndlessInterimResponsesAreTooLarge() { this->ExpectTooLarge({"", kInterim}); }

  void MalformedInterimResponseIsMalformed() {
    this->ExpectMalformed({{"field", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + kFinal},
                           {"101 after 103", kInterim + "HTTP/1.1 101 Odd\r\n\r\n" + kFinal},
                           {"000 after 103", kInterim + "HTTP/1.1 000 Odd\r\n\r\n"}});
  }

 private:
  static constexpr std::size_t kMaxBodyBytes = 100000;
  inline static const std::string kInterim =
      "HTTP/1.1 103 Early Hints\r\nX-Request-Id: r1\r\nRetry-After: 9\r\n\r\n";
  inline static const std::string kFinal = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";

  void ExpectMalformed(const std::vector<testing::RawResponse>& responses) {
    for (const auto& [name, bytes] : responses) {
      const auto answer = this->Fetch({bytes});
      CPPUNIT_ASSERT_MESSAGE(name, !answer);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(ToString(ErrorCode::kUpstreamProtocol)),
                                   std::string(ToString(answer.error().code)));
      CPPUNIT_ASSERT_MESSAGE(name, answer.error().verdict == Verdict::kMayHaveRun);
      CPPUNIT_ASSERT_MESSAGE(name, !this->reusable);
    }
  }

  void ExpectTooLarge(testing::EndlessResponse endless) {
    const auto answer = this->FetchEndless(std::move(endless));
    CPPUNIT_ASSERT(!answer);
    CPPUNIT_ASSERT(answer.error().code == ErrorCode::kResponseTooLarge);
    CPPUNIT_ASSERT(answer.error().verdict == Verdict::kMayHaveRun);
  }

  /** Sends a request to an `EndlessServer`, which must notice that the connection is closed. */
  Result<std::string> FetchEndless(testing::EndlessResponse endless) {
    ServerContext io(1);
    testing::EndlessServer server(io, std::move(endless));
    Result<std::string> answer = NotRun(ErrorCode::kInternal, "no answer");
    asio::co_spawn(io, this->SendRequest(io, server.address(), answer), asio::detached);
    io.run_for(std::chrono::milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.requests());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.open_connections());
    io.DropPending();
    return answer;
  }

  /** Sends a request to a peer that responds with `chunks`, then closes or stays unresponsive. */
  Result<std::string> Fetch(std::vector<std::string> chunks, bool silent = false) {
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address = boost::lexical_cast<std::string>(acceptor.local_endpoint());
    Result<std::string> answer = NotRun(ErrorCode::kInternal, "no answer");
    asio::co_spawn(io, this->Serve(acceptor, std::move(chunks), silent), asio::detached);
    asio::co_spawn(io, this->SendRequest(io, address, answer), asio::detached);
    io.run_for(std::chrono::seconds(5));
    return answer;
  }

  asio::awaitable<void> Serve(tcp::acceptor& acceptor, std::vector<std::string> chunks,
                              bool silent) {
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 1024> request{};
    co_await socket.async_read_some(asio::buffer(request), kNoThrow);
    for (const std::string& chunk : chunks) {
      co_await asio::async_write(socket, asio::buffer(chunk), kNoThrow);
    }
    asio::steady_timer timer(socket.get_executor(),
                             Clock::now() + Milliseconds(silent ? 1000 : 30));
    co_await timer.async_wait(kNoThrow);
    if (this->reset) socket.set_option(asio::socket_base::linger(true, 0));
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  asio::awaitable<void> SendRequest(asio::io_context& io, std::string address,
                                    Result<std::string>& answer) {
    const Deadline deadline = Clock::now() + Milliseconds(500);
    auto connection = co_await HttpConnection::Connect(io, address, deadline);
    if (!connection) co_return;
    HttpRequest request;
    request.headers["Host"] = address;
    auto response = co_await connection.value()->Call(request, deadline, kMaxBodyBytes);
    this->reusable = connection.value()->IsReusable(Clock::now());
    if (response) {
      this->status = response.value().status;
      this->headers = response.value().headers;
      answer = std::move(response.value().body);
    } else {
      answer = response.error();
    }
    connection.value()->Close();
  }

  bool reset = false;
  bool reusable = false;
  int status = 0;   ///< Of the last response.
  Headers headers;  ///< Of the last response.
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionTest);

}  // namespace
}  // namespace limpetfall
