#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <memory>

namespace camphorlug::support {

/// Wakes one waiting coroutine. A notification without a waiter completes the next wait
/// immediately.
class notification {
public:
  explicit notification(clock& time);

  /// Wakes the waiting coroutine, or makes the next wait return immediately.
  void notify();

  /// Returns true when notified, false after `timeout`. Throws shutdown_exception.
  task<bool> wait_for(std::chrono::nanoseconds timeout);

private:
  std::unique_ptr<timer> timer_;
  bool pending_ = false;
};

} // namespace camphorlug::support
