#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <string>

#include "harness/gateway-process-fixture.h"

namespace limpetfall::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Crowds and bounds. The settings of these tests give a process 40 MB and 200 descriptors.
constexpr int kCrowd = 60;
constexpr std::size_t kBodyBytes = 1 << 20;
constexpr int kManyConnections = 300;
constexpr std::size_t kMaxDescriptors = 200;
#ifdef __SANITIZE_ADDRESS__
// AddressSanitizer keeps freed memory for a while.
constexpr double kMaxGrowthMb = 48;
#else
constexpr double kMaxGrowthMb = 24;
#endif

/** A real gateway process against callers that keep to no limits. Each test checks that the process
 * lives, that its memory and descriptors stay within bounds, and that it serves an ordinary request
 * afterwards, while the crowd is still connected. */
class UntrustedCallersIntegrationTest : public GatewayProcessFixture {
  CPPUNIT_TEST_SUITE(UntrustedCallersIntegrationTest);
  CPPUNIT_TEST(AnnouncedBodiesThatStopShortOfTheirEnd);
  CPPUNIT_TEST(LargeChunksThatStopShortOfTheirEnd);
  CPPUNIT_TEST(ManySmallChunksThatStopShortOfTheirEnd);
  CPPUNIT_TEST(BodiesFarOverTheLimit);
  CPPUNIT_TEST(ChunkExtensionsAndTrailersWithoutEnd);
  CPPUNIT_TEST(IdleConnections);
  CPPUNIT_TEST(HeadsThatStopShortOfTheirEnd);
  CPPUNIT_TEST(PipelinedRequestsWhoseResponsesAreNotRead);
  CPPUNIT_TEST(IdleConnectionsAtOtherListeners);
  CPPUNIT_TEST(LargeBodyIsServedWithoutCrowd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    GatewayProcessFixture::setUp();
    this->further_limits = "memory_mb = 40\nmax_descriptors = 200\n";
    this->StartProcesses(1);
    this->memory_before = this->MemoryMb();
  }

  void tearDown() override {
    this->crowd.clear();
    GatewayProcessFixture::tearDown();
  }

  // Guards against a process that runs out of memory because it keeps bodies which never end.
  void AnnouncedBodiesThatStopShortOfTheirEnd() {
    const std::string head = Head("Content-Length: " + std::to_string(kBodyBytes) + "\r\n");
    this->SendFromCrowd(kCrowd, head + std::string(kBodyBytes - 100, 'b'));
    this->CheckServes();
  }

  // Guards against the same with a body whose length is not announced.
  void LargeChunksThatStopShortOfTheirEnd() {
    this->SendFromCrowd(kCrowd, Head("Transfer-Encoding: chunked\r\n") + "100000\r\n" +
                                    std::string(kBodyBytes - 1, 'b'));
    this->CheckServes();
  }

  // Guards against an event loop that is kept busy, or memory for each chunk.
  void ManySmallChunksThatStopShortOfTheirEnd() {
    std::string chunks;
    for (int i = 0; i < 100'000; ++i) chunks += "1\r\nb\r\n";
    this->SendFromCrowd(20, Head("Transfer-Encoding: chunked\r\n") + chunks);
    this->CheckServes();
  }

  // Guards against reading bodies that are refused in any case.
  void BodiesFarOverTheLimit() {
    this->SendFromCrowd(kCrowd, Head("Content-Length: 4294967296\r\n") + std::string(65536, 'b'));
    this->SendFromCrowd(kCrowd, Head("Transfer-Encoding: chunked\r\n") + "ffffffff\r\n" +
                                    std::string(kBodyBytes, 'b'));
    this->CheckServes();
  }

  // Guards against parts of a chunked body that have no bound of their own.
  void ChunkExtensionsAndTrailersWithoutEnd() {
    const std::string head = Head("Transfer-Encoding: chunked\r\n");
    this->SendFromCrowd(kCrowd / 2, head + "1;x=" + std::string(kBodyBytes, 'e'));
    this->SendFromCrowd(kCrowd / 2, head + "1\r\nb\r\n0\r\nX: " + std::string(kBodyBytes, 't'));
    this->CheckServes();
  }

  // Guards against a crowd that takes all descriptors and leaves none for upstreams and callers.
  void IdleConnections() {
    this->SendFromCrowd(kManyConnections, "");
    this->CheckServes();
  }

  // Guards against the same by callers that seem about to send a request.
  void HeadsThatStopShortOfTheirEnd() {
    this->SendFromCrowd(kManyConnections, "GET /lookup/1 HTTP/1.1\r\nHost: h\r\nX-Filler: " +
                                              std::string(12'000, 'f'));
    this->CheckServes();
  }

  // Guards against responses that pile up because their callers do not read them.
  void PipelinedRequestsWhoseResponsesAreNotRead() {
    std::string requests;
    for (int i = 0; i < 1000; ++i)
      requests +=
          "GET /none HTTP/1.1\r\nHost: h\r\nX-Request-Id: p" + std::to_string(i) + "\r\n\r\n";
    this->SendFromCrowd(kCrowd, requests);
    this->CheckServes();
  }

  // Guards against a crowd at the listeners for the directory, readiness, metrics and other nodes.
  void IdleConnectionsAtOtherListeners() {
    for (const std::string& address : this->OtherListeners())
      this->SendFromCrowd(kManyConnections / 4, "GET /", address);
    this->CheckServes();
  }

  // Guards against limits that refuse a single request which the configuration allows.
  void LargeBodyIsServedWithoutCrowd() {
    const Answer answer =
        this->SendAndWait("POST", "/order/1", "large", "k1", std::string(kBodyBytes, 'b'));
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    this->CheckServes();
  }

 private:
  static std::string Head(const std::string& framing) {
    return "POST /order/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: x\r\nX-Key: k1\r\n" + framing +
           "\r\n";
  }

  /** Opens connections that stay open, and sends the same bytes on each as far as they are read. */
  void SendFromCrowd(int connections, const std::string& bytes, const std::string& address = "") {
    const std::string target = address.empty() ? this->caller_address : address;
    const auto port = static_cast<std::uint16_t>(std::stoi(PortOf(target)));
    const auto ip = asio::ip::make_address(target.substr(0, target.rfind(':')));
    std::list<std::pair<tcp::socket*, std::size_t>> sending;
    for (int i = 0; i < connections; ++i) {
      tcp::socket& socket = this->crowd.emplace_back(this->crowd_io);
      boost::system::error_code error;
      socket.connect({ip, port}, error);
      if (error) continue;
      socket.non_blocking(true, error);
      sending.emplace_back(&socket, 0);
    }
    // Connections make progress in turn, until all are sent, closed or no longer read.
    for (int idle_rounds = 0; !sending.empty() && idle_rounds < 100; ++idle_rounds) {
      for (auto entry = sending.begin(); entry != sending.end();) {
        boost::system::error_code error;
        const auto rest = asio::buffer(bytes) + entry->second;
        const std::size_t sent = rest.size() == 0 ? 0 : entry->first->write_some(rest, error);
        entry->second += sent;
        if (sent > 0) idle_rounds = 0;
        const bool ended = (error && error != asio::error::would_block) || rest.size() == sent;
        entry = ended ? sending.erase(entry) : std::next(entry);
      }
      this->RunFor(10);
    }
    this->RunFor(300);
  }

  void CheckServes() {
    CPPUNIT_ASSERT(this->processes.front()->running());
    const double growth = this->MemoryMb() - this->memory_before;
    const std::size_t descriptors = this->CountDescriptors();
    std::cout << " growth " << growth << " MB, " << descriptors << " descriptors";
    CPPUNIT_ASSERT(growth <= kMaxGrowthMb);
    CPPUNIT_ASSERT(descriptors <= kMaxDescriptors);
    CPPUNIT_ASSERT_EQUAL(200, this->SendAndWait("GET", "/lookup/1", "ordinary", "k1").status);
    CPPUNIT_ASSERT(this->processes.front()->running());
  }

  [[nodiscard]] std::filesystem::path ProcessFolder() const {
    return "/proc/" + std::to_string(this->processes.front()->pid());
  }

  /** Returns the resident memory of the process. */
  [[nodiscard]] double MemoryMb() const {
    std::ifstream file(this->ProcessFolder() / "status");
    constexpr double kKbPerMb = 1024;
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) / kKbPerMb;
    }
    return 0;
  }

  [[nodiscard]] std::size_t CountDescriptors() const {
    return static_cast<std::size_t>(
        std::distance(std::filesystem::directory_iterator(this->ProcessFolder() / "fd"), {}));
  }

  /** Returns the addresses of the listeners other than that for callers. */
  [[nodiscard]] std::vector<std::string> OtherListeners() const {
    std::ifstream file(this->folder / "p0.toml");
    std::vector<std::string> addresses;
    for (std::string line; std::getline(file, line);) {
      const std::string value = line.substr(line.rfind(' ') + 1);
      if (line.starts_with("peer_port") || line.starts_with("metrics_port"))
        addresses.push_back("127.0.0.1:" + value);
      if (line.starts_with("ready_address") || line.starts_with("directory_address"))
        addresses.push_back(value.substr(1, value.size() - 2));
    }
    return addresses;
  }

  asio::io_context crowd_io;
  std::list<tcp::socket> crowd;
  double memory_before = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UntrustedCallersIntegrationTest);

}  // namespace
}  // namespace limpetfall::testing
