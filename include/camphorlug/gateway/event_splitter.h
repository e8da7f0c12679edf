#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorlug::gateway {

/// One event of a stream, with its original bytes.
struct raw_event {
  std::string bytes;
  /// Value of the `id` field, if it is a number.
  std::optional<std::uint64_t> id;
};

/// Splits an event stream into complete events without changing their bytes.
class event_splitter {
public:
  void append(std::string_view bytes);

  /// Returns the next complete event, or nothing if more bytes are needed.
  std::optional<raw_event> next();

  /// Whether the buffer holds the bytes of an incomplete event.
  bool has_partial_event() const { return begin_ < buffer_.size(); }

  /// Size of the incomplete event so far.
  std::size_t partial_event_size() const { return buffer_.size() - begin_; }

private:
  std::string buffer_;
  std::size_t begin_ = 0;
};

} // namespace camphorlug::gateway
