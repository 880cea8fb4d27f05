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

/** Status report of the engine on one VM. */
struct VmReport {
  VmId vm;
  std::string instance;  ///< Identifies one run of the engine; changes at each start.
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

/** A group as stored in the domain record. */
struct GroupRecord {
  GroupId group;
  Generation generation = 0;
  ModelName model;
  ModelVersion version;
  std::vector<VmId> members;  ///< In order of rank; rank 0 answers completions.

  friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

/** The assignment of all VMs of one fabric domain, stored under one key of the platform's store. */
struct DomainRecord {
  DomainId domain;
  std::int64_t revision = 0;  ///< Revision of the key in the store; 0 when the key does not exist.
  Generation last_generation = 0;
  std::vector<GroupRecord> groups;

  friend bool operator==(const DomainRecord&, const DomainRecord&) = default;
};

enum class GroupState { kLoading, kServing, kDraining, kLost };

/** The data of a group member that nodes need for dispatch and for the release check. */
struct GroupMember {
  VmId vm;
  std::string address;
  std::string instance;

  friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

/** State of one group, published by the owner of its domain to all nodes. */
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

/** Addresses and membership state of an entry node, as shared between nodes. */
struct NodeInfo {
  NodeId node;
  ZoneId zone;
  std::string caller_address;  ///< "IP:port" where callers connect.
  std::string node_address;    ///< "IP:port" of the Cap'n Proto RPC port.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  friend bool operator==(const NodeInfo&, const NodeInfo&) = default;
};

/** Announces the newest configuration known to a node. */
struct ConfigAnnouncement {
  ConfigVersion version = 0;
  std::string manifest;  ///< JSON text of the manifest.

  friend bool operator==(const ConfigAnnouncement&, const ConfigAnnouncement&) = default;
};

/** Marks a request that was running when an upstream was lost. */
struct SuspectMark {
  std::uint64_t fingerprint = 0;
  int losses = 0;        ///< Number of upstreams lost while they ran this request.
  bool cleared = false;  ///< The request has completed since the last loss.

  friend bool operator==(const SuspectMark&, const SuspectMark&) = default;
};

/** Request rate of one team at one node. Used for limits that apply to the sum over all nodes. */
struct TeamDemand {
  NodeId node;
  TeamName team;
  double requests_per_second = 0;

  friend bool operator==(const TeamDemand&, const TeamDemand&) = default;
};

/** Indicates that `node` has a confirmed configuration. The shared entry that holds this value
 * expires together with the confirmation. */
struct ConfigFreshness {
  NodeId node;
  ConfigVersion version = 0;

  friend bool operator==(const ConfigFreshness&, const ConfigFreshness&) = default;
};

using SharedValue = std::variant<NodeInfo, GroupSummary, ConfigAnnouncement, SuspectMark,
                                 TeamDemand, ConfigFreshness>;

/** An entry of the state replicated between nodes. For each key, the highest version is kept. */
struct SharedEntry {
  std::string key;  ///< For example "group/ennis-1/g7".
  std::uint64_t version = 0;
  Deadline expires;  ///< The entry is discarded at this time.
  SharedValue value;

  friend bool operator==(const SharedEntry&, const SharedEntry&) = default;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_TYPES_H_
