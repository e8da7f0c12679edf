#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorlug::gateway {

/// One event of a stream, byte for byte.
struct raw_event {
  std::string bytes;
  /// Its `id` field when that is a number.
  std::optional<std::uint64_t> id;
};

/// Cuts a stream into whole events and keeps their bytes.
class event_splitter {
public:
  void append(std::string_view bytes) { buffer_ += bytes; }

  /// The next whole event.
  std::optional<raw_event> next();

  /// Whether bytes of an unfinished event are left.
  bool has_partial_event() const { return begin_ < buffer_.size(); }

private:
  std::string buffer_;
  std::size_t begin_ = 0;
};

} // namespace camphorlug::gateway
