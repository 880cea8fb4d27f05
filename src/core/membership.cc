#include "core/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace limpetfall {
namespace {

// Every fifth round also probes a dead member, so that the two sides of a healed partition rejoin.
constexpr std::uint64_t kDeadProbePeriodRounds = 5;

std::uint64_t StateRank(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kLeaving:
      return 1;
    case MemberState::kSuspect:
      return 2;
    case MemberState::kDead:
      return 3;
  }
  return 3;
}

/** Rendezvous hashing: the node with the highest weight owns the domain. */
std::uint64_t Weight(const NodeId& node, const DomainId& domain) {
  const std::uint64_t seed = XXH3_64bits(domain.value.data(), domain.value.size());
  return XXH3_64bits_withSeed(node.value.data(), node.value.size(), seed);
}

}  // namespace

std::uint64_t MemberVersion(const NodeInfo& info) {
  return info.incarnation * 4 + StateRank(info.state);
}

Result<Membership> Membership::Create(NodeInfo self, MembershipOptions options,
                                      std::mt19937_64 random, TimePoint now) {
  if (self.node.value.empty()) return NotRun(ErrorCode::kInvalidArgument, "node id is empty");
  if (options.probe_interval <= Milliseconds(0) || options.probe_timeout <= Milliseconds(0) ||
      options.probe_timeout > options.probe_interval) {
    return NotRun(ErrorCode::kInvalidArgument, "probe timeout must not exceed probe interval");
  }
  self.state = MemberState::kAlive;
  return Membership(std::move(self), options, random, now);
}

Membership::Membership(NodeInfo self, MembershipOptions settings, std::mt19937_64 generator,
                       TimePoint now)
    : own(std::move(self)), options(settings), random(generator), next_probe(now), last_tick(now) {}

MembershipActions Membership::Tick(TimePoint now) {
  MembershipActions actions;
  this->ExtendDeadlinesAfterPause(now);
  this->CheckProbes(now, actions);
  this->CheckDeadlines(now, actions);
  if (now < this->next_probe) return actions;
  this->next_probe += this->options.probe_interval;
  if (this->next_probe <= now) this->next_probe = now + this->options.probe_interval;
  const auto target = this->NextTarget();
  if (target) this->StartProbe(*target, now, actions);
  const auto successor = this->Successor();
  if (successor && successor != target) this->StartProbe(*successor, now, actions);
  if (!target || ++this->rounds % kDeadProbePeriodRounds == 0) this->ProbeDeadMember(actions);
  return actions;
}

TimePoint Membership::NextTick() const {
  TimePoint next = this->next_probe;
  for (const auto& [number, probe] : this->probes) {
    next = std::min(next, probe.indirect_sent ? probe.final : probe.direct);
  }
  for (const auto& [node, member] : this->members) {
    const MemberState state = member.info.state;
    if (state == MemberState::kSuspect || state == MemberState::kDead) {
      next = std::min(next, member.deadline);
    }
  }
  return next;
}

// A process receives no responses while it is paused, so its expired deadlines do not indicate
// failures of other nodes. Pending probes are dropped and suspicions are extended by the pause.
void Membership::ExtendDeadlinesAfterPause(TimePoint now) {
  const auto gap = now - this->last_tick;
  this->last_tick = std::max(this->last_tick, now);
  if (gap <= 2 * this->options.probe_interval) return;
  this->probes.clear();
  for (auto& [node, member] : this->members) {
    if (member.info.state == MemberState::kSuspect) member.deadline += gap;
  }
}

void Membership::CheckProbes(TimePoint now, MembershipActions& actions) {
  for (auto it = this->probes.begin(); it != this->probes.end();) {
    auto& [number, probe] = *it;
    if (probe.final <= now) {
      const NodeId target = probe.target;
      it = this->probes.erase(it);
      this->Suspect(target, now, actions);
      continue;
    }
    if (probe.direct <= now) this->SendIndirect(number, probe, actions);
    ++it;
  }
}

void Membership::CheckDeadlines(TimePoint now, MembershipActions& actions) {
  for (auto it = this->members.begin(); it != this->members.end();) {
    Member& member = it->second;
    const bool due = member.deadline <= now;
    if (due && member.info.state == MemberState::kDead) {
      it = this->members.erase(it);
      continue;
    }
    if (due && member.info.state == MemberState::kSuspect) {
      NodeInfo dead = member.info;
      dead.state = MemberState::kDead;
      this->Store(dead, now);
      actions.emplace_back(AnnounceMember{dead});
    }
    ++it;
  }
}

void Membership::StartProbe(const NodeId& target, TimePoint now, MembershipActions& actions) {
  const Deadline direct = now + this->options.probe_timeout;
  const std::uint64_t number = ++this->last_probe;
  this->probes[number] = {target, direct, direct + this->options.probe_timeout, false};
  actions.emplace_back(SendProbe{this->members.at(target).info, number});
}

// The probe has no entry in `probes`, so its failure has no effect.
void Membership::ProbeDeadMember(MembershipActions& actions) {
  std::vector<const NodeInfo*> dead;
  for (const auto& [node, member] : this->members) {
    if (member.info.state == MemberState::kDead) dead.push_back(&member.info);
  }
  if (dead.empty()) return;
  actions.emplace_back(SendProbe{*dead[this->RandomIndex(dead.size())], ++this->last_probe});
}

void Membership::SendIndirect(std::uint64_t number, PendingProbe& probe,
                              MembershipActions& actions) {
  if (std::exchange(probe.indirect_sent, true)) return;
  const auto target = this->members.find(probe.target);
  if (target == this->members.end()) return;
  std::vector<const NodeInfo*> others;
  for (const auto& [node, member] : this->members) {
    const MemberState state = member.info.state;
    const bool can_relay = state == MemberState::kAlive || state == MemberState::kLeaving;
    if (can_relay && node != probe.target) others.push_back(&member.info);
  }
  std::vector<const NodeInfo*> chosen;
  std::sample(others.begin(), others.end(), std::back_inserter(chosen),
              this->options.indirect_probes, this->random);
  for (const NodeInfo* via : chosen) {
    actions.emplace_back(SendIndirectProbe{*via, target->second.info, number});
  }
}

bool Membership::IsNotDead(const NodeId& node) const {
  const auto found = this->members.find(node);
  return found != this->members.end() && found->second.info.state != MemberState::kDead;
}

std::optional<NodeId> Membership::NextTarget() {
  // The second pass uses a newly shuffled list of all members.
  for (int pass = 0; pass < 2; ++pass) {
    while (this->next_probe_index < this->probe_order.size()) {
      const NodeId& candidate = this->probe_order[this->next_probe_index++];
      if (this->IsNotDead(candidate)) return candidate;
    }
    this->probe_order.clear();
    this->next_probe_index = 0;
    for (const auto& [node, member] : this->members) {
      if (member.info.state != MemberState::kDead) this->probe_order.push_back(node);
    }
    std::shuffle(this->probe_order.begin(), this->probe_order.end(), this->random);
  }
  return std::nullopt;
}

std::optional<NodeId> Membership::Successor() const {
  const auto not_dead = [](const auto& item) {
    return item.second.info.state != MemberState::kDead;
  };
  const auto after = this->members.upper_bound(this->own.node);
  auto found = std::find_if(after, this->members.end(), not_dead);
  if (found == this->members.end()) {
    found = std::find_if(this->members.begin(), after, not_dead);
    if (found == after) return std::nullopt;
  }
  return found->first;
}

std::size_t Membership::RandomIndex(std::size_t size) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(this->random);
}

void Membership::OnProbeAnswered(std::uint64_t probe) { this->probes.erase(probe); }

MembershipActions Membership::OnProbeFailed(std::uint64_t probe, TimePoint now) {
  MembershipActions actions;
  const auto found = this->probes.find(probe);
  if (found == this->probes.end() || found->second.final <= now) return actions;
  this->SendIndirect(probe, found->second, actions);
  return actions;
}

MembershipActions Membership::Probe(const NodeId& node, TimePoint now) {
  MembershipActions actions;
  if (!this->IsNotDead(node)) return actions;
  const bool pending = std::any_of(this->probes.begin(), this->probes.end(),
                                   [&](const auto& item) { return item.second.target == node; });
  if (!pending) this->StartProbe(node, now, actions);
  return actions;
}

void Membership::Suspect(const NodeId& node, TimePoint now, MembershipActions& actions) {
  const auto found = this->members.find(node);
  if (found == this->members.end()) return;
  NodeInfo suspect = found->second.info;
  suspect.state = MemberState::kSuspect;
  if (MemberVersion(suspect) <= MemberVersion(found->second.info)) return;
  this->Store(suspect, now);
  actions.emplace_back(AnnounceMember{suspect});
}

MembershipActions Membership::OnUpdate(const NodeInfo& info, TimePoint now) {
  MembershipActions actions;
  if (info.node == this->own.node) {
    if (MemberVersion(info) > MemberVersion(this->own)) this->Refute(info, actions);
    return actions;
  }
  const auto found = this->members.find(info.node);
  if (found == this->members.end()) {
    // An expired entry of a dead node must not be added again.
    if (info.state == MemberState::kDead) return actions;
    const std::size_t position =
        this->next_probe_index +
        this->RandomIndex(this->probe_order.size() - this->next_probe_index + 1);
    this->probe_order.insert(this->probe_order.begin() + static_cast<std::ptrdiff_t>(position),
                             info.node);
  } else if (MemberVersion(info) <= MemberVersion(found->second.info)) {
    return actions;
  }
  this->Store(info, now);
  actions.emplace_back(AnnounceMember{info, false});
  return actions;
}

void Membership::Refute(const NodeInfo& claim, MembershipActions& actions) {
  this->own.incarnation = claim.incarnation + 1;
  actions.emplace_back(AnnounceMember{this->own});
}

void Membership::Store(const NodeInfo& info, TimePoint now) {
  Member& member = this->members[info.node];
  const bool newer = info.incarnation > member.info.incarnation;
  member.leaving = info.state == MemberState::kLeaving || (member.leaving && !newer);
  member.info = info;
  if (info.state == MemberState::kSuspect) member.deadline = now + this->options.suspicion;
  if (info.state == MemberState::kDead) member.deadline = now + this->options.dead_retention;
}

MembershipActions Membership::SetLeaving(TimePoint) {
  if (this->own.state == MemberState::kLeaving) return {};
  this->own.state = MemberState::kLeaving;
  ++this->own.incarnation;
  return {AnnounceMember{this->own}};
}

std::vector<NodeInfo> Membership::Members() const {
  std::vector<NodeInfo> all;
  all.reserve(this->members.size() + 1);
  for (const auto& [node, member] : this->members) all.push_back(member.info);
  const auto position =
      std::lower_bound(all.begin(), all.end(), this->own,
                       [](const NodeInfo& a, const NodeInfo& b) { return a.node < b.node; });
  all.insert(position, this->own);
  return all;
}

std::optional<NodeInfo> Membership::Find(const NodeId& node) const {
  if (node == this->own.node) return this->own;
  const auto found = this->members.find(node);
  if (found == this->members.end()) return std::nullopt;
  return found->second.info;
}

std::optional<NodeId> Membership::OwnerOf(const DomainId& domain) const {
  std::optional<NodeId> owner;
  std::uint64_t best = 0;
  const auto consider = [&](const NodeId& node) {
    const std::uint64_t weight = Weight(node, domain);
    if (owner && std::tie(weight, node) <= std::tie(best, *owner)) return;
    owner = node;
    best = weight;
  };
  if (this->own.state != MemberState::kLeaving) consider(this->own.node);
  for (const auto& [node, member] : this->members) {
    if (member.info.state != MemberState::kDead && !member.leaving) consider(node);
  }
  return owner;
}

std::vector<std::string> Membership::CallerAddresses(const ZoneId& zone) const {
  std::vector<std::tuple<bool, bool, std::string>> ranked;
  const auto consider = [&](const NodeInfo& info) {
    ranked.emplace_back(info.state == MemberState::kSuspect, info.zone != zone,
                        info.caller_address);
  };
  if (this->own.state != MemberState::kLeaving) consider(this->own);
  for (const auto& [node, member] : this->members) {
    if (member.info.state != MemberState::kDead && !member.leaving) consider(member.info);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> addresses;
  addresses.reserve(ranked.size());
  for (auto& [suspect, elsewhere, address] : ranked) addresses.push_back(std::move(address));
  return addresses;
}

}  // namespace limpetfall
