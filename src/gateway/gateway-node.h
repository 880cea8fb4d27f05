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

/** What an item of the store that the deployment writes means to the gateway. */
using DeploymentChange = std::variant<std::monostate, Runner, RunnerRemoved, GatewayConfig>;

/** Answer of a runner to an order. */
enum class OrderAnswer {
  kBegun,      ///< It has begun and counts as accepted.
  kHolds,      ///< Its outcome already holds; it does not count.
  kRefused,    ///< It does not fit the runner's state, or another order came first.
  kElsewhere,  ///< Another runner has the address.
};

/**
 * Translates between the gateway and the deployment's wire formats. An order is void unless the
 * runner has accepted as many orders before as it says, so one that arrives late changes nothing.
 * `FetchOrderCount` returns that number, or nothing if another runner has the address.
 */
template <typename T>
concept DeploymentAdapter = requires(T& adapter, const StateItem& item, const RunnerOrder& order,
                                     ConnectionPool& pool, std::int64_t accepted,
                                     Deadline deadline) {
  { adapter.Decode(item) } -> std::same_as<Result<DeploymentChange>>;
  {
    adapter.SendOrder(pool, order, accepted, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<OrderAnswer>>>;
  {
    adapter.FetchOrderCount(pool, order, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<std::optional<std::int64_t>>>>;
};

struct GatewayOptions {
  NodeId node;
  ZoneId zone;
  std::string caller_address;           ///< Where callers connect.
  std::string peer_address;             ///< Where other nodes connect, UDP and TCP.
  std::vector<std::string> peer_seeds;  ///< Peer addresses to try before any node has registered.
  Milliseconds stop_grace{8000};        ///< The process is killed this long after SIGTERM.
  Milliseconds address_lifetime{1000};  ///< For which callers keep an answer with addresses.
  Milliseconds free_load_time{0};       ///< After the start, in which loads count for no rate.
  double capacity = 1;                  ///< Processor share of this node, in cores.
  TrafficSetOptions traffic;
  DispatchOptions dispatch;
  PlannerOptions planner;
  RelayOptions relay;
};

/** State of one gateway node that does not depend on the deployment's formats. */
class GatewayState {
 public:
  GatewayState(boost::asio::io_context& context, GatewayOptions settings,
               std::shared_ptr<Metrics> counters);

  /** Takes over a change that the deployment wrote. */
  void Apply(DeploymentChange change);

  /** Takes over one of the gateway's own keys. */
  void ApplyOwn(const StateItem& item);

  /** Brings routing up to date after changes. */
  void Refresh();

  /** Sets how old the proof of the present configuration is. */
  void Confirm(BootTime confirmed);

  /** Chooses anew who carries traffic and who reads the store. */
  void DivideWork();

  /** Renews this node's part of the free slots; its load is told to the other nodes next. */
  void ShareFreeSlots();

  /** Returns the runner that a hash in another node's message stands for, or null. */
  [[nodiscard]] const VmId* FindByHash(std::uint64_t hash) const;

  [[nodiscard]] bool IsActive(const NodeId& node) const;
  [[nodiscard]] bool IsWatcher(const NodeId& node) const;
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] std::vector<std::string> CallerAddresses(const std::string& zone) const;

  const GatewayOptions options;
  const std::shared_ptr<Metrics> metrics;
  ConnectionPool pool;
  DispatchTable dispatch;
  Relay relay;
  PeerTable peers;
  std::map<VmId, Runner> runners;
  std::map<std::uint64_t, VmId> runner_by_hash;
  GroupPlan plan;
  std::shared_ptr<const RouteTable> routes;
  BootTime confirmed;
  std::optional<StateItem> leader;  ///< Key of the node that assembles groups.
  bool stopping = false;
  TrafficSet work;
};

/** Names of the gateway's own keys in the store. */
namespace gateway_keys {
inline constexpr std::string_view kPrefix = "limpetfall/";
inline constexpr std::string_view kLeader = "limpetfall/leader";
inline constexpr std::string_view kPlan = "limpetfall/plan";
inline constexpr std::string_view kNodes = "limpetfall/nodes/";
}  // namespace gateway_keys

/**
 * One gateway node: copies the platform's store, exchanges state with the other nodes, serves
 * callers, and assembles groups while it holds the leader's key. Runs on one thread.
 */
template <CoordinationStore Store, DeploymentAdapter Adapter>
class GatewayNode {
 public:
  GatewayNode(boost::asio::io_context& context, GatewayOptions settings, Store& platform_store,
              Adapter& deployment, std::shared_ptr<Metrics> counters);

  /** Opens the listeners and starts all loops. */
  Result<void> Start();

  /** Begins a planned stop; `on_finished` is called when nothing is in flight. */
  void Stop(std::function<void()> on_finished);

  [[nodiscard]] const GatewayState& state() const { return this->shared; }

 private:
  boost::asio::awaitable<Result<StateUpdate>> NextUpdate();
  boost::asio::awaitable<Result<LeaseGrant>> RenewLease(const std::optional<LeaseGrant>& held,
                                                        Milliseconds time);
  boost::asio::awaitable<Result<StateUpdate>> FetchFromPeer(std::string address);
  boost::asio::awaitable<void> LeadLoop();
  [[nodiscard]] const Peer* Source() const;
  [[nodiscard]] PeerStatus Status() const;
  void SendStatus(PeerStatus& status, const std::string& address, std::uint64_t echo);
  boost::asio::awaitable<void> MirrorLoop();
  boost::asio::awaitable<void> LeaseLoop();
  boost::asio::awaitable<void> OwnerLoop();
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> SendPeersLoop();
  boost::asio::awaitable<void> ReceivePeersLoop();
  boost::asio::awaitable<void> StopLoop(std::function<void()> on_finished);
  boost::asio::awaitable<void> ServePeer(HttpExchange& exchange);
  boost::asio::awaitable<void> SendOrder(RunnerOrder order);
  boost::asio::awaitable<void> ProbeRunner(RunnerOrder order);
  boost::asio::awaitable<Result<OrderAnswer>> CountAndSend(const RunnerOrder& order);
  void OnSighting(const VmId& runner, RunnerProbeResult sighting);
  boost::asio::awaitable<void> WriteRegistration();
  boost::asio::awaitable<void> TryLead();

  void OnItem(const StateItem& item);
  void Take(const StateUpdate& update);
  void OnPeerStatus(const PeerStatus& status);
  void ProbeSuspects(TimePoint now);
  void LogCapacity(const std::map<ModelName, double>& demand, TimePoint now);
  [[nodiscard]] std::map<ModelName, double> Demand();
  [[nodiscard]] std::string LeaderValue() const;
  [[nodiscard]] bool MayLead() const;
  [[nodiscard]] bool Leads() const;

  boost::asio::io_context& io;
  GatewayState shared;
  Store& store;
  Adapter& adapter;
  StateMirror mirror;
  GroupPlanner planner;
  std::optional<LeaseGrant> lease;         ///< Holds the registration of this node.
  std::optional<LeaseGrant> leader_lease;  ///< Holds the leader's key while this node leads.
  std::uint64_t status_rounds = 0;
  std::set<boost::asio::steady_timer*> followers;  ///< Cancelled when the mirror changes.
  bool registered = false;
  bool snapshot_needed = true;
  bool store_ok = true;
  bool source_failed = false;  ///< The node that was followed did not answer the last time.
  Drain drain;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> peer_server;
  boost::asio::ip::udp::socket peer_socket;
  /** Orders that a runner has accepted in one life; absent when not known. */
  std::map<std::pair<VmId, std::int64_t>, std::int64_t> accepted_orders;
  TimePoint capacity_logged;
  std::map<VmId, TimePoint> probed;
  std::set<VmId> unseen;  ///< Runners that the last probe did not reach.
  std::mt19937 random;
  const std::uint64_t life;  ///< Tells this process from earlier ones of the node.
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_GATEWAY_NODE_H_
