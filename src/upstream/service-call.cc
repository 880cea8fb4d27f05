#include "upstream/service-call.h"

#include <utility>

#include "upstream/refusal.h"

namespace limpetfall {
namespace {

HttpRequest BuildRequest(std::string address, ServiceCall call, Deadline deadline) {
  HttpRequest request;
  request.method = std::move(call.method);
  // A call that must not be repeated would fail on a pooled connection that has stalled.
  request.new_connection = request.method != "GET" && request.method != "HEAD";
  request.address = std::move(address);
  request.target = std::move(call.path);
  request.headers["X-Request-Id"] = call.id.value;
  request.headers["X-Branch"] = call.branch.value;
  request.headers["X-Team"] = call.team.value;
  request.headers["X-Deadline-Ms"] = std::to_string(TimeLeft(deadline, Clock::now()).count());
  if (!call.content_type.empty()) request.headers["Content-Type"] = call.content_type;
  if (!call.idempotency_key.empty()) request.headers["Idempotency-Key"] = call.idempotency_key;
  request.body = std::move(call.body);
  return request;
}

}  // namespace

boost::asio::awaitable<Result<ServiceAnswer>> SendServiceCall(HttpClient& client,
                                                              std::string address, ServiceCall call,
                                                              Deadline deadline) {
  const std::string id = call.id.value;
  HttpRequest request = BuildRequest(address, std::move(call), deadline);
  BOOST_OUTCOME_CO_TRY(auto response, co_await client.Fetch(std::move(request), deadline));
  // A service need not return the id. A different id means a response to another call.
  const std::string_view echoed = GetHeader(response.headers, "X-Request-Id");
  if (!echoed.empty() && echoed != id) {
    co_return MayHaveRun(ErrorCode::kUpstreamProtocol,
                         "upstream " + address + " sent the response to another request");
  }
  if (auto refusal = ParseRefusal(response.status, response.headers, address)) co_return *refusal;
  ServiceAnswer answer;
  answer.status = response.status;
  answer.content_type = GetHeader(response.headers, "Content-Type");
  answer.body = std::move(response.body);
  co_return answer;
}

}  // namespace limpetfall
