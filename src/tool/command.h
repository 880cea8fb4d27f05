#ifndef LIMPETFALL_TOOL_COMMAND_H_
#define LIMPETFALL_TOOL_COMMAND_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "limpetfall/result.h"

namespace limpetfall {

enum class ExitCode {
  kSuccess = 0,
  kFailure = 1,
  kUsage = 2,
  kNotRun = 3,      ///< The request was rejected and did not run.
  kMayHaveRun = 4,  ///< The outcome of the request is unknown.
  kConflict = 5,    ///< A concurrent change won, or a key was reused with another body.
};

/** Command-line arguments after the name of the command. */
using Arguments = std::vector<std::string>;

inline constexpr std::string_view kVersion = "0.1.0";

ExitCode ToExitCode(const Error& error);

/** Prints the error with its verdict to standard error and returns its exit code. */
ExitCode ReportError(const Error& error);

Result<std::string> ReadFile(const std::string& path);

}  // namespace limpetfall

#endif  // LIMPETFALL_TOOL_COMMAND_H_
