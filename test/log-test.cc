#include "base/log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <vector>

namespace limpetfall {
namespace {

/** Captures the standard error output of `action` and returns it as parsed lines. */
template <typename Action>
std::vector<nlohmann::json> CaptureLogLines(Action action) {
  std::ostringstream captured;
  std::streambuf* const original = std::cerr.rdbuf(captured.rdbuf());
  action();
  std::cerr.rdbuf(original);
  std::vector<nlohmann::json> lines;
  std::istringstream text(captured.str());
  for (std::string line; std::getline(text, line);) lines.push_back(nlohmann::json::parse(line));
  return lines;
}

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(FieldTypesArePreserved);
  CPPUNIT_TEST(UnsafeTextIsEscapedOnOneLine);
  CPPUNIT_TEST(LinesBelowLevelAreDiscarded);
  CPPUNIT_TEST(ConcurrentLinesAreNotInterleaved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { CPPUNIT_ASSERT(StartLogging("log-test", "info").has_value()); }

  void FieldTypesArePreserved() {
    const auto lines = CaptureLogLines([] {
      Log(LogLevel::kWarning, "group_lost", {{"group", "g7"}, {"generation", 12}, {"last", true}});
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("warning"), lines[0]["level"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("log-test"), lines[0]["program"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(12, lines[0]["generation"].get<int>());
    CPPUNIT_ASSERT(lines[0]["last"].is_boolean());
  }

  // Guards against caller text that contains line breaks, format specifiers or invalid UTF-8, and
  // against a field that overwrites the event.
  void UnsafeTextIsEscapedOnOneLine() {
    const auto lines = CaptureLogLines([] {
      Log(LogLevel::kError, "bad",
          {{"text", "a\n\"%msg %level\xff"}, {"event", "forged"}, {"rate", std::nan("")}});
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("bad"), lines[0]["event"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("a\n\"%msg %level\xef\xbf\xbd"),
                         lines[0]["text"].get<std::string>());
  }

  void LinesBelowLevelAreDiscarded() {
    CPPUNIT_ASSERT(StartLogging("log-test", "error").has_value());
    const auto lines = CaptureLogLines([] {
      Log(LogLevel::kWarning, "hidden");
      Log(LogLevel::kError, "shown");
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
    CPPUNIT_ASSERT(!StartLogging("log-test", "loud").has_value());
  }

  void ConcurrentLinesAreNotInterleaved() {
    const auto lines = CaptureLogLines([] {
      std::vector<std::jthread> threads;
      threads.reserve(4);
      for (int t = 0; t < 4; ++t) {
        threads.emplace_back([t] {
          for (int i = 0; i < 200; ++i) Log(LogLevel::kInfo, "tick", {{"thread", t}, {"i", i}});
        });
      }
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(800), lines.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace
}  // namespace limpetfall
