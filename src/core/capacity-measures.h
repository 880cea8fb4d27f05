#ifndef LIMPETFALL_CORE_CAPACITY_MEASURES_H_
#define LIMPETFALL_CORE_CAPACITY_MEASURES_H_

#include <vector>

#include "core/document.h"
#include "core/types.h"

namespace limpetfall {

/** Target and serving groups of one model at one point in time. */
struct ModelCapacity {
  ModelName model;
  int wanted = 0;
  int serving = 0;

  friend bool operator==(const ModelCapacity&, const ModelCapacity&) = default;
};

/** The two capacity measures at one point in time: missing groups and stranded VMs. */
struct CapacityMeasures {
  std::vector<ModelCapacity> models;  ///< In the order of the document.
  int stranded_vms = 0;               ///< VMs, except leaving ones, that are in no serving group.

  friend bool operator==(const CapacityMeasures&, const CapacityMeasures&) = default;
};

/**
 * Counts target and serving groups and stranded VMs. A leaving VM does not count as stranded.
 *
 *     auto measures = MeasureCapacity(document, *vms, table.Serving(now));
 */
CapacityMeasures MeasureCapacity(const Document& document, const std::vector<Vm>& vms,
                                 const std::vector<GroupSummary>& serving);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_CAPACITY_MEASURES_H_
