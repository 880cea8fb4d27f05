#ifndef LIMPETFALL_DAEMON_ORDER_RUNNER_H_
#define LIMPETFALL_DAEMON_ORDER_RUNNER_H_

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <concepts>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/pause.h"
#include "core/order-claims.h"
#include "core/request.h"
#include "limpetfall/result.h"
#include "platform/store.h"

namespace limpetfall {

struct OrderRunnerOptions {
  NodeId node;
  /// Returns whether another node is considered running; if empty, all nodes are.
  std::function<bool(const NodeId&)> node_is_running;
  Milliseconds claim_timeout{3000};   ///< An order that cannot be claimed by then is refused.
  Milliseconds record_timeout{1000};  ///< Longest wait of the caller for the write of its outcome.
  Milliseconds initial_pause{50};     ///< Between reads of another attempt's claim; doubles.
  Milliseconds max_pause{500};
  Milliseconds max_retry_pause{30000};  ///< Between background writes of an outcome.
};

template <typename T>
concept OrderDispatch = requires(T& dispatch, ServiceCall call) {
  { dispatch(call) } -> std::same_as<boost::asio::awaitable<Result<ServiceAnswer>>>;
};

namespace detail {

/** Attempts of this node whose outcome is not yet recorded in the store. Thread-safe. */
class AttemptTable {
 public:
  /** Adds an attempt under a new name. */
  std::string Start(const NodeId& node);

  /** Records that the attempt will certainly not be dispatched. */
  void Abandon(const std::string& attempt);

  void Finish(const std::string& attempt);
  [[nodiscard]] HolderState StateOf(const std::string& attempt) const;
  [[nodiscard]] std::size_t size() const;

 private:
  mutable std::mutex mutex;
  std::set<std::string> running;
  std::set<std::string> abandoned;
};

/** Removes an attempt from the table unless it is kept for a background write. */
class AttemptGuard {
 public:
  AttemptGuard(AttemptTable& attempts, std::string attempt)
      : table(attempts), name(std::move(attempt)) {}
  ~AttemptGuard() {
    if (!this->kept_for_background) this->table.Finish(this->name);
  }
  AttemptGuard(const AttemptGuard&) = delete;
  AttemptGuard& operator=(const AttemptGuard&) = delete;

  void KeepForBackground() { this->kept_for_background = true; }
  [[nodiscard]] const std::string& attempt() const { return this->name; }

 private:
  AttemptTable& table;
  std::string name;
  bool kept_for_background = false;
};

}  // namespace detail

/**
 * Runs calls that must not run twice. An order is claimed in the store before its first byte is
 * sent, dispatched by the attempt that holds the claim, and its outcome is recorded in the claim.
 * Thread-safe.
 *
 * An order continues when its caller disconnects: the caller's cancellation does not reach the
 * dispatch.
 *
 *     auto runner = OrderRunner<EtcdStore, Dispatch>::Create(store, dispatch, {node});
 *     auto answer = co_await runner->Run(call);
 */
template <Store S, OrderDispatch D>
class OrderRunner : public std::enable_shared_from_this<OrderRunner<S, D>> {
 public:
  static std::shared_ptr<OrderRunner> Create(std::shared_ptr<S> store, D dispatch,
                                             OrderRunnerOptions options) {
    return std::shared_ptr<OrderRunner>(
        new OrderRunner(std::move(store), std::move(dispatch), std::move(options)));
  }

  /**
   * Runs the order, or returns the recorded outcome of an earlier attempt. A call without a key is
   * dispatched once without a claim. `kConflict` means that the key was used with another request
   * (422).
   */
  boost::asio::awaitable<Result<ServiceAnswer>> Run(ServiceCall call) {
    if (call.idempotency_key.empty()) return this->dispatch(std::move(call));
    return RunDetached(this->shared_from_this(), std::move(call));
  }

  /** Returns how many attempts run or have an outcome that is not yet recorded in the store. */
  [[nodiscard]] std::size_t unsettled() const { return this->attempts.size(); }

 private:
  using Self = std::shared_ptr<OrderRunner>;

  /** The claim that an attempt holds, or the reply that it found instead. */
  struct HeldClaim {
    std::int64_t revision = 0;
    std::optional<Result<ServiceAnswer>> reply;
  };

  /** State of claiming one order. */
  struct ClaimProgress {
    std::string key;
    OrderClaim own;
    std::string value;
    Deadline claim_by;
    Deadline answer_by;
    std::int64_t expected = 0;  ///< Revision that the claim replaces; 0 when there is none.
    bool first_attempt = false;
    bool may_be_written = false;
  };

  // A call cannot outlive its claim, however late its caller's deadline is.
  static constexpr std::chrono::hours kMaxOrderDuration{1};

  OrderRunner(std::shared_ptr<S> platform, D dispatch_function, OrderRunnerOptions settings)
      : store(std::move(platform)),
        dispatch(std::move(dispatch_function)),
        options(std::move(settings)) {}

  // Runs the order as a separate coroutine, which does not end with its caller.
  static boost::asio::awaitable<Result<ServiceAnswer>> RunDetached(Self self, ServiceCall call) {
    auto key = ClaimKey(call.service, call.idempotency_key);
    if (!key) co_return std::move(key).error();
    const auto executor = co_await boost::asio::this_coro::executor;
    auto answer = std::make_shared<std::optional<Result<ServiceAnswer>>>();
    auto order = RunInto(answer, std::move(self), std::move(call), std::move(key).value());
    // With an empty slot, the caller's cancellation does not reach the order.
    auto token = boost::asio::bind_cancellation_slot(boost::asio::cancellation_slot(),
                                                     boost::asio::use_awaitable);
    co_await boost::asio::co_spawn(executor, std::move(order), token);
    co_return std::move(*answer).value();
  }

  // The result of a spawned coroutine must have a default value, which a `Result` does not have.
  static boost::asio::awaitable<void> RunInto(
      std::shared_ptr<std::optional<Result<ServiceAnswer>>> answer, Self self, ServiceCall call,
      std::string key) {
    *answer = co_await RunOrder(self, call, key);
  }

  static boost::asio::awaitable<Result<ServiceAnswer>> RunOrder(Self self, ServiceCall call,
                                                                std::string key) {
    const boost::asio::any_io_executor executor = co_await boost::asio::this_coro::executor;
    const TimePoint start = Clock::now();
    call.deadline = std::min<Deadline>(call.deadline, start + kMaxOrderDuration);
    detail::AttemptGuard guard(self->attempts, self->attempts.Start(self->options.node));
    ClaimProgress progress;
    progress.key = std::move(key);
    progress.own = NewClaim(call, self->options.node, guard.attempt());
    progress.value = SerializeClaim(progress.own);
    progress.claim_by = std::min(call.deadline, start + self->options.claim_timeout);
    progress.answer_by = call.deadline;
    progress.first_attempt = call.first_attempt;

    const HeldClaim claimed = co_await self->Claim(progress);
    if (claimed.reply) {
      if (progress.may_be_written) {
        self->attempts.Abandon(guard.attempt());
        ReplaceClaimLater(self, progress.key, ReleasedClaim(progress.own), progress.expected, guard,
                          executor);
      }
      co_return *claimed.reply;
    }
    if (Clock::now() >= call.deadline) {
      self->attempts.Abandon(guard.attempt());
      ReplaceClaimLater(self, progress.key, ReleasedClaim(progress.own), claimed.revision, guard,
                        executor);
      co_return NotRun(ErrorCode::kDeadlineExceeded, "the order was claimed too late to run");
    }
    auto result = co_await self->Dispatch(std::move(call));
    OrderClaim settled = ClaimWithOutcome(progress.own, result);
    if (settled.state == ClaimState::kReleased) self->attempts.Abandon(guard.attempt());
    const Deadline record_by = Clock::now() + self->options.record_timeout;
    const bool recorded =
        co_await self->ReplaceClaim(progress.key, settled, claimed.revision, record_by);
    if (!recorded) {
      ReplaceClaimLater(self, progress.key, std::move(settled), claimed.revision, guard, executor);
    }
    co_return result;
  }

  // Writes the claim until the store confirms it for this attempt or returns another claim. After a
  // lost reply the same write is sent again, and its outcome shows the current claim.
  boost::asio::awaitable<HeldClaim> Claim(ClaimProgress& progress) {
    for (;;) {
      const Deadline write_by = progress.claim_by;
      if (Clock::now() >= write_by) {
        const Error late = NotRun(ErrorCode::kDeadlineExceeded, "the deadline has passed");
        co_return RefuseClaim(progress, late);
      }
      auto outcome = co_await this->store->Swap(progress.key, progress.value, progress.expected,
                                                kClaimLeaseSeconds, write_by);
      if (!outcome) {
        if (outcome.error().verdict != Verdict::kNotRun) progress.may_be_written = true;
        const TimePoint next = Clock::now() + this->options.initial_pause;
        // Without a write that may be under way there is nothing to wait for.
        if (!progress.may_be_written || next >= progress.claim_by) {
          co_return RefuseClaim(progress, outcome.error());
        }
        co_await detail::PauseUntil(next);
        continue;
      }
      // The store has answered, so every write of this attempt so far has run or never will.
      progress.may_be_written = false;
      if (outcome.value().written) co_return HeldClaim{outcome.value().revision, std::nullopt};
      auto claimed =
          co_await this->ResolveExistingClaim(progress, std::move(outcome).value().current);
      if (claimed) co_return std::move(*claimed);
    }
  }

  // Without the claim, it is unknown whether an earlier attempt with this key has run.
  static HeldClaim RefuseClaim(const ClaimProgress& progress, const Error& error) {
    const ErrorCode code =
        error.code == ErrorCode::kDeadlineExceeded ? error.code : ErrorCode::kUnavailable;
    const Verdict verdict = progress.first_attempt ? Verdict::kNotRun : Verdict::kMayHaveRun;
    return {0, Error{code, "the order could not be claimed: " + error.message, verdict}};
  }

  // Resolves a claim that already exists in the store. Returns nothing when the claim is to be
  // written again, with `progress.expected` set to the revision that it replaces.
  boost::asio::awaitable<std::optional<HeldClaim>> ResolveExistingClaim(
      ClaimProgress& progress, std::optional<StoredValue> found) {
    Milliseconds pause = this->options.initial_pause;
    std::int64_t reread_revision = 0;  // Revision read again after its holder had stopped.
    for (;;) {
      if (!found) {
        PrepareNewClaim(progress, 0);
        co_return std::nullopt;
      }
      auto claim = ParseClaim(found->value);
      if (!claim) co_return HeldClaim{0, std::move(claim).error()};
      const HolderState holder = this->HolderStateOf(claim.value());
      ClaimDecision decision = DecideClaim(progress.own, claim.value(), holder);
      if (decision.action == ClaimAction::kDispatch)
        co_return HeldClaim{found->revision, std::nullopt};
      if (decision.action == ClaimAction::kTakeOver) {
        PrepareNewClaim(progress, found->revision);
        co_return std::nullopt;
      }
      // The holder may have recorded its outcome between the read and the check of its state.
      const bool settled = claim.value().state != ClaimState::kClaimed;
      const bool read_again = decision.action == ClaimAction::kReply && !settled &&
                              claim.value().digest == progress.own.digest &&
                              reread_revision != found->revision;
      if (decision.action == ClaimAction::kReply && !read_again) {
        co_return HeldClaim{0, std::move(decision.reply)};
      }
      if (read_again) {
        reread_revision = found->revision;
      } else {
        const TimePoint next = Clock::now() + pause;
        pause = std::min(pause * 2, this->options.max_pause);
        if (next >= progress.answer_by) co_return HeldClaim{0, StillRunningError()};
        co_await detail::PauseUntil(next);
      }
      auto read = co_await this->store->Get(progress.key, progress.answer_by);
      if (read) found = std::move(read).value();
    }
  }

  void PrepareNewClaim(ClaimProgress& progress, std::int64_t expected) const {
    progress.expected = expected;
    progress.claim_by = std::min(progress.answer_by, Clock::now() + this->options.claim_timeout);
  }

  static Result<ServiceAnswer> StillRunningError() {
    return MayHaveRun(ErrorCode::kDeadlineExceeded,
                      "another attempt of this order is still running");
  }

  HolderState HolderStateOf(const OrderClaim& claim) const {
    if (claim.node == this->options.node) return this->attempts.StateOf(claim.attempt);
    const bool is_running =
        !this->options.node_is_running || this->options.node_is_running(claim.node);
    return is_running ? HolderState::kRunning : HolderState::kLost;
  }

  boost::asio::awaitable<Result<ServiceAnswer>> Dispatch(ServiceCall call) {
    Result<ServiceAnswer> result = MayHaveRun(ErrorCode::kInternal, "the dispatch failed");
    try {
      result = co_await this->dispatch(std::move(call));
    } catch (const std::exception& error) {
      result = MayHaveRun(ErrorCode::kInternal, error.what());
    }
    co_return result;
  }

  // Replaces the claim of this attempt by `claim`; returns whether that is done or no longer
  // needed. The old claim has the revision `expected`, or its write is still under way and would
  // replace that revision; then this write precedes it.
  boost::asio::awaitable<bool> ReplaceClaim(std::string key, OrderClaim claim,
                                            std::int64_t expected, Deadline deadline) {
    const std::string value = SerializeClaim(claim);
    Milliseconds pause = this->options.initial_pause;
    while (Clock::now() < deadline) {
      auto outcome = co_await this->store->Swap(key, value, expected, kClaimLeaseSeconds, deadline);
      if (outcome && outcome.value().written) co_return true;
      if (outcome) {
        const auto& current = outcome.value().current;
        if (!current) co_return true;
        const auto stored = ParseClaim(current->value);
        if (!stored || stored.value().attempt != claim.attempt) co_return true;
        if (stored.value().state != ClaimState::kClaimed) co_return true;
        expected = current->revision;
        continue;
      }
      const TimePoint next = Clock::now() + pause;
      pause = std::min(pause * 2, this->options.max_retry_pause);
      co_await detail::PauseUntil(std::min<TimePoint>(next, deadline));
    }
    co_return false;
  }

  // Replaces the claim while the caller does not wait. The attempt stays in the table until then.
  static void ReplaceClaimLater(Self self, std::string key, OrderClaim claim, std::int64_t expected,
                                detail::AttemptGuard& guard,
                                boost::asio::any_io_executor executor) {
    guard.KeepForBackground();
    boost::asio::co_spawn(
        executor, ReplaceClaimInBackground(self, std::move(key), std::move(claim), expected),
        boost::asio::detached);
  }

  static boost::asio::awaitable<void> ReplaceClaimInBackground(Self self, std::string key,
                                                               OrderClaim claim,
                                                               std::int64_t expected) {
    const detail::AttemptGuard guard(self->attempts, claim.attempt);
    const Deadline claim_ends = Clock::now() + std::chrono::seconds(kClaimLeaseSeconds);
    co_await self->ReplaceClaim(key, claim, expected, claim_ends);
  }

  std::shared_ptr<S> store;
  D dispatch;
  OrderRunnerOptions options;
  detail::AttemptTable attempts;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_DAEMON_ORDER_RUNNER_H_
