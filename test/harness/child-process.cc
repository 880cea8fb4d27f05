#include "harness/child-process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <stdexcept>

#include "limpetfall/time.h"

namespace limpetfall::test {
namespace {

constexpr std::chrono::seconds kStartTimeout(20);
constexpr std::string_view kMark = "listening ";

std::vector<std::string> ReadAddresses(int output, int wanted) {
  const Deadline deadline = Clock::now() + kStartTimeout;
  std::vector<std::string> addresses;
  std::string line;
  while (static_cast<int>(addresses.size()) < wanted) {
    pollfd descriptor{output, POLLIN, 0};
    const auto left = static_cast<int>(TimeLeft(deadline, Clock::now()).count());
    char next = 0;
    if (left == 0 || poll(&descriptor, 1, left) <= 0 || read(output, &next, 1) != 1) {
      throw std::runtime_error("the program did not print the address it listens on");
    }
    if (next != '\n') {
      line += next;
      continue;
    }
    if (line.starts_with(kMark)) addresses.push_back(line.substr(kMark.size()));
    line.clear();
  }
  return addresses;
}

}  // namespace

std::unique_ptr<ChildProcess> ChildProcess::Start(const std::string& program,
                                                  std::vector<std::string> arguments,
                                                  int addresses) {
  const char* folder = std::getenv("LIMPETFALL_BIN");
  std::string path = std::string(folder != nullptr ? folder : "build") + "/" + program;
  std::vector<char*> argv{path.data()};
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);

  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) throw std::runtime_error("cannot make a pipe");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  auto child = std::unique_ptr<ChildProcess>(new ChildProcess());
  const int failure =
      posix_spawn(&child->id, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  child->output = ends[0];
  if (failure != 0) {
    child->id = -1;
    throw std::runtime_error("cannot start " + path);
  }
  child->listening = ReadAddresses(child->output, addresses);
  return child;
}

ChildProcess::~ChildProcess() {
  Kill();
  if (this->output >= 0) close(this->output);
}

void ChildProcess::Kill() {
  if (this->id <= 0) return;
  kill(this->id, SIGKILL);
  waitpid(this->id, nullptr, 0);
  this->id = -1;
}

}  // namespace limpetfall::test
