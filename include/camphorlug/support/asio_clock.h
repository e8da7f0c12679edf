#pragma once

#include "camphorlug/support/clock.h"

#include <asio/io_context.hpp>
#include <memory>

namespace camphorlug::support {

/// Clock that reads CLOCK_BOOTTIME and runs its timers on an Asio context.
class asio_clock final : public clock {
public:
  explicit asio_clock(asio::io_context& context);
  ~asio_clock() override;

  time_point now() const override;
  std::chrono::system_clock::time_point wall_time() const override;
  std::unique_ptr<timer> make_timer() override;

  /// Makes all current and future waits throw shutdown_exception.
  void shut_down();

private:
  struct state;
  std::shared_ptr<state> state_;
};

} // namespace camphorlug::support
