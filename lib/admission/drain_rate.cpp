#include "camphorlug/admission/drain_rate.h"

#include <algorithm>

namespace camphorlug::admission {

static constexpr double gap_smoothing = 0.05;
static constexpr double min_rate = 0.1;
static constexpr double max_rate = 100'000;

void drain_rate::record(support::clock::time_point now, bool is_backlogged) {
  if (has_last_ && is_backlogged) {
    const std::chrono::duration<double> gap = now - last_;
    mean_gap_seconds_ = mean_gap_seconds_ == 0
                            ? gap.count()
                            : mean_gap_seconds_ + (gap.count() - mean_gap_seconds_) * gap_smoothing;
  }
  has_last_ = is_backlogged;
  last_ = now;
}

double drain_rate::per_second() const {
  if (mean_gap_seconds_ <= 0)
    return max_rate;
  return std::clamp(1 / mean_gap_seconds_, min_rate, max_rate);
}

} // namespace camphorlug::admission
