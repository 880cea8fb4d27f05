#include "harness/fake-deployment.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/base64.h"
#include "base/pause.h"

namespace limpetfall::testing {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::string_view kConfigKey = "op/config";

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

std::string QueryParameter(const std::string& target, const std::string& name) {
  const auto start = target.find(name + "=");
  if (start == std::string::npos) return "";
  const auto value = start + name.size() + 1;
  return target.substr(value, target.find('&', value) - value);
}

}  // namespace

FakeDeployment::FakeDeployment(asio::io_context& context) : io(context) {
  this->store_server =
      HttpServer::Create(this->io, "127.0.0.1:0",
                         [this](HttpExchange& exchange) { return this->ServeStore(exchange); }, {})
          .value();
  asio::co_spawn(this->io, this->ExpireLeases(), asio::detached);
}

std::string FakeDeployment::AddStoreAddress() {
  // The handler needs the address, which is known only after the server has been created.
  auto address = std::make_shared<std::string>();
  this->store_addresses.push_back(
      HttpServer::Create(this->io, "127.0.0.1:0",
                         [this, address](HttpExchange& exchange) -> asio::awaitable<void> {
                           if (this->refused_stores.contains(*address)) {
                             return this->ReplyFromStore(exchange, 429, json::object());
                           }
                           return this->ServeStore(exchange);
                         },
                         {})
          .value());
  *address = this->store_addresses.back()->address();
  return *address;
}

void FakeDeployment::AddRunner(const std::string& id, const std::string& service,
                               const std::string& domain, std::size_t max_connections) {
  auto runner = std::make_unique<FakeRunner>();
  runner->id = id;
  runner->service = service;
  runner->domain = domain;
  runner->max_connections = max_connections;
  FakeRunner& added = *runner;
  this->StartServer(added);
  this->runners.emplace(id, std::move(runner));
  this->Publish(added);
}

void FakeDeployment::StartServer(FakeRunner& runner) {
  runner.server = HttpServer::Create(this->io, "127.0.0.1:0",
                                     [this, &runner](HttpExchange& exchange) {
                                       return this->ServeRunner(runner, exchange);
                                     },
                                     {.max_connections = runner.max_connections})
                      .value();
  runner.published_address = runner.server->address();
}

void FakeDeployment::Crash(const std::string& id) {
  FakeRunner& runner = *this->runners.at(id);
  if (runner.down) return;
  ++this->crashes;
  runner.down = true;
  RecordLeaving(runner);
  runner.server->StopAccepting();
  asio::co_spawn(this->io, this->RestartLater(runner), asio::detached);
}

void FakeDeployment::EndRunner(const std::string& id) {
  FakeRunner& runner = *this->runners.at(id);
  if (!runner.down) {
    runner.down = true;
    RecordLeaving(runner);
    runner.server->StopAccepting();
  }
  this->Remove("servers/" + id);
}

asio::awaitable<void> FakeDeployment::RestartLater(FakeRunner& runner) {
  co_await limpetfall::detail::PauseUntil(Clock::now() + this->crash_downtime);
  this->ended_servers.push_back(std::move(runner.server));
  this->StartServer(runner);
  runner.down = false;
  ++runner.boot;
  runner.orders = 0;
  runner.group = json();
  runner.model.clear();
  runner.highest_epoch = 0;
  runner.state = "ready";
  runner.extra_headers.clear();
  this->Publish(runner);
}

void FakeDeployment::Publish(const FakeRunner& runner) {
  json entry{{"service", runner.service},
             {"addr", runner.published_address},
             {"zone", "z1"},
             {"version", "v1"},
             {"slots", 6},
             {"state", runner.state},
             {"seq", 1},
             {"born", runner.boot},
             {"domain", runner.domain},
             {"staged", runner.staged}};
  if (!runner.group.is_null()) entry["group"] = runner.group;
  if (!runner.model.empty()) entry["models"] = {{{"name", runner.model}, {"version", 1}}};
  this->Put("servers/" + runner.id, entry.dump());
}

void FakeDeployment::SetRunnerAddress(const std::string& id, const std::string& address) {
  FakeRunner& runner = *this->runners.at(id);
  runner.published_address = address;
  this->Publish(runner);
}

void FakeDeployment::RecordChange(const std::string& key, bool removed) {
  this->events.push_back({this->revision, key, removed});
  for (asio::steady_timer* watcher : this->watchers) watcher->cancel();
}

std::shared_ptr<const FakeDeployment::StoreCopy> FakeDeployment::CopyStore() const {
  return std::make_shared<const StoreCopy>(
      StoreCopy{this->items, this->events, this->leases, this->revision, this->last_lease});
}

void FakeDeployment::RestoreStore(const StoreCopy& copy) {
  ++this->era;
  this->items = copy.items;
  this->events = copy.events;
  this->leases = copy.leases;
  this->revision = copy.revision;
  this->last_lease = copy.last_lease;
  for (auto& [id, lease] : this->leases) lease.expires = Clock::now() + lease.lifetime;
  for (asio::steady_timer* watcher : this->watchers) watcher->cancel();
}

void FakeDeployment::RewriteRunners() {
  for (const auto& [id, runner] : this->runners) {
    if (!runner->down) this->Publish(*runner);
  }
}

void FakeDeployment::RewriteConfig() {
  if (!this->last_config.empty()) this->Put(std::string(kConfigKey), this->last_config);
}

void FakeDeployment::RewriteEntries() {
  this->RewriteRunners();
  this->RewriteConfig();
}

std::int64_t FakeDeployment::GrantLease(Milliseconds lifetime) {
  this->leases[++this->last_lease] = {Clock::now() + lifetime, lifetime};
  return this->last_lease;
}

void FakeDeployment::Put(const std::string& key, const std::string& value, std::int64_t lease) {
  if (key == kConfigKey) this->last_config = value;
  ++this->revision;
  Item& item = this->items[key];
  if (item.created == 0) item.created = this->revision;
  item.value = value;
  item.revision = this->revision;
  item.lease = lease;
  this->RecordChange(key, false);
}

void FakeDeployment::Remove(const std::string& key) {
  if (this->items.erase(key) == 0) return;
  ++this->revision;
  this->RecordChange(key, true);
}

void FakeDeployment::Isolate(const std::string& id) {
  this->runners.at(id)->mode = RunnerMode::kUnresponsive;
  this->runners.at(id)->server->StopAccepting();
}

std::string FakeDeployment::GroupOf(const std::string& id) const {
  const nlohmann::json& group = this->runners.at(id)->group;
  return group.is_object() ? group.value("name", "") : "";
}

std::vector<std::string> FakeDeployment::OpenHeads() const {
  std::vector<std::string> heads;
  for (const auto& [id, runner] : this->runners) {
    if (!runner->group.is_null() && runner->group.at("state") == "open") heads.push_back(id);
  }
  return heads;
}

int FakeDeployment::CountRuns(const std::string& request_id) const {
  return static_cast<int>(std::count_if(
      this->runner_requests.begin(), this->runner_requests.end(), [&](const auto& request) {
        const auto id = request.headers.find("X-Request-Id");
        return request.ran && id != request.headers.end() && id->second == request_id;
      }));
}

asio::awaitable<void> FakeDeployment::Reply(HttpExchange& exchange, int status, json body) {
  HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = body.dump();
  [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(response));
}

asio::awaitable<void> FakeDeployment::ExpireLeases() {
  for (;;) {
    co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(50));
    if (this->store_mode != StoreMode::kServing) continue;
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : this->leases) {
      if (lease.expires <= Clock::now()) expired.push_back(id);
    }
    for (const std::int64_t id : expired) this->EndLease(id);
  }
}

void FakeDeployment::EndLease(std::int64_t id) {
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->items) {
    if (item.lease == id) keys.push_back(key);
  }
  this->leases.erase(id);
  for (const std::string& key : keys) this->Remove(key);
}

json FakeDeployment::ItemJson(const std::string& key, const Item& item) const {
  return {{"key", key},
          {"value", EncodeBase64(item.value)},
          {"revision", item.revision},
          {"createdRev", item.created},
          {"lease", item.lease}};
}

asio::awaitable<void> FakeDeployment::ReplyFromStore(HttpExchange& exchange, int status,
                                                     json body) {
  HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  const std::string era = this->stated_era.value_or(std::to_string(this->era));
  if (!era.empty()) response.headers["Store-Era"] = era;
  response.body = body.dump();
  [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(response));
}

json FakeDeployment::Transact(const json& body, int& status) {
  for (const json& row : body.at("expected")) {
    const auto found = this->items.find(row.at("key").get<std::string>());
    const std::int64_t present = found == this->items.end() ? 0 : found->second.revision;
    if (present == row.at("revision").get<std::int64_t>()) continue;
    status = 412;
    return {{"items", json::array()}};
  }
  for (const json& put : body.at("puts")) {
    const std::int64_t lease = put.value("lease", std::int64_t{0});
    if (lease == 0 || this->leases.contains(lease)) continue;
    status = 404;
    return json::object();
  }
  status = 200;
  for (const json& put : body.at("puts")) {
    this->Put(put.at("key"), *DecodeBase64(put.at("value").get<std::string>()),
              put.value("lease", std::int64_t{0}));
  }
  for (const json& key : body.at("deletes")) this->Remove(key);
  return {{"revision", this->revision}};
}

asio::awaitable<void> FakeDeployment::ServeWatch(HttpExchange& exchange) {
  const std::string target = exchange.request().target;
  const std::int64_t after = std::stoll(QueryParameter(target, "after"));
  const Milliseconds wait(std::stoll(QueryParameter(target, "waitMs")));
  const std::int64_t era_before = this->era;
  if (this->revision == after) {
    asio::steady_timer timer(this->io, Clock::now() + wait);
    this->watchers.insert(&timer);
    const std::shared_ptr<void> registered(nullptr,
                                           [this, &timer](void*) { this->watchers.erase(&timer); });
    co_await timer.async_wait(kNoThrow);
  }
  if (this->IsStoreAway()) {
    co_await this->ServeAway(exchange);
    co_return;
  }
  // The history of this revision does not exist, or does not exist any more.
  if (this->revision < after || this->era != era_before) {
    co_await this->ReplyFromStore(exchange, 410, json::object());
    co_return;
  }
  json found = json::array();
  for (const Event& event : this->events) {
    if (event.revision <= after) continue;
    const auto item = this->items.find(event.key);
    if (event.removed) {
      found.push_back({{"key", event.key}, {"revision", event.revision}, {"tombstone", true}});
    } else if (item != this->items.end() && item->second.revision == event.revision) {
      found.push_back(this->ItemJson(event.key, item->second));
    }
  }
  json body;
  body["events"] = std::move(found);
  body["currentRev"] = this->revision;
  co_await this->ReplyFromStore(exchange, 200, std::move(body));
}

asio::awaitable<void> FakeDeployment::ServeAway(HttpExchange& exchange) {
  if (this->store_mode == StoreMode::kRefusing) {
    co_await this->ReplyFromStore(exchange, 503, json::object());
  } else {
    co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(60000));
  }
}

asio::awaitable<void> FakeDeployment::ServeStore(HttpExchange& exchange) {
  const std::string target = exchange.request().target;
  if (this->IsStoreAway()) {
    co_await this->ServeAway(exchange);
    co_return;
  }
  const std::string& body = exchange.request().body;
  if (target.starts_with("/api/kv-range")) {
    json found = json::array();
    for (const auto& [key, item] : this->items) found.push_back(this->ItemJson(key, item));
    json answer;
    answer["items"] = std::move(found);
    answer["hasMore"] = false;
    answer["currentRev"] = this->revision;
    co_await this->ReplyFromStore(exchange, 200, std::move(answer));
  } else if (target.starts_with("/api/kv-watch")) {
    if (this->store_mode == StoreMode::kHangingWatches)
      co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(60000));
    ++this->watch_calls;
    co_await this->ServeWatch(exchange);
  } else if (target == "/api/kv-txn") {
    ++this->transaction_calls;
    int status = 0;
    const json answer = this->Transact(json::parse(body), status);
    if (this->store_mode == StoreMode::kDroppingWriteReplies) {
      exchange.Abort();
      co_return;
    }
    co_await this->ReplyFromStore(exchange, status, answer);
  } else if (target == "/api/kv-lease") {
    const Milliseconds lifetime(json::parse(body).at("ttlMs").get<std::int64_t>());
    json answer;
    answer["lease"] = this->GrantLease(lifetime);
    answer["ttlMs"] = lifetime.count();
    co_await this->ReplyFromStore(exchange, 200, std::move(answer));
  } else if (target.starts_with("/api/kv-keep/")) {
    const auto lease = this->leases.find(std::stoll(target.substr(13)));
    if (lease == this->leases.end()) {
      co_await this->ReplyFromStore(exchange, 404, json::object());
      co_return;
    }
    lease->second.expires = Clock::now() + lease->second.lifetime;
    json answer;
    answer["ttlMs"] = lease->second.lifetime.count();
    co_await this->ReplyFromStore(exchange, 200, std::move(answer));
  } else if (target.starts_with("/api/kv-lease-end/")) {
    const auto lease = this->leases.find(std::stoll(target.substr(18)));
    if (lease != this->leases.end()) this->EndLease(lease->first);
    co_await this->ReplyFromStore(exchange, 200, json::object());
  } else {
    co_await this->ReplyFromStore(exchange, 404, json::object());
  }
}

void FakeDeployment::RecordLeaving(FakeRunner& runner) {
  if (runner.last_group && !runner.last_group->left) runner.last_group->left = Clock::now();
}

void FakeDeployment::CheckJoin(const FakeRunner& runner, const json& body) {
  if (!runner.last_group) return;
  const JoinedGroup& last = *runner.last_group;
  if (last.name == body.at("group") && last.epoch == body.at("epoch")) return;
  const FakeRunner& head = *this->runners.at(last.head);
  const bool head_is_open =
      !head.down && head.group.is_object() && head.group.at("name") == last.name &&
      head.group.at("epoch") == last.epoch && head.group.at("state") == "open";
  if (!head_is_open || (last.left && *last.left + this->stall_time < Clock::now())) return;
  this->overlapping_joins.emplace_back(
      Clock::now(), runner.id + " joins " + body.at("group").get<std::string>() + " epoch " +
                        std::to_string(body.at("epoch").get<std::int64_t>()) + " while " +
                        last.head + " serves " + last.name + " epoch " +
                        std::to_string(last.epoch) + (last.left ? ", left before" : ""));
}

int FakeDeployment::Order(FakeRunner& runner, const json& body) {
  if (body.at("expected").get<std::int64_t>() != runner.orders) return 409;
  const std::string op = body.at("op");
  if (op == "stage") {
    runner.staged = {body.at("model").get<std::string>()};
    ++runner.orders;
    return 202;
  }
  const bool member = !runner.group.is_null() && runner.group.at("name") == body.at("group") &&
                      runner.group.at("epoch") == body.at("epoch");
  if (op == "join") {
    const auto epoch = body.at("epoch").get<std::int64_t>();
    if (epoch < runner.highest_epoch) return 412;
    this->CheckJoin(runner, body);
    runner.highest_epoch = epoch;
    this->highest_epoch = std::max(this->highest_epoch, epoch);
    runner.model = body.at("model");
    const auto members = body.at("members").get<std::vector<std::string>>();
    runner.last_group = {body.at("group"), epoch, members.front(), {}};
    const auto rank = std::find(members.begin(), members.end(), runner.id) - members.begin();
    runner.group = {{"name", body.at("group")},
                    {"epoch", body.at("epoch")},
                    {"rank", rank},
                    {"state", "ready"}};
  } else if (!member) {
    return 409;
  } else if (op == "open") {
    runner.group["state"] = "open";
  } else if (op == "close") {
    runner.group["state"] = "ready";
  } else if (op == "leave") {
    RecordLeaving(runner);
    runner.group = json();
    ++runner.orders;
    return 200;
  }
  ++runner.orders;
  return 202;
}

asio::awaitable<void> FakeDeployment::StreamEvents(FakeRunner& runner, HttpExchange& exchange,
                                                   std::size_t request_index) {
  const std::string last(GetHeader(exchange.request().headers, "Last-Event-Id"));
  int next = last.empty() ? 0 : std::stoi(last) + 1;
  Headers headers = runner.extra_headers;
  headers["Content-Type"] = "text/event-stream";
  headers["X-Request-Id"] = GetHeader(exchange.request().headers, "X-Request-Id");
  headers["X-Server-Stamp"] = runner.id;
  [[maybe_unused]] const auto started = co_await exchange.StartStream(200, std::move(headers));
  // Cleared at the regular end of the stream, and so still set when this coroutine is cancelled.
  this->runner_requests[request_index].caller_disconnected = true;
  const int boot = runner.boot;
  for (int sent = 0; next < this->events_in_stream; ++next, ++sent) {
    if (runner.mode == RunnerMode::kUnresponsive ||
        (runner.mode == RunnerMode::kHangingMidStream && sent == 2)) {
      co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(60000));
      co_return;
    }
    const bool closes = runner.mode == RunnerMode::kClosingMidStream;
    if ((runner.mode == RunnerMode::kPausingMidStream || closes) && sent == 2) {
      co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(1000));
      if (closes) {
        exchange.Abort();
        co_return;
      }
    }
    co_await limpetfall::detail::PauseUntil(Clock::now() + this->event_interval);
    if (HasEnded(runner, boot)) {
      exchange.Abort();
      co_return;
    }
    const std::string event = "id: " + std::to_string(next) + "\ndata: " + std::to_string(next) +
                              std::string(this->event_padding, 'x') + "\n\n";
    const auto written = co_await exchange.WriteChunk(event);
    if (!written) co_return;
  }
  this->runner_requests[request_index].caller_disconnected = false;
  [[maybe_unused]] const auto finished = co_await exchange.FinishStream();
}

asio::awaitable<void> FakeDeployment::ServeRunner(FakeRunner& runner, HttpExchange& exchange) {
  const HttpRequest request = exchange.request();
  if (runner.mode == RunnerMode::kUnresponsive) {
    co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(60000));
    co_return;
  }
  const int boot = runner.boot;
  if (runner.down) {
    exchange.Abort();
    co_return;
  }
  if (GetHeader(request.headers, "X-Expect-Instance") != runner.id) {
    co_await this->Reply(exchange, 421, json::object());
    co_return;
  }
  if (request.target == "/api/report") {
    json report;
    report["seq"] = runner.orders;
    report["born"] = runner.boot;
    if (!runner.group.is_null()) report["group"] = runner.group;
    co_await this->Reply(exchange, 200, std::move(report));
    co_return;
  }
  if (request.target == "/api/order") {
    const int status = this->Order(runner, json::parse(request.body));
    this->Publish(runner);
    co_await this->Reply(exchange, status, json::object());
    co_return;
  }
  RunnerRequest received;
  received.runner = runner.id;
  received.target = request.target;
  received.headers = request.headers;
  received.arrived = Clock::now();
  this->runner_requests.push_back(std::move(received));
  const std::size_t request_index = this->runner_requests.size() - 1;
  const std::string id(GetHeader(request.headers, "X-Request-Id"));
  if (runner.mode == RunnerMode::kRefusing) {
    HttpResponse refusal;
    refusal.status = 503;
    refusal.headers = runner.extra_headers;
    refusal.headers["X-Request-Id"] = id;
    refusal.headers["X-Not-Run"] = "1";
    [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(refusal));
    co_return;
  }
  this->runner_requests[request_index].ran = true;
  const std::string prompt(GetHeader(request.headers, "X-Prefix-Hash"));
  if (!this->crashing_text.empty() &&
      (request.target + " " + prompt).find(this->crashing_text) != std::string::npos) {
    this->Crash(runner.id);
    exchange.Abort();
    co_return;
  }
  if (runner.mode == RunnerMode::kDroppingAnswers) {
    exchange.Abort();
    co_return;
  }
  if (!GetHeader(request.headers, "X-Model").empty()) {
    co_await this->StreamEvents(runner, exchange, request_index);
    co_return;
  }
  if (this->plain_response_delay > Milliseconds(0))
    co_await limpetfall::detail::PauseUntil(Clock::now() + this->plain_response_delay);
  if (HasEnded(runner, boot)) {
    exchange.Abort();
    co_return;
  }
  HttpResponse answer;
  answer.status = this->plain_status;
  answer.headers = runner.extra_headers;
  answer.headers["X-Request-Id"] = id;
  answer.headers["X-Server-Stamp"] = runner.id;
  answer.body = "done by " + runner.id;
  [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(answer));
}

}  // namespace limpetfall::testing
