#include "camphorlug/gateway/target_limits.h"

#include "camphorlug/routing/rendezvous.h"
#include "camphorlug/support/log.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <tuple>

namespace camphorlug::gateway {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// When a node without a share is asked about a target: the owners may have changed by then.
static constexpr milliseconds wait_without_share{1000};

// An array in place of an object, because summaries cross data centres several times a second.
void to_json(nlohmann::json& value, const reported_limit& limit) {
  value = nlohmann::json::array({limit.started_at_ms, limit.age.count()});
  if (limit.requests_per_second)
    value.push_back(*limit.requests_per_second);
}

void from_json(const nlohmann::json& value, reported_limit& limit) {
  value.at(0).get_to(limit.started_at_ms);
  limit.age = milliseconds(value.at(1).get<std::int64_t>());
  limit.requests_per_second.reset();
  if (value.size() > 2)
    limit.requests_per_second = value.at(2).get<double>();
}

void keep_newest(reported_limits& held, const reported_limits& other, nanoseconds elapsed) {
  for (const auto& [target, received] : other) {
    reported_limit report = received;
    report.age += std::chrono::duration_cast<milliseconds>(elapsed);
    const auto [known, is_new] = held.try_emplace(target, report);
    const bool is_newer = std::tie(report.started_at_ms, known->second.age) >
                          std::tie(known->second.started_at_ms, report.age);
    if (!is_new && is_newer)
      known->second = report;
  }
}

void target_limits::apply(const std::string& target, std::int64_t started_at_ms,
                          std::optional<double> requests_per_second,
                          support::clock::time_point reported_at) {
  const auto found = records_.find(target);
  if (found == records_.end()) {
    // The end of a limit that this node has not heard of.
    if (!requests_per_second)
      return;
    records_[target] = {started_at_ms, requests_per_second, reported_at, std::nullopt, {}};
  } else {
    record& known = found->second;
    if (std::tie(started_at_ms, reported_at) <= std::tie(known.started_at_ms, known.reported_at))
      return;
    known.reported_at = reported_at;
    const bool changed =
        known.started_at_ms != started_at_ms || known.requests_per_second != requests_per_second;
    if (!changed)
      return;
    known = {started_at_ms, requests_per_second, reported_at, std::nullopt, known.next_at};
  }
  support::log_event(
      support::log_level::info, "target_limit",
      {{"target", target},
       {"per_second", requests_per_second ? std::to_string(*requests_per_second) : "none"}});
}

void target_limits::observe(const std::string& target, std::int64_t started_at_ms,
                            std::optional<double> requests_per_second) {
  apply(target, started_at_ms, requests_per_second, time_.now());
}

void target_limits::merge(const reported_limits& others) {
  for (const auto& [target, report] : others)
    apply(target, report.started_at_ms, report.requests_per_second, time_.now() - report.age);
}

reported_limits target_limits::known() const {
  reported_limits reports;
  for (const auto& [target, each] : records_)
    reports[target] = {each.started_at_ms, each.requests_per_second,
                       std::chrono::duration_cast<milliseconds>(time_.now() - each.reported_at)};
  return reports;
}

void target_limits::retain(
    const std::function<bool(const std::string& target, std::int64_t started_at_ms)>& is_current) {
  std::erase_if(records_, [&](const auto& each) {
    return !is_current(each.first, each.second.started_at_ms);
  });
}

void target_limits::update(const std::vector<std::string>& others, const std::string& self) {
  const auto now = time_.now();
  std::erase_if(records_, [&](const auto& each) {
    return !each.second.requests_per_second &&
           now - each.second.reported_at > memory_of_ended_limit;
  });
  for (auto& [target, each] : records_) {
    if (!each.requests_per_second)
      continue;
    const double total = std::max(*each.requests_per_second * used_fraction, min_total_rate);
    const auto owners = std::clamp<std::size_t>(
        static_cast<std::size_t>(std::lround(total / min_owner_rate)), 1, others.size() + 1);
    if (!routing::is_rendezvous_owner(others, self, target, owners)) {
      each.interval.reset();
      continue;
    }
    const std::chrono::duration<double> interval(static_cast<double>(owners) / total);
    const auto span = std::chrono::duration_cast<nanoseconds>(interval);
    // A new owner waits, because the one before it may just have sent a request.
    if (!each.interval || each.next_at > now + span)
      each.next_at = now + span;
    each.interval = span;
  }
}

const target_limits::record* target_limits::find_limited(const std::string& target,
                                                         std::int64_t started_at_ms) const {
  const auto found = records_.find(target);
  const bool is_limited = found != records_.end() && found->second.requests_per_second &&
                          found->second.started_at_ms == started_at_ms;
  return is_limited ? &found->second : nullptr;
}

std::optional<support::clock::time_point> target_limits::next_at(const std::string& target,
                                                                 std::int64_t started_at_ms) const {
  const record* limited = find_limited(target, started_at_ms);
  if (!limited)
    return std::nullopt;
  if (!limited->interval)
    return time_.now() + wait_without_share;
  if (limited->next_at <= time_.now())
    return std::nullopt;
  return limited->next_at;
}

void target_limits::count(const std::string& target, std::int64_t started_at_ms) {
  const record* limited = find_limited(target, started_at_ms);
  if (limited && limited->interval)
    records_[target].next_at = std::max(limited->next_at, time_.now()) + *limited->interval;
}

} // namespace camphorlug::gateway
