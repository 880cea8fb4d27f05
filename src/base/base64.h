#ifndef LIMPETFALL_BASE_BASE64_H_
#define LIMPETFALL_BASE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace limpetfall {

/** Encodes with the standard base64 alphabet and padding. */
std::string EncodeBase64(std::string_view bytes);

/** Decodes padded standard base64; returns `std::nullopt` for any other text. */
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace limpetfall

#endif  // LIMPETFALL_BASE_BASE64_H_
