#pragma once

#include <chrono>
#include <optional>

namespace camphorlug::gateway {

/// What a target says about itself in a response, whatever the response answers.
struct target_notice {
  /// It shuts down and accepts no new requests.
  bool leaving = false;
  /// It has no capacity now and wants no requests from this node for this long.
  std::optional<std::chrono::nanoseconds> retry_after;
  /// Requests a second that it takes from all nodes together, for as long as it says so; nothing
  /// if it names no limit.
  std::optional<double> request_limit;
  /// It is cold and stays so for this long.
  std::optional<std::chrono::milliseconds> cold_remaining;
};

} // namespace camphorlug::gateway
