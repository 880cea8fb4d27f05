#include "core/demand-meter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "core/engine-load.h"

namespace limpetfall {
namespace {

const ModelName kModel("folds");

class DemandMeterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemandMeterTest);
  CPPUNIT_TEST(DemandedSlotsAreArrivalRateTimesServiceTime);
  CPPUNIT_TEST(RefusedRequestsCountAsDemand);
  CPPUNIT_TEST(DemandDecaysWithoutArrivals);
  CPPUNIT_TEST(NoDemandIsReportedBeforeFirstServedRequest);
  CPPUNIT_TEST(NoDemandIsReportedDuringWarmUp);
  CPPUNIT_TEST(DemandDoesNotFallWithTheLoadOfGroups);
  CPPUNIT_TEST(FullLoadTimeCountsPromptsOfAllSlots);
  CPPUNIT_TEST(PeakOutlastsTroughOfWave);
  CPPUNIT_TEST(PeakOfEndedBurstIsForgotten);
  CPPUNIT_TEST(RequestsInFlightAreLeastDemand);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an estimate that does not match a steady load of one model.
  void DemandedSlotsAreArrivalRateTimesServiceTime() {
    DemandMeter meter;
    TimePoint now{std::chrono::seconds(100)};
    for (int i = 0; i < 2000; ++i) {
      now += Milliseconds(10);
      meter.OnArrival(kModel, now);
      meter.OnServed(kModel, std::chrono::milliseconds(500));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, meter.DemandedSlots(now).at(kModel), 3);
  }

  // Guards against a model that appears idle because its requests are refused after groups were
  // lost.
  void RefusedRequestsCountAsDemand() {
    DemandMeter meter;
    TimePoint now{std::chrono::seconds(100)};
    meter.OnServed(kModel, std::chrono::milliseconds(1000));
    for (int i = 0; i < 1000; ++i) {
      now += Milliseconds(20);
      meter.OnArrival(kModel, now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, meter.DemandedSlots(now).at(kModel), 3);
  }

  // Guards against capacity that stays reserved after the end of a burst.
  void DemandDecaysWithoutArrivals() {
    DemandMeter meter;
    TimePoint now{std::chrono::seconds(100)};
    for (int i = 0; i < 700; ++i) {
      now += Milliseconds(10);
      meter.OnArrival(kModel, now);
      meter.OnServed(kModel, std::chrono::milliseconds(1000));
    }
    const double before = meter.DemandedSlots(now).at(kModel);
    CPPUNIT_ASSERT(meter.DemandedSlots(now + std::chrono::seconds(12)).at(kModel) < before / 20);
  }

  // Guards against reporting an unknown demand as zero at the start of traffic.
  void NoDemandIsReportedBeforeFirstServedRequest() {
    DemandMeter meter;
    meter.OnArrival(kModel, TimePoint(std::chrono::seconds(1)));
    CPPUNIT_ASSERT(meter.DemandedSlots(TimePoint(std::chrono::seconds(9))).empty());
  }

  // Guards against groups that are dissolved in the first seconds of traffic, when only the
  // shortest requests have finished (quiet-1 of odalaigh-fold-grown: 11 groups became 2).
  void NoDemandIsReportedDuringWarmUp() {
    DemandMeter meter;
    TimePoint now{std::chrono::seconds(100)};
    for (int i = 0; i < 590; ++i) {
      now += Milliseconds(10);
      meter.OnArrival(kModel, now);
      meter.OnServed(kModel, std::chrono::milliseconds(500));
      CPPUNIT_ASSERT(meter.DemandedSlots(now).empty());
    }
    for (int i = 0; i < 20; ++i) {
      now += Milliseconds(10);
      meter.OnArrival(kModel, now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, meter.DemandedSlots(now).at(kModel), 3);
  }

  // Guards against a model that seems to need a third of its groups, because requests are fast
  // while all of these serve (trouble-3 of zhw-limpetfall-grown: 1.2 groups wanted, 3.9 needed).
  void DemandDoesNotFallWithTheLoadOfGroups() {
    DemandMeter meter;
    TimePoint now{std::chrono::seconds(100)};
    for (int i = 0; i < 2000; ++i) {
      now += Milliseconds(10);
      meter.OnArrival(kModel, now, std::chrono::seconds(3));
      meter.OnServed(kModel, std::chrono::seconds(1));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(300, meter.DemandedSlots(now).at(kModel), 15);
  }

  // Guards against an estimate that ignores that a group stands still while it reads a prompt, and
  // against invalid counts.
  void FullLoadTimeCountsPromptsOfAllSlots() {
    EngineProfile engine;
    engine.slots = 48;
    CPPUNIT_ASSERT(FullLoadTime(engine, kModel, {1000, 0}).count() == 0);
    engine.step_ms = 6;
    engine.step_ms_per_request = 0.125;
    engine.prefill_tokens_per_ms = 50;
    engine.typical_prompt_tokens = 500;
    engine.typical_answer_tokens = 100;
    engine.models = {{kModel, 12, 0.5, 0.5, Milliseconds(0), Milliseconds(0)}};
    const auto seconds = [&](const TokenCounts& tokens) {
      return FullLoadTime(engine, kModel, tokens).count();
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.84, seconds({}), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.54, seconds({1000, 10}), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.84, seconds({-5, 1 << 30}), 1e-9);
    CPPUNIT_ASSERT(seconds({std::int64_t{1} << 62, 0}) < 1e6);
    CPPUNIT_ASSERT(FullLoadTime(engine, ModelName("other"), {}).count() == 0);
  }

  // Guards against groups that are given up in each trough of a wave of 55 % with a period of 13 s,
  // and are missing at the next crest.
  void PeakOutlastsTroughOfWave() {
    DemandPeak peak;
    const TimePoint start{std::chrono::seconds(100)};
    for (int ms = 0; ms < 60'000; ms += 100) {
      const double demand = 100 * (1 + 0.55 * std::sin(2 * 3.14159265 * ms / 13'000));
      const auto& wanted = peak.Update({{kModel, demand}}, {}, start + Milliseconds(ms));
      if (ms > 13'000) CPPUNIT_ASSERT(wanted.at(kModel) > 153);
    }
  }

  // Guards against capacity that stays reserved for the rest of the day after one burst.
  void PeakOfEndedBurstIsForgotten() {
    DemandPeak peak;
    const TimePoint now{std::chrono::seconds(100)};
    peak.Update({{kModel, 100}}, {}, now);
    const auto& wanted = peak.Update({{kModel, 10}}, {}, now + std::chrono::seconds(17));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, wanted.at(kModel), 1e-9);
  }

  // Guards against a model that seems to need less than it occupies, because its long requests have
  // not ended yet.
  void RequestsInFlightAreLeastDemand() {
    DemandPeak peak;
    const TimePoint now{std::chrono::seconds(100)};
    const ModelName unmeasured("other");
    const auto& wanted = peak.Update({{kModel, 20}}, {{kModel, 96}, {unmeasured, 7}}, now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(96, wanted.at(kModel), 1e-9);
    CPPUNIT_ASSERT(!wanted.contains(unmeasured));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandMeterTest);

}  // namespace
}  // namespace limpetfall
