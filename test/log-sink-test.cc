#include "base/log-sink.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <thread>

namespace limpetfall {
namespace {

class LogSinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogSinkTest);
  CPPUNIT_TEST(BlockedReaderDoesNotBlockWrites);
  CPPUNIT_TEST(RoutineLinesAreRateLimited);
  CPPUNIT_TEST(DroppedLinesAreReported);
  CPPUNIT_TEST(DrainWaitsForSlowReaderUntilDeadline);
  CPPUNIT_TEST(DrainEndsAtDeadlineThoughTheFileIsFull);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CPPUNIT_ASSERT_EQUAL(0, pipe(this->pipe_ends.data()));
    fcntl(this->pipe_ends[0], F_SETFL, O_NONBLOCK);
  }

  void tearDown() override {
    close(this->pipe_ends[0]);
    close(this->pipe_ends[1]);
  }

  // Guards against requests that block on a log reader that has stopped reading.
  void BlockedReaderDoesNotBlockWrites() {
    LogSink sink(this->pipe_ends[1], {1e9, 1e9, 4096});
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i) sink.Write(line, true, kStart);
    CPPUNIT_ASSERT(sink.dropped() > 800);
  }

  // Guards against spending the CPU time of a node on log lines, such as rejections under overload.
  void RoutineLinesAreRateLimited() {
    LogSink sink(this->pipe_ends[1], {10, 20, 1 << 20});
    for (int i = 0; i < 100; ++i) sink.Write("a", true, kStart);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, sink.dropped());
    sink.Write("warning", false, kStart);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, sink.dropped());
    sink.Write("later", true, kStart + Milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, sink.dropped());
  }

  // Guards against the loss of the last lines of a process whose log reader is busy.
  void DrainWaitsForSlowReaderUntilDeadline() {
    LogSink sink(this->pipe_ends[1], {1e9, 1e9, 1 << 20});
    const std::string line(1 << 10, 'x');
    constexpr std::size_t kLines = 300;  // More than the pipe holds.
    for (std::size_t i = 0; i < kLines; ++i) sink.Write(line, true, kStart);
    sink.Drain(Clock::now() + Milliseconds(20));
    std::size_t received = 0;
    std::thread reader([&] {
      while (received < kLines * (line.size() + 1)) received += this->Read().size();
    });
    sink.Drain(Clock::now() + Milliseconds(5000));
    reader.join();
    CPPUNIT_ASSERT_EQUAL(kLines * (line.size() + 1), received);
  }

  // Guards against a process that does not end because its log is a file on a full disk, which is
  // always ready for writing.
  void DrainEndsAtDeadlineThoughTheFileIsFull() {
    const pid_t child = fork();
    if (child == 0) {
      LogSink sink(open("/dev/full", O_WRONLY | O_CLOEXEC), {1e9, 1e9, 4096});
      sink.Write("last", false, kStart);
      sink.Drain(Clock::now() + Milliseconds(50));
      _exit(0);
    }
    CPPUNIT_ASSERT(child > 0);
    pid_t ended = 0;
    for (int i = 0; i < 100 && ended == 0; ++i) {
      std::this_thread::sleep_for(Milliseconds(20));
      ended = waitpid(child, nullptr, WNOHANG);
    }
    if (ended == 0) {
      kill(child, SIGKILL);
      waitpid(child, nullptr, 0);
    }
    CPPUNIT_ASSERT_EQUAL(child, ended);
  }

  // Guards against gaps in the log that are not reported.
  void DroppedLinesAreReported() {
    LogSink sink(this->pipe_ends[1], {0, 1, 1 << 20});
    sink.Write("first", true, kStart);
    sink.Write("second", true, kStart);
    sink.Write("third", false, kStart);
    CPPUNIT_ASSERT_EQUAL(
        std::string("first\n{\"level\":\"warning\",\"event\":\"log_lines_dropped\","
                    "\"count\":1}\nthird\n"),
        this->Read());
  }

 private:
  std::string Read() const {
    std::array<char, 4096> bytes{};
    const ssize_t length = read(this->pipe_ends[0], bytes.data(), bytes.size());
    return length > 0 ? std::string(bytes.data(), static_cast<std::size_t>(length)) : "";
  }

  static constexpr TimePoint kStart{std::chrono::seconds(100)};
  std::array<int, 2> pipe_ends{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogSinkTest);

}  // namespace
}  // namespace limpetfall
