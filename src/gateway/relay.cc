#include "gateway/relay.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "core/stall-rule.h"
#include "gateway/event-buffer.h"
#include "http/error-response.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// Deadline of a request that names none and whose route has none.
constexpr Milliseconds kDefaultTimeout{10000};

// A refusal is read to its end within this, so that its connection can be used again.
constexpr Milliseconds kRefusalReadTime{200};

// Callers follow a Retry-After of up to a third of the time they have left.
constexpr double kRetryAfterPart = 0.3;
constexpr double kLongestRetryAfterS = 2.0;

constexpr std::size_t kMaxAnswerBytes = 16 << 20;

/** Says whether a header concerns one connection only. */
bool IsHopByHop(const std::string& name) {
  static const std::set<std::string, HeaderNameLess> names{
      "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE",
      "Trailer",    "Upgrade",    "Proxy-Connection",  "Expect"};
  return names.contains(name);
}

Headers EndToEnd(const Headers& headers) {
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

Priority QueuePriority(int priority) {
  if (priority <= 1) return Priority::kHigh;
  return priority == 2 ? Priority::kNormal : Priority::kLow;
}

}  // namespace

/** One request of a caller on its way through the node. */
struct Relay::Call final : LossListener {
  std::shared_ptr<const RouteTable> routes;  ///< Keeps `route` alive.
  const Route* route = nullptr;
  std::string request_id;
  TeamName team;
  int priority = 0;
  ModelName model;
  ServiceName service;
  TimePoint arrived;
  Deadline deadline;
  std::vector<VmId> excluded;
  int sends = 0;
  bool may_have_run = false;
  bool returned = false;  ///< The caller comes back after a refusal.
  bool started = false;   ///< The header of a streamed answer has been sent.
  EventBuffer events{std::nullopt};
  std::optional<HttpResponse> failure;  ///< Complete failure answer of an upstream.
  std::shared_ptr<HttpConnection> connection;
  StallState stall;
  TimePoint last_event;            ///< When the caller was last sent an event.
  bool settled = false;            ///< Stays at its present upstream to the end.
  Error error;                     ///< Why the last attempt failed.
  VmId upstream;                   ///< The last one that the request was sent to.
  const char* outcome = "failed";  ///< For the log line at the end.
  Milliseconds waited{0};          ///< For a place, over all attempts.
  Milliseconds proof_age{0};       ///< Of the configuration when the request was let in.

  [[nodiscard]] bool Repeatable() const {
    return this->route->repetition == Repetition::kIdempotent || this->route->resumable;
  }

  /** Says whether a request that may have run can go to another upstream. */
  [[nodiscard]] bool CanMove() const {
    return !this->settled && this->Repeatable() && this->sends < this->route->attempts;
  }

  /** Requests of one lane wait for the same places. */
  [[nodiscard]] std::string Lane() const { return this->service.value + "/" + this->model.value; }

  void OnUpstreamLost() override {
    if (!this->CanMove() || !this->connection) return;
    if (this->started) return this->connection->Interrupt();
    this->connection->Close();
  }

  std::unique_ptr<Standby> standby;  ///< The upstream that a started stream may go back to.
};

/** The upstream that a call was given, until the attempt ends. */
struct Relay::Place {
  Place(Relay& owner, AdmissionId number, DispatchTicket chosen)
      : relay(&owner), id(number), ticket(std::move(chosen)) {}
  Place(Place&& other) noexcept
      : relay(std::exchange(other.relay, nullptr)),
        id(other.id),
        served(other.served),
        ticket(std::move(other.ticket)) {}
  Place& operator=(Place&&) = delete;
  Place(const Place&) = delete;
  Place& operator=(const Place&) = delete;
  ~Place() {
    if (this->relay == nullptr) return;
    this->relay->queue.Finish(this->id, this->served, Clock::now());
    asio::post(this->relay->io, [relay = this->relay] { relay->Pump(); });
  }

  Relay* relay;
  AdmissionId id;
  bool served = false;
  DispatchTicket ticket;
};

/**
 * An upstream that went silent in the middle of a stream. It may be slow and not lost, so its
 * connection is kept until another upstream goes on with the stream.
 */
struct Relay::Standby {
  std::shared_ptr<HttpConnection> connection;
  Place place;
  EventBuffer events;    ///< With the part of an event that has arrived.
  bool revived = false;  ///< Bytes have arrived after the silence.
};

struct Relay::Waiter {
  Waiter(Relay& owner, Call& waiting) : relay(owner), call(waiting), timer(owner.io) {}
  Waiter(const Waiter&) = delete;
  Waiter& operator=(const Waiter&) = delete;
  ~Waiter() {
    this->relay.waiters.erase(this->id);
    if (!this->ticket) this->relay.queue.Cancel(this->id);
  }

  Relay& relay;
  Call& call;
  asio::steady_timer timer;
  AdmissionId id = 0;
  std::optional<DispatchTicket> ticket;
};

Relay::Relay(asio::io_context& context, RelayOptions settings, DispatchTable& dispatch,
             ConnectionPool& connections, std::shared_ptr<Metrics> counters)
    : io(context),
      options(std::move(settings)),
      table(dispatch),
      pool(connections),
      metrics(std::move(counters)),
      budget(this->options.retry_budget),
      queue(AdmissionOptions{}),
      random(std::random_device{}()) {}

Result<void> Relay::Check(Call& call, const HttpRequest& request) {
  if (!this->context.routes) {
    return NotRun(ErrorCode::kUnavailable, "this node has no configuration yet");
  }
  call.routes = this->context.routes;
  call.route = call.routes->Find(GetHeader(request.headers, "Host"), request.target);
  if (call.route == nullptr) {
    return NotRun(ErrorCode::kNotFound, "no route leads to " + request.target);
  }
  BOOST_OUTCOME_TRY(this->Authenticate(call, request));
  const auto given = ParseNumber(GetHeader(request.headers, this->options.headers.deadline_ms));
  Milliseconds allowed = call.route->timeout.count() > 0 ? call.route->timeout : kDefaultTimeout;
  if (given) allowed = std::min(allowed, Milliseconds(std::max<std::int64_t>(0, *given)));
  call.deadline = call.arrived + allowed;
  call.returned = given && this->returns.IsReturned(call.route->name,
                                                    Milliseconds(std::max<std::int64_t>(0, *given)),
                                                    call.route->objective);
  call.proof_age =
      std::chrono::duration_cast<Milliseconds>(BootClock::now() - this->context.confirmed);
  call.model = ModelName(std::string(GetHeader(request.headers, this->options.headers.model)));
  call.service = this->PickService(*call.route);
  const auto service = call.routes->config().services.find(call.service);
  const bool engine = service != call.routes->config().services.end() && service->second.engine;
  if (!engine) call.model = ModelName();
  if (const auto last =
          ParseNumber(GetHeader(request.headers, this->options.headers.last_event_id))) {
    call.events = EventBuffer(*last);
  }
  return success();
}

Result<void> Relay::Authenticate(Call& call, const HttpRequest& request) {
  const GatewayConfig& config = call.routes->config();
  call.priority = call.route->priority;
  if (!config.has_teams || !call.route->needs_key) return success();
  if (this->options.strict_keys &&
      this->context.confirmed + this->options.key_proof_lifetime < BootClock::now()) {
    return NotRun(ErrorCode::kUnavailable, "the configuration cannot be confirmed at present");
  }
  const auto holder =
      config.keys.find(std::string(GetHeader(request.headers, this->options.headers.key)));
  if (holder == config.keys.end()) {
    return NotRun(ErrorCode::kPermissionDenied, "the key is not known");
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

void Relay::Pump() {
  std::set<std::string> blocked;
  const TimePoint now = Clock::now();
  while (const auto id = this->queue.Next(blocked, now)) {
    const auto waiter = this->waiters.find(*id);
    const Call& call = waiter->second->call;
    auto ticket = this->table.Choose(
        {call.service, call.model, call.excluded, 1, call.Repeatable(), call.started},
        &waiter->second->call, now);
    if (!ticket) {
      blocked.insert(this->queue.LaneOf(*id));
      continue;
    }
    this->queue.Start(*id, now);
    waiter->second->ticket.emplace(std::move(*ticket));
    waiter->second->timer.cancel();
    this->waiters.erase(waiter);
  }
}

void Relay::ExpireWaiting() {
  for (const AdmissionId id : this->queue.Expire(Clock::now())) {
    if (const auto waiter = this->waiters.find(id); waiter != this->waiters.end()) {
      waiter->second->timer.cancel();
    }
  }
}

asio::awaitable<Result<Relay::Place>> Relay::Acquire(Call& call) {
  const TimePoint now = Clock::now();
  const DispatchRequest wanted{call.service,      call.model,  call.excluded, 1,
                               call.Repeatable(), call.started};
  if (!this->table.HasEligible(wanted, now)) {
    co_return NotRun(ErrorCode::kUnavailable,
                     "no upstream of " + call.service.value + " serves this request");
  }
  AdmissionRequest request;
  request.team = call.team;
  request.lane = call.Lane();
  // Callers that come back miss their objective anyway; those that can meet it go first.
  request.priority = QueuePriority(call.priority + (call.returned ? 1 : 0));
  request.deadline = call.deadline;
  request.again = call.sends > 0;
  request.under_way = call.started;
  const Milliseconds patience = CallerPatience(call.route->objective, call.route->gap_objective);
  request.start_by = request.again
                         ? call.deadline
                         : this->start_limit.StartBy(
                               request.lane, {call.arrived, call.deadline, call.route->objective,
                                              patience, call.returned});
  // A caller abandons a silent stream, so a wait beyond that only keeps it from its own upstream.
  if (call.standby) {
    request.start_by = std::min(call.deadline, call.last_event + patience);
  }
  const auto id = this->queue.Enqueue(request, now);
  if (!id) co_return id.error();
  Waiter waiter(*this, call);
  waiter.id = id.value();
  this->waiters.emplace(waiter.id, &waiter);
  this->Pump();
  if (!waiter.ticket) {
    waiter.timer.expires_at(request.start_by);
    if (call.standby) {
      call.standby->connection->NotifyReadable([this, id = waiter.id] {
        if (const auto found = this->waiters.find(id); found != this->waiters.end()) {
          found->second->call.standby->revived = true;
          found->second->timer.cancel();
        }
      });
    }
    co_await waiter.timer.async_wait(kNoThrow);
  }
  if (!waiter.ticket) {
    co_return NotRun(ErrorCode::kResourceExhausted, "no place became free in time");
  }
  co_return Place(*this, waiter.id, std::move(*waiter.ticket));
}

HttpRequest Relay::UpstreamRequest(const Call& call, const HttpRequest& request,
                                   const Place& place) const {
  const RelayHeaders& names = this->options.headers;
  HttpRequest upstream;
  upstream.method = request.method;
  upstream.target = request.target;
  upstream.headers = EndToEnd(request.headers);
  upstream.headers.erase(names.key);
  upstream.headers.erase(names.team);
  if (!call.team.value.empty()) upstream.headers[names.team] = call.team.value;
  upstream.headers[names.upstream_id] = place.ticket.upstream().value;
  upstream.headers[names.deadline_ms] =
      std::to_string(TimeLeft(call.deadline, Clock::now()).count());
  if (const auto last = call.events.last_id()) {
    upstream.headers[names.last_event_id] = std::to_string(*last);
  }
  upstream.body = request.body;
  return upstream;
}

void Relay::OnUpstreamFailure(const Call& call, const Place& place, const char* what,
                              const std::string& detail) {
  this->metrics->Add("upstream_failures_total", {{"kind", what}});
  Log(LogLevel::kWarning, "upstream_failure",
      {{"request", call.request_id},
       {"upstream", place.ticket.upstream().value},
       {"kind", what},
       {"detail", detail},
       {"sends", call.sends}});
}

void Relay::OnFault(const Call& call, const Place& place, const char* what, UpstreamFault fault) {
  this->OnUpstreamFailure(call, place, what, call.error.message);
  const bool slow = call.error.code == ErrorCode::kDeadlineExceeded;
  if (this->table.OnFault(place.ticket, slow ? UpstreamFault::kSlow : fault, Clock::now())) {
    this->metrics->Add("upstream_suspensions_total", {{"kind", what}});
    Log(LogLevel::kWarning, "upstream_suspended",
        {{"request", call.request_id},
         {"upstream", place.ticket.upstream().value},
         {"kind", what}});
  }
}

asio::awaitable<Result<std::shared_ptr<HttpConnection>>> Relay::ConnectTo(const Place& place,
                                                                          const Call& call) {
  const Deadline connect_by = std::min(call.deadline, Clock::now() + this->options.connect_timeout);
  const std::string& address = place.ticket.address();
  if (call.Repeatable()) return this->pool.Acquire(address, connect_by);
  // A pooled connection that its peer has just closed leaves open whether the request ran. The idle
  // ones make room for the new one: an upstream takes a limited number from all nodes together.
  this->pool.Drop(address);
  return HttpConnection::Connect(this->io, address, connect_by);
}

asio::awaitable<Relay::Outcome> Relay::Attempt(Call& call, Place& place, HttpExchange& exchange) {
  const auto connected = co_await this->ConnectTo(place, call);
  if (!connected) {
    call.error = connected.error();
    this->OnUpstreamFailure(call, place, "connect", call.error.message);
    this->table.OnLost(place.ticket.upstream(), Clock::now());
    co_return Outcome::kNotRun;
  }
  call.connection = connected.value();
  const std::shared_ptr<HttpConnection> connection = call.connection;
  ++call.sends;

  const TimePoint sent = Clock::now();
  Deadline answer_by = call.deadline;
  call.stall = {sent, TimePoint(), this->options.first_event_silence, this->options.single_silence};
  if (call.route->stream && call.CanMove()) {
    this->WatchForSilence(call, place);
    answer_by = std::min(call.deadline, NextStallCheck(call.stall));
  } else if (call.route->repetition == Repetition::kIdempotent && call.CanMove()) {
    const auto patience = std::chrono::duration_cast<Milliseconds>(
        call.route->objective * this->options.idempotent_patience);
    answer_by = std::min(call.deadline, sent + patience);
  }

  const auto written =
      co_await connection->Send(this->UpstreamRequest(call, exchange.request(), place), answer_by);
  if (!written) {
    call.error = written.error();
    call.may_have_run = true;
    this->OnFault(call, place, "send", UpstreamFault::kBroken);
    co_return Outcome::kLost;
  }
  auto head = co_await connection->ReadHead(answer_by);
  if (!head) {
    call.error = head.error();
    call.may_have_run = true;
    this->OnFault(call, place, "no_answer", UpstreamFault::kBroken);
    co_return Outcome::kLost;
  }
  const RelayHeaders& names = this->options.headers;
  if (head.value().Find(names.request_id).value_or("") != call.request_id) {
    call.error = MayHaveRun(ErrorCode::kUpstreamProtocol, "the answer is to another request");
    call.may_have_run = true;
    this->OnFault(call, place, "crossed", UpstreamFault::kBroken);
    co_return Outcome::kLost;
  }
  const int status = head.value().status;
  constexpr int kMisdirected = 421;
  if (head.value().Find(names.not_run) || status == kMisdirected) {
    std::string ignored;
    const auto done = co_await connection->ReadSome(ignored, Clock::now() + kRefusalReadTime);
    if (done && done.value()) this->pool.Release(connection);
    call.error = NotRun(ErrorCode::kResourceExhausted,
                        "the upstream refused with " + std::to_string(status));
    this->OnFault(call, place, "refused",
                  status == kMisdirected ? UpstreamFault::kMisdirected : UpstreamFault::kRefused);
    co_return Outcome::kNotRun;
  }
  if (call.route->stream && status == 200) {
    co_return co_await this->RelayStream(call, place, exchange, std::move(head.value()));
  }
  co_return co_await this->RelayPlain(call, place, exchange, std::move(head.value()));
}

void Relay::WatchForSilence(Call& call, Place& place) {
  call.connection->SetExpiryHook([this, &call, &place](TimePoint now) {
    call.stall.upstream_progress = place.ticket.last_progress();
    const StallVerdict verdict = JudgeStall(call.stall, now);
    if (verdict == StallVerdict::kWaiting) {
      return std::min(call.deadline, NextStallCheck(call.stall));
    }
    if (verdict == StallVerdict::kUpstreamLost) {
      this->OnUpstreamFailure(call, place, "silent", "no bytes for any request");
      this->table.OnLost(place.ticket.upstream(), now);
    }
    return now;
  });
}

asio::awaitable<Relay::Outcome> Relay::RelayPlain(Call& call, Place& place, HttpExchange& exchange,
                                                  ResponseHead head) {
  HttpResponse response{head.status, EndToEnd(head.headers), {}};
  for (;;) {
    std::string piece;
    const auto done = co_await call.connection->ReadSome(piece, call.deadline);
    const bool too_large = response.body.size() + piece.size() > kMaxAnswerBytes;
    if (!done || too_large) {
      call.error =
          done ? MayHaveRun(ErrorCode::kUpstreamProtocol, "the answer is too large") : done.error();
      call.may_have_run = true;
      this->OnFault(call, place, "cut", UpstreamFault::kBroken);
      co_return Outcome::kLost;
    }
    response.body.append(piece);
    if (done.value()) break;
  }
  this->pool.Release(call.connection);
  const TimePoint now = Clock::now();
  this->table.OnProgress(place.ticket, now);
  if (call.sends == 1) this->start_limit.OnFirstBytes(call.Lane(), now - call.stall.last_bytes);
  const bool success = head.status >= 200 && head.status < 300;
  if (success && !head.Find(this->options.headers.digest)) {
    call.error = MayHaveRun(ErrorCode::kUpstreamProtocol, "the answer has no digest");
    call.may_have_run = true;
    this->OnFault(call, place, "unsigned", UpstreamFault::kBroken);
    co_return Outcome::kLost;
  }
  constexpr int kFirstServerError = 500;
  if (head.status >= kFirstServerError) {
    // Such an answer without the mark of a refusal leaves open whether the request ran.
    call.may_have_run = true;
    call.error = MayHaveRun(ErrorCode::kUpstreamLost,
                            "the upstream failed with " + std::to_string(head.status));
    call.failure = std::move(response);
    this->OnFault(call, place, "failed", UpstreamFault::kError);
    co_return Outcome::kUpstreamFailed;
  }
  this->table.OnSuccess(place.ticket, now);
  place.served = success;
  const auto sent = co_await exchange.Send(std::move(response));
  co_return sent ? Outcome::kAnswered : Outcome::kCallerGone;
}

asio::awaitable<Relay::Outcome> Relay::RelayStream(Call& call, Place& place, HttpExchange& exchange,
                                                   ResponseHead head) {
  const TimePoint sent = call.stall.last_bytes;
  const auto pause = call.route->gap_objective + this->options.group_silence_margin;
  bool first = true;
  for (;;) {
    const Deadline read_by =
        call.CanMove() ? std::min(call.deadline, NextStallCheck(call.stall)) : call.deadline;
    const auto done = co_await call.connection->ReadSome(call.events.bytes(), read_by);
    if (!done) {
      call.error = done.error();
      call.may_have_run = true;
      this->OnFault(call, place, "cut", UpstreamFault::kBroken);
      co_return Outcome::kLost;
    }
    const TimePoint now = Clock::now();
    this->table.OnProgress(place.ticket, now);
    call.stall.last_bytes = now;
    auto whole = call.events.TakeWhole();
    if (!whole || (done.value() && call.events.has_part())) {
      call.error = whole ? MayHaveRun(ErrorCode::kUpstreamProtocol, "the stream ends in an event")
                         : whole.error();
      call.may_have_run = true;
      this->OnFault(call, place, "garbled", UpstreamFault::kBroken);
      co_return Outcome::kLost;
    }
    if (!whole.value().empty() && first) {
      first = false;
      if (call.sends == 1) this->start_limit.OnFirstBytes(call.Lane(), now - sent);
      call.stall.group_silence = pause;
    }
    if (!call.started && (!whole.value().empty() || done.value())) {
      const auto started = co_await exchange.StartStream(head.status, EndToEnd(head.headers));
      if (!started) co_return Outcome::kCallerGone;
      call.started = true;
      // A stream that has begun may come back to a silent upstream.
      call.connection->KeepOnExpiry();
    }
    if (!whole.value().empty()) {
      call.standby.reset();
      call.last_event = now;
      const auto written = co_await exchange.WriteChunk(whole.value());
      if (!written) co_return Outcome::kCallerGone;
    }
    if (done.value()) break;
  }
  this->pool.Release(call.connection);
  this->table.OnSuccess(place.ticket, Clock::now());
  place.served = true;
  if (call.sends == 1) this->demand.OnServed(call.model, Clock::now() - sent);
  const auto finished = co_await exchange.FinishStream();
  co_return finished ? Outcome::kAnswered : Outcome::kCallerGone;
}

bool Relay::MayTryAgain(Call& call, Outcome outcome) {
  const TimePoint now = Clock::now();
  if (call.sends >= call.route->attempts || call.deadline <= now) return false;
  if (outcome != Outcome::kNotRun && !call.Repeatable()) return false;
  // An attempt that never reached an upstream is no extra arrival there.
  return call.sends == 0 || this->budget.TryTake(call.service, now);
}

bool Relay::Park(Call& call, Place& place) {
  const bool silent = call.error.code == ErrorCode::kDeadlineExceeded && call.connection->IsOpen();
  if (!call.started || call.standby || !silent || call.deadline <= Clock::now()) return false;
  call.connection->SetExpiryHook(nullptr);
  place.ticket.DropListener();
  call.standby = std::make_unique<Standby>(Standby{call.connection, std::move(place), call.events});
  return true;
}

asio::awaitable<Relay::Outcome> Relay::ReturnToStandby(Call& call, HttpExchange& exchange) {
  const std::unique_ptr<Standby> standby = std::move(call.standby);
  Log(LogLevel::kInfo, "stream_returns",
      {{"request", call.request_id},
       {"upstream", standby->place.ticket.upstream().value},
       {"revived", standby->revived},
       {"sends", call.sends},
       {"detail", call.error.message}});
  call.connection = standby->connection;
  call.upstream = standby->place.ticket.upstream();
  call.events = standby->events;
  call.settled = true;
  const Outcome outcome = co_await this->RelayStream(call, standby->place, exchange, {});
  call.connection.reset();
  call.events.DropPart();
  co_return outcome;
}

asio::awaitable<void> Relay::Run(Call& call, HttpExchange& exchange) {
  this->budget.OnRequest(call.service, call.arrived);
  if (!call.model.value.empty()) this->demand.OnArrival(call.model, call.arrived);
  // Upstreams that cannot be reached are passed over; there are never more than this to try.
  constexpr int kMaxPlaces = 6;
  for (int places = 0; places < kMaxPlaces; ++places) {
    const TimePoint asked = Clock::now();
    auto place = co_await this->Acquire(call);
    call.waited += std::chrono::duration_cast<Milliseconds>(Clock::now() - asked);
    Outcome outcome = Outcome::kNotRun;
    if (place) {
      call.upstream = place.value().ticket.upstream();
      call.excluded.push_back(call.upstream);
      outcome = co_await this->Attempt(call, place.value(), exchange);
      const bool parked = outcome == Outcome::kLost && this->Park(call, place.value());
      call.connection.reset();
      call.events.DropPart();
      if (parked && this->MayTryAgain(call, outcome)) continue;
    } else if (call.sends == 0) {
      call.error = place.error();
    }
    const bool returns = call.standby && !IsFinal(outcome);
    if (returns) outcome = co_await this->ReturnToStandby(call, exchange);
    if (outcome == Outcome::kAnswered) call.outcome = "answered";
    if (outcome == Outcome::kCallerGone) call.outcome = "caller_gone";
    if (IsFinal(outcome)) co_return;
    const bool sent = place || returns;
    if (!sent || !this->MayTryAgain(call, outcome)) break;
  }
  co_await this->Finish(call, exchange);
}

double Relay::RetryAfter(const Call& call) {
  const double left = std::chrono::duration<double>(call.deadline - Clock::now()).count();
  const double longest = std::clamp(left * kRetryAfterPart, 0.0, kLongestRetryAfterS);
  // Callers that were refused together come back spread over the time in which places come free.
  return std::uniform_real_distribution<double>(longest / 3, longest)(this->random);
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

asio::awaitable<void> Relay::Finish(Call& call, HttpExchange& exchange) {
  if (call.started) {
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
  constexpr int kUnavailable = 503;
  const bool promises =
      call.failure && (call.failure->status == kUnavailable || call.failure->status == 429);
  if (call.failure && (!promises || call.Repeatable())) {
    Log(LogLevel::kInfo, "failure_relayed",
        {{"request", call.request_id}, {"status", call.failure->status}});
    [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(*call.failure));
    co_return;
  }
  call.error.verdict = Verdict::kMayHaveRun;
  const int status = call.deadline <= Clock::now() ? 504 : 502;
  co_await this->Refuse(exchange, status, call.error, 0);
}

asio::awaitable<void> Relay::Handle(HttpExchange& exchange) {
  Call call;
  call.arrived = Clock::now();
  call.request_id = GetHeader(exchange.request().headers, this->options.headers.request_id);
  const auto checked = this->Check(call, exchange.request());
  if (!checked) {
    int status = 503;
    if (checked.error().code == ErrorCode::kNotFound) status = 404;
    if (checked.error().code == ErrorCode::kPermissionDenied) status = 401;
    constexpr double kNoConfigRetryS = 0.3;
    co_return co_await this->Refuse(exchange, status, checked.error(),
                                    status == 503 ? kNoConfigRetryS : 0);
  }
  co_await this->Run(call, exchange);
  const std::chrono::duration<double> passed = Clock::now() - call.arrived;
  constexpr double kMsPerS = 1000;
  Log(LogLevel::kInfo, "request",
      {{"request", call.request_id},
       {"route", call.route->name},
       {"team", call.team.value},
       {"upstream", call.upstream.value},
       {"outcome", call.outcome},
       {"sends", call.sends},
       {"ms", std::lround(passed.count() * kMsPerS)},
       {"waited_ms", call.waited.count()},
       {"config", call.routes->config().version},
       {"proof_age_ms", call.proof_age.count()}});
  this->metrics->Observe("request_seconds",
                         {{"team", call.team.value}, {"route", call.route->name}}, passed.count());
}

}  // namespace limpetfall
