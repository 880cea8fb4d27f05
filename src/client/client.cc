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

// An address that failed is tried last for this long.
constexpr Milliseconds kFailedAddressTime{5000};

constexpr Milliseconds kAddressTimeout{2000};

// Used when no node can be asked, so that seeds are not asked again for every request.
constexpr Milliseconds kSeedLifetime{1000};

constexpr Milliseconds kRetryPause{100};

/** Entry addresses in the order of preference, kept until the answer's deadline. */
class AddressBook {
 public:
  explicit AddressBook(const ClientOptions& options)
      : seeds(options.addresses), zone(options.zone), ask(options.discover_addresses) {}

  std::vector<std::string> Candidates(BlockingHttp& http, Deadline deadline) {
    const TimePoint now = Clock::now();
    if (this->ask && now >= this->valid_until) this->Refresh(http, deadline);
    std::vector<std::string> candidates = this->known;
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
    this->failed_until[address] = Clock::now() + kFailedAddressTime;
    this->valid_until = TimePoint();
  }

  void OnSuccess(const std::string& address) { this->failed_until.erase(address); }

 private:
  void Refresh(BlockingHttp& http, Deadline deadline) {
    std::vector<std::string> sources = this->known;
    sources.insert(sources.end(), this->seeds.begin(), this->seeds.end());
    this->valid_until = Clock::now() + kSeedLifetime;
    for (const std::string& source : sources) {
      if (auto failed = this->failed_until.find(source);
          failed != this->failed_until.end() && failed->second > Clock::now()) {
        continue;
      }
      if (this->AskOne(http, source, deadline)) return;
      this->failed_until[source] = Clock::now() + kFailedAddressTime;
    }
  }

  bool AskOne(BlockingHttp& http, const std::string& source, Deadline deadline) {
    HttpRequest request;
    request.address = source;
    request.target = "/v1/addresses";
    if (!this->zone.empty()) request.target += "?zone=" + this->zone;
    const Deadline answer_by = std::min<Deadline>(deadline, Clock::now() + kAddressTimeout);
    const TimePoint asked = Clock::now();
    const auto response = http.Send(request, {}, answer_by, {});
    if (!response || response.value().status != 200) return false;
    const Json body = Json::parse(response.value().body, nullptr, false);
    if (!body.is_object() || !body.contains("addresses") || !body.contains("ttl_ms")) return false;
    try {
      auto addresses = body["addresses"].get<std::vector<std::string>>();
      if (addresses.empty()) return false;
      this->known = std::move(addresses);
      this->valid_until = asked + Milliseconds(body["ttl_ms"].get<std::int64_t>());
    } catch (const Json::exception&) {
      return false;
    }
    return true;
  }

  std::vector<std::string> seeds;
  std::string zone;
  bool ask;
  std::vector<std::string> known;
  Deadline valid_until;
  std::map<std::string, Deadline> failed_until;
};

std::uint64_t VersionOf(const HttpResponse& response) {
  std::uint64_t version = 0;
  if (auto found = response.headers.find("X-Config-Version"); found != response.headers.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), version);
  }
  return version;
}

// Without a readable verdict, the request may have run.
Error ErrorOf(const HttpResponse& response, std::string_view body) {
  Error error = MayHaveRun(ErrorCode::kInternal, "status " + std::to_string(response.status));
  if (auto found = response.headers.find("X-Verdict"); found != response.headers.end()) {
    error.verdict = ParseVerdict(found->second).value_or(Verdict::kMayHaveRun);
  }
  return ParseErrorBody(body, error);
}

// Refusals that another node would repeat.
bool IsFinal(const Error& error) {
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

/** When a failed attempt may be followed by another one. */
enum class Repeat {
  kIfNotRun,    ///< Only after `kNotRun`.
  kAlways,      ///< Also when it may have run: the request is idempotent.
  kIfNoAnswer,  ///< Also when the connection was lost: the key keeps it from running twice.
};

/** What one attempt returns besides its error. */
struct AttemptFailure {
  Error error;
  bool answered = false;  ///< The node said how the request ended.
  bool final = false;     ///< Another attempt cannot help.
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
  Result<T> Repeated(Repeat repeat, Deadline deadline, const Attempt& attempt);
  AttemptResult<Completion> TryComplete(const CompletionCall& call, HttpRequest request,
                                        std::vector<std::string>* passed_on,
                                        const TokenCallback& on_token);
  AttemptResult<ServiceReply> TryService(const HttpRequest& request, bool new_connection,
                                         Deadline deadline);
  Result<ServiceReply> SendService(HttpRequest request, const std::string& service,
                                   const std::string& path, Repeat repeat, Deadline deadline);
  HttpRequest NewRequest(const std::string& target);

  ClientOptions options;
  std::unique_ptr<BlockingHttp> http;
  AddressBook addresses;
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
Result<T> ClientImpl::Repeated(Repeat repeat, Deadline deadline, const Attempt& attempt) {
  bool may_have_run = false;
  Error last = NotRun(ErrorCode::kUnavailable, "no entry address is known");
  std::vector<std::string> tried;
  for (int count = 0; count < this->options.max_attempts; ++count) {
    if (Clock::now() >= deadline) break;
    auto candidates = this->addresses.Candidates(*this->http, deadline);
    if (candidates.empty()) break;
    auto fresh = std::find_if(candidates.begin(), candidates.end(), [&](const std::string& one) {
      return std::find(tried.begin(), tried.end(), one) == tried.end();
    });
    if (fresh == candidates.end()) {
      tried.clear();
      fresh = candidates.begin();
      std::this_thread::sleep_for(std::min(kRetryPause, TimeLeft(deadline, Clock::now())));
    }
    const std::string address = *fresh;
    tried.push_back(address);
    AttemptResult<T> result = attempt(address);
    if (result) {
      this->addresses.OnSuccess(address);
      return std::move(result).value();
    }
    const AttemptFailure failure = std::move(result).error();
    if (!failure.answered) this->addresses.OnFailure(address);
    last = failure.error;
    const bool ran = last.verdict != Verdict::kNotRun;
    may_have_run = may_have_run || ran;
    if (failure.final || IsFinal(last)) break;
    if (ran && repeat == Repeat::kIfNotRun) break;
    if (ran && repeat == Repeat::kIfNoAnswer && failure.answered) break;
  }
  if (may_have_run && last.verdict == Verdict::kNotRun) last.verdict = Verdict::kMayHaveRun;
  return last;
}

AttemptResult<Completion> ClientImpl::TryComplete(const CompletionCall& call, HttpRequest request,
                                                  std::vector<std::string>* passed_on,
                                                  const TokenCallback& on_token) {
  const std::string id = request.headers["X-Request-Id"];
  request.headers["X-Deadline-Ms"] =
      std::to_string(std::max<std::int64_t>(1, TimeLeft(call.deadline, Clock::now()).count()));
  CompletionReader reader(id, passed_on, on_token);
  std::string error_body;
  int status = 0;
  const auto on_body = [&](int code, std::string_view bytes) {
    status = code;
    if (code == 200) return reader.Add(bytes);
    error_body.append(bytes);
    return error_body.size() <= (1 << 20);
  };
  BlockingHttpOptions limits;
  limits.connect_timeout = this->options.connect_timeout;
  limits.silence_timeout = this->options.stream_idle_timeout;
  const auto response = this->http->Send(request, limits, call.deadline, on_body);
  if (reader.failed()) {
    return AttemptFailure{reader.Finish().error(), true, reader.differs()};
  }
  if (!response) return AttemptFailure{response.error()};
  if (response.value().status != 200) {
    return AttemptFailure{ErrorOf(response.value(), error_body), true};
  }
  if (HeaderValue(response.value(), "X-Request-Id") != id) {
    return AttemptFailure{
        MayHaveRun(ErrorCode::kUpstreamProtocol, "the answer belongs to another request")};
  }
  if (const auto finished = reader.Finish(); !finished) return AttemptFailure{finished.error()};

  Completion completion;
  completion.request_id = id;
  completion.tokens = static_cast<int>(passed_on->size());
  completion.config_version = VersionOf(response.value());
  for (const std::string& token : *passed_on) completion.text += token;
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
  std::vector<std::string> passed_on;
  return this->Repeated<Completion>(Repeat::kAlways, call.deadline,
                                    [&](const std::string& address) {
                                      request.address = address;
                                      return this->TryComplete(call, request, &passed_on, on_token);
                                    });
}

AttemptResult<ServiceReply> ClientImpl::TryService(const HttpRequest& request, bool new_connection,
                                                   Deadline deadline) {
  BlockingHttpOptions limits;
  limits.connect_timeout = this->options.connect_timeout;
  limits.new_connection = new_connection;
  auto response = this->http->Send(request, limits, deadline, {});
  if (!response) return AttemptFailure{response.error()};
  HttpResponse& answer = response.value();
  if (HeaderValue(answer, "X-Request-Id") != request.headers.at("X-Request-Id")) {
    return AttemptFailure{
        MayHaveRun(ErrorCode::kUpstreamProtocol, "the answer belongs to another request")};
  }
  // The verdict tells an answer of the service from one of the node.
  if (HeaderValue(answer, "X-Verdict") != ToString(Verdict::kRan)) {
    return AttemptFailure{ErrorOf(answer, answer.body), true};
  }
  return ServiceReply{answer.status, HeaderValue(answer, "Content-Type"), std::move(answer.body),
                      VersionOf(answer)};
}

Result<ServiceReply> ClientImpl::SendService(HttpRequest request, const std::string& service,
                                             const std::string& path, Repeat repeat,
                                             Deadline deadline) {
  request.target = "/v1/services/" + service + (path.starts_with('/') ? "" : "/") + path;
  return this->Repeated<ServiceReply>(repeat, deadline, [&](const std::string& address) {
    request.address = address;
    request.headers["X-Deadline-Ms"] =
        std::to_string(std::max<std::int64_t>(1, TimeLeft(deadline, Clock::now()).count()));
    return this->TryService(request, repeat != Repeat::kAlways, deadline);
  });
}

Result<ServiceReply> ClientImpl::CallService(const std::string& service, const std::string& method,
                                             const std::string& path, const std::string& body,
                                             bool idempotent, Deadline deadline) {
  HttpRequest request = this->NewRequest("");
  request.method = method;
  request.body = body;
  if (!body.empty()) request.headers["Content-Type"] = "application/json";
  return this->SendService(std::move(request), service, path,
                           idempotent ? Repeat::kAlways : Repeat::kIfNotRun, deadline);
}

Result<ServiceReply> ClientImpl::PlaceOrder(const std::string& service, const std::string& path,
                                            const std::string& body,
                                            const std::string& idempotency_key, Deadline deadline) {
  if (idempotency_key.empty()) {
    return NotRun(ErrorCode::kInvalidArgument, "an order needs an idempotency key");
  }
  HttpRequest request = this->NewRequest("");
  request.body = body;
  request.headers["Content-Type"] = "application/json";
  request.headers["Idempotency-Key"] = idempotency_key;
  return this->SendService(std::move(request), service, path, Repeat::kIfNoAnswer, deadline);
}

}  // namespace

Result<std::unique_ptr<Client>> Client::Create(ClientOptions options) {
  if (options.addresses.empty()) {
    return NotRun(ErrorCode::kInvalidArgument, "a client needs at least one entry address");
  }
  auto http = BlockingHttp::Create();
  if (!http) return std::move(http).error();
  return std::unique_ptr<Client>(
      std::make_unique<ClientImpl>(std::move(options), std::move(http).value()));
}

}  // namespace limpetfall
