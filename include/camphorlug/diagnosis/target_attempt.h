#pragma once

#include <string>
#include <vector>

namespace camphorlug::diagnosis {

/// One target that a request was sent to, and how that failed.
struct target_attempt {
  std::string target;
  /// In the order in which they were noted; empty when the target answered.
  std::vector<std::string> troubles;
};

/// Reads the `targets` field of a request's log line: ` T1 (reason) (reason) T2`.
std::vector<target_attempt> parse_attempts(const std::string& text);

} // namespace camphorlug::diagnosis
