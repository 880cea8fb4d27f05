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

struct Best {
  int groups = 0;
  int vms = 0;
};

// Calls `use` with every way to fill a domain with groups, and the VMs that this takes.
void ForEachFill(const std::vector<Product>& products, const Capacity& capacity,
                 const Counts& limit, std::size_t index, int used, Counts& fill,
                 const std::function<void(int)>& use) {
  if (index == products.size()) {
    use(used);
    return;
  }
  const Product& product = products[index];
  const int most = ZoneAllowed(product, capacity.zone) ? limit[index] : 0;
  for (int count = 0; count <= most && used + count * product.size <= capacity.vms; ++count) {
    fill[index] = count;
    ForEachFill(products, capacity, limit, index + 1, used + count * product.size, fill, use);
  }
  fill[index] = 0;
}

// Finds by dynamic programming over the domains how many wanted groups, and how many VMs in wanted
// groups, can serve at the same time.
Best BestPacking(const std::vector<Product>& products, const std::vector<Capacity>& capacities) {
  std::set<Counts> reachable = {Counts(products.size())};
  for (const Capacity& capacity : capacities) {
    std::set<Counts> next;
    for (const Counts& before : reachable) {
      Counts limit;
      for (std::size_t i = 0; i < products.size(); ++i) {
        limit.push_back(products[i].wanted - before[i]);
      }
      Counts fill(products.size());
      ForEachFill(products, capacity, limit, 0, 0, fill, [&next, &before, &fill](int /*used*/) {
        Counts after = before;
        for (std::size_t i = 0; i < after.size(); ++i) after[i] += fill[i];
        next.insert(std::move(after));
      });
    }
    reachable = std::move(next);
  }
  Best best;
  for (const Counts& counts : reachable) {
    Best here;
    for (std::size_t i = 0; i < counts.size(); ++i) {
      here.groups += counts[i];
      here.vms += counts[i] * products[i].size;
    }
    best.groups = std::max(best.groups, here.groups);
    best.vms = std::max(best.vms, here.vms);
  }
  return best;
}

class BoundRun {
 public:
  explicit BoundRun(const Trace& source) : trace(source), fleet(source), document(source.document) {
    this->quickest_load = std::numeric_limits<double>::max();
    for (const auto& [model, seconds] : source.load_s) {
      this->quickest_load = std::min(this->quickest_load, seconds);
    }
  }

  ReplayBound Run() {
    auto next = this->trace.events.begin();
    for (double now = 0; now < this->trace.until;) {
      for (; next != this->trace.events.end() && next->at <= now; ++next) this->Handle(*next);
      double until = this->trace.until;
      if (next != this->trace.events.end()) until = std::min(until, next->at);
      for (const auto& [id, vm] : this->fleet.vms()) {
        const double usable = vm.back_since + this->quickest_load;
        if (usable > now) until = std::min(until, usable);
      }
      this->Add(now, until);
      now = until;
    }
    return this->bound;
  }

 private:
  void Handle(const TraceEvent& event) {
    if (event.kind == TraceEventKind::kDocument) {
      this->document = event.document;
      this->packings.clear();
      return;
    }
    this->fleet.Apply(event);
  }

  void Add(double from, double until) {
    const double seconds = until - std::max(from, this->trace.measure_from);
    if (seconds <= 0) return;
    const std::vector<Product> products = ListProducts(this->document);
    std::map<DomainId, Capacity> capacities;
    int healthy = 0;
    for (const auto& [id, vm] : this->fleet.vms()) {
      if (!vm.alive || vm.leaving) continue;
      ++healthy;
      Capacity& capacity = capacities[vm.domain];
      capacity.zone = vm.zone;
      // A VM that came back without a model serves at the earliest after a load.
      if (vm.back_since == 0 || from >= vm.back_since + this->quickest_load) ++capacity.vms;
    }
    std::vector<Capacity> key;
    key.reserve(capacities.size());
    for (const auto& [domain, capacity] : capacities) key.push_back(capacity);
    std::sort(key.begin(), key.end());
    const auto [found, added] = this->packings.try_emplace(key);
    if (added) found->second = BestPacking(products, key);
    int wanted = 0;
    for (const Product& product : products) wanted += product.wanted;
    this->bound.downtime_group_s += (wanted - found->second.groups) * seconds;
    this->bound.stranded_vm_s += (healthy - found->second.vms) * seconds;
  }

  const Trace& trace;
  ReplayFleet fleet;
  Document document;
  double quickest_load = 0;
  std::map<std::vector<Capacity>, Best> packings;
  ReplayBound bound;
};

}  // namespace

ReplayBound BoundOf(const Trace& trace) { return BoundRun(trace).Run(); }

}  // namespace limpetfall
