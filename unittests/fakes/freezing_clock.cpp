#include "fakes/freezing_clock.h"

namespace camphorlug::fakes {

namespace {

class freezing_timer final : public support::timer {
public:
  freezing_timer(freezing_clock& process, std::unique_ptr<support::timer> inner)
      : process_(process), inner_(std::move(inner)) {}

  support::task<bool> wait_for(std::chrono::nanoseconds delay) override {
    const bool elapsed = co_await inner_->wait_for(delay);
    co_await process_.until_awake();
    co_return elapsed;
  }

  void cancel() override { inner_->cancel(); }

private:
  freezing_clock& process_;
  std::unique_ptr<support::timer> inner_;
};

} // namespace

std::unique_ptr<support::timer> freezing_clock::make_timer() {
  return std::make_unique<freezing_timer>(*this, world_.make_timer());
}

support::task<> freezing_clock::until_awake() {
  while (frozen())
    co_await world_.sleep_for(frozen_until_ - now());
}

} // namespace camphorlug::fakes
