#include "core/config-state.h"

#include <algorithm>
#include <utility>

namespace limpetfall {

bool ConfigState::Adopt(VersionedDocument document) {
  auto shared = std::make_shared<const VersionedDocument>(std::move(document));
  const std::lock_guard lock(this->mutex);
  const ConfigVersion present = this->current ? this->current->version : 0;
  if (shared->version <= present) return false;
  this->newest_version = std::max(this->newest_version, shared->version);
  this->current = std::move(shared);
  return true;
}

std::shared_ptr<const VersionedDocument> ConfigState::Current() const {
  const std::lock_guard lock(this->mutex);
  return this->current;
}

ConfigVersion ConfigState::version() const {
  const std::lock_guard lock(this->mutex);
  return this->current ? this->current->version : 0;
}

void ConfigState::ObserveVersion(ConfigVersion version) {
  const std::lock_guard lock(this->mutex);
  this->newest_version = std::max(this->newest_version, version);
}

ConfigVersion ConfigState::newest_known_version() const {
  const std::lock_guard lock(this->mutex);
  return this->newest_version;
}

void ConfigState::Confirm(ConfigVersion version, Deadline until) {
  const std::lock_guard lock(this->mutex);
  if (!this->current || this->current->version != version || this->newest_version > version) return;
  this->confirmation_deadline = std::max(this->confirmation_deadline, until);
}

Deadline ConfigState::confirmed_until() const {
  const std::lock_guard lock(this->mutex);
  return this->confirmation_deadline;
}

bool ConfigState::MayServeNow(const NodeReachability& reachability, TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  if (!this->current) return false;
  if (now >= this->confirmation_deadline && this->newest_version > this->current->version)
    return false;
  return MayServe(this->confirmation_deadline, reachability, now);
}

}  // namespace limpetfall
