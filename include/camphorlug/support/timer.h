#pragma once

#include "camphorlug/support/task.h"

#include <chrono>

namespace camphorlug::support {

/// One cancellable wait at a time on the clock that made it.
class timer {
public:
  timer() = default;
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;
  virtual ~timer() = default;

  /// Returns true when `delay` has passed, false when `cancel` came first.
  /// Throws `stopped` after the clock was shut down.
  virtual task<bool> wait_for(std::chrono::nanoseconds delay) = 0;

  /// Ends the present wait, if there is one.
  virtual void cancel() = 0;
};

} // namespace camphorlug::support
