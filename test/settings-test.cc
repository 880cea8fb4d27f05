#include "base/settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

const std::string kValidSettings = R"([node]
id = "node-1"
zone = "ennis"
caller_address = "127.0.0.1:8001"
admin_address = "127.0.0.1:8002"
metrics_address = "0.0.0.0:8003"
node_address = "127.0.0.1:8004"
seeds = ["127.0.0.2:8004"]

[platform]
store = ["127.0.0.9:2379"]
vm_list = "127.0.0.9:2380"

[timing]
probe_interval_ms = 200
probe_timeout_ms = 100
)";

std::string FaultsOf(const std::string& text) {
  const auto settings = ParseSettings(text, "t.toml");
  return settings.has_value() ? "" : settings.error().message;
}

std::string ReplaceInValidSettings(const std::string& from, const std::string& to) {
  std::string text = kValidSettings;
  return text.replace(text.find(from), from.size(), to);
}

void AssertFault(const std::string& expected, const std::string& text) {
  const std::string faults = FaultsOf(text);
  CPPUNIT_ASSERT_MESSAGE("got: " + faults,
                         ('\n' + faults).find('\n' + expected) != std::string::npos);
}

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ValidFileIsRead);
  CPPUNIT_TEST(EveryFaultIsListed);
  CPPUNIT_TEST(WrongTypesAreRejected);
  CPPUNIT_TEST(InvalidAddressesAreRejected);
  CPPUNIT_TEST(InconsistentTimingsAreRejected);
  CPPUNIT_TEST(UnknownRoutingPolicyIsRejected);
  CPPUNIT_TEST(SyntaxErrorReportsLine);
  CPPUNIT_TEST(MissingFileYieldsNotFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against values stored in the wrong field.
  void ValidFileIsRead() {
    const auto settings = ParseSettings(kValidSettings, "t.toml");
    CPPUNIT_ASSERT_EQUAL(std::string(), FaultsOf(kValidSettings));
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), settings.value().node.value);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8004"), settings.value().node_address);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), settings.value().seeds.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(100), settings.value().probe_timeout_ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1000), settings.value().suspicion_ms);
  }

  // Guards against validation that stops at the first fault, and against ignored misspelt keys.
  void EveryFaultIsListed() {
    const std::string text =
        ReplaceInValidSettings("probe_timeout_ms = 100", "probe_timeuot_ms = 100\n[timings]") +
        "[node2]\n";
    CPPUNIT_ASSERT_EQUAL(
        std::string("t.toml:17: timing.probe_timeuot_ms: unknown key"),
        FaultsOf(ReplaceInValidSettings("probe_timeout_ms = 100",
                                        "probe_timeout_ms = 100\nprobe_timeuot_ms = 1")));
    AssertFault("t.toml:16: timing.probe_timeuot_ms: unknown key", text);
    AssertFault("t.toml:17: timings: unknown section", text);
    AssertFault("t.toml:18: node2: unknown section", text);
    AssertFault("t.toml:1: platform.vm_list: missing", "[node]\nid = \"n\"\n");
    AssertFault("t.toml:1: node.zone: missing", "[node]\nid = \"n\"\n");
  }

  // Guards against silently using the default for a misspelt policy.
  void UnknownRoutingPolicyIsRejected() {
    AssertFault("t.toml:18: routing.policy: must be one of prefix-and-load, round-robin",
                kValidSettings + "[routing]\npolicy = \"random\"\n");
    const auto settings =
        ParseSettings(kValidSettings + "[routing]\npolicy = \"round-robin\"\n", "t.toml");
    CPPUNIT_ASSERT(settings.value().routing_policy == RoutingPolicy::kRoundRobin);
  }

  // Guards against silent conversion of a quoted number or a float.
  void WrongTypesAreRejected() {
    AssertFault("t.toml:15: timing.probe_interval_ms: must be an integer",
                ReplaceInValidSettings("probe_interval_ms = 200", "probe_interval_ms = \"200\""));
    AssertFault("t.toml:15: timing.probe_interval_ms: must be an integer",
                ReplaceInValidSettings("probe_interval_ms = 200", "probe_interval_ms = 200.5"));
    AssertFault("t.toml:15: timing.probe_interval_ms: 0 is not between",
                ReplaceInValidSettings("probe_interval_ms = 200", "probe_interval_ms = 0"));
    AssertFault("t.toml:2: node.id: must be a string", ReplaceInValidSettings("\"node-1\"", "7"));
    AssertFault("t.toml:8: node.seeds: must be a list",
                ReplaceInValidSettings("[\"127.0.0.2:8004\"]", "\"x\""));
  }

  void InvalidAddressesAreRejected() {
    AssertFault("t.toml:4: node.caller_address: \"localhost:8001\": not an IPv4",
                ReplaceInValidSettings("127.0.0.1:8001", "localhost:8001"));
    AssertFault("t.toml:4: node.caller_address: \"127.0.0.1:80010\": port",
                ReplaceInValidSettings("127.0.0.1:8001", "127.0.0.1:80010"));
    AssertFault("t.toml:8: node.seeds: \"127.0.0.2\": not of the form",
                ReplaceInValidSettings("127.0.0.2:8004", "127.0.0.2"));
    AssertFault("t.toml:5: node.admin_address: same address as node.caller_address",
                ReplaceInValidSettings("127.0.0.1:8002", "127.0.0.1:8001"));
    AssertFault("t.toml:7: node.node_address: must be an address that others",
                ReplaceInValidSettings("127.0.0.1:8004", "0.0.0.0:8004"));
  }

  // Guards against timings that break the failure detector or the serving gate.
  void InconsistentTimingsAreRejected() {
    AssertFault("t.toml:16: timing.probe_timeout_ms: must not exceed probe_interval_ms",
                ReplaceInValidSettings("probe_timeout_ms = 100", "probe_timeout_ms = 201"));
    AssertFault("t.toml:17: timing.summary_lifetime_ms: must be at least suspicion_ms plus twice",
                kValidSettings + "summary_lifetime_ms = 1399\n");
    CPPUNIT_ASSERT_EQUAL(std::string(), FaultsOf(kValidSettings + "summary_lifetime_ms = 1400\n"));
    AssertFault("t.toml:17: timing.config_poll_ms: must be less",
                kValidSettings + "config_poll_ms = 5000\n");
  }

  void SyntaxErrorReportsLine() { AssertFault("t.toml:2: syntax: ", "[node]\nid = = 3\n"); }

  void MissingFileYieldsNotFound() {
    const auto settings = LoadSettings("test/no-such-file.toml");
    CPPUNIT_ASSERT(settings.error().code == ErrorCode::kNotFound);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace limpetfall
