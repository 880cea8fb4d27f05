#include "core/gateway-config.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace limpetfall {
namespace {

class GatewayConfigTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayConfigTest);
  CPPUNIT_TEST(LongestMatchingPrefixOfHostIsChosen);
  CPPUNIT_TEST(QueryIsIgnored);
  CPPUNIT_TEST(HostMatchIgnoresPortAndCase);
  CPPUNIT_TEST(UnknownHostOrPathReturnsNoRoute);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests routed by a shorter prefix of the same host.
  void LongestMatchingPrefixOfHostIsChosen() {
    const RouteTable table = Table();
    CPPUNIT_ASSERT_EQUAL(std::string("narrow"), table.Find("a.example", "/x/y/1")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("wide"), table.Find("a.example", "/x/z")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), table.Find("b.example", "/x/y/1")->name);
  }

  // Guards against a route chosen by the query string.
  void QueryIsIgnored() {
    CPPUNIT_ASSERT_EQUAL(std::string("wide"), Table().Find("a.example", "/x/?p=/x/y/")->name);
  }

  // Guards against a 404 for a configured host.
  void HostMatchIgnoresPortAndCase() {
    CPPUNIT_ASSERT_EQUAL(std::string("wide"), Table().Find("A.Example:8080", "/x/")->name);
  }

  // Guards against requests that reach a service without a configured route.
  void UnknownHostOrPathReturnsNoRoute() {
    CPPUNIT_ASSERT(Table().Find("c.example", "/x/") == nullptr);
    CPPUNIT_ASSERT(Table().Find("a.example", "/xy/") == nullptr);
    CPPUNIT_ASSERT(Table().Find("", "") == nullptr);
  }

 private:
  static RouteTable Table() {
    auto config = std::make_shared<GatewayConfig>();
    for (const auto& [name, host, prefix] :
         {std::array{"wide", "a.example", "/x/"}, std::array{"narrow", "a.example", "/x/y/"},
          std::array{"other", "b.example", "/"}}) {
      Route route;
      route.name = name;
      route.host = host;
      route.prefix = prefix;
      config->routes.push_back(route);
    }
    return RouteTable(config);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayConfigTest);

}  // namespace
}  // namespace limpetfall
