#ifndef LIMPETFALL_GATEWAY_SERVER_CONTEXT_H_
#define LIMPETFALL_GATEWAY_SERVER_CONTEXT_H_

#include <boost/asio/io_context.hpp>

namespace limpetfall {

/**
 * An event loop whose pending work can be destroyed while the objects that it refers to still
 * exist. Coroutines that are suspended when the loop ends hold references to the node they belong
 * to.
 */
class ServerContext : public boost::asio::io_context {
 public:
  using io_context::io_context;

  /** Destroys all pending work. Nothing may be started afterwards. */
  void DropPending() { this->shutdown(); }
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_SERVER_CONTEXT_H_
