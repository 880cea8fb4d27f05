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

/** A child process of a test. The destructor kills it. */
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
  void Kill();                                          ///< Sends SIGKILL and waits for the exit.
  void Suspend() const;                                 ///< Sends SIGSTOP.
  void Resume() const;                                  ///< Sends SIGCONT.
  bool WaitForExit(std::chrono::milliseconds timeout);  ///< Returns whether it has exited.
  [[nodiscard]] bool running();
  [[nodiscard]] int exit_code() const { return this->code; }  ///< Negative signal number if killed.
  [[nodiscard]] pid_t pid() const { return this->child; }
  [[nodiscard]] std::string log() const;  ///< All output so far.

  /** Returns the addresses that the program has printed, in order. */
  [[nodiscard]] std::vector<std::string> addresses() const;

 private:
  Process(pid_t child, std::string log_path) : child(child), log_path(std::move(log_path)) {}
  void RecordExit(int status);

  pid_t child = -1;
  bool exited = false;
  int code = 0;
  std::string log_path;
  bool owns_log = false;
};

/** Polls `condition` every 10 ms; returns whether it became true within `timeout`. */
bool WaitFor(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

/** Result of a blocking HTTP request. `status` is 0 if no complete answer arrived. */
struct Reply {
  int status = 0;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  std::string error;
};

/** Sends one request on a new connection and waits for the complete answer. */
Reply Fetch(const std::string& method, const std::string& url, const std::string& body = "",
            const std::map<std::string, std::string>& headers = {},
            std::chrono::milliseconds timeout = std::chrono::milliseconds(10000));

/** Sends a streamed completion request and reads the answer on its own thread. */
class StreamReader {
 public:
  StreamReader(const std::string& url, const std::string& body,
               const std::map<std::string, std::string>& headers);
  ~StreamReader();

  StreamReader(const StreamReader&) = delete;
  StreamReader& operator=(const StreamReader&) = delete;

  /** Returns the number of token events received so far. */
  [[nodiscard]] int tokens() const;

  /** Waits for the end of the answer. Returns false if it does not end within `timeout`. */
  bool WaitForEnd(std::chrono::milliseconds timeout);

  /** Returns all bytes received so far. */
  [[nodiscard]] std::string raw() const;

  /** Returns the text of all tokens. Empty unless the stream is complete. */
  [[nodiscard]] std::string CompleteText() const;

  /** Returns whether the stream ended with `data: [DONE]` and has no error event. */
  [[nodiscard]] bool complete() const;

 private:
  static std::size_t Append(char* data, std::size_t size, std::size_t count, void* target);

  mutable std::mutex mutex;
  std::string received;
  bool ended = false;
  std::thread thread;
};

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_PROCESS_H_
