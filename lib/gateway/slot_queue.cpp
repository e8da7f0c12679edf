#include "camphorlug/gateway/slot_queue.h"

namespace camphorlug::gateway {

/// Weight of a new hold time in the exponential moving average.
static constexpr double hold_smoothing_factor = 0.05;
/// Used until the first slot of a pool has been released.
static constexpr std::chrono::duration<double> initial_hold_estimate{0.5};
/// Number of waiting requests that may fail to get a slot before a pass stops. It is above 1, so
/// that requests that avoid a target don't block those behind them.
static constexpr int max_failed_choices = 4;

slot_queue::waiter::waiter(slot_queue& queue_of_all, queue& waiting, slot_request new_request)
    : owner(queue_of_all), request(std::move(new_request)), wake_up(owner.time_), waiters(waiting),
      position(waiters.emplace(request.rank, this)) {}

slot_queue::waiter::~waiter() {
  waiters.erase(position);
  if (assigned_target)
    owner.loads_.remove(assigned_target->id);
}

bool slot_queue::waiter::has_usable_slot() {
  if (assigned_target && !owner.chooser_.accepts_requests(*assigned_target)) {
    owner.loads_.remove(assigned_target->id);
    assigned_target = owner.take_slot(request);
  }
  return assigned_target.has_value();
}

std::optional<chosen_target> slot_queue::take_slot(const slot_request& request) {
  std::optional<chosen_target> target = chooser_.choose(request.pool, request.avoided);
  if (target) {
    loads_.add(target->id);
    limits_.count(target->id, target->started_at_ms);
  }
  return target;
}

slot_guard slot_queue::make_guard(chosen_target target) {
  return {std::move(target), [this](const std::string& id) {
            loads_.remove(id);
            assign_free_slots();
          }};
}

std::optional<slot_guard> slot_queue::try_acquire(const slot_request& request) {
  const queue& waiters = queues_[request.pool];
  const bool goes_first = waiters.empty() || request.rank < waiters.begin()->first;
  if (!goes_first)
    return std::nullopt;
  auto target = take_slot(request);
  if (!target)
    return std::nullopt;
  return make_guard(std::move(*target));
}

support::task<std::optional<slot_guard>> slot_queue::acquire(slot_request request,
                                                             support::clock::time_point until) {
  if (auto slot = try_acquire(request))
    co_return std::move(slot);
  queue& waiters = queues_[request.pool];
  waiter self(*this, waiters, std::move(request));
  while (!self.has_usable_slot() && !(self.request.cancelled && *self.request.cancelled)) {
    const auto left = until - time_.now();
    if (left <= std::chrono::nanoseconds(0))
      break;
    co_await self.wake_up.wait_for(
        std::min<std::chrono::nanoseconds>(left, std::chrono::milliseconds(50)));
  }
  if (!self.assigned_target)
    co_return std::nullopt;
  chosen_target target = std::move(*self.assigned_target);
  self.assigned_target.reset();
  co_return make_guard(std::move(target));
}

void slot_queue::assign_free_slots() {
  for (auto& [pool, waiters] : queues_)
    assign_free_slots(waiters);
}

void slot_queue::assign_free_slots(queue& waiters) {
  int failures = 0;
  for (auto& [rank, each] : waiters) {
    if (each->assigned_target)
      continue;
    auto target = take_slot(each->request);
    if (!target) {
      if (++failures == max_failed_choices)
        return;
      continue;
    }
    each->assigned_target = std::move(target);
    each->wake_up.notify();
  }
}

std::chrono::nanoseconds slot_queue::expected_wait(const target_pool& pool,
                                                   const queue_rank& rank) {
  const std::size_t slots = chooser_.slots(pool);
  if (slots == 0)
    return std::chrono::hours(1);
  if (const auto until = chooser_.paused_until(pool, {}))
    return *until - time_.now();
  const queue& waiters = queues_[pool];
  std::size_t ahead = 0;
  for (auto each = waiters.begin(); each != waiters.end() && each->first < rank; ++each)
    ++ahead;
  if (ahead == 0 && chooser_.has_free_slot(pool))
    return std::chrono::nanoseconds(0);
  const auto found = mean_hold_.find(pool);
  const auto hold = found == mean_hold_.end() ? initial_hold_estimate : found->second;
  const double rounds = (static_cast<double>(ahead) + 1) / static_cast<double>(slots);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(hold * rounds);
}

void slot_queue::update_hold_estimate(const target_pool& pool, std::chrono::nanoseconds held) {
  auto [found, inserted] = mean_hold_.emplace(pool, held);
  if (!inserted)
    found->second += (std::chrono::duration<double>(held) - found->second) * hold_smoothing_factor;
}

std::optional<std::chrono::nanoseconds> slot_queue::mean_hold(const target_pool& pool) const {
  const auto found = mean_hold_.find(pool);
  if (found == mean_hold_.end())
    return std::nullopt;
  return std::chrono::duration_cast<std::chrono::nanoseconds>(found->second);
}

std::size_t slot_queue::waiting() const {
  std::size_t sum = 0;
  for (const auto& [pool, waiters] : queues_)
    sum += waiters.size();
  return sum;
}

} // namespace camphorlug::gateway
