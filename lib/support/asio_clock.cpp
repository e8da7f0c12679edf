#include "camphorlug/support/asio_clock.h"

#include "camphorlug/support/shutdown_exception.h"

#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <ctime>
#include <set>

namespace camphorlug::support {

struct asio_clock::state {
  asio::io_context& context;
  std::set<asio::steady_timer*> timers;
  bool shut_down = false;
};

namespace {

class asio_timer final : public timer {
public:
  asio_timer(asio::io_context& context, std::set<asio::steady_timer*>& timers, bool& shut_down,
             std::shared_ptr<void> keep_alive)
      : timer_(context), timers_(timers), shut_down_(shut_down),
        keep_alive_(std::move(keep_alive)) {
    timers_.insert(&timer_);
  }

  ~asio_timer() override { timers_.erase(&timer_); }

  task<bool> wait_for(std::chrono::nanoseconds delay) override {
    if (shut_down_)
      throw shutdown_exception();
    timer_.expires_after(delay);
    asio::error_code error;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (shut_down_)
      throw shutdown_exception();
    co_return !error;
  }

  void cancel() override { timer_.cancel(); }

private:
  asio::steady_timer timer_;
  std::set<asio::steady_timer*>& timers_;
  bool& shut_down_;
  std::shared_ptr<void> keep_alive_;
};

} // namespace

asio_clock::asio_clock(asio::io_context& context)
    : state_(std::make_shared<state>(state{context, {}, false})) {}

asio_clock::~asio_clock() = default;

clock::time_point asio_clock::now() const {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point(std::chrono::seconds(reading.tv_sec) +
                    std::chrono::nanoseconds(reading.tv_nsec));
}

std::chrono::system_clock::time_point asio_clock::wall_time() const {
  return std::chrono::system_clock::now();
}

std::unique_ptr<timer> asio_clock::make_timer() {
  return std::make_unique<asio_timer>(state_->context, state_->timers, state_->shut_down, state_);
}

void asio_clock::shut_down() {
  state_->shut_down = true;
  for (asio::steady_timer* pending : state_->timers)
    pending->cancel();
}

} // namespace camphorlug::support
