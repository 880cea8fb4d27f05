#ifndef LIMPETFALL_TOOL_ARGUMENTS_H_
#define LIMPETFALL_TOOL_ARGUMENTS_H_

#include <tclap/CmdLine.h>

#include <functional>
#include <iostream>
#include <optional>
#include <string>

#include "tool/command.h"

namespace limpetfall {

/** Parses the arguments of a command; returns an exit code if the command ends after parsing. */
inline std::optional<ExitCode> ParseArguments(TCLAP::CmdLine& line, const std::string& command,
                                              const Arguments& arguments) {
  std::vector<std::string> all = arguments;
  all.insert(all.begin(), "limpetctl " + command);
  line.setExceptionHandling(false);
  try {
    line.parse(all);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? ExitCode::kSuccess : ExitCode::kUsage;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "limpetctl " << command << ": " << error.error() << " " << error.argId()
              << "\nSee limpetctl " << command << " --help\n";
    return ExitCode::kUsage;
  }
  return std::nullopt;
}

}  // namespace limpetfall

#endif  // LIMPETFALL_TOOL_ARGUMENTS_H_
