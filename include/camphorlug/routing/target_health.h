#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>

namespace camphorlug::routing {

/// What one node's own requests tell of one target.
class target_health {
public:
  /// A request began to answer after `latency`.
  void on_answer(std::chrono::nanoseconds latency);

  /// A request failed or was refused.
  void on_failure(support::clock::time_point now);

  /// Running mean of the latency; 0 before enough answers.
  std::chrono::nanoseconds latency() const;

  /// Whether a run of failures keeps the target from getting requests now.
  bool is_failing(support::clock::time_point now) const { return now < avoid_until_; }

  /// Sets the target aside because it is slower than its peers.
  void eject(support::clock::time_point now);
  bool is_ejected(support::clock::time_point now) const { return now < ejected_until_; }

private:
  double mean_latency_ns_ = 0;
  std::size_t answers_ = 0;
  std::size_t consecutive_failures_ = 0;
  std::size_t ejections_ = 0;
  support::clock::time_point avoid_until_;
  support::clock::time_point ejected_until_;
};

} // namespace camphorlug::routing
