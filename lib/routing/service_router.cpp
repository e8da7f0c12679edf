#include "camphorlug/routing/service_router.h"

#include "camphorlug/support/digest.h"

#include <algorithm>
#include <cmath>

namespace camphorlug::routing {

/// Time in which the weight of a reported load falls by a factor of e, to about a
/// third.
static constexpr double report_decay_seconds = 2.0;
/// A target is a straggler if its latency exceeds the median by this factor.
static constexpr double straggler_factor = 3.0;
/// At most one in this many targets may be ejected at a time.
static constexpr std::size_t targets_per_ejection = 3;

service_router::service_router(std::string service, groups::group_view& groups,
                               const target_picker& picker, support::clock& time,
                               support::random_source& random,
                               std::set<std::string> near_data_centres)
    : service_(std::move(service)), groups_(groups), picker_(picker), time_(time), random_(random),
      near_data_centres_(std::move(near_data_centres)) {}

void service_router::configure(const documents::service_document& document) {
  max_window_ = document.max_window;
  first_token_target_ = document.first_token_target;
  for (auto& [id, state] : states_)
    state.window.set_max_size(max_window_);
}

service_router::target_state& service_router::state_of(const std::string& target) {
  return states_.try_emplace(target, max_window_).first->second;
}

double service_router::load_of(const groups::routable_target& target,
                               const target_state& state) const {
  const double own = static_cast<double>(state.in_flight);
  const double others = std::max(0.0, static_cast<double>(target.reported_load) - own);
  const std::chrono::duration<double> age = time_.now() - target.reported_at;
  return own + others * std::exp(-age.count() / report_decay_seconds);
}

/// Removes the candidates for which `wanted` is false, unless it is false for all.
template<class Predicate>
static void prefer(std::vector<candidate>& list, Predicate wanted) {
  if (std::any_of(list.begin(), list.end(), wanted))
    std::erase_if(list, [&wanted](const candidate& each) { return !wanted(each); });
}

void service_router::keep_preferred(std::vector<candidate>& list) {
  const auto now = time_.now();
  const auto state = [this](const candidate& each) -> const target_state& {
    return state_of(each.target->id);
  };
  prefer(list, [&](const candidate& each) { return !state(each).health.is_failing(now); });
  if (!near_data_centres_.empty())
    prefer(list, [&](const candidate& each) {
      return near_data_centres_.contains(each.target->data_centre);
    });
  prefer(list, [&](const candidate& each) { return !state(each).health.is_ejected(now); });
  prefer(list,
         [&](const candidate& each) { return state(each).in_flight < state(each).window.size(); });
}

std::vector<candidate>
service_router::candidates(const std::vector<groups::routable_target>& targets,
                           const std::vector<std::string>& tried) {
  std::vector<candidate> list;
  list.reserve(targets.size());
  for (const groups::routable_target& target : targets)
    list.push_back({&target, support::fast_hash(target.id), load_of(target, state_of(target.id)),
                    state_of(target.id).recent_sent.value(time_.now().time_since_epoch())});
  prefer(list, [&tried](const candidate& each) {
    return std::find(tried.begin(), tried.end(), each.target->id) == tried.end();
  });
  return list;
}

std::optional<groups::routable_target> service_router::pick(std::uint64_t affinity,
                                                            const std::vector<std::string>& tried) {
  const groups::target_set targets = groups_.targets(service_);
  if (targets->empty())
    return std::nullopt;
  eject_stragglers(*targets);
  std::vector<candidate> list = candidates(*targets, tried);
  keep_preferred(list);
  const groups::routable_target chosen = *list[picker_.pick(affinity, list, random_)].target;
  acquire_slot(chosen.id);
  return chosen;
}

void service_router::eject_stragglers(const std::vector<groups::routable_target>& targets) {
  const auto now = time_.now();
  std::vector<std::chrono::nanoseconds> latencies;
  std::size_t ejected = 0;
  for (const groups::routable_target& target : targets) {
    const target_health& health = state_of(target.id).health;
    ejected += health.is_ejected(now) ? 1 : 0;
    if (health.latency().count() > 0)
      latencies.push_back(health.latency());
  }
  if (latencies.size() < targets_per_ejection)
    return;
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  const auto limit = *middle * straggler_factor;
  for (const groups::routable_target& target : targets) {
    target_health& health = state_of(target.id).health;
    if (health.latency() <= limit || health.is_ejected(now))
      continue;
    if (++ejected > targets.size() / targets_per_ejection)
      return;
    health.eject(now);
  }
}

void service_router::acquire_slot(const std::string& target) {
  ++state_of(target).in_flight;
  state_of(target).recent_sent.add(time_.now().time_since_epoch());
}

void service_router::release_slot(const std::string& target) {
  target_state& state = state_of(target);
  if (state.in_flight > 0)
    --state.in_flight;
}

void service_router::on_response(const std::string& target, std::chrono::nanoseconds latency) {
  target_state& state = state_of(target);
  state.health.on_response(latency);
  if (latency <= first_token_target_)
    state.window.on_timely_response();
  else
    state.window.on_overload(time_.now());
}

void service_router::on_failure(const std::string& target) {
  target_state& state = state_of(target);
  state.health.on_failure(time_.now());
  state.window.on_overload(time_.now());
}

std::optional<groups::routable_target> service_router::find(const std::string& target) const {
  const groups::target_set targets = groups_.targets(service_);
  const auto found =
      std::find_if(targets->begin(), targets->end(),
                   [&target](const groups::routable_target& each) { return each.id == target; });
  if (found == targets->end())
    return std::nullopt;
  return *found;
}

std::size_t service_router::total_slots() const {
  std::size_t slots = 0;
  for (const groups::routable_target& target : *groups_.targets(service_)) {
    const auto state = states_.find(target.id);
    slots += state == states_.end() ? concurrency_window(max_window_).size()
                                    : state->second.window.size();
  }
  return slots;
}

std::size_t service_router::free_slots() const {
  std::size_t slots = 0;
  for (const groups::routable_target& target : *groups_.targets(service_)) {
    const auto found = states_.find(target.id);
    if (found == states_.end()) {
      slots += concurrency_window(max_window_).size();
      continue;
    }
    const target_state& state = found->second;
    if (state.in_flight < state.window.size())
      slots += state.window.size() - state.in_flight;
  }
  return slots;
}

} // namespace camphorlug::routing
