#include "core/upstream-rate-limit.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

namespace limpetfall {
namespace {

using Seconds = std::chrono::duration<double>;

// Long enough for reports to reach all nodes several times, short enough to react to a new limit.
constexpr double kDecayTimeS = 2;

// Maximum total rate of all nodes until their reports show how much was sent, as a multiple of the
// limit.
constexpr double kMaxRateFactor = 1.5;

// A node that was paused does not catch up on the rounds that it has missed.
constexpr Seconds kLongestRound{0.25};

// Time for which a node keeps a grant that other nodes might need.
constexpr Milliseconds kGrantTime{1000};

// Lowest rate at which an upstream is asked whether its limit still holds.
constexpr double kMinRatePerS = 0.1;

// Part of the rate that is divided evenly; the rest goes to the nodes that have sent recently.
constexpr double kEvenFraction = 0.5;

// Reports may be lost, so each statement is repeated for this long.
constexpr Milliseconds kReportTime{4000};

// Far above what a node sends in a round.
constexpr double kMaxGrants = 1e6;

// A count below this does not change a grant.
constexpr double kNegligibleSends = 0.01;

// An upstream that has stated a limit for this long without another response has probably ended.
constexpr Milliseconds kLongestMemory{600'000};

}  // namespace

std::optional<RequestRate> RequestRate::FromPerSecond(double value) {
  if (!(value >= 0)) return std::nullopt;
  return RequestRate(std::min(value, kUnlimited));
}

std::optional<RequestRate> RequestRate::Parse(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(value)) return std::nullopt;
  return FromPerSecond(value);
}

bool RequestRate::IsLimited() const { return this->value < kUnlimited; }

void DecayingCount::Add(double events, TimePoint now) {
  this->count = this->At(now) + events;
  this->updated = now;
}

double DecayingCount::At(TimePoint now) const {
  const double age_s = std::max(0.0, Seconds(now - this->updated).count());
  return this->count * std::exp(-age_s / kDecayTimeS);
}

void UpstreamRateLimit::SetCurrent(StatedRate stated, const NodeId& source) {
  if (!this->IsLimited()) {
    // The first round after a new limit grants the first requests.
    this->granted = 0;
    this->share.reset();
  }
  this->current = stated;
  this->current_source = source;
}

bool UpstreamRateLimit::OnResponse(RequestRate stated_rate, TimePoint request_sent, TimePoint now) {
  if (!stated_rate.IsLimited() && request_sent <= this->current.at) return false;
  const bool is_change = this->current.rate != stated_rate;
  this->own = StatedRate{stated_rate, now};
  this->SetCurrent(*this->own, NodeId());
  return is_change;
}

void UpstreamRateLimit::OnReport(const NodeId& node, const RateLimitReport& report, TimePoint now) {
  this->peer_sends[node] = DecayingCount(report.recent_sends, now);
  if (!report.stated) return;
  // The ages of messages that were held up are too low, but their order is right.
  const bool is_newer = report.stated->at > this->current.at || this->current_source == node;
  if (is_newer) this->SetCurrent(*report.stated, node);
}

double UpstreamRateLimit::KeptRate() const {
  return std::max(this->current.rate.per_second(), kMinRatePerS);
}

double UpstreamRateLimit::SumPeerSends(TimePoint now) {
  double sum = 0;
  std::erase_if(this->peer_sends, [now, &sum](const auto& entry) {
    const double count = entry.second.At(now);
    if (count < kNegligibleSends) return true;
    sum += count;
    return false;
  });
  return sum;
}

void UpstreamRateLimit::StartRound(std::size_t nodes, double random_fraction, TimePoint now) {
  const Seconds passed = std::min(Seconds(now - this->round_started), kLongestRound);
  this->round_started = now;
  if (!this->IsLimited()) return;
  const auto count = static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double own_sends = this->sends.At(now);
  const double all_sends = own_sends + this->SumPeerSends(now);
  const double sender_part = all_sends < kNegligibleSends ? 1 / count : own_sends / all_sends;
  this->share = kEvenFraction / count + (1 - kEvenFraction) * sender_part;
  const double left = this->KeptRate() * kDecayTimeS - all_sends;
  const double paced = kMaxRateFactor * this->KeptRate() * passed.count();
  const double expected = std::min(*this->share * std::clamp(left, 0.0, paced), kMaxGrants);
  // Random rounding grants the whole rate on average, even if a node's part of it is below one.
  const int fresh = static_cast<int>(expected + random_fraction);
  // An unused grant saves the next request a wait. If little is left, all nodes together could hold
  // more than that, so it is kept for a short time only.
  const bool keeps = left >= count || now < this->grant_expires;
  const int kept = keeps ? std::min(this->granted, 1) : 0;
  if (fresh > 0) this->grant_expires = now + kGrantTime;
  this->granted = std::max(fresh, kept);
}

void UpstreamRateLimit::Take() {
  if (this->IsLimited()) this->granted = std::max(0, this->granted - 1);
}

std::optional<double> UpstreamRateLimit::ExpectedRate() const {
  if (!this->share) return std::nullopt;
  return *this->share * this->current.rate.per_second();
}

double UpstreamRateLimit::Concurrency(Seconds service_time) const {
  return this->KeptRate() * service_time.count();
}

RateLimitReport UpstreamRateLimit::Report(std::uint64_t upstream_boot, TimePoint now) const {
  const bool is_recent = this->own && now < this->own->at + kReportTime;
  return {upstream_boot, is_recent ? this->own : std::nullopt, this->sends.At(now)};
}

bool UpstreamRateLimit::IsWorthReporting(TimePoint now) const {
  if (this->own && now < this->own->at + kReportTime) return true;
  return this->IsLimited() && this->sends.At(now) >= kNegligibleSends;
}

bool UpstreamRateLimit::IsObsolete(TimePoint now) const {
  if (this->current.at + kLongestMemory < now) return true;
  return !this->IsLimited() && !this->IsWorthReporting(now);
}

}  // namespace limpetfall
