#include <pistache/endpoint.h>

#include "base/metrics.h"

namespace limpetfall {
namespace {

class MetricsHandler : public Pistache::Http::Handler {
 public:
  HTTP_PROTOTYPE(MetricsHandler)

  explicit MetricsHandler(std::shared_ptr<const Metrics> source) : metrics(std::move(source)) {}

  void onRequest(const Pistache::Http::Request& request,
                 Pistache::Http::ResponseWriter response) override {
    if (request.resource() != "/metrics") {
      response.send(Pistache::Http::Code::Not_Found, "only /metrics is served here\n");
      return;
    }
    if (request.method() != Pistache::Http::Method::Get) {
      response.send(Pistache::Http::Code::Method_Not_Allowed, "use GET\n");
      return;
    }
    response.send(Pistache::Http::Code::Ok, this->metrics->Text(),
                  Pistache::Http::Mime::MediaType::fromString("text/plain; version=0.0.4"));
  }

 private:
  std::shared_ptr<const Metrics> metrics;
};

class PistacheServer : public MetricsServer {
 public:
  PistacheServer(const std::string& address, std::shared_ptr<const Metrics> metrics)
      : endpoint(Pistache::Address(address)), host(Pistache::Address(address).host()) {
    this->endpoint.init(Pistache::Http::Endpoint::options()
                            .threads(1)
                            .flags(Pistache::Tcp::Options::ReuseAddr)
                            .maxRequestSize(16 << 10)
                            .maxResponseSize(16 << 20));
    this->endpoint.setHandler(std::make_shared<MetricsHandler>(std::move(metrics)));
    this->endpoint.serveThreaded();
  }

  ~PistacheServer() override { this->endpoint.shutdown(); }

  [[nodiscard]] std::string address() const override {
    return this->host + ':' + std::to_string(this->endpoint.getPort());
  }

  PistacheServer(const PistacheServer&) = delete;
  PistacheServer& operator=(const PistacheServer&) = delete;

 private:
  Pistache::Http::Endpoint endpoint;
  std::string host;
};

}  // namespace

Result<std::unique_ptr<MetricsServer>> MetricsServer::Create(
    const std::string& address, std::shared_ptr<const Metrics> metrics) {
  try {
    return std::make_unique<PistacheServer>(address, std::move(metrics));
  } catch (const std::exception& error) {
    return NotRun(ErrorCode::kUnavailable,
                  "cannot serve metrics at " + address + ": " + error.what());
  }
}

}  // namespace limpetfall
