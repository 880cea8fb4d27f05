#ifndef LIMPETFALL_DAEMON_SERVICE_CALLER_H_
#define LIMPETFALL_DAEMON_SERVICE_CALLER_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "core/admission.h"
#include "core/routing.h"
#include "daemon/admission-gate.h"
#include "daemon/request-plan.h"

namespace limpetfall {

/** Sends one call to one upstream of a plain service. */
template <typename T>
concept ServiceUpstreamCall = requires(T& upstream, std::string address, ServiceCall call,
                                       Deadline deadline) {
  {
    upstream(address, call, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<ServiceAnswer>>>;
};

/** Source of the document in force; null when this node must not serve. */
template <typename T>
concept ConfigSource = requires(T& config) {
  { config.Current() } -> std::same_as<std::shared_ptr<const VersionedDocument>>;
};

/** Retry budget shared by all requests of a node. Thread-safe. */
class NodeRetryBudget {
 public:
  void OnRequest(double share) {
    const std::lock_guard lock(this->mutex);
    this->budget.OnRequest(share);
  }

  [[nodiscard]] bool TryTake() {
    const std::lock_guard lock(this->mutex);
    return this->budget.TryTake();
  }

 private:
  std::mutex mutex;
  RetryBudget budget;
};

/**
 * Admits, routes and sends calls of plain services. A call is sent to a second upstream only when
 * the first certainly did not run it or when its route is idempotent.
 *
 * `Call` is also what an order runner uses to dispatch a claimed order: a call whose route is not
 * idempotent is sent at most once.
 */
template <ConfigSource Config, ServiceUpstreamCall Upstream>
class ServiceCaller {
 public:
  ServiceCaller(std::shared_ptr<Config> config, std::shared_ptr<Upstream> upstream,
                std::shared_ptr<ServiceTable> services, std::shared_ptr<AdmissionGate> gate,
                std::shared_ptr<NodeRetryBudget> retries)
      : config(std::move(config)),
        upstream(std::move(upstream)),
        services(std::move(services)),
        gate(std::move(gate)),
        retries(std::move(retries)) {}

  boost::asio::awaitable<Result<ServiceAnswer>> Call(ServiceCall call) {
    const std::shared_ptr<const VersionedDocument> document = this->config->Current();
    if (!document) {
      co_return NotRun(ErrorCode::kUnavailable, "this node has no confirmed configuration");
    }
    Result<ServicePlan> plan = PlanServiceCall(document->document, call);
    if (!plan) co_return std::move(plan).error();

    std::vector<std::string> excluded;
    bool may_have_run = false;
    for (bool is_retry = false;; is_retry = true) {
      const std::size_t sent_before = excluded.size();
      Result<ServiceAnswer> answer =
          co_await this->CallOnce(call, plan.value(), is_retry, &excluded);
      if (answer) {
        ServiceAnswer versioned_answer = std::move(answer).value();
        versioned_answer.version = document->version;
        co_return versioned_answer;
      }
      Error error = std::move(answer).error();
      may_have_run = may_have_run || error.verdict != Verdict::kNotRun;
      const bool was_sent = excluded.size() > sent_before;
      if (!was_sent || !this->MayRetry(error, plan.value(), call, excluded.size())) {
        if (may_have_run && error.verdict == Verdict::kNotRun) error.verdict = Verdict::kMayHaveRun;
        co_return error;
      }
      Log(LogLevel::kInfo, "service_call_retried",
          {{"request_id", call.id.value},
           {"service", call.service.value},
           {"error", error.message}});
    }
  }

 private:
  // An upstream that refused connections is tried again after this time even without a report.
  static constexpr Milliseconds kUnreachableTime{1000};
  static constexpr std::size_t kMaxAttempts = 3;
  // Limits the wait in the queue, so that a caller that set no deadline is refused in time to try
  // another node.
  static constexpr Milliseconds kMaxQueueWait{10000};

  boost::asio::awaitable<Result<ServiceAnswer>> CallOnce(ServiceCall call, ServicePlan plan,
                                                         bool is_retry,
                                                         std::vector<std::string>* excluded) {
    std::optional<ServiceTicket> ticket;
    AdmissionRequest admission_request{
        call.team, "service/" + call.service.value, plan.priority, 1, call.deadline,
        is_retry,  Clock::now() + kMaxQueueWait};
    auto try_start = [&] {
      const TimePoint now = Clock::now();
      const int limit = plan.max_in_flight_per_upstream;
      auto acquired = this->services->Acquire(call.service, plan.zones, *excluded, limit, now);
      if (!acquired && acquired.error().code == ErrorCode::kUnavailable) {
        // Only upstreams that have failed this call are left.
        acquired = this->services->Acquire(call.service, plan.zones, {}, limit, now);
      }
      if (!acquired) return AdmissionGate::CapacityFromError(acquired.error());
      ticket.emplace(std::move(acquired).value());
      return AdmissionGate::Capacity::kAcquired;
    };
    Result<AdmissionGate::Slot> slot = co_await this->gate->Wait(admission_request, try_start);
    if (!slot) co_return std::move(slot).error();
    // The ticket is released before the admission ends, so that the next request finds the
    // capacity.
    AdmissionGate::Slot admitted = std::move(slot).value();
    const ServiceTicket taken = std::move(ticket.value());
    ticket.reset();

    Result<ServiceAnswer> answer = co_await (*this->upstream)(taken.address(), call, call.deadline);
    if (answer) {
      admitted.MarkServed();
      co_return answer;
    }
    excluded->push_back(taken.address());
    if (answer.error().verdict == Verdict::kNotRun &&
        answer.error().code == ErrorCode::kUnavailable) {
      this->services->MarkUnreachable(call.service, taken.address(),
                                      Clock::now() + kUnreachableTime);
    }
    co_return answer;
  }

  bool MayRetry(const Error& error, const ServicePlan& plan, const ServiceCall& call,
                std::size_t attempts) {
    if (attempts >= kMaxAttempts || Clock::now() >= call.deadline) return false;
    if (error.code == ErrorCode::kCancelled || error.code == ErrorCode::kInvalidArgument) {
      return false;
    }
    if (error.verdict != Verdict::kNotRun && !plan.idempotent) return false;
    return this->retries->TryTake();
  }

  std::shared_ptr<Config> config;
  std::shared_ptr<Upstream> upstream;
  std::shared_ptr<ServiceTable> services;
  std::shared_ptr<AdmissionGate> gate;
  std::shared_ptr<NodeRetryBudget> retries;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_DAEMON_SERVICE_CALLER_H_
