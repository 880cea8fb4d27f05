#include "daemon/domain-owner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using std::chrono::milliseconds;
using std::chrono::seconds;

// In-memory store whose next write can be made to fail.
class FakeStore {
 public:
  awaitable<Result<std::optional<StoredValue>>> Get(std::string key, Deadline /*deadline*/) {
    ++this->reads;
    if (this->down) co_return NotRun(ErrorCode::kUnavailable, "store is down");
    const auto found = this->values.find(key);
    if (found == this->values.end()) co_return std::optional<StoredValue>();
    co_return std::optional<StoredValue>(found->second);
  }

  awaitable<Result<std::vector<StoredValue>>> List(std::string prefix, Deadline /*deadline*/) {
    if (this->down) co_return NotRun(ErrorCode::kUnavailable, "store is down");
    std::vector<StoredValue> found;
    for (const auto& [key, value] : this->values) {
      if (key.starts_with(prefix)) found.push_back(value);
    }
    co_return found;
  }

  awaitable<Result<SwapOutcome>> Swap(std::string key, std::string value, std::int64_t expected,
                                      std::int64_t /*lease_seconds*/, Deadline /*deadline*/) {
    if (this->down) co_return NotRun(ErrorCode::kUnavailable, "store is down");
    const bool is_record = key.starts_with("/limpetfall/domains/");
    if (is_record && this->before_write) std::exchange(this->before_write, nullptr)();
    if (is_record && std::exchange(this->lose_write, false)) co_return NoReplyError();
    const auto found = this->values.find(key);
    const std::int64_t revision = found == this->values.end() ? 0 : found->second.revision;
    if (revision != expected) {
      std::optional<StoredValue> current;
      if (found != this->values.end()) current = found->second;
      co_return SwapOutcome{false, 0, current};
    }
    this->Put(key, value);
    const std::int64_t written = this->values[key].revision;
    if (is_record && this->after_write) std::exchange(this->after_write, nullptr)();
    if (is_record && std::exchange(this->lose_reply, false)) co_return NoReplyError();
    co_return SwapOutcome{true, written, std::nullopt};
  }

  void Put(const std::string& key, const std::string& value) {
    this->values[key] = {key, value, ++this->last_revision};
  }

  int SlotsTaken() const {
    int taken = 0;
    for (const auto& [key, value] : this->values) {
      if (key.starts_with("/limpetfall/slots/") && !value.value.empty()) ++taken;
    }
    return taken;
  }

  std::map<std::string, StoredValue> values;
  std::int64_t last_revision = 0;
  int reads = 0;
  bool down = false;
  bool lose_write = false;
  bool lose_reply = false;
  std::function<void()> before_write;
  std::function<void()> after_write;

 private:
  static Error NoReplyError() { return MayHaveRun(ErrorCode::kDeadlineExceeded, "no reply"); }
};

struct FakeContext {
  bool OwnsDomain(const DomainId& /*domain*/) const { return this->owner; }
  std::shared_ptr<const std::vector<Vm>> Vms() const { return this->vms; }
  std::shared_ptr<const VersionedDocument> ActiveDocument() const { return this->document; }
  TimePoint Now() const {
    const TimePoint read = this->now;
    if (this->pause_after_now) std::exchange(this->pause_after_now, nullptr)();
    return read;
  }

  mutable std::function<void()> pause_after_now;  ///< Runs once, after the time was read.
  bool owner = true;
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::shared_ptr<const std::vector<Vm>> vms;
  std::shared_ptr<const VersionedDocument> document;
};

// Engines that are ready immediately after their assignment.
class FakeEngines {
 public:
  awaitable<Result<VmReport>> FetchReport(std::string address, Deadline /*deadline*/) {
    const auto found = this->reports.find(address);
    if (found == this->reports.end()) co_return NotRun(ErrorCode::kUnavailable, "no engine");
    co_return found->second;
  }

  awaitable<Result<void>> SendAssignment(std::string address, GroupRecord group, int rank,
                                         Deadline /*deadline*/) {
    this->sent.push_back(group);
    VmReport& report = this->reports[address];
    report.state = group.group.value.empty() ? EngineState::kIdle : EngineState::kReady;
    report.group = group.group;
    report.generation = group.generation;
    report.model = group.model;
    report.version = group.version;
    report.rank = rank;
    report.size = static_cast<int>(group.members.size());
    co_return success();
  }

  std::map<std::string, VmReport> reports;
  std::vector<GroupRecord> sent;
};

using Owner = DomainOwner<FakeStore, FakeContext, FakeEngines>;

class DomainOwnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainOwnerTest);
  CPPUNIT_TEST(NewGroupIsRecordedAssignedAndPublished);
  CPPUNIT_TEST(LostReplyIsResolvedByReadingTheRecord);
  CPPUNIT_TEST(FailedWriteSendsNoCommand);
  CPPUNIT_TEST(WriteAfterAPauseDoesNotReplaceANewerRecord);
  CPPUNIT_TEST(PauseBetweenWriteAndCommandSendsNoStaleCommand);
  CPPUNIT_TEST(PauseBeforeTheReplySendsNoStaleCommand);
  CPPUNIT_TEST(CommandIsSentAfterAPauseWithoutOtherWrites);
  CPPUNIT_TEST(NodeThatIsNotTheOwnerDoesNothing);
  CPPUNIT_TEST(GroupsKeepServingDuringAPlatformOutage);
  CPPUNIT_TEST(LostMemberIsPublishedImmediately);
  CPPUNIT_TEST(NewerSummaryOfAnotherOwnerIsKept);
  CPPUNIT_TEST(DomainsTogetherStayWithinTheSlotLimit);
  CPPUNIT_TEST(RecordWithAVmTwiceIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->store = std::make_shared<FakeStore>();
    this->context = std::make_shared<FakeContext>();
    this->engines = std::make_shared<FakeEngines>();
    this->state = std::make_shared<SharedState>();
    this->state->AddListener([this](const SharedEntry& entry, Urgency urgency) {
      const auto& summary = std::get<GroupSummary>(entry.value);
      if (urgency == Urgency::kUrgent) this->urgent.push_back(summary.state);
    });
    std::vector<Vm> vms;
    for (const char* domain : {"d", "e"}) {
      for (int i = 0; i < 2; ++i) {
        Vm vm{VmId(domain + std::to_string(i)), domain + std::to_string(i), ZoneId("z"),
              DomainId(domain), false};
        VmReport report;
        report.vm = vm.id;
        report.instance = vm.id.value + "-1";
        this->engines->reports[vm.address] = report;
        vms.push_back(vm);
      }
    }
    this->context->vms = std::make_shared<const std::vector<Vm>>(vms);
    VersionedDocument document;
    document.version = 1;
    document.document.models = {
        {ModelName("m"), {ModelVersion("1")}, 2, 2, 1, Priority::kNormal, 8, {}}};
    document.document.policy.weight_store_slots = 1;
    document.document.policy.engines_check_generation = true;
    this->context->document = std::make_shared<const VersionedDocument>(document);
    this->owner = this->NewOwner("d");
  }

  std::shared_ptr<Owner> NewOwner(const std::string& domain) {
    Settings settings;
    settings.node = NodeId("n1");
    return Owner::Create(DomainId(domain), settings, this->store, this->context, this->engines,
                         this->state);
  }

  static awaitable<void> TickOf(std::shared_ptr<Owner> owner) { co_await owner->Tick(); }

  void Tick(const std::shared_ptr<Owner>& which) {
    asio::co_spawn(this->io, TickOf(which), asio::detached);
    this->io.restart();
    this->io.run();
    this->context->now += milliseconds(250);
  }

  void Tick(int rounds = 1) {
    for (int i = 0; i < rounds; ++i) this->Tick(this->owner);
  }

  StoredDomainRecord Stored() const {
    const StoredValue& value = this->store->values.at("/limpetfall/domains/d");
    return ParseDomainRecord(value.value, value.revision).value();
  }

  std::optional<GroupSummary> Published() const {
    for (const SharedEntry& entry : this->state->List("group/d/", this->context->now)) {
      const auto& summary = std::get<GroupSummary>(entry.value);
      if (summary.state != GroupState::kLost) return summary;
    }
    return std::nullopt;
  }

  // Another owner moves the VMs into a group of its own.
  void OtherOwnerWrites() {
    DomainRecord record;
    record.domain = DomainId("d");
    record.last_generation = 50;
    record.groups = {
        {GroupId("d/g50"), 50, ModelName("m"), ModelVersion("1"), {VmId("d1"), VmId("d0")}}};
    this->store->Put("/limpetfall/domains/d", SerializeDomainRecord(record, "other"));
  }

  void AssertOnlySent(Generation generation) const {
    for (const GroupRecord& group : this->engines->sent) {
      CPPUNIT_ASSERT_EQUAL(generation, group.generation);
    }
  }

  void NewGroupIsRecordedAssignedAndPublished() {
    this->Tick(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Stored().record.groups.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->engines->sent.size());
    CPPUNIT_ASSERT(this->Published()->state == GroupState::kServing);
    CPPUNIT_ASSERT_EQUAL(std::string("d0-1"), this->Published()->members[0].instance);
  }

  // Guards against a write that took effect and is treated as failed, or is repeated.
  void LostReplyIsResolvedByReadingTheRecord() {
    this->store->lose_reply = true;
    this->Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->engines->sent.size());
    this->Tick(3);
    CPPUNIT_ASSERT_EQUAL(Generation{1}, this->Stored().record.last_generation);
    CPPUNIT_ASSERT(this->Published()->state == GroupState::kServing);
  }

  // Guards against commands for a record that was never written.
  void FailedWriteSendsNoCommand() {
    this->store->lose_write = true;
    this->Tick();
    CPPUNIT_ASSERT(this->engines->sent.empty());
    this->Tick(3);
    CPPUNIT_ASSERT(this->Published()->state == GroupState::kServing);
  }

  // Guards against a paused owner that overwrites its successor's record.
  void WriteAfterAPauseDoesNotReplaceANewerRecord() {
    this->store->before_write = [this] {
      this->context->now += seconds(60);
      this->OtherOwnerWrites();
    };
    this->Tick();
    CPPUNIT_ASSERT(this->engines->sent.empty());
    this->Tick(4);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), this->Stored().writer);
    CPPUNIT_ASSERT(!this->engines->sent.empty());
    this->AssertOnlySent(50);
  }

  // Guards against a command that follows from a record which another owner has replaced.
  void PauseBetweenWriteAndCommandSendsNoStaleCommand() {
    // The owner pauses after it has read the time for its decision.
    this->store->after_write = [this] {
      this->context->pause_after_now = [this] {
        this->context->now += seconds(60);
        this->OtherOwnerWrites();
      };
    };
    this->Tick(5);
    CPPUNIT_ASSERT(!this->engines->sent.empty());
    this->AssertOnlySent(50);
  }

  // Guards against a stale command when the owner pauses before the reply of its write.
  void PauseBeforeTheReplySendsNoStaleCommand() {
    this->store->after_write = [this] {
      this->context->now += seconds(60);
      this->OtherOwnerWrites();
    };
    this->Tick(5);
    CPPUNIT_ASSERT(!this->engines->sent.empty());
    this->AssertOnlySent(50);
  }

  // Guards against an owner that sends no commands after a pause during which nothing changed.
  void CommandIsSentAfterAPauseWithoutOtherWrites() {
    this->store->after_write = [this] { this->context->now += seconds(60); };
    this->Tick(8);
    CPPUNIT_ASSERT(this->Published()->state == GroupState::kServing);
    this->AssertOnlySent(this->Stored().record.last_generation);
  }

  // Guards against two nodes that both act as the owner of a domain.
  void NodeThatIsNotTheOwnerDoesNothing() {
    this->context->owner = false;
    this->Tick(3);
    CPPUNIT_ASSERT(this->store->values.empty());
    CPPUNIT_ASSERT(this->engines->sent.empty());
    CPPUNIT_ASSERT_EQUAL(0, this->store->reads);
  }

  // Guards against groups that stop serving during an outage of the platform.
  void GroupsKeepServingDuringAPlatformOutage() {
    this->Tick(3);
    this->store->down = true;
    this->Tick(200);
    CPPUNIT_ASSERT(this->Published()->state == GroupState::kServing);
  }

  // Guards against new work for a group without all its members.
  void LostMemberIsPublishedImmediately() {
    this->Tick(3);
    this->urgent.clear();
    this->engines->reports.erase("d1");
    this->Tick(8);
    CPPUNIT_ASSERT(!this->Published() || this->Published()->state != GroupState::kServing);
    CPPUNIT_ASSERT(!this->urgent.empty() && this->urgent.front() == GroupState::kLost);
  }

  // Guards against a former owner that overwrites the summary of its successor.
  void NewerSummaryOfAnotherOwnerIsKept() {
    this->Tick(3);
    GroupSummary newer = *this->Published();
    newer.generation = 90;
    this->state->Put({GroupSummaryKey(newer.group), std::uint64_t{1} << 60,
                      this->context->now + seconds(60), newer},
                     Urgency::kNormal, this->context->now);
    this->engines->reports.erase("d1");
    this->Tick(8);
    CPPUNIT_ASSERT_EQUAL(Generation{90}, this->Published()->generation);
  }

  // Guards against more loads at a time than the weight store allows.
  void DomainsTogetherStayWithinTheSlotLimit() {
    const auto other = this->NewOwner("e");
    this->Tick(this->owner);
    CPPUNIT_ASSERT_EQUAL(1, this->store->SlotsTaken());
    this->Tick(other);
    CPPUNIT_ASSERT(!this->store->values.contains("/limpetfall/domains/e"));
    this->Tick(this->owner);
    this->Tick(other);
    CPPUNIT_ASSERT(this->store->values.contains("/limpetfall/domains/e"));
    CPPUNIT_ASSERT_EQUAL(1, this->store->SlotsTaken());
  }

  // Guards against acting on a damaged record that assigns a VM to two groups.
  void RecordWithAVmTwiceIsRefused() {
    DomainRecord record;
    record.domain = DomainId("d");
    record.last_generation = 2;
    record.groups = {{GroupId("d/g1"), 1, ModelName("m"), ModelVersion("1"), {VmId("d0")}},
                     {GroupId("d/g2"), 2, ModelName("m"), ModelVersion("1"), {VmId("d0")}}};
    CPPUNIT_ASSERT(!ParseDomainRecord(SerializeDomainRecord(record, "w"), 1).has_value());
  }

 private:
  asio::io_context io;
  std::shared_ptr<FakeStore> store;
  std::shared_ptr<FakeContext> context;
  std::shared_ptr<FakeEngines> engines;
  std::shared_ptr<SharedState> state;
  std::shared_ptr<Owner> owner;
  std::vector<GroupState> urgent;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainOwnerTest);

}  // namespace
}  // namespace limpetfall
