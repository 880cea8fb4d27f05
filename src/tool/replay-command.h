#ifndef LIMPETFALL_TOOL_REPLAY_COMMAND_H_
#define LIMPETFALL_TOOL_REPLAY_COMMAND_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace limpetfall {

/**
 * Replays the trace files, checks their expected outcomes and prints the policy table as text and
 * CSV. Returns 0 if all outcomes are as expected, 1 if any is not, 2 if a file cannot be loaded.
 */
int RunReplay(const std::vector<std::string>& traces, std::ostream& out);

}  // namespace limpetfall

#endif  // LIMPETFALL_TOOL_REPLAY_COMMAND_H_
