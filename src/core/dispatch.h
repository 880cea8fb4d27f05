#ifndef LIMPETFALL_CORE_DISPATCH_H_
#define LIMPETFALL_CORE_DISPATCH_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "core/cold-limit.h"
#include "core/group-planner.h"
#include "core/runner.h"
#include "core/upstream-health.h"
#include "core/upstream-rate-limit.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Notified when the upstream that serves a request is considered lost. */
class UpstreamLossListener {
 public:
  virtual ~UpstreamLossListener() = default;
  virtual void OnUpstreamLost() = 0;
};

struct DispatchOptions {
  ZoneId zone;  ///< Availability zone of this node.
  /** Added to the load of an upstream in another zone, as a fraction of its slots. Traffic between
   * zones is charged. */
  double remote_zone_penalty = 0.2;
  /** An upstream stays in use for this long after its entry disappeared from the store. Entries
   * also expire during a store outage. */
  Milliseconds missing_entry_grace{1000};
  /** A load reported by another node expires after this time. */
  Milliseconds peer_load_lifetime{1500};
  /** Must differ between nodes. Otherwise all of them round their fraction of the free slots up at
   * the same time. */
  std::uint32_t seed = 1;
  UpstreamHealthOptions health{};
  ColdLimitOptions cold{};
  /** Nodes that share the rate of a cold upstream until `SetSenderCount` is called. */
  std::size_t cold_senders = 12;
};

/** Requirements of a request for its upstream. */
struct DispatchRequest {
  ServiceName service;
  ModelName model;             ///< Empty for a plain service.
  std::vector<VmId> excluded;  ///< Upstreams where an earlier attempt of this request failed.
  double max_load = 1;     ///< Only upstreams below this load are chosen; 1 is all slots in use.
  bool retry_safe = true;  ///< May be sent to another upstream although it may have run.
  /** The caller has received the beginning of the response, and another upstream continues it.
   * `DispatchTarget::in_flight_limit` does not apply. */
  bool response_started = false;

  friend bool operator==(const DispatchRequest&, const DispatchRequest&) = default;
};

namespace detail {

/** An upstream that accepts requests: the head of an open group or a VM of a plain service. */
struct DispatchTarget {
  VmId id;
  std::string address;
  ZoneId zone;
  ServiceName service;
  ModelName model;
  int slots = 1;
  std::int64_t started_ms = 0;
  bool eligible = false;
  int in_flight = 0;        ///< Requests of this node.
  int in_flight_limit = 0;  ///< Maximum of `in_flight` until the next exchange of loads.
  TimePoint last_progress;  ///< When a request of this node last received bytes.
  UpstreamHealth health;
  std::uint64_t boot = 0;        ///< Identifies this run of the upstream.
  bool said_leaving = false;     ///< The upstream itself has said that it leaves.
  Deadline paused_until;         ///< The upstream has asked this node to send nothing until then.
  bool trial_in_flight = false;  ///< The first request after a suspension is in flight.
  std::shared_ptr<UpstreamRateLimit> rate_limit;  ///< Null if the upstream has stated none.
  bool evacuated = false;                         ///< Its zone is evacuated.
  std::optional<ColdProfile> cold;                ///< Of its service.
  Deadline cold_until;
  TimePoint first_seen;
  ColdLimit cold_limit;
  std::set<UpstreamLossListener*> listeners;
};

}  // namespace detail

/** Counts a request as in flight at its upstream until the ticket is destroyed. */
class DispatchTicket {
 public:
  DispatchTicket(std::shared_ptr<detail::DispatchTarget> chosen, UpstreamLossListener* listener);
  DispatchTicket(DispatchTicket&& other) noexcept;
  DispatchTicket& operator=(DispatchTicket&& other) noexcept;
  DispatchTicket(const DispatchTicket&) = delete;
  DispatchTicket& operator=(const DispatchTicket&) = delete;
  ~DispatchTicket();

  [[nodiscard]] const VmId& upstream() const { return this->target->id; }
  [[nodiscard]] const std::string& address() const { return this->target->address; }
  /** Identifies the current run of the upstream; a restart changes it. */
  [[nodiscard]] std::uint64_t boot() const { return this->target->boot; }

  /** Returns whether the upstream wants requests. It may have said otherwise since it was chosen.
   */
  [[nodiscard]] bool IsWanted(TimePoint now) const;

  /** Returns whether the zone of the upstream is evacuated. */
  [[nodiscard]] bool IsEvacuated() const { return this->target->evacuated; }
  [[nodiscard]] TimePoint last_progress() const { return this->target->last_progress; }

  /** Records that the request is being sent to the upstream. */
  void OnSent(TimePoint now);

  /** The listener is no longer notified of the loss of the upstream. */
  void RemoveListener();

 private:
  friend class DispatchTable;
  void Release();

  std::shared_ptr<detail::DispatchTarget> target;
  UpstreamLossListener* listener = nullptr;
  TimePoint sent;
};

/**
 * Upstreams to which this node may send requests. Their load includes the requests of this node and
 * those that other nodes report. Not thread-safe.
 *
 *     table.Update(runners, plan, engine_slots, now);
 *     if (auto ticket = table.Choose(request, &listener, now)) Send(ticket->address());
 */
class DispatchTable {
 public:
  explicit DispatchTable(DispatchOptions settings)
      : options(std::move(settings)), random(this->options.seed) {}

  /**
   * Applies the runners and the plan read from the store. The head of a group is eligible if it is
   * open, the plan does not dissolve the group, and the entries of all members show that they have
   * joined it.
   */
  void Update(const std::map<VmId, Runner>& runners, const GroupPlan& plan,
              const std::map<ServiceName, int>& engine_slots, TimePoint now);

  /** Sets how the upstreams of services warm up. Takes effect with the next `Update`. */
  void SetColdProfiles(std::map<ServiceName, ColdProfile> profiles) {
    this->cold_profiles = std::move(profiles);
  }

  /** Sets the zones whose upstreams get nothing, and when evacuations of others have ended. */
  void SetEvacuations(std::set<ZoneId> zones, std::map<ZoneId, TimePoint> ended);

  /** Sets the number of nodes that may send requests, for the bound on cold upstreams. */
  void SetSenderCount(std::size_t nodes) { this->sender_count = nodes; }

  /** Returns the number of upstreams that are cold now. */
  [[nodiscard]] std::size_t CountCold(TimePoint now) const;

  /** Chooses the upstream with the lowest cost, which depends on load, zone and fault rate. Returns
   * nothing if no eligible upstream is below `max_load`. */
  [[nodiscard]] std::optional<DispatchTicket> Choose(const DispatchRequest& request,
                                                     UpstreamLossListener* listener, TimePoint now);

  /** Returns whether any upstream is eligible, regardless of its load. */
  [[nodiscard]] bool HasEligible(const DispatchRequest& request, TimePoint now) const;

  void OnProgress(const DispatchTicket& ticket, TimePoint now);

  /** Records a failed attempt. Returns whether it caused the suspension of the upstream. */
  bool OnFault(const DispatchTicket& ticket, UpstreamFault fault, TimePoint now);

  /** Records an attempt that received a complete response. */
  void OnSuccess(const DispatchTicket& ticket, TimePoint now);

  /** Records that an upstream has said that it leaves. It gets nothing new until it restarts,
   * whatever its entry in the store says. Returns whether this is new. */
  bool OnLeaving(const DispatchTicket& ticket, TimePoint now);

  /** Records what a response states about the rate limit of its upstream. Returns whether it has
   * changed. */
  bool OnStatedRate(const DispatchTicket& ticket, RequestRate rate, TimePoint now);

  /**
   * If all upstreams that could serve the request limit their rate and take none now, returns the
   * rate at which this node may expect to send to them, in requests per second.
   */
  [[nodiscard]] std::optional<double> LimitedRate(const DispatchRequest& request,
                                                  TimePoint now) const;

  /** Records that an upstream wants nothing from this node until `until`. A later end stays valid.
   */
  void OnPause(const DispatchTicket& ticket, Deadline until);

  /** Returns the earliest end of a pause if all upstreams that could serve the request have asked
   * for one. */
  [[nodiscard]] std::optional<Deadline> PausedUntil(const DispatchRequest& request,
                                                    TimePoint now) const;

  /** Suspends an upstream that is considered lost and notifies the listeners of its requests. */
  void OnLost(const VmId& upstream, TimePoint now);

  /**
   * Divides the free slots of every upstream among the `nodes` that carry traffic. Called whenever
   * this node sends its load to the others. Until the next call, this node uses no more than its
   * fraction. It may reuse slots that its own requests free in the meantime, as the other nodes
   * still count them as occupied. Slots of plain services are not divided, because plain services
   * immediately refuse requests beyond their capacity.
   *
   * Without this division, nodes with more requests than slots would all fill the same slots: each
   * node learns from the last exchange of loads which slots are free.
   */
  void ShareFreeSlots(std::size_t nodes, TimePoint now);

  /** Grants this node its part of all rate limits. `nodes` is the number of nodes that may send,
   * including those that this node does not hear at present. Called as `ShareFreeSlots`. */
  void StartRateLimitRounds(std::size_t nodes, TimePoint now);

  /** Replaces the numbers of requests that another node has in flight. */
  void SetPeerLoad(const NodeId& node, std::map<VmId, int> in_flight, TimePoint now);

  /** Records what another node knows about rate limits. */
  void MergeRateLimits(const NodeId& node, const std::vector<RateLimitReport>& reports,
                       TimePoint now);

  /** Returns what the other nodes should know about rate limits. */
  [[nodiscard]] std::vector<RateLimitReport> RateLimitReports(TimePoint now);

  /** Returns the number of requests of this node in flight, by upstream. */
  [[nodiscard]] std::map<VmId, int> LocalLoad() const;

  [[nodiscard]] std::vector<VmId> SuspendedUpstreams(TimePoint now) const;

  /** Returns the total slots of the eligible upstreams of a model, and the number of requests that
   * all nodes have in flight there. */
  [[nodiscard]] std::pair<int, int> SlotsAndLoad(const ServiceName& service, const ModelName& model,
                                                 TimePoint now) const;

 private:
  struct PeerLoad {
    std::map<VmId, int> in_flight;
    Deadline expires;
  };

  [[nodiscard]] int TotalLoad(const detail::DispatchTarget& target, TimePoint now) const;
  /** Returns whether the upstream may be used for the request, regardless of its health and load.
   */
  [[nodiscard]] static bool MatchesRequest(const detail::DispatchTarget& target,
                                           const DispatchRequest& request, TimePoint now);
  [[nodiscard]] bool HasHealthyUpstream(const DispatchRequest& request, TimePoint now) const;
  [[nodiscard]] double RoutingCost(const detail::DispatchTarget& target,
                                   const DispatchRequest& request, double load,
                                   TimePoint now) const;
  void RefreshTarget(const Runner& runner, const PlannedGroup* group, int slots, TimePoint now);
  /** Returns until when an upstream counts as cold. */
  [[nodiscard]] Deadline ColdUntil(const Runner& runner,
                                   const detail::DispatchTarget& target) const;
  [[nodiscard]] bool MaySendToCold(const detail::DispatchTarget& target, TimePoint now) const;
  void SetInFlightLimit(detail::DispatchTarget& target, int free_slots);
  /** Returns the number of requests that an upstream can have in flight, given its rate limit. */
  [[nodiscard]] static double EffectiveSlots(const detail::DispatchTarget& target,
                                             std::chrono::duration<double> service_time);
  /** Returns the rate limit of an upstream, which is created if necessary. */
  UpstreamRateLimit& RateLimitOf(std::uint64_t upstream_boot);

  DispatchOptions options;
  std::map<VmId, std::shared_ptr<detail::DispatchTarget>> targets;
  std::map<VmId, TimePoint> missing_since;
  std::map<VmId, Runner> recent_runners;  ///< Entries present or missing for less than the grace.
  std::map<std::uint64_t, TimePoint> leaving_boots;  ///< When upstreams said that they leave.
  std::map<std::uint64_t, std::shared_ptr<UpstreamRateLimit>> rate_limits;  ///< By upstream boot.
  std::uint64_t last_reported_limit = 0;                                    ///< Upstream boot.
  std::map<std::pair<ServiceName, ModelName>, std::chrono::duration<double>> service_times;
  std::map<NodeId, PeerLoad> peers;
  std::map<ServiceName, ColdProfile> cold_profiles;
  std::set<ZoneId> evacuated_zones;
  std::map<ZoneId, TimePoint> evacuations_ended;
  std::optional<std::size_t> sender_count;
  std::uint64_t selection_count = 0;  ///< Rotates the choice among upstreams of equal cost.
  double free_slot_fraction = 1;      ///< Free slots that this node may use; 1 for a single node.
  std::minstd_rand random;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_DISPATCH_H_
