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

/** An upstream ended while it ran a request that had not yet proved harmless. Nodes merge what they
 * know of a report: its causes only become fewer, and its times only earlier. */
struct CrashReport {
  std::uint64_t upstream_boot = 0;  ///< Identifies one run of the upstream.
  CauseId request = 0;              ///< Cause that stands for the whole request.
  Causes causes;                    ///< Those of the request that have not survived since.
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
  /** Bounds the memory, and the size of messages between nodes. */
  static constexpr std::size_t kMaxReports = 128;
  static constexpr std::size_t kMaxQuarantines = 64;

  /** Records a crash that this node has found. Returns the quarantines that begin. */
  std::vector<Quarantine> OnCrash(CrashReport report, TimePoint now);

  /** Records that a request has proved harmless at this node, which lifts its quarantines. Returns
   * those that begin because fewer causes remain for the crashes. */
  std::vector<Quarantine> OnSurvived(const Causes& causes, TimePoint now);

  /** Returns the active quarantine of a request with these causes, or null. */
  [[nodiscard]] const Quarantine* Find(const Causes& causes, TimePoint now) const;

  /** Returns whether a crash is known of a request with one of these causes. */
  [[nodiscard]] bool IsSuspected(const Causes& causes) const;

  /** Returns what this node itself has found within `max_age`, for all other nodes. */
  [[nodiscard]] CrashEvidence CollectRecent(Milliseconds max_age, TimePoint now) const;

  /** Returns everything known, for a node with another `Digest`. */
  [[nodiscard]] CrashEvidence CollectAll(TimePoint now) const;

  /** Returns a hash of everything known; equal on nodes that know the same, 0 for nothing. */
  [[nodiscard]] std::uint64_t Digest(TimePoint now) const;

  /** Merges the evidence of another node. Returns the quarantines that begin. */
  std::vector<Quarantine> Merge(const CrashEvidence& evidence, TimePoint now);

  /** Returns whether other nodes know all quarantines that are in force, and which were lifted,
   * once they have merged `stored`. */
  [[nodiscard]] bool IsCovered(const std::vector<Quarantine>& stored, TimePoint now) const;

  /** Returns the number of active quarantines. */
  [[nodiscard]] std::size_t CountActive(TimePoint now) const;

 private:
  struct KnownReport {
    CrashReport report;
    bool own = false;  ///< Found by this node.
  };

  struct SurvivalTimes {
    TimePoint latest;  ///< On any node.
    TimePoint own;     ///< On this node. Only these are sent on, so that no delay is added up.
    TimePoint useful;  ///< When it last removed the cause from a report.
  };

  [[nodiscard]] bool IsSuspect(CauseId cause) const;
  void AddReport(CrashReport report, bool own, TimePoint now, std::vector<Quarantine>& added);

  /** Removes the cause from the crashes before its last survival. Lifts the quarantines that these
   * crashes no longer justify, and begins those of the causes that remain. */
  void Exonerate(CauseId cause, TimePoint now, std::vector<Quarantine>& added);

  /** Begins the quarantine that the crashes with `cause` justify, if there are enough. */
  void QuarantineCulprits(CauseId cause, TimePoint now, std::vector<Quarantine>& added);

  /** Returns the causes to quarantine because of the crashes with `cause`, empty if there are too
   * few. */
  [[nodiscard]] Causes Attribute(CauseId cause, TimePoint now) const;
  [[nodiscard]] bool IsOnProbation(const Causes& causes, TimePoint now) const;
  void RemoveExpired(TimePoint now);

  std::deque<KnownReport> reports;  ///< In order of `lost`.
  std::unordered_map<CauseId, SurvivalTimes> survivals;
  std::map<Causes, Quarantine> quarantines;
  TimePoint last_removal;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_CRASH_ATTRIBUTION_H_
