#include "camphorlug/requests/stream_position.h"

#include "camphorlug/support/digest.h"

#include <charconv>
#include <vector>

namespace camphorlug::requests {

/// Separates the fields; no name or id contains it.
static constexpr char separator = '.';
static constexpr std::size_t signature_length = 32;
static constexpr std::size_t field_count = 7;

static std::string signature_of(std::string_view text, std::string_view key) {
  return support::hmac_sha256_hex(key, text).substr(0, signature_length);
}

std::string sign_position(const stream_position& position, std::string_view key) {
  const std::string text = position.organisation + separator + position.service + separator +
                           position.group + separator + position.attempt + separator +
                           std::to_string(position.index) + separator + position.text_hash;
  return text + separator + signature_of(text, key);
}

static std::vector<std::string> split(std::string_view text) {
  std::vector<std::string> list;
  while (true) {
    const std::size_t end = text.find(separator);
    list.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos)
      return list;
    text.remove_prefix(end + 1);
  }
}

std::optional<stream_position> verify_position(std::string_view token, std::string_view key) {
  const std::size_t last = token.rfind(separator);
  if (last == std::string_view::npos)
    return std::nullopt;
  if (!support::equal_in_constant_time(token.substr(last + 1),
                                       signature_of(token.substr(0, last), key)))
    return std::nullopt;
  const std::vector<std::string> fields = split(token);
  if (fields.size() != field_count)
    return std::nullopt;
  stream_position position{fields[0], fields[1], fields[2], fields[3], 0, fields[5]};
  const std::string& index = fields[4];
  const auto read = std::from_chars(index.data(), index.data() + index.size(), position.index);
  if (read.ec != std::errc())
    return std::nullopt;
  return position;
}

} // namespace camphorlug::requests
