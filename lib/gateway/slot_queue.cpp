#include "camphorlug/gateway/slot_queue.h"

namespace camphorlug::gateway {

/// Weight of a new hold time in the exponential moving average.
static constexpr double hold_smoothing_factor = 0.05;
/// Used until the first slot of a pool has been released.
static constexpr std::chrono::duration<double> initial_hold_estimate{0.5};
/// Bounds of the wait for a slot that still lets a response meet its objective, as fractions of it.
static constexpr double min_wait_of_objective = 0.1;
static constexpr double max_wait_of_objective = 0.6;
/// The first part of most responses takes less than this multiple of the mean.
static constexpr double first_part_margin = 1.25;
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
    chooser_.count(request.pool, target->id);
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

support::task<std::optional<slot_queue::slot_result>>
slot_queue::acquire_scheduled(slot_request request, support::clock::time_point until) {
  const target_pool pool = request.pool;
  scheduled_slot answer = co_await scheduler_->acquire(std::move(request), until);
  if (answer.result == scheduled_slot::outcome::unavailable)
    co_return std::nullopt;
  slot_result result;
  if (answer.result == scheduled_slot::outcome::refused) {
    result.retry_after = answer.retry_after;
    co_return result;
  }
  loads_.add(answer.target.id);
  result.slot.emplace(std::move(answer.target), [this, pool](const std::string& id) {
    loads_.remove(id);
    scheduler_->release(pool, id);
    assign_free_slots();
  });
  co_return result;
}

support::task<slot_queue::slot_result> slot_queue::acquire(slot_request request,
                                                           support::clock::time_point until) {
  slot_result result;
  if (is_scheduled(request.pool)) {
    std::optional<slot_result> scheduled = co_await acquire_scheduled(request, until);
    if (scheduled)
      co_return std::move(*scheduled);
  }
  if (auto slot = try_acquire(request)) {
    result.slot.emplace(std::move(*slot));
    co_return result;
  }
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
    co_return result;
  chosen_target target = std::move(*self.assigned_target);
  self.assigned_target.reset();
  result.slot.emplace(make_guard(std::move(target)));
  co_return result;
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

void slot_queue::update_first_part_estimate(const target_pool& pool,
                                            std::chrono::nanoseconds span) {
  auto [found, inserted] = mean_first_part_.emplace(pool, span);
  if (!inserted)
    found->second += (std::chrono::duration<double>(span) - found->second) * hold_smoothing_factor;
}

std::chrono::nanoseconds slot_queue::usable_wait(const target_pool& pool,
                                                 std::chrono::nanoseconds objective) const {
  using nanosecond_count = std::chrono::duration<double, std::nano>;
  const nanosecond_count longest = objective * max_wait_of_objective;
  const auto found = mean_first_part_.find(pool);
  nanosecond_count wait = longest;
  if (found != mean_first_part_.end())
    wait = std::clamp<nanosecond_count>(objective - found->second * first_part_margin,
                                        objective * min_wait_of_objective, longest);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
}

std::optional<std::chrono::nanoseconds> slot_queue::mean_hold(const target_pool& pool) const {
  const auto found = mean_hold_.find(pool);
  if (found == mean_hold_.end())
    return std::nullopt;
  return std::chrono::duration_cast<std::chrono::nanoseconds>(found->second);
}

std::size_t slot_queue::waiting(const target_pool& pool) const {
  const auto found = queues_.find(pool);
  return found == queues_.end() ? 0 : found->second.size();
}

std::size_t slot_queue::waiting() const {
  std::size_t sum = 0;
  for (const auto& [pool, waiters] : queues_)
    sum += waiters.size();
  return sum;
}

} // namespace camphorlug::gateway
