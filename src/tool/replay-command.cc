#include "tool/replay-command.h"

#include <ostream>

#include "core/replay.h"

namespace limpetfall {

int RunReplay(const std::vector<std::string>& traces, std::ostream& out) {
  std::vector<Trace> loaded;
  for (const std::string& path : traces) {
    auto trace = LoadTrace(path);
    if (!trace) {
      out << trace.error().message << "\n";
      return 2;
    }
    loaded.push_back(std::move(trace).value());
  }
  int failures = 0;
  for (const Trace& trace : loaded) {
    const ReplayOutcome outcome = RunTrace(trace, ReplayPolicy::kCost, std::nullopt);
    for (const std::string& failure : outcome.failures) out << "FAILED " << failure << "\n";
    failures += static_cast<int>(outcome.failures.size());
    out << trace.name << ": " << (outcome.failures.empty() ? "as expected" : "not as expected")
        << "\n";
  }
  const std::vector<PolicyRow> rows = ComparePolicies(loaded, {0.1, 0.3, 0.5, 0.7, 0.9});
  out << "\n";
  PrintPolicyTable(rows, out);
  out << "\n";
  PrintPolicyCsv(rows, out);
  return failures == 0 ? 0 : 1;
}

}  // namespace limpetfall
