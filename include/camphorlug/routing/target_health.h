#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>

namespace camphorlug::routing {

/// Health of one target as observed through one node's own requests.
class target_health {
public:
  /// Records that a response began after `latency`.
  void on_response(std::chrono::nanoseconds latency);

  /// Records that a request failed or was refused.
  void on_failure(support::clock::time_point now);

  /// Exponentially smoothed latency; 0 until there are enough samples.
  std::chrono::nanoseconds latency() const;

  /// Whether the target is to be avoided now because of consecutive failures.
  bool is_failing(support::clock::time_point now) const { return now < avoid_until_; }

  /// Ejects the target for a limited time because it is slower than the others.
  void eject(support::clock::time_point now);
  bool is_ejected(support::clock::time_point now) const { return now < ejected_until_; }

private:
  double mean_latency_ns_ = 0;
  std::size_t response_count_ = 0;
  std::size_t consecutive_failures_ = 0;
  std::size_t ejections_ = 0;
  support::clock::time_point avoid_until_;
  support::clock::time_point ejected_until_;
};

} // namespace camphorlug::routing
