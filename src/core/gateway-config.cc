#include "core/gateway-config.h"

#include <algorithm>
#include <utility>

namespace limpetfall {
namespace {

std::string NormalizeHost(std::string_view host) {
  std::string normalized(host.substr(0, host.find(':')));
  std::transform(normalized.begin(), normalized.end(), normalized.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return normalized;
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const GatewayConfig> config) : source(std::move(config)) {
  for (const Route& route : this->source->routes) {
    this->routes_by_host[NormalizeHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : this->routes_by_host) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view target) const {
  const auto routes = this->routes_by_host.find(NormalizeHost(host));
  if (routes == this->routes_by_host.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route* route : routes->second) {
    if (path.starts_with(route->prefix)) return route;
  }
  return nullptr;
}

}  // namespace limpetfall
