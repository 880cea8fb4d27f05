#ifndef LIMPETFALL_GATEWAY_RELAY_H_
#define LIMPETFALL_GATEWAY_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "base/boot-clock.h"
#include "base/log-rate-limit.h"
#include "base/metrics.h"
#include "core/admission.h"
#include "core/buffer-budget.h"
#include "core/crash-attribution.h"
#include "core/demand-meter.h"
#include "core/dispatch.h"
#include "core/engine-load.h"
#include "core/gateway-config.h"
#include "core/shared-retry-budget.h"
#include "core/start-limit.h"
#include "core/stop-admission.h"
#include "gateway/http-connection.h"
#include "http/server.h"

namespace limpetfall {

/** Names of the headers that the relay reads and sets. The deployment's adapter supplies them. */
struct RelayHeaders {
  std::string request_id;
  std::string deadline_ms;  ///< Remaining time of the request, in milliseconds.
  std::string key;          ///< The caller's key; never forwarded.
  std::string team;         ///< Set by the relay; a value sent by the caller is discarded.
  std::string model;
  std::string upstream_id;  ///< Upstream that must run the request; another one refuses it.
  std::string not_run;      ///< In a response: the upstream has not run the request.
  std::string digest;       ///< In a response: digest that signs the body.
  std::string last_event_id;
  std::string leaving;      ///< In a response: the upstream leaves and wants no further requests.
  std::string rate_limit;   ///< In a response: requests per second that the upstream takes.
  std::string retry_after;  ///< In a refusal: seconds for which the upstream wants no requests.

  friend bool operator==(const RelayHeaders&, const RelayHeaders&) = default;
};

struct RelayOptions {
  RelayHeaders headers;
  /** Returns the parts of a request's prompt that other requests may share. Absent: none. */
  std::function<std::vector<std::string>(const Headers&)> shared_prompt_parts;
  /** Returns the numbers of tokens that a request states. Absent: none. */
  std::function<TokenCounts(const Headers&)> stated_tokens;
  /** A key is refused when the configuration was last confirmed longer ago than this. */
  Milliseconds key_proof_lifetime{4000};
  bool strict_keys = true;
  RetryBudgetOptions retry_budget;
  BufferBudgetOptions response_buffers;
  /** Connect timeout for an upstream in the same region. When it passes, the upstream is lost. */
  Milliseconds connect_timeout{400};
  /**
   * A group has lost a member when none of its streams receives bytes for the route's gap objective
   * plus this margin.
   */
  Milliseconds group_stall_margin{100};
  /**
   * Maximum time without bytes before the first event, while no other request of the group receives
   * bytes either.
   */
  Milliseconds first_event_timeout{900};
  /**
   * A stream without bytes for this long moves to another upstream. Callers abandon a stream after
   * two seconds without bytes.
   */
  Milliseconds stream_silence_timeout{1500};
  /** An idempotent request moves to another upstream after this multiple of its objective. */
  double idempotent_timeout_factor = 1.2;
};

/** The routes in force, with the time of their last confirmation. */
struct RelayContext {
  std::shared_ptr<const RouteTable> routes;  ///< Null before the first configuration.
  BootTime confirmed;  ///< Latest time at which `routes` is proven to have been in force.
};

/**
 * Forwards requests to upstreams and responses to callers. Requests for a model wait for a free
 * slot of a group. An interrupted response is requested again as far as the route allows. Runs on
 * one thread.
 */
class Relay {
 public:
  Relay(boost::asio::io_context& context, RelayOptions settings, DispatchTable& dispatch,
        ConnectionPool& connections, CrashAttribution& crash_attribution,
        std::shared_ptr<Metrics> counters);

  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  /** Sets the configuration and the time at which it was confirmed. */
  void SetContext(RelayContext context) { this->context = std::move(context); }

  /** Sets the share of the common retry slack that this node may use. */
  void SetRetryShare(double share) { this->budget.SetSlackFraction(share); }

  /** Dispatches waiting requests. Called when an upstream may have become free. */
  void DispatchWaiting();

  /** Ends waiting requests that can no longer start in time. */
  void ExpireWaiting();

  /** Ends the waiting requests that no upstream can serve any more. Called after upstreams were
   * excluded. */
  void CancelUnservable();

  /** Logs quarantines that begin, and ends the waiting requests that they refuse. */
  void OnQuarantined(const std::vector<Quarantine>& added);

  /** From now on, refuses requests that may not end before `stop_by`. Until `estimate_until`, their
   * duration is estimated. */
  void BeginStop(Deadline estimate_until, Deadline stop_by);

  /** Ends all requests, because the process is about to end: with an error response, or by breaking
   * off a stream that has begun. */
  void EndCalls();

  /** Announces that the process ends now. Requests that are still handled are logged as unfinished.
   */
  void OnProcessEnd() { this->process_ends = true; }

  /** Returns how many slots the callers of this node would occupy concurrently, by model. */
  [[nodiscard]] std::map<ModelName, double> SlotDemand() {
    return this->demand.DemandedSlots(Clock::now());
  }

  [[nodiscard]] std::size_t waiting() const { return this->queue.queued(); }
  [[nodiscard]] std::size_t running() const { return this->queue.running(); }

 private:
  struct Call;
  struct UpstreamSlot;
  struct ParkedStream;
  struct Waiter;

  /** Lost attempts at an upstream while it is being found out whether it has ended. */
  struct Examination {
    std::vector<CrashReport> reports;
    boost::asio::steady_timer ended;  ///< Cancelled when the result is known.
  };

  enum class Outcome {
    kAnswered,            ///< The response was sent to the caller.
    kNotRun,              ///< The upstream was not reached or refused the request.
    kLost,                ///< The attempt failed and the request may have run.
    kUpstreamFailed,      ///< The upstream responded with a server error.
    kCallerDisconnected,  ///< The response could not be sent to the caller.
  };

  [[nodiscard]] static bool IsFinal(Outcome outcome) {
    return outcome == Outcome::kAnswered || outcome == Outcome::kCallerDisconnected;
  }

  /** Logs how the handling of a request has ended. */
  void LogEnd(const Call& call);

  [[nodiscard]] Result<void> PrepareCall(Call& call, const HttpRequest& request);
  /** Sets what may crash an upstream that runs the request. The team must be known. */
  void FindCauses(Call& call, const HttpRequest& request) const;
  [[nodiscard]] Result<void> Authenticate(Call& call, const HttpRequest& request);
  [[nodiscard]] const ServiceName& PickService(const Route& route);
  boost::asio::awaitable<Result<UpstreamSlot>> AcquireSlot(Call& call);
  boost::asio::awaitable<Result<std::shared_ptr<HttpConnection>>> ConnectTo(
      const UpstreamSlot& slot, const Call& call);

  /** Sends the request to the upstream of `slot` and relays the response. */
  boost::asio::awaitable<Outcome> AttemptOnce(Call& call, UpstreamSlot& slot,
                                              HttpExchange& exchange);
  boost::asio::awaitable<Outcome> RelayBuffered(Call& call, UpstreamSlot& slot,
                                                HttpExchange& exchange, ResponseHead head,
                                                Deadline respond_by);
  boost::asio::awaitable<Outcome> RelayStream(Call& call, UpstreamSlot& slot,
                                              HttpExchange& exchange, ResponseHead head);
  void WatchForStall(Call& call, UpstreamSlot& slot);

  /** Keeps the connection of a silent stream for `ResumeParkedStream`, if it can be resumed. */
  [[nodiscard]] bool ParkStream(Call& call, UpstreamSlot& slot);
  boost::asio::awaitable<Outcome> ResumeParkedStream(Call& call, HttpExchange& exchange);
  boost::asio::awaitable<void> RunAttempts(Call& call, HttpExchange& exchange);
  boost::asio::awaitable<void> RespondWithFailure(Call& call, HttpExchange& exchange);
  boost::asio::awaitable<void> Refuse(HttpExchange& exchange, int status, const Error& error,
                                      double retry_after_s);
  [[nodiscard]] HttpRequest UpstreamRequest(const Call& call, const HttpRequest& request,
                                            const UpstreamSlot& slot) const;
  [[nodiscard]] bool MayRetry(Call& call, Outcome outcome);
  [[nodiscard]] double RetryAfter(const Call& call);

  /** Returns whether a request that is sent now ends before the process does. */
  [[nodiscard]] bool EndsBeforeStop(const Call& call, TimePoint now) const;

  /** Returns the error of a request that must not be sent: it is quarantined, or the process may
   * end before the response. */
  [[nodiscard]] Result<void> CheckAllowed(const Call& call) const;

  /** Ends the waiting requests that must no longer be sent. */
  void CancelDisallowed();

  /** Records that the current attempt has outlived the time in which it would have crashed its
   * upstream. */
  void OnHarmless(Call& call);

  /** Finds out whether the upstream of a lost attempt has ended, and reports a crash if so. */
  void ExamineLoss(const Call& call, const UpstreamSlot& slot);
  boost::asio::awaitable<void> CheckUpstreamEnded(std::string address, VmId upstream,
                                                  std::uint64_t boot);

  /** Waits until it is known whether the upstream has ended, if the request is suspected of having
   * crashed others. Its retry could crash the next one. */
  boost::asio::awaitable<void> AwaitExamination(const Call& call, std::uint64_t boot);

  /** Takes note of what an upstream says of itself in a response to any request. */
  void ObeyUpstream(const Call& call, const UpstreamSlot& slot, const ResponseHead& head);

  /** Takes note of the rate limit that a response states, or that it states none. */
  void ObeyRateLimit(const Call& call, const UpstreamSlot& slot, const ResponseHead& head,
                     TimePoint now);

  /** Counts and logs a failed attempt. */
  void ReportUpstreamFailure(const Call& call, const UpstreamSlot& slot, const char* what,
                             const std::string& detail);

  /** Records that an attempt failed with `call.error`. Later dispatching takes it into account. */
  void RecordUpstreamFault(const Call& call, const UpstreamSlot& slot, const char* what,
                           UpstreamFault fault);

  boost::asio::io_context& io;
  RelayOptions options;
  DispatchTable& table;
  ConnectionPool& pool;
  CrashAttribution& crashes;
  std::shared_ptr<Metrics> metrics;
  RelayContext context;
  SharedRetryBudget budget;
  BufferBudget response_buffers;
  LogRateLimit oversized_log_limit;
  LogRateLimit invalid_limit_log;
  AdmissionQueue queue;
  DemandMeter demand;
  StartDeadlinePolicy start_policy;
  CallerRetryDetector retry_detector;
  StopAdmission stop_admission;
  std::set<Call*> calls;     ///< Requests that are being handled.
  bool calls_ended = false;  ///< `EndCalls` was called.
  bool process_ends = false;
  std::unordered_map<AdmissionId, Waiter*> waiters;
  std::map<std::uint64_t, std::shared_ptr<Examination>> examinations;  ///< By upstream boot.
  std::mt19937_64 random;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_RELAY_H_
