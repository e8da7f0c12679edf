#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <memory>

namespace camphorlug::support {

/// Wakes one waiting coroutine. A notification that comes while nobody waits
/// is kept for the next wait.
class notification {
public:
  explicit notification(clock& time);

  /// Wakes the waiter, or marks the next wait as already over.
  void notify();

  /// Returns true when notified, false after `timeout`. Throws `stopped`.
  task<bool> wait_for(std::chrono::nanoseconds timeout);

private:
  std::unique_ptr<timer> timer_;
  bool pending_ = false;
};

} // namespace camphorlug::support
