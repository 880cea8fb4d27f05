#include "base/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <thread>
#include <vector>

namespace limpetfall {
namespace {

bool ContainsLine(const std::string& text, const std::string& line) {
  return ('\n' + text).find('\n' + line + '\n') != std::string::npos;
}

/**
 * Reads one response and returns its status and body. Pistache keeps the connection open, so the
 * end follows from the length.
 */
std::string FetchMetricsPage(const std::string& address, const std::string& path) {
  namespace beast = boost::beast;
  boost::asio::io_context io;
  beast::tcp_stream stream(io);
  const auto colon = address.rfind(':');
  stream.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                  static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
  beast::http::request<beast::http::empty_body> request(beast::http::verb::get, path, 11);
  beast::http::write(stream, request);
  beast::flat_buffer buffer;
  beast::http::response<beast::http::string_body> response;
  beast::http::read(stream, buffer, response);
  return std::to_string(response.result_int()) + '\n' + response.body();
}

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(TextFollowsTheExpositionFormat);
  CPPUNIT_TEST(HistogramBucketsAreCumulative);
  CPPUNIT_TEST(LabelSetsAreBounded);
  CPPUNIT_TEST(FirstUseFixesMetricKind);
  CPPUNIT_TEST(ConcurrentAddsAreAllCounted);
  CPPUNIT_TEST(ServerServesOnlyMetricsPath);
  CPPUNIT_TEST(PortInUseYieldsError);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against label values that break the exposition format.
  void TextFollowsTheExpositionFormat() {
    const auto metrics = Metrics::Create();
    metrics->Add("requests_total", {{"team", "a\"b\\c\nd"}, {"class", "x"}}, 2);
    metrics->Add("requests_total", {{"team", "a\"b\\c\nd"}, {"class", "x"}});
    metrics->Set("queue length", {}, 1.5);
    CPPUNIT_ASSERT_EQUAL(std::string("# TYPE queue_length gauge\nqueue_length 1.5\n"
                                     "# TYPE requests_total counter\n"
                                     "requests_total{class=\"x\",team=\"a\\\"b\\\\c\\nd\"} 3\n"),
                         metrics->Text());
  }

  void HistogramBucketsAreCumulative() {
    const auto metrics = Metrics::Create();
    for (const double seconds : {0.0, 0.00005, 0.5, 0.5, 5000.0}) {
      metrics->Observe("wait_seconds", {{"team", "t"}}, seconds);
    }
    const std::string text = metrics->Text();
    CPPUNIT_ASSERT(ContainsLine(text, "wait_seconds_bucket{team=\"t\",le=\"0.1\"} 2"));
    CPPUNIT_ASSERT(ContainsLine(text, "wait_seconds_bucket{team=\"t\",le=\"1\"} 4"));
    CPPUNIT_ASSERT(ContainsLine(text, "wait_seconds_bucket{team=\"t\",le=\"+Inf\"} 5"));
    CPPUNIT_ASSERT(ContainsLine(text, "wait_seconds_count{team=\"t\"} 5"));
  }

  // Guards against unbounded memory when callers choose label values.
  void LabelSetsAreBounded() {
    const auto metrics = Metrics::Create();
    for (int i = 0; i < 10000; ++i) metrics->Add("calls_total", {{"team", std::to_string(i)}});
    const std::string text = metrics->Text();
    CPPUNIT_ASSERT(std::count(text.begin(), text.end(), '\n') <= 258);
    CPPUNIT_ASSERT(ContainsLine(text, "calls_total{team=\"other\"} 9744"));
  }

  void FirstUseFixesMetricKind() {
    const auto metrics = Metrics::Create();
    metrics->Add("a", {}, 1);
    metrics->Set("a", {}, 9);
    CPPUNIT_ASSERT(ContainsLine(metrics->Text(), "a 1"));
  }

  void ConcurrentAddsAreAllCounted() {
    const auto metrics = Metrics::Create();
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
      threads.emplace_back([&] {
        for (int i = 0; i < 5000; ++i) metrics->Add("n_total", {});
      });
    }
    threads.clear();
    CPPUNIT_ASSERT(ContainsLine(metrics->Text(), "n_total 20000"));
  }

  void ServerServesOnlyMetricsPath() {
    const auto metrics = Metrics::Create();
    metrics->Add("served_total", {});
    const auto server = MetricsServer::Create("127.0.0.1:0", metrics);
    CPPUNIT_ASSERT(server.has_value());
    const std::string response = FetchMetricsPage(server.value()->address(), "/metrics");
    CPPUNIT_ASSERT_EQUAL("200\n" + metrics->Text(), response);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         FetchMetricsPage(server.value()->address(), "/other").find("404"));
  }

  void PortInUseYieldsError() {
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor other(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::string address = "127.0.0.1:" + std::to_string(other.local_endpoint().port());
    CPPUNIT_ASSERT(!MetricsServer::Create(address, Metrics::Create()).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace
}  // namespace limpetfall
