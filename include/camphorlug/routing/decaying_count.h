#pragma once

#include <chrono>
#include <cmath>

namespace camphorlug::routing {

/// Counts events with exponential decay: the weight of an event falls by a factor
/// of e, to about a third, per `time_constant`.
class decaying_count {
public:
  static constexpr std::chrono::seconds time_constant{1};

  void add(std::chrono::nanoseconds now) {
    count_ = value(now) + 1;
    at_ = now;
  }

  double value(std::chrono::nanoseconds now) const {
    return count_ * std::exp(-std::chrono::duration<double>(now - at_) /
                             std::chrono::duration<double>(time_constant));
  }

private:
  double count_ = 0;
  std::chrono::nanoseconds at_{0};
};

} // namespace camphorlug::routing
