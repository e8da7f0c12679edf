#pragma once

#include "camphorlug/support/clock.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace camphorlug::fakes {

/// The clock of a process in which one wait can be made to fail by an exception.
class failing_clock final : public support::clock {
public:
  struct wait {
    time_point begun_at;
    std::chrono::nanoseconds delay;
  };

  explicit failing_clock(support::clock& cluster_clock) : cluster_clock_(cluster_clock) {}

  time_point now() const override { return cluster_clock_.now(); }
  std::chrono::system_clock::time_point wall_time() const override {
    return cluster_clock_.wall_time();
  }
  std::unique_ptr<support::timer> make_timer() override;

  /// Makes the wait with this number, from 0 on, throw std::runtime_error when it begins.
  void fail_wait(std::size_t number) { failing_ = number; }

  /// All waits in the order in which they began.
  const std::vector<wait>& waits() const { return waits_; }

private:
  class failing_timer;

  support::clock& cluster_clock_;
  std::vector<wait> waits_;
  std::optional<std::size_t> failing_;
};

} // namespace camphorlug::fakes
