#include "core/upstream-health.h"

#include <algorithm>
#include <cmath>

namespace limpetfall {
namespace {

// Weight of one attempt in the fault rate, which averages over about the last eight attempts.
constexpr double kAttemptWeight = 1.0 / 8;

// Time constant of the decay. An upstream that is avoided is used again within some seconds.
constexpr double kFaultRateDecaySeconds = 5;

// Network elements may reset a single connection to a healthy upstream, so one is not enough.
constexpr int kBrokenResponsesToSuspend = 2;

}  // namespace

double UpstreamHealth::FaultRate(TimePoint now) const {
  const std::chrono::duration<double> elapsed = now - this->fault_rate_updated;
  return this->fault_rate * std::exp(-elapsed.count() / kFaultRateDecaySeconds);
}

void UpstreamHealth::RecordOutcome(double outcome, TimePoint now) {
  const double decayed_rate = this->FaultRate(now);
  this->fault_rate = decayed_rate + kAttemptWeight * (outcome - decayed_rate);
  this->fault_rate_updated = now;
}

void UpstreamHealth::Suspend(TimePoint now) {
  if (now < this->suspended_until) return;
  this->suspended_until = now + this->next_suspension;
  this->next_suspension = std::min(2 * this->next_suspension, this->options.max_suspension);
}

void UpstreamHealth::OnFault(UpstreamFault fault, TimePoint now) {
  this->RecordOutcome(1, now);
  if (fault == UpstreamFault::kMisdirected) return this->Suspend(now);
  if (fault != UpstreamFault::kBrokenResponse) return;
  ++this->consecutive_broken;
  // During a trial, one fault is enough.
  if (this->consecutive_broken >= kBrokenResponsesToSuspend || this->IsOnTrial())
    this->Suspend(now);
}

void UpstreamHealth::OnProgress(TimePoint now) {
  if (this->IsSuspended(now) || !this->IsOnTrial()) return;
  this->suspended_until = Deadline();
  this->lost = false;
}

void UpstreamHealth::OnSuccess(TimePoint now) {
  this->OnProgress(now);
  this->RecordOutcome(0, now);
  this->consecutive_broken = 0;
  this->next_suspension = this->options.initial_suspension;
}

void UpstreamHealth::OnLost(TimePoint now) {
  this->lost = true;
  this->Suspend(now);
}

}  // namespace limpetfall
