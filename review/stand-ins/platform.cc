#include "platform.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/base64.h"
#include "base/pause.h"

namespace limpetfall::review {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr Milliseconds kAnswerTime{4};
constexpr Milliseconds kLeaseTick{50};
constexpr std::size_t kMaxPageItems = 500;

std::string QueryValue(const std::string& target, const std::string& name) {
  const std::size_t start = target.find(name + "=");
  if (start == std::string::npos) return "";
  const std::size_t value = start + name.size() + 1;
  return target.substr(value, target.find('&', value) - value);
}

std::int64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::string text = QueryValue(target, name);
  return text.empty() ? 0 : std::stoll(text);
}

asio::awaitable<void> Reply(HttpExchange& exchange, int status, json body) {
  co_await limpetfall::detail::PauseUntil(Clock::now() + kAnswerTime);
  HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = body.dump();
  [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(response));
}

}  // namespace

Platform::Platform(asio::io_context& context, const std::string& address) : io(context) {
  this->server =
      HttpServer::Create(this->io, address,
                         [this](HttpExchange& exchange) { return this->Serve(exchange); }, {})
          .value();
  asio::co_spawn(this->io, this->ExpireLeases(), asio::detached);
}

void Platform::PutAt(const std::string& key, const std::string& value, std::int64_t lease) {
  Item& item = this->items[key];
  if (item.created == 0) item.created = this->current_revision;
  item.value = value;
  item.revision = this->current_revision;
  item.lease = lease;
  this->events.push_back({this->current_revision, key, false});
}

void Platform::RemoveAt(const std::string& key) {
  if (this->items.erase(key) > 0) this->events.push_back({this->current_revision, key, true});
}

void Platform::NotifyWatchers() {
  for (asio::steady_timer* watcher : this->watchers) watcher->cancel();
}

void Platform::Put(const std::string& key, const std::string& value, std::int64_t lease) {
  ++this->current_revision;
  this->PutAt(key, value, lease);
  this->NotifyWatchers();
}

void Platform::Remove(const std::vector<std::string>& keys) {
  const bool any = std::any_of(keys.begin(), keys.end(),
                               [this](const auto& key) { return this->items.contains(key); });
  if (!any) return;
  ++this->current_revision;
  for (const std::string& key : keys) this->RemoveAt(key);
  this->NotifyWatchers();
}

std::string Platform::Get(const std::string& key) const {
  const auto found = this->items.find(key);
  return found == this->items.end() ? "" : found->second.value;
}

asio::awaitable<void> Platform::ExpireLeases() {
  for (;;) {
    co_await limpetfall::detail::PauseUntil(Clock::now() + kLeaseTick);
    std::vector<std::string> expired_keys;
    for (const auto& [id, lease] : this->leases) {
      if (Clock::now() < lease.expires) continue;
      for (const auto& [key, item] : this->items) {
        if (item.lease == id) expired_keys.push_back(key);
      }
    }
    std::erase_if(this->leases,
                  [](const auto& entry) { return entry.second.expires <= Clock::now(); });
    for (const std::string& key : expired_keys) this->Remove({key});
  }
}

json Platform::ItemJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", EncodeBase64(item.value)},
          {"revision", item.revision},
          {"createdRev", item.created},
          {"lease", item.lease}};
}

json Platform::Transact(const json& body, int& status) {
  json current = json::array();
  bool holds = true;
  for (const json& row : body.at("expected")) {
    const std::string key = row.at("key").get<std::string>();
    const auto found = this->items.find(key);
    const std::int64_t present = found == this->items.end() ? 0 : found->second.revision;
    holds = holds && present == row.at("revision").get<std::int64_t>();
    if (found != this->items.end()) current.push_back(ItemJson(key, found->second));
  }
  if (!holds) {
    status = 412;
    return {{"items", current}};
  }
  for (const json& put : body.at("puts")) {
    const auto lease = put.value("lease", std::int64_t{0});
    const std::string key = put.at("key").get<std::string>();
    const bool foreign = key.starts_with("op/") || key.starts_with("servers/");
    if (!foreign && (lease == 0 || this->leases.contains(lease))) continue;
    status = foreign ? 403 : 404;
    return json::object();
  }
  ++this->current_revision;
  for (const json& put : body.at("puts")) {
    this->PutAt(put.at("key"), *DecodeBase64(put.at("value").get<std::string>()),
                put.value("lease", std::int64_t{0}));
  }
  for (const json& key : body.at("deletes")) this->RemoveAt(key);
  this->NotifyWatchers();
  status = 200;
  return {{"revision", this->current_revision}};
}

json Platform::Range(const std::string& prefix, const std::string& after) const {
  json found = json::array();
  bool more = false;
  for (auto item = this->items.upper_bound(after); item != this->items.end(); ++item) {
    if (!item->first.starts_with(prefix)) continue;
    more = found.size() >= kMaxPageItems;
    if (more) break;
    found.push_back(ItemJson(item->first, item->second));
  }
  return {{"items", found}, {"hasMore", more}, {"currentRev", this->current_revision}};
}

asio::awaitable<void> Platform::ServeWatch(HttpExchange& exchange) {
  const std::string target = exchange.request().target;
  const std::string prefix = QueryValue(target, "prefix");
  const std::int64_t after = QueryNumber(target, "after");
  const Deadline end = Clock::now() + Milliseconds(QueryNumber(target, "waitMs"));
  json found = json::array();
  for (;;) {
    for (const Event& event : this->events) {
      if (event.revision <= after || !event.key.starts_with(prefix)) continue;
      const auto item = this->items.find(event.key);
      if (event.removed) {
        found.push_back({{"key", event.key}, {"revision", event.revision}, {"tombstone", true}});
      } else if (item != this->items.end() && item->second.revision == event.revision) {
        found.push_back(ItemJson(event.key, item->second));
      }
    }
    if (!found.empty() || end <= Clock::now()) break;
    asio::steady_timer timer(this->io, end);
    this->watchers.insert(&timer);
    const std::shared_ptr<void> registered(nullptr,
                                           [this, &timer](void*) { this->watchers.erase(&timer); });
    co_await timer.async_wait(kNoThrow);
  }
  json body;
  body["events"] = std::move(found);
  body["currentRev"] = this->current_revision;
  co_await Reply(exchange, 200, std::move(body));
}

asio::awaitable<void> Platform::Serve(HttpExchange& exchange) {
  const std::string target = exchange.request().target;
  const std::string& body = exchange.request().body;
  constexpr std::string_view kKeep = "/api/kv-keep/";
  constexpr std::string_view kEnd = "/api/kv-lease-end/";
  if (target.starts_with("/api/kv-range")) {
    co_await Reply(exchange, 200,
                   this->Range(QueryValue(target, "prefix"), QueryValue(target, "after")));
  } else if (target.starts_with("/api/kv-watch")) {
    co_await this->ServeWatch(exchange);
  } else if (target == "/api/kv-txn") {
    int status = 0;
    json answer = this->Transact(json::parse(body), status);
    co_await Reply(exchange, status, std::move(answer));
  } else if (target == "/api/kv-lease") {
    const Milliseconds lifetime(json::parse(body).at("ttlMs").get<std::int64_t>());
    this->leases[++this->last_lease] = {Clock::now() + lifetime, lifetime};
    json answer;
    answer["lease"] = this->last_lease;
    answer["ttlMs"] = lifetime.count();
    co_await Reply(exchange, 200, std::move(answer));
  } else if (target.starts_with(kKeep)) {
    const auto lease = this->leases.find(std::stoll(target.substr(kKeep.size())));
    const bool held = lease != this->leases.end();
    if (held) lease->second.expires = Clock::now() + lease->second.lifetime;
    json answer = json::object();
    if (held) answer["ttlMs"] = lease->second.lifetime.count();
    co_await Reply(exchange, held ? 200 : 404, std::move(answer));
  } else if (target.starts_with(kEnd)) {
    const auto lease = this->leases.find(std::stoll(target.substr(kEnd.size())));
    if (lease != this->leases.end()) lease->second.expires = Clock::now();
    co_await Reply(exchange, 200, json::object());
  } else {
    co_await Reply(exchange, 404, json::object());
  }
}

}  // namespace limpetfall::review
