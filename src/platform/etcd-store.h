#ifndef LIMPETFALL_PLATFORM_ETCD_STORE_H_
#define LIMPETFALL_PLATFORM_ETCD_STORE_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "limpetfall/result.h"
#include "platform/store.h"

namespace limpetfall {

struct EtcdStoreOptions {
  std::vector<std::string> addresses;  ///< "IP:port" of the gateways, which are interchangeable.
  Milliseconds attempt_timeout{1000};  ///< Time limit of a call to one address.
};

/**
 * A client of the platform's store through the JSON gateway of the etcd v3 API. Models `Store`.
 * Thread-safe.
 *
 * A read is tried at each address in turn. A write is tried at the next address only if it is
 * certain that it did not run. Otherwise it fails with `kMayHaveRun`. The writer can then repeat
 * the write with the same expected revision, which takes effect at most once.
 *
 *     BOOST_OUTCOME_TRY(auto store, EtcdStore::Create(client, {{"10.0.0.1:2379"}}));
 *     auto outcome = co_await store->Swap("/limpetfall/a", "text", 0, 0, deadline);
 */
class EtcdStore {
 public:
  static Result<std::shared_ptr<EtcdStore>> Create(std::shared_ptr<HttpClient> client,
                                                   EtcdStoreOptions options);

  boost::asio::awaitable<Result<std::optional<StoredValue>>> Get(std::string key,
                                                                 Deadline deadline);

  /** Returns the values of all keys that start with `prefix`, in order of key. */
  boost::asio::awaitable<Result<std::vector<StoredValue>>> List(std::string prefix,
                                                                Deadline deadline);

  /**
   * Writes `key` if its revision is `expected_revision`. With `lease_seconds` above 0, the
   * key expires after that time at the earliest. Otherwise it does not expire, even if it had a
   * lease before.
   */
  boost::asio::awaitable<Result<SwapOutcome>> Swap(std::string key, std::string value,
                                                   std::int64_t expected_revision,
                                                   std::int64_t lease_seconds, Deadline deadline);

  /** Returns the number of calls sent to the platform. */
  [[nodiscard]] std::uint64_t calls() const { return this->sent.load(); }

 private:
  enum class Effect { kNone, kWrite };

  struct SharedLease {
    std::string id;
    Deadline usable_until;
  };

  EtcdStore(std::shared_ptr<HttpClient> http, EtcdStoreOptions settings);

  boost::asio::awaitable<Result<nlohmann::json>> Call(std::string target, std::string body,
                                                      Effect effect, Deadline deadline);
  boost::asio::awaitable<Result<std::string>> GetOrGrantLease(std::int64_t seconds,
                                                              Deadline deadline);
  boost::asio::awaitable<Result<SwapOutcome>> SendSwap(std::string key, std::string value,
                                                       std::int64_t expected_revision,
                                                       std::string lease, Deadline deadline);
  std::optional<std::string> FindLease(std::int64_t seconds, TimePoint now);
  void RemoveLease(std::int64_t seconds, const std::string& id);
  void PreferNextAddress(std::size_t index);

  std::shared_ptr<HttpClient> client;
  EtcdStoreOptions options;
  std::atomic<std::size_t> preferred{0};
  std::atomic<std::uint64_t> sent{0};
  std::mutex mutex;
  std::map<std::int64_t, SharedLease> leases;
};

static_assert(Store<EtcdStore>);

}  // namespace limpetfall

#endif  // LIMPETFALL_PLATFORM_ETCD_STORE_H_
