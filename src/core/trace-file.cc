#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "core/replay.h"

namespace limpetfall {
namespace {

using nlohmann::json;

template <typename Name>
std::vector<Name> NamesFromJson(const json& value, const char* field) {
  std::vector<Name> names;
  for (const json& name : value.value(field, json::array())) {
    names.emplace_back(name.get<std::string>());
  }
  return names;
}

Priority PriorityFromJson(const std::string& text) {
  if (text == "high") return Priority::kHigh;
  return text == "low" ? Priority::kLow : Priority::kNormal;
}

ModelSpec ModelFromJson(const json& value) {
  ModelSpec model;
  model.name = ModelName(value.at("name").get<std::string>());
  model.versions = NamesFromJson<ModelVersion>(value, "versions");
  model.vms_per_group = value.at("vms_per_group").get<int>();
  model.groups = value.at("groups").get<int>();
  model.min_groups = value.value("min_groups", 0);
  model.priority = PriorityFromJson(value.value("priority", "normal"));
  model.zones = NamesFromJson<ZoneId>(value, "zones");
  return model;
}

PolicySpec PolicyFromJson(const json& value) {
  PolicySpec policy;
  policy.group_downtime_weight = value.value("group_downtime_weight", policy.group_downtime_weight);
  policy.member_restart_wait_ms =
      value.value("member_restart_wait_ms", policy.member_restart_wait_ms);
  policy.spare_vms_per_domain = value.value("spare_vms_per_domain", policy.spare_vms_per_domain);
  policy.weight_store_slots = value.value("weight_store_slots", policy.weight_store_slots);
  policy.engines_check_generation =
      value.value("engines_check_generation", policy.engines_check_generation);
  return policy;
}

// A trace contains only the fields of the operators' document that the assembly planner reads.
Document DocumentFromJson(const json& value) {
  Document document;
  for (const json& model : value.at("models")) document.models.push_back(ModelFromJson(model));
  document.policy = PolicyFromJson(value.value("policy", json::object()));
  return document;
}

TraceEventKind KindFromText(const std::string& text) {
  static const std::map<std::string, TraceEventKind> kinds = {
      {"vm_lost", TraceEventKind::kVmLost},
      {"vm_back", TraceEventKind::kVmReturned},
      {"vm_leaving", TraceEventKind::kVmLeaving},
      {"vm_removed", TraceEventKind::kVmRemoved},
      {"vm_added", TraceEventKind::kVmAdded},
      {"vm_slow", TraceEventKind::kVmSlow},
      {"domain_dark", TraceEventKind::kDomainLost},
      {"domain_back", TraceEventKind::kDomainReturned},
      {"surge", TraceEventKind::kSurge},
      {"document", TraceEventKind::kDocument},
      {"slots", TraceEventKind::kSlots},
      {"expect", TraceEventKind::kExpect}};
  const auto found = kinds.find(text);
  if (found == kinds.end()) throw std::invalid_argument("unknown event " + text);
  return found->second;
}

TraceEvent EventFromJson(const json& value) {
  TraceEvent event;
  event.at = value.at("at").get<double>();
  event.kind = KindFromText(value.at("event").get<std::string>());
  event.vm = VmId(value.value("vm", ""));
  event.domain = DomainId(value.value("domain", ""));
  event.zone = ZoneId(value.value("zone", ""));
  event.team = TeamName(value.value("team", ""));
  event.model = ModelName(value.value("model", ""));
  event.same_engine = value.value("same_engine", false);
  event.factor = value.value("factor", 1.0);
  event.count = value.value("count", 0);
  if (event.kind == TraceEventKind::kDocument) {
    event.document = DocumentFromJson(value.at("document"));
  }
  return event;
}

Trace StartFromJson(const json& value) {
  Trace trace;
  trace.name = value.at("trace").get<std::string>();
  for (const json& domain : value.at("domains")) {
    trace.domains.push_back({DomainId(domain.at("domain").get<std::string>()),
                             ZoneId(domain.at("zone").get<std::string>()),
                             domain.at("vms").get<int>()});
  }
  trace.document = DocumentFromJson(value.at("document"));
  for (const auto& [model, seconds] : value.at("load_s").items()) {
    trace.load_s[ModelName(model)] = seconds.get<double>();
  }
  trace.measure_from = value.value("measure_from", 0.0);
  trace.until = value.at("until").get<double>();
  trace.request_s = value.value("request_s", trace.request_s);
  if (value.contains("max_downtime")) trace.max_downtime = value.at("max_downtime").get<double>();
  if (value.contains("max_stranded")) trace.max_stranded = value.at("max_stranded").get<double>();
  return trace;
}

}  // namespace

Result<Trace> ParseTrace(const std::string& text) {
  std::istringstream lines(text);
  std::string line;
  Trace trace;
  int number = 0;
  try {
    while (std::getline(lines, line)) {
      ++number;
      if (line.empty()) continue;
      const json value = json::parse(line);
      if (number == 1) {
        trace = StartFromJson(value);
      } else {
        trace.events.push_back(EventFromJson(value));
      }
    }
  } catch (const std::exception& error) {
    return NotRun(ErrorCode::kInvalidArgument,
                  "line " + std::to_string(number) + ": " + error.what());
  }
  if (number == 0) return NotRun(ErrorCode::kInvalidArgument, "empty trace");
  std::stable_sort(trace.events.begin(), trace.events.end(),
                   [](const TraceEvent& a, const TraceEvent& b) { return a.at < b.at; });
  return trace;
}

Result<Trace> LoadTrace(const std::string& path) {
  std::ifstream file(path);
  if (!file) return NotRun(ErrorCode::kNotFound, path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  auto trace = ParseTrace(text.str());
  if (!trace) return NotRun(trace.error().code, path + ": " + trace.error().message);
  return trace;
}

}  // namespace limpetfall
