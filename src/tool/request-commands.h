#ifndef LIMPETFALL_TOOL_REQUEST_COMMANDS_H_
#define LIMPETFALL_TOOL_REQUEST_COMMANDS_H_

#include "tool/command.h"

namespace limpetfall {

// Commands for callers. Each parses its own command line.

ExitCode Complete(const Arguments& arguments);
ExitCode Order(const Arguments& arguments);

}  // namespace limpetfall

#endif  // LIMPETFALL_TOOL_REQUEST_COMMANDS_H_
