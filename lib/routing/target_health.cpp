#include "camphorlug/routing/target_health.h"

#include <algorithm>

namespace camphorlug::routing {

static constexpr double latency_smoothing = 0.2;
static constexpr std::size_t min_latency_samples = 5;
static constexpr std::size_t failures_before_avoidance = 3;
static constexpr std::chrono::seconds initial_avoidance{1};
static constexpr std::chrono::seconds initial_ejection{5};
static constexpr std::size_t max_backoff_exponent = 4;

void target_health::on_response(std::chrono::nanoseconds latency) {
  const auto value = static_cast<double>(latency.count());
  mean_latency_ns_ = response_count_ == 0
                         ? value
                         : mean_latency_ns_ + (value - mean_latency_ns_) * latency_smoothing;
  ++response_count_;
  consecutive_failures_ = 0;
}

void target_health::on_failure(support::clock::time_point now) {
  ++consecutive_failures_;
  if (consecutive_failures_ < failures_before_avoidance)
    return;
  const std::size_t doubling =
      std::min(max_backoff_exponent, consecutive_failures_ - failures_before_avoidance);
  avoid_until_ = now + initial_avoidance * (1 << doubling);
}

std::chrono::nanoseconds target_health::latency() const {
  if (response_count_ < min_latency_samples)
    return std::chrono::nanoseconds(0);
  return std::chrono::nanoseconds(static_cast<std::int64_t>(mean_latency_ns_));
}

void target_health::eject(support::clock::time_point now) {
  ejected_until_ = now + initial_ejection * (1 << std::min(max_backoff_exponent, ejections_));
  ++ejections_;
  // The latency estimate starts over with the responses after the ejection.
  response_count_ = 0;
}

} // namespace camphorlug::routing
