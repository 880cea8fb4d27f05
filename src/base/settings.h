#ifndef LIMPETFALL_BASE_SETTINGS_H_
#define LIMPETFALL_BASE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/routing-policy.h"
#include "limpetfall/result.h"

namespace limpetfall {

/**
 * Settings of one entry node, read from a TOML file.
 *
 *     [node]      id, zone, caller_address, admin_address, metrics_address, node_address,
 *                 advertised_address, seeds, threads
 *     [platform]  store (list of "IP:port"), vm_list ("IP:port")
 *     [timing]    the `_ms` fields below
 *     [routing]   policy
 *     [log]       level
 */
struct Settings {
  NodeId node;
  ZoneId zone;
  std::string caller_address;  ///< All addresses are "IP:port".
  std::string admin_address;
  std::string metrics_address;
  std::string node_address;
  std::string advertised_address;  ///< Where other nodes connect; defaults to `node_address`.
  std::vector<std::string> seeds;  ///< RPC addresses of other nodes.
  int threads = 2;

  std::vector<std::string> store_addresses;
  std::string vm_list_address;

  std::int64_t probe_interval_ms = 1000;
  std::int64_t probe_timeout_ms = 500;
  std::int64_t suspicion_ms = 1000;
  std::int64_t report_interval_ms = 250;
  std::int64_t report_timeout_ms = 500;
  std::int64_t summary_lifetime_ms = 8000;
  std::int64_t config_poll_ms = 1000;
  std::int64_t config_fresh_ms = 5000;
  std::int64_t vm_list_poll_ms = 1000;
  std::int64_t platform_timeout_ms = 2000;
  std::int64_t connect_timeout_ms = 1000;
  std::int64_t first_token_timeout_ms = 10000;
  std::int64_t token_timeout_ms = 3000;
  std::int64_t release_timeout_ms = 2000;
  std::int64_t address_ttl_ms = 5000;
  std::int64_t request_timeout_ms = 60000;   ///< Deadline of a request without one.
  std::int64_t order_delay_bound_ms = 5000;  ///< Longest delivery time of an order to an engine.

  RoutingPolicy routing_policy = RoutingPolicy::kPrefixAndLoad;

  std::string log_level = "info";

  friend bool operator==(const Settings&, const Settings&) = default;
};

/**
 * Reads and validates a settings file. The error message lists every fault on a separate line, as
 * `file:line: key: description`.
 *
 *     auto settings = LoadSettings("node-1.toml");
 */
Result<Settings> LoadSettings(const std::string& path);

/** Parses settings from `text`; messages use `name` as the file name. */
Result<Settings> ParseSettings(const std::string& text, const std::string& name);

}  // namespace limpetfall

#endif  // LIMPETFALL_BASE_SETTINGS_H_
