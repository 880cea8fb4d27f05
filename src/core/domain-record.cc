#include "core/domain-record.h"

#include <nlohmann/json.hpp>
#include <set>

namespace limpetfall {
namespace {

using nlohmann::json;

json ToJson(const GroupRecord& group) {
  json members = json::array();
  for (const VmId& vm : group.members) members.push_back(vm.value);
  return {{"group", group.group.value},
          {"generation", group.generation},
          {"model", group.model.value},
          {"version", group.version.value},
          {"members", std::move(members)}};
}

GroupRecord GroupFromJson(const json& value) {
  GroupRecord group{GroupId(value.at("group").get<std::string>()),
                    value.at("generation").get<Generation>(),
                    ModelName(value.at("model").get<std::string>()),
                    ModelVersion(value.at("version").get<std::string>()),
                    {}};
  for (const json& vm : value.at("members")) group.members.emplace_back(vm.get<std::string>());
  return group;
}

bool IsConsistent(const DomainRecord& record) {
  std::set<VmId> members;
  std::set<GroupId> groups;
  for (const GroupRecord& group : record.groups) {
    if (group.generation > record.last_generation) return false;
    if (!groups.insert(group.group).second) return false;
    for (const VmId& vm : group.members) {
      if (!members.insert(vm).second) return false;
    }
  }
  return true;
}

}  // namespace

std::string DomainRecordKey(const DomainId& domain) {
  return "/limpetfall/domains/" + domain.value;
}

std::string SerializeDomainRecord(const DomainRecord& record, const std::string& writer) {
  json groups = json::array();
  for (const GroupRecord& group : record.groups) groups.push_back(ToJson(group));
  return json{{"domain", record.domain.value},
              {"last_generation", record.last_generation},
              {"writer", writer},
              {"groups", std::move(groups)}}
      .dump();
}

Result<StoredDomainRecord> ParseDomainRecord(const std::string& text, std::int64_t revision) {
  try {
    const json value = json::parse(text);
    StoredDomainRecord stored;
    stored.record.domain = DomainId(value.at("domain").get<std::string>());
    stored.record.revision = revision;
    stored.record.last_generation = value.at("last_generation").get<Generation>();
    stored.writer = value.at("writer").get<std::string>();
    for (const json& group : value.at("groups")) {
      stored.record.groups.push_back(GroupFromJson(group));
    }
    if (!IsConsistent(stored.record)) {
      return NotRun(ErrorCode::kInternal,
                    "domain record lists a VM or group twice, or a "
                    "generation above last_generation");
    }
    return stored;
  } catch (const json::exception& error) {
    return NotRun(ErrorCode::kInternal, std::string("domain record: ") + error.what());
  }
}

}  // namespace limpetfall
