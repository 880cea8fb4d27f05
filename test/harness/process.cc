#include "harness/process.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cctype>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <thread>

namespace limpetfall::testing {
namespace {

constexpr std::chrono::milliseconds kStartTimeout{10000};

std::string ProgramPath(const std::string& program) {
  const char* folder = std::getenv("LIMPETFALL_BIN");
  return (folder == nullptr ? std::string("build") : std::string(folder)) + "/" + program;
}

// Runs in the child between fork and exec, where only async-signal-safe functions are allowed.
[[noreturn]] void RunChild(const char* path, char* const* arguments, int output) {
  // Ends the child with the test process, also when that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  // An inherited listener would keep accepting connections after the test has closed it.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(path, arguments);
  _exit(127);
}

std::size_t AppendBody(char* data, std::size_t size, std::size_t count, void* target) {
  static_cast<std::string*>(target)->append(data, size * count);
  return size * count;
}

std::size_t AddHeader(char* data, std::size_t size, std::size_t count, void* target) {
  std::string line(data, size * count);
  std::size_t colon = line.find(':');
  if (colon == std::string::npos) return size * count;
  std::string name = line.substr(0, colon);
  for (char& letter : name) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  std::size_t first = line.find_first_not_of(" \t", colon + 1);
  std::size_t last = line.find_last_not_of(" \t\r\n");
  bool blank = first == std::string::npos || last < first;
  auto& headers = *static_cast<std::map<std::string, std::string>*>(target);
  headers[name] = blank ? "" : line.substr(first, last - first + 1);
  return size * count;
}

}  // namespace

std::unique_ptr<Process> Process::Start(const std::string& program,
                                        const std::vector<std::string>& arguments,
                                        const std::string& log_path) {
  std::string path = ProgramPath(program);
  std::vector<char*> argv{path.data()};
  std::vector<std::string> copies = arguments;
  for (std::string& argument : copies) argv.push_back(argument.data());
  argv.push_back(nullptr);
  int output = open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  if (output < 0) throw std::runtime_error("cannot open " + log_path);
  pid_t child = fork();
  if (child == 0) RunChild(path.c_str(), argv.data(), output);
  close(output);
  if (child < 0) throw std::runtime_error("cannot start " + path);
  return std::unique_ptr<Process>(new Process(child, log_path));
}

std::unique_ptr<Process> Process::StartListening(const std::string& program,
                                                 const std::vector<std::string>& arguments,
                                                 std::size_t count) {
  std::string path = (std::filesystem::temp_directory_path() / "limpetfall-XXXXXX").string();
  const int file = mkstemp(path.data());
  if (file < 0) throw std::runtime_error("cannot create " + path);
  close(file);
  auto process = Start(program, arguments, path);
  process->owns_log = true;
  const auto printed = [&] { return process->addresses().size() >= count; };
  if (WaitFor(printed, kStartTimeout)) return process;
  throw std::runtime_error(program + " did not print its addresses: " + process->log());
}

Process::~Process() {
  this->Kill();
  if (this->owns_log) std::filesystem::remove(this->log_path);
}

std::vector<std::string> Process::addresses() const {
  constexpr std::string_view kPrefix = "listening ";
  std::vector<std::string> found;
  std::istringstream lines(this->log());
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(kPrefix) && !lines.eof()) found.push_back(line.substr(kPrefix.size()));
  }
  return found;
}

void Process::Signal(int signal) const {
  if (!this->exited) kill(this->child, signal);
}

void Process::Suspend() const { this->Signal(SIGSTOP); }

void Process::Resume() const { this->Signal(SIGCONT); }

void Process::Kill() {
  if (this->exited) return;
  this->Signal(SIGKILL);
  int status = 0;
  if (waitpid(this->child, &status, 0) == this->child) this->RecordExit(status);
}

bool Process::running() {
  int status = 0;
  if (!this->exited && waitpid(this->child, &status, WNOHANG) == this->child)
    this->RecordExit(status);
  return !this->exited;
}

bool Process::WaitForExit(std::chrono::milliseconds timeout) {
  return WaitFor([this] { return !this->running(); }, timeout);
}

void Process::RecordExit(int status) {
  this->exited = true;
  this->code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string Process::log() const {
  std::ifstream file(this->log_path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool WaitFor(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
  auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

namespace {

using Easy = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderLines = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

Easy MakeRequest(const std::string& method, const std::string& url, const std::string& body,
                 const HeaderLines& lines, std::chrono::milliseconds timeout) {
  static const CURLcode global = curl_global_init(CURL_GLOBAL_DEFAULT);
  Easy easy(curl_easy_init(), &curl_easy_cleanup);
  if (global != CURLE_OK || easy == nullptr) throw std::runtime_error("cannot initialize libcurl");
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, lines.get());
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
  if (!body.empty()) {
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    curl_easy_setopt(easy.get(), CURLOPT_COPYPOSTFIELDS, body.c_str());
  }
  return easy;
}

HeaderLines MakeHeaders(const std::map<std::string, std::string>& headers) {
  curl_slist* lines = curl_slist_append(nullptr, "Expect:");
  for (const auto& [name, value] : headers) {
    std::string line = name;
    line += ": ";
    line += value;
    lines = curl_slist_append(lines, line.c_str());
  }
  return {lines, &curl_slist_free_all};
}

}  // namespace

Reply Fetch(const std::string& method, const std::string& url, const std::string& body,
            const std::map<std::string, std::string>& headers, std::chrono::milliseconds timeout) {
  Reply reply;
  const HeaderLines lines = MakeHeaders(headers);
  const Easy easy = MakeRequest(method, url, body, lines, timeout);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &reply.body);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, &AddHeader);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &reply.headers);
  if (const CURLcode code = curl_easy_perform(easy.get()); code != CURLE_OK) {
    reply.error = curl_easy_strerror(code);
    return reply;
  }
  long status = 0;
  curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
  reply.status = static_cast<int>(status);
  return reply;
}

StreamReader::StreamReader(const std::string& url, const std::string& body,
                           const std::map<std::string, std::string>& headers) {
  this->thread = std::thread([this, url, body, headers] {
    const HeaderLines lines = MakeHeaders(headers);
    const Easy easy = MakeRequest("POST", url, body, lines, std::chrono::seconds(60));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &StreamReader::Append);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, this);
    curl_easy_perform(easy.get());
    const std::lock_guard lock(this->mutex);
    this->ended = true;
  });
}

StreamReader::~StreamReader() { this->thread.join(); }

std::size_t StreamReader::Append(char* data, std::size_t size, std::size_t count, void* target) {
  auto* reader = static_cast<StreamReader*>(target);
  const std::lock_guard lock(reader->mutex);
  reader->received.append(data, size * count);
  return size * count;
}

std::string StreamReader::raw() const {
  const std::lock_guard lock(this->mutex);
  return this->received;
}

int StreamReader::tokens() const {
  const std::string text = this->raw();
  int count = 0;
  for (std::size_t at = text.find("token_index"); at != std::string::npos;
       at = text.find("token_index", at + 1)) {
    ++count;
  }
  return count;
}

bool StreamReader::WaitForEnd(std::chrono::milliseconds timeout) {
  return WaitFor(
      [this] {
        const std::lock_guard lock(this->mutex);
        return this->ended;
      },
      timeout);
}

bool StreamReader::complete() const {
  const std::string text = this->raw();
  return text.ends_with("data: [DONE]\n\n") && text.find("event: error") == std::string::npos;
}

std::string StreamReader::CompleteText() const {
  if (!this->complete()) return "";
  std::istringstream lines(this->raw());
  std::string text;
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("data: {")) continue;
    const auto event = nlohmann::json::parse(line.substr(6), nullptr, false);
    text += event["choices"][0].value("text", "");
  }
  return text;
}

}  // namespace limpetfall::testing
