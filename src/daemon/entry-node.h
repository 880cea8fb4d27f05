#ifndef LIMPETFALL_DAEMON_ENTRY_NODE_H_
#define LIMPETFALL_DAEMON_ENTRY_NODE_H_

#include <memory>

#include "base/settings.h"
#include "limpetfall/result.h"

namespace limpetfall {

/**
 * One entry node with all its components.
 *
 *     BOOST_OUTCOME_TRY(auto node, EntryNode::Create(settings));
 *     node->Run();  // until a planned stop has ended
 */
class EntryNode {
 public:
  /** Opens all ports; an error names the port that is already in use. */
  static Result<std::unique_ptr<EntryNode>> Create(Settings settings);

  virtual ~EntryNode() = default;

  /** Serves until a planned stop has ended. SIGTERM, SIGINT or an operator starts the stop. */
  virtual void Run() = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_DAEMON_ENTRY_NODE_H_
