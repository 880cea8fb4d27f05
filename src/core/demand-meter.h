#ifndef LIMPETFALL_CORE_DEMAND_METER_H_
#define LIMPETFALL_CORE_DEMAND_METER_H_

#include <algorithm>
#include <cmath>
#include <map>

#include "base/ids.h"
#include "limpetfall/time.h"

namespace limpetfall {

/**
 * Measures how many places callers of each model would occupy at once if none were refused: the
 * rate of requests times the time that a served one takes (Little's law).
 *
 *     meter.OnArrival(model, now);
 *     meter.OnServed(model, ended - started);
 */
class DemandMeter {
 public:
  void OnArrival(const ModelName& model, TimePoint now) {
    Entry& entry = this->models[model];
    entry.Decay(now);
    entry.arrivals += 1;
  }

  void OnServed(const ModelName& model, std::chrono::duration<double> time) {
    Entry& entry = this->models[model];
    constexpr double kSmoothing = 0.05;
    const double weight = entry.seconds == 0 ? 1 : kSmoothing;
    entry.seconds += weight * (time.count() - entry.seconds);
  }

  /** Returns the places wanted by model, for models of which a request has been served. */
  [[nodiscard]] std::map<ModelName, double> Places(TimePoint now) {
    std::map<ModelName, double> places;
    for (auto& [model, entry] : this->models) {
      entry.Decay(now);
      if (entry.seconds > 0) places[model] = entry.arrivals / kMemoryS * entry.seconds;
    }
    return places;
  }

 private:
  // Long against the gaps between requests, short against the time in which groups are rebuilt.
  static constexpr double kMemoryS = 3;

  struct Entry {
    double arrivals = 0;  ///< Decayed with kMemoryS, so that `arrivals / kMemoryS` is the rate.
    double seconds = 0;   ///< Smoothed time of a served request.
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
