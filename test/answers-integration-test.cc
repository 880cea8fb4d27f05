#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <iostream>
#include <random>
#include <thread>

#include "harness/cluster.h"

// Property P3: each caller gets its own complete answer or an error, under any fault of upstreams
// or callers.
namespace limpetfall::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout{20000};

/** A TCP connection for clients that violate HTTP or disconnect early. */
class RawConnection {
 public:
  explicit RawConnection(const std::string& url) {
    const std::string host = url.substr(7, url.rfind(':') - 7);
    this->fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1))));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    this->is_connected =
        connect(this->fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  ~RawConnection() {
    // Sends RST instead of FIN, as the kernel does for a killed process.
    const linger reset{1, 0};
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(this->fd);
  }

  void Send(const std::string& bytes) const {
    (void)send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /** Reads until the text contains `end`, the peer closes the connection, or the time-out. */
  [[nodiscard]] std::string ReadUntil(const std::string& end, milliseconds timeout) const {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::string text;
    while (text.find(end) == std::string::npos) {
      const auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(
          deadline - std::chrono::steady_clock::now());
      if (remaining.count() <= 0) break;
      const timeval receive_timeout{remaining.count() / 1000000, remaining.count() % 1000000};
      setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof(receive_timeout));
      std::array<char, 4096> buffer;
      const ssize_t count = recv(this->fd, buffer.data(), buffer.size(), 0);
      if (count <= 0) break;
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  [[nodiscard]] bool connected() const { return this->is_connected; }

 private:
  int fd = -1;
  bool is_connected = false;
};

std::string RawCompletionRequest(const std::string& id, const std::string& prompt) {
  const std::string body =
      json({{"model", "fold-plan"}, {"prompt", prompt}, {"max_tokens", 1}}).dump();
  return "POST /v1/completions HTTP/1.1\r\nHost: node\r\nX-Branch: ennis\r\nX-Team: councils\r\n"
         "X-Request-Id: " +
         id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class AnswersIntegrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswersIntegrationTest);
  CPPUNIT_TEST(ReconnectingClientGetsNoAnswerOfAnotherRequest);
  CPPUNIT_TEST(FaultyUpstreamAnswerIsNotRelayedAsComplete);
  CPPUNIT_TEST(UnresponsiveConnectionsAreReplaced);
  CPPUNIT_TEST(MalformedInputIsNotRunAndNodeKeepsServing);
  CPPUNIT_TEST(CallerDisconnectCancelsUpstreamRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an answer that is written to a reused file descriptor, and so to another client.
  // 40 clients disconnect at about the time of the answer and connect again.
  void ReconnectingClientGetsNoAnswerOfAnotherRequest() {
    auto cluster = Cluster::Start(kSmallCluster);
    constexpr int kClients = 40;
    constexpr auto kDuration = std::chrono::seconds(8);
    std::atomic<int> complete{0};
    std::atomic<int> mismatched{0};
    std::atomic<int> dropped{0};
    const auto end = std::chrono::steady_clock::now() + kDuration;
    std::vector<std::jthread> clients;
    clients.reserve(kClients);
    for (int client = 0; client < kClients; ++client) {
      clients.emplace_back([&, client] {
        std::mt19937 random(static_cast<unsigned>(client));
        const std::vector<int> timeouts_ms = {1, 3, 8, 10, 11, 12, 15, 20, 40, 2000};
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
          const std::string id = "r" + std::to_string(client) + "x" + std::to_string(i) + "y";
          const RawConnection connection(cluster->caller_url(0));
          if (!connection.connected()) continue;
          connection.Send(RawCompletionRequest(id, id));
          const std::string answer = connection.ReadUntil(
              "\"usage\"", milliseconds(timeouts_ms[random() % timeouts_ms.size()]));
          if (answer.find("\"usage\"") == std::string::npos) {
            ++dropped;
          } else if (answer.find("\"" + id + "\"") != std::string::npos) {
            ++complete;
          } else {
            ++mismatched;
          }
        }
      });
    }
    for (std::jthread& client : clients) client.join();
    std::cout << "\n"
              << complete << " complete, " << mismatched << " mismatched, " << dropped
              << " dropped\n";
    CPPUNIT_ASSERT_EQUAL(0, mismatched.load());
    CPPUNIT_ASSERT(complete > 100);
    CPPUNIT_ASSERT(cluster->node(0).running());
  }

  // Guards against relaying an answer that is truncated, belongs to another request, repeats a
  // token or has no end mark.
  void FaultyUpstreamAnswerIsNotRelayedAsComplete() {
    auto cluster = Cluster::Start(kSmallCluster);
    const std::string expected = Cluster::CompletionText(cluster->Complete(0, "faults", 12));
    CPPUNIT_ASSERT(!expected.empty());
    for (const char* fault : {R"({"cut_after":4})", R"({"duplicate_token":3})",
                              R"({"omit_end_mark":true})", R"({"wrong_id":true})"}) {
      // All engines have the fault, so no group can complete the answer without it.
      for (int vm = 0; vm < 4; ++vm) cluster->ControlEngine(vm, fault);
      const Reply reply = cluster->Complete(0, "faults", 12);
      // Several resumed attempts may add up to a complete answer, which must then be the expected
      // one.
      const std::string text = Cluster::CompletionText(reply);
      CPPUNIT_ASSERT_MESSAGE(std::string(fault) + reply.body, text.empty() || text == expected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(fault) + reply.body,
                                   std::string(text.empty() ? "may-have-run" : "ran"),
                                   reply.headers.at("x-verdict"));
      auto stream = cluster->Stream(1, "faults", 12);
      CPPUNIT_ASSERT(stream->WaitForEnd(kWaitTimeout));
      CPPUNIT_ASSERT_MESSAGE(std::string(fault) + stream->raw(),
                             !stream->complete() || stream->CompleteText() == expected);
      for (int vm = 0; vm < 4; ++vm) cluster->ControlEngine(vm, R"({"reset":true})");
      Reply recovered;
      CPPUNIT_ASSERT(WaitFor(
          [&] {
            recovered = cluster->Complete(0, "faults " + std::string(fault), 12);
            return recovered.status == 200;
          },
          kWaitTimeout));
    }
  }

  // Guards against waiting on connections whose state a middlebox has dropped: open connections
  // transfer nothing any more, while new ones work.
  void UnresponsiveConnectionsAreReplaced() {
    ClusterOptions options = kSmallCluster;
    options.proxy_engines = true;
    options.proxy_service = true;
    options.proxy_platform = true;
    options.proxy_nodes = true;
    auto cluster = Cluster::Start(options);
    CPPUNIT_ASSERT_EQUAL(200, cluster->Complete(0, "before").status);
    CPPUNIT_ASSERT_EQUAL(201, cluster->PlaceOrder(0, "before", R"({"job":"before"})").status);
    const std::string silence = R"({"mode":"silence_existing"})";
    for (int vm = 0; vm < 4; ++vm) cluster->ControlEngineProxy(vm, silence);
    cluster->ControlServiceProxy(silence);
    for (int node = 0; node < 3; ++node) {
      cluster->ControlPlatformProxy(node, silence);
      cluster->ControlNodeProxy(node, silence);
    }
    for (int node = 0; node < 3; ++node) {
      CPPUNIT_ASSERT(
          WaitFor([&] { return cluster->Complete(node, "after", 4).status == 200; }, kWaitTimeout));
    }
    Reply order;
    CPPUNIT_ASSERT(WaitFor(
        [&] {
          order = cluster->PlaceOrder(0, "after", R"({"job":"silent-after"})");
          return order.headers["x-verdict"] != "not-run";
        },
        kWaitTimeout));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(order.body, std::string("ran"), order.headers["x-verdict"]);
    CPPUNIT_ASSERT_EQUAL(1, cluster->CountOrderRuns("silent-after"));
  }

  // Guards against malformed input that crashes a node, runs as a request, or gets no verdict.
  void MalformedInputIsNotRunAndNodeKeepsServing() {
    auto cluster = Cluster::Start(kSmallCluster);
    const std::string url = cluster->caller_url(0);
    const std::map<std::string, std::string> headers = {{"X-Branch", "ennis"},
                                                        {"X-Team", "councils"}};
    const std::vector<std::pair<std::string, int>> cases = {
        {"{", 400},
        {R"({"model":"fold-plan"})", 400},
        {R"({"model":"fold-plan","prompt":"x","max_tokens":-1})", 400},
        {R"({"model":"nothing","prompt":"x"})", 404},
        {std::string(2 << 20, 'x'), 413}};
    for (const auto& [body, status] : cases) {
      const Reply reply = Fetch("POST", url + "/v1/completions", body, headers);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body.substr(0, 40) + reply.body, status, reply.status);
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), reply.headers.at("x-verdict"));
    }
    const Reply team =
        Fetch("POST", url + "/v1/completions", R"({"model":"fold-plan","prompt":"x"})",
              {{"X-Branch", "ennis"}, {"X-Team", "strangers"}});
    CPPUNIT_ASSERT(team.status == 404 || team.status == 403);
    RawConnection(url).Send("\x16\x03\x01 garbage\r\n\r\n");
    const RawConnection truncated(url);
    truncated.Send(
        "POST /v1/completions HTTP/1.1\r\nHost: node\r\nContent-Length: 100\r\n\r\n{\"mod");
    // Invalid bytes on the node RPC port.
    std::string rpc = url.substr(0, url.rfind(':')) + ":7003";
    RawConnection(rpc).Send(std::string(4096, '\xff'));
    RawConnection(rpc).Send("GET / HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(200, cluster->Complete(0, "still here").status);
    CPPUNIT_ASSERT(cluster->node(0).running());
  }

  // Guards against engines that go on generating after the caller has disconnected.
  void CallerDisconnectCancelsUpstreamRequest() {
    ClusterOptions options = kSmallCluster;
    options.token_ms = 50;
    auto cluster = Cluster::Start(options);
    {
      const RawConnection connection(cluster->caller_url(0));
      const std::string body = json({{"model", "fold-plan"},
                                     {"prompt", "left early"},
                                     {"max_tokens", 400},
                                     {"stream", true}})
                                   .dump();
      connection.Send(
          "POST /v1/completions HTTP/1.1\r\nHost: node\r\nX-Branch: ennis\r\n"
          "X-Team: councils\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body);
      const std::string start = connection.ReadUntil("token_index", kWaitTimeout);
      CPPUNIT_ASSERT(start.find("token_index") != std::string::npos);
    }
    const auto idle = [&] {
      for (int vm = 0; vm < 4; ++vm) {
        if (cluster->EngineReport(vm).value("running", 0) != 0) return false;
      }
      return true;
    };
    CPPUNIT_ASSERT(WaitFor(idle, milliseconds(3000)));
  }

 private:
  static const ClusterOptions kSmallCluster;
};

const ClusterOptions AnswersIntegrationTest::kSmallCluster{
    .domains = 1, .vms_per_domain = 4, .vms_per_group = 2, .groups = 2};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswersIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
