#ifndef LIMPETFALL_NODE_NODE_SERVICE_H_
#define LIMPETFALL_NODE_NODE_SERVICE_H_
#include <boost/asio/awaitable.hpp>

#include "base/settings.h"
#include "core/config-document.h"
#include "core/shared-state.h"
namespace limpetfall {
class NodeService {
 public:
  explicit NodeService(Settings s) : settings(s) {}
  std::vector<NodeInfo> Members() const {
    return {NodeInfo{settings.node, settings.zone, settings.caller_address, settings.node_address,
                     1, MemberState::kAlive}};
  }
  std::vector<NodeInfo> ReachableMembers() const { return {}; }
  NodeId OwnerOf(const DomainId&) const { return settings.node; }
  boost::asio::awaitable<int> PushAndWait(SharedEntry, Deadline) { co_return 0; }
  boost::asio::awaitable<SectionBodies> FetchSections(std::vector<std::string>, Deadline) {
    co_return SectionBodies{};
  }
  void SetLeaving() {}
  Settings settings;
};
}  // namespace limpetfall
#endif
