#include "base/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>
#include <string_view>

namespace limpetfall {
namespace {

/** A setting in milliseconds and its valid range. */
struct TimingField {
  std::string_view key;
  std::int64_t Settings::*member;
  std::int64_t min_value;
  std::int64_t max_value;
};

constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kHourMs = 60 * kMinuteMs;

constexpr std::array kTimingFields = {
    TimingField{"probe_interval_ms", &Settings::probe_interval_ms, 10, kMinuteMs},
    TimingField{"probe_timeout_ms", &Settings::probe_timeout_ms, 5, kMinuteMs},
    TimingField{"suspicion_ms", &Settings::suspicion_ms, 10, 10 * kMinuteMs},
    TimingField{"report_interval_ms", &Settings::report_interval_ms, 10, kMinuteMs},
    TimingField{"report_timeout_ms", &Settings::report_timeout_ms, 5, kMinuteMs},
    TimingField{"summary_lifetime_ms", &Settings::summary_lifetime_ms, 50, 10 * kMinuteMs},
    TimingField{"config_poll_ms", &Settings::config_poll_ms, 10, kMinuteMs},
    TimingField{"config_fresh_ms", &Settings::config_fresh_ms, 50, 10 * kMinuteMs},
    TimingField{"vm_list_poll_ms", &Settings::vm_list_poll_ms, 10, 10 * kMinuteMs},
    TimingField{"platform_timeout_ms", &Settings::platform_timeout_ms, 5, kMinuteMs},
    TimingField{"connect_timeout_ms", &Settings::connect_timeout_ms, 5, kMinuteMs},
    TimingField{"first_token_timeout_ms", &Settings::first_token_timeout_ms, 5, kHourMs},
    TimingField{"token_timeout_ms", &Settings::token_timeout_ms, 5, kHourMs},
    TimingField{"release_timeout_ms", &Settings::release_timeout_ms, 5, kMinuteMs},
    TimingField{"address_ttl_ms", &Settings::address_ttl_ms, 10, kHourMs},
    TimingField{"request_timeout_ms", &Settings::request_timeout_ms, 10, 24 * kHourMs},
    TimingField{"order_delay_bound_ms", &Settings::order_delay_bound_ms, 0, 10 * kMinuteMs},
};

constexpr std::array<std::string_view, 5> kSections = {"node", "platform", "timing", "routing",
                                                       "log"};

constexpr std::size_t kMaxNameLength = 64;
constexpr int kMaxThreads = 256;

/** Names are used in store keys and metric labels, so `/` and spaces are not allowed. */
bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
  });
}

/** Returns what is wrong with an "IP:port" text, or `std::nullopt` if it is valid. */
std::optional<std::string> FindAddressFault(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return "not of the form IP:port";
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
  if (error) return "not an IPv4 address before the port";
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (code != std::errc() || end != digits.data() + digits.size() || port < 1 || port > 65535) {
    return "port is not between 1 and 65535";
  }
  return std::nullopt;
}

/** Reads a parsed settings file and collects every fault with its line. */
class SettingsReader {
 public:
  SettingsReader(const toml::table& file, std::string file_name)
      : root(file), name(std::move(file_name)) {}

  Result<Settings> Read() {
    this->CheckSections();
    this->ReadNode();
    this->ReadPlatform();
    this->ReadTiming();
    this->ReadRouting();
    this->ReadLog();
    this->CheckTimingCombinations();
    this->CheckAddressCombinations();
    if (this->faults.empty()) return this->settings;
    return NotRun(ErrorCode::kInvalidArgument, this->FormatFaults());
  }

 private:
  struct Fault {
    std::uint32_t line;
    std::string key;
    std::string text;
  };

  void AddFault(std::uint32_t line, std::string key, std::string text) {
    this->faults.push_back({line, std::move(key), std::move(text)});
  }

  [[nodiscard]] std::string FormatFaults() {
    std::stable_sort(this->faults.begin(), this->faults.end(),
                     [](const Fault& a, const Fault& b) { return a.line < b.line; });
    std::string message;
    for (const auto& [line, key, text] : this->faults) {
      if (!message.empty()) message += '\n';
      message += this->name + ':' + std::to_string(line) + ": ";
      message += key + ": ";
      message += text;
    }
    return message;
  }

  void CheckSections() {
    for (const auto& [key, value] : this->root) {
      const std::string_view section = key.str();
      const std::uint32_t line = key.source().begin.line;
      if (std::find(kSections.begin(), kSections.end(), section) == kSections.end()) {
        this->AddFault(line, std::string(section), "unknown section");
      } else if (!value.is_table()) {
        this->AddFault(line, std::string(section), "must be a section");
      }
    }
  }

  const toml::table* Section(std::string_view section) const {
    return this->root[section].as_table();
  }

  /** Adds a fault for every key of the section that is not in `known_names`. */
  template <typename Names>
  void CheckKeys(std::string_view section, const Names& known_names) {
    const toml::table* table = this->Section(section);
    if (table == nullptr) return;
    for (const auto& [key, value] : *table) {
      if (std::find(known_names.begin(), known_names.end(), key.str()) != known_names.end())
        continue;
      this->AddFault(key.source().begin.line, KeyPath(section, key.str()), "unknown key");
    }
  }

  static std::string KeyPath(std::string_view section, std::string_view key) {
    return std::string(section) + '.' + std::string(key);
  }

  const toml::node* Find(std::string_view section, std::string_view key) const {
    const toml::table* table = this->Section(section);
    return table == nullptr ? nullptr : table->get(key);
  }

  /** Returns the line of the key; if it is absent, that of its section, else the first line. */
  std::uint32_t LineOf(std::string_view section, std::string_view key) const {
    if (const toml::node* node = this->Find(section, key)) return node->source().begin.line;
    const toml::table* table = this->Section(section);
    return table == nullptr ? 1 : std::max<std::uint32_t>(table->source().begin.line, 1);
  }

  /** Reads a string. If `required`, a missing key is a fault. */
  std::optional<std::string> ReadText(std::string_view section, std::string_view key,
                                      bool required) {
    const toml::node* node = this->Find(section, key);
    if (node == nullptr) {
      if (required) this->AddFault(this->LineOf(section, key), KeyPath(section, key), "missing");
      return std::nullopt;
    }
    auto text = node->value_exact<std::string>();
    if (!text) this->AddFault(node->source().begin.line, KeyPath(section, key), "must be a string");
    return text;
  }

  std::string ReadName(std::string_view section, std::string_view key) {
    auto text = this->ReadText(section, key, true);
    if (!text) return {};
    if (!IsName(*text)) {
      this->AddFault(this->LineOf(section, key), KeyPath(section, key),
                     "must be 1 to 64 letters, digits, '.', '_' or '-'");
    }
    return *text;
  }

  std::string ReadAddress(std::string_view section, std::string_view key) {
    auto text = this->ReadText(section, key, true);
    if (!text) return {};
    if (auto fault = FindAddressFault(*text)) {
      this->AddFault(this->LineOf(section, key), KeyPath(section, key),
                     '"' + *text + "\": " + *fault);
    }
    return *text;
  }

  std::vector<std::string> ReadAddresses(std::string_view section, std::string_view key,
                                         bool required) {
    const toml::node* node = this->Find(section, key);
    const std::string path = KeyPath(section, key);
    if (node == nullptr) {
      if (required) this->AddFault(this->LineOf(section, key), path, "missing");
      return {};
    }
    const toml::array* list = node->as_array();
    if (list == nullptr) {
      this->AddFault(node->source().begin.line, path, "must be a list of strings");
      return {};
    }
    if (required && list->empty()) {
      this->AddFault(node->source().begin.line, path, "must not be empty");
    }
    std::vector<std::string> addresses;
    for (const toml::node& element : *list) this->ReadAddressElement(element, path, addresses);
    return addresses;
  }

  void ReadAddressElement(const toml::node& element, const std::string& path,
                          std::vector<std::string>& addresses) {
    const std::uint32_t line = element.source().begin.line;
    auto text = element.value_exact<std::string>();
    if (!text) return this->AddFault(line, path, "must be a list of strings");
    if (auto fault = FindAddressFault(*text)) {
      this->AddFault(line, path, '"' + *text + "\": " + *fault);
    } else if (std::find(addresses.begin(), addresses.end(), *text) != addresses.end()) {
      this->AddFault(line, path, '"' + *text + "\": listed twice");
    }
    addresses.push_back(*text);
  }

  void ReadInteger(std::string_view section, std::string_view key, std::int64_t min_value,
                   std::int64_t max_value, const std::function<void(std::int64_t)>& assign) {
    const toml::node* node = this->Find(section, key);
    if (node == nullptr) return;
    const std::uint32_t line = node->source().begin.line;
    auto number = node->value_exact<std::int64_t>();
    if (!number) return this->AddFault(line, KeyPath(section, key), "must be an integer");
    if (*number < min_value || *number > max_value) {
      return this->AddFault(line, KeyPath(section, key),
                            std::to_string(*number) + " is not between " +
                                std::to_string(min_value) + " and " + std::to_string(max_value));
    }
    assign(*number);
  }

  void ReadNode() {
    this->CheckKeys("node", std::array<std::string_view, 9>{
                                "id", "zone", "caller_address", "admin_address", "metrics_address",
                                "node_address", "advertised_address", "seeds", "threads"});
    this->settings.node = NodeId(this->ReadName("node", "id"));
    this->settings.zone = ZoneId(this->ReadName("node", "zone"));
    this->settings.caller_address = this->ReadAddress("node", "caller_address");
    this->settings.admin_address = this->ReadAddress("node", "admin_address");
    this->settings.metrics_address = this->ReadAddress("node", "metrics_address");
    this->settings.node_address = this->ReadAddress("node", "node_address");
    this->settings.advertised_address = this->settings.node_address;
    if (this->Find("node", "advertised_address") != nullptr) {
      this->settings.advertised_address = this->ReadAddress("node", "advertised_address");
    }
    this->settings.seeds = this->ReadAddresses("node", "seeds", false);
    this->ReadInteger("node", "threads", 1, kMaxThreads,
                      [this](std::int64_t n) { this->settings.threads = static_cast<int>(n); });
  }

  void ReadPlatform() {
    this->CheckKeys("platform", std::array<std::string_view, 2>{"store", "vm_list"});
    this->settings.store_addresses = this->ReadAddresses("platform", "store", true);
    this->settings.vm_list_address = this->ReadAddress("platform", "vm_list");
  }

  void ReadTiming() {
    std::vector<std::string_view> known_names;
    for (const TimingField& field : kTimingFields) {
      known_names.push_back(field.key);
      this->ReadInteger("timing", field.key, field.min_value, field.max_value,
                        [&](std::int64_t n) { this->settings.*field.member = n; });
    }
    this->CheckKeys("timing", known_names);
  }

  void ReadRouting() {
    this->CheckKeys("routing", std::array<std::string_view, 1>{"policy"});
    auto name = this->ReadText("routing", "policy", false);
    if (!name) return;
    if (const auto policy = ParseRoutingPolicy(*name)) {
      this->settings.routing_policy = *policy;
      return;
    }
    std::string known_names;
    for (const auto& [text, policy] : kRoutingPolicies) {
      known_names += (known_names.empty() ? "" : ", ") + std::string(text);
    }
    this->AddFault(this->LineOf("routing", "policy"), "routing.policy",
                   "must be one of " + known_names);
  }

  void ReadLog() {
    this->CheckKeys("log", std::array<std::string_view, 1>{"level"});
    auto level = this->ReadText("log", "level", false);
    if (!level) return;
    if (*level != "debug" && *level != "info" && *level != "warning" && *level != "error") {
      this->AddFault(this->LineOf("log", "level"), "log.level",
                     "must be debug, info, warning or error");
    }
    this->settings.log_level = *level;
  }

  void RequireTiming(bool condition, std::string_view key, std::string text) {
    if (condition) return;
    this->AddFault(this->LineOf("timing", key), KeyPath("timing", key), std::move(text));
  }

  void CheckTimingCombinations() {
    const Settings& s = this->settings;
    this->RequireTiming(s.probe_timeout_ms <= s.probe_interval_ms, "probe_timeout_ms",
                        "must not exceed probe_interval_ms");
    // After a change of owner, the new owner must refresh the summary before the old copy expires.
    this->RequireTiming(s.summary_lifetime_ms >= s.suspicion_ms + 2 * s.probe_interval_ms,
                        "summary_lifetime_ms",
                        "must be at least suspicion_ms plus twice probe_interval_ms");
    this->RequireTiming(s.summary_lifetime_ms > s.report_interval_ms + s.report_timeout_ms,
                        "summary_lifetime_ms",
                        "must exceed report_interval_ms plus report_timeout_ms");
    this->RequireTiming(s.config_poll_ms < s.config_fresh_ms, "config_poll_ms",
                        "must be less than config_fresh_ms");
    this->RequireTiming(s.report_timeout_ms <= s.release_timeout_ms, "release_timeout_ms",
                        "must be at least report_timeout_ms");
    this->RequireTiming(s.connect_timeout_ms <= s.request_timeout_ms, "connect_timeout_ms",
                        "must not exceed request_timeout_ms");
    this->RequireTiming(s.first_token_timeout_ms <= s.request_timeout_ms, "first_token_timeout_ms",
                        "must not exceed request_timeout_ms");
  }

  void CheckAddressCombinations() {
    const std::array<std::pair<std::string_view, const std::string*>, 4> listen_addresses = {{
        {"caller_address", &this->settings.caller_address},
        {"admin_address", &this->settings.admin_address},
        {"metrics_address", &this->settings.metrics_address},
        {"node_address", &this->settings.node_address},
    }};
    for (std::size_t i = 0; i < listen_addresses.size(); ++i) {
      const auto& [key, address] = listen_addresses[i];
      for (std::size_t j = 0; j < i && !address->empty(); ++j) {
        if (*listen_addresses[j].second != *address) continue;
        this->AddFault(this->LineOf("node", key), KeyPath("node", key),
                       "same address as node." + std::string(listen_addresses[j].first));
      }
      // These two addresses are advertised to callers and nodes, which connect to them.
      const bool advertised =
          key == "caller_address" ||
          (key == "node_address" && this->settings.advertised_address == *address);
      if (advertised && address->starts_with("0.0.0.0:")) {
        this->AddFault(this->LineOf("node", key), KeyPath("node", key),
                       "must be an address that others can connect to");
      }
    }
  }

  const toml::table& root;
  std::string name;
  Settings settings;
  std::vector<Fault> faults;
};

}  // namespace

Result<Settings> ParseSettings(const std::string& text, const std::string& name) {
  try {
    const toml::table root = toml::parse(text, name);
    return SettingsReader(root, name).Read();
  } catch (const toml::parse_error& error) {
    return NotRun(ErrorCode::kInvalidArgument, name + ':' +
                                                   std::to_string(error.source().begin.line) +
                                                   ": syntax: " + std::string(error.description()));
  }
}

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return NotRun(ErrorCode::kNotFound, path + ":1: file: cannot be opened");
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad()) return NotRun(ErrorCode::kInvalidArgument, path + ":1: file: cannot be read");
  return ParseSettings(text.str(), path);
}

}  // namespace limpetfall
