#ifndef LIMPETFALL_OPERATORS_ADMIN_API_H_
#define LIMPETFALL_OPERATORS_ADMIN_API_H_

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "core/config-document.h"
#include "core/document.h"
#include "http/server.h"
#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** The result of submitting a configuration document. */
struct ConfigChangeResult {
  bool accepted = false;
  ConfigVersion version = 0;         ///< The new version if accepted, otherwise the active one.
  std::vector<NodeId> confirmed_by;  ///< Nodes on which the new version is active.

  friend bool operator==(const ConfigChangeResult&, const ConfigChangeResult&) = default;
};

/** The operations of a node that the administration API uses. */
template <typename T>
concept AdminNode = requires(T& node, std::string document, ConfigVersion expected,
                             Deadline deadline) {
  { node.ActiveDocument() } -> std::same_as<std::shared_ptr<const VersionedDocument>>;
  {
    node.ChangeConfig(document, expected, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<ConfigChangeResult>>>;
  { node.StatusJson() } -> std::same_as<std::string>;
  { node.Drain() } -> std::same_as<void>;
};

namespace detail {

enum class AdminCall {
  kGetConfig,
  kPutConfig,
  kCheckConfig,
  kStatus,
  kDrain,
  kUnknown,
  kMethodNotAllowed
};

AdminCall ParseAdminCall(const HttpRequest& request);

/** Parses the version in `If-Match`, a number with or without quotes. */
Result<ConfigVersion> ParseIfMatch(const HttpRequest& request);

/** Returns status 428 if `If-Match` is absent and 400 if it is malformed. */
HttpResponse IfMatchResponse(const HttpRequest& request, const Error& error);

HttpResponse ConfigResponse(const VersionedDocument* active);
HttpResponse ChangeResponse(const Result<ConfigChangeResult>& change);
HttpResponse FaultsResponse(const std::vector<ValidationError>& faults);
HttpResponse ValidDocumentResponse();
HttpResponse StatusResponse(std::string json);
HttpResponse DrainResponse();
HttpResponse NoRouteResponse(AdminCall call);

template <AdminNode N>
boost::asio::awaitable<HttpResponse> ChangeConfig(std::shared_ptr<N> node, HttpRequest request,
                                                  Deadline deadline) {
  const auto expected = ParseIfMatch(request);
  if (!expected) co_return IfMatchResponse(request, expected.error());
  const DocumentValidation check = ValidateDocument(request.body);
  if (!check.errors.empty()) co_return FaultsResponse(check.errors);
  auto change = co_await node->ChangeConfig(std::move(request.body), expected.value(), deadline);
  co_return ChangeResponse(change);
}

template <AdminNode N>
boost::asio::awaitable<HttpResponse> RouteAdminRequest(std::shared_ptr<N> node, HttpRequest request,
                                                       Deadline deadline) {
  const AdminCall call = ParseAdminCall(request);
  switch (call) {
    case AdminCall::kGetConfig:
      co_return ConfigResponse(node->ActiveDocument().get());
    case AdminCall::kPutConfig:
      co_return co_await ChangeConfig(std::move(node), std::move(request), deadline);
    case AdminCall::kCheckConfig: {
      const DocumentValidation check = ValidateDocument(request.body);
      co_return check.errors.empty() ? ValidDocumentResponse() : FaultsResponse(check.errors);
    }
    case AdminCall::kStatus:
      co_return StatusResponse(node->StatusJson());
    case AdminCall::kDrain:
      node->Drain();
      co_return DrainResponse();
    case AdminCall::kUnknown:
    case AdminCall::kMethodNotAllowed:
      break;
  }
  co_return NoRouteResponse(call);
}

template <AdminNode N>
boost::asio::awaitable<void> HandleAdmin(std::shared_ptr<N> node, HttpExchange& exchange,
                                         Deadline deadline) {
  HttpRequest request = exchange.request();
  auto response = co_await RouteAdminRequest(std::move(node), std::move(request), deadline);
  // A write error means that the operator has disconnected, so it is ignored.
  (void)co_await exchange.Send(std::move(response));
}

}  // namespace detail

/**
 * Returns the handler of the administration API. Each call ends within `timeout`.
 *
 *     auto server = HttpServer::Create(io, address, MakeAdminHandler(node, 10s), {});
 */
template <AdminNode N>
HttpHandler MakeAdminHandler(std::shared_ptr<N> node, Milliseconds timeout) {
  return [node = std::move(node), timeout](HttpExchange& exchange) {
    return detail::HandleAdmin(node, exchange, Clock::now() + timeout);
  };
}

}  // namespace limpetfall

#endif  // LIMPETFALL_OPERATORS_ADMIN_API_H_
