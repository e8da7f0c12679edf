#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace camphorlug::replicas {

/// Holds the loads from the weight store below their rate over every window.
class load_limiter {
public:
  /// The window over which the store's owners count.
  static constexpr std::chrono::seconds window{5};
  /// Part of the rate that is used: an order without an answer may begin its load later.
  static constexpr double used_part = 0.8;

  explicit load_limiter(support::clock& time) : time_(time) {}

  /// Assumes that an earlier planner has just used the whole window.
  void fill_window(double loads_per_second);

  /// Takes one load if the window has room.
  bool take(double loads_per_second);

private:
  std::size_t bound(double loads_per_second) const;

  support::clock& time_;
  std::deque<support::clock::time_point> load_starts_;
};

} // namespace camphorlug::replicas
