#include "camphorlug/gateway/time_histogram.h"

#include <algorithm>
#include <cmath>

namespace camphorlug::gateway {

void time_histogram::count(std::chrono::nanoseconds time) {
  const double ratio = std::chrono::duration<double>(time) / shortest;
  const double position = ratio <= 1 ? 0 : std::log2(ratio) * buckets_per_octave;
  ++counts_[std::min(static_cast<std::size_t>(position), counts_.size() - 1)];
  ++total_;
}

void time_histogram::add(const time_histogram& other) {
  for (std::size_t i = 0; i < counts_.size(); ++i)
    counts_[i] += other.counts_[i];
  total_ += other.total_;
}

std::optional<std::chrono::nanoseconds> time_histogram::quantile(double fraction) const {
  const double rank = fraction * static_cast<double>(total_);
  std::size_t seen = 0;
  for (std::size_t i = 0; i + 1 < counts_.size(); ++i) {
    seen += counts_[i];
    if (seen > 0 && static_cast<double>(seen) >= rank) {
      const double upper = std::exp2(static_cast<double>(i + 1) / buckets_per_octave);
      return std::chrono::duration_cast<std::chrono::nanoseconds>(
          upper * std::chrono::duration<double, std::milli>(shortest));
    }
  }
  return std::nullopt;
}

} // namespace camphorlug::gateway
