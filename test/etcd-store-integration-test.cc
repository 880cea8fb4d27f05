#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "daemon/config-service.h"
#include "harness/process.h"
#include "harness/run.h"
#include "platform/etcd-store.h"
#include "platform/vm-list.h"

namespace limpetfall {
namespace {

using Json = nlohmann::json;
using testing::Process;

class EtcdStoreIntegrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EtcdStoreIntegrationTest);
  CPPUNIT_TEST(SwapWithOtherRevisionIsNotWritten);
  CPPUNIT_TEST(ArbitraryBytesAreStoredUnchanged);
  CPPUNIT_TEST(ListReturnsOnlyKeysWithPrefix);
  CPPUNIT_TEST(LeasedKeyExpires);
  CPPUNIT_TEST(LongLeaseIsSharedByKeys);
  CPPUNIT_TEST(RevokedLeaseIsReplaced);
  CPPUNIT_TEST(WriteWithLostReplyMayHaveRun);
  CPPUNIT_TEST(WriteToUnreachableStoreIsNotRun);
  CPPUNIT_TEST(WriteRefusedWith503MayHaveRun);
  CPPUNIT_TEST(UnreachableAddressIsReplacedByNext);
  CPPUNIT_TEST(ReadUsesNextAddressAfterTimeout);
  CPPUNIT_TEST(UnansweredWriteMayHaveRunAndIsSentOnce);
  CPPUNIT_TEST(OversizedValueIsNotRun);
  CPPUNIT_TEST(ConfigChangeWithLostReplyIsAccepted);
  CPPUNIT_TEST(VmListChangeIsVisibleAfterLag);
  CPPUNIT_TEST(MalformedVmListIsAnError);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->platform = StartPlatform();
    this->client = HttpClient::Create({}).value();
    this->store = MakeStore({this->platform->addresses()[0]});
  }

  // Guards against overwriting a value that the writer has not read.
  void SwapWithOtherRevisionIsNotWritten() {
    CPPUNIT_ASSERT(!Get("/a").has_value());
    const auto created = Swap("/a", "1", 0).value();
    CPPUNIT_ASSERT(created.written && created.revision > 0);
    const auto refused = Swap("/a", "2", 0).value();
    CPPUNIT_ASSERT(refused.current == StoredValue({"/a", "1", created.revision}));
    CPPUNIT_ASSERT(!refused.written);
    const auto replaced = Swap("/a", "2", created.revision).value();
    CPPUNIT_ASSERT(Get("/a") == StoredValue({"/a", "2", replaced.revision}));
    const auto absent = Swap("/b", "1", 5).value();
    CPPUNIT_ASSERT(!absent.written && !absent.current);
  }

  // Guards against values that the base64 or JSON encoding changes.
  void ArbitraryBytesAreStoredUnchanged() {
    for (std::size_t size = 0; size < 4; ++size) {
      std::string value("\0\xff\"", 3);
      value = value.substr(0, size % 4) + std::string(size, '\xfe');
      const std::string key = "/bytes\x01" + std::to_string(size);
      CPPUNIT_ASSERT(Swap(key, value, 0).value().written);
      CPPUNIT_ASSERT(Get(key)->value == value);
    }
  }

  // Guards against listing keys outside the prefix, and against a range that ends too early.
  void ListReturnsOnlyKeysWithPrefix() {
    for (const char* key : {"/d/a", "/d/\xff\xff", "/d", "/e"}) Swap(key, "x", 0).value();
    const auto listed = RunNow(this->store->List("/d/", DeadlineIn(2000))).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("/d/a"), listed[0].key);
  }

  // Guards against claims that never expire.
  void LeasedKeyExpires() {
    CPPUNIT_ASSERT(Swap("/leased", "x", 0, 1).value().written);
    CPPUNIT_ASSERT(Get("/leased").has_value());
    const Deadline latest = Clock::now() + std::chrono::seconds(10);
    while (Get("/leased").has_value()) CPPUNIT_ASSERT(Clock::now() < latest);
  }

  // Guards against a lease call for each order.
  void LongLeaseIsSharedByKeys() {
    for (int i = 0; i < 5; ++i) Swap("/order/" + std::to_string(i), "x", 0, 86400).value();
    CPPUNIT_ASSERT_EQUAL(1, Stats()["/v3/lease/grant"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, this->store->calls());
  }

  // Guards against refusing all orders until a restart after the shared lease has been revoked.
  void RevokedLeaseIsReplaced() {
    Swap("/order/1", "x", 0, 86400).value();
    const Json range = Post("/v3/kv/range", {{"key", "L29yZGVyLzE="}});
    Post("/v3/lease/revoke", {{"ID", range["kvs"][0]["lease"]}});
    CPPUNIT_ASSERT(Swap("/order/2", "x", 0, 86400).value().written);
  }

  // Guards against reporting a write as not run when it took effect and its reply was lost.
  void WriteWithLostReplyMayHaveRun() {
    Control({{"drop_replies", 1}});
    const auto lost = Swap("/a", "1", 0);
    CPPUNIT_ASSERT(lost.error().verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Swap("/a", "1", 0).value().current->value);
  }

  // Guards against reporting "may have run" when no request was sent.
  void WriteToUnreachableStoreIsNotRun() {
    this->platform->Kill();
    CPPUNIT_ASSERT(Swap("/a", "1", 0).error().verdict == Verdict::kNotRun);
  }

  // Guards against reporting a write as not run after a 503, which an etcd member also sends for a
  // write that is still in progress.
  void WriteRefusedWith503MayHaveRun() {
    Control({{"outage", "refuse"}});
    CPPUNIT_ASSERT(Swap("/a", "1", 0).error().verdict == Verdict::kMayHaveRun);
    const auto read = RunNow(this->store->Get("/a", DeadlineIn(2000)));
    CPPUNIT_ASSERT(read.error().verdict == Verdict::kNotRun);
    Control({{"outage", "none"}});
    CPPUNIT_ASSERT(Swap("/a", "1", 0).value().written);
  }

  // Guards against an outage of the store client when one etcd member is unavailable.
  void UnreachableAddressIsReplacedByNext() {
    const auto stopped = StartPlatform();
    this->store = MakeStore({stopped->addresses()[0], this->platform->addresses()[0]});
    stopped->Kill();
    CPPUNIT_ASSERT(Swap("/a", "1", 0).value().written);
    const std::uint64_t calls = this->store->calls();
    CPPUNIT_ASSERT(Get("/a").has_value());
    CPPUNIT_ASSERT_EQUAL(calls + 1, this->store->calls());
  }

  // Guards against waiting for an unresponsive etcd member until the deadline of the call.
  void ReadUsesNextAddressAfterTimeout() {
    const auto responsive = StartPlatform();
    this->store = MakeStore({this->platform->addresses()[0], responsive->addresses()[0]});
    Control({{"outage", "silent"}});
    CPPUNIT_ASSERT(RunNow(this->store->Get("/a", DeadlineIn(5000))).has_value());
  }

  // Guards against a second write through another etcd member while the first is still in progress.
  void UnansweredWriteMayHaveRunAndIsSentOnce() {
    const auto responsive = StartPlatform();
    this->store = MakeStore({this->platform->addresses()[0], responsive->addresses()[0]});
    Control({{"outage", "silent"}});
    CPPUNIT_ASSERT(Swap("/a", "1", 0).error().verdict == Verdict::kMayHaveRun);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->store->calls());
  }

  // Guards against retrying a value that exceeds the size limit of the store.
  void OversizedValueIsNotRun() {
    const auto refused = Swap("/a", std::string((1 << 20) + 1, 'x'), 0);
    CPPUNIT_ASSERT(refused.error().code == ErrorCode::kInvalidArgument);
    CPPUNIT_ASSERT(refused.error().verdict == Verdict::kNotRun);
  }

  // Guards against a configuration service that cannot determine, over the real protocol, whether a
  // write with a lost reply took effect.
  void ConfigChangeWithLostReplyIsAccepted() {
    const auto state = std::make_shared<ConfigState>();
    ConfigService<EtcdStore> service(this->store, state, NodeId("n1"), Milliseconds(5000));
    const char* source = std::getenv("LIMPETFALL_SOURCE");
    std::ifstream file(std::string(source != nullptr ? source : ".") +
                       "/support/examples/map-folding.json");
    const std::string json{std::istreambuf_iterator<char>(file), {}};
    Control({{"drop_replies", 1}, {"drop_prefix", std::string(kManifestKey)}});
    const auto accepted = RunNow(service.Accept(json, 0, DeadlineIn(5000))).value();
    CPPUNIT_ASSERT(accepted == (AcceptOutcome{true, 1}));
    const auto other_state = std::make_shared<ConfigState>();
    ConfigService<EtcdStore> other(this->store, other_state, NodeId("n2"), Milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{1}, RunNow(other.Load(DeadlineIn(5000))).value());
    CPPUNIT_ASSERT(other_state->Current()->document == state->Current()->document);
  }

  // Guards against a stand-in without the lag that the VM list of the platform has.
  void VmListChangeIsVisibleAfterLag() {
    const Json vms = {{{"id", "v1"},
                       {"address", "127.0.0.1:9000"},
                       {"zone", "ennis"},
                       {"domain", "ennis-1"},
                       {"kind", "engine"},
                       {"state", "leaving"}},
                      {{"id", "s1"}, {"kind", "service"}}};
    Control({{"vms", vms}, {"vm_lag_ms", 1000}});
    const std::string address = this->platform->addresses()[1];
    CPPUNIT_ASSERT(RunNow(FetchVms(*this->client, address, DeadlineIn(2000))).value().empty());
    const Deadline latest = Clock::now() + std::chrono::seconds(10);
    std::vector<Vm> listed;
    while (listed.empty()) {
      CPPUNIT_ASSERT(Clock::now() < latest);
      listed = RunNow(FetchVms(*this->client, address, DeadlineIn(2000))).value();
    }
    const Vm expected{VmId("v1"), "127.0.0.1:9000", ZoneId("ennis"), DomainId("ennis-1"), true};
    CPPUNIT_ASSERT(listed == std::vector<Vm>{expected});
  }

  // Guards against treating a truncated or damaged list as the loss of VMs.
  void MalformedVmListIsAnError() {
    Json vm = {{"id", "v1"},    {"address", "a:1"}, {"zone", "z"},
               {"domain", "d"}, {"kind", "engine"}, {"state", "live"}};
    Json unknown = vm;
    unknown["state"] = "new";
    Json incomplete = vm;
    incomplete.erase("zone");
    for (const std::string& body :
         {std::string("{}"), Json{{"vms", {1}}}.dump(), Json{{"vms", {unknown}}}.dump(),
          Json{{"vms", {incomplete}}}.dump(), Json{{"vms", {vm, vm}}}.dump()}) {
      CPPUNIT_ASSERT(ParseVms(body).error().code == ErrorCode::kUpstreamProtocol);
    }
  }

 private:
  static std::unique_ptr<Process> StartPlatform() {
    return Process::StartListening("platform-stand-in",
                                   {"--listen", "127.0.0.1:0", "--vm-listen", "127.0.0.1:0"}, 2);
  }

  std::shared_ptr<EtcdStore> MakeStore(std::vector<std::string> addresses) {
    return EtcdStore::Create(this->client, {std::move(addresses), Milliseconds(500)}).value();
  }

  static Deadline DeadlineIn(int milliseconds) { return Clock::now() + Milliseconds(milliseconds); }

  template <typename T>
  T RunNow(boost::asio::awaitable<T> coroutine) {
    return testing::RunUntilDone(this->io, std::move(coroutine));
  }

  std::optional<StoredValue> Get(const std::string& key) {
    return RunNow(this->store->Get(key, DeadlineIn(2000))).value();
  }

  Result<SwapOutcome> Swap(const std::string& key, const std::string& value, std::int64_t expected,
                           std::int64_t lease = 0) {
    return RunNow(this->store->Swap(key, value, expected, lease, DeadlineIn(2000)));
  }

  Json Send(const std::string& method, const std::string& target, const std::string& body) {
    HttpRequest request{method, this->platform->addresses()[0], target, {}, body};
    const auto response = RunNow(this->client->Fetch(std::move(request), DeadlineIn(5000))).value();
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    return Json::parse(response.body);
  }

  Json Post(const std::string& target, const Json& body) {
    return Send("POST", target, body.dump());
  }
  void Control(const Json& body) { Post("/control", body); }
  Json Stats() { return Send("GET", "/stats", ""); }

  boost::asio::io_context io;
  std::unique_ptr<Process> platform;
  std::shared_ptr<HttpClient> client;
  std::shared_ptr<EtcdStore> store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdStoreIntegrationTest);

}  // namespace
}  // namespace limpetfall
