#ifndef LIMPETFALL_TOOL_LOAD_COMMAND_H_
#define LIMPETFALL_TOOL_LOAD_COMMAND_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "limpetfall/time.h"
#include "tool/command.h"

namespace limpetfall {

/** The parameters of an open-loop load run. */
struct LoadPlan {
  std::vector<std::string> addresses;
  std::string branch;
  std::string model;
  std::vector<std::pair<std::string, double>> teams;  ///< Name and share of the requests.
  double requests_per_second = 10;
  double seconds = 10;
  int threads = 64;
  int max_tokens = 32;
  int prefixes = 8;  ///< Number of distinct prompt prefixes.
  Milliseconds request_timeout{5000};
  std::uint64_t seed = 1;
  int attempts = 1;
};

/** Parses a mix such as "councils=3,schools=1". */
Result<std::vector<std::pair<std::string, double>>> ParseTeamMix(const std::string& text);

/** One planned request of a load run. */
struct Arrival {
  double start_offset_seconds = 0;
  std::size_t team = 0;
  int prefix = 0;

  friend bool operator==(const Arrival&, const Arrival&) = default;
};

/** Returns the arrivals of a Poisson process; they are deterministic for a given plan. */
std::vector<Arrival> PlanArrivals(const LoadPlan& plan);

/** Runs the load and returns the report as JSON. */
Result<std::string> RunLoad(const LoadPlan& plan);

ExitCode Load(const Arguments& arguments);

}  // namespace limpetfall

#endif  // LIMPETFALL_TOOL_LOAD_COMMAND_H_
