#include "runners.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <utility>

#include "base/pause.h"

namespace limpetfall::review {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr Milliseconds kTick{20};
constexpr int kReportsUntilRemoval = 3;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

asio::awaitable<void> Pause(Milliseconds time) {
  co_await limpetfall::detail::PauseUntil(Clock::now() + time);
}

// g++ 12 miscompiles initializer lists inside a coroutine, so these are functions.
Headers StreamHeaders(const std::string& request_id) {
  return {{"Content-Type", "text/event-stream"},
          {"X-Request-Id", request_id},
          {"X-Server-Stamp", "stamp-" + request_id},
          {"X-Weight-Versions", "1"}};
}

Headers SingleHeader(const std::string& name, const std::string& value) { return {{name, value}}; }

std::string ReportBody(std::int64_t orders, int active, std::int64_t born) {
  return json{{"stage", "mixed"}, {"models", json::array()},
              {"busy", false},    {"seq", orders},
              {"queued", 0},      {"active", active},
              {"kvUsed", 0},      {"kvTotal", 1860000},
              {"handles", 0},     {"born", born}}
      .dump();
}

std::string Text(const Membership& membership) {
  return membership.group + " epoch " + std::to_string(membership.epoch) + " (head " +
         membership.members.front() + ")";
}

}  // namespace

Fleet::Fleet(asio::io_context& context, Platform& platform, Record& record, FleetOptions settings)
    : io(context), store(platform), log(record), options(settings) {
  asio::co_spawn(this->io, this->Tick(), asio::detached);
}

void Fleet::Start(const RunnerSpec& spec) {
  auto runner = std::make_unique<Runner>();
  runner->spec = spec;
  runner->born = UnixMilliseconds();
  Runner& added = *runner;
  this->runners.emplace(spec.id, std::move(runner));
  added.server =
      HttpServer::Create(
          this->io, spec.address,
          [this, &added](HttpExchange& exchange) { return this->Serve(added, exchange); }, {})
          .value();
  this->log.Write("runner " + spec.id + " starts");
  this->Report(added);
}

void Fleet::Kill(const std::string& id) {
  Runner& runner = *this->runners.at(id);
  this->log.Write("runner " + id + " is killed");
  runner.alive = false;
  runner.membership.reset();
  runner.server->StopAccepting();
}

void Fleet::SetCut(const std::string& id, bool cut) {
  Runner& runner = *this->runners.at(id);
  this->log.Write("runner " + id + (cut ? " is cut off" : " is no longer cut off"));
  runner.cut = cut;
  if (!cut) this->Report(runner);
}

void Fleet::StopReports(const std::string& id) { this->runners.at(id)->reports = false; }

std::vector<std::string> Fleet::OpenHeads() const {
  std::vector<std::string> heads;
  for (const auto& [id, runner] : this->runners) {
    if (runner->membership && runner->membership->state == "open") heads.push_back(id);
  }
  return heads;
}

bool Fleet::IsHead(const Runner& runner) const {
  return runner.membership && runner.membership->members.front() == runner.spec.id;
}

bool Fleet::IsComplete(const Runner& head) const {
  const Membership& own = *head.membership;
  return std::all_of(own.members.begin(), own.members.end(), [&](const std::string& id) {
    const auto member = this->runners.find(id);
    return member != this->runners.end() && member->second->alive && member->second->membership &&
           member->second->membership->Is(own.group, own.epoch);
  });
}

void Fleet::Report(Runner& runner) {
  if (!runner.alive || runner.cut || !runner.reports) return;
  runner.last_report = Clock::now();
  json entry{{"service", runner.spec.service},
             {"addr", runner.spec.address},
             {"zone", runner.spec.zone},
             {"version", "v1"},
             {"slots", runner.spec.slots},
             {"state", "ready"},
             {"coldLeftMs", 0},
             {"born", runner.born},
             {"seq", ++runner.beats}};
  if (!runner.spec.domain.empty()) {
    entry["stage"] = "mixed";
    entry["domain"] = runner.spec.domain;
    entry["staged"] = runner.staged;
    entry["models"] = json::array();
    if (runner.membership) {
      const Membership& own = *runner.membership;
      const auto rank = std::find(own.members.begin(), own.members.end(), runner.spec.id);
      entry["models"] = {{{"name", own.model}, {"version", 1}, {"adapters", json::array()}}};
      entry["group"] = {{"name", own.group},
                        {"epoch", own.epoch},
                        {"rank", rank - own.members.begin()},
                        {"state", own.state}};
    }
  }
  runner.listed = true;
  this->store.Put("servers/" + runner.spec.id, entry.dump());
}

asio::awaitable<void> Fleet::Tick() {
  for (;;) {
    co_await Pause(kTick);
    for (auto& [id, runner] : this->runners) this->Advance(*runner);
  }
}

void Fleet::Advance(Runner& runner) {
  const TimePoint now = Clock::now();
  const bool silent = !runner.alive || runner.cut;
  if (silent && runner.reports && runner.listed &&
      runner.last_report + kReportsUntilRemoval * this->options.beat <= now) {
    runner.listed = false;
    this->store.Remove({"servers/" + runner.spec.id});
  }
  if (!runner.alive) return;
  bool changed = runner.last_report + this->options.beat <= now;
  if (runner.membership) {
    Membership& own = *runner.membership;
    if (own.state == "joining" && runner.ready_at <= now) {
      own.state = "ready";
      runner.last_model = own.model;
      runner.staged = {own.model};
      changed = true;
    }
    if (own.state == "ready" && runner.open_at != Deadline::max() && runner.open_at <= now) {
      own.state = "open";
      runner.open_at = Deadline::max();
      this->log.Write("group " + Text(own) + " is open");
      changed = true;
    }
    if (own.state == "closing" && runner.active == 0) {
      own.state = "ready";
      changed = true;
    }
    if ((own.state == "open" || own.state == "closing") && this->IsHead(runner)) {
      const bool complete = this->IsComplete(runner);
      if (complete) runner.broken_at.reset();
      if (!complete && !runner.broken_at) runner.broken_at = now + this->options.stall_time;
      if (runner.broken_at && *runner.broken_at <= now) {
        own.state = "broken";
        this->log.Write("group " + Text(own) + " is broken");
        changed = true;
      }
    }
  }
  if (changed) this->Report(runner);
}

int Fleet::Join(Runner& runner, const json& order) {
  Membership next;
  next.group = order.at("group").get<std::string>();
  next.epoch = order.at("epoch").get<std::int64_t>();
  next.model = order.at("model").get<std::string>();
  next.members = order.at("members").get<std::vector<std::string>>();
  next.state = "joining";
  if (next.epoch < runner.highest_epoch) return 412;
  if (runner.membership && runner.membership->Is(next.group, next.epoch))
    return runner.membership->members == next.members ? 200 : 412;
  if (runner.membership) {
    const Membership before = *runner.membership;
    const auto head = this->runners.find(before.members.front());
    const bool serving =
        head != this->runners.end() && head->second->alive && head->second->membership &&
        head->second->membership->Is(before.group, before.epoch) &&
        (head->second->membership->state == "open" || head->second->membership->state == "closing");
    if (serving && this->on_stolen) this->on_stolen(runner.spec.id, before, next);
  }
  Milliseconds needed = this->options.load_time;
  if (std::find(runner.staged.begin(), runner.staged.end(), next.model) != runner.staged.end())
    needed = this->options.warm_time;
  if (runner.last_model == next.model) needed = this->options.rejoin_time;
  runner.highest_epoch = next.epoch;
  runner.ready_at = Clock::now() + needed;
  runner.open_at = Deadline::max();
  runner.broken_at.reset();
  runner.membership = std::move(next);
  ++runner.orders;
  return 202;
}

int Fleet::Execute(Runner& runner, const json& order) {
  if (order.contains("expected") && order.at("expected").get<std::int64_t>() != runner.orders)
    return 409;
  const std::string op = order.at("op").get<std::string>();
  if (op == "join") return this->Join(runner, order);
  if (op == "stage") {
    const std::string model = order.at("model").get<std::string>();
    if (runner.staged == std::vector<std::string>{model}) return 200;
    runner.staged = {model};
    ++runner.orders;
    return 202;
  }
  if (op != "open" && op != "close" && op != "leave") return 400;
  const bool concerned =
      runner.membership &&
      runner.membership->Is(order.at("group").get<std::string>(), order.at("epoch"));
  if (op == "leave") {
    if (!concerned) return 200;
    runner.membership.reset();
    ++runner.orders;
    return 200;
  }
  if (!concerned || !this->IsHead(runner)) return 409;
  std::string& state = runner.membership->state;
  if (op == "open") {
    if (state == "open" || runner.open_at != Deadline::max()) return 200;
    if (state != "ready") return 409;
    runner.open_at = Clock::now() + this->options.form_time;
  } else {
    if (state != "open") return state == "ready" || state == "closing" ? 200 : 409;
    state = "closing";
  }
  ++runner.orders;
  return 202;
}

asio::awaitable<void> Fleet::Reply(Runner& runner, HttpExchange& exchange, int status,
                                   Headers headers, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers = std::move(headers);
  response.headers["X-Request-Id"] = GetHeader(exchange.request().headers, "X-Request-Id");
  response.headers["X-Runner-Id"] = runner.spec.id;
  response.body = std::move(body);
  [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(response));
}

asio::awaitable<void> Fleet::ServeOrder(Runner& runner, HttpExchange& exchange) {
  const json order = json::parse(exchange.request().body);
  const bool lost = this->loses_answer && this->loses_answer(runner.spec.id, order);
  const std::int64_t orders_before = runner.orders;
  const int status = this->Execute(runner, order);
  this->log.Write("runner " + runner.spec.id + " gets order " + order.dump() + ": " +
                  (lost ? "carried out, no answer" : std::to_string(status)));
  if (runner.orders != orders_before) this->Report(runner);
  if (lost) {
    // The server cancels this coroutine when the caller closes the connection.
    co_await Pause(Milliseconds(60000));
    co_return;
  }
  co_await this->Reply(runner, exchange, status, Headers(), "{}");
}

asio::awaitable<void> Fleet::ServeStream(Runner& runner, HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string id(GetHeader(request.headers, "X-Request-Id"));
  const bool serving = this->IsHead(runner) && runner.membership->state == "open" &&
                       runner.membership->model == GetHeader(request.headers, "X-Model");
  if (!serving) {
    const bool broken = runner.membership && runner.membership->state == "broken";
    co_await this->Reply(runner, exchange, broken ? 503 : 421, SingleHeader("X-Not-Run", "1"), "");
    co_return;
  }
  const std::string last(GetHeader(request.headers, "Last-Event-Id"));
  int next = last.empty() ? 1 : std::stoi(last) + 1;
  if (this->on_run) this->on_run(runner.spec.id, request);
  this->log.Write("runner " + runner.spec.id + " runs request " + id + " from event " +
                  std::to_string(next));
  ++runner.active;
  const std::shared_ptr<void> counted(nullptr, [&runner](void*) { --runner.active; });
  const auto started = co_await exchange.StartStream(200, StreamHeaders(id));
  if (!started) co_return;
  for (; next <= this->options.events; ++next) {
    co_await Pause(this->options.event_interval);
    while (runner.cut || (runner.alive && runner.broken_at)) co_await Pause(kTick);
    if (!runner.alive) {
      exchange.Abort();
      co_return;
    }
    const auto written = co_await exchange.WriteChunk(
        "id: " + std::to_string(next) + "\ndata: piece " + std::to_string(next) + "\n\n");
    if (!written) co_return;
  }
  this->log.Write("runner " + runner.spec.id + " has finished request " + id);
  [[maybe_unused]] const auto finished = co_await exchange.FinishStream();
}

asio::awaitable<void> Fleet::ServePlain(Runner& runner, HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string id(GetHeader(request.headers, "X-Request-Id"));
  if (runner.active >= runner.spec.slots) {
    co_await this->Reply(runner, exchange, 503, SingleHeader("X-Not-Run", "1"), "");
    co_return;
  }
  if (this->on_run) this->on_run(runner.spec.id, request);
  this->log.Write("runner " + runner.spec.id + " runs request " + id);
  ++runner.active;
  const std::shared_ptr<void> counted(nullptr, [&runner](void*) { --runner.active; });
  co_await Pause(this->options.work_time);
  if (!runner.alive) {
    this->log.Write("runner " + runner.spec.id + " has ended while it ran request " + id);
    exchange.Abort();
    co_return;
  }
  const int status = this->status_of_run ? this->status_of_run(runner.spec.id) : 200;
  this->log.Write("runner " + runner.spec.id + " answers " + std::to_string(status) + " to " + id);
  co_await this->Reply(runner, exchange, status, SingleHeader("X-Server-Stamp", "stamp-" + id),
                       (status == 200 ? "done " : "failed ") + id);
}

asio::awaitable<void> Fleet::Serve(Runner& runner, HttpExchange& exchange) {
  // The server cancels this coroutine when the caller closes the connection.
  while (runner.cut) co_await Pause(kTick);
  if (!runner.alive) {
    exchange.Abort();
    co_return;
  }
  const HttpRequest& request = exchange.request();
  const std::string_view expected = GetHeader(request.headers, "X-Expect-Instance");
  if (!expected.empty() && expected != runner.spec.id) {
    co_await this->Reply(runner, exchange, 421, Headers(), "");
  } else if (request.target == "/api/report") {
    co_await this->Reply(runner, exchange, 200, Headers(),
                         ReportBody(runner.orders, runner.active, runner.born));
  } else if (request.target == "/api/order") {
    co_await this->ServeOrder(runner, exchange);
  } else if (request.target == "/healthz") {
    co_await this->Reply(runner, exchange, 200, Headers(), "");
  } else if (runner.spec.domain.empty()) {
    co_await this->ServePlain(runner, exchange);
  } else {
    co_await this->ServeStream(runner, exchange);
  }
}

}  // namespace limpetfall::review
