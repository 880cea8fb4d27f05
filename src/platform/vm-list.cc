#include "platform/vm-list.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace limpetfall {
namespace {

using Json = nlohmann::json;

Error Malformed(const std::string& problem) {
  return NotRun(ErrorCode::kUpstreamProtocol, "VM list: " + problem);
}

std::string StringField(const Json& entry, const char* name) {
  const auto member = entry.find(name);
  if (member == entry.end() || !member->is_string()) return "";
  return member->get<std::string>();
}

Result<Vm> ParseVm(const Json& entry) {
  Vm vm{VmId(StringField(entry, "id")), StringField(entry, "address"),
        ZoneId(StringField(entry, "zone")), DomainId(StringField(entry, "domain")), false};
  if (vm.id.value.empty() || vm.address.empty() || vm.zone.value.empty() ||
      vm.domain.value.empty()) {
    return Malformed("an entry has no id, address, zone or domain");
  }
  const std::string state = StringField(entry, "state");
  if (state != "live" && state != "leaving") {
    return Malformed("VM " + vm.id.value + " has the unknown state '" + state + "'");
  }
  vm.leaving = state == "leaving";
  return vm;
}

}  // namespace

Result<std::vector<Vm>> ParseVms(std::string_view json) {
  const Json parsed = Json::parse(json, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("vms") || !parsed["vms"].is_array()) {
    return Malformed("the body has no array of VMs");
  }
  std::vector<Vm> vms;
  std::set<std::string> ids;
  for (const Json& entry : parsed["vms"]) {
    if (!entry.is_object()) return Malformed("an entry is not an object");
    if (StringField(entry, "kind") != "engine") continue;
    BOOST_OUTCOME_TRY(auto vm, ParseVm(entry));
    if (!ids.insert(vm.id.value).second) return Malformed("VM " + vm.id.value + " is listed twice");
    vms.push_back(std::move(vm));
  }
  return vms;
}

boost::asio::awaitable<Result<std::vector<Vm>>> FetchVms(HttpClient& client, std::string address,
                                                         Deadline deadline) {
  HttpRequest request;
  request.address = std::move(address);
  request.target = "/v1/vms";
  auto response = co_await client.Fetch(std::move(request), deadline);
  if (!response) co_return std::move(response).error();
  if (response.value().status != 200) {
    co_return NotRun(ErrorCode::kUnavailable,
                     "VM list: status " + std::to_string(response.value().status));
  }
  co_return ParseVms(response.value().body);
}

}  // namespace limpetfall
