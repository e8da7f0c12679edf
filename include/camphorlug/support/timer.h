#pragma once

#include "camphorlug/support/task.h"

#include <chrono>

namespace camphorlug::support {

/// A cancellable timer of the clock that created it. It supports one wait at a time.
class timer {
public:
  timer() = default;
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;
  virtual ~timer() = default;

  /// Returns true after `delay`, false if `cancel` was called first. Throws
  /// shutdown_exception after the clock was shut down.
  virtual task<bool> wait_for(std::chrono::nanoseconds delay) = 0;

  /// Ends the current wait, if any.
  virtual void cancel() = 0;
};

} // namespace camphorlug::support
