#include "camphorlug/support/clock.h"

namespace camphorlug::support {

task<> clock::sleep_for(std::chrono::nanoseconds delay) {
  auto sleep_timer = make_timer();
  co_await sleep_timer->wait_for(delay);
}

std::uint64_t make_incarnation(const clock& time) {
  return static_cast<std::uint64_t>(time.wall_time().time_since_epoch() /
                                    std::chrono::milliseconds(1));
}

} // namespace camphorlug::support
