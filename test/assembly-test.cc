#include "core/assembly.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>
#include <set>

#include "core/replay-fleet.h"

namespace limpetfall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const DomainId kDomain("ennis-1");

Document TwoModels() {
  Document document;
  document.models = {{ModelName("plan"), {ModelVersion("1")}, 3, 2, 1, Priority::kHigh, 8, {}},
                     {ModelName("reply"), {ModelVersion("1")}, 2, 2, 1, Priority::kLow, 8, {}}};
  document.policy.weight_store_slots = 4;
  return document;
}

// Simulates one domain with its engines in virtual time.
class SimulatedDomain {
 public:
  explicit SimulatedDomain(int vms, Document approved = TwoModels())
      : document(std::move(approved)),
        fleet(TraceOf(vms)),
        core(Assembly<CostPolicy>::Create(Options(), CostPolicy{})) {}

  static AssemblyOptions Options() {
    AssemblyOptions options;
    options.domain = kDomain;
    return options;
  }

  static Trace TraceOf(int vms) {
    Trace trace;
    trace.domains = {{kDomain, ZoneId("ennis"), vms}};
    trace.load_s = {{ModelName("plan"), 4}, {ModelName("reply"), 2}};
    return trace;
  }

  TimePoint Now() const { return TimePoint(std::chrono::hours(1)) + this->at; }
  double NowSeconds() const { return std::chrono::duration<double>(this->at).count(); }

  AssemblyInput Input() {
    AssemblyInput input;
    input.vms = this->fleet.List();
    for (const auto& [id, vm] : this->fleet.vms()) {
      if (vm.running) {
        VmReport report = this->fleet.Report(vm, this->NowSeconds());
        report.running = vm.rank == 0 ? this->running : 0;
        this->reports[id] = {report, this->Now()};
      }
      if (this->reports.contains(id)) input.reports.push_back(this->reports.at(id));
    }
    input.record = this->record;
    input.placement = std::make_shared<const Placement>(PlanPlacement(this->document, input.vms));
    input.policy = this->document.policy;
    input.slots_held = 4;
    return input;
  }

  // Runs one step of the planner, then stores its record and delivers its commands at once.
  AssemblyOutput RunStep() {
    AssemblyOutput output = this->core.Step(this->Input(), this->Now());
    if (output.proposal) {
      this->record = *output.proposal;
      ++this->record.revision;
    }
    for (const AssignmentCommand& command : output.commands) {
      this->fleet.ApplyCommand(command, this->NowSeconds());
    }
    this->at += milliseconds(250);
    return output;
  }

  AssemblyOutput Run(milliseconds duration) {
    AssemblyOutput last;
    for (const auto end = this->at + duration; this->at < end;) last = this->RunStep();
    return last;
  }

  void FailVm(const VmId& vm) { this->fleet.vms().at(vm).running = false; }

  void RecoverVm(const VmId& vm) {
    TraceEvent event;
    event.at = this->NowSeconds();
    event.kind = TraceEventKind::kVmReturned;
    event.vm = vm;
    this->fleet.Apply(event);
  }

  const GroupRecord& Group(const std::string& model) const {
    for (const GroupRecord& group : this->record.groups) {
      if (group.model.value == model) return group;
    }
    CPPUNIT_FAIL("no group of " + model);
    return this->record.groups.front();
  }

  static int Serving(const AssemblyOutput& output, const std::string& model) {
    int count = 0;
    for (const auto& update : output.summaries) {
      const bool serving = update.summary.state == GroupState::kServing;
      if (serving && update.summary.model.value == model) ++count;
    }
    return count;
  }

  Document document;
  detail::ReplayFleet fleet;
  Assembly<CostPolicy> core;
  DomainRecord record;
  std::map<VmId, ReceivedReport> reports;
  milliseconds at{0};
  int running = 0;
};

// Two owners write the record of one domain concurrently, with pauses, lost commands and VM
// failures.
class ConcurrentOwners {
 public:
  explicit ConcurrentOwners(unsigned seed) : random(seed), domain(9) {
    this->domain.document.policy.engines_check_generation = seed % 2 == 0;
    for (int i = 0; i < 2; ++i) {
      this->owners.push_back(
          Assembly<CostPolicy>::Create(SimulatedDomain::Options(), CostPolicy{}));
    }
    this->last_read.resize(2);
  }

  void Run() {
    for (int i = 0; i < 1200; ++i) {
      this->InjectFailures();
      for (std::size_t owner = 0; owner < 2; ++owner) {
        if (this->Chance(70)) this->StepOwner(owner);
      }
      this->domain.at += milliseconds(250);
    }
  }

  int written = 0;
  int write_conflicts = 0;
  int serving_summaries = 0;

 private:
  bool Chance(int percent) { return static_cast<int>(this->random() % 100) < percent; }

  VmId RandomVm() { return VmId(kDomain.value + "-vm" + std::to_string(this->random() % 9)); }

  void InjectFailures() {
    if (this->Chance(2)) this->domain.FailVm(this->RandomVm());
    if (this->Chance(4)) this->domain.RecoverVm(this->RandomVm());
    if (this->Chance(1)) this->domain.fleet.vms().at(this->RandomVm()).leaving ^= true;
  }

  // The record may change between an owner's read and its write.
  void StepOwner(std::size_t owner) {
    if (this->Chance(50)) this->last_read[owner] = this->domain.record;
    AssemblyInput input = this->domain.Input();
    input.record = this->last_read[owner];
    const AssemblyOutput output = this->owners[owner].Step(input, this->domain.Now());
    this->CheckSummaries(output, input);
    for (const AssignmentCommand& command : output.commands) {
      if (this->Chance(80)) this->domain.fleet.ApplyCommand(command, this->domain.NowSeconds());
    }
    if (!output.proposal) return;
    if (output.proposal->revision != this->domain.record.revision) {
      ++this->write_conflicts;
      this->last_read[owner] = this->domain.record;
      return;
    }
    this->StoreRecord(*output.proposal);
    if (this->Chance(80)) this->last_read[owner] = this->domain.record;
  }

  void StoreRecord(DomainRecord next) {
    ++this->written;
    std::set<VmId> members;
    for (const GroupRecord& group : next.groups) {
      for (const VmId& vm : group.members) {
        CPPUNIT_ASSERT_MESSAGE(vm.value + " is in two groups", members.insert(vm).second);
      }
      const auto& before = this->domain.record.groups;
      const bool kept = std::find(before.begin(), before.end(), group) != before.end();
      CPPUNIT_ASSERT_MESSAGE("a generation repeats",
                             kept || this->generations.insert(group.generation).second);
      CPPUNIT_ASSERT(kept || group.generation > this->domain.record.last_generation);
      CPPUNIT_ASSERT(group.generation <= next.last_generation);
    }
    ++next.revision;
    this->domain.record = std::move(next);
  }

  void CheckSummaries(const AssemblyOutput& output, const AssemblyInput& input) {
    for (const SummaryUpdate& update : output.summaries) {
      if (update.summary.state != GroupState::kServing) continue;
      ++this->serving_summaries;
      for (const GroupMember& member : update.summary.members) {
        const auto report = std::find_if(
            input.reports.begin(), input.reports.end(),
            [&member](const ReceivedReport& received) { return received.report.vm == member.vm; });
        CPPUNIT_ASSERT_MESSAGE("a member never reported", report != input.reports.end());
        CPPUNIT_ASSERT_MESSAGE("a member is absent",
                               this->domain.Now() - report->received <= milliseconds(1250));
        CPPUNIT_ASSERT(report->report.state == EngineState::kReady);
        CPPUNIT_ASSERT(report->report.group == update.summary.group);
        CPPUNIT_ASSERT(report->report.generation == update.summary.generation);
        CPPUNIT_ASSERT(update.serve_until <= report->received + seconds(8));
      }
    }
  }

  std::mt19937 random;
  SimulatedDomain domain;
  std::vector<Assembly<CostPolicy>> owners;
  std::vector<DomainRecord> last_read;
  std::set<Generation> generations;
};

class AssemblyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AssemblyTest);
  CPPUNIT_TEST(ConcurrentOwnersKeepInvariants);
  CPPUNIT_TEST(AllWantedGroupsServeAfterStart);
  CPPUNIT_TEST(GroupWithLostMemberIsReportedLost);
  CPPUNIT_TEST(FreeVmReplacesLostMember);
  CPPUNIT_TEST(RestartedMemberCausesNewGeneration);
  CPPUNIT_TEST(ReplacedMemberIsReleasedWhenItReturns);
  CPPUNIT_TEST(GroupWithLeavingMemberDrainsBeforeReplacement);
  CPPUNIT_TEST(MoveIsDelayedUntilOldCommandsExpire);
  CPPUNIT_TEST(MoveIsImmediateIfEnginesCheckGeneration);
  CPPUNIT_TEST(NewOwnerDelaysMoveUntilOldCommandsExpire);
  CPPUNIT_TEST(CommandIsRepeatedOnWrongGeneration);
  CPPUNIT_TEST(ProtectedGroupIsNotPreempted);
  CPPUNIT_TEST(LowPriorityGroupIsPreempted);
  CPPUNIT_TEST(PausedOwnerReportsNoGroupLost);
  CPPUNIT_TEST(GroupsOfRemovedModelDrainBeforeRemoval);
  CPPUNIT_TEST(LoadsAreLimitedBySlots);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against VMs in two groups, repeated generations and incomplete groups that serve.
  void ConcurrentOwnersKeepInvariants() {
    std::random_device device;
    int written = 0;
    int write_conflicts = 0;
    int serving = 0;
    for (int i = 0; i < 40; ++i) {
      const unsigned seed = i < 20 ? static_cast<unsigned>(i) : device();
      try {
        ConcurrentOwners run(seed);
        run.Run();
        written += run.written;
        write_conflicts += run.write_conflicts;
        serving += run.serving_summaries;
      } catch (const CppUnit::Exception&) {
        std::cerr << "assembly-test: seed " << seed << "\n";
        throw;
      }
    }
    std::cerr << " " << written << " records, " << write_conflicts << " write conflicts ";
    // Without races and serving groups, the run would not test the invariants.
    CPPUNIT_ASSERT(written > 100 && write_conflicts > 100 && serving > 1000);
  }

  // Guards against a domain that does not assemble all wanted groups.
  void AllWantedGroupsServeAfterStart() {
    SimulatedDomain domain(10);
    const AssemblyOutput last = domain.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(2, SimulatedDomain::Serving(last, "plan"));
    CPPUNIT_ASSERT_EQUAL(2, SimulatedDomain::Serving(last, "reply"));
  }

  // Guards against requests dispatched to an incomplete group (P1).
  void GroupWithLostMemberIsReportedLost() {
    SimulatedDomain domain(10);
    domain.Run(seconds(10));
    const GroupRecord group = domain.Group("plan");
    domain.FailVm(group.members[1]);
    const AssemblyOutput last = domain.Run(seconds(2));
    for (const SummaryUpdate& update : last.summaries) {
      if (update.summary.generation != group.generation) continue;
      CPPUNIT_ASSERT(update.summary.state == GroupState::kLost);
    }
  }

  // Guards against waiting for a member although a VM is free.
  void FreeVmReplacesLostMember() {
    SimulatedDomain domain(11);
    domain.Run(seconds(10));
    const GroupRecord group = domain.Group("plan");
    domain.FailVm(group.members[1]);
    CPPUNIT_ASSERT_EQUAL(2, SimulatedDomain::Serving(domain.Run(seconds(15)), "plan"));
    CPPUNIT_ASSERT(domain.Group("plan").generation > group.generation);
    CPPUNIT_ASSERT(domain.Group("plan").members[0] == group.members[0]);
  }

  // Guards against a restarted engine that serves in a group of the earlier generation.
  void RestartedMemberCausesNewGeneration() {
    SimulatedDomain domain(10);
    domain.Run(seconds(10));
    const GroupRecord group = domain.Group("plan");
    domain.FailVm(group.members[0]);
    domain.RecoverVm(group.members[0]);
    const AssemblyOutput next = domain.RunStep();
    CPPUNIT_ASSERT_EQUAL(1, SimulatedDomain::Serving(next, "plan"));
    domain.Run(seconds(15));
    CPPUNIT_ASSERT(domain.Group("plan").generation > group.generation);
    CPPUNIT_ASSERT(domain.Group("plan").members == group.members);
  }

  // Guards against a replaced VM that still considers itself a member of its old group.
  void ReplacedMemberIsReleasedWhenItReturns() {
    SimulatedDomain domain(11);
    domain.Run(seconds(10));
    const VmId lost = domain.Group("plan").members[1];
    domain.FailVm(lost);
    domain.Run(seconds(15));
    // The VM was only paused and reports its old group.
    domain.fleet.vms().at(lost).running = true;
    const AssemblyOutput next = domain.RunStep();
    bool released = false;
    for (const auto& command : next.commands) {
      released = released || (command.vm == lost && command.group.group.value.empty());
    }
    CPPUNIT_ASSERT(released);
  }

  // Guards against a planned stop that interrupts requests (P7), and against new requests for a
  // draining group (P6).
  void GroupWithLeavingMemberDrainsBeforeReplacement() {
    SimulatedDomain domain(11);
    domain.Run(seconds(10));
    const GroupRecord group = domain.Group("plan");
    domain.running = 2;
    domain.fleet.vms().at(group.members[2]).leaving = true;
    const AssemblyOutput busy = domain.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(1, SimulatedDomain::Serving(busy, "plan"));
    CPPUNIT_ASSERT(domain.Group("plan") == group);
    domain.running = 0;
    CPPUNIT_ASSERT_EQUAL(2, SimulatedDomain::Serving(domain.Run(seconds(15)), "plan"));
    CPPUNIT_ASSERT(domain.Group("plan").members[2] != group.members[2]);
  }

  // Returns the time from the move of a VM in the record to the first command for it.
  static milliseconds DelayOfCommandAfterMove(bool checks_generation) {
    Document document = TwoModels();
    document.policy.engines_check_generation = checks_generation;
    SimulatedDomain domain(10, document);
    domain.Run(seconds(1));  // Commands for the first groups have just been sent.
    return DelayOfCommandAfterMove(domain);
  }

  static milliseconds DelayOfCommandAfterMove(SimulatedDomain& domain) {
    const VmId moved = domain.Group("reply").members[0];
    domain.record.groups.clear();
    GroupRecord group{GroupId("ennis-1/other"),
                      ++domain.record.last_generation,
                      ModelName("reply"),
                      ModelVersion("1"),
                      {moved, VmId("ennis-1-vm9")}};
    domain.record.groups.push_back(group);
    ++domain.record.revision;
    const milliseconds start = domain.at;
    while (domain.at < start + seconds(20)) {
      const milliseconds now = domain.at;
      for (const auto& command : domain.RunStep().commands) {
        if (command.vm == moved && command.group.group == group.group) return now - start;
      }
    }
    return seconds(20);
  }

  // Guards against an older command that arrives after a newer one.
  void MoveIsDelayedUntilOldCommandsExpire() {
    const milliseconds waited = DelayOfCommandAfterMove(false);
    CPPUNIT_ASSERT(waited >= milliseconds(4500));
    CPPUNIT_ASSERT(waited < seconds(7));
  }

  // Guards against a needless delay when engines reject old generations.
  void MoveIsImmediateIfEnginesCheckGeneration() {
    CPPUNIT_ASSERT(DelayOfCommandAfterMove(true) == milliseconds(0));
  }

  // Guards against a command of the previous owner that arrives after one of the new owner.
  void NewOwnerDelaysMoveUntilOldCommandsExpire() {
    for (const bool record_is_read : {true, false}) {
      SimulatedDomain domain(10);
      domain.Run(seconds(20));
      domain.core = Assembly<CostPolicy>::Create(SimulatedDomain::Options(), CostPolicy{});
      AssemblyInput input = domain.Input();
      // Without the platform, the record is reconstructed from summaries and has no revision.
      if (!record_is_read) input.record.revision = 0;
      domain.core.Step(input, domain.Now());
      CPPUNIT_ASSERT(DelayOfCommandAfterMove(domain) >= milliseconds(5250));
    }
  }

  // Guards against an engine that applies an old command and then serves in another group.
  void CommandIsRepeatedOnWrongGeneration() {
    SimulatedDomain domain(10);
    domain.Run(seconds(10));
    const GroupRecord group = domain.Group("plan");
    domain.fleet.vms().at(group.members[1]).group.generation = 999;
    const AssemblyOutput next = domain.RunStep();
    CPPUNIT_ASSERT_EQUAL(1, SimulatedDomain::Serving(next, "plan"));
    bool commanded = false;
    for (const auto& command : next.commands) {
      commanded = commanded || (command.vm == group.members[1] && command.group == group);
    }
    CPPUNIT_ASSERT(commanded);
  }

  // Guards against preemption of groups that the document protects with min_groups.
  void ProtectedGroupIsNotPreempted() {
    Document document = TwoModels();
    document.models[1].min_groups = 2;
    SimulatedDomain domain(10, document);
    domain.Run(seconds(10));
    domain.FailVm(domain.Group("plan").members[1]);
    CPPUNIT_ASSERT_EQUAL(2, SimulatedDomain::Serving(domain.Run(seconds(120)), "reply"));
  }

  // Guards against a high-priority group that stays lost although a group of lower priority could
  // be preempted.
  void LowPriorityGroupIsPreempted() {
    SimulatedDomain domain(10);
    domain.Run(seconds(10));
    domain.FailVm(domain.Group("plan").members[1]);
    const AssemblyOutput last = domain.Run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(2, SimulatedDomain::Serving(last, "plan"));
    CPPUNIT_ASSERT_EQUAL(1, SimulatedDomain::Serving(last, "reply"));
  }

  // Guards against an owner that treats its own pause as the loss of all VMs.
  void PausedOwnerReportsNoGroupLost() {
    SimulatedDomain domain(10);
    domain.Run(seconds(10));
    AssemblyInput stale = domain.Input();
    domain.at += seconds(30);
    const AssemblyOutput output = domain.core.Step(stale, domain.Now());
    CPPUNIT_ASSERT(!output.proposal);
    CPPUNIT_ASSERT(output.summaries.empty());
  }

  // Guards against interrupted requests when an operator removes a model.
  void GroupsOfRemovedModelDrainBeforeRemoval() {
    SimulatedDomain domain(10);
    domain.Run(seconds(10));
    domain.running = 1;
    domain.document.models.pop_back();
    const AssemblyOutput busy = domain.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, domain.record.groups.size());
    CPPUNIT_ASSERT_EQUAL(1, SimulatedDomain::Serving(busy, "reply"));
    domain.running = 0;
    domain.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, domain.record.groups.size());
  }

  // Guards against more concurrent loads than the weight store's limit.
  void LoadsAreLimitedBySlots() {
    SimulatedDomain domain(10);
    AssemblyInput input = domain.Input();
    input.slots_held = 1;
    const AssemblyOutput output = domain.core.Step(input, domain.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, output.proposal->groups.size());
    CPPUNIT_ASSERT(output.slots_needed > 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AssemblyTest);

}  // namespace
}  // namespace limpetfall
