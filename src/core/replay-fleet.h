#ifndef LIMPETFALL_CORE_REPLAY_FLEET_H_
#define LIMPETFALL_CORE_REPLAY_FLEET_H_

#include <map>
#include <string>
#include <vector>

#include "core/assembly.h"
#include "core/replay.h"

namespace limpetfall::detail {

/** A simulated VM of a trace with its engine. */
struct ReplayVm {
  VmId id;
  DomainId domain;
  ZoneId zone;
  bool listed = true;
  bool running = true;
  bool leaving = false;
  int starts = 0;              ///< Number of engine restarts, part of the instance name.
  double available_since = 0;  ///< When the VM last became available without a model.
  double slow_factor = 1;
  GroupRecord group;
  int rank = 0;
  double ready_at = 0;
  double last_report = -1;
};

/** Simulates the VMs of a trace: applies events and commands, and returns VM lists and reports. */
class ReplayFleet {
 public:
  explicit ReplayFleet(const Trace& trace);

  void Apply(const TraceEvent& event);
  void ApplyCommand(const AssignmentCommand& command, double now);

  /** Returns the VM list. It includes VMs that are not running until they are removed. */
  [[nodiscard]] std::vector<Vm> List() const;

  /** Returns whether every member of the group is running and ready at its generation. */
  [[nodiscard]] bool IsComplete(const GroupRecord& group, double now) const;

  [[nodiscard]] VmReport Report(const ReplayVm& vm, double now) const;
  [[nodiscard]] std::map<VmId, ReplayVm>& vms() { return this->all; }
  [[nodiscard]] const std::map<VmId, ReplayVm>& vms() const { return this->all; }

 private:
  void Start(ReplayVm& vm, bool same_engine, double now);

  std::map<ModelName, double> load_s;
  std::map<VmId, ReplayVm> all;
  std::map<DomainId, ZoneId> zones;
};

}  // namespace limpetfall::detail

#endif  // LIMPETFALL_CORE_REPLAY_FLEET_H_
