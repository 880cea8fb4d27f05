#include "record.h"

#include <chrono>
#include <cstdio>

namespace limpetfall::review {

double Record::Seconds() const {
  return std::chrono::duration<double>(Clock::now() - this->started).count();
}

void Record::Write(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", this->Seconds());
  this->file << time << line << std::endl;
}

void Record::Violation(const std::string& line) {
  ++this->violation_count;
  this->Write("RULE BROKEN: " + line);
}

}  // namespace limpetfall::review
