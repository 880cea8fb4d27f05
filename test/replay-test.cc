#include "core/replay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace limpetfall {
namespace {

const char* const kInitialState =
    R"({"trace":"t","domains":[{"domain":"d","zone":"z","vms":4}],"until":100,"measure_from":50,)"
    R"("load_s":{"m":10},"document":{"models":[{"name":"m","versions":["1"],)"
    R"("vms_per_group":2,"groups":2,"priority":"high"}]}})"
    "\n";

std::vector<std::string> TraceFiles() {
  const char* source = std::getenv("LIMPETFALL_SOURCE");
  const std::filesystem::path root = source == nullptr ? "." : source;
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(root / "support" / "traces")) {
    if (entry.path().extension() == ".jsonl") files.push_back(entry.path().string());
  }
  std::sort(files.begin(), files.end());
  return files;
}

class ReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplayTest);
  CPPUNIT_TEST(TracesMeetTheirExpectedOutcomes);
  CPPUNIT_TEST(UnmetExpectationIsReportedAsFailure);
  CPPUNIT_TEST(BoundCountsAbsenceAndLoadTimeOfLostVm);
  CPPUNIT_TEST(UnknownEventIsRejectedWithLineNumber);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against decisions that cause more group downtime or stranded VMs than the traces allow.
  void TracesMeetTheirExpectedOutcomes() {
    const auto files = TraceFiles();
    CPPUNIT_ASSERT(files.size() >= 10);
    std::string failures;
    for (const std::string& file : files) {
      auto trace = LoadTrace(file);
      CPPUNIT_ASSERT_MESSAGE(file, trace.has_value());
      CPPUNIT_ASSERT_MESSAGE(file, trace.value().max_downtime && trace.value().max_stranded);
      const ReplayOutcome outcome = RunTrace(trace.value(), ReplayPolicy::kCost, std::nullopt);
      for (const std::string& failure : outcome.failures) failures += failure + "\n";
      const ReplayBound bound = BoundOf(trace.value());
      CPPUNIT_ASSERT_MESSAGE(file, outcome.downtime_group_s >= bound.downtime_group_s);
      CPPUNIT_ASSERT_MESSAGE(file, outcome.stranded_vm_s >= bound.stranded_vm_s);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(failures, std::string(), failures);
  }

  // Guards against expectations that are never checked.
  void UnmetExpectationIsReportedAsFailure() {
    const auto trace = ParseTrace(std::string(kInitialState) +
                                  R"({"at":60,"event":"vm_lost","vm":"d-vm0"})"
                                  "\n"
                                  R"({"at":90,"event":"expect","model":"m","count":2})");
    const ReplayOutcome outcome = RunTrace(trace.value(), ReplayPolicy::kCost, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcome.failures.size());
  }

  // Guards against a bound that is higher than what a policy can reach, or lower than necessary.
  void BoundCountsAbsenceAndLoadTimeOfLostVm() {
    const auto trace =
        ParseTrace(std::string(kInitialState) + R"({"at":60,"event":"vm_lost","vm":"d-vm0"})"
                                                "\n"
                                                R"({"at":70,"event":"vm_back","vm":"d-vm0"})");
    const ReplayBound bound = BoundOf(trace.value());
    // The VM is absent for 10 s and loads for 10 s. One VM is stranded during the absence, two
    // during the load.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, bound.downtime_group_s, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10 + 20, bound.stranded_vm_s, 0.01);
  }

  // Guards against a parser that skips faulty lines without an error.
  void UnknownEventIsRejectedWithLineNumber() {
    const auto trace = ParseTrace(std::string(kInitialState) + R"({"at":1,"event":"vm_lots"})");
    CPPUNIT_ASSERT(trace.error().message.find("line 2: unknown event vm_lots") == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplayTest);

}  // namespace
}  // namespace limpetfall
