#ifndef LIMPETFALL_BASE_LOG_H_
#define LIMPETFALL_BASE_LOG_H_

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/** A named value of a log line. */
struct LogField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;

  LogField(std::string_view field, std::string_view text) : name(field), value(text) {}
  LogField(std::string_view field, const std::string& text)
      : name(field), value(std::string_view(text)) {}
  LogField(std::string_view field, const char* text) : name(field), value(std::string_view(text)) {}
  LogField(std::string_view field, bool flag) : name(field), value(flag) {}
  LogField(std::string_view field, double number) : name(field), value(number) {}
  template <std::integral T>
  LogField(std::string_view field, T number)
      : name(field), value(static_cast<std::int64_t>(number)) {}
};

/**
 * Switches logging of this process to standard output, rate-limited and without blocking on the
 * reader; see `LogSink`.
 */
void LogToStandardOutput();

/** Waits until the reader of the standard output has taken all lines. Otherwise, the last lines of
 * a process are lost. */
void FlushLog(Deadline deadline);

/**
 * Configures logging of this process, by default to standard error. `level` is the minimum level:
 * debug, info, warning or error. The process runs on when the reader of its log ends.
 */
Result<void> StartLogging(std::string_view program, std::string_view level);

/**
 * Writes one line of JSON with the time, level, program, event and fields.
 *
 *     Log(LogLevel::kWarning, "group_lost", {{"group", id.value}, {"generation", generation}});
 */
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace limpetfall

#endif  // LIMPETFALL_BASE_LOG_H_
