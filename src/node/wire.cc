#include "node/wire.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <utility>

#include "node/digest.h"

namespace limpetfall::detail {
namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxManifestBytes = 1 << 20;  // Limit of a value in the platform's store.
constexpr std::uint32_t kMaxMembers = 1024;

std::string ToString(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

bool IsWithinNameLimit(const std::string& text) { return text.size() <= kMaxNameBytes; }

wire::MemberState ToWire(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return wire::MemberState::ALIVE;
    case MemberState::kSuspect:
      return wire::MemberState::SUSPECT;
    case MemberState::kLeaving:
      return wire::MemberState::LEAVING;
    case MemberState::kDead:
      return wire::MemberState::DEAD;
  }
  return wire::MemberState::DEAD;
}

std::optional<MemberState> FromWire(wire::MemberState state) {
  switch (state) {
    case wire::MemberState::ALIVE:
      return MemberState::kAlive;
    case wire::MemberState::SUSPECT:
      return MemberState::kSuspect;
    case wire::MemberState::LEAVING:
      return MemberState::kLeaving;
    case wire::MemberState::DEAD:
      return MemberState::kDead;
  }
  return std::nullopt;
}

wire::GroupState ToWire(GroupState state) {
  switch (state) {
    case GroupState::kLoading:
      return wire::GroupState::LOADING;
    case GroupState::kServing:
      return wire::GroupState::SERVING;
    case GroupState::kDraining:
      return wire::GroupState::DRAINING;
    case GroupState::kLost:
      return wire::GroupState::LOST;
  }
  return wire::GroupState::LOST;
}

std::optional<GroupState> FromWire(wire::GroupState state) {
  switch (state) {
    case wire::GroupState::LOADING:
      return GroupState::kLoading;
    case wire::GroupState::SERVING:
      return GroupState::kServing;
    case wire::GroupState::DRAINING:
      return GroupState::kDraining;
    case wire::GroupState::LOST:
      return GroupState::kLost;
  }
  return std::nullopt;
}

void WriteValue(const NodeInfo& info, wire::Entry::Builder builder) {
  WriteNodeInfo(info, builder.initNode());
}

void WriteValue(const GroupSummary& summary, wire::Entry::Builder entry) {
  auto builder = entry.initGroup();
  builder.setGroup(summary.group.value);
  builder.setGeneration(summary.generation);
  builder.setDomain(summary.domain.value);
  builder.setZone(summary.zone.value);
  builder.setModel(summary.model.value);
  builder.setVersion(summary.version.value);
  builder.setState(ToWire(summary.state));
  builder.setRunning(summary.running);
  builder.setQueued(summary.queued);
  auto members = builder.initMembers(static_cast<unsigned>(summary.members.size()));
  for (unsigned i = 0; i < members.size(); ++i) {
    members[i].setVm(summary.members[i].vm.value);
    members[i].setAddress(summary.members[i].address);
    members[i].setInstance(summary.members[i].instance);
  }
}

void WriteValue(const ConfigAnnouncement& config, wire::Entry::Builder entry) {
  auto builder = entry.initConfig();
  builder.setVersion(config.version);
  builder.setManifest(config.manifest);
}

void WriteValue(const SuspectMark& mark, wire::Entry::Builder entry) {
  auto builder = entry.initSuspect();
  builder.setFingerprint(mark.fingerprint);
  builder.setLosses(mark.losses);
  builder.setCleared(mark.cleared);
}

void WriteValue(const TeamDemand& demand, wire::Entry::Builder entry) {
  auto builder = entry.initDemand();
  builder.setNode(demand.node.value);
  builder.setTeam(demand.team.value);
  builder.setRequestsPerSecond(demand.requests_per_second);
}

void WriteValue(const ConfigFreshness& freshness, wire::Entry::Builder entry) {
  auto builder = entry.initFreshness();
  builder.setNode(freshness.node.value);
  builder.setVersion(freshness.version);
}

std::optional<SharedValue> ReadGroup(wire::GroupSummary::Reader reader) {
  const auto state = FromWire(reader.getState());
  if (!state || reader.getMembers().size() > kMaxMembers) return std::nullopt;
  GroupSummary summary;
  summary.group = GroupId(ToString(reader.getGroup()));
  summary.generation = reader.getGeneration();
  summary.domain = DomainId(ToString(reader.getDomain()));
  summary.zone = ZoneId(ToString(reader.getZone()));
  summary.model = ModelName(ToString(reader.getModel()));
  summary.version = ModelVersion(ToString(reader.getVersion()));
  summary.state = *state;
  summary.running = reader.getRunning();
  summary.queued = reader.getQueued();
  for (const auto member : reader.getMembers()) {
    summary.members.push_back({VmId(ToString(member.getVm())), ToString(member.getAddress()),
                               ToString(member.getInstance())});
  }
  return summary;
}

std::optional<SharedValue> ReadConfig(wire::ConfigAnnouncement::Reader reader) {
  if (reader.getManifest().size() > kMaxManifestBytes) return std::nullopt;
  return ConfigAnnouncement{reader.getVersion(), ToString(reader.getManifest())};
}

std::optional<SharedValue> ReadDemand(wire::TeamDemand::Reader reader) {
  const double rate = reader.getRequestsPerSecond();
  if (!std::isfinite(rate) || rate < 0) return std::nullopt;
  return TeamDemand{NodeId(ToString(reader.getNode())), TeamName(ToString(reader.getTeam())), rate};
}

std::optional<SharedValue> ReadValue(wire::Entry::Reader reader) {
  switch (reader.which()) {
    case wire::Entry::NODE: {
      auto info = ReadNodeInfo(reader.getNode());
      if (!info) return std::nullopt;
      return *std::move(info);
    }
    case wire::Entry::GROUP:
      return ReadGroup(reader.getGroup());
    case wire::Entry::CONFIG:
      return ReadConfig(reader.getConfig());
    case wire::Entry::SUSPECT: {
      const auto mark = reader.getSuspect();
      return SuspectMark{mark.getFingerprint(), mark.getLosses(), mark.getCleared()};
    }
    case wire::Entry::DEMAND:
      return ReadDemand(reader.getDemand());
    case wire::Entry::FRESHNESS: {
      const auto freshness = reader.getFreshness();
      return ConfigFreshness{NodeId(ToString(freshness.getNode())), freshness.getVersion()};
    }
  }
  // A newer version of this program may send kinds of entries that this version does not support.
  return std::nullopt;
}

}  // namespace

void WriteNodeInfo(const NodeInfo& info, wire::NodeInfo::Builder builder) {
  builder.setNode(info.node.value);
  builder.setZone(info.zone.value);
  builder.setCallerAddress(info.caller_address);
  builder.setNodeAddress(info.node_address);
  builder.setIncarnation(info.incarnation);
  builder.setState(ToWire(info.state));
}

std::optional<NodeInfo> ReadNodeInfo(wire::NodeInfo::Reader reader) {
  const auto state = FromWire(reader.getState());
  if (!state) return std::nullopt;
  NodeInfo info{NodeId(ToString(reader.getNode())),
                ZoneId(ToString(reader.getZone())),
                ToString(reader.getCallerAddress()),
                ToString(reader.getNodeAddress()),
                reader.getIncarnation(),
                *state};
  // The event loop would start a resolver thread for a host name.
  const bool numeric = info.node_address.find_first_not_of("0123456789.:") == std::string::npos;
  const bool valid = numeric && !info.node.value.empty() && IsWithinNameLimit(info.node.value) &&
                     IsWithinNameLimit(info.zone.value) && IsWithinNameLimit(info.caller_address) &&
                     IsWithinNameLimit(info.node_address);
  // The version of a member is four times its incarnation and must not overflow.
  if (!valid || info.incarnation >= std::numeric_limits<std::uint64_t>::max() / 8) {
    return std::nullopt;
  }
  return info;
}

void WriteEntry(const SharedEntry& entry, TimePoint now, wire::Entry::Builder builder) {
  builder.setKey(entry.key);
  builder.setVersion(entry.version);
  builder.setRemainingMs(
      static_cast<std::uint32_t>(std::min(TimeLeft(entry.expires, now), kMaxLifetime).count()));
  std::visit([&](const auto& value) { WriteValue(value, builder); }, entry.value);
}

std::optional<SharedEntry> ReadEntry(wire::Entry::Reader reader, Milliseconds age, TimePoint now) {
  const Milliseconds remaining =
      std::min(Milliseconds(reader.getRemainingMs()), kMaxLifetime) - age;
  const std::string key = ToString(reader.getKey());
  if (remaining <= Milliseconds(0) || key.empty() || !IsWithinNameLimit(key)) return std::nullopt;
  auto value = ReadValue(reader);
  if (!value) return std::nullopt;
  return SharedEntry{key, reader.getVersion(), now + remaining, *std::move(value)};
}

}  // namespace limpetfall::detail
