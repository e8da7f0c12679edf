#pragma once

#include "camphorlug/support/clock.h"

#include <asio/io_context.hpp>
#include <memory>

namespace camphorlug::support {

/// The machine's CLOCK_BOOTTIME with timers on an Asio context.
class asio_clock final : public clock {
public:
  explicit asio_clock(asio::io_context& context);
  ~asio_clock() override;

  time_point now() const override;
  std::chrono::system_clock::time_point wall_time() const override;
  std::unique_ptr<timer> make_timer() override;

  /// Makes every present and later wait throw `stopped`.
  void shut_down();

private:
  struct state;
  std::shared_ptr<state> state_;
};

} // namespace camphorlug::support
