#ifndef LIMPETFALL_CORE_CAPACITY_MEASURES_H_
#define LIMPETFALL_CORE_CAPACITY_MEASURES_H_

#include <vector>

#include "core/document.h"
#include "core/types.h"

namespace limpetfall {

/** Groups of one model at one moment. */
struct ModelCapacity {
  ModelName model;
  int wanted = 0;
  int serving = 0;

  friend bool operator==(const ModelCapacity&, const ModelCapacity&) = default;
};

/** What the two measures count at one moment. */
struct CapacityMeasures {
  std::vector<ModelCapacity> models;  ///< In the order of the document.
  int stranded_vms = 0;               ///< Live VMs that are in no serving group.

  friend bool operator==(const CapacityMeasures&, const CapacityMeasures&) = default;
};

/**
 * Counts wanted and serving groups and stranded VMs. A leaving VM is not stranded.
 *
 *     auto measures = MeasureCapacity(document, *vms, table.Serving(now));
 */
CapacityMeasures MeasureCapacity(const Document& document, const std::vector<Vm>& vms,
                                 const std::vector<GroupSummary>& serving);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_CAPACITY_MEASURES_H_
