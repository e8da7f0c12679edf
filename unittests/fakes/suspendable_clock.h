#pragma once

#include "camphorlug/support/clock.h"

#include <memory>

namespace camphorlug::fakes {

/// The clock of a process that can be suspended. Its timers keep running, but
/// tasks that wait for them resume only when the process resumes.
class suspendable_clock final : public support::clock {
public:
  explicit suspendable_clock(support::clock& cluster_clock) : cluster_clock_(cluster_clock) {}

  time_point now() const override { return cluster_clock_.now(); }
  std::chrono::system_clock::time_point wall_time() const override {
    return cluster_clock_.wall_time();
  }
  std::unique_ptr<support::timer> make_timer() override;

  void freeze_for(std::chrono::nanoseconds span) { frozen_until_ = now() + span; }
  bool frozen() const { return now() < frozen_until_; }
  bool was_frozen() const { return frozen_until_ != time_point{}; }

  /// Waits until the process is no longer suspended; returns at once if it isn't.
  support::task<> wait_until_resumed();

private:
  support::clock& cluster_clock_;
  time_point frozen_until_{};
};

} // namespace camphorlug::fakes
