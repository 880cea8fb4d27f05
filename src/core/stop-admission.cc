#include "core/stop-admission.h"

#include <algorithm>

namespace limpetfall {
namespace {

// The estimate covers between one and two windows, in which the load changes little.
constexpr Milliseconds kWindowTime{10000};

// Below this, the slowest request of a route has probably not been seen.
constexpr int kMinRequests = 20;

// The load may rise while a request runs, for example with the callers of the stopping node.
constexpr double kSafetyFactor = 1.5;

// Callers may state any length.
constexpr double kMaxEstimateS = 3600;

/** Returns the factor by which the duration of a request grows after its first bytes. */
double Units(std::int64_t answer_tokens) {
  return static_cast<double>(std::max<std::int64_t>(1, answer_tokens));
}

}  // namespace

void StopAdmission::Window::Add(const Window& other) {
  this->count += other.count;
  this->first_bytes_s = std::max(this->first_bytes_s, other.first_bytes_s);
  this->rest_s = std::max(this->rest_s, other.rest_s);
}

void StopAdmission::OnCompleted(const std::string& route, const CompletedRequest& request,
                                TimePoint now) {
  RouteWindows& windows = this->routes[{route, request.answer_tokens > 0}];
  if (windows.current.end <= now) {
    windows.previous = windows.current;
    windows.current = Window();
    windows.current.end = now + kWindowTime;
  }
  const double rest_s = std::max(0.0, (request.total - request.first_bytes).count());
  Window sample;
  sample.count = 1;
  sample.first_bytes_s = request.first_bytes.count();
  sample.rest_s = rest_s / Units(request.answer_tokens);
  windows.current.Add(sample);
}

void StopAdmission::BeginStop(Deadline last_estimate, Deadline end) {
  if (this->stop_by) return;
  this->stop_by = end;
  this->estimate_until = last_estimate;
}

std::optional<Milliseconds> StopAdmission::EstimateDuration(const StopAdmissionRequest& request,
                                                            TimePoint now) const {
  const auto found = this->routes.find({request.route, request.answer_tokens > 0});
  if (found == this->routes.end()) return std::nullopt;
  Window recent;
  for (const Window& window : {found->second.current, found->second.previous}) {
    if (now < window.end + kWindowTime) recent.Add(window);
  }
  if (recent.count < kMinRequests) return std::nullopt;
  const double estimate_s =
      kSafetyFactor * (recent.first_bytes_s + recent.rest_s * Units(request.answer_tokens));
  return std::chrono::ceil<Milliseconds>(
      std::chrono::duration<double>(std::min(estimate_s, kMaxEstimateS)));
}

bool StopAdmission::Admits(const StopAdmissionRequest& request, TimePoint now) const {
  if (!this->stop_by || request.deadline <= *this->stop_by) return true;
  if (this->estimate_until <= now) return false;
  const auto estimate = this->EstimateDuration(request, now);
  return estimate && now + *estimate <= *this->stop_by;
}

}  // namespace limpetfall
