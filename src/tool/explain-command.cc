#include "tool/explain-command.h"

#include <cstdio>
#include <fstream>
#include <iostream>

#include "tool/request-history.h"

namespace limpetfall {
namespace {

/** Formats the time of day of a log line with milliseconds. */
std::string FormatTimeOfDay(LogTime time) {
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::hh_mm_ss clock(time - day);
  char text[16];
  std::snprintf(text, sizeof text, "%02d:%02d:%02d.%03d", static_cast<int>(clock.hours().count()),
                static_cast<int>(clock.minutes().count()),
                static_cast<int>(clock.seconds().count()),
                static_cast<int>(clock.subseconds().count()));
  return text;
}

void PrintLogGaps(const NodeLog& log, std::ostream& out) {
  if (log.unparsable_lines > 0)
    out << log.node << ": " << log.unparsable_lines << " lines are truncated or not log lines\n";
  if (log.dropped_lines > 0)
    out << log.node << ": the node dropped " << log.dropped_lines << " lines\n";
}

}  // namespace

ExitCode Explain(const Arguments& arguments) {
  TCLAP::CmdLine line("Prints the history of a request from the logs of nodes.", ' ',
                      std::string(kVersion));
  TCLAP::UnlabeledValueArg<std::string> request("request", "id of the request", true, "", "ID",
                                                line);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "log files, one per node", true, "FILE",
                                              line);
  if (auto done = ParseArguments(line, "explain", arguments)) return *done;
  std::vector<NodeLog> logs;
  for (const std::string& path : files.getValue()) {
    std::ifstream input(path);
    if (!input) {
      std::cerr << "limpetctl: cannot read " << path << "\n";
      return ExitCode::kFailure;
    }
    logs.push_back(ReadNodeLog(path, input));
    PrintLogGaps(logs.back(), std::cerr);
  }
  const std::vector<HistoryLine> history = ExplainRequest(logs, request.getValue());
  if (history.empty()) {
    std::cerr << "limpetctl: no log line mentions the request " << request.getValue() << "\n";
    return ExitCode::kFailure;
  }
  for (const HistoryLine& entry : history) {
    std::cout << FormatTimeOfDay(entry.time) << (entry.context ? "  | " : "  ") << entry.node << " "
              << entry.line.event << " " << entry.line.text << "\n";
  }
  return ExitCode::kSuccess;
}

}  // namespace limpetfall
