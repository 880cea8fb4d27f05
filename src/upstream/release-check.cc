#include "upstream/release-check.h"

#include <algorithm>
#include <boost/asio/async_result.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "upstream/engine-control.h"
#include "upstream/join.h"

// g++ 12 inlines Asio's operator new of a coroutine frame but not its operator delete, and then
// takes the pair for a mismatch.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

// A report request that takes longer is repeated on another connection, because an open connection
// may stall while new ones work.
constexpr Milliseconds kAttemptTimeout{500};
constexpr Milliseconds kRetryDelay{20};
// A refused connection means that the engine has ended, unless the network was interrupted briefly.
constexpr int kRefusedAttempts = 3;

Error GroupChanged(const GroupMember& member, const std::string& what) {
  return MayHaveRun(ErrorCode::kUpstreamLost, "member " + member.vm.value + ": " + what);
}

Result<void> CompareReport(const GroupSummary& group, const GroupMember& member,
                           const VmReport& report) {
  if (report.vm != member.vm) return GroupChanged(member, "the report is from another VM");
  if (report.instance != member.instance) return GroupChanged(member, "engine was restarted");
  if (report.group != group.group || report.generation != group.generation) {
    return GroupChanged(member, "reports group " + report.group.value + " at generation " +
                                    std::to_string(report.generation));
  }
  return success();
}

awaitable<Result<void>> CheckMember(std::shared_ptr<HttpClient> client, GroupSummary group,
                                    GroupMember member, Deadline deadline) {
  int refused = 0;
  while (Clock::now() < deadline) {
    const Deadline attempt = std::min(deadline, Clock::now() + kAttemptTimeout);
    auto report = co_await FetchReport(*client, member.address, attempt);
    if (report) co_return CompareReport(group, member, report.value());
    if (report.error().code == ErrorCode::kUnavailable &&
        report.error().verdict == Verdict::kNotRun && ++refused == kRefusedAttempts) {
      co_return GroupChanged(member, "refuses connections");
    }
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer retry_timer(executor, kRetryDelay);
    co_await retry_timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return MayHaveRun(ErrorCode::kDeadlineExceeded,
                       "member " + member.vm.value + " did not report in time");
}

// State of a round, which ends when all members have reported or at the first failure.
struct RoundState {
  std::size_t remaining;
  Result<void> result;
  asio::steady_timer done;
};

awaitable<void> CheckMemberForRound(std::shared_ptr<RoundState> state,
                                    std::shared_ptr<HttpClient> client, GroupSummary group,
                                    GroupMember member, Deadline deadline) {
  auto result =
      co_await CheckMember(std::move(client), std::move(group), std::move(member), deadline);
  --state->remaining;
  if (!result && state->result) state->result = result.error();
  if (state->remaining == 0 || !state->result) state->done.cancel();
}

awaitable<Result<void>> RunRound(std::shared_ptr<HttpClient> client, GroupSummary group,
                                 Deadline deadline) {
  if (group.members.empty()) {
    co_return MayHaveRun(ErrorCode::kUpstreamLost, "group has no members");
  }
  const auto executor = co_await asio::this_coro::executor;
  auto state = std::make_shared<RoundState>(
      RoundState{group.members.size(), success(), asio::steady_timer(executor, TimePoint::max())});
  for (const GroupMember& member : group.members) {
    asio::co_spawn(executor, CheckMemberForRound(state, client, group, member, deadline),
                   asio::detached);
  }
  if (state->remaining > 0 && state->result) {
    co_await state->done.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return state->result;
}

struct Waiter {
  Deadline deadline;
  std::shared_ptr<Result<void>> result;
  std::function<void()> resume;
};

// The requests that wait for the next round of one group.
struct PendingRound {
  GroupSummary group;
  std::vector<Waiter> waiters;
};

class ReleaseCheckImpl : public ReleaseCheck,
                         public std::enable_shared_from_this<ReleaseCheckImpl> {
 public:
  explicit ReleaseCheckImpl(std::shared_ptr<HttpClient> http) : client(std::move(http)) {}

  awaitable<Result<void>> Confirm(GroupSummary group, Deadline deadline) override {
    const auto executor = co_await asio::this_coro::executor;
    auto result = std::make_shared<Result<void>>(
        MayHaveRun(ErrorCode::kInternal, "release check was abandoned"));
    auto self = this->shared_from_this();
    const auto add = [self, executor, result, deadline, &group](auto handler) {
      auto shared = std::make_shared<decltype(handler)>(std::move(handler));
      auto resume = [shared, executor] {
        asio::post(executor, [shared] { std::move (*shared)(); });
      };
      self->AddWaiter(executor, group, Waiter{deadline, result, std::move(resume)});
    };
    co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(add, asio::use_awaitable);
    co_return std::move(*result);
  }

 private:
  // The key includes every member's engine instance, so that requests share a round only if it
  // compares the reports with the same instances.
  static std::string GroupKey(const GroupSummary& group) {
    std::string key = group.group.value + '\n' + std::to_string(group.generation);
    for (const GroupMember& member : group.members) {
      key += '\n' + member.vm.value + '\n' + member.instance + '\n' + member.address;
    }
    return key;
  }

  void AddWaiter(const asio::any_io_executor& executor, const GroupSummary& group, Waiter waiter) {
    const std::string key = GroupKey(group);
    {
      const std::lock_guard lock(this->mutex);
      const auto [pending, added] = this->pending_rounds.try_emplace(key, PendingRound{group, {}});
      pending->second.waiters.push_back(std::move(waiter));
      if (!added) return;
    }
    asio::co_spawn(asio::make_strand(executor), RunRounds(this->shared_from_this(), key),
                   asio::detached);
  }

  // Runs rounds for one group until no request waits. The cancellation of a request does not end
  // them.
  static awaitable<void> RunRounds(std::shared_ptr<ReleaseCheckImpl> self, std::string key) {
    while (true) {
      GroupSummary group;
      std::vector<Waiter> waiters = self->TakeWaiters(key, group);
      if (waiters.empty()) co_return;
      Deadline latest = waiters.front().deadline;
      for (const Waiter& waiter : waiters) latest = std::max(latest, waiter.deadline);
      const auto result = co_await RunRound(self->client, std::move(group), latest);
      for (const Waiter& waiter : waiters) {
        *waiter.result = result;
        waiter.resume();
      }
    }
  }

  std::vector<Waiter> TakeWaiters(const std::string& key, GroupSummary& group) {
    const std::lock_guard lock(this->mutex);
    const auto pending = this->pending_rounds.find(key);
    if (pending->second.waiters.empty()) {
      this->pending_rounds.erase(pending);
      return {};
    }
    group = pending->second.group;
    return std::exchange(pending->second.waiters, {});
  }

  std::shared_ptr<HttpClient> client;
  std::mutex mutex;
  std::map<std::string, PendingRound> pending_rounds;
};

}  // namespace

std::shared_ptr<ReleaseCheck> ReleaseCheck::Create(std::shared_ptr<HttpClient> client) {
  return std::make_shared<ReleaseCheckImpl>(std::move(client));
}

}  // namespace limpetfall
