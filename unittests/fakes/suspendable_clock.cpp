#include "fakes/suspendable_clock.h"

namespace camphorlug::fakes {

namespace {

class suspendable_timer final : public support::timer {
public:
  suspendable_timer(suspendable_clock& process, std::unique_ptr<support::timer> inner)
      : process_(process), inner_(std::move(inner)) {}

  support::task<bool> wait_for(std::chrono::nanoseconds delay) override {
    const bool elapsed = co_await inner_->wait_for(delay);
    co_await process_.wait_until_resumed();
    co_return elapsed;
  }

  void cancel() override { inner_->cancel(); }

private:
  suspendable_clock& process_;
  std::unique_ptr<support::timer> inner_;
};

} // namespace

std::unique_ptr<support::timer> suspendable_clock::make_timer() {
  return std::make_unique<suspendable_timer>(*this, cluster_clock_.make_timer());
}

support::task<> suspendable_clock::wait_until_resumed() {
  while (frozen())
    co_await cluster_clock_.sleep_for(frozen_until_ - now());
}

} // namespace camphorlug::fakes
