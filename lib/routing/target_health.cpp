#include "camphorlug/routing/target_health.h"

#include <algorithm>

namespace camphorlug::routing {

static constexpr double latency_gain = 0.2;
static constexpr std::size_t answers_before_judging = 5;
static constexpr std::size_t failures_before_avoiding = 3;
static constexpr std::chrono::seconds first_avoidance{1};
static constexpr std::chrono::seconds first_ejection{5};
static constexpr std::size_t longest_doubling = 4;

void target_health::on_answer(std::chrono::nanoseconds latency) {
  const auto value = static_cast<double>(latency.count());
  mean_latency_ns_ =
      answers_ == 0 ? value : mean_latency_ns_ + (value - mean_latency_ns_) * latency_gain;
  ++answers_;
  failures_in_a_row_ = 0;
}

void target_health::on_failure(support::clock::time_point now) {
  ++failures_in_a_row_;
  if (failures_in_a_row_ < failures_before_avoiding)
    return;
  const std::size_t doubling =
      std::min(longest_doubling, failures_in_a_row_ - failures_before_avoiding);
  avoid_until_ = now + first_avoidance * (1 << doubling);
}

std::chrono::nanoseconds target_health::latency() const {
  if (answers_ < answers_before_judging)
    return std::chrono::nanoseconds(0);
  return std::chrono::nanoseconds(static_cast<std::int64_t>(mean_latency_ns_));
}

void target_health::eject(support::clock::time_point now) {
  ejected_until_ = now + first_ejection * (1 << std::min(longest_doubling, ejections_));
  ++ejections_;
  // Judged anew by the answers after its return.
  answers_ = 0;
}

} // namespace camphorlug::routing
