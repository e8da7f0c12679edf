#include "camphorlug/gateway/cold_targets.h"

#include "camphorlug/routing/rendezvous.h"
#include "camphorlug/support/log.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace camphorlug::gateway {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// When a node without a share is asked about a target: the owners may have changed by then.
static constexpr milliseconds wait_without_share{1000};

void cold_targets::update(const std::vector<std::string>& others, const std::string& self,
                          bool expects_others) {
  const auto now = time_.now();
  self_ = self;
  expects_others_ = expects_others;
  hears_none_ = others.empty();
  for (const std::string& each : others)
    heard_at_[each] = now;
  record_heard_fraction(static_cast<double>(others.size() + 1) /
                        static_cast<double>(known_nodes()));
  const bool was_minority = is_minority_;
  is_minority_ = (others.size() + 1) * 2 <= known_nodes();
  const auto memory = is_minority_ ? minority_node_memory : node_memory;
  const std::size_t forgotten =
      std::erase_if(heard_at_, [&](const auto& each) { return now - each.second > memory; });
  if (was_minority || is_minority_ || forgotten > 0)
    settled_at_ = std::max(settled_at_, now + settling_time);
  if (known_nodes() > small_fleet)
    large_until_ = now + node_memory;
  if (was_minority != is_minority_)
    support::log_event(
        support::log_level::info, is_minority_ ? "cold_targets_withheld" : "cold_targets_shared",
        {{"heard", std::to_string(others.size() + 1)}, {"known", std::to_string(known_nodes())}});
  std::erase_if(sent_at_,
                [&](const auto& each) { return now - each.second > 2 * counted_time + ramp_time; });
}

void cold_targets::record_heard_fraction(double fraction) {
  const auto now = time_.now();
  while (!heard_parts_.empty() && heard_parts_.back().fraction >= fraction)
    heard_parts_.pop_back();
  heard_parts_.push_back({now, fraction});
  while (now - heard_parts_.front().at > settling_time)
    heard_parts_.pop_front();
}

double cold_targets::heard_fraction() const {
  return heard_parts_.empty() ? 0 : heard_parts_.front().fraction;
}

void cold_targets::learn_size(const fleet_size& reported) {
  if (reported.age < milliseconds(0) || reported.age > node_memory ||
      reported.nodes > fleet_size::max_nodes)
    return;
  const auto counted_at = time_.now() - reported.age;
  const bool is_over = time_.now() - learned_at_ > node_memory;
  if (reported.nodes > learned_nodes_ || is_over) {
    learned_nodes_ = reported.nodes;
    learned_at_ = counted_at;
  } else if (reported.nodes == learned_nodes_) {
    learned_at_ = std::max(learned_at_, counted_at);
  }
}

fleet_size cold_targets::size() const {
  const std::size_t own = heard_at_.size() + 1;
  const auto age = time_.now() - learned_at_;
  if (learned_nodes_ <= own || age > node_memory)
    return {own, milliseconds(0)};
  return {learned_nodes_, duration_cast<milliseconds>(age)};
}

double cold_targets::ramp_factor(const cold_state& state) const {
  const duration<double> passed = time_.now() - state.until;
  const double part = std::clamp(passed / duration<double>(ramp_time), 0.0, 1.0);
  return 1 + (ramp_end - 1) * part;
}

double cold_targets::full_scheduler_rate(const cold_state& state) const {
  const double most = (total(state) * scheduler_share - scheduler_burst) / scheduler_fraction;
  return std::max(std::min(state.requests_per_second, most), 0.0);
}

std::optional<double> cold_targets::scheduler_rate(const cold_state& state) const {
  if (!is_bounded(state))
    return std::nullopt;
  const bool has_just_started = time_.now() < created_at_ + settling_time;
  const double part = std::min(heard_fraction(), has_just_started ? starting_fraction : 1.0);
  return full_scheduler_rate(state) * ramp_factor(state) * part;
}

std::size_t cold_targets::quota(const std::string& target, const cold_state& state) const {
  const auto now = time_.now();
  if (hears_none_ && expects_others_ && heard_at_.empty())
    return 0;
  const bool is_small = known_nodes() <= small_fleet && (now >= large_until_ || !expects_others_);
  if (is_small)
    return static_cast<std::size_t>(total(state) / static_cast<double>(small_fleet));
  if (is_minority_ || now < settled_at_)
    return 0;
  const double scheduled = full_scheduler_rate(state) * scheduler_fraction + scheduler_burst;
  const double rest = total(state) - 2 * scheduled;
  const auto owners = static_cast<std::size_t>(std::max(rest / 2, 0.0));
  const auto id_of = [](const auto& each) -> const std::string& { return each.first; };
  return routing::is_rendezvous_owner(heard_at_, self_, target, owners, id_of) ? 1 : 0;
}

std::optional<nanoseconds> cold_targets::interval(const std::string& target,
                                                  const cold_state& state) const {
  const nanoseconds span(counted_time);
  if (time_.now() >= state.until) {
    const double rate = total(state) * ramp_factor(state) / static_cast<double>(known_nodes());
    return duration_cast<nanoseconds>(duration<double>(1 / rate));
  }
  const std::size_t most = quota(target, state);
  return most > 0 ? std::optional(span / static_cast<std::int64_t>(most)) : std::nullopt;
}

std::optional<support::clock::time_point> cold_targets::next_at(const std::string& target,
                                                                const cold_state& state) const {
  if (!is_bounded(state))
    return std::nullopt;
  const auto span = interval(target, state);
  if (!span)
    return std::min<support::clock::time_point>(time_.now() + wait_without_share, state.until);
  const auto sent = sent_at_.find(target);
  if (sent == sent_at_.end() || sent->second + *span <= time_.now())
    return std::nullopt;
  return sent->second + *span;
}

void cold_targets::count(const std::string& target, const cold_state& state) {
  if (!is_bounded(state))
    return;
  sent_at_[target] = time_.now();
}

} // namespace camphorlug::gateway
