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
/// A time limit that ends this much too late shows that the process did not run.
static constexpr milliseconds suspended_allowance{250};

scheduler_client::open_exchange::open_exchange(std::set<open_exchange*>& registry, std::string peer,
                                               const bool* cancelled_flag, net::http_exchange& sent)
    : all(registry), address(std::move(peer)), cancelled(cancelled_flag), exchange(sent) {
  all.insert(this);
}

bool scheduler_client::schedules(const target_pool& pool) {
  const gateway::node_status* scheduler = context_.assignment.scheduler_of(pool);
  if (!scheduler)
    return false;
  const auto peer = peers_.find(scheduler->peer_address);
  return peer == peers_.end() || !peer->second.suspended_until;
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

support::task<scheduled_slot> scheduler_client::ask_local(scheduler_message message,
                                                          const bool* cancelled) {
  static constexpr bool never = false;
  if (!context_.local.schedules(message.pool)) {
    report_again(message.pool);
    co_return scheduled_slot{};
  }
  const bool& is_cancelled = cancelled ? *cancelled : never;
  co_return co_await context_.local.apply(std::move(message), is_cancelled);
}

support::task<scheduled_slot> scheduler_client::exchange(scheduler_message message,
                                                         std::string address, nanoseconds timeout,
                                                         const bool* cancelled) {
  const target_pool pool = message.pool;
  const gateway::node_status* scheduler = context_.assignment.scheduler_of(pool);
  if (scheduler && scheduler->id == context_.self)
    co_return co_await ask_local(std::move(message), cancelled);
  const auto sent_at = context_.time.now();
  const auto until = sent_at + timeout + answer_allowance;
  net::client_request request;
  request.method = "POST";
  request.address = address;
  request.target = slots_path;
  request.connect_timeout = connect_timeout;
  request.connection = net::connection_use::pooled;
  std::string failure;
  bool was_suspended = false;
  for (int attempts = 0; attempts < max_attempts; ++attempts) {
    request.body = message.to_json(context_.time.now());
    net::client_request repeated = request;
    const attempt_result result = co_await attempt(std::move(repeated), until, cancelled);
    if (result.response) {
      try {
        co_return read_answer(pool, address, *result.response);
      } catch (const nlohmann::json::exception& error) {
        failure = error.what();
        break;
      }
    }
    // The scheduler may have assigned a slot, whose target this node does not know.
    report_again(pool);
    failure = result.failure;
    if (result.is_given_up)
      co_return scheduled_slot{};
    was_suspended = was_suspended || result.was_suspended;
    const bool is_silent = peers_[address].heard_at < sent_at;
    if (!result.may_be_repeated || (is_silent && attempts + 1 >= attempts_until_silent))
      break;
    // A kept connection may be one that has failed.
    request.connection = net::connection_use::fresh;
    message.held = held(pool);
    message.sequence = ++pools_[pool].last_sequence;
  }
  report_again(pool);
  if (peers_[address].heard_at < sent_at && !was_suspended)
    suspend(address, failure);
  co_return scheduled_slot{};
}

support::task<scheduler_client::attempt_result>
scheduler_client::attempt(net::client_request request, support::clock::time_point until,
                          const bool* cancelled) {
  const std::string address = request.address;
  const nanoseconds left = std::max<nanoseconds>(until - context_.time.now(), answer_allowance);
  const nanoseconds until_head = peers_[address].begins_early ? answer_allowance : left;
  request.limits.duration = left + answer_allowance;
  const std::unique_ptr<net::http_exchange> sent = context_.client.open(std::move(request));
  const open_exchange open(open_, address, cancelled, *sent);
  const auto sent_at = context_.time.now();
  attempt_result result;
  bool has_begun = false;
  try {
    net::response_head head = co_await sent->head(until_head);
    has_begun = true;
    peers_[address].heard_at = context_.time.now();
    net::client_response response{head.status, std::move(head.headers), {}};
    for (;;) {
      const std::optional<std::string> chunk = co_await sent->read(left);
      if (!chunk)
        break;
      response.body += *chunk;
    }
    peers_[address].heard_at = context_.time.now();
    result.response = std::move(response);
  } catch (const net::transport_error& error) {
    result.failure = error.what();
    result.was_suspended =
        context_.time.now() > sent_at + (has_begun ? left : until_head) + suspended_allowance;
    result.may_be_repeated = !has_begun && context_.time.now() < until;
  }
  result.is_given_up = open.is_given_up;
  co_return result;
}

scheduled_slot scheduler_client::read_answer(const target_pool& pool, const std::string& address,
                                             const net::client_response& response) {
  peer_state& peer = peers_[address];
  if (std::exchange(peer.suspended_until, std::nullopt))
    support::log_event(support::log_level::info, "scheduler_answers", {{"peer", address}});
  if (response.status != 200) {
    // Its list of nodes differs from this node's for a moment.
    report_again(pool);
    if (response.status != not_scheduled_status)
      suspend(address, "status " + std::to_string(response.status));
    return {};
  }
  peer.begins_early = begins_early(response.body);
  return answer_from_json(response.body);
}

/// What waits there ends its wait, so that this node can choose by itself in time.
void scheduler_client::suspend(const std::string& address, const std::string& failure) {
  peer_state& peer = peers_[address];
  if (!peer.suspended_until)
    support::log_event(support::log_level::warning, "scheduler_silent",
                       {{"peer", address}, {"error", failure}});
  peer.suspended_until = context_.time.now() + suspension;
  for (open_exchange* each : open_) {
    if (each->address == address)
      give_up(*each);
  }
}

void scheduler_client::give_up(open_exchange& each) {
  each.is_given_up = true;
  each.exchange.cancel();
}

/// Ends the waits whose callers have gone. Their slots would stand empty until they are given back.
void scheduler_client::give_up_abandoned() {
  for (open_exchange* each : open_) {
    if (each->cancelled && *each->cancelled && !each->is_given_up)
      give_up(*each);
  }
}

support::task<scheduled_slot> scheduler_client::acquire(gateway::slot_request request,
                                                        support::clock::time_point until) {
  for (int unknown = 0; unknown < max_unknown_targets; ++unknown) {
    scheduled_slot answer = co_await ask(request, until);
    const bool is_late = context_.time.now() > until + answer_allowance;
    if (answer.result == scheduled_slot::outcome::unavailable && is_late)
      answer.result = scheduled_slot::outcome::refused;
    if (answer.result != scheduled_slot::outcome::granted)
      co_return answer;
    const auto target = context_.chooser.find_usable(request.pool, answer.target.id);
    const bool is_cancelled = request.cancelled && *request.cancelled;
    if (target && !is_cancelled && !is_late) {
      answer.target = *target;
      co_return answer;
    }
    release(request.pool, answer.target.id);
    scheduled_slot none;
    // The slot of a late answer may be assigned to another node by now.
    if (is_late)
      none.result = scheduled_slot::outcome::refused;
    if (is_late || is_cancelled)
      co_return none;
    // The scheduler may know this target from newer entries, or not know yet that it pauses.
    request.avoided.insert(answer.target.id);
  }
  co_return scheduled_slot{};
}

support::task<scheduled_slot> scheduler_client::ask(const gateway::slot_request& request,
                                                    support::clock::time_point until) {
  const gateway::node_status* scheduler = context_.assignment.scheduler_of(request.pool);
  if (!scheduler)
    co_return scheduled_slot{};
  const std::string address = scheduler->peer_address;
  scheduler_message message = make_message(request.pool, address);
  slot_ask& asked = message.ask.emplace();
  asked.node = context_.self;
  asked.data_centre = context_.data_centre;
  asked.organisation = request.organisation;
  asked.priority = request.rank.priority;
  asked.in_time_until = request.in_time_until;
  asked.latest_start = until;
  asked.prompt_tokens = request.prompt_tokens;
  asked.avoided = request.avoided;
  const nanoseconds timeout = std::max<nanoseconds>(until - context_.time.now(), nanoseconds(0));
  co_return co_await exchange(std::move(message), address, timeout, request.cancelled);
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
  if (!schedules(pool)) {
    // The next report says it.
    pools_[pool].released.clear();
    co_return;
  }
  if (pools_[pool].released.empty())
    co_return;
  const std::string address = scheduler->peer_address;
  co_await send_report(pool, address);
}

support::task<> scheduler_client::send_report(target_pool pool, std::string address) {
  scheduler_message message = make_message(pool, address);
  co_await exchange(std::move(message), address, nanoseconds(0), nullptr);
}

support::task<> scheduler_client::probe(target_pool pool, std::string address) {
  report_again(pool);
  co_await send_report(pool, address);
  if (const auto peer = peers_.find(address); peer != peers_.end())
    peer->second.is_probed = false;
}

void scheduler_client::update() {
  const auto now = context_.time.now();
  give_up_abandoned();
  std::set<std::string> addresses;
  for (const auto& [pool, scheduler] : context_.assignment.all()) {
    const std::string& address = scheduler.peer_address;
    addresses.insert(address);
    const pool_state& state = pools_[pool];
    const auto peer = peers_.find(address);
    if (peer != peers_.end() && peer->second.suspended_until) {
      if (*peer->second.suspended_until <= now && !std::exchange(peer->second.is_probed, true))
        support::spawn(context_.executor, "probe_scheduler", probe(pool, address));
    } else if (state.reported_to != address || now - state.reported_at >= report_interval) {
      support::spawn(context_.executor, "report_slots", send_report(pool, address));
    }
  }
  std::erase_if(peers_, [&](const auto& each) { return !addresses.contains(each.first); });
}

} // namespace camphorlug::scheduling
