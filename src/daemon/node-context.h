#ifndef LIMPETFALL_DAEMON_NODE_CONTEXT_H_
#define LIMPETFALL_DAEMON_NODE_CONTEXT_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/settings.h"
#include "core/config-state.h"
#include "core/request.h"
#include "core/shared-state.h"
#include "core/types.h"
#include "node/node-service.h"

namespace limpetfall {

/** Key prefix of the entries in which nodes publish that their configuration is confirmed. */
inline constexpr std::string_view kFreshnessPrefix = "fresh/";

/** Returns a version above every entry version of an earlier run of this node. */
std::uint64_t FirstEntryVersion();

/**
 * State of the deployment as observed by this node: VM list, other nodes, configuration.
 * Thread-safe.
 * Models `OwnerContext` and `ConfigSource`.
 */
class NodeContext {
 public:
  NodeContext(Settings settings, std::shared_ptr<SharedState> state)
      : settings(std::move(settings)), state(std::move(state)) {}

  /** Called once, before any other use; the service must remain valid as long as the node. */
  void SetNodeService(const NodeService* service) { this->nodes = service; }

  void SetVms(std::vector<Vm> list);
  [[nodiscard]] std::shared_ptr<const std::vector<Vm>> Vms() const;

  [[nodiscard]] bool OwnsDomain(const DomainId& domain) const;
  [[nodiscard]] NodeReachability Contact(TimePoint now) const;

  /** The other nodes with which messages were exchanged recently. */
  [[nodiscard]] std::vector<NodeId> ReachableNodes() const;
  [[nodiscard]] bool IsConsideredRunning(const NodeId& node) const;

  /** Entry addresses for a caller: those in its own zone first, then those in other zones. */
  [[nodiscard]] AddressList AddressesFor(const ZoneId& zone) const;

  /** The document in force, whether or not this node may serve. */
  [[nodiscard]] std::shared_ptr<const VersionedDocument> ActiveDocument() const {
    return this->config.Current();
  }

  /** The document in force, or null while this node must not serve. */
  [[nodiscard]] std::shared_ptr<const VersionedDocument> Current() const;

  [[nodiscard]] static TimePoint Now() { return Clock::now(); }

  [[nodiscard]] ConfigState& config_state() { return this->config; }

 private:
  Settings settings;
  std::shared_ptr<SharedState> state;
  const NodeService* nodes = nullptr;
  ConfigState config;
  mutable std::mutex mutex;
  std::shared_ptr<const std::vector<Vm>> vms;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_DAEMON_NODE_CONTEXT_H_
