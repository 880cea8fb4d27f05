#include "tool/request-commands.h"

#include <iostream>

#include "limpetfall/client.h"
#include "tool/arguments.h"

namespace limpetfall {
namespace {

/** Options that identify the caller and the nodes to send to. */
class CallerArguments {
 public:
  explicit CallerArguments(TCLAP::CmdLine& line)
      : addresses("n", "node", "caller address of a node; may be repeated", true, "IP:port", line),
        zone("z", "zone", "availability zone of the caller", false, "", "ZONE", line),
        branch("b", "branch", "branch", true, "", "BRANCH", line),
        team("t", "team", "team", true, "", "TEAM", line),
        deadline("d", "deadline-ms", "timeout of the whole request", false, 60000, "MS", line),
        given_nodes_only("o", "only-given", "send only to the given nodes", line) {}

  Result<std::unique_ptr<Client>> CreateClient() {
    ClientOptions options;
    options.addresses = this->addresses.getValue();
    options.zone = this->zone.getValue();
    options.branch = this->branch.getValue();
    options.team = this->team.getValue();
    options.discover_addresses = !this->given_nodes_only.getValue();
    return Client::Create(std::move(options));
  }

  [[nodiscard]] Deadline RequestDeadline() {
    return Clock::now() + Milliseconds(this->deadline.getValue());
  }

 private:
  TCLAP::MultiArg<std::string> addresses;
  TCLAP::ValueArg<std::string> zone;
  TCLAP::ValueArg<std::string> branch;
  TCLAP::ValueArg<std::string> team;
  TCLAP::ValueArg<std::int64_t> deadline;
  TCLAP::SwitchArg given_nodes_only;
};

}  // namespace

ExitCode Complete(const Arguments& arguments) {
  TCLAP::CmdLine line("Runs a completion and prints it.", ' ', std::string(kVersion));
  CallerArguments caller(line);
  TCLAP::ValueArg<std::string> model("m", "model", "model", true, "", "MODEL", line);
  TCLAP::ValueArg<int> max_tokens("x", "max-tokens", "maximum number of tokens", false, 64, "N",
                                  line);
  TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of the generation", false, 0, "N", line);
  TCLAP::ValueArg<std::string> priority("p", "priority", "high, normal or low", false, "", "CLASS",
                                        line);
  TCLAP::SwitchArg stream("", "stream", "print tokens as they arrive", line);
  TCLAP::UnlabeledValueArg<std::string> prompt("prompt", "prompt", true, "", "PROMPT", line);
  if (auto done = ParseArguments(line, "complete", arguments)) return *done;

  auto client = caller.CreateClient();
  if (!client) return ReportError(client.error());
  CompletionCall call;
  call.model = model.getValue();
  call.prompt = prompt.getValue();
  call.max_tokens = max_tokens.getValue();
  call.seed = seed.getValue();
  call.priority = priority.getValue();
  call.deadline = caller.RequestDeadline();
  const bool streaming = stream.getValue();
  const auto completion = client.value()->Complete(call, [streaming](std::string_view token) {
    if (streaming) std::cout << token << std::flush;
  });
  if (streaming) std::cout << "\n";
  if (!completion) return ReportError(completion.error());
  if (!streaming) std::cout << completion.value().text << "\n";
  std::cerr << "request " << completion.value().request_id << ", " << completion.value().tokens
            << " tokens, configuration " << completion.value().config_version << "\n";
  return ExitCode::kSuccess;
}

ExitCode Order(const Arguments& arguments) {
  TCLAP::CmdLine line("Places an order that runs at most once and prints its outcome.", ' ',
                      std::string(kVersion));
  CallerArguments caller(line);
  TCLAP::ValueArg<std::string> service("s", "service", "plain service", true, "", "SERVICE", line);
  TCLAP::ValueArg<std::string> path("p", "path", "path of the call", true, "", "PATH", line);
  TCLAP::ValueArg<std::string> key(
      "k", "key", "idempotency key; repeat an order under the same key", true, "", "KEY", line);
  TCLAP::UnlabeledValueArg<std::string> body("body", "body, or @FILE", true, "", "BODY", line);
  if (auto done = ParseArguments(line, "order", arguments)) return *done;

  std::string content = body.getValue();
  if (content.starts_with('@')) {
    auto file = ReadFile(content.substr(1));
    if (!file) return ReportError(file.error());
    content = std::move(file).value();
  }
  auto client = caller.CreateClient();
  if (!client) return ReportError(client.error());
  const auto reply = client.value()->PlaceOrder(service.getValue(), path.getValue(), content,
                                                key.getValue(), caller.RequestDeadline());
  if (!reply) return ReportError(reply.error());
  std::cout << reply.value().body << "\n";
  if (reply.value().status / 100 == 2) return ExitCode::kSuccess;
  std::cerr << "limpetctl: the service responded with status " << reply.value().status << "\n";
  return ExitCode::kFailure;
}

}  // namespace limpetfall
