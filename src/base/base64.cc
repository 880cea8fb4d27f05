#include "base/base64.h"

#include <array>
#include <cstdint>

namespace limpetfall {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

constexpr std::array<std::int8_t, 256> MakeDecodeTable() {
  std::array<std::int8_t, 256> values{};
  for (auto& entry : values) entry = -1;
  for (std::size_t i = 0; i < kAlphabet.size(); ++i) {
    values[static_cast<unsigned char>(kAlphabet[i])] = static_cast<std::int8_t>(i);
  }
  return values;
}

constexpr std::array<std::int8_t, 256> kDecodeTable = MakeDecodeTable();

std::uint32_t ByteAt(std::string_view bytes, std::size_t index) {
  return index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U;
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::uint32_t bits =
        ByteAt(bytes, i) << 16U | ByteAt(bytes, i + 1) << 8U | ByteAt(bytes, i + 2);
    text.push_back(kAlphabet[bits >> 18U]);
    text.push_back(kAlphabet[bits >> 12U & 63U]);
    text.push_back(i + 1 < bytes.size() ? kAlphabet[bits >> 6U & 63U] : '=');
    text.push_back(i + 2 < bytes.size() ? kAlphabet[bits & 63U] : '=');
  }
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  std::string bytes;
  bytes.reserve(text.size() / 4 * 3);
  for (std::size_t i = 0; i < text.size(); i += 4) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 4; ++j) {
      const bool padded = i + j >= text.size() - padding;
      const int value = padded ? 0 : kDecodeTable[static_cast<unsigned char>(text[i + j])];
      if (value < 0) return std::nullopt;
      bits = bits << 6U | static_cast<std::uint32_t>(value);
    }
    bytes.push_back(static_cast<char>(bits >> 16U & 255U));
    bytes.push_back(static_cast<char>(bits >> 8U & 255U));
    bytes.push_back(static_cast<char>(bits & 255U));
  }
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace limpetfall
