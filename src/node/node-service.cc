#include "node/node-service.h"

#include <kj/exception.h>

#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <future>
#include <thread>
#include <utility>

#include "base/log.h"
#include "node/node-loop.h"

namespace limpetfall {
namespace {

using detail::DeferredResult;
using detail::Mailbox;
using detail::NodeLoop;
using detail::NodeTable;

/** Logs the messages of the RPC library, which by default prints them to standard error. */
class RpcLogForwarder : public kj::ExceptionCallback {
 public:
  void logMessage(kj::LogSeverity severity, const char*, int, int, kj::String&& text) override {
    const bool is_error = severity >= kj::LogSeverity::ERROR;
    Log(is_error ? LogLevel::kWarning : LogLevel::kDebug, "rpc_library", {{"text", text.cStr()}});
  }

  // The library would start a process to resolve the symbols of a stack trace.
  StackTraceMode stackTraceMode() override { return StackTraceMode::NONE; }
};

/** Suspends the calling coroutine and runs `start` with a callback that resumes it on its own
 * executor. */
template <typename T>
boost::asio::awaitable<T> Await(std::function<void(std::function<void(T)>)> start) {
  auto initiate = [](auto handler, std::function<void(std::function<void(T)>)> begin) {
    auto resume = std::make_shared<decltype(handler)>(std::move(handler));
    auto executor = boost::asio::get_associated_executor(*resume);
    auto work = boost::asio::make_work_guard(executor);
    begin([resume, work](T value) {
      boost::asio::post(work.get_executor(), [resume, value = std::move(value)]() mutable {
        (*resume)(std::move(value));
      });
    });
  };
  co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&, void(T)>(
      initiate, boost::asio::use_awaitable, std::move(start));
}

class NodeServiceThread : public NodeService {
 public:
  NodeServiceThread(NodeServiceOptions settings, SharedState& shared_state,
                    std::shared_ptr<Metrics> metrics_registry)
      : options(std::move(settings)), state(shared_state), metrics(std::move(metrics_registry)) {}

  ~NodeServiceThread() override {
    this->Post([](NodeLoop& node_loop) { node_loop.Stop(); });
    if (this->thread.joinable()) this->thread.join();
  }

  NodeServiceThread(const NodeServiceThread&) = delete;
  NodeServiceThread& operator=(const NodeServiceThread&) = delete;

  Result<void> Start() {
    this->state.AddListener(
        [this, mailbox = this->mailbox](const SharedEntry& entry, Urgency urgency) {
          if (urgency != Urgency::kUrgent) return;
          const bool from_network = NodeLoop::IsStoringFromNetwork();
          // The mailbox is closed before this service is destroyed, even if the listener is called
          // later.
          mailbox->Post([=, this] { this->loop->QueueUrgent(entry, from_network); });
        });
    std::promise<Result<void>> started;
    auto result = started.get_future();
    this->thread = std::thread([this, &started] { this->Run(started); });
    return result.get();
  }

  [[nodiscard]] std::string address() const override { return this->table->Self().node_address; }

  boost::asio::awaitable<int> PushAndWait(SharedEntry entry, Deadline deadline) override {
    this->state.Put(entry, Urgency::kNormal, Clock::now());
    return this->PushToAll(std::move(entry), deadline);
  }

  [[nodiscard]] std::vector<NodeInfo> Members() const override {
    return this->table->WithMembership([](const Membership& core) { return core.Members(); });
  }

  [[nodiscard]] std::vector<NodeId> ReachableMembers(Milliseconds window) const override {
    return this->table->NodesContactedSince(Clock::now() - window);
  }

  [[nodiscard]] std::optional<NodeId> OwnerOf(const DomainId& domain) const override {
    return this->table->WithMembership(
        [&](const Membership& core) { return core.OwnerOf(domain); });
  }

  [[nodiscard]] std::vector<std::string> CallerAddresses(const ZoneId& zone) const override {
    return this->table->WithMembership(
        [&](const Membership& core) { return core.CallerAddresses(zone); });
  }

  void SetLeaving() override {
    const auto actions = this->StartLeaving();
    this->Post([actions](NodeLoop& node_loop) { node_loop.Perform(actions); });
  }

  boost::asio::awaitable<int> AnnounceLeaving(Deadline deadline) override {
    this->StartLeaving();
    return this->PushToAll(detail::MemberEntry(this->table->Self(), Clock::now()), deadline);
  }

  void AddSeeds(std::vector<std::string> addresses) override {
    this->Post(
        [addresses = std::move(addresses)](NodeLoop& node_loop) { node_loop.AddSeeds(addresses); });
  }

  boost::asio::awaitable<Sections> FetchSections(std::vector<std::string> digests,
                                                 Deadline deadline) override {
    return Await<Sections>([this, digests = std::move(digests), deadline](auto done) {
      auto found = std::make_shared<DeferredResult<Sections>>(std::move(done));
      this->Post([=](NodeLoop& node_loop) { node_loop.Fetch(digests, deadline, found); });
    });
  }

  [[nodiscard]] NodeTraffic Traffic() const override {
    return {this->counters.sent, this->counters.received};
  }

 private:
  MembershipActions StartLeaving() {
    const TimePoint now = Clock::now();
    return this->table->WithMembership([now](Membership& core) { return core.SetLeaving(now); });
  }

  boost::asio::awaitable<int> PushToAll(SharedEntry entry, Deadline deadline) {
    return Await<int>([this, entry = std::move(entry), deadline](auto done) {
      auto acknowledged = std::make_shared<DeferredResult<int>>(std::move(done));
      this->Post([=](NodeLoop& node_loop) { node_loop.PushToAll(entry, deadline, acknowledged); });
    });
  }

  /** Runs the task on the loop's thread, or discards it if the loop has stopped. */
  void Post(std::function<void(NodeLoop&)> task) {
    this->mailbox->Post([this, task = std::move(task)] { task(*this->loop); });
  }

  Result<void> CreateTable(unsigned port) {
    NodeInfo& self = this->options.self;
    self.node_address =
        self.node_address.substr(0, self.node_address.rfind(':') + 1) + std::to_string(port);
    if (!this->options.advertised_address.empty()) {
      self.node_address = this->options.advertised_address;
    }
    if (self.incarnation == 0) {
      const auto time = std::chrono::system_clock::now().time_since_epoch();
      self.incarnation =
          static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(time).count());
    }
    BOOST_OUTCOME_TRY(auto core,
                      Membership::Create(self, this->options.membership,
                                         std::mt19937_64(this->options.random_seed), Clock::now()));
    this->table = std::make_unique<NodeTable>(this->state, std::move(core));
    return success();
  }

  void Run(std::promise<Result<void>>& started) {
    const RpcLogForwarder messages;
    bool running = false;
    try {
      auto io = kj::setupAsyncIo();
      auto& network = io.provider->getNetwork();
      auto address = network.parseAddress(this->options.self.node_address).wait(io.waitScope);
      auto listener = address->listen();
      if (auto created = this->CreateTable(listener->getPort()); !created.has_value()) {
        return started.set_value(std::move(created));
      }
      NodeLoop node_loop(io, this->options, *this->table, this->counters, *this->mailbox,
                         *this->metrics);
      this->loop = &node_loop;
      running = true;
      started.set_value(success());
      node_loop.Run(kj::mv(listener));
    } catch (const kj::Exception& exception) {
      const std::string reason = exception.getDescription().cStr();
      if (running) Log(LogLevel::kError, "node_loop_failed", {{"reason", reason}});
      if (!running) started.set_value(NotRun(ErrorCode::kUnavailable, reason));
    }
    this->mailbox->Close();
  }

  NodeServiceOptions options;
  SharedState& state;
  std::shared_ptr<Metrics> metrics;
  detail::TrafficCounters counters;
  std::unique_ptr<NodeTable> table;
  std::shared_ptr<Mailbox> mailbox = std::make_shared<Mailbox>();
  NodeLoop* loop = nullptr;  ///< Used on the loop's thread only.
  std::thread thread;
};

}  // namespace

Result<std::unique_ptr<NodeService>> NodeService::Create(NodeServiceOptions options,
                                                         SharedState& state,
                                                         std::shared_ptr<Metrics> metrics) {
  const std::string& address = options.self.node_address;
  if (address.empty() || address.find_first_not_of("0123456789.:") != std::string::npos) {
    return NotRun(ErrorCode::kInvalidArgument, "node address \"" + address + "\" is not IP:port");
  }
  auto service = std::make_unique<NodeServiceThread>(std::move(options), state, std::move(metrics));
  BOOST_OUTCOME_TRY(service->Start());
  return std::unique_ptr<NodeService>(std::move(service));
}

}  // namespace limpetfall
