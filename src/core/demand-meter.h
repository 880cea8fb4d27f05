#ifndef LIMPETFALL_CORE_DEMAND_METER_H_
#define LIMPETFALL_CORE_DEMAND_METER_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <utility>

#include "base/ids.h"
#include "limpetfall/time.h"

namespace limpetfall {

/**
 * Estimates how many engine slots the requests for each model would occupy if none were refused:
 * the arrival rate times the service time (Little's law). The service time is the larger one of the
 * measured time and of the time that the requests would take while all slots are in use. With the
 * measured time alone, the model seems to need less the more groups it has.
 *
 *     meter.OnArrival(model, now, FullLoadTime(engine, served_model, tokens));
 *     meter.OnServed(model, ended - started);
 */
class DemandMeter {
 public:
  /** `full_load_time` is zero if it is not known. */
  void OnArrival(const ModelName& model, TimePoint now,
                 std::chrono::duration<double> full_load_time = {}) {
    Entry& entry = this->models[model];
    entry.Decay(now);
    if (entry.first_arrival == TimePoint()) entry.first_arrival = now;
    entry.decayed_arrivals += 1;
    entry.decayed_full_load_s += full_load_time.count();
  }

  void OnServed(const ModelName& model, std::chrono::duration<double> time) {
    Entry& entry = this->models[model];
    constexpr double kSmoothing = 0.05;
    const double weight = entry.service_time_s == 0 ? 1 : kSmoothing;
    entry.service_time_s += weight * (time.count() - entry.service_time_s);
  }

  /**
   * Returns the demanded slots by model, for models whose first arrival is at least the warm-up
   * time ago. Short requests finish first, so an earlier estimate of the service time is too low.
   */
  [[nodiscard]] std::map<ModelName, double> DemandedSlots(TimePoint now) {
    std::map<ModelName, double> slots;
    for (auto& [model, entry] : this->models) {
      entry.Decay(now);
      const std::chrono::duration<double> age = now - entry.first_arrival;
      if (entry.service_time_s == 0 || entry.first_arrival == TimePoint() || age.count() < kWarmUpS)
        continue;
      const double decay_window_s = kDecayTimeS * (1 - std::exp(-age.count() / kDecayTimeS));
      slots[model] =
          std::max(entry.decayed_arrivals * entry.service_time_s, entry.decayed_full_load_s) /
          decay_window_s;
    }
    return slots;
  }

 private:
  // Much longer than the gaps between requests, much shorter than rebuilding a group.
  static constexpr double kDecayTimeS = 3;

  // Long enough for the longest requests, which take several seconds.
  static constexpr double kWarmUpS = 6;

  struct Entry {
    /** Decays with kDecayTimeS, so that `decayed_arrivals / kDecayTimeS` is the arrival rate. */
    double decayed_arrivals = 0;
    double decayed_full_load_s = 0;  ///< Sum over the arrivals; decays like them.
    double service_time_s = 0;       ///< Exponentially smoothed.
    TimePoint first_arrival;
    TimePoint updated;

    void Decay(TimePoint now) {
      const std::chrono::duration<double> passed = now - this->updated;
      if (this->updated != TimePoint()) {
        const double factor = std::exp(-passed.count() / kDecayTimeS);
        this->decayed_arrivals *= factor;
        this->decayed_full_load_s *= factor;
      }
      this->updated = now;
    }
  };

  std::map<ModelName, Entry> models;
};

/**
 * Highest demand of each model in the recent past, in slots.
 *
 * Answers the load of a wave: groups that are given up in a trough take seconds to rebuild, and
 * would be missing at the next crest. Requests in flight are the least demand, because the service
 * time of long requests is known only when they end.
 *
 *     const std::map<ModelName, double>& wanted = peak.Update(measured, in_flight, now);
 */
class DemandPeak {
 public:
  /** Records the demand of the models that are measured. Returns the highest one of each within
   * the window. */
  const std::map<ModelName, double>& Update(std::map<ModelName, double> current,
                                            const std::map<ModelName, int>& in_flight,
                                            TimePoint now) {
    for (auto& [model, demand] : current) {
      if (const auto load = in_flight.find(model); load != in_flight.end())
        demand = std::max<double>(demand, load->second);
    }
    if (this->intervals.empty() || this->intervals.back().until <= now)
      this->intervals.push_back({now + kInterval, {}});
    std::map<ModelName, double>& latest = this->intervals.back().highest;
    for (const auto& [model, demand] : current) latest[model] = std::max(latest[model], demand);
    while (this->intervals.front().until + kWindow <= now) this->intervals.pop_front();
    this->highest = std::move(current);
    for (const Interval& interval : this->intervals) {
      for (const auto& [model, demand] : interval.highest) {
        const auto found = this->highest.find(model);
        if (found != this->highest.end()) found->second = std::max(found->second, demand);
      }
    }
    return this->highest;
  }

 private:
  static constexpr Milliseconds kInterval{500};

  // Covers the trough of waves with a period of up to half a minute.
  static constexpr Milliseconds kWindow{15'000};

  struct Interval {
    Deadline until;
    std::map<ModelName, double> highest;
  };

  std::deque<Interval> intervals;
  std::map<ModelName, double> highest;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_DEMAND_METER_H_
