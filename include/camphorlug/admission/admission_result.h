#pragma once

#include <chrono>
#include <string>

namespace camphorlug::admission {

/// Whether a request may be sent now.
struct admission_result {
  bool granted = false;
  /// For a refusal: why, and after what time a new try can help.
  std::string reason;
  std::chrono::seconds retry_after{1};
  /// Time spent in the queue.
  std::chrono::nanoseconds waited{0};
};

} // namespace camphorlug::admission
