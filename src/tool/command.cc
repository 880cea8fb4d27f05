#include "tool/command.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace limpetfall {

ExitCode ToExitCode(const Error& error) {
  if (error.code == ErrorCode::kConflict) return ExitCode::kConflict;
  switch (error.verdict) {
    case Verdict::kNotRun:
      return ExitCode::kNotRun;
    case Verdict::kMayHaveRun:
      return ExitCode::kMayHaveRun;
    case Verdict::kRan:
      break;
  }
  return ExitCode::kFailure;
}

ExitCode ReportError(const Error& error) {
  std::cerr << "limpetctl: " << error.message << " (" << ToString(error.code) << ", "
            << ToString(error.verdict) << ")\n";
  return ToExitCode(error);
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return NotRun(ErrorCode::kNotFound, "cannot read " + path);
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

}  // namespace limpetfall
