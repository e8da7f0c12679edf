#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace camphorlug::support {

/// One named value of a log line.
struct log_field {
  std::string_view name;
  std::string value;
};

/// How much a log line matters.
enum class log_level { info, warning, error };

/// Sends all log lines to standard output as one JSON object each, with `node` in every line.
/// Lines below `lowest` are dropped.
void start_json_log(std::string_view node, log_level lowest);

/// Writes out the lines that are kept in memory until there are enough of them, and
/// how many lines of each kind were left out (see log_throttle).
void flush_log();

/// Writes one line for `event`, or counts it as left out when its kind is too frequent.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace camphorlug::support
