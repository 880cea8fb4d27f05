#include "platform/node-settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace limpetfall {
namespace {

class NodeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsTest);
  CPPUNIT_TEST(ValidSettingsAreParsed);
  CPPUNIT_TEST(AllInvalidSettingsAreReportedWithTheirLines);
  CPPUNIT_TEST(SyntaxErrorReportsTheLine);
  CPPUNIT_TEST(TemplateContainsEverySetting);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against settings that are parsed but not passed to the gateway options.
  void ValidSettingsAreParsed() {
    const auto settings = platform::ParseNodeSettings(ValidSettings(), "node.toml");
    CPPUNIT_ASSERT(settings.has_value());
    const GatewayOptions& gateway = settings.value().gateway;
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.4:7340"), gateway.peer_address);
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.5:7340"), gateway.peer_seeds.at(0));
    CPPUNIT_ASSERT(gateway.stop_grace == Milliseconds(8000));
    CPPUNIT_ASSERT(gateway.relay.key_proof_lifetime == Milliseconds(4000));
    CPPUNIT_ASSERT(gateway.planner.stall_timeout > Milliseconds(5000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, gateway.capacity, 1e-9);
  }

  // Guards against error reports that stop at the first error, so that errors are fixed one by one.
  void AllInvalidSettingsAreReportedWithTheirLines() {
    std::string text = ValidSettings();
    text.replace(text.find("retry_share = 0.2"), 17, "retry_share = -1 ");
    text.replace(text.find("zone = \"z1\""), 11, "zone = 7    ");
    const auto settings = platform::ParseNodeSettings(text, "node.toml");
    CPPUNIT_ASSERT(!settings);
    const std::string& message = settings.error().message;
    CPPUNIT_ASSERT(message.find("node.toml:3: node.zone: expected a non-empty string") !=
                   std::string::npos);
    CPPUNIT_ASSERT(message.find("limits.retry_share: expected a number of 0 or more") !=
                   std::string::npos);
  }

  // Guards against errors without a line number when a file is truncated.
  void SyntaxErrorReportsTheLine() {
    const auto settings = platform::ParseNodeSettings("[node]\nid = \"n", "node.toml");
    CPPUNIT_ASSERT(settings.error().message.starts_with("node.toml:2: "));
  }

  // Guards against a template that lacks a setting which the parser requires.
  void TemplateContainsEverySetting() {
    const char* folder = std::getenv("LIMPETFALL_SOURCE");
    std::ifstream file(std::string(folder == nullptr ? "." : folder) + "/deploy/settings.toml");
    std::stringstream text;
    text << file.rdbuf();
    for (const char* name : {"id",
                             "zone",
                             "ip",
                             "caller_address",
                             "peer_port",
                             "metrics_port",
                             "seeds",
                             "first_start",
                             "ready_address",
                             "directory_address",
                             "store_address",
                             "stop_grace_s",
                             "strict_keys",
                             "key_revocation_ms",
                             "retry_share",
                             "retry_slack",
                             "retry_window_s",
                             "group_stall_ms",
                             "cpu_share",
                             "cores"}) {
      CPPUNIT_ASSERT_MESSAGE(
          name, text.str().find(std::string("\n") + name + " = ") != std::string::npos);
    }
  }

 private:
  static std::string ValidSettings() {
    return R"([node]
id = "n1"
zone = "z1"
ip = "10.1.0.4"
caller_address = "10.1.0.4:8227"
peer_port = 7340
metrics_port = 7355
seeds = ["10.1.0.5:8229"]
first_start = true
[platform]
ready_address = "10.1.0.4:8220"
directory_address = "10.1.0.4:8224"
store_address = "10.200.1.7:8223"
[limits]
stop_grace_s = 8
strict_keys = true
key_revocation_ms = 5000
retry_share = 0.2
retry_slack = 103
retry_window_s = 10
group_stall_ms = 5000
cpu_share = 0.25
cores = 1
)";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);

}  // namespace
}  // namespace limpetfall
