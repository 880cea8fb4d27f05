#ifndef LIMPETFALL_REVIEW_STAND_INS_RUNNERS_H_
#define LIMPETFALL_REVIEW_STAND_INS_RUNNERS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http/server.h"
#include "platform.h"
#include "record.h"

namespace limpetfall::review {

/** A runner's part in a group. */
struct Membership {
  std::string group;
  std::int64_t epoch = 0;
  std::string model;
  std::vector<std::string> members;
  std::string state;  ///< joining, ready, open, closing or broken.

  [[nodiscard]] bool Is(const std::string& name, std::int64_t number) const {
    return this->group == name && this->epoch == number;
  }
};

struct RunnerSpec {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::string domain;  ///< Empty for a plain service.
  int slots = 6;
};

/** How the runners work. */
struct FleetOptions {
  Milliseconds beat{1200};
  Milliseconds load_time{2000};
  Milliseconds warm_time{1100};
  Milliseconds rejoin_time{200};
  Milliseconds form_time{300};
  Milliseconds stall_time{5000};
  Milliseconds event_interval{50};
  int events = 20;
  Milliseconds work_time{60};  ///< Of a request to a plain service.
  int max_staged = 1;
};

/** Stand-ins for the runners of a deployment: model runners that form groups, and plain services.
 */
class Fleet {
 public:
  Fleet(boost::asio::io_context& context, Platform& platform, Record& record, FleetOptions options);

  void Start(const RunnerSpec& spec);

  /** Ends a runner without notice. Its connections break; the platform removes its entry. */
  void Kill(const std::string& id);

  /** Cuts a runner off from the platform and from all nodes, or ends the cut. Its connections to
   * other runners stay. */
  void SetCut(const std::string& id, bool cut);

  /** Stops the liveness reports of a runner that leaves without notice. It continues to serve. */
  void StopReports(const std::string& id);

  /** If it returns true, the order is carried out and gets no answer. */
  std::function<bool(const std::string& runner, const nlohmann::json& order)> loses_answer;

  /** Called when a runner begins to run a request. */
  std::function<void(const std::string& runner, const HttpRequest& request)> on_run;

  /** Returns the status with which a runner of a plain service answers a request that it has run.
   */
  std::function<int(const std::string& runner)> status_of_run;

  /** Called when a runner takes a join of another group while the head of its present group is open
   * or closing, or stands still and is not yet broken. */
  std::function<void(const std::string& runner, const Membership& before, const Membership& after)>
      on_stolen;

  /** Returns the heads of open groups. */
  [[nodiscard]] std::vector<std::string> OpenHeads() const;
  [[nodiscard]] const std::optional<Membership>& MembershipOf(const std::string& id) const {
    return this->runners.at(id)->membership;
  }
  /** Returns whether a runner is at work on a request. */
  [[nodiscard]] bool IsBusy(const std::string& id) const {
    return this->runners.at(id)->active > 0;
  }

 private:
  struct Runner {
    RunnerSpec spec;
    std::unique_ptr<HttpServer> server;
    std::int64_t born = 0;
    std::int64_t orders = 0;
    std::int64_t highest_epoch = 0;
    std::optional<Membership> membership;
    std::string last_model;
    std::vector<std::string> staged;
    Deadline ready_at;  ///< End of the join in progress.
    Deadline open_at;   ///< End of the open in progress.
    std::optional<Deadline> broken_at;
    int active = 0;
    bool alive = true;
    bool cut = false;
    bool reports = true;
    bool listed = false;
    TimePoint last_report;
    std::int64_t beats = 0;
  };

  boost::asio::awaitable<void> Serve(Runner& runner, HttpExchange& exchange);
  boost::asio::awaitable<void> ServeOrder(Runner& runner, HttpExchange& exchange);
  boost::asio::awaitable<void> ServeStream(Runner& runner, HttpExchange& exchange);
  boost::asio::awaitable<void> ServePlain(Runner& runner, HttpExchange& exchange);
  boost::asio::awaitable<void> Reply(Runner& runner, HttpExchange& exchange, int status,
                                     Headers headers, std::string body);
  boost::asio::awaitable<void> Tick();
  void Advance(Runner& runner);
  void Report(Runner& runner);
  [[nodiscard]] int Execute(Runner& runner, const nlohmann::json& order);
  [[nodiscard]] int Join(Runner& runner, const nlohmann::json& order);
  [[nodiscard]] bool IsHead(const Runner& runner) const;
  /** Returns whether all members are in the head's group. */
  [[nodiscard]] bool IsComplete(const Runner& head) const;

  boost::asio::io_context& io;
  Platform& store;
  Record& log;
  FleetOptions options;
  std::map<std::string, std::unique_ptr<Runner>> runners;
};

}  // namespace limpetfall::review

#endif  // LIMPETFALL_REVIEW_STAND_INS_RUNNERS_H_
