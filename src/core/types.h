#ifndef LIMPETFALL_CORE_TYPES_H_
#define LIMPETFALL_CORE_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** An entry of the platform's VM list. */
struct Vm {
  VmId id;
  std::string address;  ///< "IP:port" of the engine.
  ZoneId zone;
  DomainId domain;
  bool leaving = false;

  friend bool operator==(const Vm&, const Vm&) = default;
};

enum class EngineState { kIdle, kLoading, kReady, kLeaving };

/** What the engine of one VM says of itself. */
struct VmReport {
  VmId vm;
  std::string instance;  ///< Differs after each start of the engine.
  EngineState state = EngineState::kIdle;
  GroupId group;  ///< Empty when the VM is not assigned.
  Generation generation = 0;
  ModelName model;
  ModelVersion version;
  int rank = 0;
  int size = 0;
  int running = 0;
  int queued = 0;

  friend bool operator==(const VmReport&, const VmReport&) = default;
};

/** One group as the domain record holds it. */
struct GroupRecord {
  GroupId group;
  Generation generation = 0;
  ModelName model;
  ModelVersion version;
  std::vector<VmId> members;  ///< In order of rank; rank 0 answers completions.

  friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

/** The assignment of all VMs of one fabric domain; one key of the platform's store. */
struct DomainRecord {
  DomainId domain;
  std::int64_t revision = 0;  ///< Revision of the key in the store; 0 when the key does not exist.
  Generation last_generation = 0;
  std::vector<GroupRecord> groups;

  friend bool operator==(const DomainRecord&, const DomainRecord&) = default;
};

enum class GroupState { kLoading, kServing, kDraining, kLost };

/** A member of a group as nodes need it for dispatch and for the release check. */
struct GroupMember {
  VmId vm;
  std::string address;
  std::string instance;

  friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

/** What the owner of a domain tells all nodes about one group. */
struct GroupSummary {
  GroupId group;
  Generation generation = 0;
  DomainId domain;
  ZoneId zone;
  ModelName model;
  ModelVersion version;
  GroupState state = GroupState::kLoading;
  std::vector<GroupMember> members;  ///< In order of rank.
  int running = 0;
  int queued = 0;

  friend bool operator==(const GroupSummary&, const GroupSummary&) = default;
};

enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

/** An entry node as the others know it. */
struct NodeInfo {
  NodeId node;
  ZoneId zone;
  std::string caller_address;  ///< "IP:port" where callers connect.
  std::string node_address;    ///< "IP:port" of the Cap'n Proto RPC port.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  friend bool operator==(const NodeInfo&, const NodeInfo&) = default;
};

/** The newest configuration that a node knows of. */
struct ConfigAnnouncement {
  ConfigVersion version = 0;
  std::string manifest;  ///< JSON text of the manifest.

  friend bool operator==(const ConfigAnnouncement&, const ConfigAnnouncement&) = default;
};

/** A request that was running when an upstream was lost. */
struct SuspectMark {
  std::uint64_t fingerprint = 0;
  int losses = 0;        ///< Upstreams lost while they ran this request.
  bool cleared = false;  ///< The request has run to its end since.

  friend bool operator==(const SuspectMark&, const SuspectMark&) = default;
};

/** Requests that one team sends through one node, for limits that hold across nodes. */
struct TeamDemand {
  NodeId node;
  TeamName team;
  double requests_per_second = 0;

  friend bool operator==(const TeamDemand&, const TeamDemand&) = default;
};

/** Says that `node` has a confirmed configuration; the entry's deadline is the confirmation's. */
struct ConfigFreshness {
  NodeId node;
  ConfigVersion version = 0;

  friend bool operator==(const ConfigFreshness&, const ConfigFreshness&) = default;
};

using SharedValue = std::variant<NodeInfo, GroupSummary, ConfigAnnouncement, SuspectMark,
                                 TeamDemand, ConfigFreshness>;

/** An entry of the state spread between nodes. The higher version of a key wins. */
struct SharedEntry {
  std::string key;  ///< For example "group/ennis-1/g7".
  std::uint64_t version = 0;
  Deadline expires;  ///< The entry is dropped after this.
  SharedValue value;

  friend bool operator==(const SharedEntry&, const SharedEntry&) = default;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_TYPES_H_
