#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace camphorlug::gateway {

/// Learns the time limit with which callers of a route begin, to recognise requests that return
/// after a refusal: their limit is shorter by the time that has passed.
class usual_time_limits {
public:
  /// A longer limit counts for this long at least after its last use.
  static constexpr std::chrono::seconds memory{5};

  explicit usual_time_limits(support::clock& time) : time_(time) {}

  /// Counts a request and returns how much of the usual limit has passed before it; 0 if it has no
  /// limit.
  std::chrono::nanoseconds time_used(const std::string& route,
                                     std::optional<std::chrono::milliseconds> limit);

private:
  struct longest {
    std::chrono::milliseconds current{0};
    std::chrono::milliseconds previous{0};
    support::clock::time_point since;
  };

  support::clock& time_;
  std::map<std::string, longest> longest_;
};

} // namespace camphorlug::gateway
