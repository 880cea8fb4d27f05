#include "daemon/config-service.h"

#include <random>

namespace limpetfall {
namespace {

// A writer that retries for longer than this many further changes cannot determine whether its
// write took effect.
constexpr std::size_t kEarlierWriters = 16;

std::string NewWriter(const NodeId& node) {
  std::random_device random;
  std::string token = node.value;
  for (int i = 0; i < 4; ++i) token += "-" + std::to_string(random());
  return token;
}

}  // namespace

namespace detail {

WriteOutcome WriteOutcomeFromWriters(const Manifest& attempt, const Manifest& stored) {
  if (stored.writer == attempt.writer) return WriteOutcome::kAccepted;
  const auto& earlier = stored.earlier_writers;
  if (std::ranges::find(earlier, attempt.writer) != earlier.end()) return WriteOutcome::kAccepted;
  // The stored manifest names the writers of its own version and of the ones just before it.
  const bool covers_attempt = stored.version <= attempt.version + earlier.size();
  return covers_attempt ? WriteOutcome::kRejected : WriteOutcome::kUnknown;
}

Manifest NextManifest(const Manifest& previous, std::vector<SectionRef> sections,
                      const NodeId& node) {
  Manifest next{previous.version + 1, std::move(sections), NewWriter(node), {}};
  if (previous.version > 0) next.earlier_writers.push_back(previous.writer);
  for (const std::string& writer : previous.earlier_writers) {
    if (next.earlier_writers.size() == kEarlierWriters) break;
    next.earlier_writers.push_back(writer);
  }
  return next;
}

Result<void> CheckSizes(const SplitDocument& split) {
  std::size_t branches = 0;
  for (const SectionRef& section : split.sections) {
    std::string pointer = "/" + section.name;
    if (section.name.starts_with("branch/")) pointer = "/branches/" + std::to_string(branches++);
    const std::size_t size = split.bodies.at(section.digest).size();
    if (size <= kMaxStoredValueBytes) continue;
    return NotRun(ErrorCode::kInvalidArgument, pointer + ": takes " + std::to_string(size) +
                                                   " bytes; the store takes at most " +
                                                   std::to_string(kMaxStoredValueBytes));
  }
  return success();
}

std::vector<std::string> RemovedDigests(const Manifest& before, const Manifest& after) {
  std::vector<std::string> removed;
  for (const SectionRef& section : before.sections) {
    if (!NamesSection(after, section.digest)) removed.push_back(section.digest);
  }
  return removed;
}

bool NamesSection(const Manifest& manifest, std::string_view digest) {
  return std::ranges::any_of(manifest.sections,
                             [&](const SectionRef& section) { return section.digest == digest; });
}

std::string SectionKey(std::string_view digest) {
  return std::string(kSectionPrefix) + std::string(digest);
}

}  // namespace detail

bool SectionCache::Add(const std::string& digest, std::string body) {
  if (SectionDigest(body) != digest) return false;
  const std::lock_guard lock(this->mutex);
  this->bodies.insert_or_assign(digest, std::move(body));
  return true;
}

std::vector<std::string> SectionCache::Missing(const Manifest& manifest) const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> missing;
  for (const SectionRef& section : manifest.sections) {
    if (!this->bodies.contains(section.digest)) missing.push_back(section.digest);
  }
  return missing;
}

SectionBodies SectionCache::Find(const std::vector<std::string>& digests) const {
  const std::lock_guard lock(this->mutex);
  SectionBodies found;
  for (const std::string& digest : digests) {
    const auto body = this->bodies.find(digest);
    if (body != this->bodies.end()) found.emplace(*body);
  }
  return found;
}

Result<Document> SectionCache::Join(const Manifest& manifest) const {
  const std::lock_guard lock(this->mutex);
  return JoinSections(manifest, this->bodies);
}

void SectionCache::SetNewest(const Manifest& manifest) {
  const std::lock_guard lock(this->mutex);
  if (manifest.version <= this->newest.version) return;
  this->newest = manifest;
  std::erase_if(this->bodies,
                [&](const auto& entry) { return !detail::NamesSection(manifest, entry.first); });
}

std::string SectionCache::newest_manifest() const {
  const std::lock_guard lock(this->mutex);
  return this->newest.version == 0 ? "" : SerializeManifest(this->newest);
}

}  // namespace limpetfall
