#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "client/blocking-http.h"
#include "harness/net.h"
#include "harness/raw-responses.h"
#include "http/client.h"

namespace limpetfall::testing {
namespace {

constexpr Milliseconds kTestTimeout{5000};

const std::string kResponse = MakeRawResponse("HTTP/1.1 200 OK", "X-A: 1\r\nX-B: 2\r\n");
const std::string kInterim = "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n";

/** A peer that responds to each request with the next of `responses`, then closes. */
ScriptedPeer MakePeer(std::vector<std::string> responses) {
  return ScriptedPeer([responses = std::move(responses)](PeerConnection& connection) {
    for (const std::string& response : responses) {
      if (connection.ReadRequest().empty()) return;
      connection.Write(response);
    }
  });
}

HttpRequest MakeRequest(const std::string& address) {
  HttpRequest request;
  request.method = "POST";
  request.address = address;
  request.headers["Host"] = address;
  request.body = "x";
  return request;
}

/** The two HTTP clients that are based on libcurl, and the responses that neither may accept. */
class MalformedResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MalformedResponseTest);
  CPPUNIT_TEST(ClientsSurviveFoldWithoutFieldAfterManyResponses);
  CPPUNIT_TEST(MalformedFieldIsMalformed);
  CPPUNIT_TEST(MalformedTrailerIsMalformed);
  CPPUNIT_TEST(FoldedValueIsJoined);
  CPPUNIT_TEST(HeadCutShortIsNoResponse);
  CPPUNIT_TEST(MalformedStatusLineIsMalformed);
  CPPUNIT_TEST(InvalidStatusIsMalformed);
  CPPUNIT_TEST(InterimResponsesAreSkipped);
  CPPUNIT_TEST(EndlessHeadsAreTooLarge);
  CPPUNIT_TEST(InvalidFramingIsMalformed);
  CPPUNIT_TEST(UnusualValidResponsesAreAccepted);
  CPPUNIT_TEST(ConnectionOfMalformedResponseIsNotUsedAgain);
  CPPUNIT_TEST(BlockingClientKeepsItsConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that one upstream can end with a response.
  void ClientsSurviveFoldWithoutFieldAfterManyResponses() {
    constexpr int kResponses = 40;
    std::vector<std::string> responses(kResponses, kResponse);
    responses.push_back(MakeRawResponse("HTTP/1.1 200 OK\r\n X-Odd: 1", "X-A: 1\r\n"));
    responses.push_back(kResponse);
    for (int round = 0; round < 3; ++round) {
      for (const bool blocking : {false, true}) {
        const ScriptedPeer peer = MakePeer(responses);
        const auto fetch = [&] {
          return blocking ? this->SendBlocking(peer.address()) : this->Fetch(peer.address());
        };
        for (int i = 0; i < kResponses; ++i) CPPUNIT_ASSERT(fetch());
        [[maybe_unused]] const auto folded = fetch();
        CPPUNIT_ASSERT(fetch());
      }
    }
  }

  // The next ones guard against taking what is not the answer of the peer for one.
  void MalformedFieldIsMalformed() { this->ExpectAllMalformed(ResponsesWithMalformedField()); }

  void MalformedStatusLineIsMalformed() {
    this->ExpectAllMalformed(ResponsesWithMalformedStatusLine());
  }

  void InvalidStatusIsMalformed() { this->ExpectAllMalformed(ResponsesWithInvalidStatus()); }

  void InvalidFramingIsMalformed() { this->ExpectAllMalformed(ResponsesWithInvalidFraming()); }

  void MalformedTrailerIsMalformed() {
    const std::string head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n";
    CPPUNIT_ASSERT_EQUAL(std::string("done"),
                         this->FetchBoth(head + "X-Sum: 1\r\n\r\n").front().value().body);
    this->ExpectAllMalformed(
        {{"blank", head + "X Sum: 1\r\n\r\n"}, {"control byte", head + "X-Sum: \x01\r\n\r\n"}});
  }

  // Guards against a complete response whose last fields are missing.
  void HeadCutShortIsNoResponse() {
    for (const std::string& bytes :
         {std::string("HTTP/1.1 200 OK\r\nX-A: 1\r\n"), std::string("HTTP/1.1 200 OK\r\nX-A: 1"),
          std::string("HTTP/1.1 204 No Content\r\nX-A: 1\r\n"), kInterim,
          kInterim + "HTTP/1.1 204 No Content\r\n"}) {
      for (const auto& response : this->FetchBoth(bytes)) {
        CPPUNIT_ASSERT_MESSAGE(bytes, !response);
        CPPUNIT_ASSERT_MESSAGE(bytes, response.error().verdict == Verdict::kMayHaveRun);
      }
    }
  }

  // Guards against a value that lacks its end, and against a fold that is read as a field.
  void FoldedValueIsJoined() {
    for (const auto& response :
         this->FetchBoth(MakeRawResponse("HTTP/1.1 200 OK",
                                         "X-A: 1\r\n \t X-B: 2\r\n\t3 \r\nX-C: 4\r\n \r\n"
                                         "X-D:\r\n 5\r\n"))) {
      CPPUNIT_ASSERT_EQUAL(std::string("1 X-B: 2 3"), response.value().headers.at("X-A"));
      CPPUNIT_ASSERT_EQUAL(std::string("4"), response.value().headers.at("X-C"));
      CPPUNIT_ASSERT_EQUAL(std::string("5"), response.value().headers.at("X-D"));
      CPPUNIT_ASSERT(!response.value().headers.contains("X-B"));
    }
  }

  // Guards against taking an interim response, or its fields, for the final one.
  void InterimResponsesAreSkipped() {
    std::string many;
    for (int i = 0; i < 500; ++i) many += kInterim;
    for (const std::string& interim :
         {kInterim, "HTTP/1.1 100 Continue\r\n\r\n" + kInterim, many}) {
      for (const auto& response : this->FetchBoth(interim + kResponse)) {
        CPPUNIT_ASSERT_EQUAL(200, response.value().status);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), response.value().body);
        CPPUNIT_ASSERT(!response.value().headers.contains("X-Hint"));
      }
    }
  }

  // Guards against memory and time that a peer takes with heads that never end.
  void EndlessHeadsAreTooLarge() {
    constexpr std::size_t kEndless = 4 << 20;
    std::string fields = "HTTP/1.1 200 OK\r\n";
    while (fields.size() < kEndless)
      fields += "X-Filler-" + std::to_string(fields.size()) + ": 1\r\n";
    std::string interim;
    while (interim.size() < kEndless) interim += kInterim;
    std::string trailer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n";
    while (trailer.size() < kEndless) trailer += "X-Filler: 1\r\n";
    for (const std::string& endless : {fields, interim, trailer}) {
      for (const auto& response : this->FetchBoth(endless)) {
        CPPUNIT_ASSERT(!response);
        CPPUNIT_ASSERT_EQUAL(std::string(ToString(ErrorCode::kResponseTooLarge)),
                             std::string(ToString(response.error().code)));
        CPPUNIT_ASSERT(response.error().verdict == Verdict::kMayHaveRun);
      }
    }
  }

  // Guards against refusing a sound upstream.
  void UnusualValidResponsesAreAccepted() {
    for (const auto& [name, bytes] : UnusualValidResponses()) {
      for (const auto& response : this->FetchBoth(bytes)) {
        CPPUNIT_ASSERT_MESSAGE(name + (response ? "" : ": " + response.error().message), response);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("done"), response.value().body);
      }
    }
  }

  // Guards against reading the rest of a malformed response as the next one.
  void ConnectionOfMalformedResponseIsNotUsedAgain() {
    for (const bool blocking : {false, true}) {
      const ScriptedPeer peer =
          MakePeer({"HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n", kResponse});
      for (int i = 0; i < 3; ++i) {
        ExpectMalformed("each connection starts with it", blocking
                                                              ? this->SendBlocking(peer.address())
                                                              : this->Fetch(peer.address()));
      }
    }
  }

  // Guards against a connection for each request, of which a server accepts a limited number.
  void BlockingClientKeepsItsConnection() {
    int connections = 0;
    {
      const ScriptedPeer peer([&connections](PeerConnection& connection) {
        ++connections;
        while (!connection.ReadRequest().empty()) connection.Write(kResponse);
      });
      for (int i = 0; i < 5; ++i) CPPUNIT_ASSERT(this->SendBlocking(peer.address()));
      this->blocking_client.reset();
    }
    CPPUNIT_ASSERT_EQUAL(1, connections);
  }

 private:
  Result<HttpResponse> Fetch(const std::string& address) {
    return this->threads.Run(
        this->client->Fetch(MakeRequest(address), Clock::now() + kTestTimeout));
  }

  Result<HttpResponse> SendBlocking(const std::string& address) {
    return this->blocking_client->Send(MakeRequest(address), {}, Clock::now() + kTestTimeout, {});
  }

  /** Returns what the clients read when a peer sends `bytes` to each of them. */
  std::vector<Result<HttpResponse>> FetchBoth(const std::string& bytes) {
    const ScriptedPeer peer = MakePeer({bytes});
    return {this->Fetch(peer.address()), this->SendBlocking(peer.address())};
  }

  void ExpectAllMalformed(const std::vector<RawResponse>& responses) {
    for (const auto& [name, bytes] : responses) {
      const auto results = this->FetchBoth(bytes);
      ExpectMalformed("client: " + name, results.front());
      ExpectMalformed("blocking client: " + name, results.back());
    }
  }

  static void ExpectMalformed(const std::string& name, const Result<HttpResponse>& result) {
    CPPUNIT_ASSERT_MESSAGE(name, !result);
    const Error& error = result.error();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name + ": " + error.message,
                                 std::string(ToString(ErrorCode::kUpstreamProtocol)),
                                 std::string(ToString(error.code)));
    CPPUNIT_ASSERT_MESSAGE(name, error.verdict == Verdict::kMayHaveRun);
  }

  IoThreads threads;
  std::shared_ptr<HttpClient> client = HttpClient::Create({}).value();
  std::unique_ptr<BlockingHttp> blocking_client = BlockingHttp::Create().value();
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedResponseTest);

}  // namespace
}  // namespace limpetfall::testing
