#ifndef LIMPETFALL_DAEMON_DISPATCHER_H_
#define LIMPETFALL_DAEMON_DISPATCHER_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "core/quarantine.h"
#include "core/request.h"
#include "core/routing.h"
#include "daemon/admission-gate.h"
#include "daemon/confirmed-prefix.h"
#include "daemon/request-plan.h"
#include "daemon/service-caller.h"
#include "upstream/completion.h"

namespace limpetfall {

/** Starts a completion on a group; `OpenCompletion` bound to a client models it. */
template <typename T>
concept TokenOpener = requires(T& opener, GroupSummary group, CompletionRequest request,
                               std::vector<std::string> resume_tokens, Deadline deadline) {
  {
    opener.Open(group, request, resume_tokens, deadline)
    } -> std::same_as<boost::asio::awaitable<Result<std::unique_ptr<TokenStream>>>>;
};

/** Sends a suspect mark to all nodes; returns when all have acknowledged it or at `deadline`. */
template <typename T>
concept MarkPusher = requires(T& pusher, SharedEntry entry, Deadline deadline) {
  { pusher.Push(entry, deadline) } -> std::same_as<boost::asio::awaitable<void>>;
};

/** Runs a non-idempotent call with a key at most once. */
template <typename T>
concept OrderExecutor = requires(T& runner, ServiceCall call) {
  { runner.Run(call) } -> std::same_as<boost::asio::awaitable<Result<ServiceAnswer>>>;
};

/** Source of the time; replaced in tests. */
template <typename T>
concept TimeSource = requires(T& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

struct SteadyTime {
  static TimePoint Now() { return Clock::now(); }
};

struct DispatcherOptions {
  Milliseconds first_token_timeout{10000};
  Milliseconds token_timeout{3000};
  Milliseconds release_timeout{2000};
  Milliseconds round_interval{1000};
  Milliseconds mark_timeout{500};        ///< Longest wait for acknowledgement of a suspect mark.
  Milliseconds loss_check_timeout{500};  ///< Longest check whether a failed group is complete.
  Milliseconds suspend_time{1000};       ///< Gate of a lost group stays closed for this time.
  Milliseconds refusal_suspend_time{
      250};                            ///< Gate of a group that refused stays closed for this time.
  Milliseconds max_queue_wait{10000};  ///< After this a request is refused with `kNotRun`.
  int max_attempts = 4;
};

/** Dependencies of a dispatcher, all shared with the rest of the node. */
template <typename Config, typename Opener, typename Check, typename Pusher, typename Orders,
          typename Upstream>
struct DispatcherParts {
  boost::asio::any_io_executor executor;
  std::shared_ptr<Config> config;
  std::shared_ptr<Opener> opener;
  std::shared_ptr<Check> check;
  std::shared_ptr<Pusher> pusher;
  std::shared_ptr<Orders> orders;
  std::shared_ptr<ServiceCaller<Config, Upstream>> services;
  std::shared_ptr<GroupTable> groups;
  std::shared_ptr<QuarantineTable> quarantine;
  std::shared_ptr<AdmissionGate> gate;
  std::shared_ptr<NodeRetryBudget> retries;
  std::shared_ptr<Metrics> metrics;
  std::function<AddressList(const ZoneId&)> addresses;
};

/**
 * Dispatches requests of callers to upstreams. The steps are configuration lookup, quarantine,
 * admission, gate and routing, upstream, and release check. Models `RequestBackend`. Owned by a
 * `shared_ptr`, because checks of an abandoned request outlive the request.
 */
template <ConfigSource Config, TokenOpener Opener, GroupConfirmer Check, MarkPusher Pusher,
          OrderExecutor Orders, ServiceUpstreamCall Upstream, TimeSource Time = SteadyTime>
class Dispatcher : public std::enable_shared_from_this<
                       Dispatcher<Config, Opener, Check, Pusher, Orders, Upstream, Time>> {
 public:
  using Parts = DispatcherParts<Config, Opener, Check, Pusher, Orders, Upstream>;

  static std::shared_ptr<Dispatcher> Create(Parts parts, DispatcherOptions options,
                                            Time time = Time()) {
    return std::shared_ptr<Dispatcher>(new Dispatcher(std::move(parts), options, std::move(time)));
  }

  boost::asio::awaitable<Result<void>> Complete(const CompletionRequest& request,
                                                CompletionSink& sink);
  boost::asio::awaitable<Result<ServiceAnswer>> CallService(const ServiceCall& call);

  AddressList Addresses(const ZoneId& zone) { return this->parts.addresses(zone); }
  bool AcceptsWork() { return !this->stopped && this->parts.config->Current() != nullptr; }

  ConfigVersion ActiveConfig() {
    const auto document = this->parts.config->Current();
    return document ? document->version : 0;
  }

  /** Refuses new requests from now on; requests in flight continue. */
  void StopNewWork() { this->stopped = true; }

  /** Returns the requests that have not been answered. */
  [[nodiscard]] int in_flight() const { return this->running; }

 private:
  struct RunningCount {
    explicit RunningCount(std::atomic<int>& count) : count(count) { ++this->count; }
    RunningCount(const RunningCount&) = delete;
    RunningCount& operator=(const RunningCount&) = delete;
    ~RunningCount() { --this->count; }

    std::atomic<int>& count;
  };

  /** One completion over all its attempts. */
  struct Run {
    CompletionRequest request;
    CompletionPlan plan;
    ConfigVersion version = 0;
    double retry_share = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t prefix_hash = 0;
    TimePoint started;
    CompletionSink* sink = nullptr;
    std::vector<std::string> delivered;  ///< Tokens that the caller has received.
    std::size_t confirmed = 0;           ///< Tokens confirmed to be from complete groups.
    std::size_t arrived = 0;             ///< Tokens that the last attempt has produced or repeated.
    bool sink_started = false;
    bool may_have_run = false;
    std::vector<GroupKey> excluded;
    std::optional<SharedEntry> trial;  ///< Set while this run is the second run of a suspect.
  };

  /** Reason why an attempt failed, which decides whether it is retried. */
  enum class Cause {
    kAdmission,  ///< This node refused it.
    kRefused,    ///< The upstream certainly did not run it.
    kDeadline,   ///< The caller's deadline passed.
    kCaller,     ///< The caller disconnected.
    kUpstream,   ///< The upstream failed; its group may be complete.
    kGroupLost,  ///< The group lost a member.
    kMismatch,   ///< Another group generated tokens that differ from those already delivered.
  };

  struct AttemptError {
    Error error;
    Cause cause = Cause::kAdmission;
  };

  using AttemptResult = boost::outcome_v2::checked<void, AttemptError>;

  /**
   * Created when an attempt is dispatched. If the attempt is abandoned before `Dismiss`, for
   * example because the caller disconnects, a background check determines whether the group lost a
   * member.
   */
  class AbandonedAttemptCheck {
   public:
    AbandonedAttemptCheck(std::shared_ptr<Dispatcher> owner, GroupSummary group,
                          std::uint64_t fingerprint, std::optional<SharedEntry> trial)
        : owner(std::move(owner)),
          group(std::move(group)),
          fingerprint(fingerprint),
          trial(std::move(trial)) {}
    AbandonedAttemptCheck(const AbandonedAttemptCheck&) = delete;
    AbandonedAttemptCheck& operator=(const AbandonedAttemptCheck&) = delete;
    ~AbandonedAttemptCheck() {
      if (!this->owner) return;
      auto executor = this->owner->parts.executor;
      boost::asio::co_spawn(executor,
                            CheckAbandonedAttempt(std::move(this->owner), std::move(this->group),
                                                  this->fingerprint, std::move(this->trial)),
                            boost::asio::detached);
    }

    /** Cancels the check and returns the trial. */
    std::optional<SharedEntry> Dismiss() {
      this->owner.reset();
      return std::move(this->trial);
    }

   private:
    std::shared_ptr<Dispatcher> owner;
    GroupSummary group;
    std::uint64_t fingerprint;
    std::optional<SharedEntry> trial;
  };

  /** Abandons a claimed trial that never started, on every exit from a run. */
  struct TrialGuard {
    std::shared_ptr<Dispatcher> owner;
    Run& run;
    ~TrialGuard() {
      if (this->run.trial) this->owner->AbandonTrial(*this->run.trial);
    }
  };

  Dispatcher(Parts parts, DispatcherOptions options, Time time)
      : parts(std::move(parts)),
        options(options),
        time(std::move(time)),
        rounds(std::make_shared<ConfirmedPrefix<Check>>(this->parts.executor, this->parts.check,
                                                        options.round_interval,
                                                        options.release_timeout)) {}

  Result<Run> Prepare(const CompletionRequest& request, CompletionSink& sink);
  boost::asio::awaitable<Result<void>> RunToEnd(Run* run);
  boost::asio::awaitable<Result<void>> ClaimTrial(Run* run);
  boost::asio::awaitable<AttemptResult> Attempt(Run* run, bool is_retry);
  boost::asio::awaitable<AttemptResult> Stream(Run* run, GroupSummary group);
  boost::asio::awaitable<AttemptResult> Receive(Run* run, std::shared_ptr<TokenStream> stream,
                                                std::shared_ptr<StreamProgress> progress);
  boost::asio::awaitable<AttemptResult> Deliver(Run* run, std::size_t index, std::string token);
  boost::asio::awaitable<AttemptResult> CheckRelease(Run* run, GroupSummary group);
  boost::asio::awaitable<void> HandleFailure(Run* run, GroupSummary group, Cause cause,
                                             std::optional<SharedEntry> trial);
  boost::asio::awaitable<void> PushMark(SharedEntry entry);
  void PushInBackground(SharedEntry entry);
  void AbandonTrial(const SharedEntry& trial);

  static boost::asio::awaitable<void> CheckAbandonedAttempt(std::shared_ptr<Dispatcher> self,
                                                            GroupSummary group,
                                                            std::uint64_t fingerprint,
                                                            std::optional<SharedEntry> trial);
  static boost::asio::awaitable<void> RunPush(std::shared_ptr<Dispatcher> self, SharedEntry entry);
  static boost::asio::awaitable<void> WaitForFailedRound(std::shared_ptr<StreamProgress> progress);

  AdmissionRequest MakeAdmissionRequest(const Run& run, bool is_retry) const;
  AdmissionGate::Capacity TryAcquire(const Run& run, std::optional<GroupTicket>* ticket);
  bool MayRetry(const AttemptError& failure, const Run& run, int attempt);
  AttemptError Classify(const Error& error, const Run& run);
  void Report(const Run& run, const Result<void>& result);

  Parts parts;
  DispatcherOptions options;
  Time time;
  std::shared_ptr<ConfirmedPrefix<Check>> rounds;
  std::atomic<bool> stopped{false};
  std::atomic<int> running{0};
};

}  // namespace limpetfall

#include "daemon/dispatcher-impl.h"

#endif  // LIMPETFALL_DAEMON_DISPATCHER_H_
