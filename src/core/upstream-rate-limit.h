#ifndef LIMPETFALL_CORE_UPSTREAM_RATE_LIMIT_H_
#define LIMPETFALL_CORE_UPSTREAM_RATE_LIMIT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "base/ids.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Requests per second that an upstream takes from all nodes together; infinite without a limit. */
class RequestRate {
 public:
  /** The rate of an upstream that states no limit. */
  RequestRate() = default;

  /** Reads the value of a header. Returns nothing unless it is a decimal number of 0 or more. */
  static std::optional<RequestRate> Parse(std::string_view text);

  /** Returns nothing unless the value is 0 or more; infinity stands for no limit. */
  static std::optional<RequestRate> FromPerSecond(double value);

  [[nodiscard]] bool IsLimited() const;
  [[nodiscard]] double per_second() const { return this->value; }

  friend bool operator==(const RequestRate&, const RequestRate&) = default;

 private:
  explicit RequestRate(double per_second) : value(per_second) {}

  double value = kUnlimited;
  static constexpr double kUnlimited = 1e300;
};

/** A rate, and when the response that states it has arrived. */
struct StatedRate {
  RequestRate rate;
  TimePoint at;

  friend bool operator==(const StatedRate&, const StatedRate&) = default;
};

/** What a node has found out about the rate limit of an upstream, for the other nodes. */
struct RateLimitReport {
  std::uint64_t upstream_boot = 0;  ///< Identifies one run of the upstream.
  /** What a response to this node has stated recently. Statements are not passed on, because that
   * would make old ones look new. */
  std::optional<StatedRate> stated;
  double recent_sends = 0;  ///< Requests of this node; older ones count less.

  friend bool operator==(const RateLimitReport&, const RateLimitReport&) = default;
};

/** Number of events of which the older ones count exponentially less. */
class DecayingCount {
 public:
  DecayingCount() = default;
  DecayingCount(double events, TimePoint now) : count(events), updated(now) {}

  void Add(double events, TimePoint now);
  [[nodiscard]] double At(TimePoint now) const;

 private:
  double count = 0;
  TimePoint updated;
};

/**
 * One node's part in keeping the rate limit of one upstream. Performs no I/O.
 *
 * All nodes report to each other a few times a second how many requests they have sent recently. In
 * each such round a node grants itself a part of what the reports leave of the limit. A node that
 * has sent more of the recent requests gets a larger part, since callers may use few of the nodes.
 *
 *     limit.OnResponse(rate, request_sent, now);
 *     limit.OnReport(peer, report, now);
 *     limit.StartRound(node_count, random_fraction, now);
 *     if (limit.CanSend()) {
 *       limit.Take();
 *       Send();
 *       limit.OnSent(now);
 *     }
 */
class UpstreamRateLimit {
 public:
  /**
   * Records what a response states about the rate. A response without a limit ends an earlier one
   * only if its request was sent after the limit had been stated, because responses on different
   * connections may overtake each other. Returns whether the rate has changed.
   */
  bool OnResponse(RequestRate stated_rate, TimePoint request_sent, TimePoint now);

  /** Records what another node has sent, and takes over what a response has stated to it if that is
   * newer. Reports of one node must be passed in the order in which it has sent them. */
  void OnReport(const NodeId& node, const RateLimitReport& report, TimePoint now);

  /** Counts a request that is being sent to the upstream. */
  void OnSent(TimePoint now) { this->sends.Add(1, now); }

  /**
   * Grants the requests that this node may send until the next round. `nodes` is the number of
   * nodes that may send, and `random_fraction` is evenly distributed from 0 to 1.
   */
  void StartRound(std::size_t nodes, double random_fraction, TimePoint now);

  /** Returns whether a request may be sent now. */
  [[nodiscard]] bool CanSend() const { return !this->IsLimited() || this->granted > 0; }

  /** Uses up one grant, for a request that will be sent to the upstream. */
  void Take();

  [[nodiscard]] bool IsLimited() const { return this->current.rate.IsLimited(); }

  /** Returns the rate at which this node may expect to send; nothing before the first round. */
  [[nodiscard]] std::optional<double> ExpectedRate() const;

  /** Returns how many requests the upstream can have in progress on average. */
  [[nodiscard]] double Concurrency(std::chrono::duration<double> service_time) const;

  [[nodiscard]] RateLimitReport Report(std::uint64_t upstream_boot, TimePoint now) const;

  /** Returns whether other nodes should learn what this object contains. */
  [[nodiscard]] bool IsWorthReporting(TimePoint now) const;

  /** Returns whether nothing is lost if this object is destroyed. */
  [[nodiscard]] bool IsObsolete(TimePoint now) const;

 private:
  void SetCurrent(StatedRate stated, const NodeId& source);
  /** Returns the rate to keep. An upstream that takes nothing still gets a request now and then,
   * because only its responses tell when the limit ends. */
  [[nodiscard]] double KeptRate() const;
  /** Returns the recent sends of the other nodes, and forgets negligible ones. */
  [[nodiscard]] double SumPeerSends(TimePoint now);

  std::optional<StatedRate> own;  ///< What the last response to this node has stated.
  StatedRate current;             ///< The newest statement to any node.
  NodeId current_source;          ///< The node that has reported it; empty for this one.
  DecayingCount sends;
  std::map<NodeId, DecayingCount> peer_sends;
  int granted = 0;  ///< Requests that may be sent until the next round.
  Deadline grant_expires;
  std::optional<double> share;  ///< Part of the rate that this node had in the last round.
  TimePoint round_started;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_UPSTREAM_RATE_LIMIT_H_
