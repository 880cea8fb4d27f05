#ifndef LIMPETFALL_CORE_DEMAND_METER_H_
#define LIMPETFALL_CORE_DEMAND_METER_H_

#include <algorithm>
#include <cmath>
#include <map>

#include "base/ids.h"
#include "limpetfall/time.h"

namespace limpetfall {

/**
 * Estimates how many engine slots the requests for each model would occupy if none were refused:
 * the arrival rate times the service time (Little's law).
 *
 *     meter.OnArrival(model, now);
 *     meter.OnServed(model, ended - started);
 */
class DemandMeter {
 public:
  void OnArrival(const ModelName& model, TimePoint now) {
    Entry& entry = this->models[model];
    entry.Decay(now);
    if (entry.since == TimePoint()) entry.since = now;
    entry.arrivals += 1;
  }

  void OnServed(const ModelName& model, std::chrono::duration<double> time) {
    Entry& entry = this->models[model];
    constexpr double kSmoothing = 0.05;
    const double weight = entry.seconds == 0 ? 1 : kSmoothing;
    entry.seconds += weight * (time.count() - entry.seconds);
  }

  /**
   * Returns the demanded slots by model, for models whose first arrival is at least the warm-up
   * time ago. Short requests finish first, so an earlier estimate of the service time is too low.
   */
  [[nodiscard]] std::map<ModelName, double> Places(TimePoint now) {
    std::map<ModelName, double> places;
    for (auto& [model, entry] : this->models) {
      entry.Decay(now);
      const std::chrono::duration<double> age = now - entry.since;
      if (entry.seconds == 0 || entry.since == TimePoint() || age.count() < kWarmUpS) continue;
      const double remembered = kMemoryS * (1 - std::exp(-age.count() / kMemoryS));
      places[model] = entry.arrivals / remembered * entry.seconds;
    }
    return places;
  }

 private:
  // Much longer than the gaps between requests, much shorter than rebuilding a group.
  static constexpr double kMemoryS = 3;

  // Long enough for the longest requests, which take several seconds.
  static constexpr double kWarmUpS = 6;

  struct Entry {
    double arrivals = 0;  ///< Decayed with kMemoryS, so that `arrivals / kMemoryS` is the rate.
    double seconds = 0;   ///< Smoothed service time.
    TimePoint since;      ///< First arrival.
    TimePoint updated;

    void Decay(TimePoint now) {
      const std::chrono::duration<double> passed = now - this->updated;
      if (this->updated != TimePoint()) this->arrivals *= std::exp(-passed.count() / kMemoryS);
      this->updated = now;
    }
  };

  std::map<ModelName, Entry> models;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_DEMAND_METER_H_
