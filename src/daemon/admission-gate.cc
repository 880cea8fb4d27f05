#include "daemon/admission-gate.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace limpetfall {
namespace {

namespace asio = boost::asio;

// Capacity can become available without an event on this node, for example when requests of
// another node end.
constexpr Milliseconds kStartInterval{20};

// A request is refused after this time without an upstream, because another node may reach an
// upstream that this one cannot, and rebuilding a group takes longer. A resumed request cannot be
// sent to another node, so it keeps waiting.
constexpr Milliseconds kNoUpstreamTimeout{1000};

using Wakeup = asio::experimental::concurrent_channel<void(boost::system::error_code)>;

struct Waiter {
  Waiter(const asio::any_io_executor& executor, AdmissionGate::TryStart start)
      : wakeup(executor, 1), try_start(std::move(start)) {}

  Wakeup wakeup;
  AdmissionGate::TryStart try_start;
  Deadline no_upstream_deadline;        ///< Refused then if no upstream is available.
  std::optional<Result<void>> outcome;  ///< Guarded by the lock of the gate.
};

class AdmissionGateImpl final : public AdmissionGate {
 public:
  AdmissionGateImpl(const asio::any_io_executor& executor, AdmissionOptions options)
      : queue(options), timer(executor) {}

  asio::awaitable<Result<Slot>> Wait(AdmissionRequest request, TryStart try_start) override;
  void StartWaiting() override;

  void SetTeams(const std::vector<TeamSpec>& specs) override {
    const std::lock_guard lock(this->mutex);
    this->queue.SetTeams(specs, Clock::now());
  }

  void OnDemand(const TeamDemand& demand, Deadline expires) override {
    const std::lock_guard lock(this->mutex);
    this->queue.OnDemand(demand, expires);
  }

  std::vector<TeamDemand> Demand(const NodeId& self) const override {
    const std::lock_guard lock(this->mutex);
    return this->queue.Demand(self, Clock::now());
  }

  std::size_t queued() const override {
    const std::lock_guard lock(this->mutex);
    return this->queue.queued();
  }

 private:
  // Removes a waiter from the gate on every exit from `Wait`, including cancellation.
  struct WaiterRemover {
    AdmissionGateImpl& gate;
    AdmissionId id;
    ~WaiterRemover() { this->gate.RemoveWaiter(this->id); }
  };

  void Finish(AdmissionId id, bool served) override;
  void RemoveWaiter(AdmissionId id);
  void StartWaitingLocked();
  void CompleteWaiter(AdmissionId id, Result<void> outcome);
  void StartTimer();

  mutable std::mutex mutex;
  AdmissionQueue queue;
  std::map<AdmissionId, std::shared_ptr<Waiter>> waiters;
  asio::steady_timer timer;
  bool timer_running = false;
};

asio::awaitable<Result<AdmissionGate::Slot>> AdmissionGateImpl::Wait(AdmissionRequest request,
                                                                     TryStart try_start) {
  const std::shared_ptr<AdmissionGate> self = this->shared_from_this();
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  auto waiter = std::make_shared<Waiter>(executor, std::move(try_start));
  waiter->no_upstream_deadline =
      request.is_retry ? Deadline::max() : Clock::now() + kNoUpstreamTimeout;
  AdmissionId id = 0;
  bool completed = false;
  {
    const std::lock_guard lock(this->mutex);
    Result<AdmissionId> queued = this->queue.Enqueue(request, Clock::now());
    if (!queued) co_return std::move(queued).error();
    id = queued.value();
    this->waiters.emplace(id, waiter);
    this->StartWaitingLocked();
    completed = waiter->outcome.has_value();
  }
  const WaiterRemover remover{*this, id};
  if (!completed) co_await waiter->wakeup.async_receive(asio::as_tuple(asio::use_awaitable));

  const std::lock_guard lock(this->mutex);
  if (!waiter->outcome) {
    co_return NotRun(ErrorCode::kCancelled, "the request was cancelled while it was queued");
  }
  if (!*waiter->outcome) co_return waiter->outcome->error();
  this->waiters.erase(id);
  co_return Slot(self, id);
}

void AdmissionGateImpl::RemoveWaiter(AdmissionId id) {
  const std::lock_guard lock(this->mutex);
  if (this->waiters.erase(id) == 0) return;
  if (this->queue.Cancel(id)) return;
  this->queue.Finish(id, false, Clock::now());
}

void AdmissionGateImpl::Finish(AdmissionId id, bool served) {
  const std::lock_guard lock(this->mutex);
  this->queue.Finish(id, served, Clock::now());
  this->StartWaitingLocked();
}

void AdmissionGateImpl::StartWaiting() {
  const std::lock_guard lock(this->mutex);
  this->StartWaitingLocked();
}

void AdmissionGateImpl::CompleteWaiter(AdmissionId id, Result<void> outcome) {
  Waiter& waiter = *this->waiters.at(id);
  waiter.outcome = std::move(outcome);
  waiter.wakeup.try_send(boost::system::error_code());
}

void AdmissionGateImpl::StartWaitingLocked() {
  const TimePoint now = Clock::now();
  for (AdmissionId id : this->queue.Expire(now)) {
    this->CompleteWaiter(id, NotRun(ErrorCode::kDeadlineExceeded,
                                    "the request cannot be served before its deadline"));
  }
  std::set<std::string> blocked_lanes;
  while (auto id = this->queue.Next(blocked_lanes, now)) {
    const Waiter& waiter = *this->waiters.at(*id);
    const Capacity capacity = waiter.try_start();
    if (capacity == Capacity::kAcquired) {
      this->queue.Start(*id, now);
      this->CompleteWaiter(*id, success());
    } else if (capacity == Capacity::kNoUpstream && waiter.no_upstream_deadline <= now) {
      this->queue.Cancel(*id);
      this->CompleteWaiter(*id,
                           NotRun(ErrorCode::kUnavailable, "no upstream can take the request"));
    } else {
      blocked_lanes.insert(this->queue.LaneOf(*id));
    }
  }
  this->StartTimer();
}

void AdmissionGateImpl::StartTimer() {
  if (this->timer_running || this->queue.queued() == 0) return;
  this->timer_running = true;
  this->timer.expires_after(kStartInterval);
  this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code) {
    auto self = std::static_pointer_cast<AdmissionGateImpl>(weak.lock());
    if (!self) return;
    const std::lock_guard lock(self->mutex);
    self->timer_running = false;
    self->StartWaitingLocked();
  });
}

}  // namespace

AdmissionGate::Slot& AdmissionGate::Slot::operator=(Slot&& other) noexcept {
  if (this == &other) return *this;
  this->Release();
  this->gate = std::move(other.gate);
  this->id = other.id;
  this->served = other.served;
  return *this;
}

AdmissionGate::Slot::~Slot() { this->Release(); }

void AdmissionGate::Slot::Release() {
  if (!this->gate) return;
  this->gate->Finish(this->id, this->served);
  this->gate.reset();
}

std::shared_ptr<AdmissionGate> AdmissionGate::Create(const boost::asio::any_io_executor& executor,
                                                     AdmissionOptions options) {
  return std::make_shared<AdmissionGateImpl>(executor, options);
}

}  // namespace limpetfall
