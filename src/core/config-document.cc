#include "core/config-document.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

namespace limpetfall {
namespace {

using Json = nlohmann::json;

// Names are part of store keys, header values and metric labels, which must stay short.
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxPathLength = 1024;
constexpr std::string_view kBranchPrefix = "branch/";
constexpr std::array<std::string_view, 4> kNonBranchSections = {"models", "teams", "services",
                                                                "policy"};
constexpr std::array<std::string_view, 7> kHttpMethods = {"DELETE", "GET",  "HEAD", "OPTIONS",
                                                          "PATCH",  "POST", "PUT"};

using ValidationErrors = std::vector<ValidationError>;

std::string ChildPointer(const std::string& pointer, std::string_view name) {
  std::string result = pointer + "/";
  for (const char c : name) {
    if (c == '~') {
      result += "~0";
    } else if (c == '/') {
      result += "~1";
    } else {
      result += c;
    }
  }
  return result;
}

std::string ChildPointer(const std::string& pointer, std::size_t index) {
  return pointer + "/" + std::to_string(index);
}

bool IsName(std::string_view text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= kMaxNameLength && std::ranges::all_of(text, allowed);
}

bool IsEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::string host(text.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string::npos) {
    return false;
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(host, error);
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, parsed] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  return !error && parsed == std::errc() && end == digits.data() + digits.size() && port >= 1 &&
         port <= 65535;
}

bool IsPathPrefix(std::string_view text) {
  return !text.empty() && text.size() <= kMaxPathLength && text.front() == '/' &&
         std::ranges::all_of(text, [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string FormatNumber(double value) { return Json(value).dump(); }

enum class Presence { kRequired, kOptional };

template <typename T>
struct Range {
  T low;
  T high;
};

/** Reads the members of one JSON object and records errors for invalid and unknown members. */
class ObjectReader {
 public:
  ObjectReader(const Json& value, std::string object_pointer, ValidationErrors& error_list)
      : json(value),
        pointer(std::move(object_pointer)),
        errors(error_list),
        initial_error_count(error_list.size()) {
    if (!this->json.is_object()) this->errors.push_back({this->pointer, "must be an object"});
  }

  [[nodiscard]] bool HasNewErrors() const {
    return this->errors.size() > this->initial_error_count;
  }

  const Json* FindMember(std::string_view name, Presence presence) {
    this->known_members.emplace(name);
    if (!this->json.is_object()) return nullptr;
    if (const auto found = this->json.find(name); found != this->json.end()) return &*found;
    if (presence == Presence::kRequired) AddError(name, "is missing");
    return nullptr;
  }

  void AddError(std::string_view name, std::string problem) {
    this->errors.push_back({ChildPointer(this->pointer, name), std::move(problem)});
  }

  std::optional<std::string> ReadString(std::string_view name, Presence presence) {
    const Json* member = FindMember(name, presence);
    if (member == nullptr) return std::nullopt;
    if (member->is_string()) return member->get<std::string>();
    AddError(name, "must be a string");
    return std::nullopt;
  }

  template <typename Tag>
  void ReadName(std::string_view name, Id<Tag>& out, Presence presence = Presence::kRequired) {
    auto text = ReadString(name, presence);
    if (!text) return;
    if (!IsName(*text)) AddError(name, "must be 1 to 64 of A-Z a-z 0-9 . _ -");
    out.value = std::move(*text);
  }

  template <typename Tag>
  void ReadNames(std::string_view name, std::vector<Id<Tag>>& out,
                 Presence presence = Presence::kOptional) {
    const Json* member = FindArray(name, presence);
    if (member == nullptr) return;
    const std::string entry_pointer = ChildPointer(this->pointer, name);
    for (std::size_t i = 0; i < member->size(); ++i) {
      const Json& entry = (*member)[i];
      if (!entry.is_string() || !IsName(entry.get_ref<const std::string&>())) {
        this->errors.push_back(
            {ChildPointer(entry_pointer, i), "must be a string of 1 to 64 of A-Z a-z 0-9 . _ -"});
        continue;
      }
      Id<Tag> id(entry.get<std::string>());
      if (std::ranges::find(out, id) != out.end()) {
        this->errors.push_back({ChildPointer(entry_pointer, i), id.value + " is listed twice"});
        continue;
      }
      out.push_back(std::move(id));
    }
  }

  template <typename T>
  void ReadInteger(std::string_view name, T& out, Range<std::int64_t> range) {
    const Json* member = FindMember(name, Presence::kOptional);
    if (member == nullptr) return;
    if (!member->is_number_integer()) return AddError(name, "must be an integer");
    const bool huge = member->is_number_unsigned() &&
                      member->get<std::uint64_t>() >
                          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const std::int64_t value = huge ? range.high : member->get<std::int64_t>();
    if (huge || value < range.low || value > range.high) {
      return AddError(name, "must be between " + std::to_string(range.low) + " and " +
                                std::to_string(range.high));
    }
    out = static_cast<T>(value);
  }

  void ReadNumber(std::string_view name, double& out, Range<double> range) {
    const Json* member = FindMember(name, Presence::kOptional);
    if (member == nullptr) return;
    if (!member->is_number()) return AddError(name, "must be a number");
    const auto value = member->get<double>();
    if (!(value >= range.low && value <= range.high)) {
      return AddError(
          name, "must be between " + FormatNumber(range.low) + " and " + FormatNumber(range.high));
    }
    out = value;
  }

  void ReadBool(std::string_view name, bool& out, Presence presence) {
    const Json* member = FindMember(name, presence);
    if (member == nullptr) return;
    if (!member->is_boolean()) return AddError(name, "must be true or false");
    out = member->get<bool>();
  }

  void ReadPriority(std::string_view name, Priority& out) {
    const auto text = ReadString(name, Presence::kOptional);
    if (!text) return;
    if (*text == "high") {
      out = Priority::kHigh;
    } else if (*text == "normal") {
      out = Priority::kNormal;
    } else if (*text == "low") {
      out = Priority::kLow;
    } else {
      AddError(name, "must be high, normal or low");
    }
  }

  template <typename T>
  void ReadList(std::string_view name, std::vector<T>& out, T (*read)(ObjectReader&),
                Presence presence) {
    const Json* member = FindArray(name, presence);
    if (member == nullptr) return;
    for (std::size_t i = 0; i < member->size(); ++i) {
      ObjectReader entry((*member)[i], ChildPointer(ChildPointer(this->pointer, name), i),
                         this->errors);
      out.push_back(read(entry));
      entry.ReportUnknownMembers();
    }
  }

  void ReportUnknownMembers() {
    if (!this->json.is_object()) return;
    for (const auto& item : this->json.items()) {
      if (!this->known_members.contains(item.key())) AddError(item.key(), "is not a known member");
    }
  }

 private:
  const Json* FindArray(std::string_view name, Presence presence) {
    const Json* member = FindMember(name, presence);
    if (member == nullptr || member->is_array()) return member;
    AddError(name, "must be a list");
    return nullptr;
  }

  const Json& json;
  std::string pointer;
  ValidationErrors& errors;
  std::size_t initial_error_count;
  std::set<std::string, std::less<>> known_members;
};

ModelSpec ReadModel(ObjectReader& reader) {
  ModelSpec model;
  reader.ReadName("name", model.name);
  reader.ReadNames("versions", model.versions, Presence::kRequired);
  reader.ReadInteger("vms_per_group", model.vms_per_group, {1, 256});
  reader.ReadInteger("groups", model.groups, {0, 10000});
  reader.ReadInteger("min_groups", model.min_groups, {0, 10000});
  reader.ReadPriority("priority", model.priority);
  reader.ReadInteger("max_in_flight_per_group", model.max_in_flight_per_group, {1, 10000});
  reader.ReadNames("zones", model.zones);
  // If `groups` is invalid, it has its default value, and the comparison would be meaningless.
  if (!reader.HasNewErrors() && model.min_groups > model.groups) {
    reader.AddError("min_groups", "must not exceed groups (" + std::to_string(model.groups) + ")");
  }
  return model;
}

TeamSpec ReadTeam(ObjectReader& reader) {
  TeamSpec team;
  reader.ReadName("name", team.name);
  reader.ReadNumber("weight", team.weight, {0.001, 1000});
  reader.ReadPriority("priority", team.priority);
  reader.ReadNumber("requests_per_second", team.requests_per_second, {0, 1e6});
  reader.ReadInteger("max_queued_per_node", team.max_queued_per_node, {1, 100000});
  return team;
}

BranchModel ReadBranchModel(ObjectReader& reader) {
  BranchModel entry;
  reader.ReadName("model", entry.model);
  reader.ReadName("version", entry.version);
  return entry;
}

BranchException ReadException(ObjectReader& reader) {
  BranchException entry;
  reader.ReadName("team", entry.team);
  reader.ReadName("model", entry.model);
  reader.ReadName("version", entry.version);
  return entry;
}

BranchSpec ReadBranch(ObjectReader& reader) {
  BranchSpec branch;
  reader.ReadName("name", branch.name);
  reader.ReadNames("teams", branch.teams);
  reader.ReadList("models", branch.models, &ReadBranchModel, Presence::kRequired);
  reader.ReadNames("zones", branch.zones);
  reader.ReadList("exceptions", branch.exceptions, &ReadException, Presence::kOptional);
  return branch;
}

ServiceUpstream ReadUpstream(ObjectReader& reader) {
  ServiceUpstream upstream;
  upstream.address = reader.ReadString("address", Presence::kRequired).value_or("");
  if (!upstream.address.empty() && !IsEndpoint(upstream.address)) {
    reader.AddError("address", "must be IP:port");
  }
  reader.ReadName("zone", upstream.zone, Presence::kOptional);
  return upstream;
}

ServiceRoute ReadRoute(ObjectReader& reader) {
  ServiceRoute route;
  if (auto method = reader.ReadString("method", Presence::kRequired)) {
    if (std::ranges::find(kHttpMethods, *method) == kHttpMethods.end()) {
      reader.AddError("method", "must be one of DELETE GET HEAD OPTIONS PATCH POST PUT");
    }
    route.method = std::move(*method);
  }
  if (auto path = reader.ReadString("path_prefix", Presence::kRequired)) {
    if (!IsPathPrefix(*path))
      reader.AddError("path_prefix", "must start with / and contain no spaces");
    route.path_prefix = std::move(*path);
  }
  reader.ReadBool("idempotent", route.idempotent, Presence::kRequired);
  return route;
}

ServiceSpec ReadService(ObjectReader& reader) {
  ServiceSpec service;
  reader.ReadName("name", service.name);
  reader.ReadList("upstreams", service.upstreams, &ReadUpstream, Presence::kRequired);
  reader.ReadList("routes", service.routes, &ReadRoute, Presence::kOptional);
  reader.ReadInteger("max_in_flight_per_upstream", service.max_in_flight_per_upstream, {1, 10000});
  return service;
}

PolicySpec ReadPolicy(ObjectReader& reader) {
  PolicySpec policy;
  reader.ReadNumber("group_downtime_weight", policy.group_downtime_weight, {0, 1});
  reader.ReadInteger("member_restart_wait_ms", policy.member_restart_wait_ms, {0, 3600000});
  reader.ReadInteger("spare_vms_per_domain", policy.spare_vms_per_domain, {0, 1000});
  reader.ReadInteger("weight_store_slots", policy.weight_store_slots, {1, 1000});
  reader.ReadNumber("retry_budget", policy.retry_budget, {0, 1});
  reader.ReadBool("engines_check_generation", policy.engines_check_generation, Presence::kOptional);
  reader.ReadNames("zones", policy.zones);
  return policy;
}

/** Validates the references between the sections of a parsed document. */
class ReferenceValidator {
 public:
  ReferenceValidator(const Document& subject, ValidationErrors& error_list)
      : document(subject), errors(error_list), zones_valid(!HasErrorIn(error_list, "/policy")) {}

  void Validate() {
    CheckNames(this->document.models, "/models");
    CheckNames(this->document.teams, "/teams");
    CheckNames(this->document.branches, "/branches");
    CheckNames(this->document.services, "/services");
    CheckEach(this->document.models, "/models", &ReferenceValidator::CheckModel);
    CheckEach(this->document.branches, "/branches", &ReferenceValidator::CheckBranch);
    CheckEach(this->document.services, "/services", &ReferenceValidator::CheckService);
  }

 private:
  void AddError(std::string pointer, std::string problem) {
    this->errors.push_back({std::move(pointer), std::move(problem)});
  }

  template <typename T>
  void CheckNames(const std::vector<T>& list, const std::string& pointer) {
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < list.size(); ++i) {
      const std::string& name = list[i].name.value;
      if (!name.empty() && !seen.insert(name).second) {
        AddError(ChildPointer(ChildPointer(pointer, i), "name"), name + " is defined twice");
      }
    }
  }

  template <typename T>
  void CheckEach(const std::vector<T>& list, const std::string& pointer,
                 void (ReferenceValidator::*check)(const T&, const std::string&)) {
    for (std::size_t i = 0; i < list.size(); ++i) (this->*check)(list[i], ChildPointer(pointer, i));
  }

  void CheckZone(const ZoneId& zone, const std::string& pointer) {
    if (zone.value.empty() || !this->zones_valid) return;
    const auto& known = this->document.policy.zones;
    if (std::ranges::find(known, zone) != known.end()) return;
    AddError(pointer, "unknown zone " + zone.value + "; /policy/zones lists the zones");
  }

  void CheckZones(const std::vector<ZoneId>& zones, const std::string& pointer) {
    for (std::size_t i = 0; i < zones.size(); ++i) CheckZone(zones[i], ChildPointer(pointer, i));
  }

  void CheckTeam(const TeamName& team, const std::string& pointer) {
    const auto same = [&](const TeamSpec& spec) { return spec.name == team; };
    if (team.value.empty() || std::ranges::any_of(this->document.teams, same)) return;
    AddError(pointer, "unknown team " + team.value);
  }

  void CheckModel(const ModelSpec& model, const std::string& pointer) {
    if (model.versions.empty())
      AddError(ChildPointer(pointer, "versions"), "must name at least one version");
    CheckZones(model.zones, ChildPointer(pointer, "zones"));
  }

  // Checks a reference from a branch to a model. The model and version must exist, and the model
  // must be allowed in at least one zone of the branch.
  void CheckModelReference(const BranchSpec& branch, const ModelName& name,
                           const ModelVersion& version, const std::string& pointer) {
    if (name.value.empty()) return;
    const auto& models = this->document.models;
    const auto model = std::ranges::find(models, name, &ModelSpec::name);
    if (model == models.end())
      return AddError(ChildPointer(pointer, "model"), "unknown model " + name.value);
    if (!version.value.empty() &&
        std::ranges::find(model->versions, version) == model->versions.end()) {
      AddError(ChildPointer(pointer, "version"),
               "model " + name.value + " has no version " + version.value);
    }
    const auto in_model = [&](const ZoneId& zone) {
      return std::ranges::find(model->zones, zone) != model->zones.end();
    };
    if (!model->zones.empty() && !branch.zones.empty() &&
        std::ranges::none_of(branch.zones, in_model)) {
      AddError(ChildPointer(pointer, "model"),
               "model " + name.value + " runs in none of the zones of branch " + branch.name.value);
    }
  }

  void CheckBranch(const BranchSpec& branch, const std::string& pointer) {
    for (std::size_t i = 0; i < branch.teams.size(); ++i) {
      CheckTeam(branch.teams[i], ChildPointer(ChildPointer(pointer, "teams"), i));
    }
    CheckZones(branch.zones, ChildPointer(pointer, "zones"));
    std::set<std::string_view> models;
    for (std::size_t i = 0; i < branch.models.size(); ++i) {
      const std::string entry_pointer = ChildPointer(ChildPointer(pointer, "models"), i);
      const BranchModel& entry = branch.models[i];
      CheckModelReference(branch, entry.model, entry.version, entry_pointer);
      if (!entry.model.value.empty() && !models.insert(entry.model.value).second) {
        AddError(ChildPointer(entry_pointer, "model"), entry.model.value + " is listed twice");
      }
    }
    CheckExceptions(branch, ChildPointer(pointer, "exceptions"));
  }

  void CheckExceptions(const BranchSpec& branch, const std::string& pointer) {
    std::set<std::pair<std::string_view, std::string_view>> seen;
    for (std::size_t i = 0; i < branch.exceptions.size(); ++i) {
      const BranchException& entry = branch.exceptions[i];
      const std::string entry_pointer = ChildPointer(pointer, i);
      CheckTeam(entry.team, ChildPointer(entry_pointer, "team"));
      CheckModelReference(branch, entry.model, entry.version, entry_pointer);
      if (!branch.teams.empty() &&
          std::ranges::find(branch.teams, entry.team) == branch.teams.end()) {
        AddError(ChildPointer(entry_pointer, "team"),
                 "team " + entry.team.value + " may not use this branch");
      }
      if (!seen.emplace(entry.team.value, entry.model.value).second) {
        AddError(entry_pointer, "duplicate exception for team " + entry.team.value + " and model " +
                                    entry.model.value);
      }
    }
  }

  void CheckService(const ServiceSpec& service, const std::string& pointer) {
    const std::string upstreams = ChildPointer(pointer, "upstreams");
    if (service.upstreams.empty()) AddError(upstreams, "must name at least one upstream");
    std::set<std::string_view> addresses;
    for (std::size_t i = 0; i < service.upstreams.size(); ++i) {
      const ServiceUpstream& upstream = service.upstreams[i];
      CheckZone(upstream.zone, ChildPointer(ChildPointer(upstreams, i), "zone"));
      if (!upstream.address.empty() && !addresses.insert(upstream.address).second) {
        AddError(ChildPointer(ChildPointer(upstreams, i), "address"),
                 upstream.address + " is listed twice");
      }
    }
    for (std::size_t i = 0; i < service.routes.size(); ++i) {
      CheckRoute(service, i, ChildPointer(ChildPointer(pointer, "routes"), i));
    }
  }

  // The first matching route applies, so a route after one with a shorter prefix is never used. The
  // `idempotent` setting of such a route would have no effect, which misleads the operator.
  void CheckRoute(const ServiceSpec& service, std::size_t index, const std::string& pointer) {
    const ServiceRoute& route = service.routes[index];
    if (route.path_prefix.empty()) return;
    for (std::size_t i = 0; i < index; ++i) {
      const ServiceRoute& earlier = service.routes[i];
      if (earlier.method == route.method && !earlier.path_prefix.empty() &&
          route.path_prefix.starts_with(earlier.path_prefix)) {
        return AddError(pointer, "is never used: route " + std::to_string(i) + " matches first");
      }
    }
  }

  // If the list of zones is invalid, references to zones are not checked, because each of them
  // would be reported as an error.
  static bool HasErrorIn(const ValidationErrors& error_list, std::string_view pointer) {
    return std::ranges::any_of(error_list, [&](const auto& error) {
      return error.pointer == pointer || error.pointer.starts_with(std::string(pointer) + "/zones");
    });
  }

  const Document& document;
  ValidationErrors& errors;
  bool zones_valid;
};

/** Parser callback that reports duplicate members of an object. The JSON library itself silently
 * keeps only the last one. */
class DuplicateMemberDetector {
 public:
  explicit DuplicateMemberDetector(ValidationErrors& error_list) : errors(error_list) {}

  bool operator()(int /*depth*/, Json::parse_event_t event, Json& parsed) {
    switch (event) {
      case Json::parse_event_t::object_start:
      case Json::parse_event_t::array_start:
        AdvanceArrayIndex();
        this->frames.push_back({event == Json::parse_event_t::array_start, 0, "", {}});
        break;
      case Json::parse_event_t::key:
        AddKey(parsed.get<std::string>());
        break;
      case Json::parse_event_t::value:
        AdvanceArrayIndex();
        break;
      case Json::parse_event_t::object_end:
      case Json::parse_event_t::array_end:
        this->frames.pop_back();
        break;
    }
    return true;
  }

 private:
  struct Frame {
    bool is_array = false;
    std::size_t next_index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  void AdvanceArrayIndex() {
    if (!this->frames.empty() && this->frames.back().is_array) ++this->frames.back().next_index;
  }

  void AddKey(std::string key) {
    Frame& frame = this->frames.back();
    frame.key = key;
    if (frame.keys.insert(std::move(key)).second) return;
    std::string pointer;
    for (const Frame& ancestor : this->frames) {
      pointer = ancestor.is_array ? ChildPointer(pointer, ancestor.next_index - 1)
                                  : ChildPointer(pointer, ancestor.key);
    }
    this->errors.push_back({pointer, "occurs twice"});
  }

  ValidationErrors& errors;
  std::vector<Frame> frames;
};

template <typename Tag>
Json ToJson(const std::vector<Id<Tag>>& ids) {
  Json list = Json::array();
  for (const auto& id : ids) list.push_back(id.value);
  return list;
}

Json ToJson(const ModelSpec& model) {
  return {{"name", model.name.value},
          {"versions", ToJson(model.versions)},
          {"vms_per_group", model.vms_per_group},
          {"groups", model.groups},
          {"min_groups", model.min_groups},
          {"priority", ToString(model.priority)},
          {"max_in_flight_per_group", model.max_in_flight_per_group},
          {"zones", ToJson(model.zones)}};
}

Json ToJson(const TeamSpec& team) {
  return {{"name", team.name.value},
          {"weight", team.weight},
          {"priority", ToString(team.priority)},
          {"requests_per_second", team.requests_per_second},
          {"max_queued_per_node", team.max_queued_per_node}};
}

Json ToJson(const BranchModel& entry) {
  return {{"model", entry.model.value}, {"version", entry.version.value}};
}

Json ToJson(const BranchException& entry) {
  return {
      {"team", entry.team.value}, {"model", entry.model.value}, {"version", entry.version.value}};
}

Json ToJson(const ServiceUpstream& upstream) {
  Json json = {{"address", upstream.address}};
  if (!upstream.zone.value.empty()) json["zone"] = upstream.zone.value;
  return json;
}

Json ToJson(const ServiceRoute& route) {
  return {{"method", route.method},
          {"path_prefix", route.path_prefix},
          {"idempotent", route.idempotent}};
}

Json ToJson(const BranchSpec& branch);
Json ToJson(const ServiceSpec& service);

template <typename T>
Json ListToJson(const std::vector<T>& list) {
  Json json = Json::array();
  for (const T& entry : list) json.push_back(ToJson(entry));
  return json;
}

Json ToJson(const BranchSpec& branch) {
  return {{"name", branch.name.value},
          {"teams", ToJson(branch.teams)},
          {"models", ListToJson(branch.models)},
          {"zones", ToJson(branch.zones)},
          {"exceptions", ListToJson(branch.exceptions)}};
}

Json ToJson(const ServiceSpec& service) {
  return {{"name", service.name.value},
          {"upstreams", ListToJson(service.upstreams)},
          {"routes", ListToJson(service.routes)},
          {"max_in_flight_per_upstream", service.max_in_flight_per_upstream}};
}

Json ToJson(const PolicySpec& policy) {
  return {{"group_downtime_weight", policy.group_downtime_weight},
          {"member_restart_wait_ms", policy.member_restart_wait_ms},
          {"spare_vms_per_domain", policy.spare_vms_per_domain},
          {"weight_store_slots", policy.weight_store_slots},
          {"retry_budget", policy.retry_budget},
          {"engines_check_generation", policy.engines_check_generation},
          {"zones", ToJson(policy.zones)}};
}

Json ToJson(const Document& document) {
  return {{"models", ListToJson(document.models)},
          {"teams", ListToJson(document.teams)},
          {"branches", ListToJson(document.branches)},
          {"services", ListToJson(document.services)},
          {"policy", ToJson(document.policy)}};
}

Document ReadDocument(const Json& json, ValidationErrors& errors) {
  Document document;
  ObjectReader reader(json, "", errors);
  reader.ReadList("models", document.models, &ReadModel, Presence::kRequired);
  reader.ReadList("teams", document.teams, &ReadTeam, Presence::kRequired);
  reader.ReadList("branches", document.branches, &ReadBranch, Presence::kRequired);
  reader.ReadList("services", document.services, &ReadService, Presence::kRequired);
  if (const Json* policy = reader.FindMember("policy", Presence::kRequired); policy != nullptr) {
    ObjectReader policy_reader(*policy, "/policy", errors);
    document.policy = ReadPolicy(policy_reader);
    policy_reader.ReportUnknownMembers();
  }
  reader.ReportUnknownMembers();
  return document;
}

std::optional<Json> ParseJson(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) return std::nullopt;
  return json;
}

Error InvalidManifest(const std::string& problem) {
  return NotRun(ErrorCode::kInvalidArgument, "configuration manifest: " + problem);
}

Result<std::vector<std::string>> ReadStrings(const Json& json) {
  if (!json.is_array()) return InvalidManifest("earlier_writers must be a list");
  std::vector<std::string> strings;
  for (const Json& entry : json) {
    if (!entry.is_string()) return InvalidManifest("a writer must be a string");
    strings.push_back(entry.get<std::string>());
  }
  return strings;
}

Result<std::vector<SectionRef>> ReadSections(const Json& json) {
  if (!json.is_array()) return InvalidManifest("sections must be a list");
  std::vector<SectionRef> sections;
  for (const Json& entry : json) {
    if (!entry.is_object() || !entry.contains("name") || !entry["name"].is_string() ||
        !entry.contains("digest") || !entry["digest"].is_string()) {
      return InvalidManifest("a section must have a name and a digest");
    }
    sections.push_back({entry["name"].get<std::string>(), entry["digest"].get<std::string>()});
  }
  return sections;
}

void AddSection(SplitDocument& split, std::string name, const Json& json) {
  std::string body = json.dump();
  std::string digest = SectionDigest(body);
  split.sections.push_back({std::move(name), digest});
  split.bodies.emplace(std::move(digest), std::move(body));
}

}  // namespace

DocumentValidation ValidateDocument(std::string_view json) {
  DocumentValidation validation;
  Json parsed;
  try {
    parsed = Json::parse(json, DuplicateMemberDetector(validation.errors));
  } catch (const Json::exception& error) {
    validation.errors.push_back({"", std::string("is not JSON: ") + error.what()});
    return validation;
  }
  validation.document = ReadDocument(parsed, validation.errors);
  ReferenceValidator(validation.document, validation.errors).Validate();
  return validation;
}

Result<Document> ParseDocument(std::string_view json) {
  DocumentValidation validation = ValidateDocument(json);
  if (validation.errors.empty()) return std::move(validation.document);
  std::string message;
  for (const ValidationError& error : validation.errors) {
    if (!message.empty()) message += '\n';
    message += (error.pointer.empty() ? "/" : error.pointer) + ": " + error.problem;
  }
  return NotRun(ErrorCode::kInvalidArgument, std::move(message));
}

std::string SerializeDocument(const Document& document) { return ToJson(document).dump(); }

std::string SectionDigest(std::string_view body) {
  const XXH128_hash_t hash = XXH3_128bits(body.data(), body.size());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : canonical.digest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

std::string SerializeManifest(const Manifest& manifest) {
  Json sections = Json::array();
  for (const SectionRef& section : manifest.sections) {
    sections.push_back({{"name", section.name}, {"digest", section.digest}});
  }
  const Json json = {{"version", manifest.version},
                     {"sections", std::move(sections)},
                     {"writer", manifest.writer},
                     {"earlier_writers", manifest.earlier_writers}};
  return json.dump();
}

Result<Manifest> ParseManifest(std::string_view json) {
  const auto parsed = ParseJson(json);
  if (!parsed || !parsed->is_object()) return InvalidManifest("is not a JSON object");
  for (const char* name : {"version", "sections", "writer", "earlier_writers"}) {
    if (!parsed->contains(name)) return InvalidManifest(std::string(name) + " is missing");
  }
  Manifest manifest;
  if (!parsed->at("version").is_number_unsigned())
    return InvalidManifest("version must be a number");
  manifest.version = parsed->at("version").get<ConfigVersion>();
  if (!parsed->at("writer").is_string()) return InvalidManifest("writer must be a string");
  manifest.writer = parsed->at("writer").get<std::string>();
  BOOST_OUTCOME_TRY(manifest.sections, ReadSections(parsed->at("sections")));
  BOOST_OUTCOME_TRY(manifest.earlier_writers, ReadStrings(parsed->at("earlier_writers")));
  return manifest;
}

SplitDocument SplitIntoSections(const Document& document) {
  SplitDocument split;
  AddSection(split, "models", ListToJson(document.models));
  AddSection(split, "teams", ListToJson(document.teams));
  AddSection(split, "services", ListToJson(document.services));
  AddSection(split, "policy", ToJson(document.policy));
  for (const BranchSpec& branch : document.branches) {
    AddSection(split, std::string(kBranchPrefix) + branch.name.value, ToJson(branch));
  }
  return split;
}

Result<Document> JoinSections(const Manifest& manifest, const SectionBodies& bodies) {
  Json joined = {{"branches", Json::array()}};
  for (const SectionRef& section : manifest.sections) {
    const auto body = bodies.find(section.digest);
    if (body == bodies.end()) return InvalidManifest("section " + section.name + " is absent");
    if (SectionDigest(body->second) != section.digest) {
      return InvalidManifest("section " + section.name + " does not match its digest");
    }
    auto json = ParseJson(body->second);
    if (!json) return InvalidManifest("section " + section.name + " is not JSON");
    if (section.name.starts_with(kBranchPrefix)) {
      joined["branches"].push_back(std::move(*json));
    } else if (std::ranges::find(kNonBranchSections, section.name) != kNonBranchSections.end()) {
      joined[section.name] = std::move(*json);
    } else {
      return InvalidManifest("unknown section " + section.name);
    }
  }
  return ParseDocument(joined.dump());
}

}  // namespace limpetfall
