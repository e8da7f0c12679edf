#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>

namespace camphorlug::admission {

/// Exponentially smoothed estimate of the rate at which requests finish.
class drain_rate {
public:
  /// Records that a request finished. Counts the gap since the last completion
  /// only if requests were waiting: without a backlog, gaps reflect the arrival
  /// rate rather than the speed of the targets.
  void record(support::clock::time_point now, bool is_backlogged);

  /// Requests per second; a very large number until the first backlog.
  double per_second() const;

private:
  double mean_gap_seconds_ = 0;
  support::clock::time_point last_;
  bool has_last_ = false;
};

} // namespace camphorlug::admission
