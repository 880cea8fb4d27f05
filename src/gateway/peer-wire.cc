#include "gateway/peer-wire.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>
#include <type_traits>
#include <utility>

#include "gateway/peer.capnp.h"

namespace limpetfall {
namespace {

std::string Serialize(capnp::MallocMessageBuilder& message) {
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asChars();
  return std::string(bytes.begin(), bytes.size());
}

capnp::Text::Reader Text(const std::string& text) { return {text.c_str(), text.size()}; }

std::string String(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }

// Older proofs are useless, and greater ages in a damaged message would overflow.
constexpr std::int64_t kMaxProofAgeMs = 3'600'000;

bool IsProofAge(std::int64_t age_ms) { return age_ms >= 0 && age_ms <= kMaxProofAgeMs; }

// A retry follows the loss before it within less than a millisecond.
std::uint32_t AgeUs(TimePoint time, TimePoint now) {
  const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - time).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

TimePoint FromAgeUs(std::uint32_t age_us, TimePoint now) {
  return now - std::chrono::microseconds(age_us);
}

template <typename Entry>
void EncodeCauses(const Causes& causes, Entry entry) {
  auto list = entry.initCauses(static_cast<unsigned>(causes.size()));
  for (unsigned i = 0; i < list.size(); ++i) list.set(i, causes[i]);
}

Causes DecodeCauses(capnp::List<std::uint64_t>::Reader list) {
  std::vector<CauseId> causes;
  for (unsigned i = 0; i < std::min(list.size(), kMaxCauses); ++i) causes.push_back(list[i]);
  return MakeCauses(std::move(causes));
}

void EncodeCrashEvidence(const CrashEvidence& evidence, wire::CrashEvidence::Builder root,
                         TimePoint now) {
  auto reports = root.initReports(static_cast<unsigned>(evidence.reports.size()));
  for (unsigned i = 0; i < reports.size(); ++i) {
    const CrashReport& report = evidence.reports[i];
    reports[i].setUpstreamBoot(report.upstream_boot);
    reports[i].setRequest(report.request);
    EncodeCauses(report.causes, reports[i]);
    reports[i].setSentAgeUs(AgeUs(report.sent, now));
    reports[i].setLostAgeUs(AgeUs(report.lost, now));
  }
  auto survivals = root.initSurvivals(static_cast<unsigned>(evidence.survivals.size()));
  for (unsigned i = 0; i < survivals.size(); ++i) {
    survivals[i].setCause(evidence.survivals[i].cause);
    survivals[i].setAgeUs(AgeUs(evidence.survivals[i].at, now));
  }
  auto quarantines = root.initQuarantines(static_cast<unsigned>(evidence.quarantines.size()));
  for (unsigned i = 0; i < quarantines.size(); ++i) {
    const Quarantine& quarantine = evidence.quarantines[i];
    EncodeCauses(quarantine.causes, quarantines[i]);
    quarantines[i].setRevision(quarantine.revision);
    quarantines[i].setLifted(quarantine.lifted);
    quarantines[i].setLeftMs(static_cast<std::uint32_t>(TimeLeft(quarantine.until, now).count()));
  }
}

CrashEvidence DecodeCrashEvidence(wire::CrashEvidence::Reader root, TimePoint now) {
  CrashEvidence evidence;
  for (const auto report : root.getReports()) {
    evidence.reports.push_back(
        {report.getUpstreamBoot(), report.getRequest(), DecodeCauses(report.getCauses()),
         FromAgeUs(report.getSentAgeUs(), now), FromAgeUs(report.getLostAgeUs(), now)});
  }
  for (const auto survival : root.getSurvivals()) {
    evidence.survivals.push_back({survival.getCause(), FromAgeUs(survival.getAgeUs(), now)});
  }
  for (const auto entry : root.getQuarantines()) {
    evidence.quarantines.push_back({DecodeCauses(entry.getCauses()), entry.getRevision(),
                                    entry.getLifted(),
                                    now + std::chrono::milliseconds(entry.getLeftMs())});
  }
  return evidence;
}

// Age of a statement in the report of a node that has heard none itself.
constexpr std::uint32_t kNoStatement = UINT32_MAX;

void EncodeRateLimits(const std::vector<RateLimitReport>& reports, wire::PeerStatus::Builder root,
                      TimePoint now) {
  auto list = root.initRateLimits(static_cast<unsigned>(reports.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    const RateLimitReport& report = reports[i];
    list[i].setUpstreamBoot(report.upstream_boot);
    list[i].setRecentSends(static_cast<float>(report.recent_sends));
    list[i].setStatedAgeMs(kNoStatement);
    if (!report.stated) continue;
    const auto& [rate, at] = *report.stated;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
    list[i].setPerSecond(rate.IsLimited() ? rate.per_second()
                                          : std::numeric_limits<double>::infinity());
    list[i].setStatedAgeMs(
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, kNoStatement - 1)));
  }
}

std::vector<RateLimitReport> DecodeRateLimits(capnp::List<wire::PeerStatus::RateLimit>::Reader list,
                                              TimePoint now) {
  std::vector<RateLimitReport> reports;
  for (const auto entry : list) {
    const auto rate = RequestRate::FromPerSecond(entry.getPerSecond());
    const double sends = entry.getRecentSends();
    if (!rate || !std::isfinite(sends) || sends < 0) continue;
    RateLimitReport report{entry.getUpstreamBoot(), std::nullopt, sends};
    const std::uint32_t age_ms = entry.getStatedAgeMs();
    if (age_ms != kNoStatement)
      report.stated = StatedRate{*rate, now - std::chrono::milliseconds(age_ms)};
    reports.push_back(report);
  }
  return reports;
}

/** Decodes a message. Cap'n Proto reports malformed messages by exception. */
template <typename Schema, typename Read>
auto Parse(std::string_view bytes, Read read)
    -> Result<std::invoke_result_t<Read, typename Schema::Reader>> {
  // Cap'n Proto reads whole words at aligned addresses.
  std::vector<capnp::word> words((bytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word));
  if (!words.empty()) std::memcpy(words.data(), bytes.data(), bytes.size());
  try {
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
    return read(reader.template getRoot<Schema>());
  } catch (const kj::Exception& error) {
    return NotRun(ErrorCode::kInvalidArgument,
                  std::string("malformed message from a node: ") + error.getDescription().cStr());
  }
}

}  // namespace

std::int64_t ProofAgeMs(BootTime confirmed, BootTime now) {
  if (confirmed == BootTime()) return -1;
  return std::chrono::ceil<std::chrono::milliseconds>(now - confirmed).count();
}

std::string EncodePeerStatus(const PeerStatus& status, TimePoint now) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::PeerStatus>();
  root.setNode(Text(status.node.value));
  root.setZone(Text(status.zone.value));
  root.setCallerAddress(Text(status.caller_address));
  root.setPeerAddress(Text(status.peer_address));
  root.setReady(status.ready);
  root.setCapacity(static_cast<float>(status.capacity));
  root.setSentAtNs(status.sent_at_ns);
  root.setEchoAtNs(status.echo_at_ns);
  root.setProofAgeMs(status.proof_age_ms);
  root.setMirrorEra(status.mirror_revision.era);
  root.setMirrorRevision(status.mirror_revision.number);
  root.setConfigVersion(status.config_version);
  root.setPlanEra(status.plan_version.era);
  root.setPlanSequence(status.plan_version.sequence);
  auto loads = root.initLoads(static_cast<unsigned>(status.loads.size()));
  unsigned index = 0;
  for (const auto& [upstream, in_flight] : status.loads) {
    loads[index].setUpstream(upstream);
    loads[index].setInFlight(static_cast<std::uint16_t>(in_flight));
    ++index;
  }
  auto suspended = root.initSuspended(static_cast<unsigned>(status.suspended.size()));
  for (unsigned i = 0; i < suspended.size(); ++i) suspended.set(i, status.suspended[i]);
  auto demands = root.initDemands(static_cast<unsigned>(status.demands.size()));
  index = 0;
  for (const auto& [model, places] : status.demands) {
    demands[index].setModel(Text(model.value));
    demands[index].setPlaces(static_cast<float>(places));
    ++index;
  }
  EncodeRateLimits(status.rate_limits, root, now);
  root.setCrashDigest(status.crash_digest);
  if (status.crashes != CrashEvidence()) {
    EncodeCrashEvidence(status.crashes, root.initCrashes(), now);
  }
  return Serialize(message);
}

Result<PeerStatus> DecodePeerStatus(std::string_view bytes, TimePoint now) {
  return Parse<wire::PeerStatus>(bytes, [now](wire::PeerStatus::Reader root) {
    PeerStatus status;
    status.node = NodeId(String(root.getNode()));
    status.zone = ZoneId(String(root.getZone()));
    status.caller_address = String(root.getCallerAddress());
    status.peer_address = String(root.getPeerAddress());
    status.ready = root.getReady();
    status.capacity = root.getCapacity();
    status.sent_at_ns = root.getSentAtNs();
    status.echo_at_ns = root.getEchoAtNs();
    status.proof_age_ms = IsProofAge(root.getProofAgeMs()) ? root.getProofAgeMs() : -1;
    status.mirror_revision = {root.getMirrorEra(), root.getMirrorRevision()};
    status.config_version = root.getConfigVersion();
    status.plan_version = {root.getPlanEra(), root.getPlanSequence()};
    for (const auto load : root.getLoads()) {
      status.loads[load.getUpstream()] = load.getInFlight();
    }
    for (const auto upstream : root.getSuspended()) status.suspended.push_back(upstream);
    for (const auto demand : root.getDemands()) {
      status.demands[ModelName(String(demand.getModel()))] = demand.getPlaces();
    }
    status.rate_limits = DecodeRateLimits(root.getRateLimits(), now);
    status.crash_digest = root.getCrashDigest();
    status.crashes = DecodeCrashEvidence(root.getCrashes(), now);
    return status;
  });
}

std::string EncodeChanges(const StateUpdate& update, BootTime requested_at, BootTime now) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::MirrorChanges>();
  root.setEra(update.revision.era);
  root.setRevision(update.revision.number);
  root.setSnapshot(update.snapshot);
  root.setProofAgeMs(ProofAgeMs(update.confirmed, now));
  root.setHeldMs(std::chrono::duration_cast<std::chrono::milliseconds>(now - requested_at).count());
  auto items = root.initItems(static_cast<unsigned>(update.items.size()));
  for (unsigned i = 0; i < items.size(); ++i) {
    const StateItem& item = update.items[i];
    items[i].setKey(Text(item.key));
    items[i].setRemoved(!item.value);
    if (item.value) {
      items[i].setValue(
          {reinterpret_cast<const kj::byte*>(item.value->data()), item.value->size()});
    }
    items[i].setRevision(item.revision.number);
    items[i].setCreatedRevision(item.created_revision);
  }
  return Serialize(message);
}

Result<StateUpdate> DecodeChanges(std::string_view bytes, BootTime requested_at, BootTime now) {
  return Parse<wire::MirrorChanges>(bytes, [requested_at, now](wire::MirrorChanges::Reader root) {
    StateUpdate update;
    update.revision = {root.getEra(), root.getRevision()};
    update.snapshot = root.getSnapshot();
    if (IsProofAge(root.getProofAgeMs())) {
      const auto round_trip =
          std::chrono::duration_cast<std::chrono::milliseconds>(now - requested_at);
      const std::chrono::milliseconds held(
          std::clamp<std::int64_t>(root.getHeldMs(), 0, round_trip.count()));
      update.confirmed = requested_at + held - std::chrono::milliseconds(root.getProofAgeMs());
    }
    for (const auto item : root.getItems()) {
      StateItem decoded{String(item.getKey()),
                        std::nullopt,
                        {update.revision.era, item.getRevision()},
                        item.getCreatedRevision()};
      if (!item.getRemoved()) {
        const auto value = item.getValue();
        decoded.value.emplace(reinterpret_cast<const char*>(value.begin()), value.size());
      }
      update.items.push_back(std::move(decoded));
    }
    return update;
  });
}

}  // namespace limpetfall
