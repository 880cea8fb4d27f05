#ifndef LIMPETFALL_GATEWAY_QUARANTINE_CODEC_H_
#define LIMPETFALL_GATEWAY_QUARANTINE_CODEC_H_

#include <chrono>
#include <string>
#include <vector>

#include "core/crash-attribution.h"
#include "limpetfall/result.h"

namespace limpetfall {

using WallTime = std::chrono::system_clock::time_point;

/** Encodes quarantines for the store, where they outlive all nodes. `now` and `wall_now` are the
 * same moment. */
std::string EncodeQuarantines(const std::vector<Quarantine>& quarantines, TimePoint now,
                              WallTime wall_now);

Result<std::vector<Quarantine>> DecodeQuarantines(const std::string& text, TimePoint now,
                                                  WallTime wall_now);

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_QUARANTINE_CODEC_H_
