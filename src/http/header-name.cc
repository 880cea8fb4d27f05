#include <algorithm>
#include <cctype>

#include "http/client.h"

namespace limpetfall {

bool HeaderNameLess::operator()(const std::string& a, const std::string& b) const {
  return std::lexicographical_compare(
      a.begin(), a.end(), b.begin(), b.end(),
      [](unsigned char x, unsigned char y) { return std::tolower(x) < std::tolower(y); });
}

std::string_view GetHeader(const Headers& headers, const std::string& name) {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

}  // namespace limpetfall
