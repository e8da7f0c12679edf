#include "camphorlug/gateway/slot_queue.h"

namespace camphorlug::gateway {

/// Share of a new holding time in the running mean.
static constexpr double hold_smoothing_factor = 0.05;
/// Assumed until the first slot of a pool was given back.
static constexpr std::chrono::duration<double> initial_hold_estimate{0.5};
/// Applicants that are tried in one go when the first ones find no slot: those
/// that avoid a target must not block the others.
static constexpr int max_failed_choices = 4;

slot_queue::waiter::waiter(support::clock& time, queue& waiting, slot_request wanted)
    : wish(std::move(wanted)), called(time), line(waiting), place(line.emplace(wish.rank, this)) {}

slot_guard slot_queue::hold(chosen_target target) {
  return {std::move(target), [this](const std::string& id) {
            loads_.remove(id);
            assign_free_slots();
          }};
}

support::task<std::optional<slot_guard>> slot_queue::acquire(slot_request wish,
                                                             support::clock::time_point until) {
  queue& line = queues_[wish.pool];
  const bool first = line.empty() || wish.rank < line.begin()->first;
  if (first) {
    if (auto target = chooser_.choose(wish.pool, wish.avoided)) {
      loads_.add(target->id);
      co_return hold(std::move(*target));
    }
  }
  waiter self(time_, line, std::move(wish));
  while (!self.given && !(self.wish.is_cancelled && *self.wish.is_cancelled)) {
    const auto left = until - time_.now();
    if (left <= std::chrono::nanoseconds(0))
      break;
    co_await self.called.wait_for(
        std::min<std::chrono::nanoseconds>(left, std::chrono::milliseconds(50)));
  }
  if (!self.given)
    co_return std::nullopt;
  co_return hold(std::move(*self.given));
}

void slot_queue::assign_free_slots() {
  for (auto& [pool, line] : queues_)
    assign_free_slots(line);
}

void slot_queue::assign_free_slots(queue& line) {
  int failures = 0;
  for (auto& [rank, each] : line) {
    if (each->given)
      continue;
    auto target = chooser_.choose(each->wish.pool, each->wish.avoided);
    if (!target) {
      if (++failures == max_failed_choices)
        return;
      continue;
    }
    loads_.add(target->id);
    each->given = std::move(target);
    each->called.notify();
  }
}

std::chrono::nanoseconds slot_queue::expected_wait(const target_pool& pool,
                                                   const queue_rank& rank) {
  const std::size_t slots = chooser_.slots(pool);
  if (slots == 0)
    return std::chrono::hours(1);
  const queue& line = queues_[pool];
  std::size_t ahead = 0;
  for (auto each = line.begin(); each != line.end() && each->first < rank; ++each)
    ++ahead;
  if (ahead == 0 && chooser_.has_free_slot(pool))
    return std::chrono::nanoseconds(0);
  const auto known = mean_hold_.find(pool);
  const auto hold = known == mean_hold_.end() ? initial_hold_estimate : known->second;
  const double rounds = (static_cast<double>(ahead) + 1) / static_cast<double>(slots);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(hold * rounds);
}

void slot_queue::update_hold_estimate(const target_pool& pool, std::chrono::nanoseconds held) {
  auto [known, fresh] = mean_hold_.emplace(pool, held);
  if (!fresh)
    known->second += (std::chrono::duration<double>(held) - known->second) * hold_smoothing_factor;
}

std::size_t slot_queue::waiting() const {
  std::size_t sum = 0;
  for (const auto& [pool, line] : queues_)
    sum += line.size();
  return sum;
}

} // namespace camphorlug::gateway
