#include "node/node-table.h"

#include <algorithm>
#include <bitset>
#include <utility>

namespace limpetfall::detail {
namespace {

// Messages are limited to 8 MiB. Entries that do not fit are sent in a later exchange.
constexpr std::size_t kMaxMessageBytes = 1 << 20;

constexpr std::size_t kEntryOverheadBytes = 160;
constexpr std::size_t kMemberBytes = 96;

// Members do not expire as other entries do; the membership core removes them.
constexpr auto kMemberLifetime = std::chrono::hours(1);

std::string MemberKey(const NodeId& node) { return "node/" + node.value; }

std::size_t ApproximateBytes(const SharedEntry& entry) {
  std::size_t bytes = kEntryOverheadBytes + entry.key.size();
  if (const auto* config = std::get_if<ConfigAnnouncement>(&entry.value)) {
    bytes += config->manifest.size();
  } else if (const auto* group = std::get_if<GroupSummary>(&entry.value)) {
    bytes += kMemberBytes * group->members.size();
  }
  return bytes;
}

EntryDigest DigestOf(const SharedEntry& entry, TimePoint now) {
  const auto remaining =
      std::clamp(TimeLeft(entry.expires, now), Milliseconds(1), kMaxLifetime).count();
  return {HashKey(entry.key), entry.version, static_cast<std::uint32_t>(remaining)};
}

}  // namespace

SharedEntry MemberEntry(const NodeInfo& info, TimePoint now) {
  return {MemberKey(info.node), MemberVersion(info), now + kMemberLifetime, info};
}

NodeTable::NodeTable(SharedState& shared_state, Membership membership)
    : state(shared_state), core(std::move(membership)) {}

NodeInfo NodeTable::Self() const {
  return this->WithMembership([](const Membership& membership) { return membership.self(); });
}

std::vector<NodeInfo> NodeTable::LiveMembers() const {
  return this->WithMembership([](const Membership& membership) {
    auto members = membership.Members();
    std::erase_if(members, [&](const NodeInfo& info) {
      return info.state == MemberState::kDead || info.node == membership.self().node;
    });
    return members;
  });
}

std::vector<EntryDigest> NodeTable::Digests(TimePoint now) const {
  std::vector<EntryDigest> digests;
  for (const NodeInfo& info :
       this->WithMembership([](const Membership& membership) { return membership.Members(); })) {
    digests.push_back({HashKey(MemberKey(info.node)), MemberVersion(info), 0});
  }
  this->state.Visit([&](const SharedEntry& entry) { digests.push_back(DigestOf(entry, now)); },
                    now);
  return digests;
}

TableDifference NodeTable::Compare(const std::vector<std::uint16_t>& differing,
                                   const std::vector<EntryDigest>& remote, TimePoint now) const {
  std::bitset<kBucketCount> buckets;
  for (const std::uint16_t bucket : differing) {
    if (bucket < kBucketCount) buckets.set(bucket);
  }
  std::unordered_map<std::uint64_t, EntryDigest> local;
  for (const EntryDigest& digest : this->Digests(now)) {
    if (buckets.test(BucketIndex(digest.key))) local.emplace(digest.key, digest);
  }
  TableDifference difference;
  for (const EntryDigest& digest : remote) {
    const auto found = local.find(digest.key);
    if (found == local.end() || digest.version > found->second.version) {
      difference.wanted.push_back(digest.key);
    } else if (HasLaterExpiry(digest, found->second)) {
      difference.received_renewals.push_back(digest);
    } else if (HasLaterExpiry(found->second, digest)) {
      difference.renewals.push_back(found->second);
    }
    if (found != local.end() && digest.version >= found->second.version) local.erase(found);
  }
  for (const auto& [key, digest] : local) difference.offered.insert(key);
  return difference;
}

std::vector<SharedEntry> NodeTable::Collect(const EntryKeys& keys, TimePoint now) const {
  std::vector<SharedEntry> found;
  if (keys.empty()) return found;
  std::size_t bytes = 0;
  const auto add = [&](const SharedEntry& entry) {
    if (bytes > 0 && bytes + ApproximateBytes(entry) > kMaxMessageBytes) return;
    bytes += ApproximateBytes(entry);
    found.push_back(entry);
  };
  for (const NodeInfo& info :
       this->WithMembership([](const Membership& membership) { return membership.Members(); })) {
    if (keys.contains(HashKey(MemberKey(info.node)))) add(MemberEntry(info, now));
  }
  this->state.Visit(
      [&](const SharedEntry& entry) {
        if (keys.contains(HashKey(entry.key))) add(entry);
      },
      now);
  return found;
}

bool NodeTable::Store(const SharedEntry& entry, Urgency urgency, TimePoint now,
                      MembershipActions& actions) {
  if (const auto* info = std::get_if<NodeInfo>(&entry.value)) {
    const std::lock_guard lock(this->mutex);
    for (auto& action : this->core.OnUpdate(*info, now)) actions.push_back(std::move(action));
    return true;
  }
  if (this->state.Put(entry, urgency, now)) return true;
  const auto held = this->state.Find(entry.key, now);
  return held && held->version >= entry.version;
}

// Extends the expiry without sending the content again: a renewal takes 24 bytes, a group summary
// of 16 VMs more than 1 KB.
void NodeTable::ExtendExpiry(const std::vector<EntryDigest>& digests, Milliseconds age,
                             TimePoint now) {
  if (digests.empty()) return;
  std::unordered_map<std::uint64_t, EntryDigest> reported;
  for (const EntryDigest& digest : digests) reported.emplace(digest.key, digest);
  std::vector<SharedEntry> extended;
  this->state.Visit(
      [&](const SharedEntry& entry) {
        const auto found = reported.find(HashKey(entry.key));
        if (found == reported.end() || found->second.version != entry.version) return;
        const Milliseconds remaining = Milliseconds(found->second.remaining_ms) - age;
        const Deadline expires = now + std::min(remaining, kMaxLifetime);
        if (expires <= entry.expires) return;
        extended.push_back(entry);
        extended.back().expires = expires;
      },
      now);
  for (SharedEntry& entry : extended) this->state.Put(std::move(entry), Urgency::kNormal, now);
}

void NodeTable::RecordContact(const NodeId& node, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->contacts[node] = now;
}

std::vector<NodeId> NodeTable::NodesContactedSince(TimePoint since) const {
  const std::lock_guard lock(this->mutex);
  std::vector<NodeId> nodes;
  for (const auto& [node, time] : this->contacts) {
    const auto info = this->core.Find(node);
    if (time >= since && info && info->state != MemberState::kDead) nodes.push_back(node);
  }
  return nodes;
}

std::size_t NodeTable::RemoveExpired(TimePoint now) {
  {
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->contacts,
                  [&](const auto& item) { return !this->core.Find(item.first).has_value(); });
  }
  return this->state.RemoveExpired(now);
}

}  // namespace limpetfall::detail
