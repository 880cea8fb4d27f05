#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>
#include <sstream>

#include "base/pause.h"
#include "harness/gateway-process-fixture.h"
#include "harness/soak.h"

namespace limpetfall::testing {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::size_t kNodes = 4;
constexpr int kStreamCallers = 16;
constexpr int kOrderCallers = 14;
constexpr int kLookupCallers = 10;

// Planned work begins in this time; what it has begun ends later.
constexpr Milliseconds kWorkTime{13000};
constexpr Milliseconds kStopGrace{8000};

// A request that is sent this shortly before its connection ends has crossed that end.
constexpr Milliseconds kCrossingTime{20};

// A process is gone this shortly after it has closed its last connections.
#ifdef __SANITIZE_ADDRESS__
constexpr Milliseconds kExitTime{500};  // Includes the search for leaks.
#else
constexpr Milliseconds kExitTime{50};
#endif

// A node that started this long ago serves, so that others may stop.
constexpr Milliseconds kSettleTime{2500};

enum class RequestKind { kStream, kOrder, kLookup };

/** A request that a caller sent, and what it saw. */
struct SentRequest {
  std::string id;
  RequestKind kind = RequestKind::kLookup;
  std::size_t node = 0;
  int start = 0;          ///< Of the node: the process that took the connection.
  bool is_first = false;  ///< On its connection.
  TimePoint connected;    ///< When its connection was opened.
  TimePoint sent;
  TimePoint ended;
  Answer answer;
  std::string error;  ///< Why the answer is incomplete.
};

/** What the test knows of a gateway node, whose process is started again after each stop. */
struct NodeState {
  int start = 0;  ///< Counts the processes.
  TimePoint started;
  bool listening = false;
  bool running = true;
  std::optional<TimePoint> stopped;  ///< First SIGTERM of this process.
  TimePoint last_signal;             ///< Any signal to this process.
  bool is_overdue = false;           ///< Reported as still running after the grace period.
  Deadline restart;
  std::map<int, TimePoint> signals;  ///< First SIGTERM, by start.
  std::map<int, TimePoint> ends;     ///< By start.
};

enum class StepKind {
  kStop,
  kStopTwo,
  kStopTwice,
  kReload,
  kReloadSeries,
  kReloadStopping,
  kConfigure,
  kDrainRunner,
  kRemoveRunner,
  kReplaceRunner,
  kSilenceStore,
  kRefuseStore
};

/** One piece of planned work. What the numbers select depends on the kind. */
struct Step {
  Milliseconds at{0};
  StepKind kind = StepKind::kReload;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
};

/** Returns the work of a seed. Each kind comes once at least, except the faults of the store. */
std::vector<Step> DrawSteps(std::uint64_t seed) {
  Random random(seed);
  std::vector<StepKind> kinds;
  for (int kind = 0; kind <= static_cast<int>(StepKind::kReplaceRunner); ++kind)
    kinds.push_back(static_cast<StepKind>(kind));
  constexpr std::array kMore = {
      StepKind::kStop,           StepKind::kStop,           StepKind::kStopTwo,
      StepKind::kStopTwice,      StepKind::kReload,         StepKind::kReloadSeries,
      StepKind::kReloadStopping, StepKind::kReloadStopping, StepKind::kConfigure,
      StepKind::kConfigure,      StepKind::kDrainRunner,    StepKind::kRemoveRunner};
  constexpr std::size_t kSteps = 44;
  while (kinds.size() < kSteps) kinds.push_back(kMore.at(Draw(random, 0, kMore.size() - 1)));
  if (seed % 3 == 0) kinds.push_back(StepKind::kSilenceStore);
  if (seed % 6 == 4) kinds.push_back(StepKind::kRefuseStore);
  for (std::size_t i = kinds.size() - 1; i > 0; --i) std::swap(kinds[i], kinds[Draw(random, 0, i)]);
  std::vector<Step> steps;
  steps.reserve(kinds.size());
  for (const StepKind kind : kinds) {
    steps.push_back({DrawTime(random, 0, static_cast<std::uint64_t>(kWorkTime.count())), kind,
                     random(), random()});
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
  return steps;
}

/** Real gateway processes under planned work of many kinds, and callers that keep connections. */
class PlannedWorkSoakIntegrationTest : public GatewayProcessFixture {
  CPPUNIT_TEST_SUITE(PlannedWorkSoakIntegrationTest);
  CPPUNIT_TEST(PlannedWorkLosesNoRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are lost, cut or run twice by overlapping planned work (LOST).
  void PlannedWorkLosesNoRequest() {
    std::string failed;
    for (const std::uint64_t seed : SoakSeeds(3, 5)) {
      this->ResetFixture();
      if (!this->RunSeed(seed)) failed += " " + std::to_string(seed);
    }
    CPPUNIT_ASSERT_MESSAGE("seeds with violations, printed above:" + failed, failed.empty());
  }

 private:
  /** The state of one seed. */
  struct Run {
    std::uint64_t seed = 0;
    TimePoint begun;
    bool callers_end = false;
    bool work_ends = false;
    int callers = 0;
    std::vector<NodeState> nodes = std::vector<NodeState>(kNodes);
    std::vector<Random> restarts;  ///< By node, for the times of its restarts.
    std::vector<std::unique_ptr<SentRequest>> requests;
    std::map<std::string, int> runs;  ///< By request.
    std::size_t counted = 0;          ///< Requests at runners that `runs` contains.
    std::vector<std::string> plain_runners;
    std::vector<std::string> group_runners;
    std::set<std::string> away;  ///< Runners that drain or whose entry is removed.
    int added_runners = 0;
    int version = 5;
    std::map<std::string, int> extra_routes;  ///< Time-outs, by name.
    int chat_timeout = 5000;
    int plain_timeout = 1500;
    std::map<std::string, int> work;  ///< Steps that took place, by name.
    int skipped = 0;
    int unconnected = 0;
    Milliseconds longest_stop{0};
    std::vector<std::string> violations;
    std::set<std::string> suspects;  ///< Requests with violations.
  };

  // The processes and callers --------------------------------------------------------------------

  bool RunSeed(std::uint64_t seed) {
    this->run = Run();
    this->run.seed = seed;
    for (std::size_t i = 0; i < kNodes; ++i) this->run.restarts.emplace_back(seed * 100 + i);
    this->deployment->events_in_stream = 30;
    this->deployment->event_interval = Milliseconds(40);
    this->deployment->plain_response_delay = Milliseconds(25);
    this->StartProcesses(kNodes);
    this->run.plain_runners = {"b1", "b2", "b3"};
    this->run.group_runners = {"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7"};
    this->deployment->AddRunner("b3", "book", "d0");
    this->deployment->AddRunner("r6", "llm", "d2");
    this->deployment->AddRunner("r7", "llm", "d2");
    this->RunUntil([this] { return this->deployment->OpenHeads().size() == 4; }, 10000);
    this->RunFor(1000);
    this->run.begun = Clock::now();
    for (NodeState& node : this->run.nodes) {
      node.listening = true;
      node.started = this->run.begun - kSettleTime;
    }
    asio::co_spawn(*this->io, this->WatchProcesses(), [this](const std::exception_ptr& thrown) {
      if (thrown) this->Violate("the processes are no longer watched");
    });
    this->SpawnCallers();
    this->RunFor(1000);
    this->SpawnWork();
    this->RunFor(static_cast<int>(kWorkTime.count()));
    this->run.work_ends = true;
    this->CheckAllServe();
    this->run.callers_end = true;
    if (!this->Await([this] { return this->run.callers == 0; }, 12000))
      this->Violate(std::to_string(this->run.callers) + " callers still wait");
    this->RunFor(500);
    this->Judge();
    return this->run.violations.empty();
  }

  void SpawnCallers() {
    int index = 0;
    const std::vector<std::pair<RequestKind, int>> callers = {
        {RequestKind::kStream, kStreamCallers},
        {RequestKind::kOrder, kOrderCallers},
        {RequestKind::kLookup, kLookupCallers}};
    for (const auto& [kind, count] : callers) {
      for (int i = 0; i < count; ++i)
        asio::co_spawn(*this->io, this->Call(kind, index++), asio::detached);
    }
  }

  /** Uses a connection until it ends or its end is announced, then opens one at another node. */
  asio::awaitable<void> Call(RequestKind kind, int index) {
    ++this->run.callers;
    const std::shared_ptr<void> counted(nullptr, [this](void*) { --this->run.callers; });
    Random random(this->run.seed * 1000 + static_cast<std::uint64_t>(index));
    std::size_t node = static_cast<std::size_t>(index) % kNodes;
    for (int number = 0; !this->run.callers_end;) {
      node = (node + Draw(random, 1, kNodes - 1)) % kNodes;
      const auto connected = co_await HttpConnection::Connect(
          *this->io, this->caller_addresses.at(node), Clock::now() + Milliseconds(500));
      if (!connected) {
        ++this->run.unconnected;
        co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(20));
        continue;
      }
      const std::shared_ptr<HttpConnection>& connection = connected.value();
      const TimePoint opened = Clock::now();
      const int start = this->run.nodes.at(node).start;
      for (bool is_first = true;; is_first = false) {
        auto& request = *this->run.requests.emplace_back(std::make_unique<SentRequest>());
        request.id = "c" + std::to_string(index) + "-" + std::to_string(number++);
        request.kind = kind;
        request.node = node;
        request.start = start;
        request.is_first = is_first;
        request.connected = opened;
        co_await this->Exchange(*connection, request);
        const std::string_view announced = GetHeader(request.answer.headers, "Connection");
        if (!request.answer.complete || announced == "close" || this->run.callers_end) break;
        // The long pauses reach the times at which a stopping process closes unused connections.
        const bool is_long = Draw(random, 1, index % 4 == 0 ? 3 : 30) == 1;
        const Milliseconds pause =
            is_long ? DrawTime(random, 300, 5500) : DrawTime(random, 20, 150);
        co_await limpetfall::detail::PauseUntil(Clock::now() + pause);
        if (this->run.callers_end) break;
        // Sends without a look at the connection, as a caller does that reads only answers.
      }
      connection->Close();
    }
  }

  asio::awaitable<void> Exchange(HttpConnection& connection, SentRequest& sent) {
    const bool is_stream = sent.kind == RequestKind::kStream;
    const bool is_order = sent.kind == RequestKind::kOrder;
    const std::string target = is_stream ? "/chat/1" : is_order ? "/order/1" : "/lookup/1";
    HttpRequest request =
        this->MakeRequest(is_order ? "POST" : "GET", target, sent.id, "k1", is_order ? "{}" : "");
    request.headers["X-Deadline-Ms"] = is_stream ? "5000" : "1500";
    sent.sent = Clock::now();
    const Deadline deadline = sent.sent + Milliseconds(9000);
    sent.error = co_await ReadAnswer(connection, request, deadline, sent.answer);
    sent.ended = Clock::now();
  }

  /** Notices the ends of processes and starts them again. */
  asio::awaitable<void> WatchProcesses() {
    for (;;) {
      const TimePoint now = Clock::now();
      for (std::size_t i = 0; i < kNodes; ++i) {
        NodeState& node = this->run.nodes[i];
        if (node.running && !this->processes.at(i)->running()) this->OnEnd(i, now);
        if (node.stopped && !node.is_overdue && *node.stopped + kStopGrace < now) {
          node.is_overdue = true;
          this->Violate("p" + std::to_string(i) + " runs 8 s after SIGTERM");
        }
        if (!node.running && node.restart <= now) this->Restart(i);
      }
      this->CountRunsOfRequests();
      co_await limpetfall::detail::PauseUntil(now + Milliseconds(1));
    }
  }

  void OnEnd(std::size_t index, TimePoint now) {
    NodeState& node = this->run.nodes[index];
    node.running = false;
    node.listening = false;
    node.ends[node.start] = now;
    if (node.start == 0) this->HoldPorts(index);
    node.restart = now + DrawTime(this->run.restarts[index], 0, 1200);
    const std::string name = "p" + std::to_string(index);
    const int code = this->processes[index]->exit_code();
    if (code != 0) {
      this->Violate(name + " ended with code " + std::to_string(code) + ", seen " +
                    FormatTime(now - node.last_signal) + " after the last signal to it");
    }
    if (!node.stopped) {
      this->Violate(name + " ended without SIGTERM");
    } else {
      const auto taken = std::chrono::duration_cast<Milliseconds>(now - *node.stopped);
      this->run.longest_stop = std::max(this->run.longest_stop, taken);
    }
    node.stopped.reset();
    node.is_overdue = false;
  }

  void Restart(std::size_t index) {
    this->RestartProcess(index);
    NodeState& node = this->run.nodes[index];
    ++node.start;
    node.running = true;
    node.started = Clock::now();
    const bool stops_early = Draw(this->run.restarts[index], 1, 4) == 1 && !this->run.work_ends;
    const Milliseconds delay = DrawTime(this->run.restarts[index], 0, 1000);
    asio::co_spawn(*this->io, this->AwaitListener(index, node.start, stops_early, delay),
                   asio::detached);
  }

  /** Waits until a new process takes connections; then signals it `delay` later if it is to stop.
   * Before that, a signal ends the process, and no caller is harmed. */
  asio::awaitable<void> AwaitListener(std::size_t index, int start, bool stops_early,
                                      Milliseconds delay) {
    for (;;) {
      const auto connected = co_await HttpConnection::Connect(
          *this->io, this->caller_addresses.at(index), Clock::now() + Milliseconds(200));
      if (!this->IsRunning(index, start)) co_return;
      if (connected) break;
      co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(2));
    }
    this->run.nodes[index].listening = true;
    if (!stops_early) co_return;
    co_await limpetfall::detail::PauseUntil(Clock::now() + delay);
    if (!this->IsRunning(index, start) || this->run.work_ends) co_return;
    ++this->run.work["stop after start"];
    this->Stop(index);
  }

  [[nodiscard]] bool IsRunning(std::size_t index, int start) const {
    const NodeState& node = this->run.nodes[index];
    return node.running && node.start == start;
  }

  // The planned work -----------------------------------------------------------------------------

  void SpawnWork() {
    for (const Step& step : DrawSteps(this->run.seed))
      asio::co_spawn(*this->io, this->TakeInTime(step, Clock::now() + step.at), asio::detached);
  }

  /** Takes a step at `time`, or a little later if it is not possible then. */
  asio::awaitable<void> TakeInTime(Step step, TimePoint time) {
    constexpr int kTries = 6;
    for (int i = 0; i < kTries; ++i, time += Milliseconds(400)) {
      co_await limpetfall::detail::PauseUntil(time);
      if (this->run.work_ends) break;
      if (this->Take(step)) co_return;
    }
    ++this->run.skipped;
  }

  /** Returns whether the step was possible. */
  bool Take(const Step& step) {
    switch (step.kind) {
      case StepKind::kStop:
        return this->StopNodes(step, 1, "stop");
      case StepKind::kStopTwo:
        return this->StopNodes(step, 2, "stop of two");
      case StepKind::kStopTwice:
        return this->StopTwice(step);
      case StepKind::kReload:
        return this->Reload(step, 1, false, "reload");
      case StepKind::kReloadSeries:
        return this->Reload(step, 6, false, "reload series");
      case StepKind::kReloadStopping:
        return this->Reload(step, 40, true, "reload series at a stopping node");
      case StepKind::kConfigure:
        return this->Configure(step);
      case StepKind::kDrainRunner:
      case StepKind::kRemoveRunner:
      case StepKind::kReplaceRunner:
        return this->ChangeRunner(step);
      case StepKind::kSilenceStore:
      case StepKind::kRefuseStore:
        return this->DisturbStore(step);
    }
    return false;
  }

  /** Returns nodes that run and are not stopping, in an order that `choice` selects. */
  [[nodiscard]] std::vector<std::size_t> RunningNodes(std::uint64_t choice) const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < kNodes; ++i) {
      const std::size_t index = (choice + i) % kNodes;
      const NodeState& node = this->run.nodes[index];
      if (node.running && node.listening && !node.stopped) found.push_back(index);
    }
    return found;
  }

  /** Returns `count` nodes to stop, or none if no other node would serve. */
  [[nodiscard]] std::vector<std::size_t> NodesToStop(std::uint64_t choice,
                                                     std::size_t count) const {
    std::vector<std::size_t> found = this->RunningNodes(choice);
    if (found.size() <= count) return {};
    const TimePoint now = Clock::now();
    const bool others_serve =
        std::any_of(found.begin() + static_cast<std::ptrdiff_t>(count), found.end(),
                    [&](std::size_t i) { return this->run.nodes[i].started + kSettleTime <= now; });
    if (!others_serve) return {};
    found.resize(count);
    return found;
  }

  bool StopNodes(const Step& step, std::size_t count, const std::string& name) {
    const std::vector<std::size_t> chosen = this->NodesToStop(step.first, count);
    if (chosen.empty()) return false;
    ++this->run.work[name];
    for (const std::size_t index : chosen) this->Stop(index);
    return true;
  }

  bool StopTwice(const Step& step) {
    const std::vector<std::size_t> chosen = this->NodesToStop(step.first, 1);
    if (chosen.empty()) return false;
    ++this->run.work["stop twice"];
    this->Stop(chosen.front());
    asio::co_spawn(*this->io,
                   this->SignalLater(chosen.front(), SIGTERM, {Milliseconds(step.second % 3500)}),
                   asio::detached);
    return true;
  }

  void Stop(std::size_t index) {
    NodeState& node = this->run.nodes[index];
    const TimePoint now = Clock::now();
    if (!node.stopped) {
      node.stopped = now;
      node.signals[node.start] = now;
    }
    this->Signal(index, SIGTERM);
  }

  void Signal(std::size_t index, int signal) {
    this->run.nodes[index].last_signal = Clock::now();
    this->processes.at(index)->Signal(signal);
  }

  bool Reload(const Step& step, int count, bool at_stopping_node, const std::string& name) {
    std::vector<std::size_t> chosen;
    if (at_stopping_node) {
      for (std::size_t i = 0; i < kNodes; ++i) {
        const std::size_t index = (step.first + i) % kNodes;
        if (this->run.nodes[index].stopped) chosen.push_back(index);
      }
    } else {
      chosen = this->RunningNodes(step.first);
    }
    if (chosen.empty()) return false;
    ++this->run.work[name];
    std::vector<Milliseconds> pauses{Milliseconds(0)};
    Random random(step.second);
    for (int i = 1; i < count; ++i) pauses.push_back(DrawTime(random, 0, 120));
    asio::co_spawn(*this->io, this->SignalLater(chosen.front(), SIGHUP, std::move(pauses)),
                   asio::detached);
    return true;
  }

  /** Signals a process after each of the pauses, as long as it runs. */
  asio::awaitable<void> SignalLater(std::size_t index, int signal,
                                    std::vector<Milliseconds> pauses) {
    const int start = this->run.nodes[index].start;
    for (const Milliseconds pause : pauses) {
      co_await limpetfall::detail::PauseUntil(Clock::now() + pause);
      if (!this->IsRunning(index, start)) co_return;
      this->Signal(index, signal);
    }
  }

  bool Configure(const Step& step) {
    const std::string name = "extra" + std::to_string(step.second % 3);
    const int timeout = 1000 + static_cast<int>(step.second / 3 % 1000);
    switch (step.first % 3) {
      case 0:
        this->run.extra_routes[name] = timeout;  // Added or changed.
        break;
      case 1:
        if (this->run.extra_routes.erase(name) == 0) this->run.extra_routes[name] = timeout;
        break;
      default:
        this->run.chat_timeout = 4500 + timeout;
        this->run.plain_timeout = 500 + timeout;
    }
    json config = json::parse(ConfigJson(++this->run.version, R"("k1")"));
    for (json& route : config["routes"]) {
      const bool is_chat = route["name"] == "chat";
      route["timeoutMs"] = is_chat ? this->run.chat_timeout : this->run.plain_timeout;
    }
    for (const auto& [route, route_timeout] : this->run.extra_routes) {
      json added = config["routes"].back();
      added["name"] = route;
      added["prefix"] = "/" + route + "/";
      added["timeoutMs"] = route_timeout;
      config["routes"].push_back(std::move(added));
    }
    ++this->run.work["configuration"];
    this->deployment->Put("op/config", config.dump());
    return true;
  }

  bool ChangeRunner(const Step& step) {
    const bool is_plain = step.first % 2 == 0;
    std::vector<std::string>& runners =
        is_plain ? this->run.plain_runners : this->run.group_runners;
    const bool one_is_away = std::any_of(runners.begin(), runners.end(), [this](const auto& id) {
      return this->run.away.contains(id);
    });
    if (one_is_away) return false;
    std::string& chosen = runners.at(step.second % runners.size());
    const std::string id = chosen;
    const Milliseconds time(500 + step.second / 16 % 2000);
    json entry = json::parse(this->deployment->Get("servers/" + id), nullptr, false);
    if (!entry.is_object()) return false;
    const std::string domain = entry.at("domain");
    if (step.kind == StepKind::kRemoveRunner) {
      ++this->run.work["runner removed"];
      this->deployment->RemoveRunnerEntry(id);
    } else {
      entry["state"] = "draining";
      this->deployment->Put("servers/" + id, entry.dump());
    }
    if (step.kind == StepKind::kReplaceRunner) {
      ++this->run.work["runner replaced"];
      chosen = (is_plain ? "b-new" : "r-new") + std::to_string(++this->run.added_runners);
      this->deployment->AddRunner(chosen, is_plain ? "book" : "llm", domain);
      asio::co_spawn(*this->io, this->RemoveLater(id, time), asio::detached);
      return true;
    }
    if (step.kind == StepKind::kDrainRunner) ++this->run.work["runner draining"];
    this->run.away.insert(id);
    asio::co_spawn(*this->io, this->RestoreLater(id, time), asio::detached);
    return true;
  }

  asio::awaitable<void> RestoreLater(std::string id, Milliseconds time) {
    co_await limpetfall::detail::PauseUntil(Clock::now() + time);
    this->deployment->RestoreRunnerEntry(id);
    this->run.away.erase(id);
  }

  asio::awaitable<void> RemoveLater(std::string id, Milliseconds time) {
    co_await limpetfall::detail::PauseUntil(Clock::now() + time);
    this->deployment->RemoveRunnerEntry(id);
  }

  /** Takes the store away for less than the lifetime of the proof that a configuration is valid. */
  bool DisturbStore(const Step& step) {
    const bool is_silent = step.kind == StepKind::kSilenceStore;
    ++this->run.work[is_silent ? "store silent" : "store refusing"];
    this->deployment->store_mode = is_silent ? StoreMode::kUnresponsive : StoreMode::kRefusing;
    asio::co_spawn(*this->io, this->RestoreStoreLater(Milliseconds(600 + step.first % 1400)),
                   asio::detached);
    return true;
  }

  asio::awaitable<void> RestoreStoreLater(Milliseconds time) {
    co_await limpetfall::detail::PauseUntil(Clock::now() + time);
    this->deployment->store_mode = StoreMode::kServing;
  }

  // The judgement --------------------------------------------------------------------------------

  /** Waits until all nodes run and serve each kind of request again. */
  void CheckAllServe() {
    const auto serves = [](const NodeState& node) { return node.listening && !node.stopped; };
    const auto all_serve = [&] {
      return std::all_of(this->run.nodes.begin(), this->run.nodes.end(), serves);
    };
    if (!this->Await(all_serve, 15000)) {
      for (std::size_t i = 0; i < kNodes; ++i)
        if (!serves(this->run.nodes[i])) this->Violate(this->DescribeNode(i));
    }
    this->RunFor(static_cast<int>(kSettleTime.count()));
    for (std::size_t i = 0; i < kNodes; ++i) {
      this->caller_address = this->caller_addresses[i];
      for (const std::string target : {"/chat/end", "/order/end", "/lookup/end"}) {
        const Deadline limit = Clock::now() + Milliseconds(8000);
        for (int number = 0;; ++number) {
          const std::string id = "end-p" + std::to_string(i) + target + std::to_string(number);
          const Answer answer =
              this->SendAndWait(target == "/order/end" ? "POST" : "GET", target, id, "k1", "{}");
          if (answer.complete && answer.status == 200) break;
          if (limit <= Clock::now()) {
            this->Violate("p" + std::to_string(i) + " does not serve " + target +
                          " after the work");
            break;
          }
          this->RunFor(100);
        }
      }
    }
  }

  [[nodiscard]] std::string DescribeNode(std::size_t index) const {
    const NodeState& node = this->run.nodes[index];
    std::ostringstream text;
    text << "p" << index << " does not come back: start " << node.start << " at "
         << this->Since(node.started) << (node.running ? ", runs" : ", ended")
         << (node.listening ? ", listens" : ", does not listen");
    if (node.stopped) text << ", SIGTERM at " << this->Since(*node.stopped);
    return text.str();
  }

  void CountRunsOfRequests() {
    const auto& seen = this->deployment->runner_requests;
    for (; this->run.counted < seen.size(); ++this->run.counted) {
      const RunnerRequest& request = seen[this->run.counted];
      if (request.ran) ++this->run.runs[std::string(GetHeader(request.headers, "X-Request-Id"))];
    }
  }

  [[nodiscard]] int RunsOf(const std::string& id) const {
    const auto found = this->run.runs.find(id);
    return found == this->run.runs.end() ? 0 : found->second;
  }

  /** Returns how a request without an answer met the end of the process; empty if it was lost. */
  [[nodiscard]] std::string CrossingKind(const SentRequest& request) const {
    const NodeState& node = this->run.nodes[request.node];
    const auto end = node.ends.find(request.start);
    if (end == node.ends.end() || this->RunsOf(request.id) > 0 || request.answer.status != 0)
      return "";
    if (end->second <= request.sent) return "after the end";
    if (kCrossingTime < request.ended - request.sent) return "";
    if (end->second - request.sent <= kCrossingTime) return "at the end";
    return end->second - request.sent <= kExitTime ? "during the exit" : "";
  }

  void Judge() {
    this->CountRunsOfRequests();
    std::map<int, int> statuses;
    std::vector<std::string> crossings;
    std::map<std::string, int> crossing_kinds;
    std::size_t complete = 0;
    for (const auto& request : this->run.requests) {
      if (request->answer.complete) {
        ++complete;
        ++statuses[request->answer.status];
        this->JudgeAnswer(*request);
      } else if (const std::string kind = this->CrossingKind(*request); !kind.empty()) {
        ++crossing_kinds[kind];
        if (kind != "after the end") crossings.push_back(this->Describe(*request));
      } else {
        this->Violate("no complete answer", *request);
      }
    }
    std::cout << "\nseed " << this->run.seed << ": requests " << this->run.requests.size()
              << ", complete " << complete << ", crossings " << crossings.size() << ", violations "
              << this->run.violations.size() << "; statuses";
    for (const auto& [status, count] : statuses) std::cout << " " << status << ": " << count;
    std::cout << "; runs " << this->run.runs.size() << ", connections refused "
              << this->run.unconnected << ", longest stop " << this->run.longest_stop.count()
              << " ms; work";
    for (const auto& [name, count] : this->run.work)
      std::cout << " " << name << ": " << count << ",";
    std::cout << " skipped: " << this->run.skipped << "\n";
    for (const auto& [kind, count] : crossing_kinds)
      std::cout << "not run and without an answer " << kind << ": " << count << "\n";
    for (const std::string& text : crossings) std::cout << "crossing: " << text << "\n";
    for (const std::string& text : this->run.violations) std::cout << "violation: " << text << "\n";
    if (!this->run.violations.empty()) this->PrintLogs();
    std::cout.flush();
  }

  void JudgeAnswer(const SentRequest& request) {
    const int runs = RunsOf(request.id);
    const int status = request.answer.status;
    const auto violate = [&](const std::string& fault) { this->Violate(fault, request); };
    if (request.kind == RequestKind::kOrder) {
      if (runs > 1) violate("order ran more than once");
      if (runs > 0 && PromisesNotRun(status)) violate("refused and run");
    }
    if (status == 200 && runs == 0) violate("success without a run");
    if (request.kind != RequestKind::kStream) {
      if (status == 200 && !request.answer.body.starts_with("done by ")) violate("wrong body");
    } else if (status == 200) {
      if (request.answer.body != this->CompleteStream()) violate("stream incomplete");
    } else if (!PromisesNotRun(status) || runs > 0) {
      violate("stream neither complete nor refused as not run");
    }
  }

  void Violate(const std::string& text) {
    this->run.violations.push_back("at " + this->Since(Clock::now()) + ": " + text);
  }

  void Violate(const std::string& fault, const SentRequest& request) {
    this->run.suspects.insert(request.id);
    this->Violate(fault + ": " + this->Describe(request));
  }

  [[nodiscard]] std::string Since(TimePoint time) const {
    return FormatTime(time - this->run.begun);
  }

  [[nodiscard]] std::string Describe(const SentRequest& request) const {
    const NodeState& node = this->run.nodes[request.node];
    std::ostringstream text;
    text << request.id << " at p" << request.node << " start " << request.start
         << (request.is_first ? " first" : " kept") << ", connected "
         << this->Since(request.connected) << ", sent " << this->Since(request.sent) << ", ended "
         << FormatTime(request.ended - request.sent) << " later, status " << request.answer.status
         << ", " << request.answer.body.size() << " bytes, " << request.error;
    if (request.answer.complete && request.answer.status != 200) text << request.answer.body;
    if (const auto signal = node.signals.find(request.start); signal != node.signals.end())
      text << ", sent " << FormatTime(request.sent - signal->second) << " after SIGTERM";
    if (const auto end = node.ends.find(request.start); end != node.ends.end())
      text << ", process gone " << FormatTime(end->second - request.sent) << " after it was sent";
    for (const RunnerRequest& seen : this->deployment->runner_requests) {
      if (GetHeader(seen.headers, "X-Request-Id") != request.id) continue;
      text << ", at " << seen.runner << " " << FormatTime(seen.arrived - request.sent)
           << " after it was sent" << (seen.ran ? " (ran)" : "");
    }
    return text.str();
  }

  /** Prints what the nodes logged, of the answered requests only those with violations. */
  void PrintLogs() const {
    for (std::size_t i = 0; i < kNodes; ++i) {
      std::cout << "log of p" << i << ":\n";
      std::istringstream lines(this->processes[i]->log());
      for (std::string line; std::getline(lines, line);) {
        if (this->IsOfInterest(line)) std::cout << line << "\n";
      }
    }
  }

  [[nodiscard]] bool IsOfInterest(const std::string& line) const {
    if (line.find(R"("outcome":"answered")") == std::string::npos) return true;
    const json entry = json::parse(line, nullptr, false);
    return entry.is_discarded() || this->run.suspects.contains(entry.value("request", ""));
  }

  Run run;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedWorkSoakIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
