#include "camphorlug/routing/concurrency_window.h"

#include <algorithm>

namespace camphorlug::routing {

static constexpr double first_size = 8;
static constexpr double lowest_size = 1;
static constexpr double shrink_factor = 0.7;
static constexpr std::chrono::seconds shrink_interval{1};

concurrency_window::concurrency_window(std::size_t highest)
    : size_(std::min(first_size, static_cast<double>(highest))),
      highest_(static_cast<double>(highest)) {}

void concurrency_window::set_highest(std::size_t highest) {
  highest_ = static_cast<double>(highest);
  size_ = std::min(size_, highest_);
}

void concurrency_window::on_timely() {
  size_ = std::min(highest_, size_ + 1 / size_);
}

void concurrency_window::on_overload(support::clock::time_point now) {
  if (has_shrunk_ && now - shrunk_at_ < shrink_interval)
    return;
  has_shrunk_ = true;
  shrunk_at_ = now;
  size_ = std::max(lowest_size, size_ * shrink_factor);
}

} // namespace camphorlug::routing
