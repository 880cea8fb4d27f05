#ifndef LIMPETFALL_TEST_HARNESS_PROCESS_H_
#define LIMPETFALL_TEST_HARNESS_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace limpetfall::testing {

/** A child process of a test. It is killed when the object is destroyed. */
class Process {
 public:
  /** Starts `program` from the build folder. Its output goes to `log_path`. Throws on failure. */
  static std::unique_ptr<Process> Start(const std::string& program,
                                        const std::vector<std::string>& arguments,
                                        const std::string& log_path);

  /** Starts a stand-in and waits until it has printed `count` lines "listening IP:PORT". */
  static std::unique_ptr<Process> StartListening(const std::string& program,
                                                 const std::vector<std::string>& arguments,
                                                 std::size_t count);

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  void Signal(int signal) const;
  void Kill();                                          ///< SIGKILL, then waits.
  void Freeze() const;                                  ///< SIGSTOP.
  void Thaw() const;                                    ///< SIGCONT.
  bool WaitForExit(std::chrono::milliseconds longest);  ///< Returns whether it has exited.
  [[nodiscard]] bool running();
  [[nodiscard]] int exit_code() const { return this->code; }  ///< Negative signal number if killed.
  [[nodiscard]] pid_t pid() const { return this->child; }
  [[nodiscard]] std::string log() const;  ///< All output so far.

  /** The addresses that the program has printed, in order. */
  [[nodiscard]] std::vector<std::string> addresses() const;

 private:
  Process(pid_t child, std::string log_path) : child(child), log_path(std::move(log_path)) {}
  void Collect(int status);

  pid_t child = -1;
  bool exited = false;
  int code = 0;
  std::string log_path;
  bool owns_log = false;
};

/** Polls `condition` every 10 ms; returns whether it became true within `longest`. */
bool WaitFor(const std::function<bool()>& condition, std::chrono::milliseconds longest);

/** Outcome of a blocking HTTP request; `status` 0 means that no whole answer arrived. */
struct Reply {
  int status = 0;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  std::string error;
};

/** Sends one request on a connection of its own and waits for the whole answer. */
Reply Fetch(const std::string& method, const std::string& url, const std::string& body = "",
            const std::map<std::string, std::string>& headers = {},
            std::chrono::milliseconds longest = std::chrono::milliseconds(10000));

/** A streamed completion that is read on a thread of its own. */
class StreamReader {
 public:
  StreamReader(const std::string& url, const std::string& body,
               const std::map<std::string, std::string>& headers);
  ~StreamReader();

  StreamReader(const StreamReader&) = delete;
  StreamReader& operator=(const StreamReader&) = delete;

  /** Number of token events so far. */
  [[nodiscard]] int tokens() const;

  /** Waits for the end of the answer; returns false when it has not come within `longest`. */
  bool WaitForEnd(std::chrono::milliseconds longest);

  /** Everything received so far. */
  [[nodiscard]] std::string raw() const;

  /** The text of all tokens, only if the stream ended with its end mark and without an error. */
  [[nodiscard]] std::string WholeText() const;

  /** Says whether the stream ended with `data: [DONE]`. */
  [[nodiscard]] bool whole() const;

 private:
  static std::size_t Append(char* data, std::size_t size, std::size_t count, void* target);

  mutable std::mutex mutex;
  std::string received;
  bool ended = false;
  std::thread thread;
};

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_PROCESS_H_
