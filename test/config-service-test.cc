#include "daemon/config-service.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "harness/fake-store.h"
#include "harness/run.h"

namespace limpetfall {
namespace {

using Json = nlohmann::json;
using testing::Fault;
using Service = ConfigService<testing::FakeStore>;

Json Example() {
  const char* source = std::getenv("LIMPETFALL_SOURCE");
  std::ifstream file(std::string(source != nullptr ? source : ".") +
                     "/support/examples/mirrors.json");
  return Json::parse(file);
}

// The example with a different limit for one team, which changes one section.
std::string Changed(int limit) {
  Json json = Example();
  json["teams"][0]["max_queued_per_node"] = limit;
  return json.dump();
}

class ConfigServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigServiceTest);
  CPPUNIT_TEST(AcceptedDocumentIsLoadedByAnotherNode);
  CPPUNIT_TEST(InvalidDocumentWritesNothing);
  CPPUNIT_TEST(ChangeWithOldExpectedVersionReturnsTheCurrentVersion);
  CPPUNIT_TEST(OnlyOneOfTwoConcurrentChangesIsAccepted);
  CPPUNIT_TEST(LostReplyIsResolvedByTheStoredWriter);
  CPPUNIT_TEST(LostReplyIsResolvedAfterFurtherChanges);
  CPPUNIT_TEST(DelayedWriteTakesEffectOnce);
  CPPUNIT_TEST(UnknownOutcomeIsReported);
  CPPUNIT_TEST(RefusedWriteIsReportedAsNotRun);
  CPPUNIT_TEST(StaleReadIsIgnored);
  CPPUNIT_TEST(StaleReadDoesNotFailAChange);
  CPPUNIT_TEST(CachedSectionsAreNotReadAgain);
  CPPUNIT_TEST(OversizedSectionIsRefusedBeforeAnyWrite);
  CPPUNIT_TEST(RemovedSectionsExpireUnlessAddedAgain);
  CPPUNIT_TEST(AbsentSectionLeavesTheDocumentUnchanged);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an accepted document that other nodes do not load.
  void AcceptedDocumentIsLoadedByAnotherNode() {
    CPPUNIT_ASSERT(Accept(Changed(1), 0) == (AcceptOutcome{true, 1}));
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{1}, Load(this->other));
    CPPUNIT_ASSERT(this->other_state->Current()->document == this->state->Current()->document);
    CPPUNIT_ASSERT(this->other_state->confirmed_until() > Clock::now());
  }

  // Guards against an invalid document that replaces a valid one.
  void InvalidDocumentWritesNothing() {
    const auto outcome = Try("{}", 0);
    CPPUNIT_ASSERT(outcome.error().code == ErrorCode::kInvalidArgument);
    CPPUNIT_ASSERT_EQUAL(0, this->store->swaps);
  }

  // Guards against a change that silently overwrites the change of another operator.
  void ChangeWithOldExpectedVersionReturnsTheCurrentVersion() {
    Accept(Changed(1), 0);
    CPPUNIT_ASSERT(Accept(Changed(2), 0) == (AcceptOutcome{false, 1}));
  }

  // Guards against accepting two changes that were both based on the same version.
  void OnlyOneOfTwoConcurrentChangesIsAccepted() {
    Accept(Changed(1), 0);
    Load(this->other);
    this->store->before_swap = [this](const std::string& key) {
      if (key != kManifestKey) return;
      this->store->before_swap = nullptr;
      const auto winner = SplitIntoSections(ParseDocument(Changed(2)).value());
      const Manifest manifest{2, winner.sections, "winner", {}};
      const std::int64_t revision = this->store->Newest(key)->revision;
      this->store->Apply(key, SerializeManifest(manifest), revision, 0);
    };
    CPPUNIT_ASSERT(Accept(Changed(3), 1) == (AcceptOutcome{false, 2}));
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{1}, this->state->version());
  }

  // Guards against reporting a failure to the operator although the document is in force.
  void LostReplyIsResolvedByTheStoredWriter() {
    LoseManifestReply(Fault::kLoseReply, nullptr);
    CPPUNIT_ASSERT(Accept(Changed(1), 0) == (AcceptOutcome{true, 1}));
  }

  // Guards against reporting a failure for a document that was in force, after another operator
  // has already changed it further.
  void LostReplyIsResolvedAfterFurtherChanges() {
    LoseManifestReply(Fault::kLoseReply, [this] { Accept(Changed(2), 1, this->other); });
    CPPUNIT_ASSERT(Accept(Changed(1), 0) == (AcceptOutcome{true, 1}));
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{2}, Load(this->service));
  }

  // Guards against a write that arrives late and reverts to the older document.
  void DelayedWriteTakesEffectOnce() {
    LoseManifestReply(Fault::kDelay, nullptr);
    CPPUNIT_ASSERT(Accept(Changed(1), 0) == (AcceptOutcome{true, 1}));
    CPPUNIT_ASSERT(Accept(Changed(2), 1) == (AcceptOutcome{true, 2}));
    this->store->DeliverDelayed();
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{2}, Load(this->other));
  }

  // Guards against "not run" for a document that may be in force.
  void UnknownOutcomeIsReported() {
    LoseManifestReply(Fault::kLoseReply, [this] { this->store->unavailable = true; });
    const auto outcome = Try(Changed(1), 0, Milliseconds(300));
    CPPUNIT_ASSERT(outcome.error().verdict == Verdict::kMayHaveRun);
  }

  // Guards against "may have run" for a document that certainly is not in force.
  void RefusedWriteIsReportedAsNotRun() {
    this->store->unavailable = true;
    CPPUNIT_ASSERT(Try(Changed(1), 0).error().verdict == Verdict::kNotRun);
  }

  // Guards against a reversion to an older version, and against a confirmation by a stale read.
  void StaleReadIsIgnored() {
    Accept(Changed(1), 0);
    const std::int64_t old = this->store->Newest(std::string(kManifestKey))->revision;
    Accept(Changed(2), 1);
    Load(this->other);
    const Deadline confirmed = this->other_state->confirmed_until();
    this->store->read_revision = old;
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{2}, Load(this->other));
    CPPUNIT_ASSERT(this->other_state->confirmed_until() == confirmed);
  }

  // Guards against a conflict that names an older version than the operator expects.
  void StaleReadDoesNotFailAChange() {
    Accept(Changed(1), 0);
    this->store->read_revision = this->store->Newest(std::string(kManifestKey))->revision;
    Accept(Changed(2), 1);
    const auto stale = Try(Changed(3), 2);
    CPPUNIT_ASSERT(stale.error().code == ErrorCode::kUnavailable);
    CPPUNIT_ASSERT(stale.error().verdict == Verdict::kNotRun);
    this->store->read_revision = 0;
    CPPUNIT_ASSERT(Accept(Changed(3), 2) == (AcceptOutcome{true, 3}));
  }

  // Guards against reading all sections for a small change.
  void CachedSectionsAreNotReadAgain() {
    Accept(Changed(1), 0);
    Load(this->other);
    Accept(Changed(2), 1);
    this->store->gets = 0;
    Load(this->other);
    CPPUNIT_ASSERT_EQUAL(2, this->store->gets);
  }

  // Guards against a change that is partly written because the store refuses a value.
  void OversizedSectionIsRefusedBeforeAnyWrite() {
    Json json = Example();
    for (int i = 0; i < 10000; ++i) {
      json["teams"].push_back({{"name", "extra-" + std::to_string(i)}});
    }
    const auto outcome = Try(json.dump(), 0);
    CPPUNIT_ASSERT(outcome.error().code == ErrorCode::kInvalidArgument);
    CPPUNIT_ASSERT(outcome.error().message.starts_with("/teams: takes "));
    CPPUNIT_ASSERT_EQUAL(0, this->store->swaps);
  }

  // Guards against a store that grows with every change, and against a section in use that expires.
  void RemovedSectionsExpireUnlessAddedAgain() {
    Accept(Changed(1), 0);
    const std::string key =
        detail::SectionKey(SplitIntoSections(ParseDocument(Changed(1)).value()).sections[1].digest);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, this->store->leases[key]);
    Accept(Changed(2), 1);
    CPPUNIT_ASSERT(this->store->leases[key] > 0);
    Accept(Changed(1), 2);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, this->store->leases[key]);
  }

  // Guards against a document that is joined from sections of two versions.
  void AbsentSectionLeavesTheDocumentUnchanged() {
    Accept(Changed(1), 0);
    Load(this->other);
    const auto split = SplitIntoSections(ParseDocument(Changed(2)).value());
    const std::string key(kManifestKey);
    this->store->Apply(key, SerializeManifest({2, split.sections, "w", {}}),
                       this->store->Newest(key)->revision, 0);
    const auto loaded = testing::RunUntilDone(this->io, this->other->Load(In(Milliseconds(1000))));
    CPPUNIT_ASSERT(loaded.error().code == ErrorCode::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{1}, this->other_state->version());
    CPPUNIT_ASSERT_EQUAL(ConfigVersion{2}, this->other_state->newest_known_version());
  }

 private:
  static Deadline In(Milliseconds time) { return Clock::now() + time; }

  Result<AcceptOutcome> Try(const std::string& json, ConfigVersion expected,
                            Milliseconds time = Milliseconds(5000)) {
    return testing::RunUntilDone(this->io, this->service->Accept(json, expected, In(time)));
  }

  AcceptOutcome Accept(const std::string& json, ConfigVersion expected) {
    return Try(json, expected).value();
  }

  void Accept(const std::string& json, ConfigVersion expected,
              const std::shared_ptr<Service>& through) {
    boost::asio::io_context own;
    const Deadline deadline = In(Milliseconds(5000));
    const auto outcome =
        testing::RunUntilDone(own, through->Accept(json, expected, deadline)).value();
    CPPUNIT_ASSERT(outcome.accepted);
  }

  ConfigVersion Load(const std::shared_ptr<Service>& through) {
    return testing::RunUntilDone(this->io, through->Load(In(Milliseconds(1000)))).value();
  }

  // The next write of the manifest fails with `fault`; `after` runs before the write that follows.
  void LoseManifestReply(Fault fault, const std::function<void()>& after) {
    this->store->before_swap = [this, fault, after](const std::string& key) {
      if (key != kManifestKey) return;
      this->store->swap_faults.push_back(fault);
      this->store->before_swap = [this, after](const std::string&) {
        this->store->before_swap = nullptr;
        if (after) after();
      };
    };
  }

  static std::shared_ptr<Service> Make(const std::shared_ptr<testing::FakeStore>& store,
                                       const std::shared_ptr<ConfigState>& state,
                                       const char* node) {
    return std::make_shared<Service>(store, state, NodeId(node), Milliseconds(5000));
  }

  boost::asio::io_context io;
  std::shared_ptr<testing::FakeStore> store = std::make_shared<testing::FakeStore>();
  std::shared_ptr<ConfigState> state = std::make_shared<ConfigState>();
  std::shared_ptr<ConfigState> other_state = std::make_shared<ConfigState>();
  std::shared_ptr<Service> service = Make(store, state, "node-1");
  std::shared_ptr<Service> other = Make(store, other_state, "node-2");
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigServiceTest);

}  // namespace
}  // namespace limpetfall
