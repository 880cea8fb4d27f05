#include "core/config-document.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace limpetfall {
namespace {

using Json = nlohmann::json;

std::string ReadExample(const std::string& name) {
  const char* source = std::getenv("LIMPETFALL_SOURCE");
  std::ifstream file(std::string(source != nullptr ? source : ".") + "/support/examples/" + name);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

Json Example() { return Json::parse(ReadExample("map-folding.json")); }

class ConfigDocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigDocumentTest);
  CPPUNIT_TEST(ExamplesAreValid);
  CPPUNIT_TEST(SerializedDocumentRoundTrips);
  CPPUNIT_TEST(EachErrorIsReportedWithItsPointer);
  CPPUNIT_TEST(AllErrorsAreReportedTogether);
  CPPUNIT_TEST(DuplicateMemberIsAnError);
  CPPUNIT_TEST(InvalidJsonIsRejected);
  CPPUNIT_TEST(BranchChangeAltersOnlyItsSection);
  CPPUNIT_TEST(JoinedSectionsEqualTheDocument);
  CPPUNIT_TEST(CorruptOrMissingSectionIsRejected);
  CPPUNIT_TEST(ManifestRoundTrips);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against shipping an example document that nodes reject.
  void ExamplesAreValid() {
    for (const char* name : {"map-folding.json", "mirrors.json"}) {
      for (const ValidationError& error : ValidateDocument(ReadExample(name)).errors) {
        CPPUNIT_FAIL(std::string(name) + error.pointer + ": " + error.problem);
      }
    }
  }

  // Guards against a member that serialization or parsing omits.
  void SerializedDocumentRoundTrips() {
    const auto document = ParseDocument(ReadExample("mirrors.json")).value();
    const std::string canonical = SerializeDocument(document);
    CPPUNIT_ASSERT(ParseDocument(canonical).value() == document);
    CPPUNIT_ASSERT(Json::parse(canonical) == Json::parse(ReadExample("mirrors.json")));
  }

  // Guards against accepting an invalid document, and against a wrong JSON pointer in the error.
  void EachErrorIsReportedWithItsPointer() {
    const auto expect = [](const std::string& at, const Json& value, const std::string& pointer) {
      Json json = Example();
      json[Json::json_pointer(at)] = value;
      const auto errors = ValidateDocument(json.dump()).errors;
      CPPUNIT_ASSERT_MESSAGE(at + " must give one error", errors.size() == 1);
      CPPUNIT_ASSERT_EQUAL(pointer, errors[0].pointer);
    };
    expect("/extra", 1, "/extra");
    expect("/models/0/a~1b", 1, "/models/0/a~1b");
    expect("/models/0/groups", "many", "/models/0/groups");
    expect("/models/0/groups", 9.5, "/models/0/groups");
    expect("/models/0/vms_per_group", 0, "/models/0/vms_per_group");
    expect("/models/0/vms_per_group", 18446744073709551615U, "/models/0/vms_per_group");
    expect("/models/0/min_groups", 10, "/models/0/min_groups");
    expect("/models/0/zones/0", "cork", "/models/0/zones/0");
    expect("/models/1/versions", {"2026-01", "2026-01"}, "/models/1/versions/1");
    expect("/teams/1/weight", -1, "/teams/1/weight");
    expect("/teams/1/priority", "urgent", "/teams/1/priority");
    expect("/teams/9/name", "councils", "/teams/9/name");
    expect("/branches/0/models/1/model", "atlas", "/branches/0/models/1/model");
    expect("/branches/0/models/1/version", "9", "/branches/0/models/1/version");
    expect("/branches/1/teams/0", "rowers", "/branches/1/teams/0");
    expect("/branches/2/exceptions/0/team", "councils", "/branches/2/exceptions/0/team");
    expect("/models/0/zones", {"ennis"}, "/branches/1/models/0/model");
    expect("/services/0/upstreams/1/address", "order-book:80", "/services/0/upstreams/1/address");
    expect("/services/0/upstreams/1/zone", "cork", "/services/0/upstreams/1/zone");
    expect("/services/0/upstreams", Json::array(), "/services/0/upstreams");
    expect("/services/0/routes/1/method", "GET", "/services/0/routes/1");
    expect("/services/0/routes/2/idempotent", nullptr, "/services/0/routes/2/idempotent");
    expect("/policy/retry_budget", 1.5, "/policy/retry_budget");
    expect("/policy", Json::array(), "/policy");
  }

  // Guards against reporting only the first error, so that operators must submit a document once
  // for each error.
  void AllErrorsAreReportedTogether() {
    Json json = Example();
    json.erase("teams");
    json["models"][0]["groups"] = -1;
    json["policy"]["colour"] = "red";
    const auto parsed = ParseDocument(json.dump());
    CPPUNIT_ASSERT(parsed.error().code == ErrorCode::kInvalidArgument);
    for (const char* line : {"/teams: is missing", "/models/0/groups: must be between",
                             "/policy/colour: is not a known member", "unknown team councils"}) {
      CPPUNIT_ASSERT(parsed.error().message.find(line) != std::string::npos);
    }
  }

  // Guards against parsers that resolve a duplicate member to different values.
  void DuplicateMemberIsAnError() {
    std::string text = Example().dump();
    const std::string member = "\"groups\":6";
    text.insert(text.find(member), "\"groups\":1,");
    const auto errors = ValidateDocument(text).errors;
    CPPUNIT_ASSERT(errors == std::vector<ValidationError>({{"/models/1/groups", "occurs twice"}}));
  }

  // Guards against a crash on invalid or deeply nested input.
  void InvalidJsonIsRejected() {
    for (const char* text : {"", "{", "[]", "\xff", "{\"models\":1e999}"}) {
      CPPUNIT_ASSERT(!ParseDocument(text).has_value());
    }
    const std::string deep(400000, '[');
    CPPUNIT_ASSERT(!ParseDocument(deep).has_value());
    CPPUNIT_ASSERT(!ParseDocument(deep + std::string(deep.size(), ']')).has_value());
  }

  // Guards against nodes fetching the whole document after a change of one branch.
  void BranchChangeAltersOnlyItsSection() {
    auto document = ParseDocument(Example().dump()).value();
    const auto before = SplitIntoSections(document);
    document.branches[1].zones.clear();
    const auto after = SplitIntoSections(document);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, after.sections.size());
    for (std::size_t i = 0; i < after.sections.size(); ++i) {
      const bool changed = before.sections[i].digest != after.sections[i].digest;
      CPPUNIT_ASSERT_EQUAL(after.sections[i].name == "branch/limerick", changed);
    }
  }

  // Guards against a node running a document that differs from the accepted one.
  void JoinedSectionsEqualTheDocument() {
    const auto document = ParseDocument(Example().dump()).value();
    const auto split = SplitIntoSections(document);
    CPPUNIT_ASSERT(JoinSections({1, split.sections, "w", {}}, split.bodies).value() == document);
  }

  // Guards against adopting a section that was corrupted or replaced in transit.
  void CorruptOrMissingSectionIsRejected() {
    auto split = SplitIntoSections(ParseDocument(Example().dump()).value());
    const Manifest manifest{1, split.sections, "w", {}};
    split.bodies[split.sections[0].digest] = "[]";
    CPPUNIT_ASSERT(!JoinSections(manifest, split.bodies).has_value());
    split.bodies.erase(split.sections[0].digest);
    CPPUNIT_ASSERT(!JoinSections(manifest, split.bodies).has_value());
  }

  // Guards against losing the writer identifiers that resolve a write whose reply was lost.
  void ManifestRoundTrips() {
    const Manifest manifest{7, {{"models", SectionDigest("[]")}}, "node-1/4", {"node-2/9"}};
    CPPUNIT_ASSERT(ParseManifest(SerializeManifest(manifest)).value() == manifest);
    CPPUNIT_ASSERT(!ParseManifest("{\"version\":7}").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigDocumentTest);

}  // namespace
}  // namespace limpetfall
