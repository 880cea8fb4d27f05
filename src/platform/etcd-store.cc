#include "platform/etcd-store.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/base64.h"

namespace limpetfall {
namespace {

using Json = nlohmann::json;

// Keys with a lease of at least this time share one, so that most writes need one call instead of
// two. A shared lease is granted for longer than requested, by the requested time divided by
// kSharedLeaseExtraDivisor. It is assigned to new keys during that extra time.
constexpr std::int64_t kSharedLeaseMinimumSeconds = 60;
constexpr std::int64_t kSharedLeaseExtraDivisor = 8;

Error ProtocolError(const std::string& problem) {
  return MayHaveRun(ErrorCode::kUpstreamProtocol, "store: " + problem);
}

// The gateway encodes 64-bit integers as strings and omits members that are zero.
std::int64_t ReadInteger(const Json& object, const char* name) {
  if (!object.is_object()) return 0;
  const auto member = object.find(name);
  if (member == object.end()) return 0;
  if (member->is_number_integer()) return member->get<std::int64_t>();
  if (!member->is_string()) return 0;
  const auto& text = member->get_ref<const std::string&>();
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() ? value : 0;
}

std::optional<std::string> ReadBytes(const Json& object, const char* name) {
  const auto member = object.find(name);
  if (member == object.end()) return "";
  if (!member->is_string()) return std::nullopt;
  return DecodeBase64(member->get_ref<const std::string&>());
}

Result<std::vector<StoredValue>> ParseValues(const Json& range) {
  std::vector<StoredValue> values;
  if (!range.is_object()) return ProtocolError("the response to a range request is not an object");
  if (!range.contains("kvs")) return values;
  if (!range["kvs"].is_array()) return ProtocolError("kvs is not an array");
  for (const Json& kv : range["kvs"]) {
    if (!kv.is_object()) return ProtocolError("an element of kvs is not an object");
    auto key = ReadBytes(kv, "key");
    auto value = ReadBytes(kv, "value");
    const std::int64_t revision = ReadInteger(kv, "mod_revision");
    if (!key || !value || key->empty() || revision <= 0)
      return ProtocolError("an element of kvs is malformed");
    values.push_back({std::move(*key), std::move(*value), revision});
  }
  return values;
}

Result<SwapOutcome> ParseSwap(const Json& answer) {
  if (answer.contains("succeeded") && answer["succeeded"] == true) {
    const std::int64_t revision =
        answer.contains("header") ? ReadInteger(answer["header"], "revision") : 0;
    if (revision <= 0) return ProtocolError("the response to a write has no revision");
    return SwapOutcome{true, revision, std::nullopt};
  }
  const Json::json_pointer range("/responses/0/response_range");
  if (!answer.contains(range))
    return ProtocolError("the response to a failed compare has no key range");
  BOOST_OUTCOME_TRY(auto values, ParseValues(answer[range]));
  SwapOutcome outcome;
  if (!values.empty()) outcome.current = std::move(values.front());
  return outcome;
}

// The gateway sends these statuses only for calls that it refused. A 5xx status may also be a
// time-out of a call that takes effect later.
bool IsRefusal(int status) { return status >= 400 && status < 500 && status != 408; }

ErrorCode ErrorCodeForStatus(int status) {
  if (status == 404) return ErrorCode::kNotFound;
  if (status == 429) return ErrorCode::kResourceExhausted;
  return status >= 400 && status < 500 ? ErrorCode::kInvalidArgument : ErrorCode::kUnavailable;
}

Result<Json> ParseResponse(Result<HttpResponse> response) {
  if (!response) return std::move(response).error();
  const HttpResponse& answer = response.value();
  Json body = Json::parse(answer.body, nullptr, false);
  if (answer.status == 200) {
    if (!body.is_object()) return ProtocolError("the response is not a JSON object");
    return body;
  }
  std::string message = "store: status " + std::to_string(answer.status);
  if (body.is_object() && body.contains("message") && body["message"].is_string()) {
    message += ": " + body["message"].get<std::string>();
  }
  const Verdict verdict = IsRefusal(answer.status) ? Verdict::kNotRun : Verdict::kMayHaveRun;
  return Error{ErrorCodeForStatus(answer.status), std::move(message), verdict};
}

// Returns the exclusive end of the range of all keys that start with `prefix`.
std::string RangeEnd(std::string prefix) {
  while (!prefix.empty()) {
    const auto last = static_cast<unsigned char>(prefix.back());
    if (last != 0xff) {
      prefix.back() = static_cast<char>(last + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  return std::string(1, '\0');
}

Json CompareClause(const std::string& key, std::int64_t expected_revision) {
  Json compare = {{"key", EncodeBase64(key)}, {"result", "EQUAL"}};
  if (expected_revision == 0) {
    compare["target"] = "CREATE";
    compare["create_revision"] = "0";
  } else {
    compare["target"] = "MOD";
    compare["mod_revision"] = std::to_string(expected_revision);
  }
  return compare;
}

}  // namespace

Result<std::shared_ptr<EtcdStore>> EtcdStore::Create(std::shared_ptr<HttpClient> client,
                                                     EtcdStoreOptions options) {
  if (options.addresses.empty()) {
    return NotRun(ErrorCode::kInvalidArgument, "the store needs at least one address");
  }
  return std::shared_ptr<EtcdStore>(new EtcdStore(std::move(client), std::move(options)));
}

EtcdStore::EtcdStore(std::shared_ptr<HttpClient> http, EtcdStoreOptions settings)
    : client(std::move(http)), options(std::move(settings)) {}

boost::asio::awaitable<Result<std::optional<StoredValue>>> EtcdStore::Get(std::string key,
                                                                          Deadline deadline) {
  std::string body = Json{{"key", EncodeBase64(key)}}.dump();
  auto answer = co_await Call("/v3/kv/range", std::move(body), Effect::kNone, deadline);
  if (!answer) co_return std::move(answer).error();
  auto values = ParseValues(answer.value());
  if (!values) co_return NotRun(values.error().code, values.error().message);
  if (values.value().empty()) co_return std::optional<StoredValue>();
  co_return std::optional<StoredValue>(std::move(values.value().front()));
}

boost::asio::awaitable<Result<std::vector<StoredValue>>> EtcdStore::List(std::string prefix,
                                                                         Deadline deadline) {
  Json request = {{"key", EncodeBase64(prefix)}, {"range_end", EncodeBase64(RangeEnd(prefix))}};
  std::string body = request.dump();
  auto answer = co_await Call("/v3/kv/range", std::move(body), Effect::kNone, deadline);
  if (!answer) co_return std::move(answer).error();
  auto values = ParseValues(answer.value());
  if (!values) co_return NotRun(values.error().code, values.error().message);
  co_return std::move(values).value();
}

boost::asio::awaitable<Result<SwapOutcome>> EtcdStore::Swap(std::string key, std::string value,
                                                            std::int64_t expected_revision,
                                                            std::int64_t lease_seconds,
                                                            Deadline deadline) {
  // A shared lease that no longer exists in the store is replaced once.
  for (int attempt = 0;; ++attempt) {
    std::string id;
    if (lease_seconds > 0) {
      auto lease = co_await GetOrGrantLease(lease_seconds, deadline);
      if (!lease) co_return NotRun(lease.error().code, lease.error().message);
      id = std::move(lease).value();
    }
    auto outcome = co_await SendSwap(key, value, expected_revision, id, deadline);
    const bool lease_missing =
        !id.empty() && !outcome && outcome.error().code == ErrorCode::kNotFound;
    if (!lease_missing || attempt > 0) co_return outcome;
    RemoveLease(lease_seconds, id);
  }
}

boost::asio::awaitable<Result<SwapOutcome>> EtcdStore::SendSwap(std::string key, std::string value,
                                                                std::int64_t expected_revision,
                                                                std::string lease,
                                                                Deadline deadline) {
  Json put = {{"key", EncodeBase64(key)}, {"value", EncodeBase64(value)}};
  if (!lease.empty()) put["lease"] = std::move(lease);
  Json success = Json::array();
  success.push_back({{"request_put", std::move(put)}});
  Json failure = Json::array();
  failure.push_back({{"request_range", {{"key", EncodeBase64(key)}}}});
  Json request = {{"compare", Json::array({CompareClause(key, expected_revision)})},
                  {"success", std::move(success)},
                  {"failure", std::move(failure)}};
  std::string body = request.dump();
  auto answer = co_await Call("/v3/kv/txn", std::move(body), Effect::kWrite, deadline);
  if (!answer) co_return std::move(answer).error();
  co_return ParseSwap(answer.value());
}

boost::asio::awaitable<Result<std::string>> EtcdStore::GetOrGrantLease(std::int64_t seconds,
                                                                       Deadline deadline) {
  const TimePoint start = Clock::now();
  if (auto found = FindLease(seconds, start)) co_return std::move(*found);
  const bool shared = seconds >= kSharedLeaseMinimumSeconds;
  const std::int64_t extra = shared ? seconds / kSharedLeaseExtraDivisor : 0;
  std::string body = Json{{"TTL", std::to_string(seconds + extra)}}.dump();
  auto answer = co_await Call("/v3/lease/grant", std::move(body), Effect::kNone, deadline);
  if (!answer) co_return std::move(answer).error();
  const std::int64_t id = ReadInteger(answer.value(), "ID");
  if (id == 0) co_return NotRun(ErrorCode::kUpstreamProtocol, "store: the granted lease has no ID");
  if (shared) {
    const std::lock_guard lock(this->mutex);
    this->leases[seconds] = {std::to_string(id), start + std::chrono::seconds(extra)};
  }
  co_return std::to_string(id);
}

std::optional<std::string> EtcdStore::FindLease(std::int64_t seconds, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->leases.find(seconds);
  if (found == this->leases.end() || found->second.usable_until <= now) return std::nullopt;
  return found->second.id;
}

void EtcdStore::RemoveLease(std::int64_t seconds, const std::string& id) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->leases.find(seconds);
  if (found != this->leases.end() && found->second.id == id) this->leases.erase(found);
}

void EtcdStore::PreferNextAddress(std::size_t index) {
  std::size_t current = index;
  this->preferred.compare_exchange_strong(current, (index + 1) % this->options.addresses.size());
}

boost::asio::awaitable<Result<Json>> EtcdStore::Call(std::string target, std::string body,
                                                     Effect effect, Deadline deadline) {
  const std::size_t count = this->options.addresses.size();
  const std::size_t first = this->preferred.load();
  Error last = NotRun(ErrorCode::kDeadlineExceeded, "store: the deadline has passed");
  for (std::size_t i = 0; i < count; ++i) {
    const TimePoint now = Clock::now();
    if (now >= deadline) break;
    const std::size_t index = (first + i) % count;
    HttpRequest request{"POST",
                        this->options.addresses[index],
                        target,
                        {{"Content-Type", "application/json"}},
                        body};
    const Deadline attempt = std::min(deadline, now + this->options.attempt_timeout);
    this->sent.fetch_add(1);
    auto response = co_await this->client->Fetch(std::move(request), attempt);
    auto answer = ParseResponse(std::move(response));
    if (answer) co_return answer;
    last = std::move(answer).error();
    if (effect == Effect::kNone) last.verdict = Verdict::kNotRun;
    // Every address would refuse the call in the same way.
    if (last.code == ErrorCode::kInvalidArgument || last.code == ErrorCode::kNotFound) break;
    PreferNextAddress(index);
    if (last.verdict != Verdict::kNotRun) break;
  }
  co_return last;
}

}  // namespace limpetfall
