#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>

namespace camphorlug::admission {

/// Running estimate of the requests that finish in a second.
class drain_rate {
public:
  /// Notes that a request finished. Only the gaps of a busy time, in which
  /// others waited, tell how fast the targets are.
  void record(support::clock::time_point now, bool is_backlogged);

  /// Requests a second; a very large number before a first busy time.
  double per_second() const;

private:
  double mean_gap_seconds_ = 0;
  support::clock::time_point last_;
  bool has_last_ = false;
};

} // namespace camphorlug::admission
