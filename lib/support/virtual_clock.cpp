#include "camphorlug/support/virtual_clock.h"

#include "camphorlug/support/shutdown_exception.h"

#include <algorithm>
#include <asio/async_result.hpp>
#include <asio/post.hpp>
#include <asio/use_awaitable.hpp>
#include <functional>
#include <map>

namespace camphorlug::support {

namespace {

using wake_function = std::function<void(bool elapsed)>;

/// Orders waits by due time and, for equal due times, by start.
struct wait_key {
  clock::time_point due;
  std::uint64_t sequence = 0;
  auto operator<=>(const wait_key&) const = default;
};

} // namespace

struct virtual_clock::state {
  asio::io_context& context;
  time_point now{};
  std::uint64_t next_sequence = 0;
  std::map<wait_key, wake_function> waits;
  bool shut_down = false;

  wait_key add(std::chrono::nanoseconds delay, wake_function wake) {
    const wait_key key{now + std::max(delay, std::chrono::nanoseconds::zero()), next_sequence++};
    waits.emplace(key, std::move(wake));
    return key;
  }

  void wake(std::map<wait_key, wake_function>::iterator wait, bool elapsed) {
    asio::post(context, [wake = std::move(wait->second), elapsed] { wake(elapsed); });
    waits.erase(wait);
  }
};

namespace {

class virtual_timer final : public timer {
public:
  explicit virtual_timer(std::shared_ptr<virtual_clock::state> state) : state_(std::move(state)) {}

  ~virtual_timer() override { cancel(); }

  task<bool> wait_for(std::chrono::nanoseconds delay) override {
    if (state_->shut_down)
      throw shutdown_exception();
    auto start = [this, delay](auto handler) {
      auto shared = std::make_shared<decltype(handler)>(std::move(handler));
      key_ = state_->add(delay, [shared](bool elapsed) { std::move (*shared)(elapsed); });
    };
    const bool elapsed = co_await asio::async_initiate<decltype(asio::use_awaitable), void(bool)>(
        std::move(start), asio::use_awaitable);
    if (state_->shut_down)
      throw shutdown_exception();
    co_return elapsed;
  }

  void cancel() override {
    const auto wait = state_->waits.find(key_);
    if (wait != state_->waits.end())
      state_->wake(wait, false);
  }

private:
  std::shared_ptr<virtual_clock::state> state_;
  wait_key key_{clock::time_point::min(), 0};
};

} // namespace

virtual_clock::virtual_clock(asio::io_context& context)
    : context_(context), state_(std::make_shared<state>(state{context, {}, 0, {}, false})) {}

virtual_clock::~virtual_clock() = default;

clock::time_point virtual_clock::now() const {
  return state_->now;
}

std::chrono::system_clock::time_point virtual_clock::wall_time() const {
  using wall = std::chrono::system_clock;
  return wall::time_point(
      std::chrono::duration_cast<wall::duration>(state_->now.time_since_epoch()));
}

std::unique_ptr<timer> virtual_clock::make_timer() {
  return std::make_unique<virtual_timer>(state_);
}

void virtual_clock::run_for(std::chrono::nanoseconds span) {
  const time_point end = state_->now + span;
  context_.restart();
  context_.poll();
  while (!state_->waits.empty() && state_->waits.begin()->first.due <= end) {
    state_->now = std::max(state_->now, state_->waits.begin()->first.due);
    state_->wake(state_->waits.begin(), true);
    context_.restart();
    context_.poll();
  }
  state_->now = end;
}

void virtual_clock::shut_down() {
  state_->shut_down = true;
  while (!state_->waits.empty()) {
    state_->wake(state_->waits.begin(), false);
    context_.restart();
    context_.poll();
  }
}

} // namespace camphorlug::support
