#include "limpetfall/client.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

#include "client/blocking-http.h"
#include "client/completion-reader.h"

namespace limpetfall {
namespace {

using Json = nlohmann::json;

// For this long after a failure, an address is tried only after the others.
constexpr Milliseconds kFailedAddressPenalty{5000};

constexpr Milliseconds kAddressTimeout{2000};

// Minimum interval between refreshes while no node answers. Without it, every request would query
// the seeds again.
constexpr Milliseconds kRefreshRetryInterval{1000};

constexpr Milliseconds kRetryDelay{100};

/** Caches entry addresses in order of preference until their TTL expires. */
class AddressCache {
 public:
  explicit AddressCache(const ClientOptions& options)
      : seeds(options.addresses), zone(options.zone), fetch_enabled(options.ask_for_addresses) {}

  std::vector<std::string> Candidates(BlockingHttp& http, Deadline deadline) {
    const TimePoint now = Clock::now();
    if (this->fetch_enabled && now >= this->valid_until) this->Refresh(http, deadline);
    std::vector<std::string> candidates = this->fetched_addresses;
    for (const std::string& seed : this->seeds) {
      if (std::find(candidates.begin(), candidates.end(), seed) == candidates.end()) {
        candidates.push_back(seed);
      }
    }
    std::stable_partition(candidates.begin(), candidates.end(), [&](const std::string& address) {
      auto failed = this->failed_until.find(address);
      return failed == this->failed_until.end() || failed->second <= now;
    });
    return candidates;
  }

  void OnFailure(const std::string& address) {
    this->failed_until[address] = Clock::now() + kFailedAddressPenalty;
    this->valid_until = TimePoint();
  }

  void OnSuccess(const std::string& address) { this->failed_until.erase(address); }

 private:
  void Refresh(BlockingHttp& http, Deadline deadline) {
    std::vector<std::string> sources = this->fetched_addresses;
    sources.insert(sources.end(), this->seeds.begin(), this->seeds.end());
    this->valid_until = Clock::now() + kRefreshRetryInterval;
    for (const std::string& source : sources) {
      if (auto failed = this->failed_until.find(source);
          failed != this->failed_until.end() && failed->second > Clock::now()) {
        continue;
      }
      if (this->FetchAddresses(http, source, deadline)) return;
      this->failed_until[source] = Clock::now() + kFailedAddressPenalty;
    }
  }

  bool FetchAddresses(BlockingHttp& http, const std::string& source, Deadline deadline) {
    HttpRequest request;
    request.address = source;
    request.target = "/v1/addresses";
    if (!this->zone.empty()) request.target += "?zone=" + this->zone;
    const Deadline fetch_deadline = std::min<Deadline>(deadline, Clock::now() + kAddressTimeout);
    const TimePoint requested_at = Clock::now();
    const auto response = http.Send(request, {}, fetch_deadline, {});
    if (!response || response.value().status != 200) return false;
    const Json body = Json::parse(response.value().body, nullptr, false);
    if (!body.is_object() || !body.contains("addresses") || !body.contains("ttl_ms")) return false;
    try {
      auto addresses = body["addresses"].get<std::vector<std::string>>();
      if (addresses.empty()) return false;
      this->fetched_addresses = std::move(addresses);
      this->valid_until = requested_at + Milliseconds(body["ttl_ms"].get<std::int64_t>());
    } catch (const Json::exception&) {
      return false;
    }
    return true;
  }

  std::vector<std::string> seeds;
  std::string zone;
  bool fetch_enabled;
  std::vector<std::string> fetched_addresses;
  Deadline valid_until;
  std::map<std::string, Deadline> failed_until;
};

std::uint64_t ConfigVersionOf(const HttpResponse& response) {
  std::uint64_t version = 0;
  if (auto found = response.headers.find("X-Config-Version"); found != response.headers.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), version);
  }
  return version;
}

// A response without a valid verdict means that the request may have run.
Error ToError(const HttpResponse& response, std::string_view body) {
  Error error = MayHaveRun(ErrorCode::kInternal, "status " + std::to_string(response.status));
  if (auto found = response.headers.find("X-Verdict"); found != response.headers.end()) {
    error.verdict = ParseVerdict(found->second).value_or(Verdict::kMayHaveRun);
  }
  return ParseErrorBody(body, error);
}

// Returns whether any other node would return the same error.
bool IsPermanent(const Error& error) {
  switch (error.code) {
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kNotFound:
    case ErrorCode::kConflict:
    case ErrorCode::kPermissionDenied:
    case ErrorCode::kQuarantined:
    case ErrorCode::kCancelled:
      return true;
    default:
      return false;
  }
}

std::string HeaderValue(const HttpResponse& response, const std::string& name) {
  auto found = response.headers.find(name);
  return found == response.headers.end() ? std::string() : found->second;
}

/** The condition under which a failed attempt is retried. */
enum class RetryCondition {
  kIfNotRun,      ///< Only after the verdict `kNotRun`.
  kIfMayHaveRun,  ///< Also if the request may have run, because it is idempotent.
  kIfNoResponse,  ///< Also if the connection was lost. The key prevents a second run.
};

/** The error of one attempt and what it means for further attempts. */
struct AttemptFailure {
  Error error;
  bool outcome_reported = false;  ///< The node reported how the request ended.
  bool permanent = false;         ///< Another attempt would fail as well.
};

template <typename T>
using AttemptResult = boost::outcome_v2::checked<T, AttemptFailure>;

class ClientImpl final : public Client {
 public:
  ClientImpl(ClientOptions options, std::unique_ptr<BlockingHttp> http)
      : options(std::move(options)),
        http(std::move(http)),
        addresses(this->options),
        random(std::random_device{}()) {}

  Result<Completion> Complete(const CompletionCall& call, const TokenCallback& on_token) override;
  Result<ServiceReply> CallService(const std::string& service, const std::string& method,
                                   const std::string& path, const std::string& body,
                                   bool idempotent, Deadline deadline) override;
  Result<ServiceReply> PlaceOrder(const std::string& service, const std::string& path,
                                  const std::string& body, const std::string& idempotency_key,
                                  Deadline deadline) override;

 private:
  template <typename T, typename Attempt>
  Result<T> RunWithRetries(RetryCondition condition, Deadline deadline, const Attempt& attempt);
  AttemptResult<Completion> AttemptCompletion(const CompletionCall& call, HttpRequest request,
                                              std::vector<std::string>* delivered_tokens,
                                              const TokenCallback& on_token);
  AttemptResult<ServiceReply> AttemptServiceCall(const HttpRequest& request, bool new_connection,
                                                 Deadline deadline);
  Result<ServiceReply> SendServiceCall(HttpRequest request, const std::string& service,
                                       const std::string& path, RetryCondition condition,
                                       Deadline deadline);
  HttpRequest NewRequest(const std::string& target);

  ClientOptions options;
  std::unique_ptr<BlockingHttp> http;
  AddressCache addresses;
  std::mt19937_64 random;
};

HttpRequest ClientImpl::NewRequest(const std::string& target) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  if (!this->options.branch.empty()) request.headers["X-Branch"] = this->options.branch;
  if (!this->options.team.empty()) request.headers["X-Team"] = this->options.team;
  std::string id;
  for (int i = 0; i < 32; ++i) id += "0123456789abcdef"[this->random() % 16];
  request.headers["X-Request-Id"] = id;
  return request;
}

template <typename T, typename Attempt>
Result<T> ClientImpl::RunWithRetries(RetryCondition condition, Deadline deadline,
                                     const Attempt& attempt) {
  bool may_have_run = false;
  Error error = NotRun(ErrorCode::kUnavailable, "no entry address is known");
  std::vector<std::string> tried;
  for (int count = 0; count < this->options.max_attempts; ++count) {
    if (Clock::now() >= deadline) break;
    auto candidates = this->addresses.Candidates(*this->http, deadline);
    if (candidates.empty()) break;
    auto untried =
        std::find_if(candidates.begin(), candidates.end(), [&](const std::string& candidate) {
          return std::find(tried.begin(), tried.end(), candidate) == tried.end();
        });
    if (untried == candidates.end()) {
      tried.clear();
      untried = candidates.begin();
      std::this_thread::sleep_for(std::min(kRetryDelay, TimeLeft(deadline, Clock::now())));
    }
    const std::string address = *untried;
    tried.push_back(address);
    AttemptResult<T> result = attempt(address);
    if (result) {
      this->addresses.OnSuccess(address);
      return std::move(result).value();
    }
    const AttemptFailure failure = std::move(result).error();
    if (!failure.outcome_reported) this->addresses.OnFailure(address);
    error = failure.error;
    const bool maybe_ran = error.verdict != Verdict::kNotRun;
    may_have_run = may_have_run || maybe_ran;
    if (failure.permanent || IsPermanent(error)) break;
    if (maybe_ran && condition == RetryCondition::kIfNotRun) break;
    if (maybe_ran && condition == RetryCondition::kIfNoResponse && failure.outcome_reported) break;
  }
  if (may_have_run && error.verdict == Verdict::kNotRun) error.verdict = Verdict::kMayHaveRun;
  return error;
}

AttemptResult<Completion> ClientImpl::AttemptCompletion(const CompletionCall& call,
                                                        HttpRequest request,
                                                        std::vector<std::string>* delivered_tokens,
                                                        const TokenCallback& on_token) {
  const std::string id = request.headers["X-Request-Id"];
  request.headers["X-Deadline-Ms"] =
      std::to_string(std::max<std::int64_t>(1, TimeLeft(call.deadline, Clock::now()).count()));
  CompletionReader reader(id, delivered_tokens, on_token);
  std::string error_body;
  int status = 0;
  const auto on_body = [&](int code, std::string_view bytes) {
    status = code;
    if (code == 200) return reader.Append(bytes);
    error_body.append(bytes);
    return error_body.size() <= (1 << 20);
  };
  BlockingHttpOptions limits;
  limits.connect_timeout = this->options.connect_timeout;
  limits.idle_timeout = this->options.silence_timeout;
  const auto response = this->http->Send(request, limits, call.deadline, on_body);
  if (reader.has_stream_error()) {
    return AttemptFailure{reader.Finish().error(), true, reader.token_mismatch()};
  }
  if (!response) return AttemptFailure{response.error()};
  if (response.value().status != 200) {
    return AttemptFailure{ToError(response.value(), error_body), true};
  }
  if (HeaderValue(response.value(), "X-Request-Id") != id) {
    return AttemptFailure{
        MayHaveRun(ErrorCode::kUpstreamProtocol, "the response belongs to another request")};
  }
  if (const auto finished = reader.Finish(); !finished) return AttemptFailure{finished.error()};

  Completion completion;
  completion.request_id = id;
  completion.tokens = static_cast<int>(delivered_tokens->size());
  completion.config_version = ConfigVersionOf(response.value());
  for (const std::string& token : *delivered_tokens) completion.text += token;
  return completion;
}

Result<Completion> ClientImpl::Complete(const CompletionCall& call, const TokenCallback& on_token) {
  HttpRequest request = this->NewRequest("/v1/completions");
  request.headers["Content-Type"] = "application/json";
  if (!call.priority.empty()) request.headers["X-Priority"] = call.priority;
  const Json body = {{"model", call.model},
                     {"prompt", call.prompt},
                     {"max_tokens", call.max_tokens},
                     {"seed", call.seed},
                     {"stream", true}};
  request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  std::vector<std::string> delivered_tokens;
  return this->RunWithRetries<Completion>(
      RetryCondition::kIfMayHaveRun, call.deadline, [&](const std::string& address) {
        request.address = address;
        return this->AttemptCompletion(call, request, &delivered_tokens, on_token);
      });
}

AttemptResult<ServiceReply> ClientImpl::AttemptServiceCall(const HttpRequest& request,
                                                           bool new_connection, Deadline deadline) {
  BlockingHttpOptions limits;
  limits.connect_timeout = this->options.connect_timeout;
  limits.new_connection = new_connection;
  auto response = this->http->Send(request, limits, deadline, {});
  if (!response) return AttemptFailure{response.error()};
  HttpResponse& service_response = response.value();
  if (HeaderValue(service_response, "X-Request-Id") != request.headers.at("X-Request-Id")) {
    return AttemptFailure{
        MayHaveRun(ErrorCode::kUpstreamProtocol, "the response belongs to another request")};
  }
  // Only a response of the service has the verdict `kRan`. Any other one is an error of the node.
  if (HeaderValue(service_response, "X-Verdict") != ToString(Verdict::kRan)) {
    return AttemptFailure{ToError(service_response, service_response.body), true};
  }
  return ServiceReply{service_response.status, HeaderValue(service_response, "Content-Type"),
                      std::move(service_response.body), ConfigVersionOf(service_response)};
}

Result<ServiceReply> ClientImpl::SendServiceCall(HttpRequest request, const std::string& service,
                                                 const std::string& path, RetryCondition condition,
                                                 Deadline deadline) {
  request.target = "/v1/services/" + service + (path.starts_with('/') ? "" : "/") + path;
  return this->RunWithRetries<ServiceReply>(condition, deadline, [&](const std::string& address) {
    request.address = address;
    request.headers["X-Deadline-Ms"] =
        std::to_string(std::max<std::int64_t>(1, TimeLeft(deadline, Clock::now()).count()));
    return this->AttemptServiceCall(request, condition != RetryCondition::kIfMayHaveRun, deadline);
  });
}

Result<ServiceReply> ClientImpl::CallService(const std::string& service, const std::string& method,
                                             const std::string& path, const std::string& body,
                                             bool idempotent, Deadline deadline) {
  HttpRequest request = this->NewRequest("");
  request.method = method;
  request.body = body;
  if (!body.empty()) request.headers["Content-Type"] = "application/json";
  return this->SendServiceCall(
      std::move(request), service, path,
      idempotent ? RetryCondition::kIfMayHaveRun : RetryCondition::kIfNotRun, deadline);
}

Result<ServiceReply> ClientImpl::PlaceOrder(const std::string& service, const std::string& path,
                                            const std::string& body,
                                            const std::string& idempotency_key, Deadline deadline) {
  if (idempotency_key.empty()) {
    return NotRun(ErrorCode::kInvalidArgument, "an order requires an idempotency key");
  }
  HttpRequest request = this->NewRequest("");
  request.body = body;
  request.headers["Content-Type"] = "application/json";
  request.headers["Idempotency-Key"] = idempotency_key;
  return this->SendServiceCall(std::move(request), service, path, RetryCondition::kIfNoResponse,
                               deadline);
}

}  // namespace

Result<std::unique_ptr<Client>> Client::Create(ClientOptions options) {
  if (options.addresses.empty()) {
    return NotRun(ErrorCode::kInvalidArgument, "a client requires at least one entry address");
  }
  auto http = BlockingHttp::Create();
  if (!http) return std::move(http).error();
  return std::unique_ptr<Client>(
      std::make_unique<ClientImpl>(std::move(options), std::move(http).value()));
}

}  // namespace limpetfall
