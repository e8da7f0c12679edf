#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorlug::fuzz {

/// Takes parts of an input, which a line feed ends.
class input_reader {
public:
  input_reader(const std::uint8_t* data, std::size_t size)
      // libFuzzer passes bytes.
      : rest_(reinterpret_cast<const char*>(data), size) {}

  bool at_end() const { return rest_.empty(); }

  /// Returns the next line without its end.
  std::string take_line() {
    const std::size_t length = std::min(rest_.find('\n'), rest_.size());
    const std::string line(rest_.substr(0, length));
    rest_.remove_prefix(std::min(length + 1, rest_.size()));
    return line;
  }

  /// Returns the next byte, or 0 at the end.
  std::uint8_t take_byte() {
    if (rest_.empty())
      return 0;
    const auto byte = static_cast<std::uint8_t>(rest_.front());
    rest_.remove_prefix(1);
    return byte;
  }

  std::string take_rest() {
    const std::string rest(rest_);
    rest_ = {};
    return rest;
  }

private:
  std::string_view rest_;
};

} // namespace camphorlug::fuzz
