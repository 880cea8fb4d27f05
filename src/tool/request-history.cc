#include "tool/request-history.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string_view>

namespace limpetfall {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Events of an upstream within this time before the end of the request may explain its outcome.
constexpr milliseconds kContextWindow{10000};

// Events that report the state of a node. Only the last one before a request is relevant.
constexpr std::array<std::string_view, 7> kStateEvents{"configuration",    "capacity", "store_lost",
                                                       "store_regained",   "leader",   "stopping",
                                                       "log_lines_dropped"};

bool IsStateEvent(const LogLine& line) {
  return std::find(kStateEvents.begin(), kStateEvents.end(), line.event) != kStateEvents.end();
}

/** Parses a time such as "2026-06-03T13:24:55.034Z". */
std::optional<LogTime> ParseTime(const std::string& text) {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int ms = 0;
  constexpr int kFields = 7;
  if (std::sscanf(text.c_str(), "%d-%u-%uT%d:%d:%d.%dZ", &year, &month, &day, &hour, &minute,
                  &second, &ms) != kFields) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                         std::chrono::day(day)};
  if (!date.ok()) return std::nullopt;
  return LogTime(std::chrono::sys_days(date)) + std::chrono::hours(hour) +
         std::chrono::minutes(minute) + std::chrono::seconds(second) + milliseconds(ms);
}

std::string ToText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/** Returns a key for events that several nodes log at about the same time, else "". */
std::string ClusterEventKey(const LogLine& line) {
  if (line.event != "configuration" && line.event != "leader") return {};
  return line.event + " " + line.text;
}

std::map<std::string, LogTime> FirstOccurrences(const NodeLog& log) {
  std::map<std::string, LogTime> first_times;
  for (const LogLine& line : log.lines) {
    if (std::string event_key = ClusterEventKey(line); !event_key.empty())
      first_times.emplace(std::move(event_key), line.time);
  }
  return first_times;
}

/** Adds the lines of a node about the upstreams from before the end of the request. */
void AddUpstreamLines(const NodeLog& log, milliseconds clock_offset,
                      const std::set<std::string>& upstreams, const std::string& request,
                      LogTime last, std::vector<HistoryLine>& history) {
  for (const LogLine& line : log.lines) {
    if (line.request == request || !upstreams.contains(line.upstream)) continue;
    // Outcomes of other requests are omitted: only events about the upstream itself are context.
    if (line.event == "request" || line.event == "upstream_failure") continue;
    const LogTime time = line.time - clock_offset;
    if (time <= last && last < time + kContextWindow)
      history.push_back({time, log.node, line, true});
  }
}

/** Adds the last event of each kind of state before the first line of the request. */
void AddLatestStateEvents(const NodeLog& log, LogTime first, std::vector<HistoryLine>& history) {
  std::map<std::string, LogLine> latest;
  for (const LogLine& line : log.lines) {
    if (first < line.time) break;
    if (IsStateEvent(line)) latest[line.event] = line;
  }
  for (const auto& [event, line] : latest) history.push_back({line.time, log.node, line, true});
}

}  // namespace

std::optional<LogLine> ParseLogLine(const std::string& line) {
  const json fields = json::parse(line, nullptr, false);
  if (!fields.is_object() || !fields.contains("time") || !fields.contains("event")) {
    return std::nullopt;
  }
  const auto time = ParseTime(ToText(fields["time"]));
  if (!time) return std::nullopt;
  LogLine parsed;
  parsed.time = *time;
  parsed.event = ToText(fields["event"]);
  static const std::set<std::string> header_fields{"time", "event", "level", "program", "request"};
  std::ostringstream text;
  for (const auto& [key, value] : fields.items()) {
    if (key == "request") parsed.request = ToText(value);
    if (key == "upstream" || key == "runner") parsed.upstream = ToText(value);
    if (!header_fields.contains(key))
      text << (text.tellp() > 0 ? " " : "") << key << "=" << ToText(value);
  }
  parsed.text = text.str();
  return parsed;
}

NodeLog ReadNodeLog(const std::string& name, std::istream& input) {
  NodeLog log;
  log.node = name;
  std::string line;
  while (std::getline(input, line)) {
    if (line.empty()) continue;
    const auto parsed = ParseLogLine(line);
    if (!parsed) {
      ++log.unparsable_lines;
      continue;
    }
    const json fields = json::parse(line);
    if (parsed->event == "started" && fields.contains("node")) log.node = ToText(fields["node"]);
    if (parsed->event == "log_lines_dropped" && fields.contains("lines") &&
        fields["lines"].is_number_integer()) {
      log.dropped_lines += fields["lines"].get<std::int64_t>();
    }
    log.lines.push_back(*parsed);
  }
  return log;
}

milliseconds ClockOffset(const NodeLog& log, const NodeLog& reference) {
  const auto first_times = FirstOccurrences(reference);
  std::vector<milliseconds> offsets;
  for (const auto& [event_key, time] : FirstOccurrences(log)) {
    if (const auto found = first_times.find(event_key); found != first_times.end()) {
      offsets.push_back(time - found->second);
    }
  }
  if (offsets.empty()) return milliseconds(0);
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  // A change reaches all nodes within a second, so a smaller offset is not a clock difference.
  constexpr milliseconds kMaxPropagationDelay{1000};
  return std::chrono::abs(*middle) <= kMaxPropagationDelay ? milliseconds(0) : *middle;
}

std::vector<HistoryLine> ExplainRequest(const std::vector<NodeLog>& logs,
                                        const std::string& request) {
  std::vector<HistoryLine> history;
  const NodeLog* serving = nullptr;
  std::set<std::string> upstreams;
  for (const NodeLog& log : logs) {
    for (const LogLine& line : log.lines) {
      if (line.request != request) continue;
      if (serving == nullptr) serving = &log;
      const milliseconds clock_offset = ClockOffset(log, *serving);
      history.push_back({line.time - clock_offset, log.node, line, false});
      if (!line.upstream.empty()) upstreams.insert(line.upstream);
    }
  }
  if (serving == nullptr) return history;
  const auto [first, last] = std::minmax_element(
      history.begin(), history.end(), [](const auto& a, const auto& b) { return a.time < b.time; });
  const LogTime begin = first->time;
  const LogTime end = last->time;
  AddLatestStateEvents(*serving, begin, history);
  for (const NodeLog& log : logs) {
    AddUpstreamLines(log, ClockOffset(log, *serving), upstreams, request, end, history);
  }
  std::stable_sort(history.begin(), history.end(),
                   [](const auto& a, const auto& b) { return a.time < b.time; });
  return history;
}

}  // namespace limpetfall
