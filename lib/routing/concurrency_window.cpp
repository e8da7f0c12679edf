#include "camphorlug/routing/concurrency_window.h"

#include <algorithm>

namespace camphorlug::routing {

static constexpr double initial_size = 8;
static constexpr double min_size = 1;
static constexpr double shrink_factor = 0.7;
static constexpr std::chrono::seconds shrink_interval{1};

concurrency_window::concurrency_window(std::size_t max_size)
    : size_(std::min(initial_size, static_cast<double>(max_size))),
      max_size_(static_cast<double>(max_size)) {}

void concurrency_window::set_max_size(std::size_t max_size) {
  max_size_ = static_cast<double>(max_size);
  size_ = std::min(size_, max_size_);
}

void concurrency_window::on_timely_response() {
  size_ = std::min(max_size_, size_ + 1 / size_);
}

void concurrency_window::on_overload(support::clock::time_point now) {
  if (has_shrunk_ && now - shrunk_at_ < shrink_interval)
    return;
  has_shrunk_ = true;
  shrunk_at_ = now;
  size_ = std::max(min_size, size_ * shrink_factor);
}

} // namespace camphorlug::routing
