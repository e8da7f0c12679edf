#pragma once

#include <string>
#include <vector>

namespace camphorlug::diagnosis {

/// One target that a request was sent to, and why that attempt failed.
struct target_attempt {
  std::string target;
  /// In the order in which they were logged; empty when the target answered.
  std::vector<std::string> failure_reasons;
};

/// Reads the `targets` field of a request's log line: ` T1 (reason) (reason) T2`.
std::vector<target_attempt> parse_attempts(const std::string& text);

} // namespace camphorlug::diagnosis
