#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace camphorlug::diagnosis {

using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Parses the `time` field of a log line (`2026-12-04T01:02:03.456Z`). Returns nullopt if it
/// is malformed.
std::optional<wall_time> parse_log_time(const std::string& text);

} // namespace camphorlug::diagnosis
