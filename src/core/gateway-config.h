#ifndef LIMPETFALL_CORE_GATEWAY_CONFIG_H_
#define LIMPETFALL_CORE_GATEWAY_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "core/cold-limit.h"
#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Whether requests of a route may be sent again after they may have been executed. */
enum class RetryPolicy {
  kAtMostOnce,  ///< A request that may have been executed is never sent again.
  kIdempotent,  ///< A request may be executed any number of times.
};

/** A service that receives a share of a route's requests. */
struct WeightedService {
  ServiceName service;
  int weight = 1;

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/** Services for requests of one host and path prefix, with their limits and objectives. */
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  std::vector<WeightedService> services;
  RetryPolicy retry_policy = RetryPolicy::kAtMostOnce;
  bool stream = false;  ///< Responses are server-sent events.
  /** A stream may resume at another upstream after the last complete event. */
  bool resumable = false;
  bool requires_key = true;
  int attempts = 1;  ///< Most upstreams that one request may be sent to.
  int priority = 0;  ///< 0 is the most urgent.
  Milliseconds timeout{0};
  Milliseconds objective{0};            ///< Responses within this time have their full value.
  Milliseconds event_gap_objective{0};  ///< Longest gap between events of a stream that meets it.

  friend bool operator==(const Route&, const Route&) = default;
};

/** A model served by the engines of one service. */
struct ServedModel {
  ModelName name;
  int group_size = 1;
  double share = 0;        ///< Expected share of the service's load.
  double time_factor = 1;  ///< Multiplies all times of the engine profile.
  Milliseconds load_time{0};
  Milliseconds staged_load_time{0};  ///< Load time if the weights are already on the VM's host.

  friend bool operator==(const ServedModel&, const ServedModel&) = default;
};

/** Published performance figures of the engines of one service. */
struct EngineProfile {
  int slots = 1;       ///< Requests that one group runs concurrently.
  double step_ms = 0;  ///< Duration of a token step without requests; 0 if not stated.
  double step_ms_per_request = 0;
  double prefill_tokens_per_ms = 0;  ///< 0 if not stated.
  int steps_per_pass = 1;            ///< Token steps per pass; events are sent after each pass.
  int typical_prompt_tokens = 0;
  int typical_answer_tokens = 0;
  double loads_per_second = 1;  ///< Most loads from the weight store that may begin per second.
  std::size_t concurrent_loads = 1;  ///< More concurrent loads slow each other down.
  std::vector<ServedModel> models;

  friend bool operator==(const EngineProfile&, const EngineProfile&) = default;
};

struct GatewayService {
  ServiceName name;
  std::optional<EngineProfile> engine;  ///< Absent for a service without engines.
  std::optional<ColdProfile> cold{};    ///< Absent if its upstreams are never cold.

  friend bool operator==(const GatewayService&, const GatewayService&) = default;
};

/** Limits on the size and the timing of callers' requests. */
struct CallerLimits {
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 4 << 20;
  Milliseconds request_read_timeout{3000};
  Milliseconds idle_timeout{15000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/** The team that an API key belongs to. */
struct KeyHolder {
  TeamName team;
  std::optional<int> priority;  ///< Overrides the priority of the route.

  friend bool operator==(const KeyHolder&, const KeyHolder&) = default;
};

/** One version of the operators' configuration. */
struct GatewayConfig {
  ConfigVersion version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, GatewayService> services;
  std::unordered_map<std::string, KeyHolder> keys;
  bool has_teams = false;  ///< Without teams no route needs a key.
  CallerLimits limits;

  friend bool operator==(const GatewayConfig&, const GatewayConfig&) = default;
};

/**
 * Finds the route of a request: the longest prefix among the routes of its host.
 *
 *     const RouteTable table(config);
 *     const Route* route = table.Find("example.org", "/orders/17?full=1");
 */
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const GatewayConfig> source);

  /** Returns null if no route of the host has a prefix of the path. Ignores a port in `host`. */
  [[nodiscard]] const Route* Find(std::string_view host, std::string_view target) const;

  [[nodiscard]] const GatewayConfig& config() const { return *this->source; }

 private:
  std::shared_ptr<const GatewayConfig> source;
  /** Sorted by prefix length, the longest first. */
  std::unordered_map<std::string, std::vector<const Route*>> routes_by_host;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_GATEWAY_CONFIG_H_
