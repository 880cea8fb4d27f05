#ifndef LIMPETFALL_TEST_HARNESS_FAKE_DEPLOYMENT_H_
#define LIMPETFALL_TEST_HARNESS_FAKE_DEPLOYMENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http/server.h"

namespace limpetfall::testing {

/** How the store handles calls. */
enum class StoreMode {
  kServing,
  kRefusing,              ///< Answers 503, without effect.
  kUnresponsive,          ///< Sends no answer, without effect.
  kDroppingWriteReplies,  ///< Writes take effect; their connection closes without an answer.
  kHangingWatches         ///< Answers all calls except watches.
};

/** How a runner handles requests. Only `kUnresponsive` also applies to orders and reports. */
enum class RunnerMode {
  kServing,
  kRefusing,          ///< Answers 503 with `X-Not-Run`.
  kDroppingAnswers,   ///< Runs requests and closes the connection without an answer.
  kHangingMidStream,  ///< Sends nothing more after the second event of a stream.
  kPausingMidStream,  ///< Pauses for 1 s after the second event of a stream.
  kClosingMidStream,  ///< Pauses as `kPausingMidStream`, then closes the connection.
  kUnresponsive       ///< Answers nothing.
};

/** A request that a runner received. */
struct RunnerRequest {
  std::string runner;
  std::string target;
  Headers headers;
  TimePoint arrived;
  bool ran = false;
  bool caller_disconnected = false;  ///< The connection closed before the end of the answer.
};

/**
 * Simulates the store and the runners of the platform on loopback, in the process of the test.
 * Covers what the gateway tests use: leases, watches, conditional writes, groups, streams and their
 * faults.
 */
class FakeDeployment {
 public:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };

  struct Event {
    std::int64_t revision = 0;
    std::string key;
    bool removed = false;
  };

  struct Lease {
    Deadline expires;
    Milliseconds lifetime{0};
  };

  /** What the store held at some moment. */
  struct StoreCopy {
    std::map<std::string, Item> items;
    std::vector<Event> events;
    std::map<std::int64_t, Lease> leases;
    std::int64_t revision = 0;
    std::int64_t last_lease = 0;
  };

  explicit FakeDeployment(boost::asio::io_context& context);

  [[nodiscard]] std::string store_address() const { return this->store_server->address(); }

  /** Opens another address of the same store, which `refused_stores` can make unavailable. */
  std::string AddStoreAddress();

  /** Adds a runner. It refuses connections beyond `max_connections`, as real runners do. */
  void AddRunner(const std::string& id, const std::string& service, const std::string& domain,
                 std::size_t max_connections = 1000);
  void SetRunnerMode(const std::string& id, RunnerMode mode) { this->runners.at(id)->mode = mode; }

  /** Sets headers that a runner adds to its responses to requests. */
  void SetExtraHeaders(const std::string& id, Headers headers) {
    this->runners.at(id)->extra_headers = std::move(headers);
  }

  /** Publishes that a runner is "ready" or "draining". */
  void SetRunnerState(const std::string& id, const std::string& state) {
    this->runners.at(id)->state = state;
    this->Publish(*this->runners.at(id));
  }

  /** Returns the highest epoch of any group that a runner has joined. */
  [[nodiscard]] std::int64_t HighestEpoch() const { return this->highest_epoch; }

  /** Publishes another address for a runner, as if another server answered there. */
  void SetRunnerAddress(const std::string& id, const std::string& address);

  /** Publishes the runner's own address again. */
  void RestoreRunnerAddress(const std::string& id) {
    this->SetRunnerAddress(id, this->runners.at(id)->server->address());
  }

  /** Makes a runner refuse new connections and answer nothing, while its group stays open. */
  void Isolate(const std::string& id);

  /** Returns the group that a runner belongs to, empty if none. */
  [[nodiscard]] std::string GroupOf(const std::string& id) const;

  /** Removes the store entry of a runner, as after missed heartbeats. */
  void RemoveRunnerEntry(const std::string& id) { this->Remove("servers/" + id); }

  /** Writes the store entry of a runner again. */
  void RestoreRunnerEntry(const std::string& id) { this->Publish(*this->runners.at(id)); }

  void Put(const std::string& key, const std::string& value, std::int64_t lease = 0);
  void Remove(const std::string& key);
  /** Returns the value of a key, or an empty text. */
  [[nodiscard]] std::string Get(const std::string& key) const {
    const auto found = this->items.find(key);
    return found == this->items.end() ? "" : found->second.value;
  }
  [[nodiscard]] bool HasKey(const std::string& key) const { return this->items.contains(key); }

  /** Returns a copy of what the store holds now, for `RestoreStore`. */
  [[nodiscard]] std::shared_ptr<const StoreCopy> CopyStore() const;

  /**
   * Replaces what the store holds by a copy and begins a new era. Revisions and the numbers of
   * leases go back to those of the copy; watches are cut. Call `RewriteEntries` for what the
   * operators and the runners write again.
   */
  void RestoreStore(const StoreCopy& copy);

  /** Writes the entries of all runners that are up again. */
  void RewriteRunners();

  /** Writes the configuration last put again. */
  void RewriteConfig();

  /** Writes the entries of all runners that are up, and the configuration last put, again. */
  void RewriteEntries();

  /** Grants a lease to another process than the nodes under test, and returns its number. */
  std::int64_t GrantLease(Milliseconds lifetime);

  /** Ends a runner as a crash does. It comes back at another address after `crash_downtime`, as a
   * new process that is in no group. */
  void Crash(const std::string& id);

  /** Ends a runner for good, as a process that has drained does, and removes its entry. */
  void EndRunner(const std::string& id);

  [[nodiscard]] bool IsDown(const std::string& id) const { return this->runners.at(id)->down; }

  /** Returns how often the process of a runner has started. */
  [[nodiscard]] int BootOf(const std::string& id) const { return this->runners.at(id)->boot; }

  /** Returns the runners that are the heads of open groups. */
  [[nodiscard]] std::vector<std::string> OpenHeads() const;

  /** Returns how many times runners have run the request with this id. */
  [[nodiscard]] int CountRuns(const std::string& request_id) const;

  StoreMode store_mode = StoreMode::kServing;
  /** Value of the header with the era; if not set, the era. Empty for no header. */
  std::optional<std::string> stated_era;
  std::set<std::string> refused_stores;  ///< Addresses of the store that answer 429.
  /** Status with which runners of plain services answer requests that they have run. */
  int plain_status = 200;
  std::vector<RunnerRequest> runner_requests;
  int events_in_stream = 6;
  std::size_t event_padding = 0;  ///< Bytes that are added to each event.
  Milliseconds event_interval{20};
  Milliseconds plain_response_delay{0};  ///< Time that plain services work on a request.
  /** A runner crashes when it begins to run a request whose target or prompt contains this text. */
  std::string crashing_text;
  Milliseconds crash_downtime{700};
  int crashes = 0;
  /** The time that a head runs on at most after one of its members has left. */
  Milliseconds stall_time{2000};
  /** Joins of another group while the head of the former one was open. */
  std::vector<std::pair<TimePoint, std::string>> overlapping_joins;
  std::uint64_t watch_calls = 0;
  std::uint64_t transaction_calls = 0;  ///< Conditional writes that the store received.

 private:
  /** The group that a runner joined last, and its head then. */
  struct JoinedGroup {
    std::string name;
    std::int64_t epoch = 0;
    std::string head;
    std::optional<TimePoint> left;
  };

  struct FakeRunner {
    std::string id;
    std::string service;
    std::string domain;
    std::int64_t orders = 0;
    RunnerMode mode = RunnerMode::kServing;
    Headers extra_headers;
    std::string state = "ready";
    nlohmann::json group;
    std::optional<JoinedGroup> last_group;
    std::string model;  ///< Of its last group.
    std::int64_t highest_epoch = 0;
    std::vector<std::string> staged;
    std::unique_ptr<HttpServer> server;
    std::string published_address;  ///< That of `server`, unless the test has set another.
    std::size_t max_connections = 0;
    int boot = 1;  ///< Counts the starts of the process.
    bool down = false;
  };

  boost::asio::awaitable<void> ServeStore(HttpExchange& exchange);
  [[nodiscard]] bool IsStoreAway() const {
    return this->store_mode == StoreMode::kRefusing || this->store_mode == StoreMode::kUnresponsive;
  }
  /** Handles a call to the store while it is away. */
  boost::asio::awaitable<void> ServeAway(HttpExchange& exchange);
  boost::asio::awaitable<void> ServeRunner(FakeRunner& runner, HttpExchange& exchange);
  boost::asio::awaitable<void> ServeWatch(HttpExchange& exchange);
  boost::asio::awaitable<void> StreamEvents(FakeRunner& runner, HttpExchange& exchange,
                                            std::size_t request_index);
  boost::asio::awaitable<void> ExpireLeases();
  /** Ends a lease and removes its keys. */
  void EndLease(std::int64_t id);
  boost::asio::awaitable<void> Reply(HttpExchange& exchange, int status, nlohmann::json body);
  boost::asio::awaitable<void> ReplyFromStore(HttpExchange& exchange, int status,
                                              nlohmann::json body);
  [[nodiscard]] nlohmann::json Transact(const nlohmann::json& body, int& status);
  [[nodiscard]] nlohmann::json ItemJson(const std::string& key, const Item& item) const;
  [[nodiscard]] int Order(FakeRunner& runner, const nlohmann::json& body);
  /** Records if a runner joins another group while the head of its last one serves. */
  void CheckJoin(const FakeRunner& runner, const nlohmann::json& body);
  static void RecordLeaving(FakeRunner& runner);
  void Publish(const FakeRunner& runner);
  void RecordChange(const std::string& key, bool removed);
  void StartServer(FakeRunner& runner);
  boost::asio::awaitable<void> RestartLater(FakeRunner& runner);

  /** Returns whether the process that began to work in boot `boot` has ended. */
  [[nodiscard]] static bool HasEnded(const FakeRunner& runner, int boot) {
    return runner.down || runner.boot != boot;
  }

  boost::asio::io_context& io;
  std::unique_ptr<HttpServer> store_server;
  std::list<std::unique_ptr<HttpServer>> store_addresses;
  std::list<std::unique_ptr<HttpServer>> ended_servers;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::map<std::int64_t, Lease> leases;
  std::int64_t era = 1;
  std::int64_t revision = 10;
  std::int64_t last_lease = 0;
  std::string last_config;
  std::int64_t highest_epoch = 0;
  std::set<boost::asio::steady_timer*> watchers;
  std::map<std::string, std::unique_ptr<FakeRunner>> runners;
};

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_FAKE_DEPLOYMENT_H_
