#pragma once

#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>

namespace camphorlug::support {

/// A named value in a log line.
struct log_field {
  std::string_view name;
  std::string value;
};

/// Severity of a log line.
enum class log_level { info, warning, error };

/// Starts logging to standard output, one JSON object per line, with `node` in every line.
/// Lines below `min_level` are dropped.
void start_json_log(std::string_view node, log_level min_level);

/// Time for the reader of the log to take the last lines of a process.
inline constexpr std::chrono::milliseconds last_lines_patience{100};

/// Writes the omitted-line count of each inactive kind (see log_throttle) and the number of lines
/// that were dropped because nobody read the log, and writes the held lines to standard output as
/// far as the reader takes them. Waits for the reader at most for `patience`.
void flush_log(std::chrono::milliseconds patience = std::chrono::milliseconds(0));

/// Writes one line for `event`, or counts it as omitted when its kind exceeds the rate limit.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace camphorlug::support
