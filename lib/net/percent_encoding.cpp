#include "camphorlug/net/percent_encoding.h"

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

} // namespace camphorlug::net
