#include "fakes/emulated_pool.h"

#include <algorithm>

namespace camphorlug::fakes {

using gateway::membership_state;
using replicas::order_kind;
using replicas::order_result;
using replicas::replica_order;
using namespace std::chrono_literals;

static constexpr auto join_in_memory = 200ms;
static constexpr auto forming = 300ms;
static constexpr auto entry_lifetime = 3600ms;
/// Without traffic, loads take the profile's load time divided by this factor.
static constexpr int load_speedup_without_traffic = 10;

gateway::engine_profile two_model_engine() {
  gateway::engine_profile engine;
  engine.batch_slots = 17;
  engine.loads_per_second = 5;
  engine.concurrent_loads = 7;
  engine.models = {{"large", 4, 0.5, 1, 16s, 1600ms}, {"small", 2, 0.5, 0.6, 12s, 1100ms}};
  return engine;
}

void emulated_pool::add(const std::string& id, const std::string& domain) {
  emulated_instance runner;
  runner.id = id;
  runner.domain = domain;
  runners_[id] = runner;
  last_heartbeat_[id] = time_.now();
}

const gateway::model_profile& emulated_pool::model(const std::string& name) const {
  return *engine_.find(name);
}

std::chrono::nanoseconds emulated_pool::load_time(const std::string& name) const {
  return traffic ? std::chrono::nanoseconds(model(name).load_time)
                 : std::chrono::nanoseconds(model(name).load_time) / load_speedup_without_traffic;
}

void emulated_pool::check_epoch(const replica_order& order) {
  if (order.kind != order_kind::join)
    return;
  const auto [known, is_new] = members_by_epoch_.try_emplace(order.epoch, order.members);
  if (!is_new && known->second != order.members)
    violations_.push_back("epoch " + std::to_string(order.epoch) + " is given out again");
}

order_result emulated_pool::submit(const replica_order& order) {
  check_epoch(order);
  const bool late = std::uniform_real_distribution<>(0, 1)(random_) < late_order_probability;
  if (late) {
    delayed_orders_.push_back(
        {order, time_.now() + 2s + std::chrono::milliseconds(random_() % 10'000)});
    return order_result::unknown;
  }
  return carry_out(order);
}

order_result emulated_pool::carry_out(const replica_order& order) {
  const auto found = runners_.find(order.target);
  if (found == runners_.end() || !found->second.alive)
    return order_result::not_sent;
  emulated_instance& runner = found->second;
  if (order.fence < runner.newest_fence)
    return order_result::outdated;
  runner.newest_fence = order.fence;
  const bool member = runner.membership && runner.membership->group == order.group &&
                      runner.membership->epoch == order.epoch;
  switch (order.kind) {
  case order_kind::join:
    return join(runner, order);
  case order_kind::open:
    return member ? open(runner, order) : order_result::misfit;
  case order_kind::close:
    if (member && runner.membership->state == membership_state::open)
      runner.membership->state = membership_state::ready;
    return member ? order_result::done : order_result::misfit;
  case order_kind::leave:
    if (member)
      runner.membership.reset();
    return order_result::done;
  case order_kind::stage:
    if (runner.staged_models.contains(order.model))
      return order_result::done;
    runner.staging_model = order.model;
    runner.staging_done_at = time_.now() + load_time(order.model);
    loads_.push_back(time_.now());
    return order_result::begun;
  }
  return order_result::misfit;
}

void emulated_pool::check_join(const emulated_instance& runner, const replica_order& order) {
  if (!runner.membership || runner.membership->group == order.group)
    return;
  for (const auto& [id, head] : runners_) {
    const bool leads = head.membership && head.membership->group == runner.membership->group &&
                       head.membership->epoch == runner.membership->epoch &&
                       head.membership->rank == 0;
    if (leads && head.membership->state == membership_state::open)
      violations_.push_back(runner.id + " joins " + order.group +
                            " while the head of its current group is open: " + id);
  }
}

order_result emulated_pool::join(emulated_instance& runner, const replica_order& order) {
  const bool same = runner.membership && runner.membership->group == order.group &&
                    runner.membership->epoch == order.epoch;
  if (order.epoch < runner.newest_epoch || (same && runner.members != order.members))
    return order_result::outdated;
  if (same)
    return order_result::done;
  check_join(runner, order);
  const auto place = std::find(order.members.begin(), order.members.end(), runner.id);
  auto wait = std::chrono::nanoseconds(join_in_memory);
  if (runner.resident_model != order.model && runner.staged_models.contains(order.model)) {
    wait = model(order.model).staged_load_time;
  } else if (runner.resident_model != order.model) {
    wait = load_time(order.model);
    ++slow_joins_;
    loads_.push_back(time_.now());
    runner.staged_models = {order.model};
  }
  runner.newest_epoch = order.epoch;
  runner.members = order.members;
  runner.resident_model = order.model;
  runner.ready_at = time_.now() + wait;
  runner.membership = {order.group, order.epoch,
                       static_cast<std::size_t>(place - order.members.begin()),
                       membership_state::joining};
  return order_result::begun;
}

void emulated_pool::check_open(const emulated_instance& head) {
  const gateway::group_membership& place = *head.membership;
  if (head.members.size() != model(head.resident_model).size)
    violations_.push_back(place.group + " opens with a wrong number of members: " +
                          std::to_string(head.members.size()));
  for (const std::string& member : head.members) {
    if (!ever_ready_.contains(place.group + "/" + std::to_string(place.epoch) + "/" + member))
      violations_.push_back(place.group + " opens although member " + member + " was never ready");
  }
}

order_result emulated_pool::open(emulated_instance& runner, const replica_order&) {
  if (runner.membership->rank != 0 || runner.membership->state == membership_state::joining)
    return order_result::misfit;
  if (runner.membership->state == membership_state::open)
    return order_result::done;
  check_open(runner);
  runner.membership->state = membership_state::open;
  return order_result::begun;
}

void emulated_pool::advance() {
  std::vector<delayed_order> due;
  std::erase_if(delayed_orders_, [&](const delayed_order& each) {
    if (each.due <= time_.now())
      due.push_back(each);
    return each.due <= time_.now();
  });
  for (const delayed_order& each : due)
    carry_out(each.order);
  for (auto& [id, runner] : runners_) {
    if (!runner.alive)
      continue;
    if (runner.membership && runner.membership->state == membership_state::joining &&
        time_.now() >= runner.ready_at) {
      runner.membership->state = membership_state::ready;
      ever_ready_.insert(runner.membership->group + "/" + std::to_string(runner.membership->epoch) +
                         "/" + id);
    }
    if (!runner.staging_model.empty() && time_.now() >= runner.staging_done_at) {
      runner.staged_models = {runner.staging_model};
      runner.staging_model.clear();
    }
    if (!runner.cut)
      last_heartbeat_[id] = time_.now();
  }
}

std::map<std::string, gateway::registered_target> emulated_pool::entries() {
  std::map<std::string, gateway::registered_target> entries;
  for (const auto& [id, runner] : runners_) {
    if (time_.now() - last_heartbeat_[id] > entry_lifetime)
      continue;
    gateway::target_entry entry;
    entry.id = id;
    entry.address = id;
    entry.service = "engines";
    entry.fabric_domain = runner.domain;
    entry.data_centre = runner.data_centre;
    entry.started_at_ms = runner.started_at_ms;
    entry.draining = runner.draining;
    entry.staged_models.assign(runner.staged_models.begin(), runner.staged_models.end());
    entry.model = runner.membership ? runner.resident_model : "";
    entry.membership = runner.membership;
    entries[id] = {entry, ++versions_, time_.now(), std::nullopt, runner.resident_model};
  }
  return entries;
}

void emulated_pool::restart(const std::string& id) {
  emulated_instance& runner = at(id);
  const emulated_instance before = runner;
  runner = {};
  runner.id = id;
  runner.domain = before.domain;
  runner.data_centre = before.data_centre;
  runner.staged_models = before.staged_models;
  runner.started_at_ms = before.started_at_ms + 1;
}

std::map<std::string, std::size_t> emulated_pool::serving() const {
  std::map<std::string, std::size_t> groups;
  for (const auto& [id, head] : runners_) {
    const bool open = head.alive && head.membership && head.membership->rank == 0 &&
                      head.membership->state == membership_state::open;
    if (!open)
      continue;
    const bool complete =
        std::all_of(head.members.begin(), head.members.end(), [&](const auto& id) {
          const emulated_instance& member = runners_.at(id);
          return member.alive && member.membership &&
                 member.membership->epoch == head.membership->epoch;
        });
    groups[head.resident_model] += complete ? 1 : 0;
  }
  return groups;
}

} // namespace camphorlug::fakes
