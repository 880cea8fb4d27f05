#ifndef LIMPETFALL_TOOL_EXPLAIN_COMMAND_H_
#define LIMPETFALL_TOOL_EXPLAIN_COMMAND_H_

#include "tool/arguments.h"
#include "tool/command.h"

namespace limpetfall {

/** Prints the history of one request from the logs of several nodes. */
ExitCode Explain(const Arguments& arguments);

}  // namespace limpetfall

#endif  // LIMPETFALL_TOOL_EXPLAIN_COMMAND_H_
