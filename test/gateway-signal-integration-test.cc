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
