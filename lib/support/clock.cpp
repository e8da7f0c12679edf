#include "camphorlug/support/clock.h"

namespace camphorlug::support {

task<> clock::sleep_for(std::chrono::nanoseconds delay) {
  auto pause = make_timer();
  co_await pause->wait_for(delay);
}

} // namespace camphorlug::support
