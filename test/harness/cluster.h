#ifndef LIMPETFALL_TEST_HARNESS_CLUSTER_H_
#define LIMPETFALL_TEST_HARNESS_CLUSTER_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "harness/process.h"

namespace limpetfall::testing {

struct ClusterOptions {
  int nodes = 3;
  int domains = 2;
  int vms_per_domain = 4;
  int vms_per_group = 2;
  int groups = 4;
  int token_ms = 5;
  int load_ms = 50;
  bool engines_check_generation = true;
  bool proxy_engines = false;   ///< Puts a fault proxy before each engine.
  bool proxy_platform = false;  ///< Puts a fault proxy between each node and the store.
  bool proxy_service = false;   ///< Puts a fault proxy before the plain service.
  bool proxy_nodes = false;     ///< Puts a fault proxy before the RPC port of each node.
  std::string extra_timing{};   ///< Lines added to the [timing] table of each node's settings.
};

/**
 * Runs the entry nodes, stand-ins and fault proxies of one test. Each is a process on its own
 * loopback address.
 *
 *     auto cluster = Cluster::Start({.nodes = 3});
 *     auto reply = cluster->Complete(0, "fold the map of Burren");
 */
class Cluster {
 public:
  /** Starts all processes. Returns when the configuration is in force and all groups serve. */
  static std::unique_ptr<Cluster> Start(const ClusterOptions& options);

  ~Cluster();

  [[nodiscard]] std::string caller_url(int node) const;
  [[nodiscard]] std::string admin_url(int node) const;
  [[nodiscard]] std::string engine_url(int vm) const;
  [[nodiscard]] std::string service_url() const;

  Process& node(int index) { return *this->nodes.at(static_cast<std::size_t>(index)); }
  Process& engine(int index) { return *this->engines.at(static_cast<std::size_t>(index)); }
  Process& service() { return *this->plain_service; }
  Process& platform() { return *this->platform_process; }

  /** Kills a process and starts it again on the same address. */
  void RestartNode(int index);
  void RestartEngine(int index);
  void RestartService();

  /** Sends a completion request without streaming. */
  [[nodiscard]] Reply Complete(int node, const std::string& prompt, int max_tokens = 8,
                               const std::map<std::string, std::string>& headers = {}) const;

  /** Sends a completion request with streaming. */
  [[nodiscard]] std::unique_ptr<StreamReader> Stream(int node, const std::string& prompt,
                                                     int max_tokens) const;

  /** Returns the text of a completion. Empty if the reply is not a successful completion. */
  [[nodiscard]] static std::string CompletionText(const Reply& reply);

  /** Returns the VMs of each group that is serving in the view of a node. */
  [[nodiscard]] std::vector<std::vector<int>> ServingMembers(int node) const;

  /** Returns the completions in the journal of an engine. */
  [[nodiscard]] nlohmann::json EngineJournal(int vm) const;

  /** Sends an order to the order book through a node. */
  [[nodiscard]] Reply PlaceOrder(int node, const std::string& key, const std::string& body,
                                 const std::map<std::string, std::string>& headers = {}) const;

  /** Returns how many requests ran at the order book with a body that contains `text`. */
  [[nodiscard]] int CountOrderRuns(const std::string& text) const;

  [[nodiscard]] nlohmann::json Status(int node) const;
  [[nodiscard]] nlohmann::json EngineReport(int vm) const;

  /** These send `body` to the control interface of a stand-in or proxy. */
  void ControlEngine(int vm, const std::string& body) const;
  void ControlEngineProxy(int vm, const std::string& body) const;
  void ControlService(const std::string& body) const;
  void ControlServiceProxy(const std::string& body) const;
  void ControlPlatform(const std::string& body) const;
  void ControlPlatformProxy(int node, const std::string& body) const;
  void ControlNodeProxy(int node, const std::string& body) const;

  /** Sets the VM list. VMs in `leaving` are marked as leaving; VMs in `absent` are not listed. */
  void SetVmList(const std::vector<int>& leaving = {}, const std::vector<int>& absent = {}) const;

  /** Returns the configuration document of this cluster. */
  [[nodiscard]] nlohmann::json document() const;

  /** Applies a document through a node if `expected_version` is the current version. */
  [[nodiscard]] Reply Apply(int node, const nlohmann::json& document,
                            const std::string& expected_version) const;

  /** Returns the number of groups that are serving in the view of a node. */
  [[nodiscard]] int ServingGroups(int node) const;
  bool WaitForServingGroups(int node, int count, std::chrono::milliseconds timeout) const;

  [[nodiscard]] std::string log_folder() const { return this->folder; }

 private:
  explicit Cluster(const ClusterOptions& options);

  [[nodiscard]] std::string Host(int number) const;
  [[nodiscard]] std::string EngineAddress(int vm) const;  ///< Address in the VM list.
  [[nodiscard]] std::string ServiceAddress() const;
  [[nodiscard]] std::string NodeRpcAddress(int node) const;  ///< Advertised to other nodes.
  void StartPlatform();
  void StartEngines();
  void StartProxy(const std::string& listen, const std::string& target, const std::string& control);
  std::unique_ptr<Process> LaunchNode(int index) const;
  std::unique_ptr<Process> LaunchEngine(int index) const;
  std::unique_ptr<Process> LaunchService() const;
  [[nodiscard]] std::string NodeSettings(int index) const;
  [[nodiscard]] std::string LogPath(const std::string& name) const;
  [[nodiscard]] int vms() const { return this->options.domains * this->options.vms_per_domain; }

  ClusterOptions options;
  std::string network;  ///< First three octets of the loopback addresses of this test, with a dot.
  std::string folder;
  std::unique_ptr<Process> platform_process;
  std::unique_ptr<Process> plain_service;
  std::vector<std::unique_ptr<Process>> engines;
  std::vector<std::unique_ptr<Process>> nodes;
  std::vector<std::unique_ptr<Process>> proxies;
};

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_CLUSTER_H_
