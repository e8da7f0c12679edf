#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace camphorlug::gateway {

/// Counts times in buckets of logarithmic width. Its size is fixed.
class time_histogram {
public:
  /// Shorter times fall into the first bucket.
  static constexpr std::chrono::milliseconds shortest{1};
  static constexpr std::size_t buckets_per_octave = 8;
  static constexpr std::size_t octaves = 16;

  void count(std::chrono::nanoseconds time);
  void add(const time_histogram& other);
  std::size_t total() const { return total_; }

  /// A time that is not below the given quantile, at most one bucket above it. Nothing if the
  /// histogram is empty or the quantile is in the last bucket, which has no upper bound.
  std::optional<std::chrono::nanoseconds> quantile(double fraction) const;

private:
  std::array<std::uint32_t, buckets_per_octave * octaves> counts_{};
  std::size_t total_ = 0;
};

} // namespace camphorlug::gateway
