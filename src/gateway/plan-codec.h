#ifndef LIMPETFALL_GATEWAY_PLAN_CODEC_H_
#define LIMPETFALL_GATEWAY_PLAN_CODEC_H_

#include <string>

#include "core/group-planner.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Encodes the groups as JSON, without the revision, which the store assigns. */
std::string EncodePlan(const GroupPlan& plan);

Result<GroupPlan> DecodePlan(const std::string& text, std::int64_t revision);

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_PLAN_CODEC_H_
