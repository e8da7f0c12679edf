#include "camphorlug/net/header_syntax.h"

#include <algorithm>

namespace camphorlug::net {

static bool is_digit(char byte) {
  return byte >= '0' && byte <= '9';
}

static bool is_token_character(char byte) {
  static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return is_digit(byte) || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         marks.find(byte) != std::string_view::npos;
}

bool is_token(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), is_token_character);
}

bool is_field_value(std::string_view value) {
  return std::none_of(value.begin(), value.end(), [](char each) {
    const auto byte = static_cast<unsigned char>(each);
    return (byte < 0x20 && each != '\t') || byte == 0x7F;
  });
}

bool is_decimal(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

} // namespace camphorlug::net
