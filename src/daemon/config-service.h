#ifndef LIMPETFALL_DAEMON_CONFIG_SERVICE_H_
#define LIMPETFALL_DAEMON_CONFIG_SERVICE_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/pause.h"
#include "core/config-document.h"
#include "core/config-state.h"
#include "limpetfall/result.h"
#include "platform/store.h"

namespace limpetfall {

inline constexpr std::string_view kManifestKey = "/limpetfall/config/manifest";
inline constexpr std::string_view kSectionPrefix = "/limpetfall/config/sections/";

/** Largest value that the platform's store accepts. */
inline constexpr std::size_t kMaxStoredValueBytes = 1000000;

/** Outcome of an attempt to activate a document. */
struct AcceptOutcome {
  bool accepted = false;
  ConfigVersion version = 0;  ///< The new version, or the one that is in force instead.

  friend bool operator==(const AcceptOutcome&, const AcceptOutcome&) = default;
};

/** The newest manifest that a node has, and the sections it names. Thread-safe. */
class SectionCache {
 public:
  /** Stores a section if its body matches `digest`; returns whether it does. */
  bool Add(const std::string& digest, std::string body);

  /** Returns the digests that the manifest names and the cache lacks. */
  [[nodiscard]] std::vector<std::string> Missing(const Manifest& manifest) const;

  /** Returns the sections among `digests` that are present, for another node. */
  [[nodiscard]] SectionBodies Find(const std::vector<std::string>& digests) const;

  /** Joins the sections of `manifest`, all of which must be present. */
  [[nodiscard]] Result<Document> Join(const Manifest& manifest) const;

  /** Sets the newest manifest if `manifest` is newer, and removes sections it does not name. */
  void SetNewest(const Manifest& manifest);

  /** Returns the JSON text of the newest manifest; empty before the first. */
  [[nodiscard]] std::string newest_manifest() const;

 private:
  mutable std::mutex mutex;
  Manifest newest;
  SectionBodies bodies;
};

namespace detail {

/** Whether a write of the manifest took effect. */
enum class WriteOutcome { kAccepted, kRejected, kUnknown };

/** Determines from the manifest in the store whether the write of `attempt` took effect. */
WriteOutcome WriteOutcomeFromWriters(const Manifest& attempt, const Manifest& stored);

/** Returns the manifest that follows `previous`, with a writer token of its own. */
Manifest NextManifest(const Manifest& previous, std::vector<SectionRef> sections,
                      const NodeId& node);

/** Returns an error if a section exceeds the value size of the store. */
Result<void> CheckSizes(const SplitDocument& split);

/** Returns the digests that `before` names and `after` does not. */
std::vector<std::string> RemovedDigests(const Manifest& before, const Manifest& after);

bool NamesSection(const Manifest& manifest, std::string_view digest);

std::string SectionKey(std::string_view digest);

}  // namespace detail

/**
 * Stores the operators' document in the platform's store and activates newer versions on this node.
 *
 *     auto outcome = co_await service->Accept(json, 6, deadline);  // accepted as version 7
 *     auto version = co_await service->Load(deadline);             // once a second
 */
template <Store S>
class ConfigService {
 public:
  ConfigService(std::shared_ptr<S> platform, std::shared_ptr<ConfigState> config_state, NodeId id,
                Milliseconds confirmation_lifetime)
      : store(std::move(platform)),
        state(std::move(config_state)),
        node(std::move(id)),
        confirmation_lifetime(confirmation_lifetime) {}

  /**
   * Activates a document as the successor of `expected_version`. An invalid document gives
   * `kInvalidArgument`, with one line for each fault. An error with `kMayHaveRun` means that the
   * document may be in force.
   */
  boost::asio::awaitable<Result<AcceptOutcome>> Accept(std::string document_json,
                                                       ConfigVersion expected_version,
                                                       Deadline deadline) {
    auto document = ParseDocument(document_json);
    if (!document) co_return std::move(document).error();
    SplitDocument split = SplitIntoSections(document.value());
    if (auto sizes = detail::CheckSizes(split); !sizes) co_return sizes.error();

    co_return co_await Replace(std::move(document).value(), std::move(split), expected_version,
                               deadline);
  }

  /**
   * Reads the manifest and activates a newer document. Returns the version that is then in force on
   * this node. The read confirms the version unless it was stale; a stale read is ignored.
   */
  boost::asio::awaitable<Result<ConfigVersion>> Load(Deadline deadline) {
    const TimePoint start = Clock::now();
    auto read = co_await ReadManifest(deadline);
    if (!read) co_return std::move(read).error();
    const Manifest manifest = std::move(read).value().manifest;
    const ConfigVersion present = this->state->version();
    if (manifest.version == 0 && present == 0) {
      co_return NotRun(ErrorCode::kNotFound, "the store holds no configuration");
    }
    if (manifest.version < present) co_return present;
    if (manifest.version > present) {
      this->state->ObserveVersion(manifest.version);
      auto fetched = co_await FetchSections(manifest, deadline);
      if (!fetched) co_return std::move(fetched).error();
      auto adopted = AdoptFromCache(manifest);
      if (!adopted) co_return std::move(adopted).error();
    }
    this->state->Confirm(manifest.version, start + this->confirmation_lifetime);
    co_return this->state->version();
  }

  /** Activates a manifest whose sections are all in the cache, for example from a peer. */
  Result<void> AdoptFromCache(const Manifest& manifest) {
    if (manifest.version <= this->state->version()) return success();
    BOOST_OUTCOME_TRY(auto document, this->cache.Join(manifest));
    this->state->Adopt({manifest.version, std::move(document)});
    this->cache.SetNewest(manifest);
    return success();
  }

  [[nodiscard]] SectionCache& sections() { return this->cache; }

 private:
  struct StoredManifest {
    Manifest manifest;  ///< Version 0 when the store holds none.
    std::int64_t revision = 0;
  };

  // A store that returns stale reads catches up within a few reads or not at all.
  static constexpr int kMaxStaleReads = 5;
  static constexpr Milliseconds kRetryInterval{100};
  // Other nodes may still read a section of the previous version.
  static constexpr std::int64_t kRemovedSectionLeaseSeconds = 3600;

  boost::asio::awaitable<Result<AcceptOutcome>> Replace(Document document, SplitDocument split,
                                                        ConfigVersion expected_version,
                                                        Deadline deadline) {
    auto read = co_await ReadForAccept(expected_version, deadline);
    if (!read) co_return std::move(read).error();
    const StoredManifest before = std::move(read).value();
    if (before.manifest.version != expected_version) {
      co_return AcceptOutcome{false, before.manifest.version};
    }
    const Manifest next = detail::NextManifest(before.manifest, split.sections, this->node);
    if (SerializeManifest(next).size() > kMaxStoredValueBytes) {
      co_return NotRun(ErrorCode::kInvalidArgument,
                       "/branches: the manifest exceeds the store's 1000000 bytes");
    }
    auto written = co_await WriteSections(before.manifest, split, deadline);
    if (!written) co_return std::move(written).error();
    const std::vector<StoredValue> removed = co_await ReadRemoved(before.manifest, next, deadline);

    const TimePoint start = Clock::now();
    auto outcome = co_await WriteManifest(next, before.revision, deadline);
    if (!outcome || !outcome.value().accepted) co_return outcome;
    for (const auto& [digest, body] : split.bodies) this->cache.Add(digest, body);
    ActivateDocument(next, std::move(document), start);
    co_await ExpireSections(removed, deadline);
    co_return outcome;
  }

  boost::asio::awaitable<Result<StoredManifest>> ReadManifest(Deadline deadline) {
    std::string key(kManifestKey);
    auto stored = co_await this->store->Get(std::move(key), deadline);
    if (!stored) co_return std::move(stored).error();
    if (!stored.value()) co_return StoredManifest{};
    auto manifest = ParseManifest(stored.value()->value);
    if (!manifest) co_return std::move(manifest).error();
    co_return StoredManifest{std::move(manifest).value(), stored.value()->revision};
  }

  // Reads until the manifest is at least as new as the version in force and `expected_version`.
  boost::asio::awaitable<Result<StoredManifest>> ReadForAccept(ConfigVersion expected_version,
                                                               Deadline deadline) {
    for (int attempt = 1;; ++attempt) {
      auto read = co_await ReadManifest(deadline);
      if (!read) co_return read;
      const ConfigVersion version = read.value().manifest.version;
      const ConfigVersion known = this->state->version();
      if (version >= std::max(known, expected_version)) co_return read;
      const TimePoint next = Clock::now() + kRetryInterval;
      if (attempt >= kMaxStaleReads || next >= deadline) {
        if (version >= known) co_return read;
        co_return NotRun(ErrorCode::kUnavailable,
                         "the store answers with version " + std::to_string(version) +
                             ", older than version " + std::to_string(known) + " in force");
      }
      co_await detail::PauseUntil(next);
    }
  }

  // Sections that the manifest in force names are present and have no lease. Any other section may
  // be about to expire, so it is rewritten without a lease even if it exists.
  boost::asio::awaitable<Result<void>> WriteSections(const Manifest& before,
                                                     const SplitDocument& split,
                                                     Deadline deadline) {
    for (const auto& [digest, body] : split.bodies) {
      if (detail::NamesSection(before, digest)) continue;
      auto written = co_await WriteSection(digest, body, deadline);
      if (!written) co_return written;
    }
    co_return success();
  }

  boost::asio::awaitable<Result<void>> WriteSection(std::string digest, std::string body,
                                                    Deadline deadline) {
    const std::string key = detail::SectionKey(digest);
    std::int64_t revision = 0;
    for (;;) {
      auto outcome = co_await this->store->Swap(key, body, revision, 0, deadline);
      if (outcome && outcome.value().written) co_return success();
      if (outcome) {
        revision = outcome.value().current ? outcome.value().current->revision : 0;
        continue;
      }
      const TimePoint next = Clock::now() + kRetryInterval;
      // A section alone changes nothing, so the document certainly is not in force.
      if (next >= deadline) co_return NotRun(outcome.error().code, outcome.error().message);
      co_await detail::PauseUntil(next);
    }
  }

  // Writes the manifest until it is known whether this write or that of another node took effect. A
  // repeated write has the same expected revision, so it takes effect at most once.
  boost::asio::awaitable<Result<AcceptOutcome>> WriteManifest(const Manifest& next,
                                                              std::int64_t revision,
                                                              Deadline deadline) {
    const std::string key(kManifestKey);
    const std::string value = SerializeManifest(next);
    Verdict verdict = Verdict::kNotRun;
    for (;;) {
      auto outcome = co_await this->store->Swap(key, value, revision, 0, deadline);
      if (outcome && outcome.value().written) co_return AcceptOutcome{true, next.version};
      if (outcome) co_return ResolveRejectedSwap(next, outcome.value(), verdict);
      Error error = std::move(outcome).error();
      if (error.verdict != Verdict::kNotRun) verdict = Verdict::kMayHaveRun;
      const TimePoint pause = Clock::now() + kRetryInterval;
      if (pause >= deadline) co_return Error{error.code, std::move(error.message), verdict};
      co_await detail::PauseUntil(pause);
    }
  }

  Result<AcceptOutcome> ResolveRejectedSwap(const Manifest& next, const SwapOutcome& outcome,
                                            Verdict verdict) {
    if (!outcome.current) return AcceptOutcome{false, 0};
    BOOST_OUTCOME_TRY(auto stored, ParseManifest(outcome.current->value));
    this->state->ObserveVersion(stored.version);
    const auto result = detail::WriteOutcomeFromWriters(next, stored);
    if (result == detail::WriteOutcome::kAccepted) return AcceptOutcome{true, next.version};
    // Every reply that arrived says that this attempt was not written.
    if (result == detail::WriteOutcome::kRejected || verdict == Verdict::kNotRun) {
      return AcceptOutcome{false, stored.version};
    }
    return MayHaveRun(ErrorCode::kUnavailable, "version " + std::to_string(stored.version) +
                                                   " is in force, and the writer of version " +
                                                   std::to_string(next.version) +
                                                   " is no longer recorded");
  }

  boost::asio::awaitable<Result<void>> FetchSections(const Manifest& manifest, Deadline deadline) {
    for (const std::string& digest : this->cache.Missing(manifest)) {
      std::string key = detail::SectionKey(digest);
      auto stored = co_await this->store->Get(std::move(key), deadline);
      if (!stored) co_return std::move(stored).error();
      if (!stored.value() || !this->cache.Add(digest, stored.value()->value)) {
        co_return NotRun(ErrorCode::kUnavailable, "section " + digest + " of version " +
                                                      std::to_string(manifest.version) +
                                                      " is absent or damaged in the store");
      }
    }
    co_return success();
  }

  void ActivateDocument(const Manifest& manifest, Document document, TimePoint start) {
    this->state->Adopt({manifest.version, std::move(document)});
    this->cache.SetNewest(manifest);
    this->state->Confirm(manifest.version, start + this->confirmation_lifetime);
  }

  // Reads the sections that the new version removes. This must happen before the manifest is
  // written: a writer that adds a removed section again writes it after that, which changes its
  // revision.
  boost::asio::awaitable<std::vector<StoredValue>> ReadRemoved(const Manifest& before,
                                                               const Manifest& after,
                                                               Deadline deadline) {
    std::vector<StoredValue> removed;
    for (const std::string& digest : detail::RemovedDigests(before, after)) {
      std::string key = detail::SectionKey(digest);
      auto stored = co_await this->store->Get(std::move(key), deadline);
      if (stored && stored.value()) removed.push_back(std::move(*stored.value()));
    }
    co_return removed;
  }

  // Sets a lease on removed sections, so that the store does not grow with every change. A failure
  // leaves a section in the store and has no other effect.
  boost::asio::awaitable<void> ExpireSections(const std::vector<StoredValue>& removed,
                                              Deadline deadline) {
    for (const StoredValue& section : removed) {
      (void)co_await this->store->Swap(section.key, section.value, section.revision,
                                       kRemovedSectionLeaseSeconds, deadline);
    }
  }

  std::shared_ptr<S> store;
  std::shared_ptr<ConfigState> state;
  NodeId node;
  Milliseconds confirmation_lifetime;
  SectionCache cache;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_DAEMON_CONFIG_SERVICE_H_
