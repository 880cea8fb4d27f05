#ifndef LIMPETFALL_TEST_HARNESS_GATEWAY_FIXTURE_H_
#define LIMPETFALL_TEST_HARNESS_GATEWAY_FIXTURE_H_

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway-node-impl.h"
#include "gateway/server-context.h"
#include "harness/fake-deployment.h"
#include "harness/net.h"
#include "platform/store-client.h"
#include "platform/wire.h"

namespace limpetfall::testing {

using GatewayUnderTest = GatewayNode<platform::StoreClient, platform::WireAdapter>;

/** Returns a configuration with a stream, an order and a lookup route, and one team that holds the
 * API keys `keys`, a comma-separated list of JSON strings. */
inline std::string ConfigJson(int version, const std::string& keys) {
  return R"({"version":)" + std::to_string(version) + R"(,
    "routes":[
      {"name":"chat","host":"h","prefix":"/chat/","kind":"stream","timeoutMs":5000,"goalMs":400,
       "priority":1,"service":"llm","attempts":2,"sticky":true,"resumable":true,"gapTargetMs":200},
      {"name":"order","host":"h","prefix":"/order/","kind":"non_idempotent","timeoutMs":1500,
       "goalMs":300,"priority":2,"service":"book","attempts":1},
      {"name":"lookup","host":"h","prefix":"/lookup/","kind":"idempotent","timeoutMs":1500,
       "goalMs":300,"priority":2,"service":"book","attempts":2}],
    "services":[
      {"name":"llm","healthPath":"/healthz","engine":{"slots":6,"loadsPerS":5,"loads_at_once":7,
       "models":[{"name":"m","size":2,"share":1.0,"pace":1.0,"loadS":1.0,"warmS":0.2}]}},
      {"name":"book","healthPath":"/healthz"}],
    "tenants":[{"name":"clubs","apiKeys":[)" +
         keys + R"(]}]})";
}

/** An answer that a caller received. `complete` is false if the connection closed early. */
struct Answer {
  int status = 0;
  Headers headers;
  std::string body;
  bool complete = false;
};

/**
 * Gateway nodes in front of a `FakeDeployment` with two plain upstreams and three groups of two
 * runners. All of them run in the process and on the event loop of the test.
 */
class GatewayFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    this->io = std::make_unique<ServerContext>(1);
    this->deployment = std::make_unique<FakeDeployment>(*this->io);
    this->deployment->AddRunner("b1", "book", "d0");
    this->deployment->AddRunner("b2", "book", "d0");
    for (int i = 0; i < 6; ++i) {
      this->deployment->AddRunner("r" + std::to_string(i), "llm", i < 4 ? "d1" : "d2");
    }
  }

  void tearDown() override {
    this->io->DropPending();
    this->last_connection.reset();
    this->nodes.clear();
    this->stores.clear();
    this->deployment.reset();
    this->io.reset();
    this->caller_addresses.clear();
    this->peer_addresses.clear();
  }

 protected:
  [[nodiscard]] GatewayOptions MakeOptions(const std::string& id, const std::string& peer_address,
                                           std::vector<std::string> seeds) const {
    GatewayOptions options;
    options.node = NodeId(id);
    options.zone = ZoneId("z1");
    options.caller_address = FreeAddress();
    options.peer_address = peer_address;
    options.peer_seeds = std::move(seeds);
    options.relay.headers = platform::WireHeaders();
    options.relay.shared_prompt_parts = platform::SharedPromptParts;
    options.relay.stated_tokens = platform::StatedTokens;
    options.capacity = this->node_capacity;
    options.free_load_time = Milliseconds(5000);
    options.traffic.min_nodes = this->fewest_active;
    options.stop_grace = this->stop_grace;
    return options;
  }

  void StartNode(const std::string& id, const std::string& peer_address,
                 std::vector<std::string> seeds, std::string store_address = "") {
    if (store_address.empty()) store_address = this->deployment->store_address();
    const GatewayOptions options = this->MakeOptions(id, peer_address, std::move(seeds));
    this->stores.push_back(std::make_unique<platform::StoreClient>(*this->io, store_address));
    this->nodes.push_back(std::make_unique<GatewayUnderTest>(
        *this->io, options, *this->stores.back(), this->adapter, Metrics::Create()));
    const auto started = this->nodes.back()->Start();
    CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error().message, started.has_value());
    this->caller_addresses.push_back(options.caller_address);
    this->peer_addresses.push_back(peer_address);
    this->caller_address = options.caller_address;
  }

  /** Starts one node and waits until all groups are open. */
  void StartServing(std::size_t groups = 3) {
    this->deployment->Put("op/config", ConfigJson(5, R"("k1")"));
    this->StartNode("n1", FreeAddress(), {});
    this->RunUntil([&] { return this->deployment->OpenHeads().size() == groups; }, 8000);
    this->RunFor(200);
  }

  /** Starts over with a new deployment and no nodes. */
  void ResetFixture() {
    this->tearDown();
    this->setUp();
  }

  void RunFor(int ms) { this->io->run_for(Milliseconds(ms)); }

  /** Returns whether `condition` becomes true in time. */
  [[nodiscard]] bool Await(const std::function<bool()>& condition, int limit_ms) {
    const Deadline limit = Clock::now() + Milliseconds(limit_ms);
    while (!condition()) {
      if (limit <= Clock::now()) return false;
      this->RunFor(10);
    }
    return true;
  }

  void RunUntil(const std::function<bool()>& condition, int limit_ms) {
    CPPUNIT_ASSERT_MESSAGE("the condition did not become true in time",
                           this->Await(condition, limit_ms));
  }

  [[nodiscard]] std::string CompleteStream() const {
    std::string stream;
    for (int i = 0; i < this->deployment->events_in_stream; ++i) {
      stream += "id: " + std::to_string(i) + "\ndata: " + std::to_string(i) + "\n\n";
    }
    return stream;
  }

  Answer SendAndWait(const std::string& method, const std::string& target, const std::string& id,
                     const std::string& key, const std::string& body = "") {
    std::optional<Answer> answer;
    this->StartRequest(method, target, id, key, body, answer);
    this->RunUntil([&] { return answer.has_value(); }, 10000);
    return *answer;
  }

  [[nodiscard]] HttpRequest MakeRequest(const std::string& method, const std::string& target,
                                        const std::string& id, const std::string& key,
                                        const std::string& body) const {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.headers = {
        {"Host", "h"}, {"X-Request-Id", id}, {"X-Key", key}, {"X-Deadline-Ms", "5000"}};
    if (target.starts_with("/chat/")) request.headers["X-Model"] = "m";
    if (!this->prompt_parts.empty()) request.headers["X-Prefix-Hash"] = this->prompt_parts;
    request.body = body;
    return request;
  }

  void StartRequest(const std::string& method, const std::string& target, const std::string& id,
                    const std::string& key, const std::string& body,
                    std::optional<Answer>& answer) {
    HttpRequest request = this->MakeRequest(method, target, id, key, body);
    boost::asio::co_spawn(*this->io, this->Send(std::move(request), answer), boost::asio::detached);
  }

  /** Starts streams in all slots of the three groups, and waits until they run. The returned object
   * must outlive them. */
  std::unique_ptr<std::vector<std::optional<Answer>>> OccupySlots() {
    constexpr std::size_t kSlots = 18;
    const std::size_t expected = this->deployment->runner_requests.size() + kSlots;
    auto running = std::make_unique<std::vector<std::optional<Answer>>>(kSlots);
    for (std::size_t i = 0; i < kSlots; ++i)
      this->StartRequest("GET", "/chat/1", "s" + std::to_string(i), "k1", "", (*running)[i]);
    this->RunUntil([&] { return this->deployment->runner_requests.size() == expected; }, 1000);
    return running;
  }

  /** Sends a request and reads its answer. Returns why the answer is incomplete, if it is. */
  static boost::asio::awaitable<std::string> ReadAnswer(HttpConnection& connection,
                                                        const HttpRequest& request,
                                                        Deadline deadline, Answer& answer) {
    if (const auto written = co_await connection.Send(request, deadline); !written)
      co_return written.error().message;
    auto head = co_await connection.ReadHead(deadline);
    if (!head) co_return head.error().message;
    answer.status = head.value().status;
    answer.headers = std::move(head.value().headers);
    while (!answer.complete) {
      const auto done = co_await connection.ReadSome(answer.body, deadline);
      if (!done) co_return done.error().message;
      answer.complete = done.value();
    }
    co_return "";
  }

  boost::asio::awaitable<void> Send(HttpRequest request, std::optional<Answer>& answer) {
    const Deadline deadline = Clock::now() + Milliseconds(9000);
    Answer received;
    auto connected = co_await HttpConnection::Connect(*this->io, this->caller_address, deadline);
    if (!connected) {
      answer = received;
      co_return;
    }
    const auto connection = connected.value();
    this->last_connection = connection;
    co_await ReadAnswer(*connection, request, deadline, received);
    answer = received;
  }

  std::unique_ptr<ServerContext> io;
  std::unique_ptr<FakeDeployment> deployment;
  platform::WireAdapter adapter;
  std::vector<std::unique_ptr<platform::StoreClient>> stores;
  std::vector<std::unique_ptr<GatewayUnderTest>> nodes;
  std::vector<std::string> caller_addresses;
  std::vector<std::string> peer_addresses;
  std::size_t fewest_active = TrafficSetOptions().min_nodes;
  double node_capacity = 1;                               ///< Of nodes that are started.
  Milliseconds stop_grace = GatewayOptions().stop_grace;  ///< Of nodes that are started.
  std::string caller_address;
  std::string prompt_parts;  ///< `X-Prefix-Hash` of further requests; empty for none.
  std::shared_ptr<HttpConnection> last_connection;
};

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_GATEWAY_FIXTURE_H_
