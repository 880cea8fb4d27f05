#ifndef LIMPETFALL_TOOL_ADMIN_COMMANDS_H_
#define LIMPETFALL_TOOL_ADMIN_COMMANDS_H_

#include "tool/command.h"

namespace limpetfall {

// Commands for operators. Each parses its own command line.

ExitCode SettingsCheck(const Arguments& arguments);
ExitCode ConfigCheck(const Arguments& arguments);
ExitCode ConfigApply(const Arguments& arguments);
ExitCode ConfigShow(const Arguments& arguments);
ExitCode ConfigDiff(const Arguments& arguments);
ExitCode Status(const Arguments& arguments);
ExitCode DrainNode(const Arguments& arguments);

}  // namespace limpetfall

#endif  // LIMPETFALL_TOOL_ADMIN_COMMANDS_H_
