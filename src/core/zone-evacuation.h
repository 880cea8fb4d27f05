#ifndef LIMPETFALL_CORE_ZONE_EVACUATION_H_
#define LIMPETFALL_CORE_ZONE_EVACUATION_H_

#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "core/state-mirror.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** An operator's request that nothing be sent to the upstreams of a zone, or its end. */
struct ZoneEvacuation {
  ZoneId zone;
  bool requested = true;

  friend bool operator==(const ZoneEvacuation&, const ZoneEvacuation&) = default;
};

struct ZoneEvacuationOptions {
  /** Time after a restore of the store within which its writers write again. */
  Milliseconds rewrite_time{2200};
};

/**
 * The availability zones that are evacuated, as the store says. A store that was restored from an
 * older copy may lack an evacuation that is in force, which therefore ends only when its writer has
 * had time to write it again. Performs no I/O.
 *
 *     evacuations.Apply(change, revision, origin, now);
 *     for (const ZoneId& zone : evacuations.ApplyDue(now)) ...  // Has ended.
 */
class ZoneEvacuations {
 public:
  explicit ZoneEvacuations(ZoneEvacuationOptions settings = {}) : options(settings) {}

  /** Applies a change in the store. Returns whether the set of evacuated zones has changed. */
  bool Apply(const ZoneEvacuation& change, StoreRevision revision, ChangeOrigin origin,
             TimePoint now) {
    if (change.requested) {
      this->ends.erase(change.zone);
      return this->in_force.insert_or_assign(change.zone, revision).second;
    }
    if (!this->in_force.contains(change.zone)) return false;
    if (origin == ChangeOrigin::kRestored) {
      this->ends.emplace(change.zone, now + this->options.rewrite_time);
      return false;
    }
    this->End(change.zone, now);
    return true;
  }

  /** Ends the evacuations that a restored store lacks and that were not written again. Returns
   * their zones. */
  std::vector<ZoneId> ApplyDue(TimePoint now) {
    std::vector<ZoneId> ended;
    for (const auto& [zone, end] : this->ends) {
      if (end <= now) ended.push_back(zone);
    }
    for (const ZoneId& zone : ended) this->End(zone, now);
    return ended;
  }

  /** Returns the evacuated zones with the revisions at which the store has held them. */
  [[nodiscard]] const std::map<ZoneId, StoreRevision>& zones() const { return this->in_force; }

  /** Returns when evacuations have ended. Upstreams there may have turned cold meanwhile. */
  [[nodiscard]] const std::map<ZoneId, TimePoint>& ended() const { return this->ended_at; }

 private:
  void End(const ZoneId& zone, TimePoint now) {
    this->in_force.erase(zone);
    this->ends.erase(zone);
    this->ended_at[zone] = now;
  }

  ZoneEvacuationOptions options;
  std::map<ZoneId, StoreRevision> in_force;
  std::map<ZoneId, Deadline> ends;  ///< Of evacuations that a restored store lacks.
  std::map<ZoneId, TimePoint> ended_at;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_ZONE_EVACUATION_H_
