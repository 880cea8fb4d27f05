#include "daemon/admission-gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Capacity = AdmissionGate::Capacity;

/** State shared by the requests of one test. */
struct SharedTestState {
  std::shared_ptr<AdmissionGate> gate;
  Capacity capacity_without_slot = Capacity::kFull;
  int slots = 0;
  std::atomic<int> in_service{0};
  std::atomic<int> max_in_service{0};
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> tasks{0};
};

/** Counts a request as finished on every exit from its coroutine. */
struct TaskGuard {
  SharedTestState& shared;
  ~TaskGuard() { --this->shared.tasks; }
};

asio::awaitable<void> Serve(SharedTestState& shared, milliseconds deadline, bool is_retry) {
  const TaskGuard guard{shared};
  AdmissionRequest request;
  request.team = TeamName("a");
  request.lane = "folds/1";
  request.deadline = Clock::now() + deadline;
  request.is_retry = is_retry;
  const AdmissionGate::TryStart try_start = [&shared] {
    if (shared.in_service >= shared.slots) return shared.capacity_without_slot;
    const int count = ++shared.in_service;
    shared.max_in_service = std::max(shared.max_in_service.load(), count);
    return Capacity::kAcquired;
  };
  auto slot = co_await shared.gate->Wait(request, try_start);
  if (!slot) {
    ++shared.refused;
    co_return;
  }
  asio::steady_timer timer(co_await asio::this_coro::executor, milliseconds(1));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  ++shared.served;
  --shared.in_service;
}

class AdmissionGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionGateTest);
  CPPUNIT_TEST(AllWaitingRequestsAreServed);
  CPPUNIT_TEST(RequestWithoutCapacityIsRefusedAtItsDeadline);
  CPPUNIT_TEST(RequestWithoutUpstreamIsRefusedBeforeItsDeadline);
  CPPUNIT_TEST(CancelledRequestIsRemovedFromTheQueue);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against lost wake-ups and exceeded upstream limits when several threads end requests.
  void AllWaitingRequestsAreServed() {
    this->shared.slots = 3;
    this->Spawn(400, milliseconds(20000), true);
    this->Run(4, std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(400, this->shared.served.load());
    CPPUNIT_ASSERT_EQUAL(3, this->shared.max_in_service.load());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->shared.gate->queued());
  }

  // Guards against requests that wait beyond their deadline while no capacity is available.
  void RequestWithoutCapacityIsRefusedAtItsDeadline() {
    this->Spawn(10, milliseconds(100), false);
    const TimePoint before = Clock::now();
    this->Run(1, std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(10, this->shared.refused.load());
    CPPUNIT_ASSERT(Clock::now() - before < milliseconds(1000));
  }

  // Guards against requests that wait until their deadline at a node without upstreams.
  void RequestWithoutUpstreamIsRefusedBeforeItsDeadline() {
    this->shared.capacity_without_slot = Capacity::kNoUpstream;
    this->Spawn(10, milliseconds(20000), false);
    this->Run(1, std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(10, this->shared.refused.load());
  }

  // Guards against queue entries that remain after their callers have disconnected.
  void CancelledRequestIsRemovedFromTheQueue() {
    std::vector<std::unique_ptr<asio::cancellation_signal>> signals;
    this->shared.tasks = 10;
    for (int i = 0; i < 10; ++i) {
      signals.push_back(std::make_unique<asio::cancellation_signal>());
      asio::co_spawn(this->io, Serve(this->shared, milliseconds(20000), true),
                     asio::bind_cancellation_slot(signals.back()->slot(), asio::detached));
    }
    asio::steady_timer timer(this->io, milliseconds(50));
    timer.async_wait([&](boost::system::error_code) {
      for (auto& signal : signals) signal->emit(asio::cancellation_type::terminal);
    });
    this->Run(1, std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(0, this->shared.tasks.load());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->shared.gate->queued());
  }

  void setUp() override { this->shared.gate = AdmissionGate::Create(this->io.get_executor(), {}); }

 private:
  void Spawn(int count, milliseconds deadline, bool is_retry) {
    this->shared.tasks = count;
    for (int i = 0; i < count; ++i) {
      asio::co_spawn(asio::make_strand(this->io), Serve(this->shared, deadline, is_retry),
                     asio::detached);
    }
  }

  void Run(int threads, std::chrono::seconds limit) {
    const TimePoint end = Clock::now() + limit;
    std::vector<std::jthread> pool;
    pool.reserve(static_cast<std::size_t>(threads));
    for (int i = 0; i < threads; ++i) {
      pool.emplace_back([&] {
        while (this->shared.tasks > 0 && Clock::now() < end) this->io.run_one_for(milliseconds(20));
      });
    }
  }

  asio::io_context io;
  SharedTestState shared;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionGateTest);

}  // namespace
}  // namespace limpetfall
