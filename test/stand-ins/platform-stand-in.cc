// Stand-in for the platform: the key-value service with the JSON gateway of the etcd v3 API, and
// the VM list. Everything is in memory and runs on one thread.
//
//     platform-stand-in --listen 127.0.0.1:0 --vm-listen 127.0.0.1:0
//
// Prints "listening IP:PORT" for each. `POST /control` takes an object with any of:
//   "outage", "vm_outage"  "none", "refuse" (503 without effect) or "silent" (no reply, no effect)
//   "slow_ms"              delay of each reply of the store, after the effect
//   "delay_ms"             delay of each call of the store, before the effect
//   "drop_replies"         the next N writes take effect, but their connection closes instead of a
//                          reply
//   "drop_prefix"          "drop_replies" counts only writes of keys with this prefix
//   "stale_revision"       ranges return the state at this revision; 0 means the current state
//   "vms", "vm_lag_ms"     contents of the VM list, and the delay until a change is visible
// `GET /stats` returns the number of calls of each kind.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base64.h"
#include "http/server.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr std::size_t kMaxHistory = 200000;
constexpr Milliseconds kLeaseTick(50);
constexpr std::size_t kMaxValueBytes = 1 << 20;

/** An error reply of the JSON gateway: an HTTP status and a gRPC status code. */
struct Failure {
  int status;
  int code;
  std::string message;
};

// Returns a member by its name in snake case or in camel case; null if there is neither.
const Json* FindMember(const Json& object, const char* snake, const char* camel) {
  if (!object.is_object()) return nullptr;
  if (const auto found = object.find(snake); found != object.end()) return &*found;
  if (const auto found = object.find(camel); found != object.end()) return &*found;
  return nullptr;
}

std::int64_t ParseInteger(const Json* member) {
  if (member == nullptr) return 0;
  if (member->is_number_integer()) return member->get<std::int64_t>();
  if (!member->is_string()) throw Failure{400, 3, "an integer is expected"};
  const auto text = member->get<std::string>();
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw Failure{400, 3, "an integer is expected"};
  }
  return value;
}

std::string ParseBytes(const Json* member) {
  if (member == nullptr) return "";
  if (!member->is_string()) throw Failure{400, 3, "base64 text is expected"};
  auto bytes = DecodeBase64(member->get<std::string>());
  if (!bytes) throw Failure{400, 3, "illegal base64 data"};
  return std::move(*bytes);
}

struct Entry {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

struct Event {
  std::int64_t revision = 0;
  std::string key;
  std::optional<Entry> entry;  ///< Empty if the key was deleted.
};

using Keys = std::map<std::string, Entry>;

struct KeyRange {
  std::string first;
  std::string end;  ///< Empty: only `first`. One zero byte: all keys from `first` on.

  [[nodiscard]] bool Contains(const std::string& key) const {
    if (this->end.empty()) return key == this->first;
    return key >= this->first && (this->end == std::string(1, '\0') || key < this->end);
  }
};

KeyRange ReadRange(const Json& request) {
  KeyRange range{ParseBytes(FindMember(request, "key", "key")),
                 ParseBytes(FindMember(request, "range_end", "rangeEnd"))};
  if (range.first.empty()) throw Failure{400, 3, "etcdserver: key is not provided"};
  return range;
}

Json KeyJson(const std::string& key, const Entry& entry) {
  Json json = {{"key", EncodeBase64(key)},
               {"create_revision", std::to_string(entry.create_revision)},
               {"mod_revision", std::to_string(entry.mod_revision)},
               {"version", std::to_string(entry.version)},
               {"value", EncodeBase64(entry.value)}};
  if (entry.lease != 0) json["lease"] = std::to_string(entry.lease);
  return json;
}

Json EventJson(const Event& event) {
  if (event.entry) return {{"kv", KeyJson(event.key, *event.entry)}};
  return {
      {"type", "DELETE"},
      {"kv", {{"key", EncodeBase64(event.key)}, {"mod_revision", std::to_string(event.revision)}}}};
}

/** The keys and leases of the store, with the history of all changes. */
class KeyValueState {
 public:
  [[nodiscard]] Json Header() const {
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(this->revision)},
            {"raft_term", "2"}};
  }

  [[nodiscard]] Json Range(const Json& request, std::int64_t at_revision) const {
    const KeyRange range = ReadRange(request);
    Json answer = {{"header", Header()}};
    const Keys past = at_revision > 0 ? StateAt(at_revision) : Keys();
    const Keys& state = at_revision > 0 ? past : this->keys;
    const std::int64_t limit = ParseInteger(FindMember(request, "limit", "limit"));
    std::int64_t count = 0;
    Json list = Json::array();
    for (auto it = state.lower_bound(range.first); it != state.end(); ++it) {
      if (!range.Contains(it->first)) break;
      if (limit == 0 || count < limit) list.push_back(KeyJson(it->first, it->second));
      ++count;
    }
    if (count > 0) {
      answer["kvs"] = std::move(list);
      answer["count"] = std::to_string(count);
    }
    return answer;
  }

  Json Put(const Json& request) {
    CheckPut(request);
    ++this->revision;
    ApplyPut(request);
    return {{"header", Header()}};
  }

  Json DeleteRange(const Json& request) {
    const KeyRange range = ReadRange(request);
    ++this->revision;
    const std::int64_t deleted = ApplyDelete(range);
    if (deleted == 0) --this->revision;
    return {{"header", Header()}, {"deleted", std::to_string(deleted)}};
  }

  Json Txn(const Json& request) {
    const Json* compares = FindMember(request, "compare", "compare");
    bool succeeded = true;
    if (compares != nullptr) {
      for (const Json& compare : *compares) succeeded = succeeded && CompareHolds(compare);
    }
    const Json* operations = succeeded ? FindMember(request, "success", "success")
                                       : FindMember(request, "failure", "failure");
    Json responses = Json::array();
    if (operations != nullptr) {
      for (const Json& operation : *operations) CheckOperation(operation);
      const std::int64_t before = this->revision;
      bool wrote = false;
      this->revision = before + 1;
      for (const Json& operation : *operations) {
        responses.push_back(ApplyOperation(operation, wrote));
      }
      if (!wrote) this->revision = before;
    }
    Json answer = {{"header", Header()}, {"responses", std::move(responses)}};
    if (succeeded) answer["succeeded"] = true;
    return answer;
  }

  Json Grant(const Json& request, TimePoint now) {
    const std::int64_t ttl = ParseInteger(FindMember(request, "TTL", "TTL"));
    if (ttl <= 0) throw Failure{400, 3, "etcdserver: the TTL must be positive"};
    std::int64_t id = ParseInteger(FindMember(request, "ID", "ID"));
    if (id == 0) id = 7587000000000000 + ++this->last_lease;
    if (this->leases.contains(id)) throw Failure{400, 9, "etcdserver: lease already exists"};
    this->leases[id] = {ttl, now + std::chrono::seconds(ttl)};
    return {{"header", Header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}};
  }

  Json KeepAlive(const Json& request, TimePoint now) {
    const std::int64_t id = ParseInteger(FindMember(request, "ID", "ID"));
    Json result = {{"header", Header()}, {"ID", std::to_string(id)}};
    if (const auto found = this->leases.find(id); found != this->leases.end()) {
      found->second.expires = now + std::chrono::seconds(found->second.ttl);
      result["TTL"] = std::to_string(found->second.ttl);
    }
    return {{"result", std::move(result)}};
  }

  Json Revoke(const Json& request) {
    const std::int64_t id = ParseInteger(FindMember(request, "ID", "ID"));
    if (!this->leases.contains(id)) {
      throw Failure{404, 5, "etcdserver: requested lease not found"};
    }
    EndLease(id);
    return {{"header", Header()}};
  }

  void ExpireLeases(TimePoint now) {
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : this->leases) {
      if (lease.expires <= now) expired.push_back(id);
    }
    for (const std::int64_t id : expired) EndLease(id);
  }

  [[nodiscard]] std::vector<Event> EventsAfter(std::int64_t after, const KeyRange& range) const {
    std::vector<Event> events;
    auto it = std::upper_bound(
        this->history.begin(), this->history.end(), after,
        [](std::int64_t revision_limit, const Event& e) { return revision_limit < e.revision; });
    for (; it != this->history.end(); ++it) {
      if (range.Contains(it->key)) events.push_back(*it);
    }
    return events;
  }

  [[nodiscard]] std::int64_t current_revision() const { return this->revision; }

 private:
  struct Lease {
    std::int64_t ttl = 0;
    Deadline expires;
  };

  [[nodiscard]] Keys StateAt(std::int64_t at_revision) const {
    Keys state;
    for (const Event& event : this->history) {
      if (event.revision > at_revision) break;
      if (event.entry) {
        state[event.key] = *event.entry;
      } else {
        state.erase(event.key);
      }
    }
    return state;
  }

  void Record(const std::string& key, std::optional<Entry> entry) {
    this->history.push_back({this->revision, key, std::move(entry)});
    if (this->history.size() > kMaxHistory) this->history.pop_front();
  }

  void CheckPut(const Json& request) const {
    ReadRange(request);
    if (ParseBytes(FindMember(request, "value", "value")).size() > kMaxValueBytes) {
      throw Failure{400, 3, "etcdserver: request is too large"};
    }
    const std::int64_t lease = ParseInteger(FindMember(request, "lease", "lease"));
    if (lease != 0 && !this->leases.contains(lease)) {
      throw Failure{404, 5, "etcdserver: requested lease not found"};
    }
  }

  void ApplyPut(const Json& request) {
    const std::string key = ParseBytes(FindMember(request, "key", "key"));
    Entry& entry = this->keys[key];
    if (entry.version == 0) entry.create_revision = this->revision;
    entry.value = ParseBytes(FindMember(request, "value", "value"));
    entry.mod_revision = this->revision;
    entry.lease = ParseInteger(FindMember(request, "lease", "lease"));
    ++entry.version;
    Record(key, entry);
  }

  std::int64_t ApplyDelete(const KeyRange& range) {
    std::int64_t deleted = 0;
    auto it = this->keys.lower_bound(range.first);
    while (it != this->keys.end() && range.Contains(it->first)) {
      Record(it->first, std::nullopt);
      it = this->keys.erase(it);
      ++deleted;
    }
    return deleted;
  }

  void EndLease(std::int64_t id) {
    this->leases.erase(id);
    std::vector<std::string> ended;
    for (const auto& [key, entry] : this->keys) {
      if (entry.lease == id) ended.push_back(key);
    }
    if (ended.empty()) return;
    ++this->revision;
    for (const std::string& key : ended) ApplyDelete({key, ""});
  }

  [[nodiscard]] bool CompareHolds(const Json& compare) const {
    const std::string key = ReadRange(compare).first;
    const auto found = this->keys.find(key);
    const Entry entry = found == this->keys.end() ? Entry() : found->second;
    const Json* target_member = FindMember(compare, "target", "target");
    const std::string target =
        target_member == nullptr ? "VERSION" : target_member->get<std::string>();
    const Json* result_member = FindMember(compare, "result", "result");
    const std::string result =
        result_member == nullptr ? "EQUAL" : result_member->get<std::string>();
    std::strong_ordering order = std::strong_ordering::equal;
    if (target == "VERSION") {
      order = entry.version <=> ParseInteger(FindMember(compare, "version", "version"));
    } else if (target == "CREATE") {
      order = entry.create_revision <=>
              ParseInteger(FindMember(compare, "create_revision", "createRevision"));
    } else if (target == "MOD") {
      order =
          entry.mod_revision <=> ParseInteger(FindMember(compare, "mod_revision", "modRevision"));
    } else if (target == "VALUE") {
      order = entry.value <=> ParseBytes(FindMember(compare, "value", "value"));
    } else {
      throw Failure{400, 3, "unknown compare target " + target};
    }
    if (result == "EQUAL") return std::is_eq(order);
    if (result == "NOT_EQUAL") return std::is_neq(order);
    if (result == "GREATER") return std::is_gt(order);
    if (result == "LESS") return std::is_lt(order);
    throw Failure{400, 3, "unknown compare result " + result};
  }

  // All operations are checked before the first takes effect.
  void CheckOperation(const Json& operation) const {
    if (const Json* put = FindMember(operation, "request_put", "requestPut")) return CheckPut(*put);
    if (const Json* get = FindMember(operation, "request_range", "requestRange")) {
      ReadRange(*get);
    } else if (const Json* erase =
                   FindMember(operation, "request_delete_range", "requestDeleteRange")) {
      ReadRange(*erase);
    } else {
      throw Failure{400, 3, "unknown operation"};
    }
  }

  Json ApplyOperation(const Json& operation, bool& wrote) {
    if (const Json* put = FindMember(operation, "request_put", "requestPut")) {
      ApplyPut(*put);
      wrote = true;
      return {{"response_put", {{"header", Header()}}}};
    }
    if (const Json* get = FindMember(operation, "request_range", "requestRange")) {
      return {{"response_range", Range(*get, 0)}};
    }
    const Json* erase = FindMember(operation, "request_delete_range", "requestDeleteRange");
    const std::int64_t deleted = ApplyDelete(ReadRange(*erase));
    wrote = wrote || deleted > 0;
    return {{"response_delete_range", {{"deleted", std::to_string(deleted)}}}};
  }

  Keys keys;
  std::map<std::int64_t, Lease> leases;
  std::deque<Event> history;
  std::int64_t revision = 1;
  std::int64_t last_lease = 0;
};

enum class Outage { kNone, kRefuse, kSilent };

Outage ReadOutage(const Json& value) {
  if (value == "none") return Outage::kNone;
  if (value == "refuse") return Outage::kRefuse;
  if (value == "silent") return Outage::kSilent;
  throw Failure{400, 3, "an outage is none, refuse or silent"};
}

/** The VM list. A change is visible after the lag. */
class VmList {
 public:
  void Set(Json vms, TimePoint now) { this->changes.push_back({now + this->lag, std::move(vms)}); }
  void SetLag(Milliseconds value) { this->lag = value; }

  Json Get(TimePoint now) {
    while (!this->changes.empty() && this->changes.front().visible_from <= now) {
      this->visible = std::move(this->changes.front().vms);
      this->changes.pop_front();
    }
    return {{"vms", this->visible}};
  }

 private:
  struct Change {
    TimePoint visible_from;
    Json vms;
  };

  std::deque<Change> changes;
  Json visible = Json::array();
  Milliseconds lag{0};
};

asio::awaitable<void> Sleep(Milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> NeverReply() {
  // The server cancels this coroutine when the client closes its connection.
  const Milliseconds step(60000);
  for (;;) co_await Sleep(step);
}

class Platform {
 public:
  asio::awaitable<void> HandleStore(HttpExchange& exchange) {
    if (IsControlRequest(exchange)) co_return co_await HandleControlRequest(exchange);
    const std::string target = exchange.request().target;
    ++this->calls[target];
    if (this->outage == Outage::kSilent) co_return co_await NeverReply();
    if (this->call_delay.count() > 0) co_await Sleep(this->call_delay);
    if (this->outage == Outage::kRefuse) {
      Failure refusal{503, 14, "etcdserver: no leader"};
      co_return co_await SendFailure(exchange, std::move(refusal));
    }
    if (target == "/v3/watch") co_return co_await Watch(exchange);
    std::optional<Failure> failure;
    Json answer;
    bool drop = false;
    try {
      const Json body = Json::parse(exchange.request().body);
      answer = Apply(target, body);
      drop = ConsumeReplyDrop(target, body);
    } catch (const Failure& thrown) {
      failure = thrown;
    } catch (const Json::exception& error) {
      failure = Failure{400, 3, error.what()};
    }
    if (this->reply_delay.count() > 0) co_await Sleep(this->reply_delay);
    if (failure) co_return co_await SendFailure(exchange, std::move(*failure));
    if (drop) co_return co_await SendTruncatedReply(exchange);
    co_await SendJson(exchange, 200, std::move(answer));
  }

  asio::awaitable<void> HandleVms(HttpExchange& exchange) {
    if (IsControlRequest(exchange)) co_return co_await HandleControlRequest(exchange);
    ++this->calls["vms"];
    if (this->vm_outage == Outage::kSilent) co_return co_await NeverReply();
    if (this->vm_outage == Outage::kRefuse) {
      Failure refusal{503, 14, "the VM list is unavailable"};
      co_return co_await SendFailure(exchange, std::move(refusal));
    }
    if (exchange.request().target != "/v1/vms") {
      Failure refusal{404, 5, "not found"};
      co_return co_await SendFailure(exchange, std::move(refusal));
    }
    Json list = this->vms.Get(Clock::now());
    co_await SendJson(exchange, 200, std::move(list));
  }

  asio::awaitable<void> ExpireLeases() {
    for (;;) {
      co_await Sleep(kLeaseTick);
      this->state.ExpireLeases(Clock::now());
      NotifyWatchers();
    }
  }

 private:
  static bool IsControlRequest(const HttpExchange& exchange) {
    return exchange.request().target == "/control" || exchange.request().target == "/stats";
  }

  static asio::awaitable<void> SendJson(HttpExchange& exchange, int status, Json body) {
    HttpResponse response{status, {{"Content-Type", "application/json"}}, body.dump()};
    (void)co_await exchange.Send(std::move(response));
  }

  static asio::awaitable<void> SendFailure(HttpExchange& exchange, Failure failure) {
    Json body = {{"error", failure.message}, {"code", failure.code}, {"message", failure.message}};
    co_await SendJson(exchange, failure.status, std::move(body));
  }

  // Closes the connection, because the stream is not finished, so the client gets no complete
  // reply.
  static asio::awaitable<void> SendTruncatedReply(HttpExchange& exchange) {
    Headers headers;
    (void)co_await exchange.StartStream(200, std::move(headers));
  }

  Json Apply(const std::string& target, const Json& body) {
    if (target == "/v3/kv/range") return this->state.Range(body, this->stale_revision);
    Json answer;
    if (target == "/v3/kv/put") {
      answer = this->state.Put(body);
    } else if (target == "/v3/kv/deleterange") {
      answer = this->state.DeleteRange(body);
    } else if (target == "/v3/kv/txn") {
      answer = this->state.Txn(body);
    } else if (target == "/v3/lease/grant") {
      answer = this->state.Grant(body, Clock::now());
    } else if (target == "/v3/lease/keepalive") {
      answer = this->state.KeepAlive(body, Clock::now());
    } else if (target == "/v3/lease/revoke" || target == "/v3/kv/lease/revoke") {
      answer = this->state.Revoke(body);
    } else {
      throw Failure{404, 5, "Not Found"};
    }
    NotifyWatchers();
    return answer;
  }

  // Returns whether to drop the reply of this write. If so, decrements `drop_replies`.
  bool ConsumeReplyDrop(const std::string& target, const Json& body) {
    if (this->drop_replies == 0) return false;
    std::string key;
    if (target == "/v3/kv/put" || target == "/v3/kv/deleterange") {
      key = ReadRange(body).first;
    } else if (target == "/v3/kv/txn") {
      const Json::json_pointer first("/compare/0/key");
      if (body.contains(first)) key = ParseBytes(&body[first]);
    } else {
      return false;
    }
    if (!key.starts_with(this->drop_prefix)) return false;
    --this->drop_replies;
    return true;
  }

  asio::awaitable<void> Watch(HttpExchange& exchange) {
    std::optional<Failure> failure;
    KeyRange range;
    std::int64_t last_sent_revision = this->state.current_revision();
    try {
      const Json body = Json::parse(exchange.request().body);
      const Json* request = FindMember(body, "create_request", "createRequest");
      if (request == nullptr) throw Failure{400, 3, "create_request is expected"};
      range = ReadRange(*request);
      const auto start = ParseInteger(FindMember(*request, "start_revision", "startRevision"));
      if (start > 0) last_sent_revision = start - 1;
    } catch (const Failure& thrown) {
      failure = thrown;
    } catch (const Json::exception& error) {
      failure = Failure{400, 3, error.what()};
    }
    if (failure) co_return co_await SendFailure(exchange, std::move(*failure));
    Headers headers{{"Content-Type", "application/json"}};
    auto sent = co_await exchange.StartStream(200, std::move(headers));
    Json created = {{"result", {{"header", this->state.Header()}, {"created", true}}}};
    std::string line = created.dump() + "\n";
    if (sent) sent = co_await exchange.WriteChunk(line);
    while (sent) {
      const auto events = this->state.EventsAfter(last_sent_revision, range);
      if (events.empty() || this->outage != Outage::kNone) {
        co_await WaitForChange();
        if (this->outage == Outage::kRefuse) co_return;
        continue;
      }
      Json list = Json::array();
      for (const Event& event : events) list.push_back(EventJson(event));
      last_sent_revision = events.back().revision;
      Json result = {{"header", this->state.Header()}, {"events", std::move(list)}};
      line = Json{{"result", std::move(result)}}.dump() + "\n";
      sent = co_await exchange.WriteChunk(line);
    }
  }

  asio::awaitable<void> WaitForChange() {
    asio::steady_timer timer(co_await asio::this_coro::executor, Clock::time_point::max());
    const auto position = this->watchers.insert(&timer).first;
    struct Unregister {
      std::set<asio::steady_timer*>& watchers;
      std::set<asio::steady_timer*>::iterator position;
      ~Unregister() { this->watchers.erase(this->position); }
    };
    const Unregister unregister{this->watchers, position};
    boost::system::error_code wait_error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, wait_error));
  }

  void NotifyWatchers() {
    for (asio::steady_timer* timer : this->watchers) timer->cancel();
  }

  asio::awaitable<void> HandleControlRequest(HttpExchange& exchange) {
    if (exchange.request().target == "/stats") {
      Json stats = this->calls;
      stats["revision"] = this->state.current_revision();
      co_return co_await SendJson(exchange, 200, std::move(stats));
    }
    std::optional<Failure> failure;
    try {
      Control(Json::parse(exchange.request().body));
    } catch (const Failure& thrown) {
      failure = thrown;
    } catch (const Json::exception& error) {
      failure = Failure{400, 3, error.what()};
    }
    if (failure) co_return co_await SendFailure(exchange, std::move(*failure));
    NotifyWatchers();
    Json answer = {{"revision", this->state.current_revision()}};
    co_await SendJson(exchange, 200, std::move(answer));
  }

  void Control(const Json& body) {
    // Set first, because the lag also applies to the contents in the same request.
    if (body.contains("vm_lag_ms")) {
      this->vms.SetLag(Milliseconds(body["vm_lag_ms"].get<std::int64_t>()));
    }
    for (const auto& [name, value] : body.items()) {
      if (name == "outage") {
        this->outage = ReadOutage(value);
      } else if (name == "vm_outage") {
        this->vm_outage = ReadOutage(value);
      } else if (name == "slow_ms") {
        this->reply_delay = Milliseconds(value.get<std::int64_t>());
      } else if (name == "delay_ms") {
        this->call_delay = Milliseconds(value.get<std::int64_t>());
      } else if (name == "drop_replies") {
        this->drop_replies = value.get<int>();
      } else if (name == "drop_prefix") {
        this->drop_prefix = value.get<std::string>();
      } else if (name == "stale_revision") {
        this->stale_revision = value.get<std::int64_t>();
      } else if (name == "vms") {
        this->vms.Set(value, Clock::now());
      } else if (name != "vm_lag_ms") {
        throw Failure{400, 3, "unknown member " + name};
      }
    }
  }

  KeyValueState state;
  VmList vms;
  std::set<asio::steady_timer*> watchers;
  std::map<std::string, std::int64_t> calls;
  Outage outage = Outage::kNone;
  Outage vm_outage = Outage::kNone;
  Milliseconds reply_delay{0};
  Milliseconds call_delay{0};
  int drop_replies = 0;
  std::string drop_prefix;
  std::int64_t stale_revision = 0;
};

int Run(const std::string& listen, const std::string& vm_listen) {
  asio::io_context io(1);
  Platform platform;
  HttpServerOptions options;
  options.max_body_bytes = 4 << 20;
  options.max_connections = 20000;
  std::vector<std::unique_ptr<HttpServer>> servers;
  const auto start = [&](const std::string& address, HttpHandler handler) {
    if (address.empty()) return true;
    auto server = HttpServer::Create(io, address, std::move(handler), options);
    if (!server) {
      std::cerr << server.error().message << "\n";
      return false;
    }
    std::cout << "listening " << server.value()->address() << std::endl;
    servers.push_back(std::move(server).value());
    return true;
  };
  if (!start(listen, [&](HttpExchange& exchange) { return platform.HandleStore(exchange); }) ||
      !start(vm_listen, [&](HttpExchange& exchange) { return platform.HandleVms(exchange); })) {
    return 1;
  }
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
  asio::co_spawn(io, platform.ExpireLeases(), asio::detached);
  io.run();
  return 0;
}

}  // namespace
}  // namespace limpetfall

int main(int argc, char** argv) {
  std::string listen;
  std::string vm_listen;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    if (name == "--listen") listen = argv[i + 1];
    if (name == "--vm-listen") vm_listen = argv[i + 1];
  }
  if (listen.empty() && vm_listen.empty()) {
    std::cerr << "usage: platform-stand-in [--listen IP:PORT] [--vm-listen IP:PORT]\n";
    return 2;
  }
  return limpetfall::Run(listen, vm_listen);
}
