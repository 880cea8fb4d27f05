#ifndef LIMPETFALL_DAEMON_CONFIG_SYNC_H_
#define LIMPETFALL_DAEMON_CONFIG_SYNC_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/settings.h"
#include "core/shared-state.h"
#include "daemon/config-service.h"
#include "daemon/node-context.h"
#include "node/node-service.h"
#include "operators/admin-api.h"
#include "platform/etcd-store.h"

namespace limpetfall {

/**
 * Keeps the document of this node up to date: polls the platform, fetches newer versions from other
 * nodes, publishes confirmations and applies operators' changes on all nodes.
 */
class ConfigSync : public std::enable_shared_from_this<ConfigSync> {
 public:
  ConfigSync(Settings settings, std::shared_ptr<EtcdStore> store,
             std::shared_ptr<NodeContext> context, std::shared_ptr<SharedState> state);

  void SetNodeService(NodeService* node_service) { this->nodes = node_service; }

  /** Called on the strand of `Run` when a newer document comes into force. */
  std::function<void(const VersionedDocument&)> on_change;

  /** Polls until `Stop`. */
  boost::asio::awaitable<void> Run();
  void Stop() { this->stopped = true; }

  /** Handles the announcement of a version by another node. */
  boost::asio::awaitable<void> OnAnnouncement(ConfigAnnouncement announcement);

  /** Applies another node's confirmation of the version in force, with its deadline. */
  void ApplyConfirmation(const SharedEntry& entry);

  boost::asio::awaitable<Result<ConfigChangeResult>> ChangeDocument(std::string document,
                                                                    ConfigVersion expected,
                                                                    Deadline deadline);

  /** Returns the section with this digest, for another node. */
  [[nodiscard]] std::optional<std::string> FindSection(const std::string& digest);

 private:
  boost::asio::awaitable<void> Poll();
  void ApplyKnownConfirmations();
  void PublishVersion();
  [[nodiscard]] SharedEntry Announcement();
  boost::asio::awaitable<std::vector<NodeId>> WaitUntilInForce(ConfigVersion version,
                                                               Deadline deadline);
  void NotifyIfNewVersion();

  Settings settings;
  std::shared_ptr<NodeContext> context;
  std::shared_ptr<SharedState> state;
  ConfigService<EtcdStore> service;
  NodeService* nodes = nullptr;
  std::atomic<bool> stopped = false;
  std::mutex mutex;
  ConfigVersion applied_version = 0;
  std::atomic<std::uint64_t> confirmation_entry_version;
  std::atomic<ConfigVersion> published_version = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_DAEMON_CONFIG_SYNC_H_
