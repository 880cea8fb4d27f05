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

// One domain with its engines in virtual time.
class Scene {
 public:
  explicit Scene(int vms, Document approved = TwoModels())
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
      if (vm.alive) {
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

  // One round: the record is written and commands arrive at once.
  AssemblyOutput Round() {
    AssemblyOutput output = this->core.Step(this->Input(), this->Now());
    if (output.proposal) {
      this->record = *output.proposal;
      ++this->record.revision;
    }
    for (const AssignmentCommand& command : output.commands) {
      this->fleet.Obey(command, this->NowSeconds());
    }
    this->at += milliseconds(250);
    return output;
  }

  AssemblyOutput Run(milliseconds duration) {
    AssemblyOutput last;
    for (const auto end = this->at + duration; this->at < end;) last = this->Round();
    return last;
  }

  void Lose(const VmId& vm) { this->fleet.vms().at(vm).alive = false; }

  void Return(const VmId& vm) {
    TraceEvent event;
    event.at = this->NowSeconds();
    event.kind = TraceEventKind::kVmBack;
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

// Two owners of one domain that race for its record, with pauses, lost commands and failing VMs.
class RacingOwners {
 public:
  explicit RacingOwners(unsigned seed) : random(seed), scene(9) {
    this->scene.document.policy.engines_check_generation = seed % 2 == 0;
    for (int i = 0; i < 2; ++i) {
      this->owners.push_back(Assembly<CostPolicy>::Create(Scene::Options(), CostPolicy{}));
    }
    this->seen.resize(2);
  }

  void Run() {
    for (int i = 0; i < 1200; ++i) {
      this->FailSomething();
      for (std::size_t owner = 0; owner < 2; ++owner) {
        if (this->Chance(70)) this->Act(owner);
      }
      this->scene.at += milliseconds(250);
    }
  }

  int written = 0;
  int lost_races = 0;
  int serving_seen = 0;

 private:
  bool Chance(int percent) { return static_cast<int>(this->random() % 100) < percent; }

  VmId AnyVm() { return VmId(kDomain.value + "-vm" + std::to_string(this->random() % 9)); }

  void FailSomething() {
    if (this->Chance(2)) this->scene.Lose(this->AnyVm());
    if (this->Chance(4)) this->scene.Return(this->AnyVm());
    if (this->Chance(1)) this->scene.fleet.vms().at(this->AnyVm()).leaving ^= true;
  }

  // The record may change between an owner's read and its write.
  void Act(std::size_t owner) {
    if (this->Chance(50)) this->seen[owner] = this->scene.record;
    AssemblyInput input = this->scene.Input();
    input.record = this->seen[owner];
    const AssemblyOutput output = this->owners[owner].Step(input, this->scene.Now());
    this->CheckSummaries(output, input);
    for (const AssignmentCommand& command : output.commands) {
      if (this->Chance(80)) this->scene.fleet.Obey(command, this->scene.NowSeconds());
    }
    if (!output.proposal) return;
    if (output.proposal->revision != this->scene.record.revision) {
      ++this->lost_races;
      this->seen[owner] = this->scene.record;
      return;
    }
    this->Write(*output.proposal);
    if (this->Chance(80)) this->seen[owner] = this->scene.record;
  }

  void Write(DomainRecord next) {
    ++this->written;
    std::set<VmId> members;
    for (const GroupRecord& group : next.groups) {
      for (const VmId& vm : group.members) {
        CPPUNIT_ASSERT_MESSAGE(vm.value + " is in two groups", members.insert(vm).second);
      }
      const auto& before = this->scene.record.groups;
      const bool kept = std::find(before.begin(), before.end(), group) != before.end();
      CPPUNIT_ASSERT_MESSAGE("a generation repeats",
                             kept || this->generations.insert(group.generation).second);
      CPPUNIT_ASSERT(kept || group.generation > this->scene.record.last_generation);
      CPPUNIT_ASSERT(group.generation <= next.last_generation);
    }
    ++next.revision;
    this->scene.record = std::move(next);
  }

  void CheckSummaries(const AssemblyOutput& output, const AssemblyInput& input) {
    for (const SummaryUpdate& update : output.summaries) {
      if (update.summary.state != GroupState::kServing) continue;
      ++this->serving_seen;
      for (const GroupMember& member : update.summary.members) {
        const auto report = std::find_if(
            input.reports.begin(), input.reports.end(),
            [&member](const ReceivedReport& received) { return received.report.vm == member.vm; });
        CPPUNIT_ASSERT_MESSAGE("a member never reported", report != input.reports.end());
        CPPUNIT_ASSERT_MESSAGE("a member is absent",
                               this->scene.Now() - report->received <= milliseconds(1250));
        CPPUNIT_ASSERT(report->report.state == EngineState::kReady);
        CPPUNIT_ASSERT(report->report.group == update.summary.group);
        CPPUNIT_ASSERT(report->report.generation == update.summary.generation);
        CPPUNIT_ASSERT(update.serve_until <= report->received + seconds(8));
      }
    }
  }

  std::mt19937 random;
  Scene scene;
  std::vector<Assembly<CostPolicy>> owners;
  std::vector<DomainRecord> seen;
  std::set<Generation> generations;
};

class AssemblyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AssemblyTest);
  CPPUNIT_TEST(RacingOwnersKeepTheRules);
  CPPUNIT_TEST(WantedGroupsServe);
  CPPUNIT_TEST(LostMemberClosesTheGroup);
  CPPUNIT_TEST(SpareReplacesALostMember);
  CPPUNIT_TEST(RestartedMemberNeedsANewGeneration);
  CPPUNIT_TEST(ReturningMemberStaysOutside);
  CPPUNIT_TEST(LeavingMemberDrainsTheGroup);
  CPPUNIT_TEST(MovedVmWaitsForOldCommands);
  CPPUNIT_TEST(CheckingEngineIsMovedAtOnce);
  CPPUNIT_TEST(NewOwnerWaitsForItsPredecessorsCommands);
  CPPUNIT_TEST(WrongGenerationIsCommandedAgain);
  CPPUNIT_TEST(ProtectedGroupIsNotBrokenUp);
  CPPUNIT_TEST(LowPriorityGroupIsBrokenUp);
  CPPUNIT_TEST(PausedOwnerDoesNotCloseGroups);
  CPPUNIT_TEST(RemovedModelDrains);
  CPPUNIT_TEST(NoSlotMeansNoLoad);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against double-booked VMs, repeated generations and partial groups that serve.
  void RacingOwnersKeepTheRules() {
    std::random_device device;
    int written = 0;
    int lost_races = 0;
    int serving = 0;
    for (int i = 0; i < 40; ++i) {
      const unsigned seed = i < 20 ? static_cast<unsigned>(i) : device();
      try {
        RacingOwners run(seed);
        run.Run();
        written += run.written;
        lost_races += run.lost_races;
        serving += run.serving_seen;
      } catch (const CppUnit::Exception&) {
        std::cerr << "assembly-test: seed " << seed << "\n";
        throw;
      }
    }
    std::cerr << " " << written << " records, " << lost_races << " lost races ";
    // A schedule without races or serving groups would prove nothing.
    CPPUNIT_ASSERT(written > 100 && lost_races > 100 && serving > 1000);
  }

  // Guards against a domain that never gets its groups together.
  void WantedGroupsServe() {
    Scene scene(10);
    const AssemblyOutput last = scene.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(2, Scene::Serving(last, "plan"));
    CPPUNIT_ASSERT_EQUAL(2, Scene::Serving(last, "reply"));
  }

  // Guards against new work for a group without all its members (P1).
  void LostMemberClosesTheGroup() {
    Scene scene(10);
    scene.Run(seconds(10));
    const GroupRecord group = scene.Group("plan");
    scene.Lose(group.members[1]);
    const AssemblyOutput last = scene.Run(seconds(2));
    for (const SummaryUpdate& update : last.summaries) {
      if (update.summary.generation != group.generation) continue;
      CPPUNIT_ASSERT(update.summary.state == GroupState::kLost);
    }
  }

  // Guards against waiting for a member although a VM is free.
  void SpareReplacesALostMember() {
    Scene scene(11);
    scene.Run(seconds(10));
    const GroupRecord group = scene.Group("plan");
    scene.Lose(group.members[1]);
    CPPUNIT_ASSERT_EQUAL(2, Scene::Serving(scene.Run(seconds(15)), "plan"));
    CPPUNIT_ASSERT(scene.Group("plan").generation > group.generation);
    CPPUNIT_ASSERT(scene.Group("plan").members[0] == group.members[0]);
  }

  // Guards against mixing a restarted engine with the group as it was before.
  void RestartedMemberNeedsANewGeneration() {
    Scene scene(10);
    scene.Run(seconds(10));
    const GroupRecord group = scene.Group("plan");
    scene.Lose(group.members[0]);
    scene.Return(group.members[0]);
    const AssemblyOutput next = scene.Round();
    CPPUNIT_ASSERT_EQUAL(1, Scene::Serving(next, "plan"));
    scene.Run(seconds(15));
    CPPUNIT_ASSERT(scene.Group("plan").generation > group.generation);
    CPPUNIT_ASSERT(scene.Group("plan").members == group.members);
  }

  // Guards against a member that still counts itself in after a rebuild without it.
  void ReturningMemberStaysOutside() {
    Scene scene(11);
    scene.Run(seconds(10));
    const VmId lost = scene.Group("plan").members[1];
    scene.Lose(lost);
    scene.Run(seconds(15));
    scene.fleet.vms().at(lost).alive = true;  // It was only paused and reports its old group.
    const AssemblyOutput next = scene.Round();
    bool released = false;
    for (const auto& command : next.commands) {
      released = released || (command.vm == lost && command.group.group.value.empty());
    }
    CPPUNIT_ASSERT(released);
  }

  // Guards against a planned stop that interrupts requests (P7) or gets new ones (P6).
  void LeavingMemberDrainsTheGroup() {
    Scene scene(11);
    scene.Run(seconds(10));
    const GroupRecord group = scene.Group("plan");
    scene.running = 2;
    scene.fleet.vms().at(group.members[2]).leaving = true;
    const AssemblyOutput busy = scene.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(1, Scene::Serving(busy, "plan"));
    CPPUNIT_ASSERT(scene.Group("plan") == group);
    scene.running = 0;
    CPPUNIT_ASSERT_EQUAL(2, Scene::Serving(scene.Run(seconds(15)), "plan"));
    CPPUNIT_ASSERT(scene.Group("plan").members[2] != group.members[2]);
  }

  // Returns how long the first command to a moved VM took after the record had moved it.
  static milliseconds TimeUntilMoved(bool checks_generation) {
    Document document = TwoModels();
    document.policy.engines_check_generation = checks_generation;
    Scene scene(10, document);
    scene.Run(seconds(1));  // Commands for the first groups have just been sent.
    return TimeUntilMoved(scene);
  }

  static milliseconds TimeUntilMoved(Scene& scene) {
    const VmId moved = scene.Group("reply").members[0];
    scene.record.groups.clear();
    GroupRecord group{GroupId("ennis-1/other"),
                      ++scene.record.last_generation,
                      ModelName("reply"),
                      ModelVersion("1"),
                      {moved, VmId("ennis-1-vm9")}};
    scene.record.groups.push_back(group);
    ++scene.record.revision;
    const milliseconds start = scene.at;
    while (scene.at < start + seconds(20)) {
      const milliseconds now = scene.at;
      for (const auto& command : scene.Round().commands) {
        if (command.vm == moved && command.group.group == group.group) return now - start;
      }
    }
    return seconds(20);
  }

  // Guards against an older command that arrives after the newer one.
  void MovedVmWaitsForOldCommands() {
    const milliseconds waited = TimeUntilMoved(false);
    CPPUNIT_ASSERT(waited >= milliseconds(4500));
    CPPUNIT_ASSERT(waited < seconds(7));
  }

  // Guards against needless waiting where engines refuse old generations themselves.
  void CheckingEngineIsMovedAtOnce() { CPPUNIT_ASSERT(TimeUntilMoved(true) == milliseconds(0)); }

  // Guards against a former owner's command that arrives after the new owner's.
  void NewOwnerWaitsForItsPredecessorsCommands() {
    for (const bool record_is_read : {true, false}) {
      Scene scene(10);
      scene.Run(seconds(20));
      scene.core = Assembly<CostPolicy>::Create(Scene::Options(), CostPolicy{});
      AssemblyInput input = scene.Input();
      // Without the platform the record is put together from summaries and has no revision.
      if (!record_is_read) input.record.revision = 0;
      scene.core.Step(input, scene.Now());
      CPPUNIT_ASSERT(TimeUntilMoved(scene) >= milliseconds(5250));
    }
  }

  // Guards against an engine that obeyed an old command and then serves with another group.
  void WrongGenerationIsCommandedAgain() {
    Scene scene(10);
    scene.Run(seconds(10));
    const GroupRecord group = scene.Group("plan");
    scene.fleet.vms().at(group.members[1]).group.generation = 999;
    const AssemblyOutput next = scene.Round();
    CPPUNIT_ASSERT_EQUAL(1, Scene::Serving(next, "plan"));
    bool commanded = false;
    for (const auto& command : next.commands) {
      commanded = commanded || (command.vm == group.members[1] && command.group == group);
    }
    CPPUNIT_ASSERT(commanded);
  }

  // Guards against breaking up the last groups that the document protects.
  void ProtectedGroupIsNotBrokenUp() {
    Document document = TwoModels();
    document.models[1].min_groups = 2;
    Scene scene(10, document);
    scene.Run(seconds(10));
    scene.Lose(scene.Group("plan").members[1]);
    CPPUNIT_ASSERT_EQUAL(2, Scene::Serving(scene.Run(seconds(120)), "reply"));
  }

  // Guards against a high-priority group that stays down beside idle-able lower ones.
  void LowPriorityGroupIsBrokenUp() {
    Scene scene(10);
    scene.Run(seconds(10));
    scene.Lose(scene.Group("plan").members[1]);
    const AssemblyOutput last = scene.Run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(2, Scene::Serving(last, "plan"));
    CPPUNIT_ASSERT_EQUAL(1, Scene::Serving(last, "reply"));
  }

  // Guards against an owner that takes its own pause for the loss of all VMs.
  void PausedOwnerDoesNotCloseGroups() {
    Scene scene(10);
    scene.Run(seconds(10));
    AssemblyInput stale = scene.Input();
    scene.at += seconds(30);
    const AssemblyOutput output = scene.core.Step(stale, scene.Now());
    CPPUNIT_ASSERT(!output.proposal);
    CPPUNIT_ASSERT(output.summaries.empty());
  }

  // Guards against dropping requests when an operator removes a model.
  void RemovedModelDrains() {
    Scene scene(10);
    scene.Run(seconds(10));
    scene.running = 1;
    scene.document.models.pop_back();
    const AssemblyOutput busy = scene.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, scene.record.groups.size());
    CPPUNIT_ASSERT_EQUAL(1, Scene::Serving(busy, "reply"));
    scene.running = 0;
    scene.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, scene.record.groups.size());
  }

  // Guards against loads beyond the weight store's limit.
  void NoSlotMeansNoLoad() {
    Scene scene(10);
    AssemblyInput input = scene.Input();
    input.slots_held = 1;
    const AssemblyOutput output = scene.core.Step(input, scene.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, output.proposal->groups.size());
    CPPUNIT_ASSERT(output.slots_needed > 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AssemblyTest);

}  // namespace
}  // namespace limpetfall
