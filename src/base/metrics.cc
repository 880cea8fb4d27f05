#include "base/metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>
#include <functional>
#include <mutex>
#include <optional>
#include <variant>

#include "base/log.h"

namespace limpetfall {
namespace {

// Five bins per decade: adjacent bin bounds differ by a factor of 1.58.
constexpr unsigned kHistogramBins = 35;
constexpr double kHistogramMinSeconds = 1e-4;
constexpr double kHistogramMaxSeconds = 1e3;

// Limits memory when callers choose label values. Allows 10 teams x 3 classes x 7 outcomes.
constexpr std::size_t kMaxLabelSets = 256;

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using BinCounts = decltype(boost::histogram::make_histogram(std::declval<LogAxis>()));

struct Histogram {
  BinCounts bins = boost::histogram::make_histogram(
      LogAxis(kHistogramBins, kHistogramMinSeconds, kHistogramMaxSeconds));
  double sum = 0;
  std::uint64_t count = 0;
};

enum class Kind { kCounter, kGauge, kHistogram };

struct Family {
  Kind kind = Kind::kCounter;
  std::map<Labels, double> values;
  std::map<Labels, Histogram> histograms;
};

struct Shard {
  mutable std::mutex mutex;
  std::map<std::string, Family, std::less<>> families;
};

std::string FormatNumber(double value) {
  if (std::isnan(value)) return "NaN";
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  char text[32];
  std::snprintf(text, sizeof text, "%.12g", value);
  return text;
}

/** Replaces all but letters, digits and `_`; the format also allows `:` in metric names. */
std::string SanitizeName(std::string_view name) {
  std::string sanitized;
  for (const unsigned char c : name) sanitized += std::isalnum(c) != 0 || c == '_' ? char(c) : '_';
  if (sanitized.empty() || std::isdigit(static_cast<unsigned char>(sanitized[0])) != 0)
    sanitized.insert(0, "_");
  return sanitized;
}

std::string EscapeLabelValue(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string FormatLabels(const Labels& labels, std::string_view bound = {}) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += (text.empty() ? "" : ",") + SanitizeName(name) + "=\"" + EscapeLabelValue(value) + '"';
  }
  if (!bound.empty()) text += (text.empty() ? "le=\"" : ",le=\"") + std::string(bound) + '"';
  return text.empty() ? text : '{' + text + '}';
}

std::string_view KindName(Kind kind) {
  switch (kind) {
    case Kind::kCounter:
      return "counter";
    case Kind::kGauge:
      return "gauge";
    case Kind::kHistogram:
      return "histogram";
  }
  return "untyped";
}

/** Returns the value of a label set, or that of "other" if the metric has too many label sets. */
template <typename Value>
Value& FindOrAddLabelSet(std::map<Labels, Value>& label_sets, const Labels& labels) {
  if (const auto found = label_sets.find(labels); found != label_sets.end()) return found->second;
  if (label_sets.size() < kMaxLabelSets || labels.empty()) return label_sets[labels];
  Labels other = labels;
  for (auto& [name, value] : other) value = "other";
  return label_sets[other];
}

void AppendHistogram(std::string& text, const std::string& name, const Labels& labels,
                     const Histogram& histogram) {
  double cumulative = histogram.bins.at(-1);
  const auto& axis = histogram.bins.axis();
  for (int bin = 0; bin < axis.size(); ++bin) {
    cumulative += histogram.bins.at(bin);
    text += name + "_bucket" + FormatLabels(labels, FormatNumber(axis.bin(bin).upper())) + ' ' +
            FormatNumber(cumulative) + '\n';
  }
  const std::string count = std::to_string(histogram.count);
  text += name + "_bucket" + FormatLabels(labels, "+Inf") + ' ' + count + '\n';
  text += name + "_sum" + FormatLabels(labels) + ' ' + FormatNumber(histogram.sum) + '\n';
  text += name + "_count" + FormatLabels(labels) + ' ' + count + '\n';
}

std::string FormatFamily(const std::string& name, const Family& family) {
  std::string text = "# TYPE " + name + ' ' + std::string(KindName(family.kind)) + '\n';
  for (const auto& [labels, value] : family.values) {
    text += name + FormatLabels(labels) + ' ' + FormatNumber(value) + '\n';
  }
  for (const auto& [labels, histogram] : family.histograms) {
    AppendHistogram(text, name, labels, histogram);
  }
  return text;
}

class ShardedMetrics : public Metrics {
 public:
  void Add(std::string_view name, const Labels& labels, double amount) override {
    // A counter must not decrease: scrapers would take a negative amount or NaN for a restart.
    if (!(amount >= 0)) return;
    this->Update(name, Kind::kCounter,
                 [&](Family& family) { FindOrAddLabelSet(family.values, labels) += amount; });
  }

  void Set(std::string_view name, const Labels& labels, double value) override {
    this->Update(name, Kind::kGauge,
                 [&](Family& family) { FindOrAddLabelSet(family.values, labels) = value; });
  }

  void Observe(std::string_view name, const Labels& labels, double seconds) override {
    if (!std::isfinite(seconds)) return;
    this->Update(name, Kind::kHistogram, [&](Family& family) {
      Histogram& histogram = FindOrAddLabelSet(family.histograms, labels);
      histogram.bins(std::max(seconds, 0.0));
      histogram.sum += std::max(seconds, 0.0);
      ++histogram.count;
    });
  }

  [[nodiscard]] std::string Text() const override {
    std::map<std::string, std::string> text_by_name;
    for (const Shard& shard : this->shards) {
      const std::lock_guard lock(shard.mutex);
      for (const auto& [name, family] : shard.families)
        text_by_name[name] = FormatFamily(name, family);
    }
    std::string text;
    for (const auto& [name, family_text] : text_by_name) text += family_text;
    return text;
  }

 private:
  static constexpr std::size_t kShardCount = 16;

  /**
   * Applies `change` to the metric. The first use of a name fixes its kind; later updates of
   * another kind are ignored.
   */
  void Update(std::string_view name, Kind kind, const std::function<void(Family&)>& change) {
    const std::string sanitized = SanitizeName(name);
    Shard& shard = this->shards[std::hash<std::string>{}(sanitized) % kShardCount];
    const std::lock_guard lock(shard.mutex);
    const auto [position, inserted] = shard.families.try_emplace(sanitized);
    if (inserted) position->second.kind = kind;
    if (position->second.kind == kind) change(position->second);
  }

  std::array<Shard, kShardCount> shards;
};

}  // namespace

std::shared_ptr<Metrics> Metrics::Create() { return std::make_shared<ShardedMetrics>(); }

}  // namespace limpetfall
