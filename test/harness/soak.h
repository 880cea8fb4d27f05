#ifndef LIMPETFALL_TEST_HARNESS_SOAK_H_
#define LIMPETFALL_TEST_HARNESS_SOAK_H_

#include <cppunit/TestAssert.h>

#include <cstdint>
#include <cstdlib>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "limpetfall/time.h"

namespace limpetfall::testing {

using Random = std::mt19937_64;

// Unlike the distributions of the library, the same on all platforms.
inline std::uint64_t Draw(Random& random, std::uint64_t low, std::uint64_t high) {
  return low + random() % (high - low + 1);
}

inline Milliseconds DrawTime(Random& random, std::uint64_t low, std::uint64_t high) {
  return Milliseconds(Draw(random, low, high));
}

/** Returns the seeds of CI, or those that LIMPETFALL_SOAK_SEEDS="FIRST-LAST" selects by hand. */
inline std::vector<std::uint64_t> SoakSeeds(std::uint64_t first, std::uint64_t last) {
  const char* const range = std::getenv("LIMPETFALL_SOAK_SEEDS");
  if (range == nullptr) return {first, last};
  char dash = 0;
  std::istringstream(range) >> first >> dash >> last;
  CPPUNIT_ASSERT_MESSAGE("LIMPETFALL_SOAK_SEEDS must be FIRST-LAST", dash == '-' && first <= last);
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = first; seed <= last; ++seed) seeds.push_back(seed);
  return seeds;
}

/** Statuses that promise that the request has not run and never will. */
inline bool PromisesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

/** Returns a time in ms with three decimals. */
inline std::string FormatTime(Clock::duration time) {
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
  std::ostringstream text;
  text << std::fixed;
  text.precision(3);
  text << static_cast<double>(us) / 1000 << " ms";
  return text.str();
}

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_SOAK_H_
