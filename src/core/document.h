#ifndef LIMPETFALL_CORE_DOCUMENT_H_
#define LIMPETFALL_CORE_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace limpetfall {

/** Order in which waiting requests are served; a lower value is served first. */
enum class Priority { kHigh = 0, kNormal = 1, kLow = 2 };

/** Returns the name used in documents, on the wire and in metrics: `high`, `normal` or `low`. */
constexpr std::string_view ToString(Priority priority) {
  switch (priority) {
    case Priority::kHigh:
      return "high";
    case Priority::kNormal:
      return "normal";
    case Priority::kLow:
      return "low";
  }
  return "normal";
}

/** A model that the deployment serves. */
struct ModelSpec {
  ModelName name;
  std::vector<ModelVersion> versions;
  int vms_per_group = 1;
  int groups = 1;      ///< Target number of groups in all zones together.
  int min_groups = 0;  ///< Number of groups that assembly protects from being dissolved.
  Priority priority = Priority::kNormal;
  int max_in_flight_per_group = 8;
  std::vector<ZoneId> zones;  ///< Zones where groups may be placed; empty means all zones.

  friend bool operator==(const ModelSpec&, const ModelSpec&) = default;
};

struct TeamSpec {
  TeamName name;
  double weight = 1;  ///< Weight in the division of capacity among teams.
  Priority priority = Priority::kNormal;
  double requests_per_second = 0;  ///< Limit for all nodes together; 0 means no limit.
  int max_queued_per_node = 64;

  friend bool operator==(const TeamSpec&, const TeamSpec&) = default;
};

/** The version of a model that one team uses instead of the version set by the branch. */
struct BranchException {
  TeamName team;
  ModelName model;
  ModelVersion version;

  friend bool operator==(const BranchException&, const BranchException&) = default;
};

struct BranchModel {
  ModelName model;
  ModelVersion version;

  friend bool operator==(const BranchModel&, const BranchModel&) = default;
};

struct BranchSpec {
  BranchName name;
  std::vector<TeamName> teams;      ///< Teams that may use this branch; empty means all.
  std::vector<BranchModel> models;  ///< Models and versions that requests of this branch use.
  std::vector<ZoneId> zones;        ///< Zones that may serve its requests; empty means all zones.
  std::vector<BranchException> exceptions;

  friend bool operator==(const BranchSpec&, const BranchSpec&) = default;
};

/** Classifies calls of a plain service by method and path. The first matching route applies. */
struct ServiceRoute {
  std::string method;
  std::string path_prefix;
  bool idempotent = false;

  friend bool operator==(const ServiceRoute&, const ServiceRoute&) = default;
};

struct ServiceUpstream {
  std::string address;  ///< "IP:port".
  ZoneId zone;

  friend bool operator==(const ServiceUpstream&, const ServiceUpstream&) = default;
};

struct ServiceSpec {
  ServiceName name;
  std::vector<ServiceUpstream> upstreams;
  std::vector<ServiceRoute> routes;  ///< A call without a matching route is non-idempotent.
  int max_in_flight_per_upstream = 32;

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/** Settings by which operators trade off goals when capacity is short. */
struct PolicySpec {
  double group_downtime_weight = 0.5;  ///< 0 to 1; stranded accelerators have the remaining weight.
  std::int64_t member_restart_wait_ms = 20000;  ///< Longest wait for a restarting member.
  int spare_vms_per_domain = 0;
  int weight_store_slots = 4;  ///< Maximum concurrent model loads in the deployment.
  double retry_budget = 0.1;   ///< Maximum extra attempts as a fraction of requests.
  bool engines_check_generation = false;
  /// All zones of the deployment. Other sections may refer only to these.
  std::vector<ZoneId> zones;

  friend bool operator==(const PolicySpec&, const PolicySpec&) = default;
};

/** The configuration document approved by the operators. */
struct Document {
  std::vector<ModelSpec> models;
  std::vector<TeamSpec> teams;
  std::vector<BranchSpec> branches;
  std::vector<ServiceSpec> services;
  PolicySpec policy;

  friend bool operator==(const Document&, const Document&) = default;
};

/** A document and the version under which it was accepted. */
struct VersionedDocument {
  ConfigVersion version = 0;
  Document document;

  friend bool operator==(const VersionedDocument&, const VersionedDocument&) = default;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_DOCUMENT_H_
