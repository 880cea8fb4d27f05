#ifndef LIMPETFALL_CLIENT_H_
#define LIMPETFALL_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

struct ClientOptions {
  std::vector<std::string> addresses;  ///< Entry nodes to contact first, "IP:port".
  std::string zone;                    ///< The caller's availability zone; may be empty.
  std::string branch;
  std::string team;
  bool discover_addresses = true;  ///< If false, requests are sent to `addresses` only.
  int max_attempts = 3;
  Milliseconds connect_timeout{1000};
  Milliseconds stream_idle_timeout{15000};  ///< A stream without data for this long is aborted.
};

struct CompletionCall {
  std::string model;
  std::string prompt;
  int max_tokens = 64;
  std::uint64_t seed = 0;
  std::string priority;  ///< "high", "normal", "low" or empty.
  Deadline deadline;
};

struct Completion {
  std::string request_id;
  std::string text;
  int tokens = 0;
  std::uint64_t config_version = 0;

  friend bool operator==(const Completion&, const Completion&) = default;
};

struct ServiceReply {
  int status = 0;
  std::string content_type;
  std::string body;
  std::uint64_t config_version = 0;

  friend bool operator==(const ServiceReply&, const ServiceReply&) = default;
};

/** Receives each token of a completion once, in order. */
using TokenCallback = std::function<void(std::string_view token)>;

/**
 * Blocking client of limpetfall. Fetches the list of entry addresses, caches it until it expires,
 * connects to the best address and fails over to the others. A request is retried only if it
 * certainly did not run or is idempotent. Use one client per thread.
 *
 *     auto client = Client::Create({{"10.0.0.1:8080"}, "ennis", "maps", "councils"});
 *     auto completion = client.value()->Complete(call, [](auto token) { std::cout << token; });
 */
class Client {
 public:
  static Result<std::unique_ptr<Client>> Create(ClientOptions options);

  virtual ~Client() = default;

  /**
   * Runs a completion and calls `on_token` for each token as it arrives. Succeeds only if the
   * complete response was received; after an error, discard the tokens received so far.
   */
  virtual Result<Completion> Complete(const CompletionCall& call,
                                      const TokenCallback& on_token) = 0;

  /** Calls a plain service. Set `idempotent` if the call may be retried. */
  virtual Result<ServiceReply> CallService(const std::string& service, const std::string& method,
                                           const std::string& path, const std::string& body,
                                           bool idempotent, Deadline deadline) = 0;

  /**
   * Places an order that must run at most once. If the connection is lost, the client retries with
   * the same idempotency key and receives the outcome of the first attempt.
   */
  virtual Result<ServiceReply> PlaceOrder(const std::string& service, const std::string& path,
                                          const std::string& body,
                                          const std::string& idempotency_key,
                                          Deadline deadline) = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CLIENT_H_
