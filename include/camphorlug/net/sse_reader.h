#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace camphorlug::net {

/// One server-sent event.
struct sse_event {
  /// The `id` field; empty when there is none.
  std::string id;
  std::string data;
};

/// Incremental parser for a stream of server-sent events, whose lines end with LF or CR LF.
class sse_reader {
public:
  void append(std::string_view bytes) { buffer_ += bytes; }

  /// Returns the next complete event, or nothing until more bytes arrive. Comments and
  /// events with neither `id` nor `data` are skipped.
  std::optional<sse_event> next();

private:
  std::string buffer_;
  /// Where the first line that was not read yet begins.
  std::size_t begin_ = 0;
  /// The event whose lines were read so far.
  sse_event event_;
};

} // namespace camphorlug::net
