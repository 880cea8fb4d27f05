#ifndef LIMPETFALL_TEST_HARNESS_NET_H_
#define LIMPETFALL_TEST_HARNESS_NET_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <exception>
#include <functional>
#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace limpetfall::testing {

/** Returns an address with this IP of loopback whose port no program uses on any IP. A process gets
 * no port twice before it has had all of them. */
std::string FreeAddress(const std::string& ip = "127.0.0.1");

/** An io_context with threads that run it until destruction. */
class IoThreads {
 public:
  explicit IoThreads(int count = 2) : guard(boost::asio::make_work_guard(this->context)) {
    for (int i = 0; i < count; ++i) this->threads.emplace_back([this] { this->context.run(); });
  }
  ~IoThreads() {
    this->context.stop();
    for (std::thread& thread : this->threads) thread.join();
  }
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  [[nodiscard]] boost::asio::io_context& io() { return this->context; }

  /** Runs the coroutine on the threads, blocks until it ends and returns its value. */
  template <typename T>
  T Run(boost::asio::awaitable<T> coroutine) {
    std::optional<T> value;
    std::promise<void> done;
    boost::asio::co_spawn(this->context, Store(std::move(coroutine), value),
                          [&done](const std::exception_ptr& thrown) {
                            if (thrown) return done.set_exception(thrown);
                            done.set_value();
                          });
    done.get_future().get();
    return std::move(value).value();
  }

 private:
  // A spawned coroutine needs a default-constructible result type, which `Result` is not.
  template <typename T>
  static boost::asio::awaitable<void> Store(boost::asio::awaitable<T> coroutine,
                                            std::optional<T>& value) {
    value.emplace(co_await std::move(coroutine));
  }

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
  std::vector<std::thread> threads;
};

/** Waits until the condition holds. Returns false if it does not within 5 s. */
bool Eventually(const std::function<bool()>& condition);

/** A blocking client connection that sends bytes unchanged. Reads time out after 5 s. */
class RawClient {
 public:
  explicit RawClient(const std::string& address);

  void Send(std::string_view bytes);
  void ShutDownSend();

  /** Reads up to and including `delimiter`, or to the end of the connection. */
  std::string ReadUntil(std::string_view delimiter);
  std::string ReadAll() { return this->ReadUntil({}); }

 private:
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket;
  std::string received;
};

/** One connection that a `ScriptedPeer` has accepted. */
class PeerConnection {
 public:
  PeerConnection(boost::asio::ip::tcp::socket accepted, int number)
      : socket(std::move(accepted)), connection_number(number) {}

  /** Index of the connection in the order of acceptance, from 0. */
  [[nodiscard]] int number() const { return this->connection_number; }

  /** Reads one request with its body. Returns an empty string if the peer closed the connection. */
  std::string ReadRequest();
  void Write(std::string_view bytes);
  void ShutDown();

 private:
  boost::asio::ip::tcp::socket socket;
  std::string received;
  int connection_number;
};

/** A server on loopback that runs a blocking script for each connection, each on its own thread. */
class ScriptedPeer {
 public:
  explicit ScriptedPeer(std::function<void(PeerConnection&)> script);
  ~ScriptedPeer();
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;

  [[nodiscard]] std::string address() const;

 private:
  void Accept();

  std::function<void(PeerConnection&)> script;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::mutex mutex;
  std::vector<std::shared_ptr<PeerConnection>> connections;  ///< Guarded by `mutex`.
  std::vector<std::thread> threads;                          ///< Accessed only by `Accept`.
  std::thread accept_thread;
};

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_NET_H_
