#pragma once

#include "camphorlug/support/task.h"
#include "camphorlug/support/timer.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace camphorlug::support {

/// Source of time and timers for the logic of a node, so that tests can replace it by a
/// virtual clock. Logging and the timers of libcurl do not use it.
class clock {
public:
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<clock, duration>;

  clock() = default;
  clock(const clock&) = delete;
  clock& operator=(const clock&) = delete;
  virtual ~clock() = default;

  /// Returns the time since an arbitrary epoch. It is monotonic and includes time during
  /// which the system was suspended.
  virtual time_point now() const = 0;

  /// Returns the calendar time. It serves human-readable records and make_incarnation;
  /// timeouts and delays use now().
  virtual std::chrono::system_clock::time_point wall_time() const = 0;

  /// Creates a timer. The clock must outlive it.
  virtual std::unique_ptr<timer> make_timer() = 0;

  /// Suspends the calling coroutine for `delay`. Throws shutdown_exception.
  task<> sleep_for(std::chrono::nanoseconds delay);
};

/// Returns a number that distinguishes this process from earlier ones of the same node.
/// It is the calendar time in milliseconds, so later starts get larger numbers if the
/// calendar is roughly right. If it is not, peers report the larger number that they
/// remember, so that this node can choose a larger one.
std::uint64_t make_incarnation(const clock& time);

} // namespace camphorlug::support
