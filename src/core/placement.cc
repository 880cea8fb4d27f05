#include "core/placement.h"

#include <algorithm>
#include <numeric>

namespace limpetfall {
namespace {

struct DomainCapacity {
  ZoneId zone;
  int free_vms = 0;
};

std::map<DomainId, DomainCapacity> CapacityByDomain(const std::vector<Vm>& vms) {
  std::map<DomainId, DomainCapacity> capacity;
  for (const Vm& vm : vms) {
    if (vm.leaving) continue;
    DomainCapacity& domain = capacity[vm.domain];
    domain.zone = vm.zone;
    ++domain.free_vms;
  }
  return capacity;
}

// Places one group in the domain with the most free VMs, so that the groups of a product are spread
// over domains. Returns whether a domain had enough free VMs.
bool PlaceGroup(const Product& product, std::size_t index,
                std::map<DomainId, DomainCapacity>& capacity, Placement& placement) {
  auto best = capacity.end();
  for (auto domain = capacity.begin(); domain != capacity.end(); ++domain) {
    if (domain->second.free_vms < product.size || !ZoneAllowed(product, domain->second.zone))
      continue;
    if (best == capacity.end() || domain->second.free_vms > best->second.free_vms) best = domain;
  }
  if (best == capacity.end()) return false;
  best->second.free_vms -= product.size;
  ++placement.quotas[best->first][index];
  return true;
}

int EvenShare(int total, std::size_t parts, std::size_t index) {
  const int count = static_cast<int>(parts);
  return total / count + (static_cast<int>(index) < total % count ? 1 : 0);
}

}  // namespace

std::vector<Product> ListProducts(const Document& document) {
  std::vector<Product> products;
  for (const ModelSpec& model : document.models) {
    for (std::size_t i = 0; i < model.versions.size(); ++i) {
      products.push_back({model.name, model.versions[i], model.vms_per_group,
                          EvenShare(model.groups, model.versions.size(), i),
                          EvenShare(model.min_groups, model.versions.size(), i), model.priority,
                          model.zones});
    }
  }
  return products;
}

int FindProduct(const std::vector<Product>& products, const ModelName& model,
                const ModelVersion& version) {
  for (std::size_t i = 0; i < products.size(); ++i) {
    if (products[i].model == model && products[i].version == version) return static_cast<int>(i);
  }
  return -1;
}

bool ZoneAllowed(const Product& product, const ZoneId& zone) {
  return product.zones.empty() ||
         std::find(product.zones.begin(), product.zones.end(), zone) != product.zones.end();
}

Placement PlanPlacement(const Document& document, const std::vector<Vm>& vms) {
  Placement placement{ListProducts(document), {}, {}};
  auto capacity = CapacityByDomain(vms);
  for (const auto& [domain, unused] : capacity) {
    placement.quotas[domain].resize(placement.products.size());
  }
  std::vector<std::size_t> order(placement.products.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&placement](std::size_t a, std::size_t b) {
    return placement.products[a].priority < placement.products[b].priority;
  });
  // The protected groups of all products are placed before the other groups of any product.
  for (std::size_t index : order) {
    const Product& product = placement.products[index];
    const int protected_groups = std::min(product.min_groups, product.wanted);
    for (int i = 0; i < protected_groups; ++i) PlaceGroup(product, index, capacity, placement);
  }
  placement.protected_quotas = placement.quotas;
  for (std::size_t index : order) {
    const Product& product = placement.products[index];
    for (int i = std::min(product.min_groups, product.wanted); i < product.wanted; ++i) {
      if (!PlaceGroup(product, index, capacity, placement)) break;
    }
  }
  return placement;
}

}  // namespace limpetfall
