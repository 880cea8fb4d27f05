#include "daemon/config-sync.h"

#include <chrono>
#include <utility>
#include <variant>

#include "base/log.h"

namespace limpetfall {
namespace {

constexpr std::string_view kAnnouncementKey = "config/version";

// An announcement stays valid until a newer one replaces it.
constexpr std::chrono::hours kAnnouncementLifetime{24};

// Timeout for fetching the sections of an announced version from other nodes. After it, they are
// read from the platform.
constexpr Milliseconds kFetchTimeout{2000};

// Longest wait, before the operator is answered, for other nodes to confirm the version in force.
constexpr Milliseconds kInForceTimeout{3000};
constexpr Milliseconds kInForcePollInterval{20};

}  // namespace

ConfigSync::ConfigSync(Settings node_settings, std::shared_ptr<EtcdStore> store,
                       std::shared_ptr<NodeContext> node_context,
                       std::shared_ptr<SharedState> shared)
    : settings(std::move(node_settings)),
      context(std::move(node_context)),
      state(std::move(shared)),
      service(std::move(store),
              std::shared_ptr<ConfigState>(this->context, &this->context->config_state()),
              this->settings.node, Milliseconds(this->settings.config_fresh_ms)),
      confirmation_entry_version(FirstEntryVersion()) {}

boost::asio::awaitable<void> ConfigSync::Run() {
  while (!this->stopped) {
    const TimePoint next = Clock::now() + Milliseconds(this->settings.config_poll_ms);
    co_await this->Poll();
    this->ApplyKnownConfirmations();
    this->NotifyIfNewVersion();
    this->PublishVersion();
    co_await detail::PauseUntil(next);
  }
}

boost::asio::awaitable<void> ConfigSync::Poll() {
  const Deadline deadline = Clock::now() + Milliseconds(this->settings.platform_timeout_ms);
  auto loaded = co_await this->service.Load(deadline);
  if (!loaded && loaded.error().code != ErrorCode::kNotFound) {
    Log(LogLevel::kDebug, "config_poll_failed", {{"error", loaded.error().message}});
  }
}

void ConfigSync::ApplyConfirmation(const SharedEntry& entry) {
  const auto* fresh = std::get_if<ConfigFreshness>(&entry.value);
  if (fresh == nullptr || fresh->node == this->settings.node) return;
  // The deadline of the other node is used, so that nodes cannot extend each other's confirmations
  // without the platform.
  this->context->config_state().Confirm(fresh->version, entry.expires);
}

// A confirmation has an effect only when its version is in force on this node, so the stored ones
// are applied again.
void ConfigSync::ApplyKnownConfirmations() {
  for (const SharedEntry& entry : this->state->List(kFreshnessPrefix, Clock::now())) {
    this->ApplyConfirmation(entry);
  }
}

SharedEntry ConfigSync::Announcement() {
  const ConfigVersion version = this->context->config_state().version();
  const std::string manifest = this->service.sections().newest_manifest();
  return {std::string(kAnnouncementKey), version, Clock::now() + kAnnouncementLifetime,
          ConfigAnnouncement{version, manifest}};
}

void ConfigSync::PublishVersion() {
  const TimePoint now = Clock::now();
  ConfigState& config = this->context->config_state();
  if (config.version() == 0) return;
  const auto known = this->state->Find(kAnnouncementKey, now);
  if (!known || known->version < config.version()) {
    this->state->Put(this->Announcement(), Urgency::kUrgent, now);
  }
  const Deadline until = config.confirmed_until();
  if (until <= now) return;
  const std::string key = std::string(kFreshnessPrefix) + this->settings.node.value;
  const ConfigFreshness fresh{this->settings.node, config.version()};
  const bool new_version = this->published_version.exchange(config.version()) != config.version();
  const Urgency urgency = new_version ? Urgency::kUrgent : Urgency::kNormal;
  this->state->Put({key, ++this->confirmation_entry_version, until, fresh}, urgency, now);
}

void ConfigSync::NotifyIfNewVersion() {
  const auto document = this->context->config_state().Current();
  const std::lock_guard lock(this->mutex);
  if (!document || document->version <= this->applied_version) return;
  this->applied_version = document->version;
  Log(LogLevel::kInfo, "config_in_force", {{"version", document->version}});
  if (this->on_change) this->on_change(*document);
}

boost::asio::awaitable<void> ConfigSync::OnAnnouncement(ConfigAnnouncement announcement) {
  ConfigState& config = this->context->config_state();
  if (announcement.version <= config.version()) co_return;
  config.ObserveVersion(announcement.version);
  auto manifest = ParseManifest(announcement.manifest);
  if (!manifest) co_return;
  const std::vector<std::string> missing = this->service.sections().Missing(manifest.value());
  const Deadline deadline = Clock::now() + kFetchTimeout;
  if (!missing.empty() && this->nodes != nullptr) {
    auto bodies = co_await this->nodes->FetchSections(missing, deadline);
    for (auto& [digest, body] : bodies) this->service.sections().Add(digest, std::move(body));
  }
  auto adopted = this->service.AdoptFromCache(manifest.value());
  // If no peer has the sections, they are read from the platform.
  if (!adopted) co_await this->Poll();
  this->ApplyKnownConfirmations();
  this->NotifyIfNewVersion();
  this->PublishVersion();
}

std::optional<std::string> ConfigSync::FindSection(const std::string& digest) {
  SectionBodies found = this->service.sections().Find({digest});
  if (found.empty()) return std::nullopt;
  return std::move(found.begin()->second);
}

boost::asio::awaitable<Result<ConfigChangeResult>> ConfigSync::ChangeDocument(
    std::string document, ConfigVersion expected, Deadline deadline) {
  if (!HasMajority(this->context->Contact(Clock::now()))) {
    co_return NotRun(ErrorCode::kUnavailable,
                     "this node does not reach a majority of the nodes, so it accepts no change");
  }
  auto outcome = co_await this->service.Accept(std::move(document), expected, deadline);
  if (!outcome) co_return std::move(outcome).error();
  ConfigChangeResult change{outcome.value().accepted, outcome.value().version, {}};
  if (!change.accepted) co_return change;
  Log(LogLevel::kInfo, "config_accepted", {{"version", change.version}});
  this->NotifyIfNewVersion();
  this->PublishVersion();
  SharedEntry announcement = this->Announcement();
  co_await this->nodes->PushAndWait(std::move(announcement), deadline);
  change.confirmed_by = co_await this->WaitUntilInForce(change.version, deadline);
  co_return change;
}

boost::asio::awaitable<std::vector<NodeId>> ConfigSync::WaitUntilInForce(ConfigVersion version,
                                                                         Deadline deadline) {
  const Deadline until = std::min<Deadline>(deadline, Clock::now() + kInForceTimeout);
  for (;;) {
    const TimePoint now = Clock::now();
    std::vector<NodeId> nodes{this->settings.node};
    bool all = true;
    for (const NodeId& member : this->context->ReachableNodes()) {
      const auto entry = this->state->Find(std::string(kFreshnessPrefix) + member.value, now);
      const auto* fresh = entry ? std::get_if<ConfigFreshness>(&entry->value) : nullptr;
      const bool in_force = fresh != nullptr && fresh->version >= version;
      if (in_force) nodes.push_back(member);
      all = all && in_force;
    }
    if (all || now >= until) co_return nodes;
    co_await detail::PauseUntil(now + kInForcePollInterval);
  }
}

}  // namespace limpetfall
