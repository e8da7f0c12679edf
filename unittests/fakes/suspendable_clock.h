#pragma once

#include "camphorlug/support/clock.h"

#include <memory>

namespace camphorlug::fakes {

/// The clock of one process that can be suspended: its timers run on, but
/// nothing that waits for them goes on before the process wakes.
class suspendable_clock final : public support::clock {
public:
  explicit suspendable_clock(support::clock& world) : world_(world) {}

  time_point now() const override { return world_.now(); }
  std::chrono::system_clock::time_point wall_time() const override { return world_.wall_time(); }
  std::unique_ptr<support::timer> make_timer() override;

  void freeze_for(std::chrono::nanoseconds span) { frozen_until_ = now() + span; }
  bool frozen() const { return now() < frozen_until_; }

  /// Returns at once unless the process is suspended.
  support::task<> wait_until_resumed();

private:
  support::clock& world_;
  time_point frozen_until_{};
};

} // namespace camphorlug::fakes
