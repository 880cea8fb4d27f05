#ifndef LIMPETFALL_CORE_RUNNER_H_
#define LIMPETFALL_CORE_RUNNER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "core/store-revision.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Stage of a runner's membership in a group, as reported by the runner. */
enum class MembershipStage {
  kJoining,
  kReady,
  kOpen,     ///< The head serves requests.
  kClosing,  ///< The head finishes its requests and accepts no new ones.
  kBroken,   ///< The head has detected the loss of a member.
};

struct RunnerMembership {
  GroupId group;
  Generation epoch = 0;
  int rank = 0;
  MembershipStage stage = MembershipStage::kJoining;

  friend bool operator==(const RunnerMembership&, const RunnerMembership&) = default;
};

/** Entry of one upstream process in the platform's store, written by that process. */
struct Runner {
  VmId id;
  ServiceName service;
  std::string address;  ///< "IP:port".
  ZoneId zone;
  DomainId domain;
  bool leaving = false;
  int slots = 1;
  std::int64_t started_ms = 0;    ///< Process start; distinguishes restarts under the same id.
  std::vector<ModelName> staged;  ///< Models whose weights are on the VM's host.
  std::vector<ModelName> loaded;  ///< Models that the process serves.
  std::optional<RunnerMembership> membership;
  /** Until then it takes few requests after a start; absent if the entry does not say. */
  std::optional<Deadline> cold_until = Deadline();
  StoreRevision revision;    ///< Of the entry.
  bool is_confirmed = true;  ///< False if the membership may have changed since it was written.

  friend bool operator==(const Runner&, const Runner&) = default;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_RUNNER_H_
