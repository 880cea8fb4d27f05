#include "gateways.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace limpetfall::review {
namespace {

// Of the metrics address in the deploy file.
constexpr int kMetricsPort = 9464;

bool IsFree(const std::string& ip) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kMetricsPort);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool bound =
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  ::close(descriptor);
  return bound;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** Fills in the placeholders of the settings template, which are plain values. */
std::string FillTemplate(std::string text, const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (std::size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at + value.size())) {
      text.replace(at, placeholder.size(), value);
    }
  }
  if (text.find("{{") != std::string::npos)
    throw std::runtime_error("a placeholder of the settings template is unknown");
  return text;
}

/** Returns the `run` command of the deploy file. */
std::string RunCommand() {
  std::istringstream lines(ReadFile("deploy/system.toml"));
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("run")) continue;
    const std::size_t start = line.find('"') + 1;
    return line.substr(start, line.rfind('"') - start);
  }
  throw std::runtime_error("deploy/system.toml has no run command");
}

}  // namespace

Subnet Subnet::Pick() {
  std::random_device random;
  for (;;) {
    const std::string prefix = "127." + std::to_string(20 + random() % 200) + "." +
                               std::to_string(1 + random() % 250) + ".";
    if (IsFree(prefix + "11")) return Subnet(prefix);
  }
}

Gateway::Gateway(Spec settings, std::string folder)
    : spec(std::move(settings)), work_folder(std::move(folder)) {}

Gateway::~Gateway() {
  if (this->HasEnded()) return;
  ::kill(this->child, SIGKILL);
  ::waitpid(this->child, nullptr, 0);
}

void Gateway::Start() {
  const std::string settings_path = this->work_folder + "/" + this->spec.name + ".toml";
  std::ofstream(settings_path) << FillTemplate(
      ReadFile("deploy/settings.toml"),
      {{"nodeName", this->spec.name},
       {"zone", this->spec.zone},
       {"ip", this->spec.ip},
       {"listen.front", this->CallerAddress()},
       {"listen.ready", this->ReadyAddress()},
       {"listen.directory", this->DirectoryAddress()},
       {"firstStart|json", this->spec.first_start ? "true" : "false"},
       {"internalPorts.0", "7340"},
       {"seeds|json", nlohmann::json(this->spec.seeds).dump()},
       {"platform.addr", this->spec.platform_address},
       {"limits.cpuShare", "0.25"},
       {"limits.cores", "1"},
       {"bounds.graceS", "8"},
       {"bounds.strictRevoke|json", "true"},
       {"bounds.revokeMs", "5000"},
       {"bounds.budgetRatio", "0.2"},
       {"bounds.budgetSlack", "103"},
       {"bounds.budgetWindowS", "10"},
       {"bounds.stallMs", "5000"}});
  const std::string command = RunCommand();
  const std::string log_path = this->work_folder + "/" + this->spec.name + ".log";
  const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  this->child = ::fork();
  if (this->child != 0) {
    ::close(log);
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::setenv("LIMPETFALL_SETTINGS", settings_path.c_str(), 1);
  ::execl(command.c_str(), command.c_str(), static_cast<char*>(nullptr));
  ::_exit(127);
}

void Gateway::Signal(int signal) const {
  if (this->child > 0) ::kill(this->child, signal);
}

bool Gateway::HasEnded() {
  if (this->child <= 0) return true;
  if (::waitpid(this->child, nullptr, WNOHANG) == 0) return false;
  this->child = -1;
  return true;
}

}  // namespace limpetfall::review
