#pragma once

#include <chrono>
#include <string>

namespace camphorlug::admission {

/// Outcome of an admission request.
struct admission_result {
  bool granted = false;
  /// Set on refusal: the reason, and the time after which a retry may succeed.
  std::string reason;
  std::chrono::seconds retry_after{1};
  /// Time that a granted request spent in the queue; 0 if refused.
  std::chrono::nanoseconds waited{0};
};

} // namespace camphorlug::admission
