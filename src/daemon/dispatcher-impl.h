#ifndef LIMPETFALL_DAEMON_DISPATCHER_IMPL_H_
#define LIMPETFALL_DAEMON_DISPATCHER_IMPL_H_

// Member functions of the templates of daemon/dispatcher.h, which includes this file.
#include "daemon/dispatcher.h"

#define LIMPETFALL_DISPATCHER_TEMPLATE                                                        \
  template <ConfigSource Config, TokenOpener Opener, GroupConfirmer Check, MarkPusher Pusher, \
            OrderExecutor Orders, ServiceUpstreamCall Upstream, TimeSource Time>
#define LIMPETFALL_DISPATCHER Dispatcher<Config, Opener, Check, Pusher, Orders, Upstream, Time>

namespace limpetfall {
namespace detail {

// An engine takes longer to generate a token than to read a prompt token.
constexpr double kPromptBytesPerCost = 64;

inline Labels TeamLabels(const TeamName& team, Priority priority) {
  return {{"team", team.value}, {"class", std::string(ToString(priority))}};
}

inline std::string LaneName(const CompletionRequest& request, const CompletionPlan& plan) {
  std::string lane = request.model.value + "/" + plan.version.value;
  for (const ZoneId& zone : plan.zones) lane += "/" + zone.value;
  return lane;
}

// A refused attempt does not change that an earlier attempt may have run.
inline Error WithEarlierVerdict(Error error, bool may_have_run) {
  if (may_have_run && error.verdict == Verdict::kNotRun) error.verdict = Verdict::kMayHaveRun;
  return error;
}

}  // namespace detail

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<Result<void>> LIMPETFALL_DISPATCHER::Complete(
    const CompletionRequest& request, CompletionSink& sink) {
  const auto self = this->shared_from_this();
  const RunningCount count(this->running);
  Result<Run> prepared = this->Prepare(request, sink);
  if (!prepared) {
    Log(LogLevel::kInfo, "completion_refused",
        {{"request_id", request.id.value}, {"error", prepared.error().message}});
    co_return std::move(prepared).error();
  }
  Run run = std::move(prepared).value();
  Result<void> result = co_await this->RunToEnd(&run);
  this->Report(run, result);
  co_return result;
}

LIMPETFALL_DISPATCHER_TEMPLATE
Result<typename LIMPETFALL_DISPATCHER::Run> LIMPETFALL_DISPATCHER::Prepare(
    const CompletionRequest& request, CompletionSink& sink) {
  if (this->stopped) return NotRun(ErrorCode::kUnavailable, "this node takes no new work");
  const std::shared_ptr<const VersionedDocument> document = this->parts.config->Current();
  if (!document) {
    return NotRun(ErrorCode::kUnavailable, "this node has no confirmed configuration");
  }
  BOOST_OUTCOME_TRY(auto plan, PlanCompletion(document->document, request));
  Run run;
  run.request = request;
  run.plan = std::move(plan);
  run.version = document->version;
  run.fingerprint = Fingerprint(request, run.plan.version);
  run.prefix_hash = PrefixHash(request.model, request.prompt);
  run.started = this->time.Now();
  run.sink = &sink;
  this->parts.retries->OnRequest(document->document.policy.retry_budget);
  return run;
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<Result<void>> LIMPETFALL_DISPATCHER::RunToEnd(Run* run) {
  const TrialGuard guard{this->shared_from_this(), *run};
  std::optional<Error> last_error;
  for (int attempt = 1;; ++attempt) {
    Result<void> claimed = co_await this->ClaimTrial(run);
    if (!claimed) {
      // After a failed attempt, its error is more specific than the one of the refused trial.
      co_return detail::WithEarlierVerdict(last_error.value_or(claimed.error()), run->may_have_run);
    }
    AttemptResult outcome = co_await this->Attempt(run, attempt > 1);
    if (outcome) break;
    const AttemptError failure = std::move(outcome).error();
    last_error = failure.error;
    run->may_have_run = run->may_have_run || failure.error.verdict != Verdict::kNotRun;
    if (!this->MayRetry(failure, *run, attempt)) {
      co_return detail::WithEarlierVerdict(failure.error, run->may_have_run);
    }
    this->parts.metrics->Add("completion_retries_total",
                             detail::TeamLabels(run->request.team, run->plan.priority));
    Log(LogLevel::kInfo, "completion_retried",
        {{"request_id", run->request.id.value},
         {"attempt", attempt},
         {"confirmed_tokens", run->confirmed},
         {"delivered_tokens", run->delivered.size()},
         {"error", failure.error.message}});
  }
  if (auto cleared = this->parts.quarantine->OnSuccess(run->fingerprint, this->time.Now())) {
    this->PushInBackground(*std::move(cleared));
  }
  if (run->sink_started) co_return success();
  // The caller receives the configuration version also for a completion without tokens.
  Result<void> started = co_await run->sink->OnStart(run->version);
  co_return started;
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<Result<void>> LIMPETFALL_DISPATCHER::ClaimTrial(Run* run) {
  if (run->trial) co_return success();
  const QuarantineStatus quarantine_status =
      this->parts.quarantine->Check(run->fingerprint, this->time.Now());
  if (quarantine_status == QuarantineStatus::kNone) co_return success();
  Result<SharedEntry> trial =
      this->parts.quarantine->BeginTrial(run->fingerprint, this->time.Now());
  if (!trial) co_return std::move(trial).error();
  run->trial = std::move(trial).value();
  const SharedEntry entry = *run->trial;
  co_await this->PushMark(entry);
  if (this->parts.quarantine->MayStartTrial(entry)) co_return success();
  run->trial.reset();
  co_return NotRun(ErrorCode::kQuarantined,
                   "another node runs this request after an upstream was lost while it ran it");
}

LIMPETFALL_DISPATCHER_TEMPLATE
AdmissionRequest LIMPETFALL_DISPATCHER::MakeAdmissionRequest(const Run& run, bool is_retry) const {
  const double cost = run.request.max_tokens +
                      static_cast<double>(run.request.prompt.size()) / detail::kPromptBytesPerCost;
  // Suspect requests wait for groups without another suspect, so they have a separate lane.
  const std::string lane = detail::LaneName(run.request, run.plan) + (run.trial ? "/suspect" : "");
  // Limits the wait in the queue, so that a caller that set no deadline is refused in time to try
  // another node.
  const Deadline start_by = this->time.Now() + this->options.max_queue_wait;
  return {run.request.team,     lane,     run.plan.priority, cost,
          run.request.deadline, is_retry, start_by};
}

LIMPETFALL_DISPATCHER_TEMPLATE
AdmissionGate::Capacity LIMPETFALL_DISPATCHER::TryAcquire(const Run& run,
                                                          std::optional<GroupTicket>* ticket) {
  RouteRequest route{
      run.request.model, run.plan.version, run.plan.zones,        run.excluded,
      run.prefix_hash,   run.fingerprint,  run.trial.has_value(), run.plan.max_in_flight_per_group};
  const TimePoint now = this->time.Now();
  Result<GroupTicket> acquired = this->parts.groups->Acquire(route, now);
  if (!acquired && acquired.error().code == ErrorCode::kUnavailable && !run.excluded.empty()) {
    // Only groups that have failed this request are left; their gates may have opened again.
    route.excluded.clear();
    acquired = this->parts.groups->Acquire(route, now);
  }
  if (!acquired) return AdmissionGate::CapacityFromError(acquired.error());
  ticket->emplace(std::move(acquired).value());
  return AdmissionGate::Capacity::kAcquired;
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<typename LIMPETFALL_DISPATCHER::AttemptResult>
LIMPETFALL_DISPATCHER::Attempt(Run* run, bool is_retry) {
  std::optional<GroupTicket> ticket;
  const AdmissionRequest admission_request = this->MakeAdmissionRequest(*run, is_retry);
  const AdmissionGate::TryStart try_start = [this, run, &ticket] {
    return this->TryAcquire(*run, &ticket);
  };
  Result<AdmissionGate::Slot> admitted =
      co_await this->parts.gate->Wait(admission_request, try_start);
  if (!admitted) co_return AttemptError{std::move(admitted).error(), Cause::kAdmission};
  // The ticket is released before the admission ends, so that the next request finds the capacity.
  AdmissionGate::Slot slot = std::move(admitted).value();
  const GroupTicket taken = std::move(ticket.value());
  ticket.reset();

  const GroupSummary& group = taken.group();
  AbandonedAttemptCheck abandoned_check(this->shared_from_this(), group, run->fingerprint,
                                        std::exchange(run->trial, std::nullopt));
  AttemptResult outcome = co_await this->Stream(run, group);
  if (outcome) {
    slot.MarkServed();
    abandoned_check.Dismiss();
    co_return outcome;
  }
  const AttemptError failure = outcome.error();
  run->excluded.push_back(limpetfall::KeyOf(group));
  if (failure.cause == Cause::kCaller || failure.cause == Cause::kMismatch) co_return failure;
  if (failure.cause == Cause::kRefused) {
    run->trial = abandoned_check.Dismiss();
    if (failure.error.code == ErrorCode::kUnavailable) {
      this->parts.groups->Suspend(group, this->time.Now() + this->options.refusal_suspend_time);
    }
    co_return failure;
  }
  std::optional<SharedEntry> trial = abandoned_check.Dismiss();
  co_await this->HandleFailure(run, group, failure.cause, std::move(trial));
  co_return failure;
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<typename LIMPETFALL_DISPATCHER::AttemptResult> LIMPETFALL_DISPATCHER::Stream(
    Run* run, GroupSummary group) {
  const Deadline first_token =
      std::min(run->request.deadline, this->time.Now() + this->options.first_token_timeout);
  const auto confirmed_end = run->delivered.begin() + static_cast<std::ptrdiff_t>(run->confirmed);
  const std::vector<std::string> resume_tokens(run->delivered.begin(), confirmed_end);
  run->arrived = run->confirmed;
  Result<std::unique_ptr<TokenStream>> opened =
      co_await this->parts.opener->Open(group, run->request, resume_tokens, first_token);
  if (!opened) co_return this->Classify(std::move(opened).error(), *run);
  std::shared_ptr<TokenStream> stream = std::move(opened).value();

  const boost::asio::any_io_executor executor = co_await boost::asio::this_coro::executor;
  auto progress = std::make_shared<StreamProgress>(executor);
  progress->arrived = run->confirmed;
  progress->confirmed = run->confirmed;
  const auto registration = this->rounds->Add(group, progress);
  AttemptResult received = co_await this->Receive(run, std::move(stream), progress);
  run->confirmed = progress->confirmed;
  run->arrived = progress->arrived;
  if (!received) co_return received;
  AttemptResult released = co_await this->CheckRelease(run, group);
  co_return released;
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<void> LIMPETFALL_DISPATCHER::WaitForFailedRound(
    std::shared_ptr<StreamProgress> progress) {
  co_await progress->round_failed.async_receive(boost::asio::as_tuple(boost::asio::use_awaitable));
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<typename LIMPETFALL_DISPATCHER::AttemptResult>
LIMPETFALL_DISPATCHER::Receive(Run* run, std::shared_ptr<TokenStream> stream,
                               std::shared_ptr<StreamProgress> progress) {
  using boost::asio::experimental::awaitable_operators::operator||;
  Milliseconds timeout = this->options.first_token_timeout;
  for (std::size_t index = run->confirmed;; ++index) {
    const Deadline deadline = std::min(run->request.deadline, this->time.Now() + timeout);
    auto next = stream->Next(deadline);
    auto round_failure = WaitForFailedRound(progress);
    std::variant<Result<std::optional<std::string>>, std::monostate> first =
        co_await (std::move(next) || std::move(round_failure));
    if (first.index() == 1) {
      co_return AttemptError{MayHaveRun(ErrorCode::kUpstreamLost, "the group lost a member"),
                             Cause::kGroupLost};
    }
    Result<std::optional<std::string>> token = std::get<0>(std::move(first));
    if (!token) co_return this->Classify(std::move(token).error(), *run);
    if (!token.value()) {
      if (index >= run->delivered.size()) co_return success();
      co_return AttemptError{MayHaveRun(ErrorCode::kUpstreamProtocol,
                                        "the resumed completion is shorter than what was sent"),
                             Cause::kMismatch};
    }
    progress->arrived = index + 1;
    AttemptResult delivered = co_await this->Deliver(run, index, std::move(token).value().value());
    if (!delivered) co_return delivered;
    timeout = this->options.token_timeout;
  }
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<typename LIMPETFALL_DISPATCHER::AttemptResult>
LIMPETFALL_DISPATCHER::Deliver(Run* run, std::size_t index, std::string token) {
  if (index < run->delivered.size()) {
    if (run->delivered[index] == token) co_return success();
    co_return AttemptError{MayHaveRun(ErrorCode::kUpstreamProtocol,
                                      "the resumed completion differs from what was sent"),
                           Cause::kMismatch};
  }
  if (!run->sink_started) {
    const std::chrono::duration<double> elapsed = this->time.Now() - run->started;
    this->parts.metrics->Observe("first_token_seconds",
                                 detail::TeamLabels(run->request.team, run->plan.priority),
                                 elapsed.count());
    Result<void> started = co_await run->sink->OnStart(run->version);
    if (!started) co_return AttemptError{std::move(started).error(), Cause::kCaller};
    run->sink_started = true;
  }
  Result<void> sent = co_await run->sink->OnToken(token);
  if (!sent) co_return AttemptError{std::move(sent).error(), Cause::kCaller};
  run->delivered.push_back(std::move(token));
  co_return success();
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<typename LIMPETFALL_DISPATCHER::AttemptResult>
LIMPETFALL_DISPATCHER::CheckRelease(Run* run, GroupSummary group) {
  const Deadline deadline =
      std::min(run->request.deadline, this->time.Now() + this->options.release_timeout);
  const Result<void> confirmation = co_await this->parts.check->Confirm(group, deadline);
  if (confirmation) co_return success();
  if (this->time.Now() >= run->request.deadline) {
    co_return AttemptError{
        MayHaveRun(ErrorCode::kDeadlineExceeded, "the group was not confirmed before the deadline"),
        Cause::kDeadline};
  }
  co_return AttemptError{MayHaveRun(ErrorCode::kUpstreamLost,
                                    "the group was incomplete: " + confirmation.error().message),
                         Cause::kGroupLost};
}

LIMPETFALL_DISPATCHER_TEMPLATE
typename LIMPETFALL_DISPATCHER::AttemptError LIMPETFALL_DISPATCHER::Classify(const Error& error,
                                                                             const Run& run) {
  if (error.verdict == Verdict::kNotRun) return {error, Cause::kRefused};
  if (this->time.Now() >= run.request.deadline) {
    return {MayHaveRun(ErrorCode::kDeadlineExceeded, "the deadline passed: " + error.message),
            Cause::kDeadline};
  }
  // A broken connection does not prove that a member was lost; the reports decide.
  if (error.code == ErrorCode::kCancelled) return {error, Cause::kCaller};
  return {error, Cause::kUpstream};
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<void> LIMPETFALL_DISPATCHER::HandleFailure(
    Run* run, GroupSummary group, Cause cause, std::optional<SharedEntry> trial) {
  if (cause != Cause::kGroupLost) {
    const Deadline deadline = this->time.Now() + this->options.loss_check_timeout;
    const Result<void> confirmation = co_await this->parts.check->Confirm(group, deadline);
    if (confirmation) {
      // The round began after the last token of this attempt had arrived.
      run->confirmed = run->arrived;
      if (trial) this->AbandonTrial(*trial);
      co_return;
    }
  }
  const TimePoint now = this->time.Now();
  this->parts.groups->Suspend(group, now + this->options.suspend_time);
  Log(LogLevel::kWarning, "group_lost_during_request",
      {{"request_id", run->request.id.value},
       {"group", group.group.value},
       {"generation", group.generation}});
  const SharedEntry mark = this->parts.quarantine->OnLoss(run->fingerprint, group, now);
  co_await this->PushMark(mark);
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<void> LIMPETFALL_DISPATCHER::PushMark(SharedEntry entry) {
  const Deadline deadline = this->time.Now() + this->options.mark_timeout;
  co_await this->parts.pusher->Push(entry, deadline);
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<void> LIMPETFALL_DISPATCHER::RunPush(std::shared_ptr<Dispatcher> self,
                                                            SharedEntry entry) {
  co_await self->PushMark(entry);
}

LIMPETFALL_DISPATCHER_TEMPLATE
void LIMPETFALL_DISPATCHER::PushInBackground(SharedEntry entry) {
  boost::asio::co_spawn(this->parts.executor, RunPush(this->shared_from_this(), std::move(entry)),
                        boost::asio::detached);
}

LIMPETFALL_DISPATCHER_TEMPLATE
void LIMPETFALL_DISPATCHER::AbandonTrial(const SharedEntry& trial) {
  if (auto entry = this->parts.quarantine->AbandonTrial(trial, this->time.Now())) {
    this->PushInBackground(*std::move(entry));
  }
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<void> LIMPETFALL_DISPATCHER::CheckAbandonedAttempt(
    std::shared_ptr<Dispatcher> self, GroupSummary group, std::uint64_t fingerprint,
    std::optional<SharedEntry> trial) {
  const Deadline deadline = self->time.Now() + self->options.release_timeout;
  const Result<void> confirmation = co_await self->parts.check->Confirm(group, deadline);
  if (confirmation) {
    if (trial) self->AbandonTrial(*trial);
    co_return;
  }
  const SharedEntry mark = self->parts.quarantine->OnLoss(fingerprint, group, self->time.Now());
  co_await self->PushMark(mark);
}

LIMPETFALL_DISPATCHER_TEMPLATE
bool LIMPETFALL_DISPATCHER::MayRetry(const AttemptError& failure, const Run& run, int attempt) {
  switch (failure.cause) {
    case Cause::kAdmission:
    case Cause::kDeadline:
    case Cause::kCaller:
    case Cause::kMismatch:
      return false;
    case Cause::kRefused:
      if (failure.error.code == ErrorCode::kInvalidArgument) return false;
      break;
    case Cause::kUpstream:
    case Cause::kGroupLost:
      break;
  }
  if (attempt >= this->options.max_attempts || this->time.Now() >= run.request.deadline) {
    return false;
  }
  return this->parts.retries->TryTake();
}

LIMPETFALL_DISPATCHER_TEMPLATE
void LIMPETFALL_DISPATCHER::Report(const Run& run, const Result<void>& result) {
  Labels labels = detail::TeamLabels(run.request.team, run.plan.priority);
  const std::chrono::duration<double> elapsed = this->time.Now() - run.started;
  Metrics& metrics = *this->parts.metrics;
  metrics.Observe("completion_seconds", labels, elapsed.count());
  metrics.Add("completion_tokens_total", labels, static_cast<double>(run.delivered.size()));
  labels["result"] = result ? "ok" : std::string(ToString(result.error().code));
  metrics.Add("completions_total", labels);
  if (result) {
    Log(LogLevel::kDebug, "completion_finished",
        {{"request_id", run.request.id.value}, {"tokens", run.delivered.size()}});
    return;
  }
  Log(LogLevel::kInfo, "completion_failed",
      {{"request_id", run.request.id.value},
       {"verdict", ToString(result.error().verdict)},
       {"error", result.error().message}});
}

LIMPETFALL_DISPATCHER_TEMPLATE
boost::asio::awaitable<Result<ServiceAnswer>> LIMPETFALL_DISPATCHER::CallService(
    const ServiceCall& call) {
  const auto self = this->shared_from_this();
  const RunningCount count(this->running);
  if (this->stopped) co_return NotAcceptingWorkError(call);
  const std::shared_ptr<const VersionedDocument> document = this->parts.config->Current();
  if (!document) {
    co_return NotAcceptingWorkError(call, "this node has no confirmed configuration");
  }
  Result<ServicePlan> plan = PlanServiceCall(document->document, call);
  if (!plan) co_return std::move(plan).error();
  this->parts.retries->OnRequest(document->document.policy.retry_budget);

  const TimePoint started = this->time.Now();
  const bool is_order = !plan.value().idempotent && !call.idempotency_key.empty();
  auto pending = is_order ? this->parts.orders->Run(call) : this->parts.services->Call(call);
  Result<ServiceAnswer> answer = co_await std::move(pending);
  if (answer && answer.value().version == 0) answer.value().version = document->version;

  const std::chrono::duration<double> elapsed = this->time.Now() - started;
  Labels labels = detail::TeamLabels(call.team, plan.value().priority);
  this->parts.metrics->Observe("service_call_seconds", labels, elapsed.count());
  labels["result"] = answer ? "ok" : std::string(ToString(answer.error().code));
  this->parts.metrics->Add("service_calls_total", labels);
  if (!answer) {
    Log(LogLevel::kInfo, "service_call_failed",
        {{"request_id", call.id.value},
         {"service", call.service.value},
         {"verdict", ToString(answer.error().verdict)},
         {"error", answer.error().message}});
  }
  co_return answer;
}

}  // namespace limpetfall

#undef LIMPETFALL_DISPATCHER_TEMPLATE
#undef LIMPETFALL_DISPATCHER

#endif  // LIMPETFALL_DAEMON_DISPATCHER_IMPL_H_
