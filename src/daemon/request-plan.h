#ifndef LIMPETFALL_DAEMON_REQUEST_PLAN_H_
#define LIMPETFALL_DAEMON_REQUEST_PLAN_H_

#include <memory>
#include <string>
#include <vector>

#include "core/document.h"
#include "core/request.h"
#include "core/types.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Rules of the operators' document for one completion. */
struct CompletionPlan {
  ModelVersion version;
  std::vector<ZoneId> zones;  ///< Empty means all zones.
  Priority priority = Priority::kNormal;
  int max_in_flight_per_group = 1;

  friend bool operator==(const CompletionPlan&, const CompletionPlan&) = default;
};

/** Rules of the operators' document for one service call. */
struct ServicePlan {
  std::vector<ZoneId> zones;
  Priority priority = Priority::kNormal;
  bool idempotent = false;
  int max_in_flight_per_upstream = 1;

  friend bool operator==(const ServicePlan&, const ServicePlan&) = default;
};

/** Looks up branch, team, model and version; an error names the rule that refuses the request. */
Result<CompletionPlan> PlanCompletion(const Document& document, const CompletionRequest& request);

Result<ServicePlan> PlanServiceCall(const Document& document, const ServiceCall& call);

}  // namespace limpetfall

#endif  // LIMPETFALL_DAEMON_REQUEST_PLAN_H_
