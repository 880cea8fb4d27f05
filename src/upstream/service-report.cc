#include "upstream/service-report.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace limpetfall {

boost::asio::awaitable<Result<ServiceReport>> FetchServiceReport(HttpClient& client,
                                                                 std::string address,
                                                                 Deadline deadline) {
  HttpRequest request;
  request.address = std::move(address);
  request.target = "/v1/report";
  auto response = co_await client.Fetch(std::move(request), deadline);
  if (!response) co_return std::move(response).error();
  const auto json = nlohmann::json::parse(response.value().body, nullptr, false);
  if (response.value().status != 200 || !json.is_object()) {
    co_return NotRun(ErrorCode::kUpstreamProtocol, "the service's report is malformed");
  }
  ServiceReport report;
  // A report with members of other types is treated as malformed.
  try {
    report.running = json.value("running", 0);
    report.queued = json.value("queued", 0);
    report.leaving = json.value("state", "") == "leaving" || json.value("leaving", false);
  } catch (const nlohmann::json::exception& error) {
    co_return NotRun(ErrorCode::kUpstreamProtocol, error.what());
  }
  co_return report;
}

}  // namespace limpetfall
