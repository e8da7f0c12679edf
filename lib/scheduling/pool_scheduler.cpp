#include "camphorlug/scheduling/pool_scheduler.h"

#include "camphorlug/routing/rendezvous.h"
#include "camphorlug/scheduling/scheduler_message.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>
#include <vector>

namespace camphorlug::scheduling {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Cost, as a fraction of a target's slots, of a target in another data centre than the node.
static constexpr double remote_cost = 0.1;
/// A prompt that waits this long to be read costs as much as a target that is full.
static constexpr duration<double> full_reading_time{0.4};
/// Charge for the tokens that a request generates, whose number is not known before.
static constexpr double generation_charge = 500;
/// A target with prompts for this long to read gets no further one: it would wait there, out of
/// reach of the order of waiting requests.
static constexpr duration<double> max_reading_time{0.15};
/// No request counts as longer to read than this, since callers state the number of tokens
/// themselves, and a wrong one must not block a target.
static constexpr duration<double> max_believed_reading_time{2.0};
/// Fraction of its reading rate that a target reaches beside generation.
static constexpr double reading_efficiency = 0.7;
/// Number of targets with room that a choice compares, those with the least load. Enough to have
/// some of each data centre, and few enough that a choice costs the same in a pool of any size.
static constexpr std::size_t max_compared_targets = 64;
static constexpr double hold_smoothing_factor = 0.03;
/// Cold targets get at most this many requests at once.
static constexpr double cold_burst = gateway::cold_targets::scheduler_burst;
/// Requests a second that are expected to leave at least, so that a wait has an end.
static constexpr double min_drain_rate = 0.1;
/// Overdue asks end their wait when it is expected to take longer than this.
static constexpr milliseconds max_overdue_wait{1000};
static constexpr duration<double> arrival_time_constant{1.0};
/// At least this fraction of the slots is expected to be left to requests that are late already.
static constexpr double min_spare_fraction = 0.02;
/// Returns are not spread further than this, since callers do not wait longer.
static constexpr milliseconds max_return_delay{5000};

void pool_scheduler::set_targets(const std::vector<schedulable_target>& targets,
                                 double tokens_per_second) {
  tokens_per_second_ = tokens_per_second * reading_efficiency;
  free_targets_.clear();
  reading_targets_.clear();
  for (auto& [id, each] : targets_) {
    each.usable = false;
    each.listed_load.reset();
    each.read_at.reset();
  }
  for (const schedulable_target& info : targets) {
    const auto [found, is_new] = targets_.try_emplace(info.target.id);
    target_state& each = found->second;
    if (is_new)
      each.starts_at = each.tokens_at = time_.now();
    if (is_new || each.info.target.id.empty())
      each.mixed = routing::rendezvous_hash(info.target.id);
    each.info = info;
    each.usable = true;
  }
  std::erase_if(targets_,
                [](const auto& each) { return !each.second.usable && each.second.in_flight == 0; });
  slots_ = usable_targets_ = warm_slots_ = warm_targets_ = 0;
  cold_starts_per_second_ = 0;
  for (auto& [id, each] : targets_) {
    list_if_free(each);
    if (!each.usable)
      continue;
    slots_ += each.info.target.slots;
    ++usable_targets_;
    if (const std::optional<double> rate = each.info.max_starts_per_second) {
      cold_starts_per_second_ += *rate * cold_fraction;
    } else {
      warm_slots_ += each.info.target.slots;
      ++warm_targets_;
    }
  }
  assign();
}

std::size_t pool_scheduler::in_flight(const std::string& target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? 0 : found->second.in_flight;
}

std::size_t pool_scheduler::total_in_flight() const {
  std::size_t sum = 0;
  for (const auto& [id, each] : targets_)
    sum += each.in_flight;
  return sum;
}

static double load_of(std::size_t in_flight, std::size_t slots) {
  return static_cast<double>(in_flight) / static_cast<double>(std::max<std::size_t>(slots, 1));
}

void pool_scheduler::list_if_free(target_state& each) {
  if (each.listed_load)
    free_targets_.erase(&each);
  each.listed_load.reset();
  if (each.read_at)
    reading_targets_.erase({*each.read_at, &each});
  each.read_at.reset();
  if (!each.usable || each.in_flight >= each.info.target.slots)
    return;
  const auto read_in = time_to_read(each);
  if (read_in > nanoseconds(0)) {
    each.read_at = time_.now() + read_in;
    reading_targets_.emplace(*each.read_at, &each);
    return;
  }
  each.listed_load = load_of(each.in_flight, each.info.target.slots);
  free_targets_.insert(&each);
}

void pool_scheduler::list_read_targets() {
  while (!reading_targets_.empty() && reading_targets_.begin()->first <= time_.now())
    list_if_free(*reading_targets_.begin()->second);
}

nanoseconds pool_scheduler::time_to_read(const target_state& each) const {
  if (tokens_per_second_ <= 0)
    return nanoseconds(0);
  const duration<double> reading(unread_tokens(each) / tokens_per_second_);
  return std::chrono::ceil<nanoseconds>(reading - max_reading_time);
}

double pool_scheduler::believed_tokens(const slot_ask& ask) const {
  const double most = tokens_per_second_ > 0
                          ? tokens_per_second_ * max_believed_reading_time.count()
                          : max_prompt_tokens;
  return std::clamp(ask.prompt_tokens, 0.0, most);
}

double pool_scheduler::unread_tokens(const target_state& each) const {
  const duration<double> elapsed = time_.now() - each.tokens_at;
  return std::max(each.unread_tokens - elapsed.count() * tokens_per_second_, 0.0);
}

void pool_scheduler::refill_starts(target_state& each) const {
  const duration<double> elapsed = time_.now() - each.starts_at;
  const double rate = each.info.max_starts_per_second.value_or(0) * cold_fraction;
  each.starts_left = std::min(each.starts_left + elapsed.count() * rate, cold_burst);
  each.starts_at = time_.now();
}

double pool_scheduler::cost(const target_state& each, const slot_ask& ask) const {
  const double load = load_of(each.in_flight, each.info.target.slots);
  const double reading = tokens_per_second_ > 0
                             ? unread_tokens(each) / tokens_per_second_ / full_reading_time.count()
                             : 0;
  return load + reading + (each.info.data_centre == ask.data_centre ? 0 : remote_cost);
}

/// Returns the best target with a free slot, or null.
pool_scheduler::target_state* pool_scheduler::choose(const slot_ask& ask) {
  target_state* best = nullptr;
  double lowest = 0;
  std::size_t compared = 0;
  for (target_state* listed : free_targets_) {
    target_state& each = *listed;
    // The load is the least that a target costs.
    if (best && (*each.listed_load >= lowest || compared == max_compared_targets))
      break;
    if (ask.avoided.contains(each.info.target.id))
      continue;
    if (each.info.max_starts_per_second) {
      refill_starts(each);
      if (each.starts_left < 1)
        continue;
    }
    ++compared;
    const double each_cost = cost(each, ask);
    if (!best || each_cost < lowest) {
      best = &each;
      lowest = each_cost;
    }
  }
  return best;
}

pool_scheduler::decision pool_scheduler::grant(const slot_ask& ask, target_state& chosen) {
  const auto now = time_.now();
  ++chosen.in_flight;
  const double prompt_tokens = believed_tokens(ask);
  chosen.unread_tokens = tokens_per_second_ > 0 ? unread_tokens(chosen) + prompt_tokens : 0;
  chosen.tokens_at = now;
  if (chosen.info.max_starts_per_second)
    chosen.starts_left -= 1;
  list_if_free(chosen);
  held_slots& held = nodes_[ask.node].targets[chosen.info.target.id];
  ++held.count;
  held.starts.push_back(now);
  mean_prompt_tokens_ += (prompt_tokens - mean_prompt_tokens_) * hold_smoothing_factor;
  waiting_.charge(ask.priority, ask.organisation, prompt_tokens + generation_charge);
  ++counts_[ask.organisation].granted;
  decision granted;
  granted.result = decision::outcome::granted;
  granted.target = chosen.info.target;
  return granted;
}

double pool_scheduler::drain_rate() const {
  const double all_by_slots =
      static_cast<double>(std::max<std::size_t>(slots(), 1)) / mean_hold_.count();
  // A target that is no longer quite cold may be given more than it has slots for.
  const double cold = std::min(cold_starts_per_second_, all_by_slots);
  const bool is_all_cold = warm_targets_ == 0 && usable_targets_ > 0;
  const double warm_by_slots =
      static_cast<double>(std::max<std::size_t>(warm_slots_, is_all_cold ? 0 : 1)) /
      mean_hold_.count();
  if (tokens_per_second_ <= 0 || mean_prompt_tokens_ <= 0)
    return std::max(warm_by_slots + cold, min_drain_rate);
  const double warm_by_reading =
      static_cast<double>(std::max<std::size_t>(warm_targets_, is_all_cold ? 0 : 1)) *
      tokens_per_second_ / mean_prompt_tokens_;
  return std::max(std::min(warm_by_slots, warm_by_reading) + cold, min_drain_rate);
}

double pool_scheduler::spare_rate() const {
  const duration<double> elapsed = time_.now() - arrivals_at_;
  const double arrivals = arrival_rate_ * std::exp(-elapsed / arrival_time_constant);
  return std::max(drain_rate() - arrivals, drain_rate() * min_spare_fraction);
}

/// Estimates the wait of a new ask behind those in time that wait already.
nanoseconds pool_scheduler::expected_wait(const slot_ask& ask) {
  const std::size_t ahead = waiting_.ahead_of(ask.priority, ask.organisation);
  return duration_cast<nanoseconds>(
      duration<double>(static_cast<double>(ahead + 1) / drain_rate()));
}

/// Estimates the wait of a new ask that will be overdue, behind those that are or will be too.
nanoseconds pool_scheduler::expected_wait_of_overdue(const slot_ask& ask) {
  const auto overdue = static_cast<double>(waiting_.overdue());
  const duration<double> left_in_time = ask.in_time_until - time_.now();
  const double served_in_time = drain_rate() * std::max(left_in_time.count(), 0.0);
  const double in_time = static_cast<double>(waiting_.size()) - overdue;
  const double ahead = overdue + std::max(in_time - served_in_time, 0.0);
  return duration_cast<nanoseconds>(duration<double>((ahead + 1) / spare_rate()));
}

bool pool_scheduler::can_be_served(const slot_ask& ask) {
  const auto now = time_.now();
  if (!waiting_.is_overdue(ask) && now + expected_wait(ask) <= ask.in_time_until)
    return true;
  return now + expected_wait_of_overdue(ask) <= ask.latest_start;
}

/// Refuses an ask. The callers of refused requests return one after the other, at the rate that
/// other requests leave to them.
pool_scheduler::decision pool_scheduler::refuse(const slot_ask& ask) {
  const auto now = time_.now();
  const auto latest = now + max_return_delay;
  next_return_ = std::clamp(next_return_, std::min(now + expected_wait(ask), latest), latest);
  ++counts_[ask.organisation].refused;
  decision refused;
  refused.result = decision::outcome::refused;
  refused.retry_after = next_return_ - now;
  next_return_ += duration_cast<nanoseconds>(duration<double>(1 / spare_rate()));
  return refused;
}

std::uint64_t pool_scheduler::submit(slot_ask ask, decision_handler decide) {
  const auto now = time_.now();
  nodes_[ask.node].heard_at = now;
  if (!waiting_.is_overdue(ask)) {
    const duration<double> elapsed = now - std::exchange(arrivals_at_, now);
    arrival_rate_ = arrival_rate_ * std::exp(-elapsed / arrival_time_constant) +
                    1 / arrival_time_constant.count();
  }
  if (usable_targets_ == 0) {
    decide({});
    return 0;
  }
  // What is left free then is of no use to those that wait, since they avoid it.
  assign();
  if (target_state* free = choose(ask)) {
    decide(grant(ask, *free));
    return 0;
  }
  if (!can_be_served(ask)) {
    decide(refuse(ask));
    return 0;
  }
  const std::uint64_t number = ++last_number_;
  waiting_.add(number, {std::move(ask), std::move(decide)});
  return number;
}

void pool_scheduler::end_wait(std::uint64_t number) {
  if (!waiting_.contains(number))
    return;
  const waiting_ask ended = waiting_.take(number);
  ended.decide(refuse(ended.ask));
}

void pool_scheduler::cancel(std::uint64_t number) {
  if (waiting_.contains(number))
    waiting_.take(number);
}

void pool_scheduler::assign_after(nanoseconds interval) {
  if (time_.now() - assigned_at_ >= interval)
    assign();
}

void pool_scheduler::assign() {
  assigned_at_ = time_.now();
  list_read_targets();
  while (!free_targets_.empty()) {
    const std::uint64_t number = waiting_.first();
    if (number == 0)
      break;
    target_state* free = choose(waiting_.ask(number));
    if (free) {
      const waiting_ask chosen = waiting_.take(number);
      chosen.decide(grant(chosen.ask, *free));
    } else if (waiting_.ask(number).avoided.empty()) {
      break;
    } else {
      // Others may avoid fewer targets.
      waiting_.set_aside(number);
    }
  }
  waiting_.restore();
}

void pool_scheduler::record_hold(nanoseconds held) {
  mean_hold_ += (duration<double>(held) - mean_hold_) * hold_smoothing_factor;
}

void pool_scheduler::release(const std::string& node, const std::string& target,
                             std::uint64_t sequence) {
  node_state& owner = nodes_[node];
  owner.heard_at = time_.now();
  if (sequence != 0 && sequence < owner.report_sequence)
    return;
  const auto found = owner.targets.find(target);
  if (found == owner.targets.end())
    return;
  held_slots& held = found->second;
  if (!held.starts.empty())
    record_hold(time_.now() - held.starts.front());
  set_count(held, targets_[target], held.count - 1);
  if (held.count == 0)
    owner.targets.erase(found);
  assign();
}

void pool_scheduler::set_count(held_slots& held, target_state& target, std::size_t count) {
  target.in_flight = target.in_flight + count - held.count;
  list_if_free(target);
  held.count = count;
  while (held.starts.size() > count)
    held.starts.erase(held.starts.begin());
}

void pool_scheduler::report_held(const std::string& node, const gateway::target_loads& reported,
                                 std::uint64_t sequence) {
  node_state& owner = nodes_[node];
  owner.heard_at = time_.now();
  owner.report_sequence = sequence;
  const auto crossing_since = time_.now() - report_grace;
  for (const auto& [target, count] : reported)
    owner.targets[target];
  for (auto& [target, held] : owner.targets) {
    const auto found = reported.find(target);
    const std::size_t count = found == reported.end() ? 0 : found->second;
    // Each young grant may be missing in the report or be part of it.
    const auto young = static_cast<std::size_t>(std::count_if(
        held.starts.begin(), held.starts.end(), [&](auto at) { return at > crossing_since; }));
    set_count(held, targets_[target], std::clamp(held.count, count, count + young));
  }
  std::erase_if(owner.targets, [](const auto& each) { return each.second.count == 0; });
  assign();
}

void pool_scheduler::expire() {
  expire_nodes();
  expire_waits();
  waiting_.forget_idle();
  assign();
}

void pool_scheduler::expire_nodes() {
  const auto now = time_.now();
  for (auto& [id, node] : nodes_) {
    if (now - node.heard_at < node_timeout)
      continue;
    for (auto& [target, held] : node.targets)
      set_count(held, targets_[target], 0);
    node.targets.clear();
  }
  std::erase_if(nodes_,
                [&](const auto& each) { return now - each.second.heard_at >= node_timeout; });
  // A slot for a node that has gone would stand empty.
  const std::vector<waiting_ask> gone =
      waiting_.take_all([this](const slot_ask& ask) { return !nodes_.contains(ask.node); });
  for (const waiting_ask& each : gone)
    each.decide({});
}

void pool_scheduler::expire_waits() {
  const auto now = time_.now();
  std::size_t overdue = waiting_.overdue();
  const double most = max_overdue_wait / duration<double>(1 / spare_rate());
  const std::vector<waiting_ask> ended = waiting_.take_all([&](const slot_ask& ask) {
    const bool is_overdue = waiting_.is_overdue(ask);
    const bool is_hopeless = is_overdue && static_cast<double>(overdue + 1) > most;
    const bool ends = ask.latest_start <= now || is_hopeless;
    if (ends && is_overdue)
      --overdue;
    return ends;
  });
  for (const waiting_ask& each : ended)
    each.decide(refuse(each.ask));
}

} // namespace camphorlug::scheduling
