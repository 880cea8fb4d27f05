#ifndef LIMPETFALL_CORE_ADMISSION_H_
#define LIMPETFALL_CORE_ADMISSION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/document.h"
#include "core/types.h"
#include "limpetfall/result.h"

namespace limpetfall {

struct AdmissionOptions {
  std::size_t max_queued = 512;   ///< Total of all teams.
  Milliseconds aging_step{2000};  ///< Each such period of waiting raises the priority by one level.
};

/** A request to be queued until an upstream has capacity for it. */
struct AdmissionRequest {
  TeamName team;
  std::string lane;  ///< Identifies requests that compete for the same upstreams.
  Priority priority = Priority::kNormal;
  double cost = 1;  ///< Expected use of capacity. Any unit, the same for all requests.
  Deadline deadline;
  bool is_retry = false;  ///< A retry or resumed stream, already counted in the team's rate.
  Deadline start_by = Deadline::max();  ///< Refused if it cannot start before this time.
  /** A request that has not started by then is late, and starts after those that are not. */
  Deadline on_time_by = Deadline::max();
  /** A stream whose beginning has been delivered. The usual service time is not considered in the
   * deadline check, because the remaining length is unknown and a late end is better than none. */
  bool response_started = false;

  friend bool operator==(const AdmissionRequest&, const AdmissionRequest&) = default;
};

using AdmissionId = std::uint64_t;

/**
 * Bounded queue in front of the upstreams. Requests of higher priority start first, and the
 * priority of a waiting request rises with time. Among requests of equal priority, those that can
 * still meet their objective start before late ones; late ones fill the capacity that is left.
 * Among these, teams share the capacity of each lane by weight (start-time fair queueing over the
 * cost of the requests).
 *
 * The owner calls `Next` and tries to start the returned request. It then calls `Start` on success,
 * or else `Next` with the lane of the request added to the blocked lanes:
 *
 *     while (auto id = queue.Next(blocked, now)) {
 *       if (TryStart(*id)) queue.Start(*id, now); else blocked.insert(queue.LaneOf(*id));
 *     }
 */
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);

  /** Sets the weights and limits of the teams. */
  void SetTeams(const std::vector<TeamSpec>& specs, TimePoint now);

  /** Records the demand reported by another node, valid until `expires`. */
  void OnDemand(const TeamDemand& demand, Deadline expires);

  /** Returns the demand at this node, to be sent to the other nodes. */
  [[nodiscard]] std::vector<TeamDemand> Demand(const NodeId& self, TimePoint now) const;

  /**
   * Queues a request. Fails with `kResourceExhausted` if the queue is full or the team exceeds its
   * request rate, and with `kDeadlineExceeded` if the request would start or end too late.
   */
  [[nodiscard]] Result<AdmissionId> Enqueue(const AdmissionRequest& request, TimePoint now);

  /** Moves the requests that have become late behind the others. Called before `Next`. */
  void MoveLate(TimePoint now);

  /** Returns the request to start next among those of lanes that are not blocked. */
  [[nodiscard]] std::optional<AdmissionId> Next(const std::set<std::string>& blocked_lanes,
                                                TimePoint now) const;

  [[nodiscard]] const std::string& LaneOf(AdmissionId id) const;

  /** Removes a request from the queue and counts it as running until `Finish`. */
  void Start(AdmissionId id, TimePoint now);

  /** Ends a running request. Its duration is included in the service time if `served` is set. */
  void Finish(AdmissionId id, bool served, TimePoint now);

  /** Removes a waiting request from the queue. Returns whether it was waiting. */
  bool Cancel(AdmissionId id);

  /** Removes and returns the waiting requests that can no longer start or end in time. */
  [[nodiscard]] std::vector<AdmissionId> Expire(TimePoint now);

  /** Returns the expected queueing time of a request that would be queued now. */
  [[nodiscard]] Milliseconds ExpectedWait(const AdmissionRequest& request, TimePoint now) const;

  /** Returns the number of waiting requests that would start before a new one. */
  [[nodiscard]] std::size_t QueuedBefore(const AdmissionRequest& request, TimePoint now) const;

  [[nodiscard]] std::size_t queued() const { return this->waiting.size(); }
  [[nodiscard]] std::size_t running() const { return this->running_requests.size(); }

 private:
  struct Flow {
    std::string lane;
    Priority priority = Priority::kNormal;
    bool late = false;

    // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
    friend auto operator<=>(const Flow&, const Flow&) = default;  // NOLINT(modernize-use-nullptr)
  };

  struct NodeDemand {
    double requests_per_second = 0;
    Deadline expires;
  };

  struct Team {
    TeamSpec spec;
    std::size_t queued = 0;
    std::map<Flow, std::deque<AdmissionId>> flows;
    double demand = 0;  ///< Requests per second at this node, averaged with exponential decay.
    TimePoint demand_updated;
    double rate_tokens = 1;
    TimePoint rate_updated;
    std::map<NodeId, NodeDemand> peer_demands;
  };

  struct Lane {
    int running = 0;
    std::array<std::size_t, 3> queued{};  ///< By priority.
    /** Moving average of the durations of served requests; 0 before the first. */
    double mean_service_seconds = 0;
    /** Moving average of the absolute deviations from `mean_service_seconds`. */
    double mean_deviation_seconds = 0;

    /** Returns the duration within which nearly all requests are served. */
    [[nodiscard]] double ServiceSecondsUpperBound() const {
      return this->mean_service_seconds + 2 * this->mean_deviation_seconds;
    }
    double virtual_time = 0;                ///< Start tag of the request started last.
    std::map<TeamName, double> start_tags;  ///< Start tag of the next request of each team.
  };

  struct Waiting {
    AdmissionRequest request;
    TimePoint since;
    bool late = false;
  };

  struct Running {
    std::string lane;
    TimePoint since;
  };

  [[nodiscard]] Team& TeamOf(const TeamName& name);
  void RecordDemand(Team& team, TimePoint now);
  [[nodiscard]] double DemandAt(const Team& team, TimePoint now) const;
  [[nodiscard]] bool TryTakeRateToken(Team& team, TimePoint now);
  [[nodiscard]] bool MeetsDeadline(const AdmissionRequest& request, TimePoint now) const;
  [[nodiscard]] static int BestWaitingPriority(const Lane& lane);
  [[nodiscard]] int AgedPriority(const Waiting& entry, TimePoint now) const;
  void Remove(AdmissionId id);

  AdmissionOptions options;
  AdmissionId last_id = 0;
  std::map<TeamName, Team> teams;
  std::map<std::string, Lane> lanes;
  std::unordered_map<AdmissionId, Waiting> waiting;
  std::unordered_map<AdmissionId, Running> running_requests;
  std::set<std::pair<Deadline, AdmissionId>> by_deadline;  ///< By `EarliestDeadline`.
  /** Requests that are not late, by `on_time_by`. */
  std::set<std::pair<Deadline, AdmissionId>> by_on_time;
};

/** Limits extra attempts to a fraction of the requests. */
class RetryBudget {
 public:
  /** Counts a request, which adds `share` of an extra attempt to the budget. */
  void OnRequest(double share);

  /** Uses one extra attempt. Returns false if none is available. */
  [[nodiscard]] bool TryTake();

 private:
  // The loss of a group interrupts up to its in-flight limit of requests at the same time, even on
  // a node with little traffic.
  static constexpr double kInitialAttempts = 16;
  static constexpr double kMaxAttempts = 64;

  double available_attempts = kInitialAttempts;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_ADMISSION_H_
