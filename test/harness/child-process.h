#ifndef LIMPETFALL_TEST_HARNESS_CHILD_PROCESS_H_
#define LIMPETFALL_TEST_HARNESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

namespace limpetfall::test {

/** A program of the build folder that a test has started. The destructor ends it. */
class ChildProcess {
 public:
  /** Starts `program` and waits for `addresses` lines of the form `listening IP:PORT`. */
  static std::unique_ptr<ChildProcess> Start(const std::string& program,
                                             std::vector<std::string> arguments, int addresses);

  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /** Returns the addresses that the program printed, in order. */
  [[nodiscard]] const std::vector<std::string>& addresses() const { return this->listening; }
  [[nodiscard]] pid_t pid() const { return this->id; }

  /** Ends the program at once with SIGKILL. */
  void Kill();

 private:
  ChildProcess() = default;

  pid_t id = -1;
  int output = -1;
  std::vector<std::string> listening;
};

}  // namespace limpetfall::test

#endif  // LIMPETFALL_TEST_HARNESS_CHILD_PROCESS_H_
