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

/** The timestamp of a log line. */
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** A parsed line of the log of a node. */
struct LogLine {
  LogTime time;
  std::string event;
  std::string request;   ///< Id of the request that the line is about; may be empty.
  std::string upstream;  ///< Upstream or runner that the line is about; may be empty.
  std::string text;      ///< The other fields as `key=value`.

  friend bool operator==(const LogLine&, const LogLine&) = default;
};

/** Parses a log line; returns `std::nullopt` if it is truncated or not a log line. */
std::optional<LogLine> ParseLogLine(const std::string& line);

/** The log of one node. */
struct NodeLog {
  std::string node;            ///< From its `started` event, else the file name.
  std::vector<LogLine> lines;  ///< In file order.
  std::size_t unparsable_lines = 0;
  std::int64_t dropped_lines = 0;  ///< Lines that the node reports as dropped.

  friend bool operator==(const NodeLog&, const NodeLog&) = default;
};

NodeLog ReadNodeLog(const std::string& name, std::istream& input);

/**
 * Estimates how far the clock of `log` is ahead of that of `reference`. Compares events that both
 * nodes log within about a second of each other: new configurations and leaders. Returns zero if
 * the logs have no such event in common.
 */
std::chrono::milliseconds ClockOffset(const NodeLog& log, const NodeLog& reference);

/** A line in the history of a request. Times are on the clock of the node that served it. */
struct HistoryLine {
  LogTime time;
  std::string node;
  LogLine line;
  bool context = false;  ///< Describes the state at that time, not the request itself.

  friend bool operator==(const HistoryLine&, const HistoryLine&) = default;
};

/**
 * Returns the lines about a request in order of time. Includes recent lines of all nodes about its
 * upstreams, and the last configuration and dependency state of the node that served it. Returns an
 * empty history if no log mentions the request.
 */
std::vector<HistoryLine> ExplainRequest(const std::vector<NodeLog>& logs,
                                        const std::string& request);

}  // namespace limpetfall

#endif  // LIMPETFALL_TOOL_REQUEST_HISTORY_H_
