#include "camphorlug/edge/liveness_checker.h"

#include <utility>

namespace camphorlug::edge {

using replicas::process_state;

liveness_checker::question liveness_checker::question_about(const gateway::target_entry& target) {
  return {{target.id, target.started_at_ms}, target.membership ? target.membership->epoch : 0};
}

support::task<bool> liveness_checker::is_running(gateway::target_entry target,
                                                 std::chrono::nanoseconds timeout) {
  const auto ended_at = time_.now();
  const auto [entry, is_first] = waiting_.try_emplace(question_about(target));
  const auto self = std::make_shared<waiter>(time_);
  entry->second.push_back(self);
  if (is_first)
    support::spawn(executor_, "liveness", answer_waiters(target));
  co_await self->answered.wait_for(timeout);
  if (self->state != process_state::refusing)
    co_return self->state == process_state::running;
  co_return co_await departures_.has_completed(std::move(target), ended_at, ended_at + timeout);
}

support::task<> liveness_checker::answer_waiters(gateway::target_entry target) {
  const question asked = question_about(target);
  waiter_list asking;
  try {
    while (!waiting_[asked].empty()) {
      asking = std::exchange(waiting_[asked], {});
      const process_state state = co_await prober_.ask_process(target);
      for (const std::shared_ptr<waiter>& each : asking) {
        each->state = state;
        each->answered.notify();
      }
    }
  } catch (...) {
    // Nobody waits for an answer that will not come.
    const waiter_list later = std::exchange(waiting_[asked], {});
    asking.insert(asking.end(), later.begin(), later.end());
    for (const std::shared_ptr<waiter>& each : asking)
      each->answered.notify();
    waiting_.erase(asked);
    throw;
  }
  waiting_.erase(asked);
}

} // namespace camphorlug::edge
