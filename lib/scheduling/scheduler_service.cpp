#include "camphorlug/scheduling/scheduler_service.h"

#include "camphorlug/net/problem.h"
#include "camphorlug/support/log.h"
#include "camphorlug/support/notification.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorlug::scheduling {

using gateway::scheduled_slot;

/// Interval at which a waiting ask looks whether its caller is gone or a target has room by now.
static constexpr std::chrono::milliseconds poll_interval{20};
/// Targets that have room by now are looked for at most this often by all waiting asks together.
static constexpr std::chrono::milliseconds min_assign_interval{5};
static constexpr std::chrono::seconds scarcity_report_interval{1};

void scheduler_service::update(const scheduler_assignment& assignment) {
  for (const auto& [pool, node] : assignment.all()) {
    if (node.id != self_ || schedules(pool))
      continue;
    schedulers_[pool] = std::make_shared<pool_scheduler>(time_);
    support::log_event(support::log_level::info, "scheduler_started",
                       {{"service", pool.service}, {"model", pool.model}});
  }
  std::erase_if(schedulers_, [&](const auto& each) {
    const auto& [pool, scheduler] = each;
    const gateway::node_status* node = assignment.scheduler_of(pool);
    const bool is_assigned = node && node->id == self_;
    // Asks that wait are decided first.
    if (is_assigned || scheduler->waiting() > 0)
      return false;
    support::log_event(support::log_level::info, "scheduler_stopped",
                       {{"service", pool.service}, {"model", pool.model}});
    return true;
  });
  update_targets();
  for (const auto& [pool, scheduler] : schedulers_)
    scheduler->expire();
  if (time_.now() - scarcity_reported_at_ >= scarcity_report_interval)
    report_scarcity();
}

std::size_t scheduler_service::waiting() const {
  std::size_t sum = 0;
  for (const auto& [pool, scheduler] : schedulers_)
    sum += scheduler->waiting();
  return sum;
}

void scheduler_service::report_scarcity() {
  scarcity_reported_at_ = time_.now();
  for (const auto& [pool, scheduler] : schedulers_) {
    const auto counts = scheduler->take_counts();
    std::size_t granted = 0;
    std::size_t refused = 0;
    for (const auto& [organisation, each] : counts) {
      granted += each.granted;
      refused += each.refused;
    }
    if (refused == 0)
      continue;
    const auto most = std::max_element(counts.begin(), counts.end(), [](auto& one, auto& other) {
      return one.second.refused < other.second.refused;
    });
    support::log_event(support::log_level::warning, "slots_scarce",
                       {{"service", pool.service},
                        {"model", pool.model},
                        {"slots", std::to_string(scheduler->slots())},
                        {"granted", std::to_string(granted)},
                        {"refused", std::to_string(refused)},
                        {"waiting", std::to_string(scheduler->waiting())},
                        {"organisations", std::to_string(counts.size())},
                        {"most_refused", most->first},
                        {"its_granted", std::to_string(most->second.granted)},
                        {"its_refused", std::to_string(most->second.refused)}});
  }
}

void scheduler_service::update_targets() {
  for (const auto& [pool, scheduler] : schedulers_)
    update_targets(pool, *scheduler);
}

void scheduler_service::update_targets(const gateway::target_pool& pool,
                                       pool_scheduler& scheduler) {
  std::vector<schedulable_target> targets;
  for (gateway::target_chooser::candidate& each : chooser_.usable(pool)) {
    const std::optional<double> rate = chooser_.scheduler_rate(each);
    if (!rate || *rate > 0)
      targets.push_back({std::move(each.target), std::move(each.data_centre), rate});
  }
  double reading_rate = 0;
  if (const auto& config = config_.current()) {
    const auto service = config->services.find(pool.service);
    if (service != config->services.end() && service->second.engine)
      reading_rate = service->second.engine->reading_rate(pool.model);
  }
  scheduler.set_targets(targets, reading_rate);
}

const pool_scheduler* scheduler_service::find(const gateway::target_pool& pool) const {
  const auto found = schedulers_.find(pool);
  return found == schedulers_.end() ? nullptr : found->second.get();
}

support::task<scheduled_slot> scheduler_service::apply(scheduler_message message,
                                                       const bool& cancelled,
                                                       const std::function<void()>& waits) {
  const auto found = schedulers_.find(message.pool);
  if (found == schedulers_.end())
    co_return scheduled_slot{};
  const std::shared_ptr<pool_scheduler> scheduler = found->second;
  for (const std::string& target : message.released)
    scheduler->release(message.node, target, message.sequence);
  if (message.held)
    scheduler->report_held(message.node, *message.held, message.sequence);
  if (!message.ask)
    co_return scheduled_slot{};
  struct pending_decision {
    explicit pending_decision(support::clock& time) : made(time) {}
    std::optional<scheduled_slot> result;
    support::notification made;
  };
  const auto pending = std::make_shared<pending_decision>(time_);
  const auto latest_start = message.ask->latest_start;
  const std::uint64_t number =
      scheduler->submit(std::move(*message.ask), [pending](const scheduled_slot& result) {
        pending->result = result;
        pending->made.notify();
      });
  if (!pending->result)
    waits();
  while (!pending->result && !cancelled) {
    const std::chrono::nanoseconds left = latest_start - time_.now();
    if (left <= std::chrono::nanoseconds(0))
      scheduler->end_wait(number);
    else
      co_await pending->made.wait_for(std::min<std::chrono::nanoseconds>(left, poll_interval));
    scheduler->assign_after(min_assign_interval);
  }
  if (pending->result)
    co_return *pending->result;
  scheduler->cancel(number);
  co_return scheduled_slot{};
}

support::task<> scheduler_service::handle(net::server_request request,
                                          net::response_writer& writer) {
  scheduler_message message;
  std::string error;
  try {
    message = scheduler_message::from_json(request.body, time_.now());
  } catch (const nlohmann::json::exception& exception) {
    error = exception.what();
  }
  if (!error.empty()) {
    net::send_problem(writer, {400, "bad-message", error});
    co_return;
  }
  const std::string node = message.node;
  const gateway::target_pool pool = message.pool;
  if (!schedules(pool)) {
    net::send_problem(writer, {not_scheduled_status, "not-scheduled", "ask another node or later"});
    co_return;
  }
  const auto gone = std::make_shared<bool>(false);
  writer.on_disconnect([gone] { *gone = true; });
  // Its sender knows by that that the message has arrived.
  const std::function<void()> begin = [&writer] { writer.start(200, {}); };
  const scheduled_slot answer = co_await apply(std::move(message), *gone, begin);
  if (*gone && answer.result == scheduled_slot::outcome::granted) {
    if (const auto found = schedulers_.find(pool); found != schedulers_.end())
      found->second->release(node, answer.target.id);
    co_return;
  }
  if (!writer.started()) {
    net::send_json(writer, 200, to_json(answer));
    co_return;
  }
  std::string body = to_json(answer);
  const bool is_written = co_await writer.write(std::move(body));
  if (is_written)
    writer.finish();
}

} // namespace camphorlug::scheduling
