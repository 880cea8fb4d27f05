#include "base/log.h"

#include <easylogging++.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/log-sink.h"

INITIALIZE_EASYLOGGINGPP

namespace limpetfall {
namespace {

struct LogState {
  std::mutex mutex;
  std::string program = "limpetfall";
  LogLevel min_level = LogLevel::kInfo;
  std::optional<LogSink> sink;  ///< If not set, lines go to standard error.
};

LogState& State() {
  static LogState state;
  return state;
}

// The message is the complete line, so the library must not add a prefix or write a file.
void ConfigureLibrary() {
  static std::once_flag once;
  std::call_once(once, [] {
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configurations);
  });
}

std::optional<LogLevel> ParseLevel(std::string_view text) {
  if (text == "debug") return LogLevel::kDebug;
  if (text == "info") return LogLevel::kInfo;
  if (text == "warning") return LogLevel::kWarning;
  if (text == "error") return LogLevel::kError;
  return std::nullopt;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

/** Returns the time in UTC with milliseconds, for example 2026-03-01T09:30:00.125Z. */
std::string FormatTime(std::chrono::system_clock::time_point time) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
  const std::time_t seconds = static_cast<std::time_t>(milliseconds / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char day[32];
  std::strftime(day, sizeof day, "%Y-%m-%dT%H:%M:%S", &parts);
  char text[48];
  std::snprintf(text, sizeof text, "%s.%03dZ", day, static_cast<int>(milliseconds % 1000));
  return text;
}

void Emit(LogLevel level, const std::string& line) {
  {
    LogState& state = State();
    const std::lock_guard lock(state.mutex);
    if (state.sink) {
      state.sink->Write(line, level <= LogLevel::kInfo, Clock::now());
      return;
    }
  }
  switch (level) {
    case LogLevel::kDebug:
      LOG(DEBUG) << line;
      return;
    case LogLevel::kInfo:
      LOG(INFO) << line;
      return;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      return;
    case LogLevel::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace

void LogToStandardOutput() {
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  state.sink.emplace(STDOUT_FILENO, LogSinkOptions{});
}

void FlushLog(Deadline deadline) {
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  if (state.sink) state.sink->Drain(deadline);
}

Result<void> StartLogging(std::string_view program, std::string_view level) {
  const auto min_level = ParseLevel(level);
  if (!min_level) {
    return NotRun(ErrorCode::kInvalidArgument, "unknown log level \"" + std::string(level) + "\"");
  }
  ConfigureLibrary();
  // By default, a process ends when it writes to a pipe whose reader has ended.
  std::signal(SIGPIPE, SIG_IGN);
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  state.program = program;
  state.min_level = *min_level;
  return success();
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  nlohmann::ordered_json line;
  {
    LogState& state = State();
    const std::lock_guard lock(state.mutex);
    if (level < state.min_level) return;
    line["time"] = FormatTime(std::chrono::system_clock::now());
    line["level"] = LevelName(level);
    line["program"] = state.program;
    line["event"] = event;
  }
  ConfigureLibrary();
  for (const LogField& field : fields) {
    std::string name(field.name);
    // A repeated name would make the line ambiguous.
    while (line.contains(name)) name += '_';
    std::visit([&](const auto& value) { line[name] = value; }, field.value);
  }
  // External text may be invalid UTF-8; replacing invalid bytes keeps the line valid JSON.
  Emit(level, line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

}  // namespace limpetfall
