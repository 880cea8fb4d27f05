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
  std::size_t max_queued = 512;   ///< Over all teams.
  Milliseconds aging_step{2000};  ///< Waiting this long raises a request by one priority.
};

/** A request that asks for its turn. */
struct AdmissionRequest {
  TeamName team;
  std::string lane;  ///< Requests of one lane can use the same upstreams and wait for each other.
  Priority priority = Priority::kNormal;
  double cost = 1;  ///< Expected use of capacity, in any unit common to all requests.
  Deadline deadline;
  bool is_retry = false;  ///< A retry or resume: already counted against the team's rate.
  Deadline start_by = Deadline::max();  ///< Refused unless its turn comes before this.
  /** A stream that has begun: how much of it is left is not known, and a late end is better than
   * none, so the usual time of a request is not held against its deadline. */
  bool response_started = false;

  friend bool operator==(const AdmissionRequest&, const AdmissionRequest&) = default;
};

using AdmissionId = std::uint64_t;

/**
 * Bounded queue in front of the upstreams. A higher priority goes first, and a waiting request
 * gains priority with time. Among requests of equal priority, teams share each lane's capacity by
 * weight (start-time fair queueing over the cost of the requests).
 *
 * The owner asks for `Next`, tries to start that request, and then calls `Start`, or asks again
 * with the request's lane marked as blocked:
 *
 *     while (auto id = queue.Next(blocked, now)) {
 *       if (TryStart(*id)) queue.Start(*id, now); else blocked.insert(queue.LaneOf(*id));
 *     }
 */
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);

  /** Takes over the teams' weights and limits. */
  void SetTeams(const std::vector<TeamSpec>& specs, TimePoint now);

  /** Takes over another node's demand until `expires`. */
  void OnDemand(const TeamDemand& demand, Deadline expires);

  /** Returns the demand of this node, to be told to the others. */
  [[nodiscard]] std::vector<TeamDemand> Demand(const NodeId& self, TimePoint now) const;

  /**
   * Queues a request, or refuses it with `kResourceExhausted` when the queue is full or the team is
   * over its rate, or with `kDeadlineExceeded` when its turn would come too late.
   */
  [[nodiscard]] Result<AdmissionId> Enqueue(const AdmissionRequest& request, TimePoint now);

  /** Returns the request whose turn it is among lanes that are not blocked. */
  [[nodiscard]] std::optional<AdmissionId> Next(const std::set<std::string>& blocked_lanes,
                                                TimePoint now) const;

  [[nodiscard]] const std::string& LaneOf(AdmissionId id) const;

  /** Takes a request out of the queue and counts it as running until `Finish`. */
  void Start(AdmissionId id, TimePoint now);

  /** Ends a running request. `served` says whether its duration counts for the service rate. */
  void Finish(AdmissionId id, bool served, TimePoint now);

  /** Takes a waiting request out of the queue; returns whether it was waiting. */
  bool Cancel(AdmissionId id);

  /** Takes out and returns waiting requests that can no longer meet a deadline. */
  [[nodiscard]] std::vector<AdmissionId> Expire(TimePoint now);

  /** Returns the expected wait of a request that is queued now. */
  [[nodiscard]] Milliseconds ExpectedWait(const AdmissionRequest& request) const;

  [[nodiscard]] std::size_t queued() const { return this->waiting.size(); }
  [[nodiscard]] std::size_t running() const { return this->running_requests.size(); }

 private:
  struct Flow {
    std::string lane;
    Priority priority = Priority::kNormal;

    // clang-tidy 14 takes the 0 in the generated comparison for a null pointer.
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
    double demand = 0;  ///< Requests per second of this node, smoothed.
    TimePoint demand_updated;
    double rate_tokens = 1;
    TimePoint rate_updated;
    std::map<NodeId, NodeDemand> peer_demands;
  };

  struct Lane {
    int running = 0;
    std::array<std::size_t, 3> queued{};  ///< By priority.
    double mean_service_seconds =
        0;  ///< Smoothed duration of a served request; 0 before the first.
    double mean_deviation_seconds = 0;  ///< Smoothed distance of durations from the mean.

    /** Returns the time within which nearly all requests are served. */
    [[nodiscard]] double ServiceSecondsUpperBound() const {
      return this->mean_service_seconds + 2 * this->mean_deviation_seconds;
    }
    double virtual_time = 0;                ///< Start tag of the request started last.
    std::map<TeamName, double> start_tags;  ///< Of the next request of each team.
  };

  struct Waiting {
    AdmissionRequest request;
    TimePoint since;
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
  std::set<std::pair<Deadline, AdmissionId>> by_deadline;  ///< Of the end or of the start.
};

/** Keeps extra attempts below a share of the requests. */
class RetryBudget {
 public:
  /** Counts a request, which earns `share` of an extra attempt. */
  void OnRequest(double share);

  /** Takes one extra attempt; returns false when none is left. */
  [[nodiscard]] bool TryTake();

 private:
  // A lost group interrupts up to its in-flight limit of requests at once, also on a quiet node.
  static constexpr double kInitialAttempts = 16;
  static constexpr double kMaxAttempts = 64;

  double available_attempts = kInitialAttempts;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_ADMISSION_H_
