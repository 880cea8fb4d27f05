#include <iomanip>
#include <ostream>

#include "core/replay.h"

namespace limpetfall {
namespace {

std::string WeightText(const PolicyRow& row) {
  if (!row.weight) return "-";
  std::string text = std::to_string(*row.weight);
  return text.substr(0, text.find('.') + 3);
}

}  // namespace

std::vector<PolicyRow> ComparePolicies(const std::vector<Trace>& traces,
                                       const std::vector<double>& weights) {
  std::vector<PolicyRow> rows;
  for (const Trace& trace : traces) {
    const ReplayBound bound = BoundOf(trace);
    const auto add_row = [&rows, &trace, &bound](const char* name, ReplayPolicy policy,
                                                 std::optional<double> weight) {
      rows.push_back({trace.name, name, weight, RunTrace(trace, policy, weight), bound});
    };
    for (double weight : weights) add_row("cost", ReplayPolicy::kCost, weight);
    add_row("always-wait", ReplayPolicy::kAlwaysWait, std::nullopt);
    add_row("rebuild-in-order", ReplayPolicy::kRebuildInOrder, std::nullopt);
  }
  return rows;
}

void PrintPolicyTable(const std::vector<PolicyRow>& rows, std::ostream& out) {
  out << std::left << std::setw(28) << "trace" << std::setw(18) << "policy" << std::setw(8)
      << "weight" << std::right << std::setw(14) << "downtime g*s" << std::setw(10) << "bound"
      << std::setw(16) << "by priority" << std::setw(16) << "stranded VM*s" << std::setw(12)
      << "bound" << std::setw(9) << "records"
      << "\n";
  for (const PolicyRow& row : rows) {
    out << std::left << std::setw(28) << row.trace << std::setw(18) << row.policy << std::setw(8)
        << WeightText(row) << std::right << std::fixed << std::setprecision(0) << std::setw(14)
        << row.outcome.downtime_group_s << std::setw(12) << row.bound.downtime_group_s
        << std::setw(16) << row.outcome.weighted_downtime << std::setw(16)
        << row.outcome.stranded_vm_s << std::setw(12) << row.bound.stranded_vm_s << std::setw(9)
        << row.outcome.records_written << "\n";
  }
}

void PrintPolicyCsv(const std::vector<PolicyRow>& rows, std::ostream& out) {
  out << "trace,policy,weight,downtime_group_s,bound_downtime_group_s,downtime_by_priority,"
         "stranded_vm_s,"
         "bound_stranded_vm_s,records_written,most_loading\n";
  for (const PolicyRow& row : rows) {
    out << row.trace << "," << row.policy << "," << (row.weight ? WeightText(row) : "") << ","
        << std::fixed << std::setprecision(2) << row.outcome.downtime_group_s << ","
        << row.bound.downtime_group_s << "," << row.outcome.weighted_downtime << ","
        << row.outcome.stranded_vm_s << "," << row.bound.stranded_vm_s << ","
        << row.outcome.records_written << "," << row.outcome.most_loading << "\n";
  }
}

}  // namespace limpetfall
