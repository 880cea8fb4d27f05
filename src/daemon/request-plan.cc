#include "daemon/request-plan.h"

#include <algorithm>

namespace limpetfall {
namespace {

template <typename Spec, typename Name>
const Spec* Find(const std::vector<Spec>& specs, const Name& name) {
  auto found =
      std::find_if(specs.begin(), specs.end(), [&](const Spec& spec) { return spec.name == name; });
  return found == specs.end() ? nullptr : &*found;
}

struct Caller {
  const BranchSpec* branch;
  const TeamSpec* team;
};

Result<Caller> FindCaller(const Document& document, const BranchName& branch_name,
                          const TeamName& team_name) {
  const BranchSpec* branch = Find(document.branches, branch_name);
  if (branch == nullptr) {
    return NotRun(ErrorCode::kNotFound, "unknown branch \"" + branch_name.value + "\"");
  }
  const TeamSpec* team = Find(document.teams, team_name);
  if (team == nullptr) {
    return NotRun(ErrorCode::kNotFound, "unknown team \"" + team_name.value + "\"");
  }
  const auto& allowed = branch->teams;
  if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), team_name) == allowed.end()) {
    return NotRun(
        ErrorCode::kPermissionDenied,
        "team \"" + team_name.value + "\" may not use branch \"" + branch_name.value + "\"");
  }
  return Caller{branch, team};
}

// An exception for the team overrides the rule of the branch.
Result<ModelVersion> FindVersion(const BranchSpec& branch, const TeamName& team,
                                 const ModelName& model) {
  for (const BranchException& exception : branch.exceptions) {
    if (exception.team == team && exception.model == model) return exception.version;
  }
  for (const BranchModel& entry : branch.models) {
    if (entry.model == model) return entry.version;
  }
  return NotRun(ErrorCode::kPermissionDenied,
                "branch \"" + branch.name.value + "\" does not run model \"" + model.value + "\"");
}

Result<std::vector<ZoneId>> CommonZones(const std::vector<ZoneId>& branch,
                                        const std::vector<ZoneId>& model) {
  if (branch.empty()) return model;
  if (model.empty()) return branch;
  std::vector<ZoneId> common;
  std::copy_if(branch.begin(), branch.end(), std::back_inserter(common), [&](const ZoneId& zone) {
    return std::find(model.begin(), model.end(), zone) != model.end();
  });
  if (common.empty()) {
    return NotRun(ErrorCode::kPermissionDenied, "the model has no zone in common with the branch");
  }
  return common;
}

// A caller can lower the priority that the operators gave to its team, but not raise it.
Priority EffectivePriority(Priority team, Priority requested) {
  return requested == Priority::kLow ? Priority::kLow : team;
}

std::string_view WithoutLeadingSlash(std::string_view path) {
  if (path.starts_with('/')) path.remove_prefix(1);
  return path;
}

// A path that the service may normalize to another one matches no route.
bool IsPlainPath(std::string_view path) {
  return path.find("//") == path.npos && path.find("/.") == path.npos && !path.starts_with('.') &&
         path.find_first_of("%\\;") == path.npos;
}

// A prefix ends at a boundary of the path, so that "/order" does not cover "/orders".
bool PathMatches(std::string_view path, std::string_view prefix) {
  path = WithoutLeadingSlash(path.substr(0, path.find('?')));
  prefix = WithoutLeadingSlash(prefix);
  if (!IsPlainPath(path) || !path.starts_with(prefix)) return false;
  return prefix.empty() || prefix.back() == '/' || path.size() == prefix.size() ||
         path[prefix.size()] == '/';
}

bool IsIdempotent(const ServiceSpec& service, const ServiceCall& call) {
  for (const ServiceRoute& route : service.routes) {
    if (route.method == call.method && PathMatches(call.path, route.path_prefix)) {
      return route.idempotent;
    }
  }
  return false;
}

}  // namespace

Result<CompletionPlan> PlanCompletion(const Document& document, const CompletionRequest& request) {
  BOOST_OUTCOME_TRY(auto caller, FindCaller(document, request.branch, request.team));
  const ModelSpec* model = Find(document.models, request.model);
  if (model == nullptr) {
    return NotRun(ErrorCode::kNotFound, "unknown model \"" + request.model.value + "\"");
  }
  BOOST_OUTCOME_TRY(auto version, FindVersion(*caller.branch, request.team, request.model));
  BOOST_OUTCOME_TRY(auto zones, CommonZones(caller.branch->zones, model->zones));
  return CompletionPlan{std::move(version), std::move(zones),
                        EffectivePriority(caller.team->priority, request.priority),
                        std::max(1, model->max_in_flight_per_group)};
}

Result<ServicePlan> PlanServiceCall(const Document& document, const ServiceCall& call) {
  BOOST_OUTCOME_TRY(auto caller, FindCaller(document, call.branch, call.team));
  const ServiceSpec* service = Find(document.services, call.service);
  if (service == nullptr) {
    return NotRun(ErrorCode::kNotFound, "unknown service \"" + call.service.value + "\"");
  }
  return ServicePlan{caller.branch->zones, caller.team->priority, IsIdempotent(*service, call),
                     std::max(1, service->max_in_flight_per_upstream)};
}

}  // namespace limpetfall
