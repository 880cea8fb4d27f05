#include "daemon/domain-owner.h"

#include <unistd.h>

#include <algorithm>
#include <random>

namespace limpetfall {

std::string GroupSummaryKey(const GroupId& group) { return "group/" + group.value; }

namespace detail {
namespace {

// Changes of load and unchanged summaries are published at these intervals; changes of state are
// published immediately.
constexpr Milliseconds kLoadPublishInterval{1000};
constexpr Milliseconds kRenewalInterval{2000};

// Bits for versions within one record revision. The versions of a later revision are above all
// versions of an earlier one.
constexpr int kVersionBits = 20;

bool DiffersExceptLoad(const GroupSummary& a, const GroupSummary& b) {
  GroupSummary with_same_load = b;
  with_same_load.running = a.running;
  with_same_load.queued = a.queued;
  return a != with_same_load;
}

}  // namespace

AssemblyOptions AssemblyOptionsFrom(const Settings& settings, const DomainId& domain) {
  AssemblyOptions options;
  options.domain = domain;
  // One lost round does not mean that the VM is lost.
  options.report_age_limit =
      Milliseconds(2 * settings.report_timeout_ms + settings.report_interval_ms);
  options.summary_lifetime = Milliseconds(settings.summary_lifetime_ms);
  options.order_delay_bound = Milliseconds(settings.order_delay_bound_ms);
  options.drain_timeout = Milliseconds(settings.request_timeout_ms);
  return options;
}

void CountOtherGroups(const std::vector<SharedEntry>& entries, const DomainId& own,
                      AssemblyInput& input) {
  const std::vector<Product>& products = input.placement->products;
  input.groups_in_other_domains.assign(products.size(), 0);
  input.not_draining_in_other_domains.assign(products.size(), 0);
  for (const SharedEntry& entry : entries) {
    const auto* group = std::get_if<GroupSummary>(&entry.value);
    if (group == nullptr || group->domain == own || group->state == GroupState::kLost) continue;
    const int product = FindProduct(products, group->model, group->version);
    if (product < 0) continue;
    ++input.groups_in_other_domains[static_cast<std::size_t>(product)];
    if (group->state == GroupState::kDraining) continue;
    ++input.not_draining_in_other_domains[static_cast<std::size_t>(product)];
  }
}

std::string NewWriterToken(const NodeId& node) {
  static const std::uint64_t process = std::random_device{}();
  static std::atomic<std::uint64_t> count = 0;
  return node.value + "-" + std::to_string(getpid()) + "-" + std::to_string(process) + "-" +
         std::to_string(++count);
}

void SummaryPublisher::Publish(SharedState& state, const std::vector<SummaryUpdate>& updates,
                               std::int64_t record_revision, TimePoint now) {
  for (const SummaryUpdate& update : updates) {
    const auto last = this->published.find(update.summary.group);
    if (last != this->published.end() && !update.urgent) {
      const bool changed = DiffersExceptLoad(last->second.summary, update.summary);
      const bool load_changed = last->second.summary != update.summary;
      const auto age = now - last->second.at;
      if (!changed && age < (load_changed ? kLoadPublishInterval : kRenewalInterval)) continue;
    }
    const std::string key = GroupSummaryKey(update.summary.group);
    std::uint64_t version = static_cast<std::uint64_t>(record_revision) << kVersionBits;
    if (const auto existing = state.Find(key, now)) {
      const auto* other = std::get_if<GroupSummary>(&existing->value);
      // Another owner has rebuilt the group; the record of this owner is out of date.
      if (other != nullptr && other->generation > update.summary.generation) continue;
      version = std::max(version, existing->version + 1);
    }
    state.Put({key, version, update.serve_until, update.summary},
              update.urgent ? Urgency::kUrgent : Urgency::kNormal, now);
    this->published[update.summary.group] = {update.summary, now};
  }
  std::erase_if(this->published, [&updates](const auto& entry) {
    return std::none_of(updates.begin(), updates.end(), [&entry](const SummaryUpdate& update) {
      return update.summary.group == entry.first;
    });
  });
}

}  // namespace detail
}  // namespace limpetfall
