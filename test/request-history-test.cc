#include "tool/request-history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace limpetfall {
namespace {

/** Returns a log line at `ms` after 13:00:00; `fields` is the JSON of further fields. */
std::string MakeLogLine(int ms, const std::string& event, const std::string& fields = "") {
  char time[32];
  std::snprintf(time, sizeof time, "2026-06-03T13:%02d:%02d.%03dZ", ms / 60000, ms / 1000 % 60,
                ms % 1000);
  return std::string(R"({"time":")") + time + R"(","level":"info","program":"gateway","event":")" +
         event + "\"" + (fields.empty() ? "" : "," + fields) + "}\n";
}

class RequestHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestHistoryTest);
  CPPUNIT_TEST(HistoryIsOrderedAndIncludesContext);
  CPPUNIT_TEST(ClockOffsetsAreCorrected);
  CPPUNIT_TEST(DroppedAndTruncatedLinesAreCounted);
  CPPUNIT_TEST(UnknownRequestYieldsEmptyHistory);
  CPPUNIT_TEST(MalformedLinesAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a history without the state of the upstream at the time of the failure.
  void HistoryIsOrderedAndIncludesContext() {
    const std::vector<NodeLog> logs{this->ServingNodeLog(), this->OwnerNodeLog(0)};
    const auto history = ExplainRequest(logs, "r1");
    std::vector<std::string> events;
    events.reserve(history.size());
    for (const HistoryLine& line : history) events.push_back(line.node + " " + line.line.event);
    const std::vector<std::string> expected{"n1 configuration", "n2 runner_probe",
                                            "n1 upstream_failure", "n1 stream_broken",
                                            "n1 request"};
    CPPUNIT_ASSERT(events == expected);
    CPPUNIT_ASSERT(history[1].context);
    CPPUNIT_ASSERT(!history[2].context);
    CPPUNIT_ASSERT_EQUAL(std::string("kind=cut upstream=i-7"), history[2].line.text);
  }

  // Guards against events in the wrong order when the clocks of nodes differ.
  void ClockOffsetsAreCorrected() {
    const std::vector<NodeLog> logs{this->ServingNodeLog(), this->OwnerNodeLog(45000)};
    // The offset includes the 10 ms that the change took to reach the other node.
    CPPUNIT_ASSERT(ClockOffset(logs[1], logs[0]) == std::chrono::milliseconds(45010));
    const auto history = ExplainRequest(logs, "r1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, history.size());
    CPPUNIT_ASSERT_EQUAL(std::string("runner_probe"), history[1].line.event);
    // An offset within the propagation delay of a change is not a clock difference.
    CPPUNIT_ASSERT(ClockOffset(this->OwnerNodeLog(400), logs[0]) == std::chrono::milliseconds(0));
  }

  // Guards against mistaking a gap in the log for inactivity of the node.
  void DroppedAndTruncatedLinesAreCounted() {
    std::istringstream input(MakeLogLine(0, "started", R"("node":"n9")") +
                             "{\"time\":\"2026-06-0\n" +
                             MakeLogLine(5, "log_lines_dropped", R"("lines":12)") + "plain text\n");
    const NodeLog log = ReadNodeLog("file.log", input);
    CPPUNIT_ASSERT_EQUAL(std::string("n9"), log.node);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log.unparsable_lines);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{12}, log.dropped_lines);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log.lines.size());
  }

  // Guards against a history for a request that no log mentions.
  void UnknownRequestYieldsEmptyHistory() {
    CPPUNIT_ASSERT(ExplainRequest({this->ServingNodeLog(), this->OwnerNodeLog(0)}, "r2").empty());
    CPPUNIT_ASSERT(ExplainRequest({}, "r1").empty());
  }

  // Guards against crashes on truncated lines and on lines of another format.
  void MalformedLinesAreRejected() {
    const std::string complete_line =
        MakeLogLine(7, "upstream_failure", R"("request":"r1","upstream":"i-7","kind":"cut")");
    for (std::size_t length = 0; length + 2 < complete_line.size(); ++length) {
      CPPUNIT_ASSERT(!ParseLogLine(complete_line.substr(0, length)));
    }
    CPPUNIT_ASSERT(!ParseLogLine(R"(["time","event"])"));
    CPPUNIT_ASSERT(!ParseLogLine(R"({"time":5,"event":"x"})"));
    CPPUNIT_ASSERT(!ParseLogLine(R"({"time":"2026-13-41T00:00:00.000Z","event":"x"})"));
    CPPUNIT_ASSERT(ParseLogLine(R"({"time":"2026-06-03T00:00:00.000Z","event":7,"request":null})"));
  }

 private:
  static NodeLog ServingNodeLog() {
    std::istringstream input(
        MakeLogLine(0, "started", R"("node":"n1")") +
        MakeLogLine(1000, "configuration", R"("version":2)") +
        MakeLogLine(20000, "configuration", R"("version":3)") +
        MakeLogLine(30000, "request", R"("request":"r0","upstream":"i-7","outcome":"answered")") +
        MakeLogLine(31000, "upstream_failure", R"("request":"r1","upstream":"i-7","kind":"cut")") +
        MakeLogLine(31000, "stream_broken", R"("request":"r1","sends":1)") +
        MakeLogLine(31001, "request", R"("request":"r1","upstream":"i-7","outcome":"failed")"));
    return ReadNodeLog("a.log", input);
  }

  /** Returns the log of another node, whose clock is ahead by `clock_offset_ms`. */
  static NodeLog OwnerNodeLog(int clock_offset_ms) {
    std::istringstream input(
        MakeLogLine(clock_offset_ms, "started", R"("node":"n2")") +
        MakeLogLine(clock_offset_ms + 1010, "configuration", R"("version":2)") +
        MakeLogLine(clock_offset_ms + 20010, "configuration", R"("version":3)") +
        MakeLogLine(clock_offset_ms + 12000, "runner_probe",
                    R"("runner":"i-7","outcome":"alive")") +
        MakeLogLine(clock_offset_ms + 30500, "runner_probe",
                    R"("runner":"i-7","outcome":"time-out")") +
        MakeLogLine(clock_offset_ms + 30600, "runner_probe",
                    R"("runner":"i-8","outcome":"time-out")") +
        MakeLogLine(clock_offset_ms + 32000, "runner_order", R"("runner":"i-7","kind":"leave")"));
    return ReadNodeLog("b.log", input);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestHistoryTest);

}  // namespace
}  // namespace limpetfall
