#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <random>

#include "platform/wire.h"

namespace limpetfall {
namespace {

const std::string kRunnerEntry =
    R"({"service":"llm","addr":"10.9.0.1:80","zone":"z1","version":"v1",
  "slots":17,"state":"ready","seq":99,"born":1700,"domain":"rack-1","staged":["folds"],
  "group":{"name":"g1","epoch":12,"rank":1,"state":"ready"}})";

const std::string kConfigDocument = R"({"version":9,
  "routes":[
    {"name":"r1","host":"h","prefix":"/s/","kind":"stream","timeoutMs":8000,"goalMs":400,"priority":1,
     "split":[{"service":"llm","weight":90},{"service":"orders","weight":10}],"attempts":2,
     "public":false,"sticky":true,"resumable":true,"gapTargetMs":300},
    {"name":"r2","host":"h","prefix":"/l/","kind":"idempotent","timeoutMs":800,"goalMs":300,
     "priority":2,"service":"orders","attempts":2,"public":true}],
  "services":[
    {"name":"llm","healthPath":"/healthz","engine":{"slots":17,"stride":5,"step_ms":7.8,
     "read_per_s":45900.0,"loadsPerS":5.0,"loads_at_once":7,
     "models":[{"name":"folds","size":4,"share":0.5,"pace":1.0,"loadS":16.0,"warmS":1.6}]}},
    {"name":"orders","healthPath":"/healthz"}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
            "idleTimeoutMs":15000},
  "tenants":[{"name":"clubs","apiKeys":["k1"],"priority":1},{"name":"councils","apiKeys":["k2"]}]})";

class PlatformWireTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformWireTest);
  CPPUNIT_TEST(RunnerEntryDecodesAllFields);
  CPPUNIT_TEST(InvalidRunnerEntryIsAnError);
  CPPUNIT_TEST(OddFieldOfRunnerEntryIsAnError);
  CPPUNIT_TEST(EntryWithoutStartIsAnError);
  CPPUNIT_TEST(DeeplyNestedEntryIsAnError);
  CPPUNIT_TEST(InvalidEntryDoesNotAffectOtherEntries);
  CPPUNIT_TEST(ConfigurationDecodesAllFields);
  CPPUNIT_TEST(ConfigurationWithoutSlotsOrMembersIsAnError);
  CPPUNIT_TEST(EncodedOrderContainsExpectedOrderCount);
  CPPUNIT_TEST(DecodingDamagedTextDoesNotCrash);
  CPPUNIT_TEST(LastPromptPartIsNotShared);
  CPPUNIT_TEST(UnreadableTokenCountsStateNoLength);
  CPPUNIT_TEST(EvacuationKeyNamesZoneWhateverItsBody);
  CPPUNIT_TEST(ColdPhaseOfRunnerIsDecoded);
  CPPUNIT_TEST(ColdPhaseOfServiceIsDecoded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LastPromptPartIsNotShared() {
    const auto parts = [](const std::string& value) {
      return platform::SharedPromptParts({{"x-prefix-hash", value}});
    };
    using Ids = std::vector<std::string>;
    CPPUNIT_ASSERT(parts("5c1e07a2:800,91bd3f06:410, e4402b7d:250") ==
                   (Ids{"5c1e07a2", "91bd3f06"}));
    CPPUNIT_ASSERT(parts("5c1e07a2:800").empty());
    CPPUNIT_ASSERT(parts("").empty());
    CPPUNIT_ASSERT(parts("a,,:3,b:x:y,c") == (Ids{"a", "b"}));
    CPPUNIT_ASSERT(platform::SharedPromptParts({}).empty());
  }

  // Guards against a length that is taken from the prompt or from damaged text.
  void UnreadableTokenCountsStateNoLength() {
    const auto tokens = [](const std::string& value) {
      return platform::StatedTokens({{"x-token-counts", value}}).max_answer;
    };
    CPPUNIT_ASSERT_EQUAL(std::int64_t{435}, tokens("1420,435"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{80}, tokens("1460, 80"));
    for (const char* unreadable :
         {"", "1420", "1420,", "1420,x", "1420,4x", "1420,-3", "1,99999999999999999999", "1,2,3"}) {
      CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, tokens(unreadable));
    }
    CPPUNIT_ASSERT(platform::StatedTokens({}) == TokenCounts());
    CPPUNIT_ASSERT(platform::StatedTokens({{"x-token-counts", "1460, 80"}}) ==
                   (TokenCounts{1460, 80}));
  }

  // Guards against an evacuation that is not obeyed because its body cannot be read (EVAC).
  void EvacuationKeyNamesZoneWhateverItsBody() {
    platform::WireAdapter adapter;
    for (const char* body : {"{}", "", "{\"a\":", "[[[["}) {
      const auto change = adapter.Decode({"op/evacuate/ennis", body, {1, 7}, 7}).value();
      CPPUNIT_ASSERT((std::get<ZoneEvacuation>(change) == ZoneEvacuation{ZoneId("ennis"), true}));
    }
    const auto end = adapter.Decode({"op/evacuate/ennis", std::nullopt, {1, 8}, 0}).value();
    CPPUNIT_ASSERT((std::get<ZoneEvacuation>(end) == ZoneEvacuation{ZoneId("ennis"), false}));
  }

  // Guards against a runner that counts as warm, or as cold for ever, because of an odd value.
  void ColdPhaseOfRunnerIsDecoded() {
    const TimePoint now(std::chrono::seconds(100));
    const auto cold_until = [now](const nlohmann::json& left) {
      nlohmann::json entry = nlohmann::json::parse(kRunnerEntry);
      entry["coldLeftMs"] = left;
      return platform::DecodeRunner("i-1", entry.dump(), {1, 1}, now).value().cold_until;
    };
    CPPUNIT_ASSERT(cold_until(2500) == now + Milliseconds(2500));
    CPPUNIT_ASSERT(cold_until(0) == now);
    CPPUNIT_ASSERT(cold_until(1e300) == now + Milliseconds(600'000));
    for (const nlohmann::json& odd : {nlohmann::json(-1), nlohmann::json("3"), nlohmann::json()})
      CPPUNIT_ASSERT(!cold_until(odd).has_value());
  }

  // Guards against an upstream that gets requests while cold because its rate cannot be read.
  void ColdPhaseOfServiceIsDecoded() {
    const auto cold = [](const nlohmann::json& seconds, const nlohmann::json& rate) {
      nlohmann::json document = nlohmann::json::parse(kConfigDocument);
      nlohmann::json& service = document["services"][0];
      service["coldS"] = seconds;
      service["coldPerS"] = rate;
      const GatewayConfig config = platform::DecodeConfig(document.dump()).value();
      return config.services.at(ServiceName(service["name"].get<std::string>())).cold;
    };
    CPPUNIT_ASSERT((cold(3.0, 17.0) == ColdProfile{Milliseconds(3000), 17}));
    CPPUNIT_ASSERT(!cold(0, 0).has_value());
    CPPUNIT_ASSERT((cold(3, -1) == ColdProfile{Milliseconds(3000), 0}));
    CPPUNIT_ASSERT((cold(3, "x") == ColdProfile{Milliseconds(3000), 0}));
    CPPUNIT_ASSERT((cold(1e300, 2) == ColdProfile{Milliseconds(600'000), 2}));
  }

  // Guards against a field that is decoded from the wrong key of an entry.
  void RunnerEntryDecodesAllFields() {
    const Runner runner = platform::DecodeRunner("i-1", kRunnerEntry, {1, 17}).value();
    CPPUNIT_ASSERT(runner.id == VmId("i-1"));
    CPPUNIT_ASSERT_EQUAL(std::string("10.9.0.1:80"), runner.address);
    CPPUNIT_ASSERT(runner.domain == DomainId("rack-1"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1700}, runner.started_ms);
    CPPUNIT_ASSERT(runner.staged == std::vector<ModelName>{ModelName("folds")});
    CPPUNIT_ASSERT(
        (*runner.membership == RunnerMembership{GroupId("g1"), 12, 1, MembershipStage::kReady}));
    CPPUNIT_ASSERT(!runner.leaving);
  }

  // Guards against dispatching to an entry with an unknown state or of another writer.
  void InvalidRunnerEntryIsAnError() {
    for (const char* text : {R"({"service":"s","addr":"a","zone":"z","state":"odd","slots":1})", "",
                             "[]", "\xff\xfe", R"({"service":7})", R"({"state":"ready"})"}) {
      CPPUNIT_ASSERT(!platform::DecodeRunner("i-1", text, {1, 1}));
    }
  }

  // Guards against numbers that are silently taken for others, and addresses that no one listens
  // on.
  void OddFieldOfRunnerEntryIsAnError() {
    const auto entry = nlohmann::json::parse(kRunnerEntry);
    CPPUNIT_ASSERT(platform::DecodeRunner("i-1", entry.dump(), {1, 1}).has_value());
    const std::vector<std::pair<std::string, std::string>> odd{{"/addr", R"("10.9.0.1:70000")"},
                                                               {"/addr", R"("10.9.0.1:0")"},
                                                               {"/addr", R"("10.9.0.1:-80")"},
                                                               {"/addr", R"("10.9.0.1")"},
                                                               {"/addr", R"("a\r\nb:80")"},
                                                               {"/addr", "80"},
                                                               {"/slots", "1.5"},
                                                               {"/slots", "-1"},
                                                               {"/slots", "4294967297"},
                                                               {"/slots", "99999999999999999999"},
                                                               {"/slots", "\"1\""},
                                                               {"/born", "1.5"},
                                                               {"/born", "-1"},
                                                               {"/born", "null"},
                                                               {"/group", "7"},
                                                               {"/group", "[1]"},
                                                               {"/group/epoch", "-1"},
                                                               {"/group/epoch", "1.5"},
                                                               {"/group/rank", "-1"},
                                                               {"/group/rank", "4294967296"}};
    for (const auto& [field, value] : odd) {
      auto changed = entry;
      changed[nlohmann::json::json_pointer(field)] = nlohmann::json::parse(value);
      CPPUNIT_ASSERT_MESSAGE(std::string(field).append(" = ").append(value),
                             !platform::DecodeRunner("i-1", changed.dump(), {1, 1}));
    }
    for (const char* id : {"", "a b", "a\r\nX-Tenant: t", "\xc3\xa9"})
      CPPUNIT_ASSERT(!platform::DecodeRunner(id, entry.dump(), {1, 1}));
    const std::string overflow = R"({"service":"s","addr":"10.9.0.1:80","born":1,"slots":1e999})";
    CPPUNIT_ASSERT(!platform::DecodeRunner("i-1", overflow, {1, 1}));
  }

  // Guards against an entry without a process start that is taken for a restart, so that the
  // members of an open group join another one (review/1, TWO).
  void EntryWithoutStartIsAnError() {
    auto entry = nlohmann::json::parse(kRunnerEntry);
    entry.erase("born");
    CPPUNIT_ASSERT(!platform::DecodeRunner("i-1", entry.dump(), {1, 1}));
  }

  // Guards against an entry that takes many times its length in memory, and against a log line of
  // its length.
  void DeeplyNestedEntryIsAnError() {
    constexpr std::size_t kDepth = 1'000'000;
    for (const std::string& open : {std::string("["), std::string(R"({"a":)")}) {
      std::string text;
      for (std::size_t i = 0; i < kDepth / open.size(); ++i) text += open;
      const auto decoded = platform::DecodeRunner("i-1", text, {1, 1});
      CPPUNIT_ASSERT(!decoded && decoded.error().message.size() < 300);
    }
    const std::string long_text = R"({"service":")" + std::string(kDepth, 'x') + "\x01";
    CPPUNIT_ASSERT(platform::DecodeRunner("i-1", long_text, {1, 1}).error().message.size() < 300);
  }

  // Guards against one invalid entry that makes all runners unavailable.
  void InvalidEntryDoesNotAffectOtherEntries() {
    platform::WireAdapter adapter;
    CPPUNIT_ASSERT(!adapter.Decode({"servers/i-1", "{", {1, 1}, 1}));
    CPPUNIT_ASSERT(std::holds_alternative<Runner>(
        adapter.Decode({"servers/i-2", kRunnerEntry, {1, 2}, 2}).value()));
    CPPUNIT_ASSERT(std::holds_alternative<RunnerRemoved>(
        adapter.Decode({"servers/i-2", std::nullopt, {1, 3}, 0}).value()));
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(
        adapter.Decode({"other/key", "x", {1, 4}, 4}).value()));
  }

  // Guards against requests that are repeated or resumed although the kind of their route forbids
  // it.
  // Guards against a division by zero, and a group without members, in the planning of a leader.
  void ConfigurationWithoutSlotsOrMembersIsAnError() {
    const std::vector<std::pair<std::string, std::string>> fields = {{R"("slots":17)", "slots"},
                                                                     {R"("size":4)", "size"}};
    for (const auto& [valid, name] : fields) {
      for (const char* value : {"0", "-1", "0.4", "null"}) {
        std::string document = kConfigDocument;
        document.replace(document.find(valid), valid.size(), "\"" + name + "\":" + value);
        CPPUNIT_ASSERT_MESSAGE(document, !platform::DecodeConfig(document));
      }
    }
  }

  void ConfigurationDecodesAllFields() {
    const GatewayConfig config = platform::DecodeConfig(kConfigDocument).value();
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{9}, config.version);
    const Route& stream = config.routes.at(0);
    CPPUNIT_ASSERT(stream.stream && stream.resumable && stream.requires_key);
    CPPUNIT_ASSERT(stream.retry_policy == RetryPolicy::kAtMostOnce);
    CPPUNIT_ASSERT(stream.timeout == Milliseconds(8000));
    CPPUNIT_ASSERT(stream.objective == Milliseconds(400));
    CPPUNIT_ASSERT(stream.event_gap_objective == Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stream.services.size());
    const Route& lookup = config.routes.at(1);
    CPPUNIT_ASSERT(lookup.retry_policy == RetryPolicy::kIdempotent && !lookup.requires_key);
    const EngineProfile& engine = *config.services.at(ServiceName("llm")).engine;
    CPPUNIT_ASSERT_EQUAL(17, engine.slots);
    CPPUNIT_ASSERT(engine.models.at(0).load_time == Milliseconds(16000));
    CPPUNIT_ASSERT(!config.services.at(ServiceName("orders")).engine);
    CPPUNIT_ASSERT(config.keys.at("k2").team == TeamName("councils"));
    CPPUNIT_ASSERT_EQUAL(1, *config.keys.at("k1").priority);
    CPPUNIT_ASSERT(config.limits.idle_timeout == Milliseconds(15000));
  }

  // Guards against a delayed order that takes effect after newer ones: the runner compares the
  // expected count of accepted orders.
  void EncodedOrderContainsExpectedOrderCount() {
    RunnerOrder order;
    order.kind = RunnerOrderKind::kJoin;
    order.group.group = GroupId("g1");
    order.group.epoch = 4;
    order.group.model = ModelName("folds");
    order.group.members = {VmId("a"), VmId("b")};
    const auto body = nlohmann::json::parse(platform::EncodeOrder(order, 3));
    CPPUNIT_ASSERT(
        body ==
        nlohmann::json::parse(
            R"({"op":"join","group":"g1","epoch":4,"model":"folds","members":["a","b"],"expected":3})"));
    order.kind = RunnerOrderKind::kStage;
    CPPUNIT_ASSERT(nlohmann::json::parse(platform::EncodeOrder(order, 3)) ==
                   nlohmann::json::parse(R"({"op":"stage","model":"folds","expected":3})"));
  }

  // Guards against a crash on malformed entries and configurations (random damage, fixed seeds).
  void DecodingDamagedTextDoesNotCrash() {
    for (unsigned seed = 1; seed <= 3000; ++seed) {
      std::mt19937 random(seed);
      std::string text = seed % 2 == 0 ? kRunnerEntry : kConfigDocument;
      for (unsigned i = 0; i < 1 + seed % 5; ++i) {
        const std::size_t at = random() % text.size();
        if (random() % 2 == 0) {
          text[at] = static_cast<char>(random());
        } else {
          text.erase(at, 1 + random() % 10);
        }
        if (text.empty()) break;
      }
      [[maybe_unused]] const auto runner = platform::DecodeRunner("i-1", text, {1, 1});
      [[maybe_unused]] const auto config = platform::DecodeConfig(text);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformWireTest);

}  // namespace
}  // namespace limpetfall
