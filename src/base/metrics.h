#ifndef LIMPETFALL_BASE_METRICS_H_
#define LIMPETFALL_BASE_METRICS_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "limpetfall/result.h"

namespace limpetfall {

using Labels = std::map<std::string, std::string>;

/**
 * Counters, gauges and histograms of this process, each with labels such as team and class. The
 * number of label sets per metric is bounded; further sets are combined under "other". Thread-safe.
 *
 *     metrics.Observe("first_token_seconds", {{"team", "councils"}}, 0.21);
 */
class Metrics {
 public:
  static std::shared_ptr<Metrics> Create();

  virtual ~Metrics() = default;

  virtual void Add(std::string_view name, const Labels& labels, double amount = 1) = 0;
  virtual void Set(std::string_view name, const Labels& labels, double value) = 0;

  /** Adds a value to a histogram with logarithmic bins from 0.1 ms to 1000 s. */
  virtual void Observe(std::string_view name, const Labels& labels, double seconds) = 0;

  /** Returns all metrics in the Prometheus text exposition format. */
  [[nodiscard]] virtual std::string Text() const = 0;
};

/** Serves `/metrics` over HTTP on its own port until destroyed. */
class MetricsServer {
 public:
  static Result<std::unique_ptr<MetricsServer>> Create(const std::string& address,
                                                       std::shared_ptr<const Metrics> metrics);

  virtual ~MetricsServer() = default;

  /** Returns the bound address, with the actual port if port 0 was requested. */
  [[nodiscard]] virtual std::string address() const = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_BASE_METRICS_H_
