// Stand-in for the engine on one VM (design section 5.10), with fault injection.
//
// POST /control takes any of these fields; `{"reset":true}` clears them all:
//   crash_prompt     text; the process exits while it runs a prompt that contains this text
//   crash_after      tokens sent before that exit (default 1)
//   token_ms         time between tokens
//   load_ms          time to load a model
//   stall_after      tokens after which a completion sends nothing more
//   cut_after        tokens after which the connection of a stream closes
//   duplicate_token  index of a token that is sent twice
//   omit_end_mark, wrong_id, leaving, refuse, ignore_generations   true or false
//   report_lag_ms    age of the load figures in reports
//
// GET /journal returns completions and assignments. Times are milliseconds of the steady clock,
// which is the same for all processes of a machine.

#include <tclap/CmdLine.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <deque>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>
#include <set>

#include "http/server.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using nlohmann::json;

constexpr std::size_t kBatchSize = 8;         // Completions that run at the same time.
constexpr std::size_t kBlockBytes = 64;       // Prompt bytes of one cache block.
constexpr std::size_t kCacheBlocks = 256;     // Blocks in the cache.
constexpr std::size_t kMaxCacheEvents = 128;  // Older events are dropped, so readers can miss some.
constexpr std::int64_t kCacheEventDelayMs = 200;  // Cache events are visible after this delay.

std::int64_t NowMs() {
  return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count();
}

struct Faults {
  std::string crash_prompt;
  int crash_after = 1;
  int stall_after = -1;
  int cut_after = -1;
  int duplicate_token = -1;
  bool omit_end_mark = false;
  bool wrong_id = false;
  bool leaving = false;
  bool refuse = false;
  bool ignore_generations = false;
  std::int64_t report_lag_ms = 0;
};

struct Assignment {
  std::string group;
  std::uint64_t generation = 0;
  std::string model;
  std::string version;
  int rank = 0;
  int size = 0;
};

struct Completion {
  std::string id;
  std::string prompt;
  int max_tokens = 16;
  std::uint64_t seed = 0;
  int first_token = 0;  // Tokens delivered before a resume.
  int priority = 1;
  bool stream = false;
  std::uint64_t generation = 0;
  std::string group;
  std::string model;
  std::string version;

  std::string outcome = "queued";
  std::int64_t started_ms = 0;
  std::int64_t ended_ms = 0;
  int tokens = 0;
  bool cancelled = false;
};

struct CacheEvent {
  std::int64_t number;
  std::int64_t at_ms;
  std::string type;
  std::string block;
};

int ParsePriority(const json& value) {
  if (value.is_number_integer()) return value.get<int>();
  if (value == "high") return 0;
  return value == "low" ? 2 : 1;
}

std::string Hex(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex << number;
  return text.str();
}

// Deterministic, so that tests can compare resumed completions.
std::string TokenOf(const Completion& completion, int index) {
  const std::string input = completion.model + '\n' + completion.version + '\n' +
                            completion.prompt + '\n' + std::to_string(completion.seed) + '\n' +
                            std::to_string(index);
  return " " + Hex(XXH64(input.data(), input.size(), 0) & 0xffffff);
}

class Engine {
 public:
  Engine(asio::io_context& io, std::string vm, std::int64_t load, std::int64_t token, bool check)
      : io(io),
        vm_id(std::move(vm)),
        instance(this->vm_id + "-" + std::to_string(getpid()) + "-" + std::to_string(NowMs())),
        load_ms(load),
        token_ms(token),
        check_generation(check),
        default_load_ms(load),
        default_token_ms(token) {}

  awaitable<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const std::string path = request.target.substr(0, request.target.find('?'));
    HttpResponse response;
    bool malformed = false;
    try {
      if (path == "/v1/completions" && request.method == "POST") {
        std::shared_ptr<Completion> completion = this->ParseCompletion(request);
        co_await this->Complete(exchange, completion);
        co_return;
      }
      response = this->Answer(request, path);
    } catch (const json::exception&) {
      malformed = true;
    } catch (const std::invalid_argument&) {
      malformed = true;
    }
    if (malformed) response = Refusal(400, "malformed request");
    LogSendFailure(co_await exchange.Send(std::move(response)));
  }

 private:
  struct Load {
    std::int64_t at_ms;
    int running;
    int queued;
  };

  // Records the end of a completion, also when its coroutine is cancelled.
  struct CompletionGuard {
    Engine& engine;
    std::shared_ptr<Completion> completion;

    CompletionGuard(Engine& owner, std::shared_ptr<Completion> run)
        : engine(owner), completion(std::move(run)) {}
    CompletionGuard(const CompletionGuard&) = delete;
    CompletionGuard& operator=(const CompletionGuard&) = delete;
    ~CompletionGuard() { this->engine.End(*this->completion); }
  };

  static void LogSendFailure(const Result<void>& sent) {
    if (!sent) std::cerr << "failed to send the answer: " << sent.error().message << "\n";
  }

  static HttpResponse JsonResponse(int status, const json& body) {
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
  }

  static HttpResponse Refusal(int status, const std::string& message) {
    HttpResponse response =
        JsonResponse(status, {{"error", {{"message", message}, {"verdict", "not-run"}}}});
    response.headers["X-Verdict"] = "not-run";
    return response;
  }

  HttpResponse Answer(const HttpRequest& request, const std::string& path) {
    if (path == "/v1/report") return JsonResponse(200, this->Report());
    if (path == "/v1/assignment" && request.method == "POST") {
      return this->Assign(json::parse(request.body));
    }
    if (path == "/control" && request.method == "POST") {
      this->SetFaults(json::parse(request.body));
      return JsonResponse(200, json::object());
    }
    if (path == "/journal") return JsonResponse(200, this->Journal());
    if (path == "/v1/cache-events") return this->CacheEvents(request.target);
    if (path == "/v1/kv/export") return this->ExportCache(json::parse(request.body));
    if (path == "/v1/kv/import") return this->ImportCache(json::parse(request.body));
    const std::string prefix = "/v1/completions/";
    if (path.starts_with(prefix) && request.method == "DELETE") {
      return this->Cancel(path.substr(prefix.size()));
    }
    return Refusal(404, "no such resource");
  }

  // ---- assignment and report

  std::string State() {
    if (this->faults.leaving) return "leaving";
    if (this->assignment.group.empty()) return "idle";
    return NowMs() < this->ready_at_ms ? "loading" : "ready";
  }

  json Report() {
    Load load{0, this->running, this->Queued()};
    if (this->faults.report_lag_ms > 0) {
      load = {0, 0, 0};
      for (const Load& old : this->load_history) {
        if (old.at_ms <= NowMs() - this->faults.report_lag_ms) load = old;
      }
    }
    return {{"vm", this->vm_id},
            {"instance", this->instance},
            {"state", this->State()},
            {"group", this->assignment.group},
            {"generation", this->assignment.generation},
            {"model", this->assignment.model},
            {"version", this->assignment.version},
            {"rank", this->assignment.rank},
            {"size", this->assignment.size},
            {"running", load.running},
            {"queued", load.queued}};
  }

  bool ChecksGeneration() const {
    return this->check_generation && !this->faults.ignore_generations;
  }

  HttpResponse Assign(const json& body) {
    Assignment next;
    next.group = body.at("group").get<std::string>();
    next.generation = body.at("generation").get<std::uint64_t>();
    next.model = body.value("model", "");
    next.version = body.value("version", "");
    next.rank = body.value("rank", 0);
    next.size = static_cast<int>(body.value("members", json::array()).size());
    const bool accepted = !this->ChecksGeneration() || next.generation >= this->highest_generation;
    this->assignments.push_back({{"group", next.group},
                                 {"generation", next.generation},
                                 {"rank", next.rank},
                                 {"accepted", accepted},
                                 {"at_ms", NowMs()}});
    if (!accepted) return Refusal(409, "old generation");
    this->highest_generation = std::max(this->highest_generation, next.generation);
    const Assignment& old = this->assignment;
    const bool same =
        next.group == old.group && next.generation == old.generation && next.rank == old.rank;
    if (!same) this->StartLoad(next);
    return JsonResponse(200, json::object());
  }

  void StartLoad(Assignment next) {
    const Assignment& old = this->assignment;
    // If the engine keeps its shard of the model, it does not load weights and only joins the
    // group.
    const bool warm = this->State() == "ready" && next.model == old.model &&
                      next.version == old.version && next.rank == old.rank && next.size == old.size;
    if (!warm) this->cache.clear();
    this->ready_at_ms = NowMs() + (warm ? this->load_ms / 10 : this->load_ms);
    if (next.group.empty()) next = Assignment{"", next.generation, "", "", 0, 0};
    this->assignment = std::move(next);
  }

  void SetFaults(const json& body) {
    if (body.value("reset", false)) {
      this->faults = {};
      this->load_ms = this->default_load_ms;
      this->token_ms = this->default_token_ms;
    }
    Faults& set = this->faults;
    set.crash_prompt = body.value("crash_prompt", set.crash_prompt);
    set.crash_after = body.value("crash_after", set.crash_after);
    set.stall_after = body.value("stall_after", set.stall_after);
    set.cut_after = body.value("cut_after", set.cut_after);
    set.duplicate_token = body.value("duplicate_token", set.duplicate_token);
    set.omit_end_mark = body.value("omit_end_mark", set.omit_end_mark);
    set.wrong_id = body.value("wrong_id", set.wrong_id);
    set.leaving = body.value("leaving", set.leaving);
    set.refuse = body.value("refuse", set.refuse);
    set.ignore_generations = body.value("ignore_generations", set.ignore_generations);
    set.report_lag_ms = body.value("report_lag_ms", set.report_lag_ms);
    this->token_ms = body.value("token_ms", this->token_ms);
    this->load_ms = body.value("load_ms", this->load_ms);
  }

  json Journal() const {
    json list = json::array();
    for (const auto& run : this->completions) {
      list.push_back({{"id", run->id},
                      {"prompt", run->prompt},
                      {"seed", run->seed},
                      {"model", run->model},
                      {"version", run->version},
                      {"group", run->group},
                      {"generation", run->generation},
                      {"first_token", run->first_token},
                      {"tokens", run->tokens},
                      {"outcome", run->outcome},
                      {"started_ms", run->started_ms},
                      {"ended_ms", run->ended_ms}});
    }
    return {{"vm", this->vm_id},
            {"instance", this->instance},
            {"completions", std::move(list)},
            {"assignments", this->assignments}};
  }

  // ---- completions

  std::shared_ptr<Completion> ParseCompletion(const HttpRequest& request) const {
    const json body = json::parse(request.body);
    auto run = std::make_shared<Completion>();
    const auto id = request.headers.find("X-Request-Id");
    run->id = id == request.headers.end() ? "" : id->second;
    const auto generation = request.headers.find("X-Group-Generation");
    if (generation != request.headers.end()) run->generation = std::stoull(generation->second);
    run->prompt = body.at("prompt").get<std::string>();
    run->max_tokens = body.value("max_tokens", run->max_tokens);
    run->seed = body.value("seed", run->seed);
    run->stream = body.value("stream", false);
    run->first_token = static_cast<int>(body.value("resume_tokens", json::array()).size());
    if (body.contains("priority")) run->priority = ParsePriority(body.at("priority"));
    run->model = body.value("model", "");
    return run;
  }

  std::optional<HttpResponse> RefusalFor(const Completion& run) {
    if (this->faults.refuse) return Refusal(503, "refused");
    if (this->assignment.group.empty()) return Refusal(503, "not assigned");
    if (NowMs() < this->ready_at_ms) return Refusal(503, "not ready");
    if (this->assignment.rank != 0) return Refusal(503, "not rank 0");
    if (run.model != this->assignment.model) return Refusal(503, "another model is loaded");
    if (this->ChecksGeneration() && run.generation != this->assignment.generation) {
      return Refusal(409, "wrong generation");
    }
    return std::nullopt;
  }

  awaitable<void> Complete(HttpExchange& exchange, std::shared_ptr<Completion> run) {
    if (std::optional<HttpResponse> refusal = this->RefusalFor(*run)) {
      HttpResponse response = std::move(*refusal);
      LogSendFailure(co_await exchange.Send(std::move(response)));
      co_return;
    }
    run->group = this->assignment.group;
    run->version = this->assignment.version;
    if (!this->faults.ignore_generations) run->generation = this->assignment.generation;
    this->completions.push_back(run);
    this->active.push_back(run);
    const CompletionGuard guard(*this, run);
    const bool started = co_await this->WaitForSlot(run);
    if (!started) co_return;
    run->outcome = "running";
    run->started_ms = NowMs();
    ++this->running;
    this->RecordLoad();
    if (run->stream) {
      co_await this->Stream(exchange, run);
    } else {
      co_await this->SendUnstreamed(exchange, run);
    }
  }

  // Of the queued completions, the one with the lowest priority value starts first, then the
  // oldest.
  bool IsNext(const Completion& run) const {
    if (this->running >= static_cast<int>(kBatchSize)) return false;
    const Completion* next = nullptr;
    for (const auto& other : this->active) {
      if (other->outcome != "queued") continue;
      if (next == nullptr || other->priority < next->priority) next = other.get();
    }
    return next == &run;
  }

  awaitable<bool> WaitForSlot(std::shared_ptr<Completion> run) {
    this->RecordLoad();
    while (!this->IsNext(*run)) {
      const bool slept = co_await this->Sleep(2);
      if (!slept || run->cancelled) co_return false;
    }
    co_return true;
  }

  awaitable<bool> Sleep(std::int64_t duration_ms) {
    asio::steady_timer timer(this->io, Milliseconds(duration_ms));
    const auto [error] = co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return !error;
  }

  Headers CompletionHeaders(const Completion& run) const {
    return {{"X-Request-Id", this->SentId(run)},
            {"X-Group-Generation", std::to_string(run.generation)},
            {"X-Verdict", "ran"}};
  }

  std::string SentId(const Completion& run) const {
    return this->faults.wrong_id ? run.id + "-crossed" : run.id;
  }

  // Returns whether the next token can be sent.
  awaitable<bool> AwaitToken(std::shared_ptr<Completion> run) {
    std::int64_t delay = this->token_ms;
    if (run->tokens == 0) delay += this->token_ms * this->FillCache(*run);
    const bool slept = co_await this->Sleep(delay);
    if (!slept || run->cancelled) co_return false;
    const bool crash = !this->faults.crash_prompt.empty() &&
                       run->prompt.find(this->faults.crash_prompt) != std::string::npos;
    if (crash && run->tokens >= this->faults.crash_after) std::_Exit(70);
    if (this->faults.stall_after >= 0 && run->tokens >= this->faults.stall_after) {
      while (!run->cancelled) {
        const bool waited = co_await this->Sleep(20);
        if (!waited) co_return false;
      }
      co_return false;
    }
    co_return true;
  }

  awaitable<void> Stream(HttpExchange& exchange, std::shared_ptr<Completion> run) {
    Headers headers = this->CompletionHeaders(*run);
    headers["Content-Type"] = "text/event-stream";
    auto sent = co_await exchange.StartStream(200, std::move(headers));
    for (int index = run->first_token; sent && index < run->max_tokens; ++index) {
      const bool ready = co_await this->AwaitToken(run);
      if (!ready) co_return;
      if (this->faults.cut_after >= 0 && run->tokens >= this->faults.cut_after) {
        run->outcome = "cut";
        co_return;
      }
      std::string event = this->TokenEvent(*run, index);
      if (index == this->faults.duplicate_token) event += event;
      ++run->tokens;
      sent = co_await exchange.WriteChunk(event);
    }
    if (!sent) co_return;
    if (!this->faults.omit_end_mark) {
      const std::string end_mark = "data: [DONE]\n\n";
      sent = co_await exchange.WriteChunk(end_mark);
    }
    // Set before the end of the stream is sent, so a caller that then reads the journal finds it.
    run->outcome = "done";
    if (sent) sent = co_await exchange.FinishStream();
  }

  std::string TokenEvent(const Completion& run, int index) const {
    const json event = {{"id", this->SentId(run)},
                        {"token_index", index},
                        {"choices", json::array({{{"text", TokenOf(run, index)}}})}};
    return "data: " + event.dump() + "\n\n";
  }

  awaitable<void> SendUnstreamed(HttpExchange& exchange, std::shared_ptr<Completion> run) {
    std::string text;
    for (int index = run->first_token; index < run->max_tokens; ++index) {
      const bool ready = co_await this->AwaitToken(run);
      if (!ready) co_return;
      ++run->tokens;
      text += TokenOf(*run, index);
    }
    HttpResponse response = JsonResponse(200, {{"id", this->SentId(*run)},
                                               {"choices", json::array({{{"text", text}}})},
                                               {"usage", {{"completion_tokens", run->tokens}}}});
    for (const auto& [name, value] : this->CompletionHeaders(*run)) response.headers[name] = value;
    run->outcome = "done";
    LogSendFailure(co_await exchange.Send(std::move(response)));
  }

  void End(Completion& run) {
    if (run.started_ms != 0) --this->running;
    if (run.outcome == "running" || run.outcome == "queued") run.outcome = "cancelled";
    run.ended_ms = NowMs();
    this->active.remove_if([&run](const auto& other) { return other.get() == &run; });
    this->RecordLoad();
  }

  HttpResponse Cancel(const std::string& id) {
    bool found = false;
    for (const auto& run : this->active) {
      if (run->id != id) continue;
      run->cancelled = true;
      found = true;
    }
    return found ? JsonResponse(200, json::object()) : Refusal(404, "no such completion");
  }

  int Queued() const { return static_cast<int>(this->active.size()) - this->running; }

  void RecordLoad() {
    this->load_history.push_back({NowMs(), this->running, this->Queued()});
    if (this->load_history.size() > 1000) this->load_history.pop_front();
  }

  // ---- prefix cache

  static std::vector<std::string> BlocksOf(const std::string& prompt) {
    std::vector<std::string> blocks;
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + kBlockBytes <= prompt.size(); at += kBlockBytes) {
      hash = XXH64(prompt.data() + at, kBlockBytes, hash);
      blocks.push_back(Hex(hash));
    }
    return blocks;
  }

  // Returns the number of blocks that were not in the cache.
  int AddBlocks(const std::vector<std::string>& blocks) {
    int added = 0;
    for (const std::string& block : blocks) {
      const auto found = std::find(this->cache.begin(), this->cache.end(), block);
      if (found != this->cache.end()) {
        this->cache.splice(this->cache.end(), this->cache, found);
        continue;
      }
      ++added;
      this->cache.push_back(block);
      this->AddEvent("stored", block);
      if (this->cache.size() <= kCacheBlocks) continue;
      this->AddEvent("evicted", this->cache.front());
      this->cache.pop_front();
    }
    return added;
  }

  int FillCache(const Completion& run) { return this->AddBlocks(BlocksOf(run.prompt)); }

  void AddEvent(std::string type, std::string block) {
    this->events.push_back({++this->last_event, NowMs(), std::move(type), std::move(block)});
    if (this->events.size() > kMaxCacheEvents) this->events.pop_front();
  }

  HttpResponse CacheEvents(const std::string& target) const {
    const std::string name = "after=";
    const std::size_t at = target.find(name);
    const std::int64_t after = at == std::string::npos ? 0 : std::stoll(target.substr(at + 6));
    json list = json::array();
    std::int64_t last = after;
    for (const CacheEvent& event : this->events) {
      if (event.number <= after || event.at_ms > NowMs() - kCacheEventDelayMs) continue;
      list.push_back({{"number", event.number}, {"type", event.type}, {"block", event.block}});
      last = event.number;
    }
    return JsonResponse(200, {{"events", std::move(list)}, {"last", last}});
  }

  HttpResponse ExportCache(const json& body) const {
    json blocks = json::array();
    for (const std::string& block : BlocksOf(body.at("prompt").get<std::string>())) {
      if (std::find(this->cache.begin(), this->cache.end(), block) == this->cache.end()) break;
      blocks.push_back(block);
    }
    return JsonResponse(200, {{"model", this->assignment.model},
                              {"version", this->assignment.version},
                              {"blocks", std::move(blocks)}});
  }

  HttpResponse ImportCache(const json& body) {
    if (body.at("model") != this->assignment.model ||
        body.at("version") != this->assignment.version) {
      return Refusal(409, "another model is loaded");
    }
    const int added = this->AddBlocks(body.at("blocks").get<std::vector<std::string>>());
    return JsonResponse(200, {{"imported", added}});
  }

  asio::io_context& io;
  std::string vm_id;
  std::string instance;
  std::int64_t load_ms;
  std::int64_t token_ms;
  bool check_generation;
  std::int64_t default_load_ms;
  std::int64_t default_token_ms;
  Faults faults;

  Assignment assignment;
  std::uint64_t highest_generation = 0;
  std::int64_t ready_at_ms = 0;
  json assignments = json::array();

  std::vector<std::shared_ptr<Completion>> completions;
  std::list<std::shared_ptr<Completion>> active;
  int running = 0;
  std::deque<Load> load_history;

  std::list<std::string> cache;
  std::deque<CacheEvent> events;
  std::int64_t last_event = 0;
};

int Run(int argc, char** argv) {
  TCLAP::CmdLine line("Stand-in for the engine on one VM.", ' ', "0.1");
  TCLAP::ValueArg<std::string> listen("", "listen", "address", true, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> vm("", "vm", "VM id", true, "", "ID", line);
  TCLAP::ValueArg<std::int64_t> load("", "load-ms", "time to load a model", false, 200, "N", line);
  TCLAP::ValueArg<std::int64_t> token("", "token-ms", "time per token", false, 5, "N", line);
  TCLAP::ValueArg<int> check("", "check-generation", "refuse old generations", false, 1, "0|1",
                             line);
  line.parse(argc, argv);

  asio::io_context io(1);
  Engine engine(io, vm.getValue(), load.getValue(), token.getValue(), check.getValue() != 0);
  HttpHandler handler = [&engine](HttpExchange& exchange) { return engine.Handle(exchange); };
  auto server = HttpServer::Create(io, listen.getValue(), std::move(handler), {});
  if (!server) {
    std::cerr << server.error().message << "\n";
    return 1;
  }
  std::cout << "listening " << server.value()->address() << std::endl;
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace
}  // namespace limpetfall

int main(int argc, char** argv) { return limpetfall::Run(argc, argv); }
