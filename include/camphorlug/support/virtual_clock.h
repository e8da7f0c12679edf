#pragma once

#include "camphorlug/support/clock.h"

#include <asio/io_context.hpp>
#include <memory>

namespace camphorlug::support {

/// A simulated clock that advances only in `run_for`, from timer to timer. Hours of
/// simulated time pass in milliseconds and in the same order on each run.
class virtual_clock final : public clock {
public:
  explicit virtual_clock(asio::io_context& context);
  ~virtual_clock() override;

  time_point now() const override;
  std::chrono::system_clock::time_point wall_time() const override;
  std::unique_ptr<timer> make_timer() override;

  /// Runs all ready handlers, then each timer that expires within `span`.
  void run_for(std::chrono::nanoseconds span);

  /// Makes all current and future waits throw shutdown_exception and runs the waiting
  /// coroutines until they have unwound.
  void shut_down();

  struct state;

private:
  asio::io_context& context_;
  std::shared_ptr<state> state_;
};

} // namespace camphorlug::support
