#ifndef LIMPETFALL_DAEMON_CONFIRMED_PREFIX_H_
#define LIMPETFALL_DAEMON_CONFIRMED_PREFIX_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <concepts>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"
#include "limpetfall/result.h"
#include "limpetfall/time.h"

namespace limpetfall {

/** Confirms that a group had all its members; `ReleaseCheck` models it. */
template <typename T>
concept GroupConfirmer = requires(T& check, GroupSummary group, Deadline deadline) {
  { check.Confirm(group, deadline) } -> std::same_as<boost::asio::awaitable<Result<void>>>;
};

/** Progress of one stream. Written by the stream and by the release rounds of its group. */
struct StreamProgress {
  using Signal = boost::asio::experimental::concurrent_channel<void(boost::system::error_code)>;

  explicit StreamProgress(const boost::asio::any_io_executor& executor)
      : round_failed(executor, 1) {}

  std::atomic<std::size_t> arrived{0};    ///< Tokens received from the group.
  std::atomic<std::size_t> confirmed{0};  ///< Tokens confirmed to be from the complete group.
  Signal round_failed;                    ///< Receives once when a round has failed.
};

/**
 * Runs a release round at an interval for each group with streams on this node, and records for
 * each stream the tokens that had arrived before the last successful round began. The streams of
 * one group share the rounds.
 */
template <GroupConfirmer Check>
class ConfirmedPrefix : public std::enable_shared_from_this<ConfirmedPrefix<Check>> {
 public:
  ConfirmedPrefix(boost::asio::any_io_executor executor, std::shared_ptr<Check> check,
                  Milliseconds interval, Milliseconds timeout)
      : executor(std::move(executor)),
        check(std::move(check)),
        interval(interval),
        timeout(timeout) {}

  /** Includes a stream in the rounds until destroyed. */
  class Registration {
   public:
    Registration(std::shared_ptr<ConfirmedPrefix> owner, std::string key,
                 std::shared_ptr<StreamProgress> progress)
        : owner(std::move(owner)), key(std::move(key)), progress(std::move(progress)) {}
    Registration(Registration&&) noexcept = default;
    Registration& operator=(Registration&&) = delete;
    ~Registration() {
      if (this->owner) this->owner->Remove(this->key, this->progress);
    }

   private:
    std::shared_ptr<ConfirmedPrefix> owner;
    std::string key;
    std::shared_ptr<StreamProgress> progress;
  };

  [[nodiscard]] Registration Add(const GroupSummary& group,
                                 std::shared_ptr<StreamProgress> progress) {
    std::string key = KeyOf(group);
    const std::lock_guard lock(this->mutex);
    auto [streams, first] = this->groups.try_emplace(key);
    streams->second.insert(progress);
    if (first) {
      boost::asio::co_spawn(this->executor, RunRounds(this->shared_from_this(), group, key),
                            boost::asio::detached);
    }
    return Registration(this->shared_from_this(), std::move(key), std::move(progress));
  }

 private:
  using Streams = std::set<std::shared_ptr<StreamProgress>>;

  // Streams share rounds only if they were dispatched to the same engine instances.
  static std::string KeyOf(const GroupSummary& group) {
    std::string key =
        group.domain.value + "/" + group.group.value + "/" + std::to_string(group.generation);
    for (const GroupMember& member : group.members) key += "/" + member.instance;
    return key;
  }

  void Remove(const std::string& key, const std::shared_ptr<StreamProgress>& progress) {
    const std::lock_guard lock(this->mutex);
    if (auto found = this->groups.find(key); found != this->groups.end()) {
      found->second.erase(progress);
    }
  }

  // Returns the streams of the group and how many tokens each has received. If there are no
  // streams, the group is removed and its rounds end.
  std::vector<std::pair<std::shared_ptr<StreamProgress>, std::size_t>> SnapshotArrived(
      const std::string& key) {
    std::vector<std::pair<std::shared_ptr<StreamProgress>, std::size_t>> arrived;
    const std::lock_guard lock(this->mutex);
    auto found = this->groups.find(key);
    for (const auto& stream : found->second) arrived.emplace_back(stream, stream->arrived.load());
    if (arrived.empty()) this->groups.erase(found);
    return arrived;
  }

  static boost::asio::awaitable<void> RunRounds(std::shared_ptr<ConfirmedPrefix> self,
                                                GroupSummary group, std::string key) {
    boost::asio::steady_timer timer(self->executor);
    while (true) {
      timer.expires_after(self->interval);
      co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
      auto arrived = self->SnapshotArrived(key);
      if (arrived.empty()) co_return;
      const Deadline deadline = Clock::now() + self->timeout;
      const Result<void> confirmation = co_await self->check->Confirm(group, deadline);
      for (auto& [stream, tokens] : arrived) {
        if (confirmation) {
          stream->confirmed.store(tokens);
        } else {
          stream->round_failed.try_send(boost::system::error_code());
        }
      }
    }
  }

  boost::asio::any_io_executor executor;
  std::shared_ptr<Check> check;
  Milliseconds interval;
  Milliseconds timeout;
  std::mutex mutex;
  std::map<std::string, Streams> groups;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_DAEMON_CONFIRMED_PREFIX_H_
