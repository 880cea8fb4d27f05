#include "daemon/order-runner.h"

#include <random>

namespace limpetfall::detail {

std::string AttemptTable::Start(const NodeId& node) {
  std::random_device random;
  std::string attempt = node.value;
  for (int i = 0; i < 4; ++i) attempt += "-" + std::to_string(random());
  const std::lock_guard lock(this->mutex);
  this->running.insert(attempt);
  return attempt;
}

void AttemptTable::Abandon(const std::string& attempt) {
  const std::lock_guard lock(this->mutex);
  this->running.erase(attempt);
  this->abandoned.insert(attempt);
}

void AttemptTable::Finish(const std::string& attempt) {
  const std::lock_guard lock(this->mutex);
  this->running.erase(attempt);
  this->abandoned.erase(attempt);
}

HolderState AttemptTable::StateOf(const std::string& attempt) const {
  const std::lock_guard lock(this->mutex);
  if (this->running.contains(attempt)) return HolderState::kRunning;
  return this->abandoned.contains(attempt) ? HolderState::kAbandoned : HolderState::kLost;
}

std::size_t AttemptTable::size() const {
  const std::lock_guard lock(this->mutex);
  return this->running.size() + this->abandoned.size();
}

}  // namespace limpetfall::detail
