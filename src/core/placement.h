#ifndef LIMPETFALL_CORE_PLACEMENT_H_
#define LIMPETFALL_CORE_PLACEMENT_H_

#include <map>
#include <vector>

#include "core/document.h"
#include "core/types.h"

namespace limpetfall {

/** One version of a model with the groups that the document wants for it. */
struct Product {
  ModelName model;
  ModelVersion version;
  int size = 1;  ///< VMs of one group.
  int wanted = 0;
  int min_groups = 0;
  Priority priority = Priority::kNormal;
  std::vector<ZoneId> zones;

  friend bool operator==(const Product&, const Product&) = default;
};

/** Returns the products in document order; a model's groups are divided among its versions. */
std::vector<Product> ListProducts(const Document& document);

/** Returns the index of the product, or -1 when the document does not name it. */
int FindProduct(const std::vector<Product>& products, const ModelName& model,
                const ModelVersion& version);

bool ZoneAllowed(const Product& product, const ZoneId& zone);

/**
 * How many groups of each product each domain builds first.
 *
 * Every owner computes the same placement from the same list and document, so domains divide the
 * wanted groups without asking each other.
 */
struct Placement {
  std::vector<Product> products;
  std::map<DomainId, std::vector<int>> quotas;            ///< By index of `products`.
  std::map<DomainId, std::vector<int>> protected_quotas;  ///< The part for `min_groups`.

  friend bool operator==(const Placement&, const Placement&) = default;
};

Placement PlanPlacement(const Document& document, const std::vector<Vm>& vms);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_PLACEMENT_H_
