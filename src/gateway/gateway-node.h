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
#include "core/dispatch.h"
#include "core/drain.h"
#include "core/gateway-config.h"
#include "core/group-planner.h"
#include "core/runner.h"
#include "core/state-mirror.h"
#include "core/traffic-set.h"
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
using DeploymentChange = std::variant<std::monostate, Runner, RunnerRemoved, GatewayConfig>;

/** Response of a runner to an order. */
enum class OrderResult {
  kStarted,      ///< The runner has started the order, which counts as accepted.
  kAlreadyDone,  ///< The requested state already holds; the order does not count as accepted.
  kRefused,  ///< The order does not fit the runner's state, or another order was accepted first.
  kWrongRunner,  ///< The address belongs to another runner.
};

/**
 * Translates between the gateway and the deployment's wire formats. An order states how
 * many orders the runner has accepted before it. The runner refuses an order with another count, so
 * a delayed order has no effect. `FetchOrderCount` returns the count, or nothing if the address
 * belongs to another runner.
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
    adapter.FetchOrderCount(pool, order, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<std::optional<std::int64_t>>>>;
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
  TrafficSetOptions traffic;
  DispatchOptions dispatch;
  PlannerOptions planner;
  RelayOptions relay;

  /** Returns how long callers may use a directory response: for three times its lifetime. */
  [[nodiscard]] Milliseconds LongestAddressUse() const { return 3 * this->address_lifetime; }
};

/** State of one gateway node that does not depend on the deployment's formats. */
class GatewayState {
 public:
  GatewayState(boost::asio::io_context& context, GatewayOptions settings,
               std::shared_ptr<Metrics> counters);

  /** Applies a change that the deployment has written to the store. */
  void ApplyDeploymentChange(DeploymentChange change);

  /** Applies a store item that the gateway nodes write themselves. */
  void ApplyGatewayItem(const StateItem& item);

  /** Updates dispatching and routing after changes, and dispatches waiting requests. */
  void Refresh();

  /** Records that the configuration was in force at `confirmed`. Earlier times are ignored. */
  void SetConfirmed(BootTime confirmed);

  /** Recomputes which nodes carry traffic and which read the store. */
  void UpdateTrafficSet();

  /** Recomputes this node's share of the free slots, before its load is sent to other nodes. */
  void ShareFreeSlots();

  /** Returns the runner with the hash that a message of another node contains, or null. */
  [[nodiscard]] const VmId* FindByHash(std::uint64_t hash) const;

  [[nodiscard]] bool IsActive(const NodeId& node) const;
  [[nodiscard]] bool IsWatcher(const NodeId& node) const;

  /** Returns whether the node needs the state of all others: it carries traffic, reads the store,
   * or assembles groups. A leader may do so after it has been replaced in its other duties. */
  [[nodiscard]] bool IsCore(const NodeId& node) const;
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] std::vector<std::string> CallerAddresses(const std::string& zone) const;

  const GatewayOptions options;
  const std::shared_ptr<Metrics> metrics;
  ConnectionPool pool;
  DispatchTable dispatch;
  CrashAttribution crash_attribution;
  Relay relay;
  PeerTable peers;
  std::map<VmId, Runner> runners;
  std::map<std::uint64_t, VmId> runner_by_hash;
  GroupPlan plan;
  std::vector<Quarantine> stored_quarantines;  ///< Those in the store.
  std::shared_ptr<const RouteTable> routes;
  BootTime confirmed;
  std::optional<StateItem> leader;  ///< Leader key; its holder assembles groups.
  bool stopping = false;
  TrafficSet traffic_set;
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
  boost::asio::awaitable<void> ElectionLoop();
  [[nodiscard]] const Peer* PeerToFollow() const;
  [[nodiscard]] PeerStatus MakeStatus() const;
  /** Sends this node's status to the nodes that need it now; to all while it stops. */
  void SendStatus();
  void SendStatusTo(PeerStatus& status, const std::string& address, std::uint64_t echo);
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
  boost::asio::awaitable<Result<OrderResult>> SendWithOrderCount(const RunnerOrder& order);
  void OnProbeResult(const VmId& runner, RunnerProbeResult result);
  boost::asio::awaitable<void> WriteRegistration();
  boost::asio::awaitable<void> Campaign();

  /** Writes the quarantines to the store if they have changed, for nodes that start later. */
  boost::asio::awaitable<void> StoreQuarantines();

  void OnStoreItem(const StateItem& item);
  void ApplyUpdate(const StateUpdate& update);
  void OnPeerStatus(const PeerStatus& status);
  void ProbeSuspectRunners(TimePoint now);
  void LogCapacity(const std::map<ModelName, double>& demand, TimePoint now);

  /** Returns the number of groups that callers need of each model. */
  [[nodiscard]] std::map<ModelName, double> GroupDemand();

  [[nodiscard]] std::string LeaderValue() const;
  [[nodiscard]] bool CanCampaign() const;
  [[nodiscard]] bool IsLeader() const;

  boost::asio::io_context& io;
  GatewayState gateway_state;
  Store& store;
  Adapter& adapter;
  StateMirror mirror;
  GroupPlanner planner;
  std::optional<LeaseGrant> node_lease;  ///< Lease on the registration of this node.
  /** Lease on the leader key while this node is the leader. */
  std::optional<LeaseGrant> leader_lease;
  std::uint64_t status_rounds = 0;
  /** Timers of waiting followers; cancelled when the mirror changes. */
  std::set<boost::asio::steady_timer*> followers;
  bool registered = false;
  bool snapshot_needed = true;
  bool store_available = true;
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
  std::map<VmId, TimePoint> last_probe;
  std::set<VmId> unreachable_runners;  ///< Runners that the last probe or order did not reach.
  std::mt19937 random;
  const std::uint64_t incarnation;  ///< Distinguishes this process from earlier ones of the node.
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_GATEWAY_NODE_H_
