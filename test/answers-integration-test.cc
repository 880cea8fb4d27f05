#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <iostream>
#include <random>
#include <thread>

#include "harness/cluster.h"

// P3: each caller gets its own whole answer or an error, whatever upstreams and callers do.
namespace limpetfall::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kLimit{20000};

/** A plain TCP connection, for clients that break the rules. */
class RawConnection {
 public:
  explicit RawConnection(const std::string& url) {
    const std::string host = url.substr(7, url.rfind(':') - 7);
    this->fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1))));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    this->open = connect(this->fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  ~RawConnection() {
    // A reset instead of an orderly close, as from a process that has died.
    const linger reset{1, 0};
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(this->fd);
  }

  void Send(const std::string& bytes) const {
    (void)send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /** Reads until the text contains `end`, the peer closes or the time is over. */
  [[nodiscard]] std::string ReadUntil(const std::string& end, milliseconds longest) const {
    const auto deadline = std::chrono::steady_clock::now() + longest;
    std::string text;
    while (text.find(end) == std::string::npos) {
      const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
          deadline - std::chrono::steady_clock::now());
      if (left.count() <= 0) break;
      const timeval timeout{left.count() / 1000000, left.count() % 1000000};
      setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
      std::array<char, 4096> buffer;
      const ssize_t count = recv(this->fd, buffer.data(), buffer.size(), 0);
      if (count <= 0) break;
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  [[nodiscard]] bool connected() const { return this->open; }

 private:
  int fd = -1;
  bool open = false;
};

std::string RawCompletion(const std::string& id, const std::string& prompt) {
  const std::string body =
      json({{"model", "fold-plan"}, {"prompt", prompt}, {"max_tokens", 1}}).dump();
  return "POST /v1/completions HTTP/1.1\r\nHost: node\r\nX-Branch: ennis\r\nX-Team: councils\r\n"
         "X-Request-Id: " +
         id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class AnswersIntegrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswersIntegrationTest);
  CPPUNIT_TEST(ClientsThatDropOutNeverGetAnotherAnswer);
  CPPUNIT_TEST(UpstreamFaultsNeverBecomeWholeAnswers);
  CPPUNIT_TEST(SilentConnectionsAreReplaced);
  CPPUNIT_TEST(BadInputIsNotRunAndLosesNothing);
  CPPUNIT_TEST(CallerThatGoesCancelsUpstream);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an answer that goes to whoever holds the file descriptor now. 40 clients drop
  // out near the moment of the answer and connect again.
  void ClientsThatDropOutNeverGetAnotherAnswer() {
    auto cluster = Cluster::Start(kSmall);
    constexpr int kClients = 40;
    constexpr auto kDuration = std::chrono::seconds(8);
    std::atomic<int> whole{0};
    std::atomic<int> crossed{0};
    std::atomic<int> dropped{0};
    const auto end = std::chrono::steady_clock::now() + kDuration;
    std::vector<std::jthread> clients;
    clients.reserve(kClients);
    for (int client = 0; client < kClients; ++client) {
      clients.emplace_back([&, client] {
        std::mt19937 random(static_cast<unsigned>(client));
        const std::vector<int> patience_ms = {1, 3, 8, 10, 11, 12, 15, 20, 40, 2000};
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
          const std::string id = "r" + std::to_string(client) + "x" + std::to_string(i) + "y";
          const RawConnection connection(cluster->caller_url(0));
          if (!connection.connected()) continue;
          connection.Send(RawCompletion(id, id));
          const std::string answer = connection.ReadUntil(
              "\"usage\"", milliseconds(patience_ms[random() % patience_ms.size()]));
          if (answer.find("\"usage\"") == std::string::npos) {
            ++dropped;
          } else if (answer.find("\"" + id + "\"") != std::string::npos) {
            ++whole;
          } else {
            ++crossed;
          }
        }
      });
    }
    for (std::jthread& client : clients) client.join();
    std::cout << "\n" << whole << " whole, " << crossed << " crossed, " << dropped << " dropped\n";
    CPPUNIT_ASSERT_EQUAL(0, crossed.load());
    CPPUNIT_ASSERT(whole > 100);
    CPPUNIT_ASSERT(cluster->node(0).running());
  }

  // Guards against handing on an answer that is cut, crossed, repeated or without its end mark.
  void UpstreamFaultsNeverBecomeWholeAnswers() {
    auto cluster = Cluster::Start(kSmall);
    const std::string expected = Cluster::TextOf(cluster->Complete(0, "faults", 12));
    CPPUNIT_ASSERT(!expected.empty());
    for (const char* fault : {R"({"cut_after":4})", R"({"duplicate_token":3})",
                              R"({"omit_end_mark":true})", R"({"wrong_id":true})"}) {
      // All engines have the fault, so that no group can save the answer.
      for (int vm = 0; vm < 4; ++vm) cluster->ControlEngine(vm, fault);
      const Reply reply = cluster->Complete(0, "faults", 12);
      // Resuming may make a whole answer out of several attempts; it is the right one or none.
      const std::string text = Cluster::TextOf(reply);
      CPPUNIT_ASSERT_MESSAGE(std::string(fault) + reply.body, text.empty() || text == expected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(fault) + reply.body,
                                   std::string(text.empty() ? "may-have-run" : "ran"),
                                   reply.headers.at("x-verdict"));
      auto stream = cluster->Stream(1, "faults", 12);
      CPPUNIT_ASSERT(stream->WaitForEnd(kLimit));
      CPPUNIT_ASSERT_MESSAGE(std::string(fault) + stream->raw(),
                             !stream->whole() || stream->WholeText() == expected);
      for (int vm = 0; vm < 4; ++vm) cluster->ControlEngine(vm, R"({"reset":true})");
      Reply healed;
      CPPUNIT_ASSERT(WaitFor(
          [&] {
            healed = cluster->Complete(0, "faults " + std::string(fault), 12);
            return healed.status == 200;
          },
          kLimit));
    }
  }

  // Guards against connections that something between the two ends has forgotten: open ones are
  // silent for good while new ones work.
  void SilentConnectionsAreReplaced() {
    ClusterOptions options = kSmall;
    options.proxy_engines = true;
    options.proxy_service = true;
    options.proxy_platform = true;
    options.proxy_nodes = true;
    auto cluster = Cluster::Start(options);
    CPPUNIT_ASSERT_EQUAL(200, cluster->Complete(0, "before").status);
    CPPUNIT_ASSERT_EQUAL(201, cluster->Order(0, "before", R"({"job":"before"})").status);
    const std::string silence = R"({"mode":"silence_existing"})";
    for (int vm = 0; vm < 4; ++vm) cluster->ControlEngineProxy(vm, silence);
    cluster->ControlServiceProxy(silence);
    for (int node = 0; node < 3; ++node) {
      cluster->ControlPlatformProxy(node, silence);
      cluster->ControlNodeProxy(node, silence);
    }
    for (int node = 0; node < 3; ++node) {
      CPPUNIT_ASSERT(
          WaitFor([&] { return cluster->Complete(node, "after", 4).status == 200; }, kLimit));
    }
    Reply order;
    CPPUNIT_ASSERT(WaitFor(
        [&] {
          order = cluster->Order(0, "after", R"({"job":"silent-after"})");
          return order.headers["x-verdict"] != "not-run";
        },
        kLimit));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(order.body, std::string("ran"), order.headers["x-verdict"]);
    CPPUNIT_ASSERT_EQUAL(1, cluster->OrdersRun("silent-after"));
  }

  // Guards against input that crashes a node, is taken for a request, or gets no clear answer.
  void BadInputIsNotRunAndLosesNothing() {
    auto cluster = Cluster::Start(kSmall);
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
    // Garbage on the port between nodes.
    std::string rpc = url.substr(0, url.rfind(':')) + ":7003";
    RawConnection(rpc).Send(std::string(4096, '\xff'));
    RawConnection(rpc).Send("GET / HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(200, cluster->Complete(0, "still here").status);
    CPPUNIT_ASSERT(cluster->node(0).running());
  }

  // Guards against engines that generate for callers who have gone.
  void CallerThatGoesCancelsUpstream() {
    ClusterOptions options = kSmall;
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
      const std::string start = connection.ReadUntil("token_index", kLimit);
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
  static const ClusterOptions kSmall;
};

const ClusterOptions AnswersIntegrationTest::kSmall{
    .domains = 1, .vms_per_domain = 4, .vms_per_group = 2, .groups = 2};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswersIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
