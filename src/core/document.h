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

/** Returns the form in documents, on the wire and in metrics: `high`, `normal` or `low`. */
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
  int groups = 1;      ///< Wanted number of groups, over all zones.
  int min_groups = 0;  ///< Groups that assembly protects from being broken up.
  Priority priority = Priority::kNormal;
  int max_in_flight_per_group = 8;
  std::vector<ZoneId> zones;  ///< Where groups may live; empty means everywhere.

  friend bool operator==(const ModelSpec&, const ModelSpec&) = default;
};

struct TeamSpec {
  TeamName name;
  double weight = 1;  ///< Share of capacity against other teams.
  Priority priority = Priority::kNormal;
  double requests_per_second = 0;  ///< Limit over all nodes; 0 means none.
  int max_queued_per_node = 64;

  friend bool operator==(const TeamSpec&, const TeamSpec&) = default;
};

/** A departure from a branch's rule for one team. */
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
  std::vector<BranchModel> models;  ///< Models and versions that this branch runs.
  std::vector<ZoneId> zones;        ///< Where its requests may be served; empty means everywhere.
  std::vector<BranchException> exceptions;

  friend bool operator==(const BranchSpec&, const BranchSpec&) = default;
};

/** One kind of call of a plain service. The first route that matches applies. */
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
  std::vector<ServiceRoute> routes;  ///< A call that matches none is treated as non-idempotent.
  int max_in_flight_per_upstream = 32;

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/** What the operators weigh when capacity is short. */
struct PolicySpec {
  double group_downtime_weight = 0.5;  ///< Between 0 and 1; stranded accelerators weigh the rest.
  std::int64_t member_restart_wait_ms = 20000;  ///< Longest wait for a restarting member.
  int spare_vms_per_domain = 0;
  int weight_store_slots = 4;  ///< Model loads at a time over the deployment.
  double retry_budget = 0.1;   ///< Extra attempts as a share of requests.
  bool engines_check_generation = false;
  std::vector<ZoneId> zones;  ///< Zones of the deployment; other sections may name only these.

  friend bool operator==(const PolicySpec&, const PolicySpec&) = default;
};

/** The operators' approved document. */
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
