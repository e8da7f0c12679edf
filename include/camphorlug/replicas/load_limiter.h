#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace camphorlug::replicas {

/// Sliding-window rate limiter for weight loads from the weight store.
class load_limiter {
public:
  /// The window over which the operators of the weight store measure the load rate.
  static constexpr std::chrono::seconds window{5};
  /// Fraction of the permitted rate that is used. The rest is a margin for orders that got no
  /// answer, because they may start their load later than they were counted.
  static constexpr double usable_fraction = 0.8;

  explicit load_limiter(support::clock& time) : time_(time) {}

  /// Marks the whole window as used, for the case that a previous planner has just used it up.
  void fill_window(double loads_per_second);

  /// Counts one load if the window has capacity left; returns whether it had.
  bool try_acquire(double loads_per_second);

private:
  /// The number of loads that may start within one window.
  std::size_t max_loads(double loads_per_second) const;

  support::clock& time_;
  std::deque<support::clock::time_point> load_starts_;
};

} // namespace camphorlug::replicas
