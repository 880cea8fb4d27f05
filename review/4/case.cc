// After SIGTERM, a node accepts requests for 3.4 s and ends 7.4 s after the signal. A stream that
// is accepted near the end of that time and lasts for some seconds is cut off.

#include <signal.h>

#include <boost/asio/awaitable.hpp>
#include <exception>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "../stand-ins/deployment.h"
#include "base/pause.h"

namespace limpetfall::review {
namespace {

namespace asio = boost::asio;

constexpr char kConfig[] = R"({"version":3,
  "routes":[{"name":"fold-plan","host":"maps.example","prefix":"/fold/","kind":"stream",
    "timeoutMs":8000,"goalMs":400,"priority":1,"service":"limpet-fold","attempts":2,
    "public":false,"sticky":true,"resumable":true,"gapTargetMs":300}],
  "services":[{"name":"limpet-fold","healthPath":"/healthz","maxConns":358,"protocol":"h1",
    "tls":false,"engine":{"slots":17,"kvCapacity":1860000,"stride":5,
      "models":[{"name":"m1","size":2,"share":1.0,"pace":1.0,"loadS":2.0,"warmS":1.1}],
      "step_ms":7.8,"per_seq_ms":0.0947,"read_per_s":45900.0,"loadsPerS":5.0,"loads_at_once":7,
      "usual":{"prompt":979,"answer":400},"keeps":1,"formMs":300.0}}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
    "idleTimeoutMs":15000},
  "tenants":[{"name":"councils","apiKeys":["key-1"]}]})";

// Of the rule: later requests are not excused by a runner that works until the end.
constexpr double kExcusedSeconds = 3.0;

// Some callers keep a directory response for three times the time that it states.
constexpr double kLongestKeeping = 3.0;
constexpr double kKeepingMargin = 0.02;

struct Case {
  Deployment& world;
  Gateway& stopped;
  double signalled_at = 0;
  int sent_late = 0;
  int pending = 0;
  std::map<std::string, std::string> ran_at;  ///< Runner by request id.
};

HttpRequest MakeRequest(const std::string& id) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/fold/2f";
  request.headers = {{"Host", "maps.example"},
                     {"X-Request-Id", id},
                     {"X-Model", "m1"},
                     {"X-Token-Counts", "1420,435"},
                     {"X-Prefix-Hash", "5c1e07a2:40," + id + ":1380"},
                     {"X-Deadline-Ms", "8000"},
                     {"X-Key", "key-1"}};
  return request;
}

HttpRequest MakeResolve() {
  HttpRequest request;
  request.target = "/api/resolve?name=maps.example&region=munster&zone=ennis";
  request.headers["Host"] = "maps.example";
  return request;
}

/** Returns for how long a directory response is valid if it names the address, or 0. */
double TimeToLive(const Answer& answer, const std::string& address) {
  if (answer.status != 200) return 0;
  const auto body = nlohmann::json::parse(answer.body);
  for (const auto& listed : body.at("addrs")) {
    if (listed == address) return body.at("ttlS").get<double>();
  }
  return 0;
}

/** A caller that asks the directory, and sends its next request when it has kept the response for
 * nearly as long as it may. */
asio::awaitable<void> RunCaller(Case& run, Gateway& directory) {
  Deployment& world = run.world;
  ++run.pending;
  const std::shared_ptr<void> counted(nullptr, [&run](void*) { --run.pending; });
  const Answer resolved = co_await Call(world.io, directory.DirectoryAddress(), MakeResolve(),
                                        Clock::now() + Milliseconds(1000));
  const double valid = kLongestKeeping * TimeToLive(resolved, run.stopped.CallerAddress());
  if (valid <= 0) co_return;
  const Milliseconds wait(static_cast<int>((valid - kKeepingMargin) * 1000));
  co_await limpetfall::detail::PauseUntil(Clock::now() + wait);
  const double sent_at = world.record.Seconds();
  const double since_signal = run.signalled_at > 0 ? sent_at - run.signalled_at : 0;
  const std::string id = world.NewId();
  const Answer answer = co_await Call(world.io, run.stopped.CallerAddress(), MakeRequest(id),
                                      Clock::now() + Milliseconds(8000));
  const double ended_at = world.record.Seconds();
  world.record.Write("caller sent " + id + " " + std::to_string(since_signal) +
                     " s after the signal, gets after " + std::to_string(ended_at - sent_at) +
                     " s: " + Describe(answer));
  if (run.signalled_at == 0 || since_signal <= kExcusedSeconds || !run.ran_at.contains(id))
    co_return;
  ++run.sent_late;
  if (answer.complete) co_return;
  world.record.Violation("LOST: request " + id + ", sent " + std::to_string(since_signal) +
                         " s after SIGTERM and run by " + run.ran_at[id] +
                         ", ends without a complete answer " +
                         std::to_string(ended_at - run.signalled_at) + " s after SIGTERM");
}

int RunCase(const CaseArguments& arguments) {
  FleetOptions options;
  options.events = 87;
  options.event_interval = Milliseconds(60);
  Deployment world(arguments, options);
  world.platform.Put("op/config", kConfig);
  for (int i = 0; i < 8; ++i) {
    world.StartRunner("i-0" + std::to_string(i), "limpet-fold", "ennis", "d1", 17);
  }
  world.StartGateways(3, {"ennis", "limerick", "shannon"});
  Case run{world, *world.gateways[0], 0, 0, 0, {}};
  world.fleet.on_run = [&run](const std::string& runner, const HttpRequest& request) {
    run.ran_at[std::string(GetHeader(request.headers, "X-Request-Id"))] = runner;
  };
  if (!world.WaitUntilReady(Milliseconds(10000))) return kCouldNotRun;
  const auto all_open = [&] { return world.fleet.OpenHeads().size() == 4; };
  if (!world.RunUntil(all_open, Milliseconds(15000))) return kCouldNotRun;
  world.RunFor(Milliseconds(5000));
  if (arguments.disturbed()) {
    run.signalled_at = world.record.Seconds();
    run.stopped.Signal(SIGTERM);
    world.record.Write("SIGTERM to " + run.stopped.name());
  }
  // Callers ask the two other nodes.
  for (int i = 0; i < 60; ++i) {
    world.Spawn(RunCaller(run, *world.gateways[1 + static_cast<std::size_t>(i) % 2]));
    world.RunFor(Milliseconds(10));
  }
  world.RunUntil([&] { return run.pending == 0; }, Milliseconds(15000));
  if (arguments.disturbed()) {
    world.record.Write(run.stopped.name() +
                       (run.stopped.HasEnded() ? " has ended" : " still runs"));
    if (run.sent_late == 0) return kCouldNotRun;
  }
  return world.record.violations() > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace limpetfall::review

int main(int argc, char** argv) {
  try {
    return limpetfall::review::RunCase(limpetfall::review::CaseArguments::Parse(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return limpetfall::review::kCouldNotRun;
  }
}
