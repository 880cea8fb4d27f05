#include "gateway/plan-codec.h"

#include <nlohmann/json.hpp>

#include "base/bounded-json.h"

namespace limpetfall {

std::string EncodePlan(const GroupPlan& plan) {
  auto groups = nlohmann::json::array();
  for (const PlannedGroup& group : plan.groups) {
    auto members = nlohmann::json::array();
    for (const VmId& member : group.members) members.push_back(member.value);
    groups.push_back({{"group", group.group.value},
                      {"epoch", group.epoch},
                      {"service", group.service.value},
                      {"model", group.model.value},
                      {"domain", group.domain.value},
                      {"members", std::move(members)},
                      {"started_ms", group.started_ms},
                      {"dissolving", group.dissolving}});
  }
  return nlohmann::json{
      {"era", plan.version.era}, {"sequence", plan.version.sequence}, {"groups", std::move(groups)}}
      .dump();
}

Result<GroupPlan> DecodePlan(const std::string& text, StoreRevision revision, ChangeOrigin origin) {
  try {
    GroupPlan plan;
    plan.revision = revision;
    const auto document = ParseBoundedJson(text);
    // Earlier programs wrote no version. The epochs of their groups are at most the revision.
    const bool is_restored = origin == ChangeOrigin::kRestored;
    plan.version = {is_restored ? revision.era - 1 : revision.era, revision.number};
    if (document.contains("sequence")) {
      plan.version = {ReadWholeNumber<std::int64_t>(document, "era", 0, revision.era),
                      ReadWholeNumber<std::int64_t>(document, "sequence", 0)};
    }
    for (const auto& entry : document.at("groups")) {
      PlannedGroup group;
      group.group = GroupId(entry.at("group").get<std::string>());
      group.epoch = entry.at("epoch").get<Generation>();
      group.service = ServiceName(entry.at("service").get<std::string>());
      group.model = ModelName(entry.at("model").get<std::string>());
      group.domain = DomainId(entry.at("domain").get<std::string>());
      for (const auto& member : entry.at("members")) {
        group.members.emplace_back(member.get<std::string>());
      }
      group.started_ms = entry.at("started_ms").get<std::vector<std::int64_t>>();
      group.dissolving = entry.at("dissolving").get<bool>();
      if (group.started_ms.size() != group.members.size() || group.members.empty()) {
        return NotRun(ErrorCode::kInvalidArgument,
                      "a planned group has no members or not one start time for each member");
      }
      plan.groups.push_back(std::move(group));
    }
    return plan;
  } catch (const std::exception& error) {
    return NotRun(ErrorCode::kInvalidArgument,
                  std::string("malformed group plan: ") + error.what());
  }
}

}  // namespace limpetfall
