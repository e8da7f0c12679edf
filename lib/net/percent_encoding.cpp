#include "camphorlug/net/percent_encoding.h"

#include <charconv>

namespace camphorlug::net {

static bool is_unreserved(char byte) {
  static constexpr std::string_view marks = "-._~";
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= '0' && byte <= '9') || marks.find(byte) != std::string_view::npos;
}

std::string percent_encode(std::string_view bytes) {
  static constexpr std::string_view digits = "0123456789ABCDEF";
  std::string encoded;
  for (const char byte : bytes) {
    if (is_unreserved(byte)) {
      encoded += byte;
      continue;
    }
    const auto value = static_cast<unsigned char>(byte);
    encoded += '%';
    encoded += digits[value >> 4U];
    encoded += digits[value & 0xFU];
  }
  return encoded;
}

std::string percent_decode(std::string_view text) {
  std::string decoded;
  while (!text.empty()) {
    const std::string_view digits = text.substr(1, 2);
    unsigned value = 0;
    const auto [rest, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    const bool is_encoded = text.front() == '%' && digits.size() == 2 && error == std::errc() &&
                            rest == digits.data() + digits.size();
    decoded += is_encoded ? static_cast<char>(value) : text.front();
    text.remove_prefix(is_encoded ? 3 : 1);
  }
  return decoded;
}

} // namespace camphorlug::net
