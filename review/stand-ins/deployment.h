#ifndef LIMPETFALL_REVIEW_STAND_INS_DEPLOYMENT_H_
#define LIMPETFALL_REVIEW_STAND_INS_DEPLOYMENT_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "callers.h"
#include "gateway/server-context.h"
#include "gateways.h"
#include "platform.h"
#include "record.h"
#include "runners.h"

namespace limpetfall::review {

/** Arguments of the program of a case: `--record FILE --trouble WORD`. */
struct CaseArguments {
  std::string record_path;
  std::string trouble = "1";  ///< "0": without the disruption; some cases know other words.

  [[nodiscard]] bool disturbed() const { return this->trouble != "0"; }

  static CaseArguments Parse(int argc, char** argv);
};

/** A small deployment on loopback: gateway processes, and stand-ins for everything else. */
class Deployment {
 public:
  Deployment(const CaseArguments& arguments, FleetOptions options);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Starts gateways in turn over the zones. */
  void StartGateways(int count, const std::vector<std::string>& zones);

  /** Starts a runner at an address of its own. */
  void StartRunner(const std::string& id, const std::string& service, const std::string& zone,
                   const std::string& domain, int slots);

  /** Runs the event loop; returns whether the condition became true in time. */
  bool RunUntil(const std::function<bool()>& condition, Milliseconds limit);
  void RunFor(Milliseconds time);

  /** Waits until the platform's readiness check succeeds at all gateways. */
  bool WaitUntilReady(Milliseconds limit);

  void Spawn(boost::asio::awaitable<void> work);

  /** Returns a new request id. */
  std::string NewId();

  ServerContext io;
  Record record;
  Subnet subnet;
  Platform platform;
  Fleet fleet;
  std::vector<std::unique_ptr<Gateway>> gateways;

 private:
  std::string folder;
  int last_runner_host = 100;
  std::mt19937_64 random;
};

}  // namespace limpetfall::review

#endif  // LIMPETFALL_REVIEW_STAND_INS_DEPLOYMENT_H_
