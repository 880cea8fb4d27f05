#ifndef LIMPETFALL_CORE_RUNNER_H_
#define LIMPETFALL_CORE_RUNNER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

namespace limpetfall {

/** State of one runner's membership in a group, as the runner tells it. */
enum class MembershipStage {
  kJoining,
  kReady,
  kOpen,     ///< The head serves requests.
  kClosing,  ///< The head finishes what it has and takes nothing new.
  kBroken,   ///< The head has found a member missing.
};

struct RunnerMembership {
  GroupId group;
  Generation epoch = 0;
  int rank = 0;
  MembershipStage stage = MembershipStage::kJoining;

  friend bool operator==(const RunnerMembership&, const RunnerMembership&) = default;
};

/** What one upstream process says of itself in the platform's store. */
struct Runner {
  VmId id;
  ServiceName service;
  std::string address;  ///< "IP:port".
  ZoneId zone;
  DomainId domain;
  bool leaving = false;
  int slots = 1;
  std::int64_t started_ms = 0;  ///< Start of this process; tells two lives with one id apart.
  std::vector<ModelName> staged;
  std::optional<RunnerMembership> membership;
  std::int64_t revision = 0;  ///< Of the entry in the store.

  friend bool operator==(const Runner&, const Runner&) = default;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_RUNNER_H_
