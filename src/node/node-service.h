#ifndef LIMPETFALL_NODE_NODE_SERVICE_H_
#define LIMPETFALL_NODE_NODE_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "core/membership.h"
#include "core/shared-state.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Content of a configuration section by its digest; nothing when this node does not hold it. */
using SectionSource = std::function<std::optional<std::string>(const std::string& digest)>;

/** Sections by digest. The receiver checks that each content has its digest. */
using Sections = std::map<std::string, std::string>;

struct NodeServiceOptions {
  /** `node_address` may have port 0. An incarnation of 0 stands for the time of day, so that a
   * restarted node has a higher one than before. */
  NodeInfo self;
  std::string advertised_address;  ///< What other nodes connect to; empty for the bound address.
  std::vector<std::string> seeds;
  MembershipOptions membership;
  std::uint64_t random_seed = 0;
  SectionSource section_source;  ///< Called on the service's thread; must not block.
  Milliseconds call_timeout{2000};
};

struct NodeTraffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;

  friend bool operator==(const NodeTraffic&, const NodeTraffic&) = default;
};

/**
 * Communication with the other nodes: membership, exchange of shared entries and urgent pushes.
 * One thread runs the event loop; all functions may be called from any thread.
 *
 * Entries put into `state` with `Urgency::kUrgent` are pushed at once, others spread with the
 * probes. `state` must outlive the service, which is created before the first `Put`.
 *
 *     BOOST_OUTCOME_TRY(auto service, NodeService::Create(options, state, metrics));
 *     int acknowledged = co_await service->PushAndWait(mark, deadline);
 */
class NodeService {
 public:
  static Result<std::unique_ptr<NodeService>> Create(NodeServiceOptions options, SharedState& state,
                                                     std::shared_ptr<Metrics> metrics);

  virtual ~NodeService() = default;

  /** Returns the RPC address that other nodes are told. */
  [[nodiscard]] virtual std::string address() const = 0;

  /** Stores the entry and pushes it to all live members; returns how many of them hold it now. */
  virtual boost::asio::awaitable<int> PushAndWait(SharedEntry entry, Deadline deadline) = 0;

  /** Returns all known nodes with this one, in order of id. */
  [[nodiscard]] virtual std::vector<NodeInfo> Members() const = 0;

  /** Returns the other nodes with which messages were exchanged within the last `window`. */
  [[nodiscard]] virtual std::vector<NodeId> ReachableMembers(Milliseconds window) const = 0;

  [[nodiscard]] virtual std::optional<NodeId> OwnerOf(const DomainId& domain) const = 0;

  /** Returns addresses for callers, those in `zone` first; leaving nodes are left out. */
  [[nodiscard]] virtual std::vector<std::string> CallerAddresses(const ZoneId& zone) const = 0;

  /** Announces that this node leaves. */
  virtual void SetLeaving() = 0;

  /** Does the same and returns how many live members know it at the deadline or before. */
  virtual boost::asio::awaitable<int> AnnounceLeaving(Deadline deadline) = 0;

  /** Adds addresses at which other nodes may be found. */
  virtual void AddSeeds(std::vector<std::string> addresses) = 0;

  /** Asks members one after the other; returns what was found until the deadline. */
  virtual boost::asio::awaitable<Sections> FetchSections(std::vector<std::string> digests,
                                                         Deadline deadline) = 0;

  [[nodiscard]] virtual NodeTraffic Traffic() const = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_NODE_NODE_SERVICE_H_
