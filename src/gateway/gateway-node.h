#ifndef LIMPETFALL_GATEWAY_GATEWAY_NODE_H_
#define LIMPETFALL_GATEWAY_GATEWAY_NODE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "base/metrics.h"
#include "core/crash-attribution.h"
#include "core/demand-meter.h"
#include "core/dispatch.h"
#include "core/drain.h"
#include "core/gateway-config.h"
#include "core/group-planner.h"
#include "core/request-memory.h"
#include "core/runner-registry.h"
#include "core/runner.h"
#include "core/state-mirror.h"
#include "core/traffic-set.h"
#include "core/zone-evacuation.h"
#include "gateway/coordination-store.h"
#include "gateway/http-connection.h"
#include "gateway/peers.h"
#include "gateway/relay.h"
#include "http/server.h"

namespace limpetfall {

/** A runner whose entry was removed. */
struct RunnerRemoved {
  VmId id;

  friend bool operator==(const RunnerRemoved&, const RunnerRemoved&) = default;
};

/** A change decoded from a store item of the deployment; `monostate` for an irrelevant item. */
using DeploymentChange =
    std::variant<std::monostate, Runner, RunnerRemoved, GatewayConfig, ZoneEvacuation>;

/** Response of a runner to an order. */
enum class OrderResult {
  kStarted,      ///< The runner has started the order, which counts as accepted.
  kAlreadyDone,  ///< The requested state already holds; the order does not count as accepted.
  kRefused,  ///< The order does not fit the runner's state, or another order was accepted first.
  kWrongRunner,  ///< The address belongs to another runner.
};

/** What a runner states of itself when it is asked. */
struct RunnerReport {
  std::int64_t accepted_orders = 0;
  std::int64_t started_ms = 0;  ///< Process start.
  std::optional<RunnerMembership> membership;

  friend bool operator==(const RunnerReport&, const RunnerReport&) = default;
};

/**
 * Translates between the gateway and the deployment's wire formats. An order states how
 * many orders the runner has accepted before it. The runner refuses an order with another count, so
 * a delayed order has no effect. `FetchReport` returns what the runner states, or nothing if the
 * address belongs to another runner.
 */
template <typename T>
concept DeploymentAdapter = requires(T& adapter, const StateItem& item, const RunnerOrder& order,
                                     ConnectionPool& pool, std::int64_t accepted,
                                     Deadline deadline) {
  { adapter.Decode(item) } -> std::same_as<Result<DeploymentChange>>;
  {
    adapter.SendOrder(pool, order, accepted, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<OrderResult>>>;
  {
    adapter.FetchReport(pool, order, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<std::optional<RunnerReport>>>>;
};

struct GatewayOptions {
  NodeId node;
  ZoneId zone;
  std::string caller_address;  ///< Listens for callers.
  std::string peer_address;    ///< Listens for other nodes, on UDP and TCP.
  /** Peer addresses that are used before any node has registered. */
  std::vector<std::string> peer_seeds;
  Milliseconds stop_grace{8000};        ///< The process is killed this long after SIGTERM.
  Milliseconds address_lifetime{1000};  ///< How long callers cache a directory response.
  /** Time after the start in which model loads are not rate-limited. */
  Milliseconds free_load_time{0};
  double capacity = 1;  ///< Processor capacity of this node, in cores.
  ListenerLimits listeners;
  TrafficSetOptions traffic;
  DispatchOptions dispatch;
  PlannerOptions planner;
  RunnerRegistryOptions runners;
  RelayOptions relay;

  /** Returns how long callers may use a directory response: for three times its lifetime. */
  [[nodiscard]] Milliseconds LongestAddressUse() const { return 3 * this->address_lifetime; }
};

/** State of one gateway node that does not depend on the deployment's formats. */
class GatewayState {
 public:
  GatewayState(boost::asio::io_context& context, GatewayOptions settings,
               std::shared_ptr<Metrics> counters);

  /** Applies a change that the deployment has written to the store in `item`. */
  void ApplyDeploymentChange(DeploymentChange change, const StateItem& item, ChangeOrigin origin);

  /** Applies a store item that the gateway nodes write themselves. */
  void ApplyGatewayItem(const StateItem& item, ChangeOrigin origin);

  /** Adopts a configuration that another node sent, encoded in `item`, if it is the newest. */
  void AdoptConfig(GatewayConfig config, const StateItem& item);

  /** Adopts a plan that another node sent, if it is the newest. */
  void AdoptPlan(GroupPlan newer);

  /** Returns the newest configuration and plan that this node knows, as store items. The store may
   * have been restored from a copy with older ones. */
  [[nodiscard]] std::vector<StateItem> NewestDocuments() const;

  /** Returns the newest configuration version that this node or another one knows. */
  [[nodiscard]] ConfigVersion NewestConfigVersion() const;

  /** Records that the store was restored from a copy, after the copy has been applied. If the node
   * has not seen the restore, it does not know what was written since. */
  void OnStoreRestored(bool was_seen, TimePoint now);

  /** Returns whether the writers of the store have had no time to write again after a restore. */
  [[nodiscard]] bool IsRestoring(TimePoint now) const { return now < this->rewrite_deadline; }

  /** Returns when the writers of the store will have written again after the last restore. */
  [[nodiscard]] Deadline rewritten_by() const { return this->rewrite_deadline; }

  /** Returns the version of the configuration in the store, which may be an earlier one. */
  [[nodiscard]] ConfigVersion stored_config_version() const { return this->stored_version; }

  /** Returns the runners of engines whose membership is not confirmed. */
  [[nodiscard]] std::vector<VmId> UnconfirmedEngines() const;

  /** Updates dispatching and routing after changes, and dispatches waiting requests. */
  void Refresh();

  /**
   * Records that the copy was the store's newest state at `copy_confirmed`. That proves nothing
   * about the configuration while the store holds an older one than is known, or may hold one.
   */
  void ConfirmConfiguration(BootTime copy_confirmed, TimePoint now);

  /** Returns the options of a listener that does not serve callers. */
  [[nodiscard]] HttpServerOptions ListenerOptions() const;

  /** Recomputes which nodes carry traffic and which read the store. */
  void UpdateTrafficSet();

  /** Returns the zones that are evacuated. */
  [[nodiscard]] std::set<ZoneId> EvacuatedZones() const;

  /** Returns whether the upstream is in an evacuated zone. */
  [[nodiscard]] bool IsEvacuated(const VmId& upstream) const;

  /** Recomputes this node's share of the free slots, before its load is sent to other nodes. */
  void ShareFreeSlots();

  [[nodiscard]] bool IsActive(const NodeId& node) const;
  [[nodiscard]] bool IsWatcher(const NodeId& node) const;

  /** Returns whether the node needs the state of all others: it carries traffic, reads the store,
   * or assembles groups. A leader may do so after it has been replaced in its other duties. */
  [[nodiscard]] bool IsCore(const NodeId& node) const;
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] std::vector<std::string> CallerAddresses(const std::string& zone) const;

  const GatewayOptions options;
  const std::shared_ptr<Metrics> metrics;
  const std::shared_ptr<RequestMemory> request_memory;  ///< Of all listeners of the process.
  ConnectionPool pool;
  DispatchTable dispatch;
  CrashAttribution crash_attribution;
  Relay relay;
  PeerTable peers;
  RunnerRegistry runners;
  ZoneEvacuations evacuations;
  GroupPlan plan;                              ///< The newest one known.
  std::vector<Quarantine> stored_quarantines;  ///< Those in the store.
  std::shared_ptr<const RouteTable> routes;
  TimePoint store_read;             ///< What the store held then has been applied.
  BootTime confirmed;               ///< Latest time at which `routes` is proven to be in force.
  std::optional<StateItem> leader;  ///< Leader key; its holder assembles groups.
  NodeId leader_node;               ///< Holder of the leader key in this era; empty if none.
  bool stopping = false;
  TrafficSet traffic_set;

 private:
  std::size_t most_active = 0;  ///< Most nodes that carried traffic at the same time recently.
  Deadline most_active_until;
  void ApplyLeader(const StateItem& item);
  void ApplyPlan(const StateItem& item, ChangeOrigin origin);
  void ApplyQuarantines(const StateItem& item);
  void ApplyEvacuation(const ZoneEvacuation& change, const StateItem& item, ChangeOrigin origin,
                       TimePoint now);
  /** Passes the evacuated zones on to dispatching, after they have changed. */
  void OnEvacuationsChanged();

  StateItem config_item;  ///< Encodes `routes`.
  ConfigVersion stored_version = 0;
  StoreRevision config_revision;  ///< At which the store last held the configuration in `routes`.
  Deadline rewrite_deadline;
  bool config_rewritten = true;  ///< The stored configuration is no older than the last restore.
};

/** Names of the gateway's own keys in the store. */
namespace gateway_keys {
inline constexpr std::string_view kPrefix = "limpetfall/";
inline constexpr std::string_view kLeader = "limpetfall/leader";
inline constexpr std::string_view kPlan = "limpetfall/plan";
inline constexpr std::string_view kQuarantines = "limpetfall/quarantines";
inline constexpr std::string_view kNodes = "limpetfall/nodes/";
}  // namespace gateway_keys

/**
 * Returns the value of the leader key. It states the era of the store in which it was written,
 * because leases end with their era, and a restored store may hold the key of an earlier leader.
 */
std::string EncodeLeader(const NodeId& node, std::uint64_t incarnation, std::int64_t era);

/**
 * One gateway node: mirrors the platform's store, exchanges state with the other nodes, serves
 * callers, and assembles groups while it holds the leader key. Runs on one thread.
 */
template <CoordinationStore Store, DeploymentAdapter Adapter>
class GatewayNode {
 public:
  GatewayNode(boost::asio::io_context& context, GatewayOptions settings, Store& platform_store,
              Adapter& deployment, std::shared_ptr<Metrics> counters);

  /** Opens the listeners and starts all loops. */
  Result<void> Start();

  /** Starts a graceful stop. Calls `on_finished` when all requests have ended or time is up. */
  void Stop(std::function<void()> on_finished);

  [[nodiscard]] const GatewayState& state() const { return this->gateway_state; }

 private:
  boost::asio::awaitable<Result<StateUpdate>> NextUpdate();
  boost::asio::awaitable<Result<LeaseGrant>> RenewLease(const std::optional<LeaseGrant>& held,
                                                        Milliseconds time);
  boost::asio::awaitable<Result<StateUpdate>> FetchFromPeer(std::string address);
  boost::asio::awaitable<Result<StateUpdate>> CallPeer(std::string address, std::string target);

  /** Fetches the newest configuration and plan from another node. */
  boost::asio::awaitable<void> FetchNewestDocuments(std::string address);

  /** Returns whether a peer knows a newer configuration or plan, which the store does not hold. */
  [[nodiscard]] bool IsAhead(const PeerStatus& peer) const;
  boost::asio::awaitable<void> ElectionLoop();
  [[nodiscard]] const Peer* PeerToFollow() const;
  [[nodiscard]] PeerStatus MakeStatus() const;
  /** Sends this node's status to the nodes that need it now; to all while it stops. */
  void SendStatus();
  void SendStatusTo(PeerStatus& status, const std::string& address, std::uint64_t echo);
  using Loop = boost::asio::awaitable<void> (GatewayNode::*)();

  /** Starts a loop. If it fails, it is logged and starts again a moment later. */
  void Spawn(Loop loop, const char* name);
  boost::asio::awaitable<void> KeepRunning(Loop loop, const char* name);

  boost::asio::awaitable<void> MirrorLoop();
  boost::asio::awaitable<void> RegistrationLoop();
  boost::asio::awaitable<void> PlannerLoop();
  boost::asio::awaitable<void> RefreshLoop();
  boost::asio::awaitable<void> SendStatusLoop();
  boost::asio::awaitable<void> ReceiveStatusLoop();
  boost::asio::awaitable<void> ReleaseLeases();
  boost::asio::awaitable<void> StopLoop(std::function<void()> on_finished);
  boost::asio::awaitable<void> ServePeer(HttpExchange& exchange);
  boost::asio::awaitable<void> SendOrder(RunnerOrder order);
  boost::asio::awaitable<void> ProbeRunner(RunnerOrder order);

  /** Asks a runner for its membership. That it does not answer says nothing about it. */
  boost::asio::awaitable<void> ConfirmMembership(RunnerOrder order);
  boost::asio::awaitable<Result<OrderResult>> SendWithOrderCount(const RunnerOrder& order);
  void OnProbeResult(const VmId& runner, RunnerProbeResult result);
  boost::asio::awaitable<void> WriteRegistration();
  boost::asio::awaitable<void> Campaign();

  /** Writes the quarantines to the store if they have changed, for nodes that start later. */
  boost::asio::awaitable<void> StoreQuarantines();

  void OnStoreItem(const StateItem& item, ChangeOrigin origin);
  void LogRestore(StoreRevision before, TimePoint now);
  void ApplyUpdate(const StateUpdate& update);
  void OnPeerStatus(const PeerStatus& status);
  void ProbeSuspectRunners(TimePoint now);

  /** Asks the runners whose membership is not confirmed, after a restore of the store. */
  void ConfirmMemberships(TimePoint now);
  /** Logs the evacuations that all nodes know of, once each. */
  void LogEvacuations(TimePoint now);
  void LogCapacity(const std::map<ModelName, double>& demand, TimePoint now);

  /** Returns the slots that the callers of all nodes need of each model. */
  [[nodiscard]] std::map<ModelName, double> FleetSlotDemand();
  /** Records the demand while another node is the leader. */
  void ObserveDemand();
  /** Returns the number of groups that callers need of each model. */
  [[nodiscard]] std::map<ModelName, double> GroupDemand();

  [[nodiscard]] std::string LeaderValue() const;
  [[nodiscard]] bool CanCampaign() const;
  [[nodiscard]] bool IsLeader() const;

  /** Returns whether this node may order runners about. After a restore of the store, a new owner
   * waits until the runners have written again. */
  [[nodiscard]] bool MayOrder() const;

  /** Returns the latest era of the store that this node knows. Its copy may be of an earlier one.
   */
  [[nodiscard]] std::int64_t CurrentEra() const {
    return std::max(this->mirror.revision().era, this->store.era());
  }

  boost::asio::io_context& io;
  GatewayState gateway_state;
  Store& store;
  Adapter& adapter;
  StateMirror mirror;
  GroupPlanner planner;
  DemandPeak demand_peak;                ///< Of all nodes; the next leader starts from it.
  TimePoint demand_observed;             ///< While another node is the leader.
  std::optional<LeaseGrant> node_lease;  ///< Lease on the registration of this node.
  /** Lease on the leader key while this node is the leader. */
  std::optional<LeaseGrant> leader_lease;
  std::uint64_t status_rounds = 0;
  /** Timers of waiting followers; cancelled when the mirror changes. */
  std::set<boost::asio::steady_timer*> followers;
  bool registered = false;
  bool snapshot_needed = true;
  bool store_available = true;
  bool fetching_documents = false;
  Deadline next_document_fetch;
  /** The last update from the followed peer failed or was outdated. */
  bool followed_peer_failed = false;
  Drain drain;
  Deadline stop_by = Deadline::max();  ///< When a stopping process ends, whatever is in flight.
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> peer_server;
  boost::asio::ip::udp::socket peer_socket;
  /**
   * Number of orders that a runner process has accepted, by runner and start time. Absent when
   * unknown.
   */
  std::map<std::pair<VmId, std::int64_t>, std::int64_t> accepted_orders;
  TimePoint capacity_logged;
  TimePoint quarantines_written;
  std::map<ZoneId, StoreRevision> logged_evacuations;  ///< Known to all nodes.
  std::map<VmId, TimePoint> last_probe;
  std::set<VmId> unreachable_runners;  ///< Runners that the last probe or order did not reach.
  std::mt19937 random;
  const std::uint64_t incarnation;  ///< Distinguishes this process from earlier ones of the node.
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_GATEWAY_NODE_H_
