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
#include "core/group-planner.h"
#include "core/runner.h"
#include "core/upstream-health.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Told when the upstream that a request was sent to is taken for lost. */
class UpstreamLossListener {
 public:
  virtual ~UpstreamLossListener() = default;
  virtual void OnUpstreamLost() = 0;
};

struct DispatchOptions {
  ZoneId zone;  ///< Of this node.
  /** Load that an upstream in another zone must have less to be chosen, in parts of its slots;
   * bytes between zones are priced. */
  double remote_zone_penalty = 0.2;
  /** An upstream whose entry vanished is still used for this long; entries lapse with the store. */
  Milliseconds missing_entry_grace{1000};
  /** A load told by another node counts for this long. */
  Milliseconds peer_load_lifetime{1500};
  /** Differs between nodes, so that they do not all round their parts of the free slots up. */
  std::uint32_t seed = 1;
  UpstreamHealthOptions health{};
};

/** What a request needs from its upstream. */
struct DispatchRequest {
  ServiceName service;
  ModelName model;             ///< Empty for a plain service.
  std::vector<VmId> excluded;  ///< Upstreams that failed this request.
  double max_load = 1;     ///< Most load after which a request is placed, in parts of the slots.
  bool retry_safe = true;  ///< May go to another upstream after it may have run at the first.
  /** An answer that has begun goes on elsewhere; it waits for no part of the free slots. */
  bool response_started = false;

  friend bool operator==(const DispatchRequest&, const DispatchRequest&) = default;
};

namespace detail {

/** One upstream that takes requests: the head of an open group, or one of a plain service. */
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
  int in_flight_limit = 0;  ///< Most requests of this node until loads are exchanged again.
  TimePoint last_progress;  ///< When a request of this node last received bytes.
  UpstreamHealth health;
  bool trial_in_flight = false;  ///< A first request after a suspension is in flight.
  std::set<UpstreamLossListener*> listeners;
};

}  // namespace detail

/** A request that is counted against its upstream until the ticket is destroyed. */
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
  [[nodiscard]] TimePoint last_progress() const { return this->target->last_progress; }

  /** Stops telling the listener when the upstream is taken for lost. */
  void RemoveListener();

 private:
  friend class DispatchTable;
  void Release();

  std::shared_ptr<detail::DispatchTarget> target;
  UpstreamLossListener* listener = nullptr;
};

/**
 * Upstreams that this node may send requests to, with their load as known from this node and from
 * the others. Not thread-safe.
 *
 *     table.Update(runners, plan, now);
 *     if (auto ticket = table.Choose(request, &listener, now)) Send(ticket->address());
 */
class DispatchTable {
 public:
  explicit DispatchTable(DispatchOptions settings)
      : options(std::move(settings)), random(this->options.seed) {}

  /**
   * Takes over what the store says. The head of a group is eligible while it is open, the plan
   * keeps the group, and every member's entry shows it as a member.
   */
  void Update(const std::map<VmId, Runner>& runners, const GroupPlan& plan,
              const std::map<ServiceName, int>& engine_slots, TimePoint now);

  /** Chooses the least loaded upstream; nothing when none is eligible and below `fill`. */
  [[nodiscard]] std::optional<DispatchTicket> Choose(const DispatchRequest& request,
                                                     UpstreamLossListener* listener, TimePoint now);

  /** Says whether any upstream is eligible, whatever its load. */
  [[nodiscard]] bool HasEligible(const DispatchRequest& request, TimePoint now) const;

  void OnProgress(const DispatchTicket& ticket, TimePoint now);

  /** Notes that an attempt failed. Returns whether the upstream is suspended for it. */
  bool OnFault(const DispatchTicket& ticket, UpstreamFault fault, TimePoint now);

  /** Notes that an attempt brought a whole answer. */
  void OnSuccess(const DispatchTicket& ticket, TimePoint now);

  /** Takes an upstream for lost: suspends it and tells the requests that were sent there. */
  void OnLost(const VmId& upstream, TimePoint now);

  /**
   * Divides the free slots of every upstream among the `nodes` that carry traffic. Called whenever
   * the others are told the load of this node. Until the next time it fills no more than its part;
   * slots that its own requests leave meanwhile stay its own, as the others still count them. Plain
   * services refuse what is too much at once, so their slots are not divided.
   *
   * Load that it answers: more requests than slots, from many nodes. Each sees the slots that come
   * free in the loads of the last exchange, and all would fill the same ones.
   */
  void ShareFreeSlots(std::size_t nodes, TimePoint now);

  /** Replaces what another node has in flight. */
  void SetPeerLoad(const NodeId& node, std::map<VmId, int> in_flight, TimePoint now);

  /** Returns the requests of this node in flight, by upstream. */
  [[nodiscard]] std::map<VmId, int> LocalLoad() const;

  [[nodiscard]] std::vector<VmId> Suspended(TimePoint now) const;

  /** Returns the slots of eligible upstreams of a model and the requests there, over all nodes. */
  [[nodiscard]] std::pair<int, int> SlotsAndLoad(const ServiceName& service, const ModelName& model,
                                                 TimePoint now) const;

 private:
  struct PeerLoad {
    std::map<VmId, int> in_flight;
    Deadline expires;
  };

  [[nodiscard]] int TotalLoad(const detail::DispatchTarget& target, TimePoint now) const;
  [[nodiscard]] static bool Matches(const detail::DispatchTarget& target,
                                    const DispatchRequest& request);
  [[nodiscard]] bool HasHealthy(const DispatchRequest& request, TimePoint now) const;
  [[nodiscard]] double RoutingCost(const detail::DispatchTarget& target,
                                   const DispatchRequest& request, double load,
                                   TimePoint now) const;
  void RefreshTarget(const Runner& runner, const PlannedGroup* group, int slots);
  void SetInFlightLimit(detail::DispatchTarget& target, int free_slots);

  DispatchOptions options;
  std::map<VmId, std::shared_ptr<detail::DispatchTarget>> targets;
  std::map<VmId, TimePoint> missing_since;
  std::map<VmId, Runner> recent_runners;  ///< Last entry of upstreams that vanished a moment ago.
  std::map<NodeId, PeerLoad> peers;
  std::uint64_t selection_count = 0;  ///< Varies the choice among equals.
  double free_slot_fraction = 1;  ///< Part of the free slots that this node may fill; 1 if alone.
  std::minstd_rand random;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_DISPATCH_H_
