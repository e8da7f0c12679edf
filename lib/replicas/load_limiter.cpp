#include "camphorlug/replicas/load_limiter.h"

namespace camphorlug::replicas {

std::size_t load_limiter::max_loads(double loads_per_second) const {
  const double seconds = std::chrono::duration<double>(window).count();
  return static_cast<std::size_t>(loads_per_second * seconds * usable_fraction);
}

void load_limiter::fill_window(double loads_per_second) {
  load_starts_.assign(max_loads(loads_per_second), time_.now());
}

bool load_limiter::try_acquire(double loads_per_second) {
  const auto now = time_.now();
  while (!load_starts_.empty() && now - load_starts_.front() >= window)
    load_starts_.pop_front();
  if (load_starts_.size() >= max_loads(loads_per_second))
    return false;
  load_starts_.push_back(now);
  return true;
}

} // namespace camphorlug::replicas
