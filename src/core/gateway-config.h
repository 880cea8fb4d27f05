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
#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** How often an upstream may run the requests of a route. */
enum class Repetition {
  kAtMostOnce,  ///< A request that may have run is never sent again.
  kIdempotent,  ///< A request may run any number of times.
};

/** A service that takes a share of a route's requests. */
struct WeightedService {
  ServiceName service;
  int weight = 1;

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/** Where requests of one host and path prefix go, and what callers expect of the answer. */
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  std::vector<WeightedService> services;
  Repetition repetition = Repetition::kAtMostOnce;
  bool stream = false;     ///< Answers are server-sent events.
  bool resumable = false;  ///< A stream may go on at another upstream after the last whole event.
  bool needs_key = true;
  int attempts = 1;  ///< Most upstreams that one request may be sent to.
  int priority = 0;  ///< 0 is the most urgent.
  Milliseconds timeout{0};
  Milliseconds objective{0};      ///< Answers within this are worth their full value.
  Milliseconds gap_objective{0};  ///< Longest pause between events of a stream that is on time.

  friend bool operator==(const Route&, const Route&) = default;
};

/** A model as the engines of one service serve it. */
struct ServedModel {
  ModelName name;
  int group_size = 1;
  double share = 0;  ///< Expected share of the service's work.
  double pace = 1;   ///< Factor on all of the engine's times.
  Milliseconds load_time{0};
  Milliseconds staged_load_time{0};  ///< With the weights on the VM's host.

  friend bool operator==(const ServedModel&, const ServedModel&) = default;
};

/** Published figures of the engines of one service. */
struct EngineProfile {
  int slots = 1;       ///< Requests that one group runs at once.
  double step_ms = 1;  ///< One token step without any request.
  double step_ms_per_request = 0;
  double prefill_tokens_per_ms = 1;
  int steps_per_pass = 1;  ///< Token steps in one pass, after which events are sent.
  int usual_prompt_tokens = 0;
  int usual_answer_tokens = 0;
  double loads_per_second = 1;  ///< Most loads from the weight store that may begin in a second.
  std::size_t concurrent_loads = 1;  ///< More concurrent loads slow each other down.
  std::vector<ServedModel> models;

  friend bool operator==(const EngineProfile&, const EngineProfile&) = default;
};

struct GatewayService {
  ServiceName name;
  std::optional<EngineProfile> engine;  ///< Absent for a plain service.

  friend bool operator==(const GatewayService&, const GatewayService&) = default;
};

/** What a caller may send, and how long it may take. */
struct CallerLimits {
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 4 << 20;
  Milliseconds request_read_timeout{3000};
  Milliseconds idle_timeout{15000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/** The team that holds a key. */
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

  /** Returns nothing if no prefix of that host begins the path. Ignores a port in `host`. */
  [[nodiscard]] const Route* Find(std::string_view host, std::string_view target) const;

  [[nodiscard]] const GatewayConfig& config() const { return *this->source; }

 private:
  std::shared_ptr<const GatewayConfig> source;
  std::unordered_map<std::string, std::vector<const Route*>> by_host;  ///< Longest prefix first.
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_GATEWAY_CONFIG_H_
