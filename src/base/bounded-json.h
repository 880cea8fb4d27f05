#ifndef LIMPETFALL_BASE_BOUNDED_JSON_H_
#define LIMPETFALL_BASE_BOUNDED_JSON_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

namespace limpetfall {

/**
 * Parses a JSON text that another program wrote. Throws a `std::exception` if it is malformed, or
 * nested deeper than any document of this program: each level takes many times its one byte of
 * text.
 */
inline nlohmann::json ParseBoundedJson(const std::string& text) {
  constexpr int kMaxDepth = 32;
  return nlohmann::json::parse(text, [](int depth, nlohmann::json::parse_event_t /*event*/,
                                        const nlohmann::json& /*value*/) {
    if (depth > kMaxDepth) throw std::invalid_argument("the document is nested too deeply");
    return true;
  });
}

/**
 * Returns a field that holds a whole number from `min` to `max`. Throws a `std::exception`
 * otherwise; the library's own conversion would truncate fractions and large numbers.
 */
template <typename T>
T ReadWholeNumber(const nlohmann::json& object, const char* field,
                  T min = std::numeric_limits<T>::min(), T max = std::numeric_limits<T>::max()) {
  const nlohmann::json& value = object.at(field);
  const auto checked = [&](auto number) {
    if (std::cmp_less(number, min) || std::cmp_greater(number, max))
      throw std::out_of_range(std::string(field) + " is out of range");
    return static_cast<T>(number);
  };
  if (value.is_number_unsigned()) return checked(value.get<std::uint64_t>());
  if (value.is_number_integer()) return checked(value.get<std::int64_t>());
  throw std::invalid_argument(std::string(field) + " is not a whole number");
}

}  // namespace limpetfall

#endif  // LIMPETFALL_BASE_BOUNDED_JSON_H_
