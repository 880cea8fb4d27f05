#ifndef LIMPETFALL_CORE_CRASH_ATTRIBUTION_H_
#define LIMPETFALL_CORE_CRASH_ATTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Hash of something that may crash an upstream: a request, or a part of its prompt. */
using CauseId = std::uint64_t;

/** Most causes of one request. Further parts of its prompt are not attributed to. */
inline constexpr unsigned kMaxCauses = 64;

/** The possible causes that a request carries, sorted and without duplicates. */
using Causes = std::vector<CauseId>;

/** Returns the cause that stands for a whole request. It is the same for every copy that a caller
 * sends, whatever its request id and its node. */
CauseId RequestCause(const TeamName& team, std::string_view method, std::string_view host,
                     std::string_view target, std::string_view body);

/** Returns the cause that stands for a part of a prompt that several requests share. */
CauseId PromptPartCause(std::string_view part);

/** Returns causes in the form that `Causes` requires. */
Causes MakeCauses(std::vector<CauseId> ids);

/** Returns the hexadecimal form of causes that logs contain. */
std::string ToString(const Causes& causes);

/** An upstream ended while it ran a request that had not yet proved harmless. */
struct CrashReport {
  std::uint64_t upstream_boot = 0;  ///< Identifies one run of the upstream.
  Causes causes;                    ///< Those of the request.
  TimePoint sent;                   ///< When the request was sent.
  TimePoint lost;                   ///< When its connection broke.

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/** A request with this cause has proved harmless. */
struct Survival {
  CauseId cause = 0;
  TimePoint at;

  friend bool operator==(const Survival&, const Survival&) = default;
};

/** Requests that carry all of `causes` are refused. */
struct Quarantine {
  Causes causes;
  std::uint32_t revision = 0;  ///< The state with the highest revision is valid on all nodes.
  bool lifted = false;         ///< A request with these causes has proved harmless since.
  Deadline until;

  [[nodiscard]] bool IsActive(TimePoint now) const { return !this->lifted && now < this->until; }

  friend bool operator==(const Quarantine&, const Quarantine&) = default;
};

/** What one node knows about crashes, as sent to other nodes. */
struct CrashEvidence {
  std::vector<CrashReport> reports;
  std::vector<Survival> survivals;
  std::vector<Quarantine> quarantines;

  friend bool operator==(const CrashEvidence&, const CrashEvidence&) = default;
};

/**
 * Finds the causes that crash upstreams, from the crashes that all nodes report. Does no I/O.
 *
 * All requests that an upstream runs are lost when it ends, so one crash proves nothing. A cause is
 * quarantined after `kCrashesToQuarantine` crashes in a row, each of a request that was sent after
 * the crash before, and none survived in between. A shared part of sound prompts survives many
 * times a second elsewhere. Upstreams that end at the same moment, such as a whole fabric domain,
 * are one crash in the row. If several causes were present at each crash, only requests that carry
 * all of them are refused, until a crash without one of them clears it.
 *
 *     if (attribution.Find(causes, now)) Refuse();
 *     for (const Quarantine& added : attribution.OnCrash(report, now)) Log(added);
 */
class CrashAttribution {
 public:
  static constexpr std::size_t kCrashesToQuarantine = 3;
  static constexpr std::size_t kMaxReports = 512;
  static constexpr std::size_t kMaxQuarantines = 256;
  /** Most entries of each kind in one `CrashEvidence`. */
  static constexpr std::size_t kMaxSent = 64;

  /** Records a crash that this node has found. Returns the quarantines that begin. */
  std::vector<Quarantine> OnCrash(CrashReport report, TimePoint now);

  /** Records that a request has proved harmless at this node, which lifts its quarantines. */
  void OnSurvived(const Causes& causes, TimePoint now);

  /** Returns the active quarantine of a request with these causes, or null. */
  [[nodiscard]] const Quarantine* Find(const Causes& causes, TimePoint now) const;

  /** Returns whether a crash is known of a request with one of these causes. */
  [[nodiscard]] bool IsSuspected(const Causes& causes) const;

  /** Returns what has changed within `max_age`, the newest of it first. Quarantines that other
   * nodes need after a restart are always included. */
  [[nodiscard]] CrashEvidence Collect(Milliseconds max_age, TimePoint now) const;

  /** Merges the evidence of another node. Returns the quarantines that begin. */
  std::vector<Quarantine> Merge(const CrashEvidence& evidence, TimePoint now);

  /** Returns whether other nodes know all quarantines that are in force, and which were lifted,
   * once they have merged `stored`. */
  [[nodiscard]] bool IsCovered(const std::vector<Quarantine>& stored, TimePoint now) const;

  /** Returns the number of active quarantines. */
  [[nodiscard]] std::size_t CountActive(TimePoint now) const;

 private:
  struct SurvivalTimes {
    TimePoint latest;  ///< On any node.
    TimePoint own;     ///< On this node. Only these are sent on, so that no age is added up.
  };

  [[nodiscard]] bool IsKnown(const CrashReport& report) const;
  [[nodiscard]] bool IsSuspect(CauseId cause) const;
  [[nodiscard]] TimePoint LastSurvival(CauseId cause) const;
  [[nodiscard]] std::vector<Quarantine> AddReport(CrashReport report, TimePoint now);

  /** Returns the causes to quarantine because of the crashes with `cause`, empty if there are too
   * few. */
  [[nodiscard]] Causes Attribute(CauseId cause, TimePoint now) const;
  [[nodiscard]] bool IsOnProbation(const Causes& causes, TimePoint now) const;
  void RemoveExpired(TimePoint now);

  std::deque<CrashReport> reports;  ///< In order of `lost`.
  std::unordered_map<CauseId, SurvivalTimes> survivals;
  std::map<Causes, Quarantine> quarantines;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_CRASH_ATTRIBUTION_H_
