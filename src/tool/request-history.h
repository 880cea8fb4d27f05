#ifndef LIMPETFALL_TOOL_REQUEST_HISTORY_H_
#define LIMPETFALL_TOOL_REQUEST_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace limpetfall {

/** Time of day as a log line states it. */
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** One line of a node's log. */
struct LogLine {
  LogTime time;
  std::string event;
  std::string request;   ///< Id of the request that the line is about; may be empty.
  std::string upstream;  ///< Upstream or runner that the line is about; may be empty.
  std::string text;      ///< The other fields as `key=value`.

  friend bool operator==(const LogLine&, const LogLine&) = default;
};

/** Returns what a line says, or nothing for one that is cut or no log line. */
std::optional<LogLine> ParseLogLine(const std::string& line);

/** The log of one node. */
struct NodeLog {
  std::string node;            ///< From its line `started`, else the name of the file.
  std::vector<LogLine> lines;  ///< In the order of the file.
  std::size_t unparsable_lines = 0;
  std::int64_t dropped_lines = 0;  ///< Lines that the node states it dropped.

  friend bool operator==(const NodeLog&, const NodeLog&) = default;
};

NodeLog ReadNodeLog(const std::string& name, std::istream& input);

/**
 * Returns how far the clock of `log` is ahead of that of `reference`, by what both nodes log within
 * about a second of each other: new configurations and leaders. Zero when they share nothing.
 */
std::chrono::milliseconds ClockOffset(const NodeLog& log, const NodeLog& reference);

/** A line in the history of a request; times are those of the node that served the request. */
struct HistoryLine {
  LogTime time;
  std::string node;
  LogLine line;
  bool context = false;  ///< Not about the request, but about what was believed at the time.

  friend bool operator==(const HistoryLine&, const HistoryLine&) = default;
};

/**
 * Returns the lines about a request in order, with what nodes logged shortly before about its
 * upstreams, and the last configuration and state of dependencies at its node. Empty when no log
 * names the request.
 */
std::vector<HistoryLine> ExplainRequest(const std::vector<NodeLog>& logs,
                                        const std::string& request);

}  // namespace limpetfall

#endif  // LIMPETFALL_TOOL_REQUEST_HISTORY_H_
