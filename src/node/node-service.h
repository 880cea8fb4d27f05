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

/** Returns the content of the configuration section with this digest, or nothing if this node does
 * not store it. */
using SectionSource = std::function<std::optional<std::string>(const std::string& digest)>;

/** Section contents by digest. The receiver verifies the digest of each content. */
using Sections = std::map<std::string, std::string>;

struct NodeServiceOptions {
  /** `node_address` may have port 0, for any free port. An incarnation of 0 is replaced by the
   * current time, so that a restarted node has a higher incarnation than before. */
  NodeInfo self;
  std::string advertised_address;  ///< Address for other nodes; empty for the bound address.
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
 * Entries put into `state` with `Urgency::kUrgent` are pushed at once. Other entries are exchanged
 * with the probes. `state` must outlive the service. Create the service before the first `Put`.
 *
 *     BOOST_OUTCOME_TRY(auto service, NodeService::Create(options, state, metrics));
 *     int acknowledged = co_await service->PushAndWait(mark, deadline);
 */
class NodeService {
 public:
  static Result<std::unique_ptr<NodeService>> Create(NodeServiceOptions options, SharedState& state,
                                                     std::shared_ptr<Metrics> metrics);

  virtual ~NodeService() = default;

  /** Returns the RPC address that is announced to other nodes. */
  [[nodiscard]] virtual std::string address() const = 0;

  /** Stores the entry and pushes it to all live members. Returns how many have acknowledged that
   * they store it. */
  virtual boost::asio::awaitable<int> PushAndWait(SharedEntry entry, Deadline deadline) = 0;

  /** Returns all known nodes including this one, in order of id. */
  [[nodiscard]] virtual std::vector<NodeInfo> Members() const = 0;

  /** Returns the other nodes with which messages were exchanged within the last `window`. */
  [[nodiscard]] virtual std::vector<NodeId> ReachableMembers(Milliseconds window) const = 0;

  [[nodiscard]] virtual std::optional<NodeId> OwnerOf(const DomainId& domain) const = 0;

  /** Returns addresses for callers, those in `zone` first, without those of leaving nodes. */
  [[nodiscard]] virtual std::vector<std::string> CallerAddresses(const ZoneId& zone) const = 0;

  /** Announces that this node is leaving. */
  virtual void SetLeaving() = 0;

  /** Announces that this node is leaving. Returns how many live members have acknowledged the
   * announcement by the deadline. */
  virtual boost::asio::awaitable<int> AnnounceLeaving(Deadline deadline) = 0;

  /** Adds addresses of possible other nodes. */
  virtual void AddSeeds(std::vector<std::string> addresses) = 0;

  /** Queries the members one by one. Returns the sections received by the deadline. */
  virtual boost::asio::awaitable<Sections> FetchSections(std::vector<std::string> digests,
                                                         Deadline deadline) = 0;

  [[nodiscard]] virtual NodeTraffic Traffic() const = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_NODE_NODE_SERVICE_H_
