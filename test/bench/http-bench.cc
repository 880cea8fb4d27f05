#include <sys/resource.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "harness/net.h"
#include "http/client.h"
#include "http/server.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using Microseconds = std::chrono::duration<double, std::micro>;

constexpr std::size_t kRequestBytes = 300;
constexpr std::size_t kAnswerBytes = 300;
constexpr int kTokens = 200;

double ProcessorMicroseconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec);
  return seconds * 1e6 + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/** Measures one scenario and prints the latency and processor time of each operation. */
class Measurement {
 public:
  explicit Measurement(std::string scenario)
      : name(std::move(scenario)), start(Clock::now()), processor_start(ProcessorMicroseconds()) {}

  void Print(std::vector<double> latencies, std::size_t operations) const {
    const double wall = Microseconds(Clock::now() - this->start).count();
    const double used = ProcessorMicroseconds() - this->processor_start;
    const auto count = static_cast<double>(operations);
    std::sort(latencies.begin(), latencies.end());
    std::printf("%-34s %9.1f %9.1f %11.1f %12.0f\n", this->name.c_str(),
                latencies[latencies.size() / 2], latencies[latencies.size() * 99 / 100],
                used / count, count / wall * 1e6);
  }

 private:
  std::string name;
  TimePoint start;
  double processor_start;
};

/** Measures the lower bound for two threads on loopback: blocking sockets without HTTP. */
void MeasureSockets(int requests) {
  testing::ScriptedPeer peer([](testing::PeerConnection& connection) {
    const std::string answer(kAnswerBytes, 'a');
    while (!connection.ReadRequest().empty()) connection.Write(answer + ".");
  });
  testing::RawClient client(peer.address());
  const std::string request = "GET / HTTP/1.1\r\nContent-Length: " + std::to_string(kRequestBytes) +
                              "\r\n\r\n" + std::string(kRequestBytes, 'a');
  std::vector<double> latencies;
  const Measurement measurement("blocking sockets, 1 at a time");
  for (int i = 0; i < requests; ++i) {
    const TimePoint begin = Clock::now();
    client.Send(request);
    client.ReadUntil(".");
    latencies.push_back(Microseconds(Clock::now() - begin).count());
  }
  measurement.Print(latencies, latencies.size());
}

asio::awaitable<void> ServeRequest(HttpExchange& exchange) {
  if (exchange.request().target == "/") {
    HttpResponse response;
    response.status = 200;
    response.body = std::string(kAnswerBytes, 'a');
    [[maybe_unused]] const auto sent = co_await exchange.Send(std::move(response));
    co_return;
  }
  const std::string event(100, 'a');
  Result<void> written = co_await exchange.StartStream(200, {});
  for (int i = 0; i < kTokens && written; ++i) written = co_await exchange.WriteChunk(event);
  if (written) written = co_await exchange.FinishStream();
}

HttpRequest RequestTo(const std::string& address, const std::string& target) {
  HttpRequest request;
  request.method = "POST";
  request.address = address;
  request.target = target;
  request.body = std::string(kRequestBytes, 'a');
  return request;
}

asio::awaitable<std::vector<double>> MeasureFetches(HttpClient& client, std::string address,
                                                    int requests) {
  std::vector<double> latencies;
  for (int i = 0; i < requests; ++i) {
    const TimePoint begin = Clock::now();
    HttpRequest request = RequestTo(address, "/");
    const auto answer = co_await client.Fetch(std::move(request), begin + Milliseconds(5000));
    if (!answer) throw std::runtime_error(answer.error().message);
    latencies.push_back(Microseconds(Clock::now() - begin).count());
  }
  co_return latencies;
}

asio::awaitable<std::vector<double>> MeasureStreams(HttpClient& client, std::string address,
                                                    int streams) {
  std::vector<double> latencies;
  for (int i = 0; i < streams; ++i) {
    const TimePoint begin = Clock::now();
    HttpRequest request = RequestTo(address, "/stream");
    auto stream = co_await client.Open(std::move(request), begin + Milliseconds(5000));
    if (!stream) throw std::runtime_error(stream.error().message);
    for (bool more = true; more;) {
      const auto bytes = co_await stream.value()->Read(begin + Milliseconds(5000));
      if (!bytes) throw std::runtime_error(bytes.error().message);
      more = bytes.value().has_value();
    }
    latencies.push_back(Microseconds(Clock::now() - begin).count());
  }
  co_return latencies;
}

void Measure(int requests) {
  std::printf("%-34s %9s %9s %11s %12s\n", "each operation", "p50 us", "p99 us", "cpu us", "per s");
  MeasureSockets(requests);
  testing::IoThreads threads(2);
  testing::IoThreads server_threads(2);
  const auto server =
      HttpServer::Create(server_threads.io(), "127.0.0.1:0", &ServeRequest, {}).value();
  const auto client = HttpClient::Create({}).value();
  const std::string address = server->address();
  threads.Run(MeasureFetches(*client, address, 200));
  {
    const Measurement measurement("client and server, 1 at a time");
    const auto latencies = threads.Run(MeasureFetches(*client, address, requests));
    measurement.Print(latencies, latencies.size());
  }
  {
    const Measurement measurement("client and server, 32 at a time");
    std::vector<std::vector<double>> latencies_by_worker(32);
    std::vector<std::thread> workers;
    workers.reserve(latencies_by_worker.size());
    for (auto& own_latencies : latencies_by_worker) {
      workers.emplace_back(
          [&] { own_latencies = threads.Run(MeasureFetches(*client, address, requests / 16)); });
    }
    std::vector<double> latencies;
    for (std::thread& worker : workers) worker.join();
    for (const auto& own_latencies : latencies_by_worker)
      latencies.insert(latencies.end(), own_latencies.begin(), own_latencies.end());
    measurement.Print(latencies, latencies.size());
  }
  {
    const Measurement measurement("chunk of a stream of 200");
    auto latencies = threads.Run(MeasureStreams(*client, address, std::max(1, requests / 20)));
    for (double& latency : latencies) latency /= kTokens;
    measurement.Print(latencies, latencies.size() * kTokens);
  }
}

}  // namespace
}  // namespace limpetfall

int main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Measures the latency and processor time that HttpClient and HttpServer add on loopback");
  TCLAP::ValueArg<int> requests("", "requests", "requests of each scenario", false, 10000, "number",
                                command);
  command.parse(argc, argv);
  limpetfall::Measure(requests.getValue());
}
