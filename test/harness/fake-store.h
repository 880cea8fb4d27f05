#ifndef LIMPETFALL_TEST_HARNESS_FAKE_STORE_H_
#define LIMPETFALL_TEST_HARNESS_FAKE_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/store.h"

namespace limpetfall::testing {

/** A fault of one call of the fake store. */
enum class Fault {
  kNone,
  kRefuse,       ///< No effect; the error has the verdict "not run".
  kLoseRequest,  ///< No effect; the error has the verdict "may have run".
  kLoseReply,    ///< Takes effect; the error has the verdict "may have run".
  kDelay,        ///< As `kLoseRequest`, but takes effect when `DeliverDelayed` is called.
};

/** A store in memory with fault injection. Not thread-safe. */
class FakeStore {
 public:
  std::deque<Fault> swap_faults;  ///< One for each of the next `Swap` calls; later calls have none.
  std::deque<Fault> get_faults;
  bool unavailable = false;        ///< Every call is refused.
  std::int64_t read_revision = 0;  ///< If above 0, reads return the state at this revision.
  std::function<void(const std::string& key)> before_swap;
  int swaps = 0;
  int gets = 0;
  std::map<std::string, std::int64_t> leases;  ///< Lease of each key's last write, in seconds.

  boost::asio::awaitable<Result<std::optional<StoredValue>>> Get(std::string key,
                                                                 Deadline /*deadline*/) {
    ++this->gets;
    co_await Yield();
    if (Next(this->get_faults) != Fault::kNone) co_return Refused();
    co_return Read(key);
  }

  boost::asio::awaitable<Result<std::vector<StoredValue>>> List(std::string prefix,
                                                                Deadline /*deadline*/) {
    ++this->gets;
    co_await Yield();
    if (Next(this->get_faults) != Fault::kNone) co_return Refused();
    std::vector<StoredValue> values;
    for (const auto& [key, history] : this->keys) {
      if (!key.starts_with(prefix)) continue;
      if (auto value = Read(key)) values.push_back(std::move(*value));
    }
    co_return values;
  }

  boost::asio::awaitable<Result<SwapOutcome>> Swap(std::string key, std::string value,
                                                   std::int64_t expected_revision,
                                                   std::int64_t lease_seconds,
                                                   Deadline /*deadline*/) {
    ++this->swaps;
    // A copy, because the function may assign to `before_swap`.
    if (const auto hook = this->before_swap) hook(key);
    const Fault fault = Next(this->swap_faults);
    co_await Yield();
    if (fault == Fault::kRefuse) co_return Refused();
    if (fault == Fault::kLoseRequest) co_return Lost();
    if (fault == Fault::kDelay) {
      this->delayed.push_back([this, key, value, expected_revision, lease_seconds] {
        Apply(key, value, expected_revision, lease_seconds);
      });
      co_return Lost();
    }
    SwapOutcome outcome = Apply(key, value, expected_revision, lease_seconds);
    co_await Yield();
    if (fault == Fault::kLoseReply) co_return Lost();
    co_return outcome;
  }

  SwapOutcome Apply(const std::string& key, const std::string& value,
                    std::int64_t expected_revision, std::int64_t lease_seconds) {
    auto& history = this->keys[key];
    const std::int64_t present = history.empty() ? 0 : history.back().revision;
    if (present != expected_revision) {
      return {false, 0, history.empty() ? std::nullopt : std::optional(history.back())};
    }
    history.push_back({key, value, ++this->revision});
    this->leases[key] = lease_seconds;
    return {true, this->revision, std::nullopt};
  }

  void DeliverDelayed() {
    for (const auto& write : std::exchange(this->delayed, {})) write();
  }

  /** Returns the newest value of a key, also while reads are stale. */
  [[nodiscard]] std::optional<StoredValue> Newest(const std::string& key) const {
    const auto found = this->keys.find(key);
    if (found == this->keys.end() || found->second.empty()) return std::nullopt;
    return found->second.back();
  }

 private:
  static Error Refused() { return NotRun(ErrorCode::kUnavailable, "the store is unavailable"); }
  static Error Lost() { return MayHaveRun(ErrorCode::kUnavailable, "no reply"); }

  Fault Next(std::deque<Fault>& faults) const {
    if (this->unavailable) return Fault::kRefuse;
    if (faults.empty()) return Fault::kNone;
    const Fault fault = faults.front();
    faults.pop_front();
    return fault;
  }

  // Lets other coroutines run, before and after a call takes effect.
  static boost::asio::awaitable<void> Yield() {
    const auto executor = co_await boost::asio::this_coro::executor;
    co_await boost::asio::post(executor, boost::asio::use_awaitable);
  }

  [[nodiscard]] std::optional<StoredValue> Read(const std::string& key) const {
    if (this->read_revision == 0) return Newest(key);
    std::optional<StoredValue> latest;
    const auto found = this->keys.find(key);
    if (found == this->keys.end()) return latest;
    for (const StoredValue& value : found->second) {
      if (value.revision <= this->read_revision) latest = value;
    }
    return latest;
  }

  std::map<std::string, std::vector<StoredValue>> keys;
  std::vector<std::function<void()>> delayed;
  std::int64_t revision = 0;
};

static_assert(Store<FakeStore>);

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_FAKE_STORE_H_
