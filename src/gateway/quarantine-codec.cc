#include "gateway/quarantine-codec.h"

#include <nlohmann/json.hpp>

#include "base/bounded-json.h"

namespace limpetfall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

}  // namespace

std::string EncodeQuarantines(const std::vector<Quarantine>& quarantines, TimePoint now,
                              WallTime wall_now) {
  auto entries = nlohmann::json::array();
  for (const Quarantine& quarantine : quarantines) {
    const WallTime until = wall_now + TimeLeft(quarantine.until, now);
    entries.push_back(
        {{"causes", quarantine.causes},
         {"revision", quarantine.revision},
         {"lifted", quarantine.lifted},
         {"until_ms", duration_cast<milliseconds>(until.time_since_epoch()).count()}});
  }
  return nlohmann::json{{"quarantines", std::move(entries)}}.dump();
}

Result<std::vector<Quarantine>> DecodeQuarantines(const std::string& text, TimePoint now,
                                                  WallTime wall_now) {
  try {
    std::vector<Quarantine> quarantines;
    const auto document = ParseBoundedJson(text);
    const auto wall_now_ms = duration_cast<milliseconds>(wall_now.time_since_epoch()).count();
    for (const auto& entry : document.at("quarantines")) {
      Quarantine quarantine;
      quarantine.causes = MakeCauses(entry.at("causes").get<std::vector<CauseId>>());
      quarantine.revision = entry.at("revision").get<std::uint32_t>();
      quarantine.lifted = entry.at("lifted").get<bool>();
      quarantine.until = now + Milliseconds(entry.at("until_ms").get<std::int64_t>() - wall_now_ms);
      quarantines.push_back(std::move(quarantine));
    }
    return quarantines;
  } catch (const std::exception& error) {
    return NotRun(ErrorCode::kInvalidArgument,
                  std::string("malformed quarantines: ") + error.what());
  }
}

}  // namespace limpetfall
