#include "upstream/engine-control.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace limpetfall {
namespace {

using nlohmann::json;

std::optional<EngineState> ParseState(const std::string& text) {
  if (text == "idle") return EngineState::kIdle;
  if (text == "loading") return EngineState::kLoading;
  if (text == "ready") return EngineState::kReady;
  if (text == "leaving") return EngineState::kLeaving;
  return std::nullopt;
}

Error ProtocolError(const std::string& what) {
  return MayHaveRun(ErrorCode::kUpstreamProtocol, "engine: " + what);
}

Result<VmReport> ParseReport(const std::string& body) {
  try {
    const json value = json::parse(body);
    const auto state = ParseState(value.at("state").get<std::string>());
    if (!state) return ProtocolError("unknown state in report");
    VmReport report;
    report.vm = VmId(value.at("vm").get<std::string>());
    report.instance = value.at("instance").get<std::string>();
    report.state = *state;
    report.group = GroupId(value.at("group").get<std::string>());
    report.generation = value.at("generation").get<Generation>();
    report.model = ModelName(value.at("model").get<std::string>());
    report.version = ModelVersion(value.at("version").get<std::string>());
    report.rank = value.at("rank").get<int>();
    report.size = value.at("size").get<int>();
    report.running = value.at("running").get<int>();
    report.queued = value.at("queued").get<int>();
    return report;
  } catch (const json::exception& error) {
    return ProtocolError(std::string("malformed report: ") + error.what());
  }
}

std::string AssignmentBody(const GroupRecord& group, int rank) {
  json members = json::array();
  for (const VmId& vm : group.members) members.push_back(vm.value);
  return json{{"group", group.group.value},    {"generation", group.generation},
              {"model", group.model.value},    {"version", group.version.value},
              {"members", std::move(members)}, {"rank", rank}}
      .dump();
}

}  // namespace

boost::asio::awaitable<Result<VmReport>> FetchReport(HttpClient& client, std::string address,
                                                     Deadline deadline) {
  HttpRequest request;
  request.address = std::move(address);
  request.target = "/v1/report";
  auto response = co_await client.Fetch(std::move(request), deadline);
  if (!response) co_return response.error();
  if (response.value().status != 200) {
    co_return ProtocolError("status " + std::to_string(response.value().status) +
                            " in response to a report request");
  }
  co_return ParseReport(response.value().body);
}

boost::asio::awaitable<Result<void>> SendAssignment(HttpClient& client, std::string address,
                                                    GroupRecord group, int rank,
                                                    Deadline deadline) {
  HttpRequest request;
  request.method = "POST";
  request.address = std::move(address);
  request.target = "/v1/assignment";
  request.headers["Content-Type"] = "application/json";
  request.body = AssignmentBody(group, rank);
  auto response = co_await client.Fetch(std::move(request), deadline);
  if (!response) co_return response.error();
  const int status = response.value().status;
  if (status == 200 || status == 204) co_return success();
  if (status == 409) {
    co_return NotRun(ErrorCode::kConflict,
                     "engine has a newer generation than " + std::to_string(group.generation));
  }
  co_return ProtocolError("status " + std::to_string(status) + " in response to an assignment");
}

}  // namespace limpetfall
