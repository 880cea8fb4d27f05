#ifndef LIMPETFALL_TEST_HARNESS_CONFIG_HISTORY_H_
#define LIMPETFALL_TEST_HARNESS_CONFIG_HISTORY_H_

#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "harness/gateway-fixture.h"

namespace limpetfall::testing {

/** A route or a key that some versions of the configuration contain. */
struct ConfigItem {
  static constexpr int kNever = std::numeric_limits<int>::max();

  bool is_key = false;
  int added = 0;         ///< The first version with it.
  int removed = kNever;  ///< The first later version without it.

  [[nodiscard]] std::string Name() const {
    return (is_key ? "key" : "route") + std::to_string(this->added);
  }
};

/**
 * The versions of a configuration that a test puts into the store. Each adds or takes away one
 * route or key.
 *
 *     history.Add(true);
 *     deployment.Put("op/config", history.Document());
 *     history.OnPut(Clock::now());
 */
class ConfigHistory {
 public:
  void Add(bool is_key) { this->all.push_back({is_key, this->version + 1}); }
  void Remove(std::size_t index) { this->all.at(index).removed = this->version + 1; }

  /** Returns the next version. */
  [[nodiscard]] std::string Document() const {
    std::string keys = R"("k1")";
    for (const ConfigItem& item : this->all) {
      if (item.is_key && item.removed == ConfigItem::kNever) keys += ",\"" + item.Name() + "\"";
    }
    auto config = nlohmann::json::parse(ConfigJson(this->version + 1, keys));
    const nlohmann::json route = config["routes"].back();
    for (const ConfigItem& item : this->all) {
      if (item.is_key || item.removed != ConfigItem::kNever) continue;
      config["routes"].push_back(route);
      config["routes"].back()["name"] = item.Name();
      config["routes"].back()["prefix"] = "/" + item.Name() + "/";
    }
    return config.dump();
  }

  /** Records that the store has confirmed the next version. */
  void OnPut(TimePoint now) { this->put_times[++this->version] = now; }

  /** Returns the indices of the items in the newest version. */
  [[nodiscard]] std::vector<std::size_t> Present(bool only_keys) const {
    std::vector<std::size_t> present;
    for (std::size_t i = 0; i < this->all.size(); ++i) {
      if (this->all[i].removed == ConfigItem::kNever && (this->all[i].is_key || !only_keys))
        present.push_back(i);
    }
    return present;
  }

  /** Returns the newest version that accepts, or refuses, an item, of those put by `time`. */
  [[nodiscard]] int NewestWith(const ConfigItem& item, bool is_accepted, TimePoint time) const {
    if (is_accepted) return item.removed - 1;
    const bool was_removed =
        item.removed != ConfigItem::kNever && this->put_times.at(item.removed) <= time;
    return was_removed ? ConfigItem::kNever : item.added - 1;
  }

  [[nodiscard]] const std::vector<ConfigItem>& items() const { return this->all; }

  /** Returns when each version was confirmed. */
  [[nodiscard]] const std::map<int, TimePoint>& versions() const { return this->put_times; }

 private:
  std::vector<ConfigItem> all;
  std::map<int, TimePoint> put_times;
  int version = 4;  ///< The fixture puts the next one.
};

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_CONFIG_HISTORY_H_
