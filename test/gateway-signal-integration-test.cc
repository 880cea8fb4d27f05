#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>

#include "harness/gateway-process-fixture.h"
#include "harness/net.h"

namespace limpetfall::testing {
namespace {

/** Real gateway processes that receive signals while they start. */
class GatewaySignalIntegrationTest : public GatewayProcessFixture {
  CPPUNIT_TEST_SUITE(GatewaySignalIntegrationTest);
  CPPUNIT_TEST(ReloadSignalDuringStartDoesNotEndProcess);
  CPPUNIT_TEST(StopSignalDuringStartIsGraceful);
  CPPUNIT_TEST(SignalsDuringExitDoNotChangeItsCode);
  CPPUNIT_TEST(ProcessOutlivesTheReaderOfItsLog);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that ends, with callers connected, because its settings have changed.
  void ReloadSignalDuringStartDoesNotEndProcess() {
    this->StartProcesses(1);
    for (int i = 0; i < 20; ++i) {
      this->RestartProcess(0);
      const auto caller = this->ConnectAsSoonAsPossible();
      this->processes.front()->Signal(SIGHUP);
      CPPUNIT_ASSERT(!this->processes.front()->WaitForExit(Milliseconds(100)));
    }
  }

  // Guards against callers whose connections are reset by a stop right after the start (LOST).
  void StopSignalDuringStartIsGraceful() {
    this->StartProcesses(1);
    for (int i = 0; i < 2; ++i) {
      this->RestartProcess(0);
      const auto caller = this->ConnectAsSoonAsPossible();
      caller->Send("GET /lookup/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: early\r\n\r\n");
      this->processes.front()->Signal(SIGTERM);
      CPPUNIT_ASSERT(caller->ReadAll().starts_with("HTTP/1.1 503 "));
      CPPUNIT_ASSERT(this->processes.front()->WaitForExit(Milliseconds(8000)));
      CPPUNIT_ASSERT_EQUAL(0, this->processes.front()->exit_code());
    }
  }

  // Guards against a graceful stop that looks like a crash because another signal comes at its end.
  void SignalsDuringExitDoNotChangeItsCode() {
    this->StartProcesses(4);
    for (const auto& process : this->processes) process->Signal(SIGTERM);
    this->RunFor(3300);
    bool any_runs = true;
    for (const Deadline limit = Clock::now() + Milliseconds(6000); any_runs;) {
      CPPUNIT_ASSERT(Clock::now() < limit);
      any_runs = false;
      for (const auto& process : this->processes) {
        if (!process->running()) continue;
        any_runs = true;
        process->Signal(SIGHUP);
        process->Signal(SIGTERM);
      }
      this->io->run_for(std::chrono::microseconds(100));
    }
    for (const auto& process : this->processes) CPPUNIT_ASSERT_EQUAL(0, process->exit_code());
  }

  // Guards against a process that ends with its requests because the reader of its output has ended
  // (LOST).
  void ProcessOutlivesTheReaderOfItsLog() {
    this->StartProcesses(1);
    this->processes.front().reset();
    const std::string settings = (this->folder / "p0.toml").string();
    const std::string pipe = settings + ".pipe";
    CPPUNIT_ASSERT_EQUAL(0, mkfifo(pipe.c_str(), 0600));
    const int reader = open(pipe.c_str(), O_RDONLY | O_NONBLOCK);
    CPPUNIT_ASSERT(reader >= 0);
    this->processes.front() = Process::Start("limpetfall-gateway", {"--settings", settings}, pipe);
    this->ConnectAsSoonAsPossible();
    this->RunFor(500);
    CPPUNIT_ASSERT(this->processes.front()->running());
    close(reader);
    for (int i = 0; i < 3; ++i) {
      const auto caller = this->ConnectAsSoonAsPossible();
      // The refusal writes a line.
      caller->Send(
          "GET /none HTTP/1.1\r\nHost: h\r\nX-Request-Id: any\r\n"
          "Connection: close\r\n\r\n");
      CPPUNIT_ASSERT(caller->ReadAll().starts_with("HTTP/1.1 404 "));
    }
    CPPUNIT_ASSERT(this->processes.front()->running());
  }

 private:
  std::unique_ptr<RawClient> ConnectAsSoonAsPossible() const {
    const Deadline limit = Clock::now() + Milliseconds(5000);
    for (;;) {
      try {
        return std::make_unique<RawClient>(this->caller_address);
      } catch (const boost::system::system_error& error) {
        CPPUNIT_ASSERT_MESSAGE(error.what(), Clock::now() < limit);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySignalIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
