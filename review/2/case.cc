// A group whose head is cut off is given up although its other member still belongs to it, so that
// member takes a join of another group while the head is open.

#include <boost/asio/awaitable.hpp>
#include <exception>
#include <iostream>
#include <memory>
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
      "usual":{"prompt":979,"answer":100},"keeps":1,"formMs":300.0}}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
    "idleTimeoutMs":15000},
  "tenants":[{"name":"councils","apiKeys":["key-1"]}]})";

HttpRequest MakeRequest(const std::string& id) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/fold/2f";
  request.headers = {{"Host", "maps.example"},
                     {"X-Request-Id", id},
                     {"X-Model", "m1"},
                     {"X-Token-Counts", "800,100"},
                     {"X-Prefix-Hash", "5c1e07a2:40," + id + ":760"},
                     {"X-Deadline-Ms", "8000"},
                     {"X-Key", "key-1"}};
  return request;
}

asio::awaitable<void> SendOne(Deployment& world, Gateway& gateway) {
  const std::string id = world.NewId();
  world.record.Write("caller sends " + id + " to " + gateway.name());
  const Answer answer = co_await Call(world.io, gateway.CallerAddress(), MakeRequest(id),
                                      Clock::now() + Milliseconds(8000));
  world.record.Write("caller gets for " + id + ": " + Describe(answer));
}

asio::awaitable<void> SendSteadily(Deployment& world) {
  for (std::size_t turn = 0;; ++turn) {
    co_await limpetfall::detail::PauseUntil(Clock::now() + Milliseconds(250));
    world.Spawn(SendOne(world, *world.gateways[turn % world.gateways.size()]));
  }
}

bool IsMemberOf(const Fleet& fleet, const std::string& runner, const std::string& head) {
  const auto& membership = fleet.MembershipOf(runner);
  return membership && membership->members.front() == head;
}

bool IsOpen(const Fleet& fleet, const std::string& head) {
  const auto& membership = fleet.MembershipOf(head);
  return membership && membership->members.front() == head && membership->state == "open";
}

int RunCase(const CaseArguments& arguments) {
  FleetOptions options;
  Deployment world(arguments, options);
  world.fleet.on_stolen = [&](const std::string& runner, const Membership& before,
                              const Membership& after) {
    world.record.Violation("TWO: runner " + runner + " takes a join of group " + after.group +
                           " while the head " + before.members.front() + " of its group " +
                           before.group + " is open");
  };
  world.platform.Put("op/config", kConfig);
  for (int i = 0; i < 5; ++i) {
    world.StartRunner("i-0" + std::to_string(i), "limpet-fold", "ennis", "d1", 17);
  }
  world.StartGateways(3, {"ennis", "limerick", "shannon"});
  if (!world.WaitUntilReady(Milliseconds(10000))) return kCouldNotRun;
  const auto both_open = [&] { return world.fleet.OpenHeads().size() == 2; };
  if (!world.RunUntil(both_open, Milliseconds(15000))) return kCouldNotRun;
  // The rate of model loads is limited only after the first seconds.
  world.RunFor(Milliseconds(6000));
  world.Spawn(SendSteadily(world));
  world.RunFor(Milliseconds(2000));

  const std::string head = "i-00";
  const std::string member = "i-01";
  const auto paired = [&] {
    return IsOpen(world.fleet, head) && IsMemberOf(world.fleet, member, head);
  };
  if (!paired()) return kCouldNotRun;
  if (!arguments.disturbed()) {
    world.RunFor(Milliseconds(25000));
    return world.record.violations() > 0 ? kRuleBroken : kRuleHeld;
  }
  // One order to the member is carried out and not answered: its next join. With TROUBLE=answered,
  // it is answered.
  bool rejoined = false;
  world.fleet.loses_answer = [&](const std::string& runner, const nlohmann::json& order) {
    if (rejoined || runner != member || order.at("op") != "join") return false;
    rejoined = true;
    return arguments.trouble != "answered";
  };
  // The head is cut off for a short time. Its group is dissolved, and the two form a group again.
  world.fleet.SetCut(head, true);
  world.RunFor(Milliseconds(3000));
  world.fleet.SetCut(head, false);
  if (!world.RunUntil([&] { return rejoined && paired(); }, Milliseconds(15000)))
    return kCouldNotRun;
  world.RunFor(Milliseconds(5000));
  if (!paired()) return kCouldNotRun;
  // Later the head is cut off again. The member still reaches it and has not left the group.
  world.fleet.SetCut(head, true);
  world.RunFor(Milliseconds(10000));
  world.fleet.SetCut(head, false);
  world.RunFor(Milliseconds(3000));
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
