#ifndef LIMPETFALL_CORE_REPLAY_H_
#define LIMPETFALL_CORE_REPLAY_H_

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/document.h"
#include "core/types.h"
#include "limpetfall/result.h"

namespace limpetfall {

enum class TraceEventKind {
  kVmLost,
  kVmReturned,
  kVmLeaving,
  kVmRemoved,  ///< The VM is removed from the VM list.
  kVmAdded,
  kVmSlow,  ///< `factor` multiplies its load time.
  kDomainLost,
  kDomainReturned,
  kSurge,     ///< `count` requests run on each group of `model`, sent by `team`.
  kDocument,  ///< A new document takes effect.
  kSlots,     ///< The weight store's limit changes.
  kExpect,    ///< Expects at least `count` groups of `model` to serve at this time.
};

/** One line of a trace. Only the fields of its kind are set. */
struct TraceEvent {
  double at = 0;  ///< Seconds since the start of the trace.
  TraceEventKind kind = TraceEventKind::kVmLost;
  VmId vm;
  DomainId domain;
  ZoneId zone;
  TeamName team;
  ModelName model;
  bool same_engine = false;  ///< The VM was only paused and kept its model.
  double factor = 1;
  int count = 0;
  Document document;
};

struct TraceDomain {
  DomainId domain;
  ZoneId zone;
  int vms = 0;
};

/**
 * A recorded sequence of events with expected outcomes. The file has one JSON object per line; the
 * first line describes the initial state.
 */
struct Trace {
  std::string name;
  std::vector<TraceDomain> domains;
  Document document;
  std::map<ModelName, double> load_s;
  double measure_from = 0;  ///< Start of the measurements, after the initial assembly.
  double until = 0;
  double request_s = 4;  ///< Time until requests in flight have ended.
  /** Expected limits for the whole trace with the document's own downtime weight. */
  std::optional<double> max_downtime;
  std::optional<double> max_stranded;
  std::vector<TraceEvent> events;
};

/** Parses a trace; an error names the line. */
Result<Trace> ParseTrace(const std::string& text);
Result<Trace> LoadTrace(const std::string& path);

/** Measurements of one run of a trace. */
struct ReplayOutcome {
  double downtime_group_s = 0;   ///< Time that wanted groups did not serve.
  double weighted_downtime = 0;  ///< `downtime_group_s` weighted by priority.
  double stranded_vm_s = 0;      ///< Time of healthy VMs outside serving wanted groups.
  int most_loading = 0;          ///< Maximum number of groups loading at the same time.
  int records_written = 0;
  std::vector<std::string> failures;  ///< Expectations and invariants that did not hold.
};

/** Lower bound for any policy, given when VMs are available and how long models load. */
struct ReplayBound {
  double downtime_group_s = 0;
  double stranded_vm_s = 0;
};

enum class ReplayPolicy { kCost, kAlwaysWait, kRebuildInOrder };

/**
 * Runs the assembly planner over the trace in virtual time. `weight` replaces the downtime weight
 * of the document.
 */
ReplayOutcome RunTrace(const Trace& trace, ReplayPolicy policy, std::optional<double> weight);

ReplayBound BoundOf(const Trace& trace);

/** A row of the policy table. */
struct PolicyRow {
  std::string trace;
  std::string policy;
  std::optional<double> weight;
  ReplayOutcome outcome;
  ReplayBound bound;
};

/** Runs every trace with each weight and both baselines. */
std::vector<PolicyRow> ComparePolicies(const std::vector<Trace>& traces,
                                       const std::vector<double>& weights);

void PrintPolicyTable(const std::vector<PolicyRow>& rows, std::ostream& out);
void PrintPolicyCsv(const std::vector<PolicyRow>& rows, std::ostream& out);

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_REPLAY_H_
