#ifndef LIMPETFALL_TOOL_REPLAY_COMMAND_H_
#define LIMPETFALL_TOOL_REPLAY_COMMAND_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace limpetfall {

/**
 * Replays the trace files, checks their stated outcomes and prints the policy table as text and
 * CSV. Returns 0 when every stated outcome held, 1 when one did not, 2 when a file is unusable.
 */
int RunReplay(const std::vector<std::string>& traces, std::ostream& out);

}  // namespace limpetfall

#endif  // LIMPETFALL_TOOL_REPLAY_COMMAND_H_
