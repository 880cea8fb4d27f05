#ifndef LIMPETFALL_CORE_PLACEMENT_H_
#define LIMPETFALL_CORE_PLACEMENT_H_

#include <map>
#include <vector>

#include "core/document.h"
#include "core/types.h"

namespace limpetfall {

/** One version of a model with its target number of groups from the document. */
struct Product {
  ModelName model;
  ModelVersion version;
  int size = 1;    ///< VMs per group.
  int wanted = 0;  ///< Target number of groups.
  int min_groups = 0;
  Priority priority = Priority::kNormal;
  std::vector<ZoneId> zones;

  friend bool operator==(const Product&, const Product&) = default;
};

/** Returns the products in document order. The groups of a model are divided evenly among its
 * versions. */
std::vector<Product> ListProducts(const Document& document);

/** Returns the index of the product, or -1 if it is not in `products`. */
int FindProduct(const std::vector<Product>& products, const ModelName& model,
                const ModelVersion& version);

bool ZoneAllowed(const Product& product, const ZoneId& zone);

/**
 * The number of groups of each product that each domain builds before any others.
 *
 * Every domain owner computes the same placement from the same VM list and document, so the target
 * groups are divided among the domains without communication between the owners.
 */
struct Placement {
  std::vector<Product> products;
  std::map<DomainId, std::vector<int>> quotas;  ///< Indexed like `products`.
  /// The part of `quotas` that is reserved for `min_groups`.
  std::map<DomainId, std::vector<int>> protected_quotas;

  friend bool operator==(const Placement&, const Placement&) = default;
};

Placement PlanPlacement(const Document& document, const std::vector<Vm>& vms);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_PLACEMENT_H_
