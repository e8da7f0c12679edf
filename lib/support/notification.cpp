#include "camphorlug/support/notification.h"

namespace camphorlug::support {

notification::notification(clock& time) : timer_(time.make_timer()) {}

void notification::notify() {
  pending_ = true;
  timer_->cancel();
}

task<bool> notification::wait_for(std::chrono::nanoseconds timeout) {
  if (!pending_)
    co_await timer_->wait_for(timeout);
  const bool notified = pending_;
  pending_ = false;
  co_return notified;
}

} // namespace camphorlug::support
