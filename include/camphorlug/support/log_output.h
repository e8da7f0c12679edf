#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorlug::support {

/// Writes log lines to a file descriptor without ever waiting for its reader.
///
/// Load pattern: the reader of the logs stands still because its own disk or network is slow, so
/// that the pipe to it fills up. A process that waits for it serves nothing meanwhile.
class log_output {
public:
  /// Lines that cannot be written yet are held up to this size; further ones are dropped.
  static constexpr std::size_t max_held_bytes = 256 * 1024;
  /// Lines are held until there is this much of them, to reduce the number of writes, or until
  /// `flush` is called.
  static constexpr std::size_t write_threshold_bytes = 32 * 1024;

  explicit log_output(int descriptor) : descriptor_(descriptor) {}

  /// Adds a line, without its line break. Returns false if it was dropped.
  bool add(std::string_view line);

  /// Writes what the reader takes. Waits for it at most for `patience` in all.
  void flush(std::chrono::milliseconds patience = std::chrono::milliseconds(0));

  /// Returns the number of lines dropped since the last call, or 0 if there is no room for a line
  /// that reports it.
  std::uint64_t take_dropped();

private:
  /// Returns the number of bytes written; 0 if the reader takes none.
  std::size_t write_some();
  bool is_writable(std::chrono::milliseconds patience) const;

  int descriptor_;
  std::string held_;
  std::uint64_t dropped_ = 0;
};

} // namespace camphorlug::support
