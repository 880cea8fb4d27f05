#ifndef LIMPETFALL_GATEWAY_RELAY_H_
#define LIMPETFALL_GATEWAY_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "base/boot-clock.h"
#include "base/metrics.h"
#include "core/admission.h"
#include "core/demand-meter.h"
#include "core/dispatch.h"
#include "core/gateway-config.h"
#include "core/shared-retry-budget.h"
#include "core/start-limit.h"
#include "gateway/http-connection.h"
#include "http/server.h"

namespace limpetfall {

/** Names of the headers that the relay reads and sets. The deployment's adapter supplies them. */
struct RelayHeaders {
  std::string request_id;
  std::string deadline_ms;  ///< Milliseconds that are left for the request.
  std::string key;          ///< The caller's key; never handed on.
  std::string team;         ///< Set for the upstream, whatever the caller sent.
  std::string model;
  std::string upstream_id;  ///< The only upstream that may run the request.
  std::string not_run;      ///< In an answer: the upstream has not run the request.
  std::string digest;       ///< In an answer: signs its body.
  std::string last_event_id;

  friend bool operator==(const RelayHeaders&, const RelayHeaders&) = default;
};

struct RelayOptions {
  RelayHeaders headers;
  /** A key is refused when the configuration was last confirmed longer ago than this. */
  Milliseconds key_proof_lifetime{4000};
  bool strict_keys = true;
  RetryBudgetOptions retry_budget;
  /** Time to connect to an upstream within a region, beyond which it is taken for lost. */
  Milliseconds connect_timeout{400};
  /** Silence of all streams of a group beyond the route's longest pause shows a lost member. */
  Milliseconds group_silence_margin{100};
  /** Silence before the first event, while no other request of the group gets bytes either. */
  Milliseconds first_event_silence{900};
  /** Callers abandon a stream after two seconds of silence; another upstream gets it before. */
  Milliseconds single_silence{1500};
  /** An idempotent request that is unanswered for this part of its objective goes elsewhere. */
  double idempotent_patience = 1.2;
};

/** What the relay needs to know of the node around it. */
struct RelayContext {
  std::shared_ptr<const RouteTable> routes;  ///< Null before the first configuration.
  BootTime confirmed;                        ///< When `routes` certainly was in force.
};

/**
 * Hands requests to upstreams and their answers back. Requests of a model wait for a place in a
 * group; an answer that breaks off is asked for again as far as the route allows. Runs on one
 * thread.
 */
class Relay {
 public:
  Relay(boost::asio::io_context& context, RelayOptions settings, DispatchTable& dispatch,
        ConnectionPool& connections, std::shared_ptr<Metrics> counters);

  /** Serves one request of a caller. */
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  /** Takes over a configuration, or a new proof that it is in force. */
  void SetContext(RelayContext context) { this->context = std::move(context); }

  /** Takes over the part of the shared retry slack that this node may use. */
  void SetRetryPart(double part) { this->budget.SetPart(part); }

  /** Places waiting requests; called when an upstream may have become free. */
  void Pump();

  /** Ends requests that cannot start in time. */
  void ExpireWaiting();

  /** Returns the places that this node's callers would occupy at once, by model. */
  [[nodiscard]] std::map<ModelName, double> Demand() {
    return this->demand.DemandedSlots(Clock::now());
  }

  [[nodiscard]] std::size_t waiting() const { return this->queue.queued(); }

 private:
  struct Call;
  struct Place;
  struct Standby;
  struct Waiter;
  enum class Outcome { kAnswered, kNotRun, kLost, kUpstreamFailed, kCallerGone };

  [[nodiscard]] static bool IsFinal(Outcome outcome) {
    return outcome == Outcome::kAnswered || outcome == Outcome::kCallerGone;
  }

  [[nodiscard]] Result<void> Check(Call& call, const HttpRequest& request);
  [[nodiscard]] Result<void> Authenticate(Call& call, const HttpRequest& request);
  [[nodiscard]] const ServiceName& PickService(const Route& route);
  boost::asio::awaitable<Result<Place>> Acquire(Call& call);
  boost::asio::awaitable<Result<std::shared_ptr<HttpConnection>>> ConnectTo(const Place& place,
                                                                            const Call& call);
  boost::asio::awaitable<Outcome> Attempt(Call& call, Place& place, HttpExchange& exchange);
  boost::asio::awaitable<Outcome> RelayPlain(Call& call, Place& place, HttpExchange& exchange,
                                             ResponseHead head);
  boost::asio::awaitable<Outcome> RelayStream(Call& call, Place& place, HttpExchange& exchange,
                                              ResponseHead head);
  void WatchForSilence(Call& call, Place& place);
  [[nodiscard]] bool Park(Call& call, Place& place);
  boost::asio::awaitable<Outcome> ReturnToStandby(Call& call, HttpExchange& exchange);
  boost::asio::awaitable<void> Run(Call& call, HttpExchange& exchange);
  boost::asio::awaitable<void> Finish(Call& call, HttpExchange& exchange);
  boost::asio::awaitable<void> Refuse(HttpExchange& exchange, int status, const Error& error,
                                      double retry_after_s);
  [[nodiscard]] HttpRequest UpstreamRequest(const Call& call, const HttpRequest& request,
                                            const Place& place) const;
  [[nodiscard]] bool MayTryAgain(Call& call, Outcome outcome);
  [[nodiscard]] double RetryAfter(const Call& call);
  void OnUpstreamFailure(const Call& call, const Place& place, const char* what,
                         const std::string& detail);

  /** Notes an attempt that failed with `call.error`, also for the choice of later requests. */
  void OnFault(const Call& call, const Place& place, const char* what, UpstreamFault fault);

  boost::asio::io_context& io;
  RelayOptions options;
  DispatchTable& table;
  ConnectionPool& pool;
  std::shared_ptr<Metrics> metrics;
  RelayContext context;
  SharedRetryBudget budget;
  AdmissionQueue queue;
  DemandMeter demand;
  StartLimit start_limit;
  ReturnMeter returns;
  std::unordered_map<AdmissionId, Waiter*> waiters;
  std::mt19937_64 random;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_GATEWAY_RELAY_H_
