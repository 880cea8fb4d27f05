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
  kVmBack,
  kVmLeaving,
  kVmRemoved,  ///< The VM list no longer names the VM.
  kVmAdded,
  kVmSlow,  ///< `factor` multiplies its load time.
  kDomainDark,
  kDomainBack,
  kSurge,     ///< `count` requests run on each group of `model`, sent by `team`.
  kDocument,  ///< A new document is in force.
  kSlots,     ///< The weight store's limit changes.
  kExpect,    ///< A stated outcome: `count` groups of `model` serve at this time.
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

/** A recorded course of events with stated outcomes; a JSON object a line, the first is the start.
 */
struct Trace {
  std::string name;
  std::vector<TraceDomain> domains;
  Document document;
  std::map<ModelName, double> load_s;
  double measure_from = 0;  ///< Measures leave out the first assembly.
  double until = 0;
  double request_s = 4;  ///< Time that requests in flight need to end.
  /** Stated outcome of the whole trace with the document's own weight. */
  std::optional<double> max_downtime;
  std::optional<double> max_stranded;
  std::vector<TraceEvent> events;
};

/** Parses a trace; an error names the line. */
Result<Trace> ParseTrace(const std::string& text);
Result<Trace> LoadTrace(const std::string& path);

/** What one run of a trace measured. */
struct ReplayOutcome {
  double downtime_group_s = 0;   ///< Wanted groups that did not serve.
  double weighted_downtime = 0;  ///< The same, each group counted by its priority.
  double stranded_vm_s = 0;      ///< Healthy VMs outside a wanted group that serves.
  int most_loading = 0;          ///< Groups that loaded at the same time.
  int records_written = 0;
  std::vector<std::string> failures;  ///< Stated outcomes and rules that did not hold.
};

/** The least that any policy can reach, given which VMs live when and how long they load. */
struct ReplayBound {
  double downtime_group_s = 0;
  double stranded_vm_s = 0;
};

enum class ReplayPolicy { kCost, kAlwaysWait, kRebuildInOrder };

/** Runs the trace through the assembly core in virtual time. `weight` replaces the document's. */
ReplayOutcome RunTrace(const Trace& trace, ReplayPolicy policy, std::optional<double> weight);

ReplayBound BoundOf(const Trace& trace);

/** A line of the policy table. */
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
