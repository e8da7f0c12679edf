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

bool is_visible_ascii(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char each) { return each > ' ' && each < 0x7F; });
}

bool is_host_and_port(std::string_view text) {
  static constexpr std::size_t max_port_digits = 5;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  const std::string_view port = text.substr(colon + 1);
  std::string_view host = text.substr(0, colon);
  const bool is_bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (is_bracketed)
    host = host.substr(1, host.size() - 2);
  const auto is_host_character = [is_bracketed](char byte) {
    return is_digit(byte) || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
           byte == '.' || byte == '-' || (is_bracketed && byte == ':');
  };
  return is_decimal(port) && port.size() <= max_port_digits && !host.empty() &&
         std::all_of(host.begin(), host.end(), is_host_character);
}

bool is_decimal(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

} // namespace camphorlug::net
