#ifndef LIMPETFALL_REVIEW_STAND_INS_PLATFORM_H_
#define LIMPETFALL_REVIEW_STAND_INS_PLATFORM_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "http/server.h"
#include "limpetfall/time.h"

namespace limpetfall::review {

/** Stand-in for the platform's metadata store. One change is one revision, however many keys. */
class Platform {
 public:
  Platform(boost::asio::io_context& context, const std::string& address);

  void Put(const std::string& key, const std::string& value, std::int64_t lease = 0);

  /** Removes the keys that exist, in one change. */
  void Remove(const std::vector<std::string>& keys);

  /** Returns the value of a key, or an empty text. */
  [[nodiscard]] std::string Get(const std::string& key) const;

  [[nodiscard]] std::int64_t revision() const { return this->current_revision; }

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event {
    std::int64_t revision = 0;
    std::string key;
    bool removed = false;
  };
  struct Lease {
    Deadline expires;
    Milliseconds lifetime{0};
  };

  boost::asio::awaitable<void> Serve(HttpExchange& exchange);
  boost::asio::awaitable<void> ServeWatch(HttpExchange& exchange);
  boost::asio::awaitable<void> ExpireLeases();
  [[nodiscard]] nlohmann::json Transact(const nlohmann::json& body, int& status);
  [[nodiscard]] nlohmann::json Range(const std::string& prefix, const std::string& after) const;
  [[nodiscard]] static nlohmann::json ItemJson(const std::string& key, const Item& item);
  void PutAt(const std::string& key, const std::string& value, std::int64_t lease);
  void RemoveAt(const std::string& key);
  void NotifyWatchers();

  boost::asio::io_context& io;
  std::unique_ptr<HttpServer> server;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::map<std::int64_t, Lease> leases;
  std::set<boost::asio::steady_timer*> watchers;
  std::int64_t current_revision = 10;
  std::int64_t last_lease = 0;
};

}  // namespace limpetfall::review

#endif  // LIMPETFALL_REVIEW_STAND_INS_PLATFORM_H_
