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

/** Names a group. Group ids need to be unique only within one fabric domain. */
struct GroupKey {
  DomainId domain;
  GroupId group;

  // clang-tidy 14 takes the 0 in the generated comparison for a null pointer.
  friend auto operator<=>(const GroupKey&,
                          const GroupKey&) = default;  // NOLINT(modernize-use-nullptr)
  friend bool operator==(const GroupKey&, const GroupKey&) = default;
};

inline GroupKey KeyOf(const GroupSummary& summary) { return {summary.domain, summary.group}; }

/** What a completion needs from the group that runs it. */
struct RouteRequest {
  ModelName model;
  ModelVersion version;
  std::vector<ZoneId> zones;       ///< Empty means everywhere.
  std::vector<GroupKey> excluded;  ///< Groups that failed this request.
  std::uint64_t prefix_hash = 0;
  std::uint64_t fingerprint = 0;  ///< Equal requests in flight share a group; 0 is none.
  bool suspect = false;           ///< A group runs at most one suspect at a time.
  int max_in_flight = 8;

  friend bool operator==(const RouteRequest&, const RouteRequest&) = default;
};

/** Hashes the beginning of a prompt, so that prompts with a common prefix prefer one group. */
std::uint64_t PrefixHash(const ModelName& model, std::string_view prompt);

namespace detail {

/**
 * Load of one upstream: what other nodes run there, estimated from its reports, and what this node
 * runs there now.
 */
class LoadEstimate {
 public:
  void OnReport(int reported);
  void OnStart();
  void OnFinish();

  [[nodiscard]] int total() const { return this->others + this->in_flight; }
  [[nodiscard]] int own() const { return this->in_flight; }
  /** `guaranteed` requests of this node fit whatever the others run there. */
  [[nodiscard]] bool HasRoom(int limit, int guaranteed) const;

 private:
  int others = 0;
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
  std::uint64_t choices = 0;  ///< Position of round robin.
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

/** A dispatch that is counted against its group until the ticket is destroyed. */
class GroupTicket {
 public:
  GroupTicket(GroupTicket&& other) noexcept = default;
  GroupTicket& operator=(GroupTicket&& other) noexcept;
  ~GroupTicket();

  /** The group as it was when the serving gate was applied. */
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
 * Groups that this node may dispatch to. Thread-safe: models are divided among shards, and each
 * shard applies the serving gate and counts the request as in flight under one lock.
 *
 *     BOOST_OUTCOME_TRY(auto ticket, table.Acquire(request, now));
 *     Send(ticket.group().members.front().address);
 */
class GroupTable {
 public:
  /** `seed` determines the random candidates of later choices. */
  explicit GroupTable(std::uint64_t seed, RoutingPolicy policy = RoutingPolicy::kPrefixAndLoad);

  /** Takes a summary; one of an older generation is ignored. */
  void Update(const GroupSummary& summary, Deadline serve_until, TimePoint now);

  /** Takes over the number of entry nodes, among which the in-flight limits are divided. */
  void SetNodes(int count) {
    // A node that sees only itself may be cut off from others that still dispatch.
    this->nodes = std::max(2, count);
  }

  /** Closes the gate of a group that this node has seen fail, until `until` or a new generation. */
  void Suspend(const GroupSummary& group, Deadline until);

  /**
   * Chooses a group, counts the request and returns the ticket. The error is `kUnavailable` when no
   * group passes the gate and `kResourceExhausted` when all that pass are at their limit.
   */
  [[nodiscard]] Result<GroupTicket> Acquire(const RouteRequest& request, TimePoint now);

  /** Returns the requests of this node in flight, over all groups. */
  [[nodiscard]] int in_flight() const;

  /** Returns the summaries whose gate is open. */
  [[nodiscard]] std::vector<GroupSummary> Serving(TimePoint now) const;

 private:
  static constexpr std::size_t kShards = 16;

  [[nodiscard]] const std::shared_ptr<detail::GroupShard>& ShardOf(const ModelName& model) const;
  void ForgetOtherModel(const GroupSummary& summary);

  RoutingPolicy policy;
  std::array<std::shared_ptr<detail::GroupShard>, kShards> shards;
  std::atomic<int> nodes{std::numeric_limits<int>::max()};  ///< Until known, assumes many.
  std::mutex index_mutex;
  std::map<GroupKey, ModelName> index;  ///< Shard of each group; a group can change its model.
};

/** A call that is counted against its service upstream until the ticket is destroyed. */
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

/** What a service upstream says of itself in `GET /v1/report`. */
struct ServiceReport {
  int running = 0;
  int queued = 0;
  bool leaving = false;

  friend bool operator==(const ServiceReport&, const ServiceReport&) = default;
};

/** Upstreams of plain services. Thread-safe in shards by service. */
class ServiceTable {
 public:
  explicit ServiceTable(std::uint64_t seed);

  /** Makes `spec.upstreams` the upstreams of the service; load of those that stay is kept. */
  void SetUpstreams(const ServiceSpec& spec);

  void OnReport(const ServiceName& service, const std::string& address,
                const ServiceReport& report);

  /** Excludes an upstream until a report arrives or `until` has passed. */
  void OnUnreachable(const ServiceName& service, const std::string& address, Deadline until);

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
