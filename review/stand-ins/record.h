#ifndef LIMPETFALL_REVIEW_STAND_INS_RECORD_H_
#define LIMPETFALL_REVIEW_STAND_INS_RECORD_H_

#include <fstream>
#include <string>

#include "limpetfall/time.h"

namespace limpetfall::review {

/** Exit codes of a case. */
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

/** Log of a case: what was sent, answered and run, with seconds since its start. */
class Record {
 public:
  explicit Record(const std::string& path) : file(path), started(Clock::now()) {}

  void Write(const std::string& line);

  /** Writes a line and counts it as a violation of the rule of the case. */
  void Violation(const std::string& line);

  [[nodiscard]] int violations() const { return this->violation_count; }
  [[nodiscard]] double Seconds() const;

 private:
  std::ofstream file;
  TimePoint started;
  int violation_count = 0;
};

}  // namespace limpetfall::review

#endif  // LIMPETFALL_REVIEW_STAND_INS_RECORD_H_
