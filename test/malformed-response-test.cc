#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "client/blocking-http.h"
#include "harness/malformed-responses.h"
#include "harness/net.h"
#include "http/client.h"

namespace limpetfall::testing {
namespace {

constexpr Milliseconds kTestTimeout{5000};

const std::string kResponse = MakeRawResponse("HTTP/1.1 200 OK", "X-A: 1\r\nX-B: 2\r\n");

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

  IoThreads threads;
  std::shared_ptr<HttpClient> client = HttpClient::Create({}).value();
  std::unique_ptr<BlockingHttp> blocking_client = BlockingHttp::Create().value();
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedResponseTest);

}  // namespace
}  // namespace limpetfall::testing
