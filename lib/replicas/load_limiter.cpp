#include "camphorlug/replicas/load_limiter.h"

namespace camphorlug::replicas {

std::size_t load_limiter::bound(double loads_per_second) const {
  const double seconds = std::chrono::duration<double>(window).count();
  return static_cast<std::size_t>(loads_per_second * seconds * used_part);
}

void load_limiter::assume_full(double loads_per_second) {
  begun_.assign(bound(loads_per_second), time_.now());
}

bool load_limiter::take(double loads_per_second) {
  const auto now = time_.now();
  while (!begun_.empty() && now - begun_.front() >= window)
    begun_.pop_front();
  if (begun_.size() >= bound(loads_per_second))
    return false;
  begun_.push_back(now);
  return true;
}

} // namespace camphorlug::replicas
