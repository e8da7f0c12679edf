#include "camphorlug/scheduling/scheduler_client.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorlug::scheduling {

using gateway::scheduled_slot;
using gateway::target_pool;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Time for a message and its answer beyond the wait for a slot.
static constexpr milliseconds answer_allowance{120};
static constexpr milliseconds connect_timeout{100};

bool scheduler_client::schedules(const target_pool& pool) {
  const gateway::node_status* scheduler = context_.assignment.scheduler_of(pool);
  if (!scheduler)
    return false;
  const auto suspended = suspended_until_.find(scheduler->peer_address);
  return suspended == suspended_until_.end() || suspended->second <= context_.time.now();
}

gateway::target_loads scheduler_client::held(const target_pool& pool) {
  gateway::target_loads counts;
  for (const std::string& id : context_.chooser.ids(pool)) {
    if (const std::size_t own = context_.loads.own(id); own > 0)
      counts[id] = own;
  }
  return counts;
}

/// Makes a message with all that the scheduler at `address` should know.
scheduler_message scheduler_client::make_message(const target_pool& pool,
                                                 const std::string& address) {
  pool_state& state = pools_[pool];
  scheduler_message message;
  message.node = context_.self;
  message.pool = pool;
  message.sequence = ++state.last_sequence;
  const auto now = context_.time.now();
  if (state.reported_to != address || now - state.reported_at >= report_interval) {
    state.reported_to = address;
    state.reported_at = now;
    message.held = held(pool);
  }
  message.released = std::exchange(state.released, {});
  return message;
}

support::task<scheduled_slot> scheduler_client::exchange(scheduler_message message,
                                                         std::string address, nanoseconds timeout,
                                                         const bool* cancelled) {
  static constexpr bool never = false;
  const gateway::node_status* scheduler = context_.assignment.scheduler_of(message.pool);
  if (scheduler && scheduler->id == context_.self) {
    if (!context_.local.schedules(message.pool)) {
      pools_[message.pool].reported_to.clear();
      co_return scheduled_slot{};
    }
    const bool& is_cancelled = cancelled ? *cancelled : never;
    co_return co_await context_.local.apply(std::move(message), is_cancelled);
  }
  net::client_request request;
  request.method = "POST";
  request.address = address;
  request.target = slots_path;
  request.body = message.to_json(context_.time.now());
  request.connect_timeout = connect_timeout;
  request.connection = net::connection_use::pooled;
  std::string failure;
  try {
    net::client_response response =
        co_await context_.client.fetch(std::move(request), timeout + answer_allowance);
    if (response.status == 200)
      co_return answer_from_json(response.body);
    if (response.status == not_scheduled_status) {
      // Its list of nodes differs from this node's for a moment.
      pools_[message.pool].reported_to.clear();
      co_return scheduled_slot{};
    }
    failure = "status " + std::to_string(response.status);
  } catch (const net::transport_error& error) {
    failure = error.what();
  } catch (const nlohmann::json::exception& error) {
    failure = error.what();
  }
  suspended_until_[address] = context_.time.now() + suspension;
  // It may have missed what the message said.
  pools_[message.pool].reported_to.clear();
  support::log_event(support::log_level::warning, "scheduler_silent",
                     {{"peer", address}, {"error", failure}});
  co_return scheduled_slot{};
}

support::task<scheduled_slot> scheduler_client::acquire(gateway::slot_request request,
                                                        support::clock::time_point until) {
  const gateway::node_status* scheduler = context_.assignment.scheduler_of(request.pool);
  if (!scheduler)
    co_return scheduled_slot{};
  const std::string address = scheduler->peer_address;
  scheduler_message message = make_message(request.pool, address);
  slot_ask& ask = message.ask.emplace();
  ask.node = context_.self;
  ask.data_centre = context_.data_centre;
  ask.organisation = request.organisation;
  ask.priority = request.rank.priority;
  ask.in_time_until = request.in_time_until;
  ask.latest_start = until;
  ask.prompt_tokens = request.prompt_tokens;
  ask.avoided = request.avoided;
  const nanoseconds timeout = std::max<nanoseconds>(until - context_.time.now(), nanoseconds(0));
  scheduled_slot answer =
      co_await exchange(std::move(message), address, timeout, request.cancelled);
  if (answer.result != scheduled_slot::outcome::granted)
    co_return answer;
  // The scheduler may know this target from newer entries, or not know yet that it pauses.
  const auto target = context_.chooser.find_usable(request.pool, answer.target.id);
  const bool is_cancelled = request.cancelled && *request.cancelled;
  if (!target || is_cancelled) {
    release(request.pool, answer.target.id);
    co_return scheduled_slot{};
  }
  answer.target = *target;
  co_return answer;
}

void scheduler_client::release(const target_pool& pool, const std::string& target) {
  pool_state& state = pools_[pool];
  state.released.push_back(target);
  if (!std::exchange(state.flushing, true))
    support::spawn(context_.executor, "release_slots", flush_released(pool));
}

support::task<> scheduler_client::flush_released(target_pool pool) {
  co_await context_.time.sleep_for(release_delay);
  pools_[pool].flushing = false;
  const gateway::node_status* scheduler = context_.assignment.scheduler_of(pool);
  if (pools_[pool].released.empty() || !scheduler)
    co_return;
  const std::string address = scheduler->peer_address;
  co_await send_report(pool, address);
}

support::task<> scheduler_client::send_report(target_pool pool, std::string address) {
  scheduler_message message = make_message(pool, address);
  co_await exchange(std::move(message), address, nanoseconds(0), nullptr);
}

void scheduler_client::update() {
  const auto now = context_.time.now();
  std::erase_if(suspended_until_, [&](const auto& each) { return each.second <= now; });
  for (const auto& [pool, scheduler] : context_.assignment.all()) {
    const pool_state& state = pools_[pool];
    const bool is_new = state.reported_to != scheduler.peer_address;
    if ((is_new || now - state.reported_at >= report_interval) && schedules(pool))
      support::spawn(context_.executor, "report_slots", send_report(pool, scheduler.peer_address));
  }
}

} // namespace camphorlug::scheduling
