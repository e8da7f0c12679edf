#pragma once

#include "camphorlug/support/task.h"
#include "camphorlug/support/timer.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace camphorlug::support {

/// The only source of time and of sleeping.
class clock {
public:
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<clock, duration>;

  clock() = default;
  clock(const clock&) = delete;
  clock& operator=(const clock&) = delete;
  virtual ~clock() = default;

  /// Time since an arbitrary start. It never goes back and counts suspension.
  virtual time_point now() const = 0;

  /// Calendar time, for records that people read; no decision depends on it.
  virtual std::chrono::system_clock::time_point wall_time() const = 0;

  /// A new timer on this clock, which must outlive it.
  virtual std::unique_ptr<timer> make_timer() = 0;

  /// Suspends the caller for `delay`. Throws `stopped`.
  task<> sleep_for(std::chrono::nanoseconds delay);
};

/// Tells a process from earlier ones of the same node: later starts have larger
/// numbers if calendars are roughly right; if not, peers tell the larger one
/// that they remember.
std::uint64_t make_incarnation(const clock& time);

} // namespace camphorlug::support
