#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "tool/admin-commands.h"
#include "tool/arguments.h"
#include "tool/command.h"
#include "tool/explain-command.h"
#include "tool/load-command.h"
#include "tool/replay-command.h"
#include "tool/request-commands.h"

namespace limpetfall {
namespace {

ExitCode Replay(const Arguments& arguments) {
  TCLAP::CmdLine line("Replays traces and compares policies.", ' ', std::string(kVersion));
  TCLAP::UnlabeledMultiArg<std::string> traces("traces", "trace files", true, "TRACE", line);
  if (auto done = ParseArguments(line, "replay", arguments)) return *done;
  return static_cast<ExitCode>(RunReplay(traces.getValue(), std::cout));
}

struct Command {
  std::string name;  ///< One or two words.
  std::string summary;
  ExitCode (*run)(const Arguments& arguments);
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"settings check", "check a settings file of a node", SettingsCheck},
      {"config check", "check a configuration document", ConfigCheck},
      {"config apply", "activate a document", ConfigApply},
      {"config show", "print the active document", ConfigShow},
      {"config diff", "list the changes a document would make", ConfigDiff},
      {"status", "print the state of a node", Status},
      {"drain node", "start the planned shutdown of a node", DrainNode},
      {"complete", "run a completion", Complete},
      {"order", "place an order that runs at most once", Order},
      {"explain", "print the history of a request from logs", Explain},
      {"replay", "replay traces and compare policies", Replay},
      {"load", "send completions at a fixed rate and print a report", Load},
  };
  return commands;
}

void PrintHelp(std::ostream& out) {
  out << "usage: limpetctl COMMAND [ARGUMENTS]\n\n";
  for (const Command& command : Commands()) {
    out << "  " << command.name << std::string(18 - command.name.size(), ' ') << command.summary
        << "\n";
  }
  out << "\nlimpetctl COMMAND --help describes a command.\n\n"
         "exit codes: 0 success, 1 failure, 2 usage, 3 rejected and not run, 4 may have run,\n"
         "5 conflict\n";
}

ExitCode Run(const Arguments& arguments) {
  if (!arguments.empty() && (arguments[0] == "--help" || arguments[0] == "-h")) {
    PrintHelp(std::cout);
    return ExitCode::kSuccess;
  }
  if (!arguments.empty() && arguments[0] == "--version") {
    std::cout << "limpetctl " << kVersion << "\n";
    return ExitCode::kSuccess;
  }
  for (std::size_t words = 2; words >= 1; --words) {
    if (arguments.size() < words) continue;
    const std::string name = words == 2 ? arguments[0] + " " + arguments[1] : arguments[0];
    const auto rest = arguments.begin() + static_cast<std::ptrdiff_t>(words);
    for (const Command& command : Commands()) {
      if (command.name == name) return command.run(Arguments(rest, arguments.end()));
    }
  }
  PrintHelp(std::cerr);
  return ExitCode::kUsage;
}

}  // namespace
}  // namespace limpetfall

int main(int argc, char** argv) {
  try {
    return static_cast<int>(limpetfall::Run(limpetfall::Arguments(argv + 1, argv + argc)));
  } catch (const std::exception& error) {
    std::cerr << "limpetctl: " << error.what() << "\n";
    return static_cast<int>(limpetfall::ExitCode::kFailure);
  }
}
