#pragma once

#include "camphorlug/support/clock.h"

#include <asio/io_context.hpp>
#include <memory>

namespace camphorlug::support {

/// A clock that stands still until `run_for` moves it from timer to timer, so
/// that hours of a node's life pass in milliseconds and in the same order on
/// each run.
class virtual_clock final : public clock {
public:
  explicit virtual_clock(asio::io_context& context);
  ~virtual_clock() override;

  time_point now() const override;
  std::chrono::system_clock::time_point wall_time() const override;
  std::unique_ptr<timer> make_timer() override;

  /// Runs all that is ready, then each timer that falls due within `span`.
  void run_for(std::chrono::nanoseconds span);

  /// Makes every present and later wait throw `stopped` and lets the waiters unwind.
  void shut_down();

  struct state;

private:
  asio::io_context& context_;
  std::shared_ptr<state> state_;
};

} // namespace camphorlug::support
