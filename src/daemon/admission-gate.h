#ifndef LIMPETFALL_DAEMON_ADMISSION_GATE_H_
#define LIMPETFALL_DAEMON_ADMISSION_GATE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/admission.h"

namespace limpetfall {

/**
 * Suspends coroutines until an `AdmissionQueue` admits their requests. Thread-safe. A coroutine
 * that is cancelled or destroyed while it waits is removed from the queue.
 */
class AdmissionGate : public std::enable_shared_from_this<AdmissionGate> {
 public:
  /** Admission of one request. Its destruction ends the request and starts waiting ones. */
  class Slot {
   public:
    Slot() = default;
    Slot(std::shared_ptr<AdmissionGate> gate, AdmissionId id) : gate(std::move(gate)), id(id) {}
    Slot(Slot&& other) noexcept = default;
    Slot& operator=(Slot&& other) noexcept;
    ~Slot();

    /** Marks the request as served, so that its duration counts for the service rate. */
    void MarkServed() { this->served = true; }

   private:
    void Release();

    std::shared_ptr<AdmissionGate> gate;
    AdmissionId id = 0;
    bool served = false;
  };

  enum class Capacity {
    kAcquired,    ///< The request has acquired its capacity.
    kFull,        ///< All upstreams are at their limit.
    kNoUpstream,  ///< No upstream accepts the request at all.
  };

  static Capacity CapacityFromError(const Error& error) {
    return error.code == ErrorCode::kUnavailable ? Capacity::kNoUpstream : Capacity::kFull;
  }

  /**
   * Acquires the capacity that a request needs. Called under the lock of the gate, from any
   * thread, until it returns `kAcquired` or the waiting coroutine resumes.
   */
  using TryStart = std::function<Capacity()>;

  static std::shared_ptr<AdmissionGate> Create(const boost::asio::any_io_executor& executor,
                                               AdmissionOptions options);

  virtual ~AdmissionGate() = default;

  /** Waits until the queue selects `request` and `try_start` succeeds. */
  virtual boost::asio::awaitable<Result<Slot>> Wait(AdmissionRequest request,
                                                    TryStart try_start) = 0;

  /** Starts the waiting requests that can start now. Called when capacity may be available. */
  virtual void StartWaiting() = 0;

  virtual void SetTeams(const std::vector<TeamSpec>& specs) = 0;
  virtual void OnDemand(const TeamDemand& demand, Deadline expires) = 0;
  [[nodiscard]] virtual std::vector<TeamDemand> Demand(const NodeId& self) const = 0;
  [[nodiscard]] virtual std::size_t queued() const = 0;

 private:
  virtual void Finish(AdmissionId id, bool served) = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_DAEMON_ADMISSION_GATE_H_
