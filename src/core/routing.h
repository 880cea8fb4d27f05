#ifndef LIMPETFALL_CORE_ROUTING_H_
#define LIMPETFALL_CORE_ROUTING_H_

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "base/routing-policy.h"
#include "core/document.h"
#include "core/types.h"
#include "limpetfall/result.h"

namespace limpetfall {

/** Identifies a group across fabric domains. Group ids are unique only within one domain. */
struct GroupKey {
  DomainId domain;
  GroupId group;

  // clang-tidy 14 reports the 0 in the generated comparison as a null pointer.
  friend auto operator<=>(const GroupKey&,
                          const GroupKey&) = default;  // NOLINT(modernize-use-nullptr)
  friend bool operator==(const GroupKey&, const GroupKey&) = default;
};

inline GroupKey KeyOf(const GroupSummary& summary) { return {summary.domain, summary.group}; }

/** Requirements of a completion on the group that runs it. */
struct RouteRequest {
  ModelName model;
  ModelVersion version;
  std::vector<ZoneId> zones;       ///< Allowed zones; empty means all.
  std::vector<GroupKey> excluded;  ///< Groups that failed this request.
  std::uint64_t prefix_hash = 0;
  std::uint64_t fingerprint = 0;  ///< Equal requests in flight use the same group; 0 means none.
  bool suspect = false;           ///< A group runs at most one suspect request at a time.
  int max_in_flight = 8;

  friend bool operator==(const RouteRequest&, const RouteRequest&) = default;
};

/** Hashes the beginning of a prompt, so that prompts with a common prefix prefer the same group. */
std::uint64_t PrefixHash(const ModelName& model, std::string_view prompt);

namespace detail {

/**
 * Requests in flight at one upstream: those of other nodes, estimated from its reports, and those
 * of this node, counted exactly.
 */
class LoadEstimate {
 public:
  void OnReport(int reported);
  void OnStart();
  void OnFinish();

  [[nodiscard]] int total_in_flight() const {
    return this->other_nodes_in_flight + this->in_flight;
  }
  [[nodiscard]] int own_in_flight() const { return this->in_flight; }
  /** Up to `guaranteed` requests of this node are allowed whatever the load from other nodes. */
  [[nodiscard]] bool HasRoom(int limit, int guaranteed) const;

 private:
  int other_nodes_in_flight = 0;
  int in_flight = 0;
  int peak_since_report = 0;
};

struct GroupEntry {
  GroupSummary summary;
  Deadline serve_until;
  Deadline suspended_until;
  LoadEstimate load;
  int suspects = 0;
  std::unordered_multiset<std::uint64_t> fingerprints;
};

struct GroupShard {
  std::mutex mutex;
  std::mt19937_64 random;
  std::uint64_t round_robin_position = 0;  ///< Number of round-robin choices so far.
  std::map<GroupKey, std::shared_ptr<GroupEntry>> groups;
};

struct UpstreamEntry {
  ServiceUpstream upstream;
  bool leaving = false;
  Deadline unreachable_until;
  LoadEstimate load;
};

struct ServiceShard {
  std::mutex mutex;
  std::mt19937_64 random;
  std::map<ServiceName, std::map<std::string, std::shared_ptr<UpstreamEntry>>> services;
};

}  // namespace detail

/** Counts a dispatch as in flight at its group until the ticket is destroyed. */
class GroupTicket {
 public:
  GroupTicket(GroupTicket&& other) noexcept = default;
  GroupTicket& operator=(GroupTicket&& other) noexcept;
  ~GroupTicket();

  /** Returns the group as it was when the serving gate was checked. */
  [[nodiscard]] const GroupSummary& group() const { return this->summary; }

 private:
  friend class GroupTable;
  GroupTicket(std::shared_ptr<detail::GroupShard> shard, std::shared_ptr<detail::GroupEntry> entry,
              const RouteRequest& request);
  void Release();

  std::shared_ptr<detail::GroupShard> shard;
  std::shared_ptr<detail::GroupEntry> entry;
  GroupSummary summary;
  std::uint64_t fingerprint = 0;
  bool suspect = false;
};

/**
 * Groups that this node may dispatch to. Thread-safe: models are divided among shards. A shard
 * checks the serving gate and counts the request as in flight under one lock.
 *
 *     BOOST_OUTCOME_TRY(auto ticket, table.Acquire(request, now));
 *     Send(ticket.group().members.front().address);
 */
class GroupTable {
 public:
  /** `seed` initializes the random choice of candidates. */
  explicit GroupTable(std::uint64_t seed, RoutingPolicy policy = RoutingPolicy::kPrefixAndLoad);

  /** Stores a summary. A summary of an older generation is ignored. */
  void Update(const GroupSummary& summary, Deadline serve_until, TimePoint now);

  /** Sets the number of entry nodes among which the in-flight limits are divided. */
  void SetNodeCount(int count) {
    // A node that has no contact with others may be partitioned from nodes that still dispatch.
    this->node_count = std::max(2, count);
  }

  /**
   * Closes the serving gate of a group after this node has observed a failure of it, until `until`
   * or a new generation.
   */
  void Suspend(const GroupSummary& group, Deadline until);

  /**
   * Chooses a group, counts the request and returns the ticket. The error is `kUnavailable` when no
   * group passes the serving gate, and `kResourceExhausted` when all groups that pass are at their
   * in-flight limit.
   */
  [[nodiscard]] Result<GroupTicket> Acquire(const RouteRequest& request, TimePoint now);

  /** Returns the number of requests of this node in flight at all groups. */
  [[nodiscard]] int in_flight() const;

  /** Returns the summaries of the groups that serve, have not expired and are not suspended. */
  [[nodiscard]] std::vector<GroupSummary> Serving(TimePoint now) const;

 private:
  static constexpr std::size_t kShards = 16;

  [[nodiscard]] const std::shared_ptr<detail::GroupShard>& ShardOf(const ModelName& model) const;
  void RemoveEntryOfOldModel(const GroupSummary& summary);

  RoutingPolicy policy;
  std::array<std::shared_ptr<detail::GroupShard>, kShards> shards;
  /** The maximum until it is set, so that this node has one guaranteed slot per group. */
  std::atomic<int> node_count{std::numeric_limits<int>::max()};
  std::mutex index_mutex;
  std::map<GroupKey, ModelName> index;  ///< Current model, and so the shard, of each group.
};

/** Counts a call as in flight at its service upstream until the ticket is destroyed. */
class ServiceTicket {
 public:
  ServiceTicket(ServiceTicket&& other) noexcept = default;
  ServiceTicket& operator=(ServiceTicket&& other) noexcept;
  ~ServiceTicket();

  [[nodiscard]] const std::string& address() const { return this->upstream_address; }

 private:
  friend class ServiceTable;
  ServiceTicket(std::shared_ptr<detail::ServiceShard> shard,
                std::shared_ptr<detail::UpstreamEntry> entry);
  void Release();

  std::shared_ptr<detail::ServiceShard> shard;
  std::shared_ptr<detail::UpstreamEntry> entry;
  std::string upstream_address;
};

/** Response of a service upstream to `GET /v1/report`. */
struct ServiceReport {
  int running = 0;
  int queued = 0;
  bool leaving = false;

  friend bool operator==(const ServiceReport&, const ServiceReport&) = default;
};

/** Upstreams of plain services. Thread-safe: services are divided among shards. */
class ServiceTable {
 public:
  explicit ServiceTable(std::uint64_t seed);

  /** Replaces the upstreams of the service. Upstreams in both lists keep their load. */
  void SetUpstreams(const ServiceSpec& spec);

  void OnReport(const ServiceName& service, const std::string& address,
                const ServiceReport& report);

  /** Excludes an upstream until its next report or until `until`, whichever is first. */
  void MarkUnreachable(const ServiceName& service, const std::string& address, Deadline until);

  /** Chooses an upstream that is reachable, not leaving and below the in-flight limit. */
  [[nodiscard]] Result<ServiceTicket> Acquire(const ServiceName& service,
                                              const std::vector<ZoneId>& zones,
                                              const std::vector<std::string>& excluded,
                                              int max_in_flight, TimePoint now);

 private:
  static constexpr std::size_t kShards = 8;

  [[nodiscard]] const std::shared_ptr<detail::ServiceShard>& ShardOf(
      const ServiceName& service) const;

  std::array<std::shared_ptr<detail::ServiceShard>, kShards> shards;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_ROUTING_H_
