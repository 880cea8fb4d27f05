#include "deployment.h"

#include <stdlib.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>
#include <filesystem>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "base/pause.h"

namespace limpetfall::review {
namespace {

namespace asio = boost::asio;

constexpr int kPlatformHost = 1;
constexpr int kPlatformPort = 8223;
constexpr int kFirstGatewayHost = 11;
constexpr int kControlPort = 8229;
constexpr int kRunnerPort = 8080;
constexpr std::size_t kMaxSeeds = 3;

std::string MakeFolder() {
  std::string path = std::filesystem::temp_directory_path() / "limpetfall-review-XXXXXX";
  if (::mkdtemp(path.data()) == nullptr) throw std::runtime_error("no temporary folder");
  return path;
}

asio::awaitable<void> AskReady(asio::io_context& io, std::string address, bool& ready) {
  HttpRequest request;
  request.target = "/api/readyz";
  request.headers["Host"] = address;
  const Answer answer = co_await Call(io, address, request, Clock::now() + Milliseconds(500));
  ready = answer.status == 200;
}

}  // namespace

CaseArguments CaseArguments::Parse(int argc, char** argv) {
  CaseArguments arguments;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string_view name = argv[i];
    if (name == "--record") arguments.record_path = argv[i + 1];
    if (name == "--trouble") arguments.trouble = argv[i + 1];
  }
  return arguments;
}

Deployment::Deployment(const CaseArguments& arguments, FleetOptions options)
    : io(1),
      record(arguments.record_path),
      subnet(Subnet::Pick()),
      platform(this->io, this->subnet.Address(kPlatformHost, kPlatformPort)),
      fleet(this->io, this->platform, this->record, options),
      folder(MakeFolder()),
      random(std::random_device{}()) {
  this->record.Write("disruption: " + arguments.trouble);
}

Deployment::~Deployment() {
  this->gateways.clear();
  this->io.DropPending();
  std::error_code ignored;
  if (::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->folder, ignored);
  } else {
    std::fprintf(stderr, "logs: %s\n", this->folder.c_str());
  }
}

void Deployment::StartGateways(int count, const std::vector<std::string>& zones) {
  std::vector<std::string> seeds;
  for (int i = 0; i < count && seeds.size() < kMaxSeeds; ++i)
    seeds.push_back(this->subnet.Address(kFirstGatewayHost + i, kControlPort));
  for (int i = 0; i < count; ++i) {
    const std::string& zone = zones[static_cast<std::size_t>(i) % zones.size()];
    Gateway::Spec spec{"front-" + zone + "-" + std::to_string(i + 1), zone,
                       this->subnet.Ip(kFirstGatewayHost + i),
                       this->subnet.Address(kPlatformHost, kPlatformPort), seeds};
    this->gateways.push_back(std::make_unique<Gateway>(std::move(spec), this->folder));
    this->gateways.back()->Start();
  }
}

void Deployment::StartRunner(const std::string& id, const std::string& service,
                             const std::string& zone, const std::string& domain, int slots) {
  const std::string address = this->subnet.Address(this->last_runner_host++, kRunnerPort);
  this->fleet.Start({id, service, address, zone, domain, slots});
}

void Deployment::RunFor(Milliseconds time) { this->io.run_for(time); }

bool Deployment::RunUntil(const std::function<bool()>& condition, Milliseconds limit) {
  const Deadline end = Clock::now() + limit;
  while (!condition()) {
    if (end <= Clock::now()) return false;
    this->RunFor(Milliseconds(5));
  }
  return true;
}

bool Deployment::WaitUntilReady(Milliseconds limit) {
  const Deadline end = Clock::now() + limit;
  for (const auto& gateway : this->gateways) {
    bool ready = false;
    while (!ready) {
      if (end <= Clock::now()) return false;
      this->Spawn(AskReady(this->io, gateway->ReadyAddress(), ready));
      // Longer than the time limit of the question, which refers to `ready`.
      this->RunUntil([&ready] { return ready; }, Milliseconds(600));
    }
  }
  return true;
}

void Deployment::Spawn(asio::awaitable<void> work) {
  asio::co_spawn(this->io, std::move(work), asio::detached);
}

std::string Deployment::NewId() {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(this->random()));
  return text;
}

}  // namespace limpetfall::review
