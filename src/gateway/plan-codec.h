#ifndef LIMPETFALL_GATEWAY_PLAN_CODEC_H_
#define LIMPETFALL_GATEWAY_PLAN_CODEC_H_

#include <string>

#include "core/group-planner.h"
#include "core/state-mirror.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Encodes a plan as JSON, without the revision, which the store assigns. */
std::string EncodePlan(const GroupPlan& plan);

/** Decodes the plan that the store holds at `revision`. */
Result<GroupPlan> DecodePlan(const std::string& text, StoreRevision revision,
                             ChangeOrigin origin = ChangeOrigin::kWritten);

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_PLAN_CODEC_H_
