#include "core/crash-attribution.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <set>
#include <utility>

namespace limpetfall {
namespace {

// Crashes further apart than this are not taken for the same row.
constexpr Milliseconds kReportLifetime{60'000};

// Only another version of the upstream's software ends a crash that a request causes.
constexpr Milliseconds kQuarantineTime{600'000};

// After a quarantine, one more crash renews it.
constexpr Milliseconds kProbationTime{600'000};

// Reports of other nodes arrive within this time.
constexpr Milliseconds kSurvivalLifetime{5'000};

constexpr Milliseconds kRemovalInterval{500};

CauseId HashField(CauseId seed, std::string_view text) {
  const CauseId length = text.size();
  return XXH3_64bits_withSeed(text.data(), text.size(),
                              XXH3_64bits_withSeed(&length, sizeof length, seed));
}

bool IsSubset(const Causes& part, const Causes& whole) {
  return std::includes(whole.begin(), whole.end(), part.begin(), part.end());
}

Causes Intersection(const Causes& a, const Causes& b) {
  Causes both;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(both));
  return both;
}

bool Contains(const Causes& causes, CauseId cause) {
  return std::binary_search(causes.begin(), causes.end(), cause);
}

/** Returns whether the state of a quarantine that another node has sent replaces the known one. */
bool Replaces(const Quarantine& received, const Quarantine& known) {
  if (received.revision != known.revision) return received.revision > known.revision;
  return received.lifted && !known.lifted;
}

}  // namespace

CauseId RequestCause(const TeamName& team, std::string_view method, std::string_view host,
                     std::string_view target, std::string_view body) {
  CauseId hash = 0;
  for (const std::string_view field : {std::string_view(team.value), method, host, target, body}) {
    hash = HashField(hash, field);
  }
  return hash;
}

CauseId PromptPartCause(std::string_view part) {
  constexpr CauseId kPromptPart = 1;
  return HashField(kPromptPart, part);
}

Causes MakeCauses(std::vector<CauseId> ids) {
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  return ids;
}

std::string ToString(const Causes& causes) {
  std::string text;
  for (const CauseId cause : causes) {
    char hex[2 * sizeof cause + 1];
    std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(cause));
    text.append(text.empty() ? "" : ",").append(hex);
  }
  return text;
}

bool CrashAttribution::IsSuspect(CauseId cause) const {
  return std::any_of(this->reports.begin(), this->reports.end(), [cause](const KnownReport& known) {
    return Contains(known.report.causes, cause);
  });
}

bool CrashAttribution::IsSuspected(const Causes& causes) const {
  return std::any_of(causes.begin(), causes.end(),
                     [this](CauseId cause) { return this->IsSuspect(cause); });
}

void CrashAttribution::Exonerate(CauseId cause, TimePoint now, std::vector<Quarantine>& added) {
  const auto survived = this->survivals.find(cause);
  if (survived == this->survivals.end()) return;
  bool changed = false;
  for (auto& [report, own] : this->reports) {
    if (survived->second.latest < report.lost) break;
    changed = std::erase(report.causes, cause) > 0 || changed;
  }
  if (!changed) return;
  survived->second.useful = now;
  std::vector<CauseId> remaining;
  for (auto& [causes, quarantine] : this->quarantines) {
    if (!quarantine.IsActive(now) || !Contains(causes, cause)) continue;
    if (this->Attribute(cause, now) == causes) continue;
    quarantine.lifted = true;
    remaining.insert(remaining.end(), causes.begin(), causes.end());
  }
  for (const CauseId other : remaining) this->QuarantineCulprits(other, now, added);
}

void CrashAttribution::QuarantineCulprits(CauseId cause, TimePoint now,
                                          std::vector<Quarantine>& added) {
  Causes common = this->Attribute(cause, now);
  if (common.empty() || this->Find(common, now) != nullptr) return;
  Quarantine& quarantine = this->quarantines[common];
  quarantine = {std::move(common), quarantine.revision + 1, false, now + kQuarantineTime};
  added.push_back(quarantine);
}

Causes CrashAttribution::Attribute(CauseId cause, TimePoint now) const {
  std::set<std::uint64_t> counted_boots;
  TimePoint last_counted;
  Causes common;
  bool first = true;
  for (const auto& [report, own] : this->reports) {
    if (!Contains(report.causes, cause)) continue;
    common = first ? report.causes : Intersection(common, report.causes);
    first = false;
    // Upstreams that were lost at the same moment did not crash one after the other.
    if (report.sent <= last_counted || !counted_boots.insert(report.upstream_boot).second) continue;
    last_counted = report.lost;
  }
  const bool proven = counted_boots.size() >= kCrashesToQuarantine ||
                      (!counted_boots.empty() && this->IsOnProbation(common, now));
  return proven ? common : Causes();
}

bool CrashAttribution::IsOnProbation(const Causes& causes, TimePoint now) const {
  return std::any_of(this->quarantines.begin(), this->quarantines.end(), [&](const auto& entry) {
    const Quarantine& known = entry.second;
    return !known.lifted && known.until <= now && IsSubset(known.causes, causes);
  });
}

void CrashAttribution::AddReport(CrashReport report, bool own, TimePoint now,
                                 std::vector<Quarantine>& added) {
  if (report.lost + kReportLifetime <= now) return;
  const auto known =
      std::find_if(this->reports.begin(), this->reports.end(), [&](const KnownReport& other) {
        return other.report.upstream_boot == report.upstream_boot &&
               other.report.request == report.request;
      });
  if (known != this->reports.end()) {
    const CrashReport merged{
        report.upstream_boot, report.request, Intersection(known->report.causes, report.causes),
        std::min(known->report.sent, report.sent), std::min(known->report.lost, report.lost)};
    if (merged == known->report) return;
    own = own || known->own;
    report = merged;
    this->reports.erase(known);
  }
  const auto position =
      std::upper_bound(this->reports.begin(), this->reports.end(), report.lost,
                       [](TimePoint lost, const KnownReport& b) { return lost < b.report.lost; });
  const Causes reported = report.causes;
  this->reports.insert(position, {std::move(report), own});
  for (const CauseId cause : reported) this->Exonerate(cause, now, added);
  for (const CauseId cause : reported) this->QuarantineCulprits(cause, now, added);
}

std::vector<Quarantine> CrashAttribution::OnCrash(CrashReport report, TimePoint now) {
  this->RemoveExpired(now);
  std::vector<Quarantine> added;
  this->AddReport(std::move(report), true, now, added);
  return added;
}

std::vector<Quarantine> CrashAttribution::OnSurvived(const Causes& causes, TimePoint now) {
  this->RemoveExpired(now);
  for (auto& [known_causes, quarantine] : this->quarantines) {
    if (quarantine.IsActive(now) && IsSubset(known_causes, causes)) quarantine.lifted = true;
  }
  // Another node may report a crash of these causes later.
  for (const CauseId cause : causes) {
    SurvivalTimes& times = this->survivals[cause];
    times.latest = now;
    times.own = now;
  }
  std::vector<Quarantine> added;
  for (const CauseId cause : causes) this->Exonerate(cause, now, added);
  return added;
}

const Quarantine* CrashAttribution::Find(const Causes& causes, TimePoint now) const {
  for (const auto& [known_causes, quarantine] : this->quarantines) {
    if (quarantine.IsActive(now) && IsSubset(known_causes, causes)) return &quarantine;
  }
  return nullptr;
}

CrashEvidence CrashAttribution::CollectRecent(Milliseconds max_age, TimePoint now) const {
  CrashEvidence evidence;
  for (const auto& [report, own] : this->reports) {
    if (own && now <= report.lost + max_age) evidence.reports.push_back(report);
  }
  for (const auto& [cause, times] : this->survivals) {
    if (times.own != TimePoint() && now <= times.useful + max_age)
      evidence.survivals.push_back({cause, times.own});
  }
  for (const auto& [causes, quarantine] : this->quarantines) {
    if (now + kQuarantineTime <= quarantine.until + max_age)
      evidence.quarantines.push_back(quarantine);
  }
  return evidence;
}

CrashEvidence CrashAttribution::CollectAll(TimePoint now) const {
  CrashEvidence evidence;
  for (const auto& [report, own] : this->reports) evidence.reports.push_back(report);
  for (const auto& [causes, quarantine] : this->quarantines) {
    if (now < quarantine.until) evidence.quarantines.push_back(quarantine);
  }
  return evidence;
}

std::uint64_t CrashAttribution::Digest(TimePoint now) const {
  const auto hash = [](const Causes& causes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(causes.data(), causes.size() * sizeof(CauseId), seed);
  };
  std::uint64_t digest = 0;
  for (const auto& [report, own] : this->reports) {
    digest ^= hash(report.causes, report.upstream_boot ^ report.request);
  }
  for (const auto& [causes, quarantine] : this->quarantines) {
    if (now < quarantine.until)
      digest ^= hash(causes, 2 * std::uint64_t{quarantine.revision} + (quarantine.lifted ? 1 : 0));
  }
  return digest;
}

std::vector<Quarantine> CrashAttribution::Merge(const CrashEvidence& evidence, TimePoint now) {
  this->RemoveExpired(now);
  std::vector<Quarantine> added;
  for (const Survival& survival : evidence.survivals) {
    TimePoint& latest = this->survivals[survival.cause].latest;
    latest = std::max(latest, survival.at);
    this->Exonerate(survival.cause, now, added);
  }
  for (const Quarantine& received : evidence.quarantines) {
    if (received.causes.empty() || received.until <= now) continue;
    Quarantine& known = this->quarantines[received.causes];
    if (!Replaces(received, known)) continue;
    const bool begins = received.IsActive(now) && !known.IsActive(now);
    known = received;
    known.until = std::min(known.until, now + kQuarantineTime);
    if (begins) added.push_back(known);
  }
  for (const CrashReport& report : evidence.reports) this->AddReport(report, false, now, added);
  return added;
}

bool CrashAttribution::IsCovered(const std::vector<Quarantine>& stored, TimePoint now) const {
  return std::all_of(this->quarantines.begin(), this->quarantines.end(), [&](const auto& entry) {
    const Quarantine& known = entry.second;
    const auto found = std::find_if(stored.begin(), stored.end(), [&](const Quarantine& other) {
      return other.causes == known.causes;
    });
    if (known.until <= now) return true;
    return found == stored.end() ? known.lifted : !Replaces(known, *found);
  });
}

std::size_t CrashAttribution::CountActive(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(this->quarantines.begin(), this->quarantines.end(),
                    [now](const auto& entry) { return entry.second.IsActive(now); }));
}

void CrashAttribution::RemoveExpired(TimePoint now) {
  while (this->reports.size() >= kMaxReports) this->reports.pop_front();
  while (this->quarantines.size() >= kMaxQuarantines) {
    this->quarantines.erase(std::min_element(
        this->quarantines.begin(), this->quarantines.end(),
        [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
  }
  if (now < this->last_removal + kRemovalInterval) return;
  this->last_removal = now;
  std::erase_if(this->reports, [now](const KnownReport& known) {
    return known.report.lost + kReportLifetime <= now;
  });
  std::erase_if(this->survivals, [now](const auto& entry) {
    return entry.second.latest + kSurvivalLifetime <= now;
  });
  std::erase_if(this->quarantines,
                [now](const auto& entry) { return entry.second.until + kProbationTime <= now; });
}

}  // namespace limpetfall
