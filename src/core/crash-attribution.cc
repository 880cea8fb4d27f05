#include "core/crash-attribution.h"

#include <xxhash.h>

#include <algorithm>
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

CauseId HashField(CauseId seed, std::string_view text) {
  const CauseId length = text.size();
  return XXH3_64bits_withSeed(text.data(), text.size(),
                              XXH3_64bits_withSeed(&length, sizeof length, seed));
}

bool IsSubset(const Causes& part, const Causes& whole) {
  return std::includes(whole.begin(), whole.end(), part.begin(), part.end());
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

bool CrashAttribution::IsKnown(const CrashReport& report) const {
  return std::any_of(this->reports.begin(), this->reports.end(), [&](const CrashReport& known) {
    return known.upstream_boot == report.upstream_boot && known.causes == report.causes;
  });
}

bool CrashAttribution::IsSuspect(CauseId cause) const {
  return std::any_of(this->reports.begin(), this->reports.end(),
                     [cause](const CrashReport& known) { return Contains(known.causes, cause); });
}

bool CrashAttribution::IsSuspected(const Causes& causes) const {
  return std::any_of(causes.begin(), causes.end(),
                     [this](CauseId cause) { return this->IsSuspect(cause); });
}

TimePoint CrashAttribution::LastSurvival(CauseId cause) const {
  const auto found = this->survivals.find(cause);
  return found == this->survivals.end() ? TimePoint() : found->second.latest;
}

Causes CrashAttribution::Attribute(CauseId cause, TimePoint now) const {
  const TimePoint last_survival = this->LastSurvival(cause);
  std::set<std::uint64_t> counted_boots;
  TimePoint last_counted;
  Causes common;
  bool first = true;
  for (const CrashReport& report : this->reports) {
    if (!Contains(report.causes, cause) || report.lost <= last_survival) continue;
    if (first) {
      common = report.causes;
    } else {
      Causes both;
      std::set_intersection(common.begin(), common.end(), report.causes.begin(),
                            report.causes.end(), std::back_inserter(both));
      common = std::move(both);
    }
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

std::vector<Quarantine> CrashAttribution::AddReport(CrashReport report, TimePoint now) {
  std::vector<Quarantine> added;
  if (report.causes.empty() || report.lost + kReportLifetime <= now || this->IsKnown(report))
    return added;
  const Causes causes = report.causes;
  const auto position =
      std::upper_bound(this->reports.begin(), this->reports.end(), report,
                       [](const CrashReport& a, const CrashReport& b) { return a.lost < b.lost; });
  this->reports.insert(position, std::move(report));
  for (const CauseId cause : causes) {
    Causes common = this->Attribute(cause, now);
    if (common.empty() || this->Find(common, now) != nullptr) continue;
    Quarantine& quarantine = this->quarantines[common];
    quarantine = {std::move(common), quarantine.revision + 1, false, now + kQuarantineTime};
    added.push_back(quarantine);
  }
  return added;
}

std::vector<Quarantine> CrashAttribution::OnCrash(CrashReport report, TimePoint now) {
  this->RemoveExpired(now);
  return this->AddReport(std::move(report), now);
}

void CrashAttribution::OnSurvived(const Causes& causes, TimePoint now) {
  for (const CauseId cause : causes) {
    if (this->IsSuspect(cause)) this->survivals[cause] = {now, now};
  }
  for (auto& [known_causes, quarantine] : this->quarantines) {
    if (quarantine.IsActive(now) && IsSubset(known_causes, causes)) quarantine.lifted = true;
  }
}

const Quarantine* CrashAttribution::Find(const Causes& causes, TimePoint now) const {
  for (const auto& [known_causes, quarantine] : this->quarantines) {
    if (quarantine.IsActive(now) && IsSubset(known_causes, causes)) return &quarantine;
  }
  return nullptr;
}

CrashEvidence CrashAttribution::Collect(Milliseconds max_age, TimePoint now) const {
  CrashEvidence evidence;
  for (auto report = this->reports.rbegin(); report != this->reports.rend(); ++report) {
    if (evidence.reports.size() == kMaxSent || report->lost + max_age < now) break;
    evidence.reports.push_back(*report);
  }
  for (const auto& [cause, times] : this->survivals) {
    if (evidence.survivals.size() == kMaxSent) break;
    if (times.own + max_age >= now) evidence.survivals.push_back({cause, times.own});
  }
  for (const auto& [causes, quarantine] : this->quarantines) {
    if (now < quarantine.until) evidence.quarantines.push_back(quarantine);
  }
  if (evidence.quarantines.size() > kMaxSent) {
    std::partial_sort(evidence.quarantines.begin(), evidence.quarantines.begin() + kMaxSent,
                      evidence.quarantines.end(),
                      [](const Quarantine& a, const Quarantine& b) { return a.until > b.until; });
    evidence.quarantines.resize(kMaxSent);
  }
  return evidence;
}

std::vector<Quarantine> CrashAttribution::Merge(const CrashEvidence& evidence, TimePoint now) {
  this->RemoveExpired(now);
  std::vector<Quarantine> added;
  for (const Survival& survival : evidence.survivals) {
    TimePoint& latest = this->survivals[survival.cause].latest;
    latest = std::max(latest, survival.at);
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
  for (const CrashReport& report : evidence.reports) {
    for (Quarantine& quarantine : this->AddReport(report, now)) {
      added.push_back(std::move(quarantine));
    }
  }
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
  std::erase_if(this->reports,
                [&](const CrashReport& report) { return report.lost + kReportLifetime <= now; });
  while (this->reports.size() >= kMaxReports) this->reports.pop_front();
  std::erase_if(this->survivals,
                [now](const auto& entry) { return entry.second.latest + kReportLifetime <= now; });
  std::erase_if(this->quarantines,
                [now](const auto& entry) { return entry.second.until + kProbationTime <= now; });
  while (this->quarantines.size() >= kMaxQuarantines) {
    this->quarantines.erase(std::min_element(
        this->quarantines.begin(), this->quarantines.end(),
        [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
  }
}

}  // namespace limpetfall
