#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <set>
#include <string>

#include "harness/net.h"

namespace limpetfall::testing {
namespace {

class FreeAddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreeAddressTest);
  CPPUNIT_TEST(AddressesOfOneProcessDiffer);
  CPPUNIT_TEST(AddressOfBoundPortIsNotGiven);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a node of a test that has two equal addresses and can never start.
  void AddressesOfOneProcessDiffer() {
    constexpr int kAddresses = 4000;
    std::set<std::string> ports;
    for (int i = 0; i < kAddresses; ++i) {
      const std::string address = FreeAddress(i % 2 == 0 ? "127.0.0.1" : "127.0.0.2");
      CPPUNIT_ASSERT(ports.insert(address.substr(address.rfind(':'))).second);
    }
  }

  void AddressOfBoundPortIsNotGiven() {
    const std::string first = FreeAddress();
    const int next = std::stoi(first.substr(first.rfind(':') + 1)) + 1;
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io, boost::asio::ip::tcp::v4());
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.2"),
                                                  static_cast<std::uint16_t>(next));
    boost::system::error_code already_used;
    socket.bind(endpoint, already_used);
    CPPUNIT_ASSERT(FreeAddress() != "127.0.0.1:" + std::to_string(next));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreeAddressTest);

}  // namespace
}  // namespace limpetfall::testing
