#include "camphorlug/admission/drain_rate.h"

#include <algorithm>

namespace camphorlug::admission {

static constexpr double gap_gain = 0.05;
static constexpr double lowest_rate = 0.1;
static constexpr double highest_rate = 100'000;

void drain_rate::record(support::clock::time_point now, bool others_wait) {
  if (has_last_ && others_wait) {
    const std::chrono::duration<double> gap = now - last_;
    mean_gap_seconds_ = mean_gap_seconds_ == 0
                            ? gap.count()
                            : mean_gap_seconds_ + (gap.count() - mean_gap_seconds_) * gap_gain;
  }
  has_last_ = others_wait;
  last_ = now;
}

double drain_rate::per_second() const {
  if (mean_gap_seconds_ <= 0)
    return highest_rate;
  return std::clamp(1 / mean_gap_seconds_, lowest_rate, highest_rate);
}

} // namespace camphorlug::admission
