#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <list>
#include <set>
#include <sstream>

#include "base/pause.h"
#include "harness/config-history.h"
#include "harness/gateway-process-fixture.h"
#include "harness/soak.h"

namespace limpetfall::testing {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

// Changes begin in this time; what they have begun ends later.
constexpr Milliseconds kWorkTime{10000};
constexpr Milliseconds kStopGrace{8000};
constexpr Milliseconds kSettleTime{2500};  // A node that started this long ago serves.
constexpr Milliseconds kCrossingTime{70};  // Between the end of a connection and of the process.

constexpr Milliseconds kChangeTime{2000};  // In which a change is in force, if the store serves.
constexpr Milliseconds kOutageTime{5000};  // That an outage may delay it further.
constexpr Milliseconds kRevocationTime{5000};  // In which a removed key is refused, always.
constexpr Milliseconds kSightTime{300};        // In which nodes learn of a change.
constexpr Milliseconds kStartTime{1000};       // In which nodes find the store, or find it again.

enum class RequestKind { kStream, kOrder, kLookup, kProbe };

struct SentRequest {
  std::string id;
  RequestKind kind = RequestKind::kLookup;
  std::size_t item = 0;  ///< What a probe asks for.
  std::size_t node = 0;
  int start = 0;
  TimePoint sent;
  TimePoint ended;
  Answer answer;
};

/** A gateway node, whose process is started again after each end. */
struct NodeState {
  int start = 0;  ///< Counts the processes.
  bool running = true;
  bool listening = true;
  std::optional<TimePoint> stopped;
  Deadline restart;
  std::vector<TimePoint> starts;  ///< When each process began to listen.
  std::map<int, TimePoint> ends;  ///< By start.
  std::set<int> killed;           ///< Starts that SIGKILL ended.
};

/** An outage of the store that ends in a restore. */
struct Outage {
  TimePoint began;
  std::optional<TimePoint> back;
  std::optional<TimePoint> runners_written;
  std::optional<TimePoint> operator_written;
};

struct Drain {
  std::string runner;
  std::optional<TimePoint> published;
  std::optional<TimePoint> ended;
};

enum class StepKind {
  kRestore,
  kAddRoute,
  kAddKey,
  kRemoveItem,
  kDrain,
  kReplace,
  kCrash,
  kStop,
  kKill,
  kReload
};

std::size_t NodeCount() {
  const char* const count = std::getenv("LIMPETFALL_SOAK_NODES");
  return count == nullptr ? 4 : static_cast<std::size_t>(std::atoi(count));
}

/** Real gateway processes while the store is restored from copies and everything else changes. */
class RestoredStoreSoakIntegrationTest : public GatewayProcessFixture {
  CPPUNIT_TEST_SUITE(RestoredStoreSoakIntegrationTest);
  CPPUNIT_TEST(NothingGoesBackWhenTheStoreDoes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingGoesBackWhenTheStoreDoes() {
    std::string failed;
    for (const std::uint64_t seed : SoakSeeds(1, 3)) {
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
    int active_steps = 0;
    std::vector<NodeState> nodes;
    Random restarts;
    std::vector<std::unique_ptr<SentRequest>> requests;
    ConfigHistory config;
    std::deque<std::pair<TimePoint, std::shared_ptr<const FakeDeployment::StoreCopy>>> copies;
    std::list<Outage> outages;
    std::list<Drain> drains;
    std::vector<std::string> plain_runners;
    std::vector<std::string> group_runners;
    std::set<std::string> away;   ///< Runners that drain or restart.
    std::set<std::string> ended;  ///< Runners that never come back.
    int added_runners = 0;
    std::map<std::string, int> work;   ///< Steps that took place, by name.
    std::vector<std::string> changes;  ///< Of runners, with their times.
    std::vector<std::string> violations;
  };

  bool RunSeed(std::uint64_t seed) {
    this->run = Run();
    this->run.seed = seed;
    this->run.restarts.seed(seed * 100);
    this->deployment->events_in_stream = 20;
    this->deployment->event_interval = Milliseconds(40);
    this->deployment->plain_response_delay = Milliseconds(15);
    this->StartProcesses(static_cast<int>(NodeCount()));
    this->run.plain_runners = {"b1", "b2", "b3", "b4"};
    this->run.group_runners = {"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7"};
    for (const char* id : {"b3", "b4"}) this->deployment->AddRunner(id, "book", "d0");
    for (const char* id : {"r6", "r7"}) this->deployment->AddRunner(id, "llm", "d2");
    this->RunUntil([this] { return this->deployment->OpenHeads().size() == 4; }, 15000);
    this->RunFor(500);
    this->run.begun = Clock::now();
    this->run.nodes.resize(this->processes.size());
    for (NodeState& node : this->run.nodes) node.starts = {this->run.begun - kSettleTime};
    this->run.config.OnPut(this->run.begun);
    this->Spawn(this->Watch());
    this->SpawnCallers();
    this->RunFor(500);
    this->SpawnWork();
    this->RunFor(static_cast<int>(kWorkTime.count()));
    this->run.work_ends = true;
    this->CheckEnd();
    this->run.callers_end = true;
    this->Await([this] { return this->run.callers == 0; }, Milliseconds(12000));
    this->RunFor(300);
    this->Judge();
    return this->run.violations.empty();
  }

  void Spawn(asio::awaitable<void> coroutine) {
    asio::co_spawn(*this->io, std::move(coroutine), asio::detached);
  }

  template <typename Condition>
  bool Await(Condition condition, Milliseconds limit) {
    const Deadline deadline = Clock::now() + limit;
    while (!condition()) {
      if (deadline <= Clock::now()) return false;
      this->RunFor(10);
    }
    return true;
  }

  // The callers ----------------------------------------------------------------------------------

  void SpawnCallers() {
    int index = 0;
    for (int i = 0; i < 6; ++i) {
      for (const auto kind : {RequestKind::kStream, RequestKind::kOrder, RequestKind::kLookup})
        this->Spawn(this->Call(kind, index++, std::nullopt));
    }
    for (std::size_t node = 0; node < this->run.nodes.size(); ++node)
      this->Spawn(this->Call(RequestKind::kProbe, index++, node));
  }

  /** Uses a connection until it ends or its end is announced, then opens one at another node. */
  asio::awaitable<void> Call(RequestKind kind, int index, std::optional<std::size_t> only_node) {
    ++this->run.callers;
    const std::shared_ptr<void> counted(nullptr, [this](void*) { --this->run.callers; });
    Random random(this->run.seed * 1000 + static_cast<std::uint64_t>(index));
    for (int number = 0; !this->run.callers_end;) {
      const std::size_t node = only_node.value_or(Draw(random, 0, this->run.nodes.size() - 1));
      const auto connected = co_await HttpConnection::Connect(
          *this->io, this->caller_addresses.at(node), Clock::now() + Milliseconds(500));
      if (!connected) {
        co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(20));
        continue;
      }
      const std::shared_ptr<HttpConnection>& connection = connected.value();
      const int start = this->run.nodes.at(node).start;
      for (bool is_open = true; is_open && !this->run.callers_end;) {
        const bool is_probe = kind == RequestKind::kProbe;
        if (!is_probe || !this->run.config.items().empty()) {
          auto& sent = *this->run.requests.emplace_back(std::make_unique<SentRequest>());
          sent.id = "c" + std::to_string(index) + "-" + std::to_string(number++);
          sent.kind = kind;
          sent.node = node;
          sent.start = start;
          if (is_probe) {
            const std::size_t newest = this->run.config.items().size() - 1;
            sent.item = newest - Draw(random, 0, std::min<std::size_t>(newest, 5));
          }
          co_await this->Exchange(*connection, sent);
          is_open = sent.answer.complete && GetHeader(sent.answer.headers, "Connection") != "close";
        }
        co_await limpetfall::detail::PauseUntil(
            Clock::now() + (is_probe ? DrawTime(random, 10, 30) : DrawTime(random, 20, 150)));
      }
      connection->Close();
    }
  }

  asio::awaitable<void> Exchange(HttpConnection& connection, SentRequest& sent) {
    const bool is_order = sent.kind == RequestKind::kOrder;
    std::string target = sent.kind == RequestKind::kStream ? "/chat/1"
                         : is_order                        ? "/order/1"
                                                           : "/lookup/1";
    std::string key = "k1";
    if (sent.kind == RequestKind::kProbe) {
      const ConfigItem& item = this->run.config.items()[sent.item];
      (item.is_key ? key : target) = item.is_key ? item.Name() : "/" + item.Name() + "/1";
    }
    HttpRequest request =
        this->MakeRequest(is_order ? "POST" : "GET", target, sent.id, key, is_order ? "{}" : "");
    const Deadline deadline = Clock::now() + Milliseconds(9000);
    sent.sent = Clock::now();
    co_await ReadAnswer(connection, request, deadline, sent.answer);
    sent.ended = Clock::now();
  }

  // The processes --------------------------------------------------------------------------------

  /** Copies the store, notices the ends of processes and starts them again. */
  asio::awaitable<void> Watch() {
    for (;;) {
      const TimePoint now = Clock::now();
      const bool is_due =
          this->run.copies.empty() || this->run.copies.back().first + Milliseconds(200) <= now;
      if (is_due && this->deployment->store_mode == StoreMode::kServing)
        this->run.copies.emplace_back(now, this->deployment->CopyStore());
      for (std::size_t i = 0; i < this->run.nodes.size(); ++i) {
        NodeState& node = this->run.nodes[i];
        if (node.running && !this->processes.at(i)->running()) this->OnEnd(i, now);
        if (node.stopped && *node.stopped + kStopGrace < now) {
          this->Violate(this->Name(i) + " runs 8 s after SIGTERM");
          node.stopped = now;
        }
        if (!node.running && node.restart <= now) {
          this->RestartProcess(i);
          ++node.start;
          node.running = true;
          this->Spawn(this->AwaitListener(i, node.start));
        }
      }
      co_await limpetfall::detail::PauseUntil(now + Milliseconds(3));
    }
  }

  void OnEnd(std::size_t index, TimePoint now) {
    NodeState& node = this->run.nodes[index];
    const int code = this->processes[index]->exit_code();
    if (!node.killed.contains(node.start) && (code != 0 || !node.stopped))
      this->Violate(this->Name(index) + " ended by itself, code " + std::to_string(code));
    if (node.start == 0) this->HoldPorts(index);
    node.running = false;
    node.listening = false;
    node.stopped.reset();
    node.ends[node.start] = now;
    node.restart = now + DrawTime(this->run.restarts, 0, 1200);
  }

  asio::awaitable<void> AwaitListener(std::size_t index, int start) {
    NodeState& node = this->run.nodes[index];
    for (;;) {
      const auto connected = co_await HttpConnection::Connect(
          *this->io, this->caller_addresses.at(index), Clock::now() + Milliseconds(200));
      if (!node.running || node.start != start) co_return;
      if (connected) break;
      co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(5));
    }
    node.starts.resize(static_cast<std::size_t>(start) + 1);
    node.starts.back() = Clock::now();
    node.listening = true;
  }

  [[nodiscard]] static std::string Name(std::size_t node) { return "p" + std::to_string(node); }

  // The changes ----------------------------------------------------------------------------------

  void SpawnWork() {
    Random random(this->run.seed);
    const auto spawn = [&](StepKind kind, int count, std::uint64_t from, std::uint64_t to) {
      for (int i = 0; i < count; ++i)
        this->Spawn(this->TakeInTime(kind, Clock::now() + DrawTime(random, from, to), random()));
    };
    const auto end = static_cast<std::uint64_t>(kWorkTime.count());
    spawn(StepKind::kRestore, 1, 1000, 5000);
    spawn(StepKind::kRestore, 1, 6000, end);
    spawn(StepKind::kAddRoute, 5, 0, end);
    spawn(StepKind::kAddKey, 6, 0, end);
    spawn(StepKind::kRemoveItem, 5, 0, end);
    spawn(StepKind::kDrain, 5, 0, end);
    spawn(StepKind::kReplace, 2, 0, end);
    spawn(StepKind::kCrash, 2, 0, end);
    spawn(StepKind::kStop, 2, 0, end);
    spawn(StepKind::kKill, 2, 0, end);
    spawn(StepKind::kReload, 3, 0, end);
  }

  asio::awaitable<void> TakeInTime(StepKind kind, TimePoint time, std::uint64_t seed) {
    Random random(seed);
    if (kind == StepKind::kRestore) {
      ++this->run.active_steps;
      co_await limpetfall::detail::PauseUntil(time);
      co_await this->Restore(random);
      --this->run.active_steps;
      co_return;
    }
    for (;; time += Milliseconds(300)) {
      co_await limpetfall::detail::PauseUntil(time);
      if (this->run.work_ends) break;
      if (this->Take(kind, random)) co_return;
    }
    ++this->run.work["skipped"];
  }

  /** Returns whether the step was possible. */
  bool Take(StepKind kind, Random& random) {
    switch (kind) {
      case StepKind::kAddRoute:
      case StepKind::kAddKey:
        return this->AddItem(kind == StepKind::kAddKey);
      case StepKind::kRemoveItem:
        return this->RemoveItem(random, false);
      case StepKind::kDrain:
      case StepKind::kReplace:
      case StepKind::kCrash:
        return this->ChangeRunner(kind, random);
      default:
        return this->SignalNode(kind, random);
    }
  }

  [[nodiscard]] bool OperatorCanWrite() const {
    return this->run.outages.empty() || this->run.outages.back().operator_written;
  }

  bool AddItem(bool is_key) {
    if (!this->OperatorCanWrite()) return false;
    ++this->run.work[is_key ? "key added" : "route added"];
    this->run.config.Add(is_key);
    this->PutConfig();
    return true;
  }

  bool RemoveItem(Random& random, bool only_keys) {
    if (!this->OperatorCanWrite()) return false;
    const std::vector<std::size_t> present = this->run.config.Present(only_keys);
    if (present.empty()) return false;
    const std::size_t chosen = present.at(Draw(random, 0, present.size() - 1));
    ++this->run.work[this->run.config.items()[chosen].is_key ? "key removed" : "route removed"];
    this->run.config.Remove(chosen);
    this->PutConfig();
    return true;
  }

  void PutConfig() {
    this->deployment->Put("op/config", this->run.config.Document());
    this->run.config.OnPut(Clock::now());
  }

  bool SignalNode(StepKind kind, Random& random) {
    const std::size_t index = Draw(random, 0, this->run.nodes.size() - 1);
    const TimePoint now = Clock::now();
    const auto serves = [&](const NodeState& node) {
      return node.listening && !node.stopped && node.starts.back() + kSettleTime <= now;
    };
    const auto serving = std::count_if(this->run.nodes.begin(), this->run.nodes.end(), serves);
    NodeState& node = this->run.nodes[index];
    if (!node.listening || (kind != StepKind::kReload && (node.stopped || serving < 3)))
      return false;
    const int signal = kind == StepKind::kReload ? SIGHUP
                       : kind == StepKind::kStop ? SIGTERM
                                                 : SIGKILL;
    ++this->run.work["signal " + std::to_string(signal)];
    if (signal == SIGTERM) node.stopped = now;
    if (signal == SIGKILL) node.killed.insert(node.start);
    this->processes.at(index)->Signal(signal);
    return true;
  }

  bool ChangeRunner(StepKind kind, Random& random) {
    const bool is_plain = Draw(random, 0, 1) == 0;
    auto& runners = is_plain ? this->run.plain_runners : this->run.group_runners;
    const std::size_t index = Draw(random, 0, runners.size() - 1);
    std::string& chosen = runners[index];
    const auto away = std::count_if(runners.begin(), runners.end(),
                                    [this](const auto& id) { return this->run.away.contains(id); });
    if (away >= 2 || this->run.away.contains(chosen)) return false;
    const std::string id = chosen;
    this->run.away.insert(id);
    const auto record = [&](const std::string& change) {
      this->run.changes.push_back(id + change + " at " + this->Since(Clock::now()));
    };
    Drain* drain = nullptr;
    Milliseconds time(0);
    if (kind == StepKind::kDrain) {
      ++this->run.work["runner draining"];
      record(" draining");
      drain = &this->run.drains.emplace_back(Drain{id, std::nullopt, std::nullopt});
      this->deployment->SetRunnerState(id, "draining");
      if (this->deployment->store_mode == StoreMode::kServing) drain->published = Clock::now();
      time = DrawTime(random, 2500, 8000);
    }
    const bool is_replaced =
        kind == StepKind::kReplace || (kind == StepKind::kDrain && Draw(random, 0, 1) == 0);
    if (is_replaced) {
      ++this->run.work["runner replaced"];
      chosen = (is_plain ? "b-new" : "r-new") + std::to_string(++this->run.added_runners);
      const std::string domain = is_plain ? "d0" : index < 4 ? "d1" : "d2";
      this->deployment->AddRunner(chosen, is_plain ? "book" : "llm", domain);
      record(" replaced by " + chosen);
    } else if (kind == StepKind::kCrash) {
      ++this->run.work["runner crash"];
      record(" crashed");
    }
    this->Spawn(this->EndLater(id, time, is_replaced, drain));
    return true;
  }

  asio::awaitable<void> EndLater(std::string id, Milliseconds time, bool for_good, Drain* drain) {
    ++this->run.active_steps;
    co_await limpetfall::detail::PauseUntil(Clock::now() + time);
    if (drain != nullptr) drain->ended = Clock::now();
    if (for_good) {
      this->run.ended.insert(id);
      this->run.changes.push_back(id + " ended at " + this->Since(Clock::now()));
      this->deployment->EndRunner(id);
    } else {
      this->deployment->Crash(id);
      co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(1000));
    }
    this->run.away.erase(id);
    --this->run.active_steps;
  }

  asio::awaitable<void> Restore(Random& random) {
    const bool is_series = Draw(random, 0, 2) == 0;
    for (int i = is_series ? 0 : 1; i < 2; ++i) {
      if (Draw(random, 0, 1) == 0) {
        this->RemoveItem(random, true);
        co_await limpetfall::detail::PauseUntil(Clock::now() + DrawTime(random, 0, 400));
      }
      while (this->deployment->store_mode != StoreMode::kServing)
        co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(50));
      Outage& outage = this->run.outages.emplace_back();
      outage.began = Clock::now();
      const bool is_silent = Draw(random, 0, 1) == 0;
      ++this->run.work[is_silent ? "silent restore" : "refusing restore"];
      this->deployment->store_mode = is_silent ? StoreMode::kUnresponsive : StoreMode::kRefusing;
      const TimePoint copied = outage.began - DrawTime(random, 1000, 10000);
      co_await limpetfall::detail::PauseUntil(Clock::now() + DrawTime(random, 100, 2500));
      auto copy = this->run.copies.begin();
      while (std::next(copy) != this->run.copies.end() && std::next(copy)->first <= copied) ++copy;
      this->deployment->RestoreStore(*copy->second);
      this->deployment->store_mode = StoreMode::kServing;
      outage.back = Clock::now();
      Milliseconds runners(0);
      Milliseconds operators(0);
      if (const auto order = Draw(random, 0, 2); order > 0) {
        runners = operators = DrawTime(random, 0, 2000);
        if (order == 2)
          runners = DrawTime(random, 0, static_cast<std::uint64_t>(operators.count()));
      }
      this->Spawn(this->WriteAgain(outage, runners, operators));
      if (i == 0)
        co_await limpetfall::detail::PauseUntil(Clock::now() + DrawTime(random, 100, 2500));
    }
  }

  /** Writes what was lost, unless the store is away again by then. */
  asio::awaitable<void> WriteAgain(Outage& outage, Milliseconds runners, Milliseconds operators) {
    ++this->run.active_steps;
    const auto is_current = [&] { return &outage == &this->run.outages.back(); };
    co_await limpetfall::detail::PauseUntil(*outage.back + runners);
    if (is_current()) {
      this->deployment->RewriteRunners();
      outage.runners_written = Clock::now();
      for (Drain& drain : this->run.drains) {
        if (!drain.published && !drain.ended) drain.published = Clock::now();
      }
    }
    co_await limpetfall::detail::PauseUntil(*outage.back + operators);
    if (is_current()) {
      this->deployment->RewriteConfig();
      outage.operator_written = Clock::now();
    }
    co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(1500));
    if (is_current()) {
      for (const std::string& id : this->run.ended) this->deployment->EndRunner(id);
    }
    --this->run.active_steps;
  }

  // The judgement --------------------------------------------------------------------------------

  /** Checks that a further change is in force in time and that all nodes and groups serve. */
  void CheckEnd() {
    const auto is_settled = [this] {
      const TimePoint now = Clock::now();
      const Outage& last = this->run.outages.back();
      return this->run.active_steps == 0 && last.operator_written &&
             *last.operator_written + kChangeTime <= now && *last.back + kOutageTime <= now &&
             std::all_of(this->run.nodes.begin(), this->run.nodes.end(), [&](const auto& node) {
               return node.listening && !node.stopped && node.starts.back() + kSettleTime <= now;
             });
    };
    if (!this->Await(is_settled, Milliseconds(25000))) this->Violate("nodes do not run at the end");
    this->AddItem(false);
    this->RunFor(3000);
    for (std::size_t i = 0; i < this->run.nodes.size(); ++i) {
      this->caller_address = this->caller_addresses[i];
      for (const std::string target : {"/chat/end", "/order/end", "/lookup/end"}) {
        const auto is_served = [&, number = 0]() mutable {
          const std::string id = "end-" + Name(i) + target + std::to_string(number++);
          const bool is_order = target == "/order/end";
          return this->SendAndWait(is_order ? "POST" : "GET", target, id, "k1", "{}").status == 200;
        };
        if (!this->Await(is_served, Milliseconds(8000)))
          this->Violate(Name(i) + " does not serve " + target + " at the end");
      }
    }
    std::string missing;
    const auto plan_is_complete = [&] {
      missing = this->GroupsNotInPlan();
      return missing.empty() && !this->deployment->OpenHeads().empty();
    };
    if (!this->Await(plan_is_complete, Milliseconds(8000)))
      this->Violate("the plan does not name groups that serve:" + missing);
  }

  [[nodiscard]] std::string GroupsNotInPlan() const {
    std::set<std::string> planned;
    const json plan = json::parse(this->deployment->Get("limpetfall/plan"), nullptr, false);
    if (!plan.is_object()) return " no plan";
    for (const json& group : plan.at("groups")) planned.insert(group.at("group"));
    std::string missing;
    for (const std::string& head : this->deployment->OpenHeads()) {
      if (this->deployment->IsDown(head)) continue;
      const std::string group = this->deployment->GroupOf(head);
      if (!planned.contains(group)) missing.append(" ").append(group).append(" of ").append(head);
    }
    return missing;
  }

  void Judge() {
    std::map<std::string, int> runs;
    std::map<std::string, const SentRequest*> by_id;
    std::map<int, int> statuses;
    int refused_in_calm = 0;
    Clock::duration longest_denial{0};
    for (const auto& request : this->run.requests) by_id[request->id] = request.get();
    for (const RunnerRequest& seen : this->deployment->runner_requests) {
      const std::string id(GetHeader(seen.headers, "X-Request-Id"));
      if (seen.ran) ++runs[id];
      if (const auto found = by_id.find(id); found != by_id.end())
        this->JudgeArrival(seen, *found->second);
    }
    std::map<std::pair<std::size_t, int>, std::vector<const SentRequest*>> probes;
    for (const auto& request : this->run.requests) {
      ++statuses[request->answer.complete ? request->answer.status : 0];
      this->JudgeAnswer(*request, runs[request->id]);
      if (this->IsRefusedInCalm(*request)) ++refused_in_calm;
      longest_denial = std::max(longest_denial, this->DeniedAfterRestore(*request));
      if (request->kind == RequestKind::kProbe && request->answer.complete)
        probes[{request->node, request->start}].push_back(request.get());
    }
    for (const auto& [process, answered] : probes) this->JudgeVersions(answered);
    for (const auto& [time, text] : this->deployment->overlapping_joins)
      this->Violate(text + " at " + this->Since(time));
    std::cout << "\nseed " << this->run.seed << ": 503 in calm " << refused_in_calm
              << ", keys refused as not confirmed until " << FormatTime(longest_denial)
              << " after the operator had written again";
    this->Print(statuses);
  }

  void JudgeAnswer(const SentRequest& request, int runs) {
    const auto& [status, headers, body, complete] = request.answer;
    const bool is_order = request.kind == RequestKind::kOrder;
    if (is_order && runs > 1) this->Violate("order ran more than once", request);
    if (complete && PromisesNotRun(status) && runs > 0) this->Violate("refused and run", request);
    if (!complete) {
      if (!this->EndExcuses(request, runs)) this->Violate("no complete answer", request);
      return;
    }
    if (request.kind != RequestKind::kProbe && (status == 401 || status == 404))
      this->Violate("a route or key that is always there is refused", request);
    if (status != 200) return;
    if (runs == 0) this->Violate("success without a run", request);
    const bool is_whole = request.kind == RequestKind::kStream ? body == this->CompleteStream()
                                                               : body.starts_with("done by ");
    if (!is_whole) this->Violate("answer is not whole", request);
    if (request.kind != RequestKind::kProbe) return;
    const ConfigItem& item = this->run.config.items()[request.item];
    if (item.is_key && item.removed != ConfigItem::kNever &&
        this->run.config.versions().at(item.removed) + kRevocationTime < request.sent)
      this->Violate("removed key accepted", request);
  }

  /** Returns whether a request has no complete answer because its process was gone. */
  [[nodiscard]] bool EndExcuses(const SentRequest& request, int runs) const {
    const NodeState& node = this->run.nodes[request.node];
    const auto end = node.ends.find(request.start);
    if (end == node.ends.end()) return false;
    if (node.killed.contains(request.start)) return end->second < request.ended + kCrossingTime;
    return runs == 0 && request.answer.status == 0 && end->second < request.sent + kCrossingTime;
  }

  /** Checks the probes of one process against the versions of the configuration. */
  void JudgeVersions(const std::vector<const SentRequest*>& probes) {
    const NodeState& node = this->run.nodes[probes.front()->node];
    const TimePoint started = node.starts.at(static_cast<std::size_t>(probes.front()->start));
    int known = 0;  // One probe at a time, so that the order of answers is that of requests.
    for (const SentRequest* probe : probes) {
      int required = known;
      for (const auto& [version, put] : this->run.config.versions()) {
        if (started <= put && put + kChangeTime <= probe->sent && this->MustApplyInTime(put))
          required = std::max(required, version);
      }
      const ConfigItem& item = this->run.config.items()[probe->item];
      const bool is_accepted = probe->answer.status == 200;
      if (!is_accepted && probe->answer.status != (item.is_key ? 401 : 404)) continue;
      const int newest = this->run.config.NewestWith(item, is_accepted, probe->ended);
      if (newest < required) {
        this->Violate("handled as by version " + std::to_string(newest) + " or older, not " +
                          std::to_string(required) + (required == known ? ", known" : ", in time"),
                      *probe);
      }
      if (is_accepted) known = std::max(known, item.added);
      if (!is_accepted && known >= item.added) known = std::max(known, item.removed);
    }
  }

  /** Returns whether a node that serves refused a request although the store is not disturbed. */
  [[nodiscard]] bool IsRefusedInCalm(const SentRequest& request) const {
    const NodeState& node = this->run.nodes[request.node];
    return request.answer.status == 503 && this->MustApplyInTime(request.sent) &&
           node.starts.at(static_cast<std::size_t>(request.start)) + kSettleTime < request.sent;
  }

  /** Returns how long after the last restore and the operator's writes a node that serves refused a
   * key because its configuration was not confirmed. */
  [[nodiscard]] Clock::duration DeniedAfterRestore(const SentRequest& request) const {
    const NodeState& node = this->run.nodes[request.node];
    if (request.answer.body.find("confirmed recently") == std::string::npos ||
        request.sent < node.starts.at(static_cast<std::size_t>(request.start)) + kSettleTime)
      return Clock::duration(0);
    Clock::duration late(0);
    for (const Outage& outage : this->run.outages) {
      if (outage.began <= request.sent)
        late =
            outage.operator_written ? request.sent - *outage.operator_written : Clock::duration(0);
    }
    return late;
  }

  /** Returns whether no outage excuses that a change put at this time is in force late. */
  [[nodiscard]] bool MustApplyInTime(TimePoint put) const {
    return std::none_of(
        this->run.outages.begin(), this->run.outages.end(), [&](const Outage& outage) {
          if (put + kChangeTime <= outage.began) return false;
          return !outage.operator_written || put < *outage.operator_written + kChangeTime ||
                 put < *outage.back + kOutageTime;
        });
  }

  /** Checks that a request did not reach a runner that had announced its end. */
  void JudgeArrival(const RunnerRequest& seen, const SentRequest& request) {
    const NodeState& node = this->run.nodes[request.node];
    const TimePoint started = node.starts.at(static_cast<std::size_t>(request.start));
    for (const Drain& drain : this->run.drains) {
      if (drain.runner != seen.runner || !drain.published || seen.arrived < *drain.published)
        continue;
      if (drain.ended && *drain.ended <= seen.arrived) continue;
      const Clock::duration late = seen.arrived - *drain.published;
      bool was_seen = true;
      bool is_excused = false;
      const bool is_known = started + kStartTime <= *drain.published;
      for (const Outage& outage : this->run.outages) {
        if (outage.back && *outage.back <= *drain.published) {
          if (*drain.published < *outage.back + kStartTime) was_seen = false;
        } else if (outage.began < *drain.published + kSightTime) {
          was_seen = false;
        }
        // A node that started later can know only what has been written again.
        if (!is_known && outage.began <= seen.arrived &&
            (!outage.runners_written || seen.arrived < *outage.runners_written + kChangeTime))
          is_excused = true;
      }
      const Milliseconds limit = is_known && was_seen ? kChangeTime : kChangeTime + kOutageTime;
      if (late <= limit || is_excused) continue;
      this->Violate("request at " + seen.runner + " " + FormatTime(late) +
                        " after the notice that it drains, published at " +
                        this->Since(*drain.published),
                    request);
    }
  }

  void Violate(const std::string& text) {
    this->run.violations.push_back("at " + this->Since(Clock::now()) + ": " + text);
  }

  void Violate(const std::string& fault, const SentRequest& request) {
    std::ostringstream text;
    text << fault << ": " << request.id << " at " << Name(request.node) << " start "
         << request.start << ", sent " << this->Since(request.sent) << ", ended "
         << FormatTime(request.ended - request.sent) << " later, status " << request.answer.status
         << ", " << request.answer.body.size() << " bytes";
    if (request.kind == RequestKind::kProbe) {
      const ConfigItem& item = this->run.config.items()[request.item];
      text << (item.is_key ? ", key" : ", route") << " of versions " << item.added << " to "
           << item.removed - 1;
    }
    for (const RunnerRequest& seen : this->deployment->runner_requests) {
      if (GetHeader(seen.headers, "X-Request-Id") != request.id) continue;
      text << ", at " << seen.runner << " " << FormatTime(seen.arrived - request.sent)
           << " after it was sent" << (seen.ran ? " (ran)" : "");
    }
    this->Violate(text.str());
  }

  [[nodiscard]] std::string Since(TimePoint time) const {
    return FormatTime(time - this->run.begun);
  }

  void Print(const std::map<int, int>& statuses) const {
    std::cout << "\nseed " << this->run.seed << ": requests " << this->run.requests.size()
              << ", violations " << this->run.violations.size() << "; statuses";
    for (const auto& [status, count] : statuses) std::cout << " " << status << ": " << count;
    std::cout << "; work";
    for (const auto& [name, count] : this->run.work)
      std::cout << " " << name << ": " << count << ",";
    std::cout << "\n";
    std::cout.flush();
    if (this->run.violations.empty()) return;
    for (const Outage& outage : this->run.outages) {
      std::cout << "outage from " << this->Since(outage.began) << " to "
                << this->Since(*outage.back);
      if (outage.runners_written)
        std::cout << ", runners wrote at " << this->Since(*outage.runners_written);
      if (outage.operator_written)
        std::cout << ", operator wrote at " << this->Since(*outage.operator_written);
      std::cout << "\n";
    }
    for (const std::string& text : this->run.changes) std::cout << text << "\n";
    for (const auto& [version, put] : this->run.config.versions())
      std::cout << "version " << version << " put at " << this->Since(put) << "\n";
    for (const std::string& text : this->run.violations) std::cout << "violation: " << text << "\n";
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
      std::cout << "log of " << Name(i) << ":\n";
      std::istringstream lines(this->processes[i]->log());
      for (std::string line; std::getline(lines, line);) {
        if (line.find(R"("outcome":"answered")") == std::string::npos) std::cout << line << "\n";
      }
    }
    std::cout.flush();
  }

  Run run;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreSoakIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
