#include <algorithm>
#include <functional>
#include <limits>
#include <set>
#include <tuple>

#include "core/replay-fleet.h"
#include "core/replay.h"

namespace limpetfall {
namespace {

using detail::ReplayFleet;

/** Capacity of one domain: VMs that could be in a serving group. */
struct Capacity {
  ZoneId zone;
  int vms = 0;

  friend bool operator<(const Capacity& a, const Capacity& b) {
    return std::tie(a.zone, a.vms) < std::tie(b.zone, b.vms);
  }
};

using Counts = std::vector<int>;

struct PackingLimit {
  int groups = 0;
  int vms = 0;
};

// Calls `visit` for every number of groups of each product that fits the domain, with the number of
// VMs used. `assignment` holds the group counts during the call.
void ForEachAssignment(const std::vector<Product>& products, const Capacity& capacity,
                       const Counts& limit, std::size_t index, int used, Counts& assignment,
                       const std::function<void(int)>& visit) {
  if (index == products.size()) {
    visit(used);
    return;
  }
  const Product& product = products[index];
  const int max_count = ZoneAllowed(product, capacity.zone) ? limit[index] : 0;
  for (int count = 0; count <= max_count && used + count * product.size <= capacity.vms; ++count) {
    assignment[index] = count;
    ForEachAssignment(products, capacity, limit, index + 1, used + count * product.size, assignment,
                      visit);
  }
  assignment[index] = 0;
}

// Calculates by dynamic programming over the domains the largest number of wanted groups, and of
// VMs in wanted groups, that can serve at the same time.
PackingLimit FindPackingLimit(const std::vector<Product>& products,
                              const std::vector<Capacity>& capacities) {
  std::set<Counts> reachable = {Counts(products.size())};
  for (const Capacity& capacity : capacities) {
    std::set<Counts> next;
    for (const Counts& before : reachable) {
      Counts limit;
      for (std::size_t i = 0; i < products.size(); ++i) {
        limit.push_back(products[i].wanted - before[i]);
      }
      Counts assignment(products.size());
      ForEachAssignment(products, capacity, limit, 0, 0, assignment,
                        [&next, &before, &assignment](int /*used*/) {
                          Counts after = before;
                          for (std::size_t i = 0; i < after.size(); ++i) after[i] += assignment[i];
                          next.insert(std::move(after));
                        });
    }
    reachable = std::move(next);
  }
  PackingLimit limit_found;
  for (const Counts& counts : reachable) {
    PackingLimit candidate;
    for (std::size_t i = 0; i < counts.size(); ++i) {
      candidate.groups += counts[i];
      candidate.vms += counts[i] * products[i].size;
    }
    limit_found.groups = std::max(limit_found.groups, candidate.groups);
    limit_found.vms = std::max(limit_found.vms, candidate.vms);
  }
  return limit_found;
}

class BoundCalculation {
 public:
  explicit BoundCalculation(const Trace& source)
      : trace(source), fleet(source), document(source.document) {
    this->shortest_load_s = std::numeric_limits<double>::max();
    for (const auto& [model, seconds] : source.load_s) {
      this->shortest_load_s = std::min(this->shortest_load_s, seconds);
    }
  }

  ReplayBound Run() {
    auto next = this->trace.events.begin();
    for (double now = 0; now < this->trace.until;) {
      for (; next != this->trace.events.end() && next->at <= now; ++next) this->ApplyEvent(*next);
      double until = this->trace.until;
      if (next != this->trace.events.end()) until = std::min(until, next->at);
      for (const auto& [id, vm] : this->fleet.vms()) {
        const double usable = vm.available_since + this->shortest_load_s;
        if (usable > now) until = std::min(until, usable);
      }
      this->AddInterval(now, until);
      now = until;
    }
    return this->bound;
  }

 private:
  void ApplyEvent(const TraceEvent& event) {
    if (event.kind == TraceEventKind::kDocument) {
      this->document = event.document;
      this->packings.clear();
      return;
    }
    this->fleet.Apply(event);
  }

  void AddInterval(double from, double until) {
    const double seconds = until - std::max(from, this->trace.measure_from);
    if (seconds <= 0) return;
    const std::vector<Product> products = ListProducts(this->document);
    std::map<DomainId, Capacity> capacities;
    int healthy = 0;
    for (const auto& [id, vm] : this->fleet.vms()) {
      if (!vm.running || vm.leaving) continue;
      ++healthy;
      Capacity& capacity = capacities[vm.domain];
      capacity.zone = vm.zone;
      // A VM that returned without a model can serve only after a load.
      if (vm.available_since == 0 || from >= vm.available_since + this->shortest_load_s)
        ++capacity.vms;
    }
    std::vector<Capacity> key;
    key.reserve(capacities.size());
    for (const auto& [domain, capacity] : capacities) key.push_back(capacity);
    std::sort(key.begin(), key.end());
    const auto [found, added] = this->packings.try_emplace(key);
    if (added) found->second = FindPackingLimit(products, key);
    int wanted = 0;
    for (const Product& product : products) wanted += product.wanted;
    this->bound.downtime_group_s += (wanted - found->second.groups) * seconds;
    this->bound.stranded_vm_s += (healthy - found->second.vms) * seconds;
  }

  const Trace& trace;
  ReplayFleet fleet;
  Document document;
  double shortest_load_s = 0;
  std::map<std::vector<Capacity>, PackingLimit> packings;
  ReplayBound bound;
};

}  // namespace

ReplayBound BoundOf(const Trace& trace) { return BoundCalculation(trace).Run(); }

}  // namespace limpetfall
