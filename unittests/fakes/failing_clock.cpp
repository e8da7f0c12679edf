#include "fakes/failing_clock.h"

#include <stdexcept>
#include <utility>

namespace camphorlug::fakes {

class failing_clock::failing_timer final : public support::timer {
public:
  failing_timer(failing_clock& process, std::unique_ptr<support::timer> inner)
      : process_(process), inner_(std::move(inner)) {}

  support::task<bool> wait_for(std::chrono::nanoseconds delay) override {
    const std::size_t number = process_.waits_.size();
    process_.waits_.push_back({process_.now(), delay});
    if (number == process_.failing_)
      throw std::runtime_error("the wait fails");
    co_return co_await inner_->wait_for(delay);
  }

  void cancel() override { inner_->cancel(); }

private:
  failing_clock& process_;
  std::unique_ptr<support::timer> inner_;
};

std::unique_ptr<support::timer> failing_clock::make_timer() {
  return std::make_unique<failing_timer>(*this, cluster_clock_.make_timer());
}

} // namespace camphorlug::fakes
