#ifndef LIMPETFALL_CORE_STOP_ADMISSION_H_
#define LIMPETFALL_CORE_STOP_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "limpetfall/time.h"

namespace limpetfall {

/** How long an upstream took for a request that it completed. */
struct CompletedRequest {
  std::int64_t answer_tokens = 0;  ///< Maximum length that the caller stated; 0 if it stated none.
  std::chrono::duration<double> first_bytes{0};  ///< From sending the request.
  std::chrono::duration<double> total{0};        ///< From sending the request.

  friend bool operator==(const CompletedRequest&, const CompletedRequest&) = default;
};

/** A request that is about to be accepted or sent. */
struct StopAdmissionRequest {
  std::string route;
  std::int64_t answer_tokens = 0;
  Deadline deadline;

  friend bool operator==(const StopAdmissionRequest&, const StopAdmissionRequest&) = default;
};

/**
 * Decides whether a node that stops accepts a request. The process is killed at the end of the
 * grace period, so it accepts only what ends before that: requests whose deadline is earlier, and
 * those whose estimated duration fits. A caller that is refused can use another node at once; one
 * whose response is cut off may not repeat its request. An estimate is wrong when upstreams become
 * slower, so it is used only while callers may not know another node. Performs no I/O.
 *
 *     admission.OnCompleted(route, {tokens, first_bytes, total}, now);
 *     admission.BeginStop(estimate_until, stop_by);
 *     if (!admission.Admits({route, tokens, deadline}, now)) Refuse();
 */
class StopAdmission {
 public:
  /** Records a request that was completed at the first attempt. */
  void OnCompleted(const std::string& route, const CompletedRequest& request, TimePoint now);

  /** Begins the stop. All requests must end before `stop_by`, and estimates are used until
   * `estimate_until`. Further calls have no effect. */
  void BeginStop(Deadline estimate_until, Deadline stop_by);

  [[nodiscard]] bool is_stopping() const { return this->stop_by.has_value(); }

  /** Returns whether a request that is sent to an upstream now ends before the process does. */
  [[nodiscard]] bool Admits(const StopAdmissionRequest& request, TimePoint now) const;

  /** Returns an upper estimate of the duration, or nothing if too few requests were completed. */
  [[nodiscard]] std::optional<Milliseconds> EstimateDuration(const StopAdmissionRequest& request,
                                                             TimePoint now) const;

 private:
  /** Maxima over the requests of one time window. */
  struct Window {
    Deadline end;
    int count = 0;
    double first_bytes_s = 0;
    /** Time after the first bytes: of one token if the requests state a length, else of all. */
    double rest_s = 0;

    void Add(const Window& other);
  };

  struct RouteWindows {
    Window current;
    Window previous;
  };

  /** By route, and whether the requests state a length. */
  std::map<std::pair<std::string, bool>, RouteWindows> routes;
  std::optional<Deadline> stop_by;
  Deadline estimate_until;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_STOP_ADMISSION_H_
