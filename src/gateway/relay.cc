#include "gateway/relay.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/cancellation_state.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "base/pause.h"
#include "core/stall-rule.h"
#include "gateway/event-buffer.h"
#include "http/error-response.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// Timeout of a request when neither its headers nor its route state one.
constexpr Milliseconds kDefaultTimeout{10000};

// Time limit for reading the rest of a refusal, so that its connection can be reused.
constexpr Milliseconds kRefusalReadTime{200};

// Status with which an upstream refuses a request that is meant for another one.
constexpr int kMisdirected = 421;

// Kind of a failure in logs and counters: the upstream sent more bytes than a response may have.
constexpr const char* kOversized = "oversized";

// A request that crashes upstreams does so when its response begins. The connection may break a
// little later, after the first event.
constexpr Milliseconds kCrashDelay{250};

// The listener of an ending process may close after its connections.
constexpr Milliseconds kListenerCloseDelay{20};

// Longer pauses are cut, so that they fit a time point.
constexpr double kMaxPauseS = 30 * 86400;

// Callers honour a Retry-After of up to a third of their remaining time.
constexpr double kRetryAfterFraction = 0.3;
constexpr double kMaxRetryAfterS = 2.0;

// Another node serves a caller at once. The delay bounds the attempts of one that knows no other.
constexpr double kOtherNodeRetryS = 0.05;

/** Returns whether a header applies to a single connection and must not be forwarded. */
bool IsHopByHop(const std::string& name) {
  static const std::set<std::string, HeaderNameLess> names{
      "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE",
      "Trailer",    "Upgrade",    "Proxy-Connection",  "Expect"};
  return names.contains(name);
}

Headers EndToEndHeaders(const Headers& headers) {
  Headers kept;
  for (const auto& [name, value] : headers) {
    if (!IsHopByHop(name)) kept.emplace(name, value);
  }
  return kept;
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
  return number;
}

/** Returns the pause that an upstream asks for, in seconds with a fraction; nothing for other text.
 */
std::optional<double> ParsePause(std::string_view text) {
  double seconds = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  if (!valid || !(seconds >= 0)) return std::nullopt;
  return std::min(seconds, kMaxPauseS);
}

/**
 * Returns whether an upstream call failed because its handler was cancelled, which happens when the
 * caller disconnects. Such a failure says nothing about the upstream.
 */
bool IsCallerGone(const asio::cancellation_state& handler) {
  return handler.cancelled() != asio::cancellation_type::none;
}

/** Returns whether callers take a status for the promise that their request has not run. */
bool PromisesNotRun(int status) {
  constexpr std::array kPromises{408, 421, 429, 503};
  return std::find(kPromises.begin(), kPromises.end(), status) != kPromises.end();
}

/** What a request waits for at present. */
enum class WaitsFor { kSlot, kUpstream, kExamination, kCaller };

constexpr std::string_view ToString(WaitsFor waits_for) {
  switch (waits_for) {
    case WaitsFor::kSlot:
      return "slot";
    case WaitsFor::kUpstream:
      return "upstream";
    case WaitsFor::kExamination:
      return "examination";
    case WaitsFor::kCaller:
      return "caller";
  }
  return "unknown";
}

Priority QueuePriority(int priority) {
  if (priority <= 1) return Priority::kHigh;
  return priority == 2 ? Priority::kNormal : Priority::kLow;
}

}  // namespace

/** State of one caller request while the relay serves it. */
struct Relay::Call final : UpstreamLossListener {
  std::shared_ptr<const RouteTable> routes;  ///< Keeps `route` alive.
  const Route* route = nullptr;
  std::string request_id;
  TeamName team;
  int priority = 0;
  ModelName model;
  ServiceName service;
  TokenCounts tokens;
  TimePoint arrived;
  Deadline deadline;
  std::vector<VmId> excluded;
  int sends = 0;
  bool may_have_run = false;
  bool is_caller_retry = false;  ///< The caller retries after a refusal.
  bool stream_started = false;   ///< The header of a streamed response has been sent.
  EventBuffer events{std::nullopt};
  std::optional<HttpResponse> failure;  ///< Complete error response of an upstream.
  std::shared_ptr<HttpConnection> connection;
  StallState stall;
  TimePoint last_event;           ///< When the last event was sent to the caller.
  bool pinned = false;            ///< No longer fails over to another upstream.
  Error error;                    ///< Why the last attempt failed.
  VmId upstream;                  ///< Upstream of the last attempt.
  bool is_accepted = false;       ///< Has a route and may be sent.
  const char* outcome = nullptr;  ///< Outcome in the final log event; null until it is known.
  WaitsFor waits_for = WaitsFor::kSlot;
  CauseId request_cause = 0;   ///< Stands for the whole request in `causes`.
  Causes causes;               ///< What may crash an upstream that runs this request.
  TimePoint sent;              ///< When the current attempt was sent.
  TimePoint first_event;       ///< Of the current attempt; the epoch before it.
  bool is_harmless = false;    ///< The current attempt would have crashed its upstream by now.
  Milliseconds queue_time{0};  ///< Time spent waiting for a slot, over all attempts.
  Milliseconds proof_age{0};   ///< Proof age of the configuration when the request arrived.

  [[nodiscard]] bool IsRepeatable() const {
    return this->route->retry_policy == RetryPolicy::kIdempotent || this->route->resumable;
  }

  /** Returns whether a request that may have run can be sent to another upstream. */
  [[nodiscard]] bool CanFailOver() const {
    return !this->pinned && this->IsRepeatable() && this->sends < this->route->attempts;
  }

  /** Admission lane of the request. Requests of one lane wait for the same slots. */
  [[nodiscard]] std::string Lane() const { return this->service.value + "/" + this->model.value; }

  /** Returns how long the request would occupy a slot while all of them are in use. */
  [[nodiscard]] std::chrono::duration<double> FullLoadTime() const {
    const auto service_entry = this->routes->config().services.find(this->service);
    if (service_entry == this->routes->config().services.end() || !service_entry->second.engine)
      return {};
    return limpetfall::FullLoadTime(*service_entry->second.engine, this->model, this->tokens);
  }

  void OnUpstreamLost() override {
    if (!this->CanFailOver() || !this->connection) return;
    if (this->stream_started) return this->connection->Interrupt();
    this->connection->Close();
  }

  std::unique_ptr<ParkedStream> parked_stream;  ///< Silent upstream to which the stream may return.
};

/** The slot of an upstream that a call holds until the attempt ends. */
struct Relay::UpstreamSlot {
  UpstreamSlot(Relay& owner, AdmissionId number, DispatchTicket chosen)
      : relay(&owner), id(number), ticket(std::move(chosen)) {}
  UpstreamSlot(UpstreamSlot&& other) noexcept
      : relay(std::exchange(other.relay, nullptr)),
        id(other.id),
        served(other.served),
        ticket(std::move(other.ticket)) {}
  UpstreamSlot& operator=(UpstreamSlot&&) = delete;
  UpstreamSlot(const UpstreamSlot&) = delete;
  UpstreamSlot& operator=(const UpstreamSlot&) = delete;
  ~UpstreamSlot() {
    if (this->relay == nullptr) return;
    this->relay->queue.Finish(this->id, this->served, Clock::now());
    asio::post(this->relay->io, [relay = this->relay] { relay->DispatchWaiting(); });
  }

  Relay* relay;
  AdmissionId id;
  bool served = false;
  DispatchTicket ticket;
};

/**
 * A stream whose upstream went silent after it had started. The upstream may be slow rather than
 * lost, so the connection is kept until another upstream continues the stream.
 */
struct Relay::ParkedStream {
  std::shared_ptr<HttpConnection> connection;
  UpstreamSlot slot;
  EventBuffer events;          ///< Includes a partially received event.
  bool has_new_bytes = false;  ///< Bytes have arrived since the stream was parked.
};

/** A call that waits in the admission queue for a slot. */
struct Relay::Waiter {
  Waiter(Relay& owner, Call& waiting) : relay(owner), call(waiting), timer(owner.io) {}
  Waiter(const Waiter&) = delete;
  Waiter& operator=(const Waiter&) = delete;
  ~Waiter() {
    this->relay.waiters.erase(this->id);
    if (!this->slot) this->relay.queue.Cancel(this->id);
  }

  Relay& relay;
  Call& call;
  asio::steady_timer timer;
  AdmissionId id = 0;
  std::optional<UpstreamSlot> slot;
};

Relay::Relay(asio::io_context& context, RelayOptions settings, DispatchTable& dispatch,
             ConnectionPool& connections, CrashAttribution& crash_attribution,
             std::shared_ptr<Metrics> counters)
    : io(context),
      options(std::move(settings)),
      table(dispatch),
      pool(connections),
      crashes(crash_attribution),
      metrics(std::move(counters)),
      budget(this->options.retry_budget),
      response_buffers(this->options.response_buffers),
      queue(AdmissionOptions{}),
      random(std::random_device{}()) {}

Result<void> Relay::PrepareCall(Call& call, const HttpRequest& request) {
  if (!this->context.routes) {
    return NotRun(ErrorCode::kUnavailable, "this node has not received a configuration yet");
  }
  call.routes = this->context.routes;
  call.route = call.routes->Find(GetHeader(request.headers, "Host"), request.target);
  if (call.route == nullptr) {
    return NotRun(ErrorCode::kNotFound, "no route matches " + request.target);
  }
  BOOST_OUTCOME_TRY(this->Authenticate(call, request));
  this->FindCauses(call, request);
  const auto given = ParseNumber(GetHeader(request.headers, this->options.headers.deadline_ms));
  Milliseconds allowed = call.route->timeout.count() > 0 ? call.route->timeout : kDefaultTimeout;
  if (given) allowed = std::min(allowed, Milliseconds(std::max<std::int64_t>(0, *given)));
  call.deadline = call.arrived + allowed;
  call.is_caller_retry =
      given &&
      this->retry_detector.IsCallerRetry(
          call.route->name, Milliseconds(std::max<std::int64_t>(0, *given)), call.route->objective);
  call.proof_age =
      std::chrono::duration_cast<Milliseconds>(BootClock::now() - this->context.confirmed);
  call.model = ModelName(std::string(GetHeader(request.headers, this->options.headers.model)));
  call.service = this->PickService(*call.route);
  const auto service = call.routes->config().services.find(call.service);
  const bool engine = service != call.routes->config().services.end() && service->second.engine;
  if (!engine) call.model = ModelName();
  if (this->options.stated_tokens) call.tokens = this->options.stated_tokens(request.headers);
  if (const auto last =
          ParseNumber(GetHeader(request.headers, this->options.headers.last_event_id))) {
    call.events = EventBuffer(*last);
  }
  return success();
}

void Relay::FindCauses(Call& call, const HttpRequest& request) const {
  call.request_cause = RequestCause(call.team, request.method, GetHeader(request.headers, "Host"),
                                    request.target, request.body);
  std::vector<CauseId> causes{call.request_cause};
  if (this->options.shared_prompt_parts) {
    for (const std::string& part : this->options.shared_prompt_parts(request.headers)) {
      if (causes.size() == kMaxCauses) break;
      causes.push_back(PromptPartCause(part));
    }
  }
  call.causes = MakeCauses(std::move(causes));
}

Result<void> Relay::Authenticate(Call& call, const HttpRequest& request) {
  const GatewayConfig& config = call.routes->config();
  call.priority = call.route->priority;
  if (!config.has_teams || !call.route->requires_key) return success();
  if (this->options.strict_keys &&
      this->context.confirmed + this->options.key_proof_lifetime < BootClock::now()) {
    return NotRun(ErrorCode::kUnavailable,
                  "the configuration could not be confirmed recently enough to check the key");
  }
  const auto holder =
      config.keys.find(std::string(GetHeader(request.headers, this->options.headers.key)));
  if (holder == config.keys.end()) {
    return NotRun(ErrorCode::kPermissionDenied, "unknown API key");
  }
  call.team = holder->second.team;
  if (holder->second.priority) call.priority = *holder->second.priority;
  return success();
}

const ServiceName& Relay::PickService(const Route& route) {
  int total = 0;
  for (const auto& [service, weight] : route.services) total += weight;
  int left = std::uniform_int_distribution<int>(0, std::max(0, total - 1))(this->random);
  for (const auto& [service, weight] : route.services) {
    if (left < weight) return service;
    left -= weight;
  }
  return route.services.front().service;
}

void Relay::DispatchWaiting() {
  std::set<std::string> blocked;
  const TimePoint now = Clock::now();
  this->queue.MoveLate(now);
  while (const auto id = this->queue.Next(blocked, now)) {
    const auto waiter = this->waiters.find(*id);
    const Call& call = waiter->second->call;
    auto ticket = this->table.Choose(
        {call.service, call.model, call.excluded, 1, call.IsRepeatable(), call.stream_started},
        &waiter->second->call, now);
    if (!ticket) {
      blocked.insert(this->queue.LaneOf(*id));
      continue;
    }
    this->queue.Start(*id, now);
    waiter->second->slot.emplace(*this, *id, std::move(*ticket));
    waiter->second->timer.cancel();
    this->waiters.erase(waiter);
  }
}

void Relay::ExpireWaiting() {
  if (this->stop_admission.is_stopping()) this->CancelDisallowed();
  for (const AdmissionId id : this->queue.Expire(Clock::now())) {
    if (const auto waiter = this->waiters.find(id); waiter != this->waiters.end()) {
      waiter->second->timer.cancel();
    }
  }
}

bool Relay::EndsBeforeStop(const Call& call, TimePoint now) const {
  return this->stop_admission.Admits({call.route->name, call.tokens.max_answer, call.deadline},
                                     now);
}

Result<void> Relay::CheckAllowed(const Call& call) const {
  const TimePoint now = Clock::now();
  if (const Quarantine* quarantine = this->crashes.Find(call.causes, now)) {
    return NotRun(ErrorCode::kQuarantined,
                  "upstreams crashed while running such requests: " + ToString(quarantine->causes));
  }
  if (this->calls_ended) return NotRun(ErrorCode::kUnavailable, "this node stops");
  // A stream that has begun can only continue here.
  if (call.stream_started) return success();
  if (!this->EndsBeforeStop(call, now)) {
    return NotRun(ErrorCode::kUnavailable, "this node stops before the response would end");
  }
  return success();
}

void Relay::CancelDisallowed() {
  for (const auto& [id, waiter] : this->waiters) {
    if (!this->CheckAllowed(waiter->call)) waiter->timer.cancel();
  }
}

void Relay::CancelUnservable() {
  const TimePoint now = Clock::now();
  for (const auto& [id, waiter] : this->waiters) {
    const Call& call = waiter->call;
    const DispatchRequest wanted{call.service,        call.model,         call.excluded, 1,
                                 call.IsRepeatable(), call.stream_started};
    if (!this->table.HasEligible(wanted, now)) waiter->timer.cancel();
  }
}

void Relay::BeginStop(Deadline estimate_until, Deadline stop_by) {
  this->stop_admission.BeginStop(estimate_until, stop_by);
  this->CancelDisallowed();
}

void Relay::EndCalls() {
  this->calls_ended = true;
  this->CancelDisallowed();
  for (Call* call : this->calls) {
    if (call->connection) call->connection->Close();
    if (call->parked_stream) call->parked_stream->connection->Close();
  }
}

void Relay::OnQuarantined(const std::vector<Quarantine>& added) {
  for (const Quarantine& quarantine : added) {
    this->metrics->Add("quarantines_total", {});
    Log(LogLevel::kWarning, "quarantined",
        {{"causes", ToString(quarantine.causes)},
         {"revision", quarantine.revision},
         {"left_ms", TimeLeft(quarantine.until, Clock::now()).count()},
         {"active", this->crashes.CountActive(Clock::now())}});
  }
  if (!added.empty()) this->CancelDisallowed();
}

void Relay::OnHarmless(Call& call) {
  if (call.is_harmless) return;
  call.is_harmless = true;
  this->OnQuarantined(this->crashes.OnSurvived(call.causes, Clock::now()));
}

void Relay::ExamineLoss(const Call& call, const UpstreamSlot& slot) {
  const bool silent = call.error.code == ErrorCode::kDeadlineExceeded;
  const TimePoint lost = silent ? call.stall.last_bytes : Clock::now();
  const bool outlived = call.first_event != TimePoint() && call.first_event + kCrashDelay <= lost;
  if (call.is_harmless || outlived || this->calls_ended) return;
  const std::uint64_t boot = slot.ticket.boot();
  std::shared_ptr<Examination>& examination = this->examinations[boot];
  const bool begins = !examination;
  if (begins) {
    examination = std::make_shared<Examination>(
        Examination{{}, asio::steady_timer(this->io, asio::steady_timer::time_point::max())});
  }
  examination->reports.push_back(
      {boot, call.request_cause, call.causes, call.sent, std::max(lost, call.sent)});
  Log(LogLevel::kInfo, "loss_examined",
      {{"request", call.request_id},
       {"upstream", slot.ticket.upstream().value},
       {"causes", ToString(call.causes)}});
  if (!begins) return;
  asio::co_spawn(this->io,
                 this->CheckUpstreamEnded(slot.ticket.address(), slot.ticket.upstream(), boot),
                 asio::detached);
}

asio::awaitable<void> Relay::CheckUpstreamEnded(std::string address, VmId upstream,
                                                std::uint64_t boot) {
  // A connection may break at an upstream that runs on. One that has ended accepts no other.
  co_await detail::PauseUntil(Clock::now() + kListenerCloseDelay);
  const auto connection = co_await HttpConnection::Connect(
      this->io, address, Clock::now() + this->options.connect_timeout);
  const std::shared_ptr<Examination> examination =
      std::move(this->examinations.extract(boot).mapped());
  examination->ended.cancel();
  if (connection) {
    connection.value()->Close();
    co_return;
  }
  this->metrics->Add("upstream_crashes_total", {});
  Log(LogLevel::kWarning, "upstream_ended",
      {{"upstream", upstream.value},
       {"suspect_requests", examination->reports.size()},
       {"detail", connection.error().message}});
  for (const CrashReport& report : examination->reports) {
    this->OnQuarantined(this->crashes.OnCrash(report, Clock::now()));
  }
}

asio::awaitable<void> Relay::AwaitExamination(const Call& call, std::uint64_t boot) {
  const auto found = this->examinations.find(boot);
  if (found == this->examinations.end() || !this->crashes.IsSuspected(call.causes)) co_return;
  const std::shared_ptr<Examination> examination = found->second;
  co_await examination->ended.async_wait(kNoThrow);
}

asio::awaitable<Result<Relay::UpstreamSlot>> Relay::AcquireSlot(Call& call) {
  const TimePoint now = Clock::now();
  BOOST_OUTCOME_CO_TRY(this->CheckAllowed(call));
  const DispatchRequest wanted{call.service,        call.model,         call.excluded, 1,
                               call.IsRepeatable(), call.stream_started};
  if (!this->table.HasEligible(wanted, now)) {
    co_return NotRun(ErrorCode::kUnavailable, "no available upstream of service " +
                                                  call.service.value + " can serve this request");
  }
  AdmissionRequest request;
  request.team = call.team;
  request.lane = call.Lane();
  request.priority = QueuePriority(call.priority);
  request.deadline = call.deadline;
  request.is_retry = call.sends > 0;
  call.waits_for = WaitsFor::kSlot;
  request.response_started = call.stream_started;
  const Milliseconds silence_limit =
      CallerAbandonTimeout(call.route->objective, call.route->event_gap_objective);
  const StartDeadlines limits = this->start_policy.ComputeStartDeadlines(
      request.lane,
      {call.arrived, call.deadline, call.route->objective, silence_limit, call.is_caller_retry});
  request.start_by = request.is_retry ? call.deadline : limits.start_by;
  // Another attempt of an interrupted request goes first.
  if (!request.is_retry) request.on_time_by = limits.on_time_by;
  // A caller abandons a silent stream. Waiting longer than that would only delay the return to the
  // parked stream.
  if (call.parked_stream) {
    request.start_by = std::min(call.deadline, call.last_event + silence_limit);
  }
  if (const auto rate = this->table.LimitedRate(wanted, now)) {
    const std::chrono::duration<double> time_left =
        std::min(request.deadline, request.start_by) - now;
    const double starts = *rate * time_left.count();
    if (starts <= 0 || static_cast<double>(this->queue.QueuedBefore(request, now)) > starts) {
      co_return NotRun(ErrorCode::kResourceExhausted,
                       "the rate limits of the upstreams allow no start in time");
    }
  }
  const auto id = this->queue.Enqueue(request, now);
  if (!id) co_return id.error();
  Waiter waiter(*this, call);
  waiter.id = id.value();
  this->waiters.emplace(waiter.id, &waiter);
  this->DispatchWaiting();
  if (!waiter.slot) {
    waiter.timer.expires_at(request.start_by);
    if (call.parked_stream) {
      call.parked_stream->connection->NotifyReadable([this, id = waiter.id] {
        if (const auto found = this->waiters.find(id); found != this->waiters.end()) {
          found->second->call.parked_stream->has_new_bytes = true;
          found->second->timer.cancel();
        }
      });
    }
    co_await waiter.timer.async_wait(kNoThrow);
  }
  BOOST_OUTCOME_CO_TRY(this->CheckAllowed(call));
  if (!waiter.slot) {
    co_return NotRun(ErrorCode::kResourceExhausted, "no upstream slot became free in time");
  }
  if (request.on_time_by < Clock::now())
    this->metrics->Add("late_starts_total", {{"route", call.route->name}});
  co_return std::move(*waiter.slot);
}

HttpRequest Relay::UpstreamRequest(const Call& call, const HttpRequest& request,
                                   const UpstreamSlot& slot) const {
  const RelayHeaders& names = this->options.headers;
  HttpRequest upstream;
  upstream.method = request.method;
  upstream.target = request.target;
  upstream.headers = EndToEndHeaders(request.headers);
  upstream.headers.erase(names.key);
  upstream.headers.erase(names.team);
  if (!call.team.value.empty()) upstream.headers[names.team] = call.team.value;
  upstream.headers[names.upstream_id] = slot.ticket.upstream().value;
  upstream.headers[names.deadline_ms] =
      std::to_string(TimeLeft(call.deadline, Clock::now()).count());
  if (const auto last = call.events.last_id()) {
    upstream.headers[names.last_event_id] = std::to_string(*last);
  }
  upstream.body = request.body;
  return upstream;
}

void Relay::ReportUpstreamFailure(const Call& call, const UpstreamSlot& slot, const char* what,
                                  const std::string& detail) {
  this->metrics->Add("upstream_failures_total", {{"kind", what}});
  const bool oversized = std::string_view(what) == kOversized;
  if (oversized && !this->oversized_log_limit.TryTake(Clock::now())) return;
  Log(LogLevel::kWarning, "upstream_failure",
      {{"request", call.request_id},
       {"upstream", slot.ticket.upstream().value},
       {"kind", what},
       {"detail", detail},
       {"sends", call.sends},
       {"suppressed", oversized ? this->oversized_log_limit.TakeSuppressed() : 0}});
}

void Relay::RecordUpstreamFault(const Call& call, const UpstreamSlot& slot, const char* what,
                                UpstreamFault fault) {
  // The connection was closed by this node.
  if (this->calls_ended) return;
  if (call.error.code == ErrorCode::kResponseTooLarge) what = kOversized;
  this->ReportUpstreamFailure(call, slot, what, call.error.message);
  const bool slow = call.error.code == ErrorCode::kDeadlineExceeded;
  if (this->table.OnFault(slot.ticket, slow ? UpstreamFault::kTimeout : fault, Clock::now())) {
    this->metrics->Add("upstream_suspensions_total", {{"kind", what}});
    Log(LogLevel::kWarning, "upstream_suspended",
        {{"request", call.request_id}, {"upstream", slot.ticket.upstream().value}, {"kind", what}});
  }
}

void Relay::ObeyUpstream(const Call& call, const UpstreamSlot& slot, const ResponseHead& head) {
  const RelayHeaders& names = this->options.headers;
  const TimePoint now = Clock::now();
  if (head.Find(names.leaving).value_or("") == "1" && this->table.OnLeaving(slot.ticket, now)) {
    this->metrics->Add("upstreams_leaving_total", {});
    Log(LogLevel::kInfo, "upstream_leaves",
        {{"request", call.request_id}, {"upstream", slot.ticket.upstream().value}});
  }
  this->ObeyRateLimit(call, slot, head, now);
  constexpr int kUnavailable = 503;
  const auto asked = head.Find(names.retry_after);
  if (head.status != kUnavailable || !asked) return;
  const auto seconds = ParsePause(*asked);
  if (seconds) {
    const auto pause = std::chrono::duration<double>(*seconds);
    this->table.OnPause(slot.ticket, now + std::chrono::duration_cast<Clock::duration>(pause));
  }
  this->metrics->Add("upstream_pauses_total", {{"valid", seconds ? "yes" : "no"}});
  Log(LogLevel::kInfo, "upstream_pauses",
      {{"request", call.request_id},
       {"upstream", slot.ticket.upstream().value},
       {"asked", asked->substr(0, 40)},
       {"obeyed_s", seconds.value_or(0)}});
}

void Relay::ObeyRateLimit(const Call& call, const UpstreamSlot& slot, const ResponseHead& head,
                          TimePoint now) {
  const RelayHeaders& names = this->options.headers;
  // Another upstream has answered at a reused address.
  if (head.status == kMisdirected) return;
  const auto stated = head.Find(names.rate_limit);
  // A late response to an earlier request does not show that the limit has ended.
  if (!stated && head.Find(names.request_id).value_or("") != call.request_id) return;
  const auto rate = stated ? RequestRate::Parse(*stated) : RequestRate();
  if (rate) {
    if (!this->table.OnStatedRate(slot.ticket, *rate, now)) return;
    this->metrics->Add("upstream_rate_limits_total", {{"limited", stated ? "yes" : "no"}});
    Log(LogLevel::kInfo, "upstream_rate_limit",
        {{"request", call.request_id},
         {"upstream", slot.ticket.upstream().value},
         {"per_second", stated ? std::to_string(rate->per_second()) : "unlimited"}});
    return;
  }
  this->metrics->Add("upstream_rate_limits_invalid_total", {});
  if (!this->invalid_limit_log.TryTake(now)) return;
  Log(LogLevel::kWarning, "upstream_rate_limit_invalid",
      {{"request", call.request_id},
       {"upstream", slot.ticket.upstream().value},
       {"stated", stated->substr(0, 40)},
       {"suppressed", this->invalid_limit_log.TakeSuppressed()}});
}

asio::awaitable<Result<std::shared_ptr<HttpConnection>>> Relay::ConnectTo(const UpstreamSlot& slot,
                                                                          const Call& call) {
  const Deadline connect_by = std::min(call.deadline, Clock::now() + this->options.connect_timeout);
  const std::string& address = slot.ticket.address();
  if (call.IsRepeatable()) return this->pool.Acquire(address, connect_by);
  // If the peer has just closed a pooled connection, it is unknown whether the request ran, so such
  // a request gets a new connection. The idle connections are closed first, because an upstream
  // accepts a limited number of connections from all nodes together.
  this->pool.CloseIdle(address);
  return HttpConnection::Connect(this->io, address, connect_by);
}

asio::awaitable<Relay::Outcome> Relay::AttemptOnce(Call& call, UpstreamSlot& slot,
                                                   HttpExchange& exchange) {
  call.waits_for = WaitsFor::kUpstream;
  const auto connected = co_await this->ConnectTo(slot, call);
  if (!connected) {
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    if (IsCallerGone(cancellation)) co_return Outcome::kCallerDisconnected;
    call.error = connected.error();
    this->ReportUpstreamFailure(call, slot, "connect", call.error.message);
    this->table.OnLost(slot.ticket.upstream(), Clock::now());
    co_return Outcome::kNotRun;
  }
  call.connection = connected.value();
  const std::shared_ptr<HttpConnection> connection = call.connection;
  if (!slot.ticket.IsWanted(Clock::now())) {
    if (slot.ticket.IsEvacuated())
      this->metrics->Add("requests_kept_from_evacuated_zones_total", {});
    this->pool.Release(connection);
    call.error = NotRun(ErrorCode::kUnavailable, "the upstream wants no requests at present");
    co_return Outcome::kNotRun;
  }
  if (const auto allowed = this->CheckAllowed(call); !allowed) {
    this->pool.Release(connection);
    call.error = allowed.error();
    co_return Outcome::kNotRun;
  }
  // On a busy node, the event loop reports late that the deadline has passed or the caller has
  // left.
  if (call.deadline <= Clock::now()) {
    this->pool.Release(connection);
    call.error = NotRun(ErrorCode::kDeadlineExceeded, "the deadline has passed");
    co_return Outcome::kNotRun;
  }
  if (exchange.IsPeerClosed()) {
    this->pool.Release(connection);
    exchange.Abort();
    co_return Outcome::kCallerDisconnected;
  }
  ++call.sends;

  const TimePoint sent = Clock::now();
  slot.ticket.OnSent(sent);
  call.sent = sent;
  call.first_event = TimePoint();
  call.is_harmless = false;
  Deadline respond_by = call.deadline;
  call.stall = {sent, TimePoint(), this->options.first_event_timeout,
                this->options.stream_silence_timeout};
  if (call.route->stream && call.CanFailOver()) {
    this->WatchForStall(call, slot);
    respond_by = std::min(call.deadline, NextStallCheck(call.stall));
  } else if (call.route->retry_policy == RetryPolicy::kIdempotent && call.CanFailOver()) {
    const auto response_timeout = std::chrono::duration_cast<Milliseconds>(
        call.route->objective * this->options.idempotent_timeout_factor);
    respond_by = std::min(call.deadline, sent + response_timeout);
  }

  const auto written =
      co_await connection->Send(this->UpstreamRequest(call, exchange.request(), slot), respond_by);
  if (!written) {
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    if (IsCallerGone(cancellation)) co_return Outcome::kCallerDisconnected;
    call.error = written.error();
    call.may_have_run = true;
    this->RecordUpstreamFault(call, slot, "send", UpstreamFault::kBrokenResponse);
    co_return Outcome::kLost;
  }
  auto head = co_await connection->ReadHead(respond_by);
  if (!head) {
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    if (IsCallerGone(cancellation)) co_return Outcome::kCallerDisconnected;
    call.error = head.error();
    call.may_have_run = true;
    const bool malformed = call.error.code == ErrorCode::kUpstreamProtocol;
    this->RecordUpstreamFault(call, slot, malformed ? "malformed" : "no_answer",
                              UpstreamFault::kBrokenResponse);
    co_return Outcome::kLost;
  }
  this->ObeyUpstream(call, slot, head.value());
  const RelayHeaders& names = this->options.headers;
  if (head.value().Find(names.request_id).value_or("") != call.request_id) {
    call.error =
        MayHaveRun(ErrorCode::kUpstreamProtocol, "the response belongs to another request");
    call.may_have_run = true;
    this->RecordUpstreamFault(call, slot, "crossed", UpstreamFault::kBrokenResponse);
    co_return Outcome::kLost;
  }
  const int status = head.value().status;
  if (head.value().Find(names.not_run) || status == kMisdirected) {
    std::string ignored;
    const auto done = co_await connection->ReadSome(ignored, Clock::now() + kRefusalReadTime);
    if (done && done.value()) this->pool.Release(connection);
    call.error = NotRun(ErrorCode::kResourceExhausted,
                        "the upstream refused the request with status " + std::to_string(status));
    this->RecordUpstreamFault(
        call, slot, "refused",
        status == kMisdirected ? UpstreamFault::kMisdirected : UpstreamFault::kRefused);
    co_return Outcome::kNotRun;
  }
  if (call.route->stream && status == 200) {
    co_return co_await this->RelayStream(call, slot, exchange, std::move(head.value()));
  }
  co_return co_await this->RelayBuffered(call, slot, exchange, std::move(head.value()), respond_by);
}

void Relay::WatchForStall(Call& call, UpstreamSlot& slot) {
  call.connection->SetExpiryHook([this, &call, &slot](TimePoint now) {
    // Nothing is read from the upstream while the caller does not take what has arrived.
    if (call.waits_for == WaitsFor::kCaller) call.stall.last_bytes = now;
    call.stall.upstream_progress = slot.ticket.last_progress();
    const StallVerdict verdict = CheckStall(call.stall, now);
    if (verdict == StallVerdict::kWaiting) {
      return std::min(call.deadline, NextStallCheck(call.stall));
    }
    if (verdict == StallVerdict::kUpstreamLost) {
      this->ReportUpstreamFailure(call, slot, "silent",
                                  "no bytes received for any request of the upstream");
      this->table.OnLost(slot.ticket.upstream(), now);
    }
    return now;
  });
}

asio::awaitable<Relay::Outcome> Relay::RelayBuffered(Call& call, UpstreamSlot& slot,
                                                     HttpExchange& exchange, ResponseHead head,
                                                     Deadline respond_by) {
  HttpResponse response{head.status, EndToEndHeaders(head.headers), {}};
  BufferBudget::Reservation reserved(this->response_buffers);
  for (;;) {
    std::string chunk;
    const auto done = co_await call.connection->ReadSome(chunk, respond_by);
    const bool too_large = !reserved.GrowTo(response.body.size() + chunk.size());
    if (!done || too_large) {
      const auto cancellation = co_await asio::this_coro::cancellation_state;
      if (IsCallerGone(cancellation)) co_return Outcome::kCallerDisconnected;
      call.error = done ? MayHaveRun(ErrorCode::kResponseTooLarge,
                                     "the response exceeds the memory limit after " +
                                         std::to_string(response.body.size()) + " bytes")
                        : done.error();
      call.may_have_run = true;
      this->RecordUpstreamFault(call, slot, "cut", UpstreamFault::kBrokenResponse);
      co_return Outcome::kLost;
    }
    response.body.append(chunk);
    if (done.value()) break;
  }
  this->pool.Release(call.connection);
  this->OnHarmless(call);
  const TimePoint now = Clock::now();
  this->table.OnProgress(slot.ticket, now);
  if (call.sends == 1) this->start_policy.OnFirstBytes(call.Lane(), now - call.stall.last_bytes);
  if (call.stream_started) {
    // The caller has the beginning of a stream, so this response cannot be forwarded.
    call.may_have_run = true;
    call.error = MayHaveRun(ErrorCode::kUpstreamLost, "the upstream responded with status " +
                                                          std::to_string(head.status) +
                                                          " instead of the rest of the stream");
    this->RecordUpstreamFault(call, slot, "failed", UpstreamFault::kErrorResponse);
    co_return Outcome::kUpstreamFailed;
  }
  const bool success = head.status >= 200 && head.status < 300;
  if (success && !head.Find(this->options.headers.digest)) {
    call.error = MayHaveRun(ErrorCode::kUpstreamProtocol, "the response has no digest header");
    call.may_have_run = true;
    this->RecordUpstreamFault(call, slot, "unsigned", UpstreamFault::kBrokenResponse);
    co_return Outcome::kLost;
  }
  constexpr int kFirstServerError = 500;
  if (head.status >= kFirstServerError || PromisesNotRun(head.status)) {
    // Without the header that marks a refusal, the request may have run.
    call.may_have_run = true;
    call.error = MayHaveRun(ErrorCode::kUpstreamLost,
                            "the upstream responded with status " + std::to_string(head.status));
    call.failure = std::move(response);
    this->RecordUpstreamFault(call, slot, "failed", UpstreamFault::kErrorResponse);
    co_return Outcome::kUpstreamFailed;
  }
  this->table.OnSuccess(slot.ticket, now);
  slot.served = success;
  if (success && call.sends == 1) {
    const auto total = now - call.sent;
    this->stop_admission.OnCompleted(call.route->name, {call.tokens.max_answer, total, total}, now);
  }
  call.waits_for = WaitsFor::kCaller;
  const auto sent = co_await exchange.Send(std::move(response));
  co_return sent ? Outcome::kAnswered : Outcome::kCallerDisconnected;
}

asio::awaitable<Relay::Outcome> Relay::RelayStream(Call& call, UpstreamSlot& slot,
                                                   HttpExchange& exchange, ResponseHead head) {
  const TimePoint sent = call.stall.last_bytes;
  const auto pause = call.route->event_gap_objective + this->options.group_stall_margin;
  bool first = true;
  for (;;) {
    call.waits_for = WaitsFor::kUpstream;
    const Deadline read_by =
        call.CanFailOver() ? std::min(call.deadline, NextStallCheck(call.stall)) : call.deadline;
    const auto done = co_await call.connection->ReadSome(call.events.bytes(), read_by);
    if (!done) {
      const auto cancellation = co_await asio::this_coro::cancellation_state;
      if (IsCallerGone(cancellation)) co_return Outcome::kCallerDisconnected;
      call.error = done.error();
      call.may_have_run = true;
      this->RecordUpstreamFault(call, slot, "cut", UpstreamFault::kBrokenResponse);
      co_return Outcome::kLost;
    }
    const TimePoint now = Clock::now();
    auto complete = call.events.TakeCompleteEvents();
    if (!complete || (done.value() && call.events.has_partial_event())) {
      call.error =
          complete ? MayHaveRun(ErrorCode::kUpstreamProtocol, "the stream ended within an event")
                   : complete.error();
      call.may_have_run = true;
      this->RecordUpstreamFault(call, slot, "garbled", UpstreamFault::kBrokenResponse);
      co_return Outcome::kLost;
    }
    // Bytes that complete no event are no progress; otherwise one byte a second would hide a stall.
    if (!complete.value().empty() || done.value()) {
      this->table.OnProgress(slot.ticket, now);
      call.stall.last_bytes = now;
    }
    if (call.first_event == TimePoint() && !complete.value().empty()) call.first_event = now;
    const bool outlived = call.first_event != TimePoint() && call.first_event + kCrashDelay <= now;
    if (done.value() || (outlived && !complete.value().empty())) this->OnHarmless(call);
    if (!complete.value().empty() && first) {
      first = false;
      if (call.sends == 1) this->start_policy.OnFirstBytes(call.Lane(), now - sent);
      call.stall.upstream_stall_timeout = pause;
    }
    call.waits_for = WaitsFor::kCaller;
    if (!call.stream_started && (!complete.value().empty() || done.value())) {
      const auto started =
          co_await exchange.StartStream(head.status, EndToEndHeaders(head.headers));
      if (!started) co_return Outcome::kCallerDisconnected;
      call.stream_started = true;
      // A started stream may return to its silent upstream, so a timeout keeps the connection.
      call.connection->InterruptOnExpiry();
    }
    if (!complete.value().empty()) {
      call.parked_stream.reset();
      call.last_event = now;
      const auto written = co_await exchange.WriteChunk(complete.value());
      if (!written) co_return Outcome::kCallerDisconnected;
      call.stall.last_bytes = Clock::now();
    }
    if (done.value()) break;
  }
  this->pool.Release(call.connection);
  this->table.OnSuccess(slot.ticket, Clock::now());
  slot.served = true;
  if (call.sends == 1) {
    const TimePoint now = Clock::now();
    this->demand.OnServed(call.model, now - sent);
    const TimePoint first = call.first_event == TimePoint() ? now : call.first_event;
    this->stop_admission.OnCompleted(call.route->name,
                                     {call.tokens.max_answer, first - sent, now - sent}, now);
  }
  const auto finished = co_await exchange.FinishStream();
  co_return finished ? Outcome::kAnswered : Outcome::kCallerDisconnected;
}

bool Relay::MayRetry(Call& call, Outcome outcome) {
  const TimePoint now = Clock::now();
  if (call.sends >= call.route->attempts || call.deadline <= now) return false;
  if (this->calls_ended) return false;
  if (outcome != Outcome::kNotRun && !call.IsRepeatable()) return false;
  // An attempt that did not reach an upstream adds no load there and costs no retry budget.
  return call.sends == 0 || this->budget.TryTake(call.service, now);
}

bool Relay::ParkStream(Call& call, UpstreamSlot& slot) {
  const bool silent = call.error.code == ErrorCode::kDeadlineExceeded && call.connection->IsOpen();
  if (!call.stream_started || call.parked_stream || !silent || call.deadline <= Clock::now())
    return false;
  call.connection->SetExpiryHook(nullptr);
  slot.ticket.RemoveListener();
  call.parked_stream =
      std::make_unique<ParkedStream>(ParkedStream{call.connection, std::move(slot), call.events});
  return true;
}

asio::awaitable<Relay::Outcome> Relay::ResumeParkedStream(Call& call, HttpExchange& exchange) {
  const std::unique_ptr<ParkedStream> parked_stream = std::move(call.parked_stream);
  Log(LogLevel::kInfo, "stream_returns",
      {{"request", call.request_id},
       {"upstream", parked_stream->slot.ticket.upstream().value},
       {"revived", parked_stream->has_new_bytes},
       {"sends", call.sends},
       {"detail", call.error.message}});
  call.connection = parked_stream->connection;
  call.upstream = parked_stream->slot.ticket.upstream();
  call.events = parked_stream->events;
  call.pinned = true;
  const Outcome outcome = co_await this->RelayStream(call, parked_stream->slot, exchange, {});
  call.connection.reset();
  call.events.DiscardPartialEvent();
  co_return outcome;
}

asio::awaitable<void> Relay::RunAttempts(Call& call, HttpExchange& exchange) {
  this->budget.OnRequest(call.service, call.arrived);
  if (call.is_caller_retry)
    this->metrics->Add("caller_retries_total", {{"route", call.route->name}});
  // A caller that returns after a refusal has been counted before.
  if (!call.model.value.empty() && !call.is_caller_retry)
    this->demand.OnArrival(call.model, call.arrived, call.FullLoadTime());
  // Unreachable upstreams are skipped; this bounds how many are tried for one request.
  constexpr int kMaxSlotsTried = 6;
  for (int tried = 0; tried < kMaxSlotsTried; ++tried) {
    const TimePoint wait_start = Clock::now();
    auto slot = co_await this->AcquireSlot(call);
    call.queue_time += std::chrono::duration_cast<Milliseconds>(Clock::now() - wait_start);
    Outcome outcome = Outcome::kNotRun;
    if (slot) {
      call.upstream = slot.value().ticket.upstream();
      call.excluded.push_back(call.upstream);
      outcome = co_await this->AttemptOnce(call, slot.value(), exchange);
      const std::uint64_t boot = slot.value().ticket.boot();
      if (outcome == Outcome::kLost) this->ExamineLoss(call, slot.value());
      const bool parked = outcome == Outcome::kLost && this->ParkStream(call, slot.value());
      if (outcome == Outcome::kLost && !parked) {
        call.waits_for = WaitsFor::kExamination;
        co_await this->AwaitExamination(call, boot);
      }
      call.connection.reset();
      call.events.DiscardPartialEvent();
      if (parked && this->MayRetry(call, outcome)) continue;
    } else if (call.sends == 0) {
      call.error = slot.error();
    }
    const bool resumes = call.parked_stream && !IsFinal(outcome);
    if (resumes) outcome = co_await this->ResumeParkedStream(call, exchange);
    if (outcome == Outcome::kAnswered) call.outcome = "answered";
    if (outcome == Outcome::kCallerDisconnected) call.outcome = "caller_gone";
    if (IsFinal(outcome)) co_return;
    const bool sent = slot || resumes;
    if (!sent || !this->MayRetry(call, outcome)) break;
  }
  co_await this->RespondWithFailure(call, exchange);
  call.outcome = "failed";
}

double Relay::RetryAfter(const Call& call) {
  if (call.error.code == ErrorCode::kQuarantined) return 0;
  if (!this->EndsBeforeStop(call, Clock::now())) return kOtherNodeRetryS;
  const double left = std::chrono::duration<double>(call.deadline - Clock::now()).count();
  const double longest = std::clamp(left * kRetryAfterFraction, 0.0, kMaxRetryAfterS);
  // The random delay spreads the retries of callers that were refused at the same time over the
  // time in which slots become free.
  const double delay = std::uniform_real_distribution<double>(longest / 3, longest)(this->random);
  const TimePoint now = Clock::now();
  const auto paused_until = this->table.PausedUntil({call.service, call.model, {}}, now);
  if (!paused_until) return delay;
  // A retry before the first pause ends would be refused again.
  return delay + std::chrono::duration<double>(*paused_until - now).count();
}

asio::awaitable<void> Relay::Refuse(HttpExchange& exchange, int status, const Error& error,
                                    double retry_after_s) {
  const std::string_view id =
      GetHeader(exchange.request().headers, this->options.headers.request_id);
  HttpResponse response = ErrorResponse(status, error, IsRequestId(id) ? id : std::string_view());
  if (retry_after_s > 0) {
    char text[16];
    std::snprintf(text, sizeof text, "%.2f", retry_after_s);
    response.headers["Retry-After"] = text;
  }
  this->metrics->Add("refusals_total", {{"status", std::to_string(status)}});
  Log(LogLevel::kInfo, "request_refused",
      {{"request", id},
       {"status", status},
       {"verdict", ToString(error.verdict)},
       {"detail", error.message}});
  [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(response));
}

asio::awaitable<void> Relay::RespondWithFailure(Call& call, HttpExchange& exchange) {
  call.waits_for = WaitsFor::kCaller;
  if (call.stream_started) {
    Log(LogLevel::kWarning, "stream_broken",
        {{"request", call.request_id}, {"sends", call.sends}, {"detail", call.error.message}});
    this->metrics->Add("streams_broken_total", {});
    exchange.Abort();
    co_return;
  }
  if (!call.may_have_run) {
    call.error.verdict = Verdict::kNotRun;
    co_return co_await this->Refuse(exchange, 503, call.error, this->RetryAfter(call));
  }
  if (call.failure && (!PromisesNotRun(call.failure->status) || call.IsRepeatable())) {
    Log(LogLevel::kInfo, "failure_relayed",
        {{"request", call.request_id}, {"status", call.failure->status}});
    [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(*call.failure));
    co_return;
  }
  call.error.verdict = Verdict::kMayHaveRun;
  const int status = call.deadline <= Clock::now() ? 504 : 502;
  co_await this->Refuse(exchange, status, call.error, 0);
}

void Relay::LogEnd(const Call& call) {
  if (!call.is_accepted) return;
  const std::chrono::duration<double> passed = Clock::now() - call.arrived;
  constexpr double kMsPerS = 1000;
  // A handler is cancelled when its caller disconnects, and destroyed when the process ends.
  const char* interrupted = this->process_ends ? "unfinished" : "caller_gone";
  const std::string_view outcome = call.outcome != nullptr ? call.outcome : interrupted;
  const bool is_refused = outcome == "failed" && !call.may_have_run;
  const bool has_run_unanswered = call.sends > 0 && outcome != "answered" && !is_refused;
  // Warnings are exempt from the rate limit of the log.
  Log(outcome == "unfinished" || has_run_unanswered ? LogLevel::kWarning : LogLevel::kInfo,
      "request",
      {{"request", call.request_id},
       {"route", call.route->name},
       {"team", call.team.value},
       {"upstream", call.upstream.value},
       {"outcome", outcome},
       {"waits_for", call.outcome != nullptr ? "" : ToString(call.waits_for)},
       {"sends", call.sends},
       {"ms", std::lround(passed.count() * kMsPerS)},
       {"waited_ms", call.queue_time.count()},
       {"caller_retry", call.is_caller_retry},
       {"config", call.routes->config().version},
       {"proof_age_ms", call.proof_age.count()}});
  this->metrics->Observe("request_seconds",
                         {{"team", call.team.value}, {"route", call.route->name}}, passed.count());
}

asio::awaitable<void> Relay::Handle(HttpExchange& exchange) {
  Call call;
  this->calls.insert(&call);
  const std::shared_ptr<void> listed(nullptr, [this, &call](void*) {
    this->calls.erase(&call);
    this->LogEnd(call);
  });
  call.arrived = Clock::now();
  call.request_id = GetHeader(exchange.request().headers, this->options.headers.request_id);
  const auto checked = this->PrepareCall(call, exchange.request());
  if (!checked) {
    int status = 503;
    if (checked.error().code == ErrorCode::kNotFound) status = 404;
    if (checked.error().code == ErrorCode::kPermissionDenied) status = 401;
    constexpr double kNoConfigRetryS = 0.3;
    co_return co_await this->Refuse(exchange, status, checked.error(),
                                    status == 503 ? kNoConfigRetryS : 0);
  }
  call.is_accepted = true;
  co_await this->RunAttempts(call, exchange);
}

}  // namespace limpetfall
