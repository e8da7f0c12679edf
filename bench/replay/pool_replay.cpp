#include "replay/pool_replay.h"

#include <algorithm>

namespace camphorlug::replay {

using groups::group_state;
using groups::instance_condition;
using groups::placement_step;
using groups::step_kind;

static constexpr std::chrono::milliseconds silence_after{2000};
/// Measured after the last event, so that what it caused is counted.
static constexpr std::chrono::hours final_time{1};

static std::string domain_of(const std::string& instance) {
  return instance.substr(0, instance.find('-'));
}

pool_replay::pool_replay(const groups::placement_policy& policy, documents::model_spec spec,
                         pool_shape shape, replay_times times)
    : policy_(policy), spec_(std::move(spec)), times_(times) {
  for (std::size_t i = 0; i < shape.instances(); ++i) {
    const std::string id = instance_name(shape, i);
    instances_[id].fabric_domain = domain_of(id);
  }
}

replay_result pool_replay::run(const std::vector<replay_event>& events) {
  schedule_plan(time(0));
  while (!wakes_.empty())
    advance_to(wakes_.top().at);
  const time start = now_;
  measuring_ = true;
  for (const replay_event& event : events) {
    advance_to(start + event.at);
    apply(event);
    is_counted_ = false;
    update_serving();
  }
  advance_to(now_ + final_time);
  return result_;
}

void pool_replay::advance_to(time moment) {
  while (!wakes_.empty() && wakes_.top().at <= moment) {
    const wake next = wakes_.top();
    wakes_.pop();
    integrate(next.at);
    is_counted_ = false;
    take(next);
    update_serving();
  }
  integrate(moment);
}

bool pool_replay::is_present(const std::string& id) const {
  const auto found = instances_.find(id);
  return found != instances_.end() && found->second.listed && found->second.silent_since < time(0);
}

bool pool_replay::holds(const std::string& id, const std::string& version, std::size_t rank) const {
  const instance& each = instances_.at(id);
  return !each.loading && each.shard_version == version && each.shard_rank == rank;
}

bool pool_replay::can_serve(const group& candidate) const {
  for (const auto& member : candidate.record.members) {
    if (!is_present(member.instance) || instances_.at(member.instance).leaving)
      return false;
  }
  return candidate.record.state == group_state::serving;
}

void pool_replay::integrate(time until) {
  const double span = std::chrono::duration<double>(until - now_).count();
  now_ = until;
  if (!measuring_ || span <= 0)
    return;
  if (!is_counted_)
    count();
  const std::size_t short_of = spec_.replicas > serving_ ? spec_.replicas - serving_ : 0;
  std::size_t possible = 0;
  for (const auto& [domain, groups] : possible_groups_)
    possible += groups;
  result_.group_downtime_s += span * static_cast<double>(short_of);
  result_.stranded_instance_s += span * static_cast<double>(live_ - serving_ * spec_.span);
  result_.unavoidable_stranded_s += span * static_cast<double>(live_ - possible * spec_.span);
}

void pool_replay::count() {
  serving_ = 0;
  for (const auto& [id, each] : groups_)
    serving_ += can_serve(each) ? 1 : 0;
  live_ = 0;
  std::map<std::string, std::size_t> usable;
  for (const auto& [id, each] : instances_) {
    const bool present = each.listed && each.silent_since < time(0);
    live_ += present ? 1 : 0;
    usable[each.fabric_domain] += present && !each.leaving ? 1 : 0;
  }
  possible_groups_.clear();
  for (const auto& [domain, instances] : usable)
    possible_groups_[domain] = instances / spec_.span;
  is_counted_ = true;
}

void pool_replay::schedule_plan(time delay) {
  const time at = now_ + delay;
  if (planned_for_ >= now_ && planned_for_ <= at)
    return;
  planned_for_ = at;
  wake event;
  event.at = at;
  wakes_.push(event);
}

void pool_replay::lose(const std::string& id) {
  const auto found = instances_.find(id);
  if (found == instances_.end())
    return;
  if (found->second.loading)
    --running_loads_;
  instances_.erase(found);
}

void pool_replay::apply(const replay_event& event) {
  switch (event.kind) {
  case event_kind::fail:
  case event_kind::remove:
    lose(event.subject);
    break;
  case event_kind::leave:
    if (instances_.contains(event.subject))
      instances_[event.subject].leaving = true;
    break;
  case event_kind::add:
    instances_[event.subject].fabric_domain = event.fabric_domain;
    break;
  case event_kind::freeze: {
    const auto found = instances_.find(event.subject);
    if (found == instances_.end())
      break;
    found->second.silent_since = now_;
    found->second.silent_until = now_ + event.lasting;
    wake thaw;
    thaw.at = now_ + event.lasting;
    thaw.kind = wake_kind::thawed;
    thaw.instance = event.subject;
    wakes_.push(thaw);
    wake replace;
    replace.at = now_ + times_.replacement_wait + times_.detection;
    wakes_.push(replace);
    break;
  }
  case event_kind::dark:
    for (auto& [id, each] : instances_) {
      if (each.fabric_domain == event.subject)
        each.silent_since = now_;
    }
    {
      wake replace;
      replace.at = now_ + times_.replacement_wait + times_.detection;
      wakes_.push(replace);
    }
    break;
  case event_kind::light:
    for (auto& [id, each] : instances_) {
      if (each.fabric_domain != event.subject || each.silent_since < time(0))
        continue;
      each.silent_since = time(-1);
      each.shard_version.clear();
    }
    // Groups that were kept must load again.
    for (auto& [id, each] : groups_) {
      if (each.record.fabric_domain == event.subject)
        order_members(each);
    }
    start_loads();
    break;
  case event_kind::version:
    spec_.version = event.subject;
    break;
  }
  schedule_plan(times_.detection);
}

void pool_replay::take(const wake& event) {
  switch (event.kind) {
  case wake_kind::plan:
    plan();
    return;
  case wake_kind::thawed: {
    const auto found = instances_.find(event.instance);
    if (found != instances_.end() && found->second.silent_until <= now_)
      found->second.silent_since = time(-1);
    schedule_plan(times_.detection);
    return;
  }
  case wake_kind::loaded: {
    const auto found = instances_.find(event.instance);
    if (found == instances_.end() || found->second.generation != event.generation)
      return;
    --running_loads_;
    found->second.loading = false;
    found->second.shard_version = event.version;
    found->second.shard_rank = event.rank;
    start_loads();
    schedule_plan(times_.join);
    return;
  }
  }
}

/// Groups whose members are all ready begin to serve after they joined.
void pool_replay::update_serving() {
  for (auto& [id, each] : groups_) {
    if (each.record.state != group_state::loading)
      continue;
    bool all_ready = true;
    for (std::size_t rank = 0; rank < each.record.members.size(); ++rank) {
      const std::string& member = each.record.members[rank].instance;
      all_ready = all_ready && is_present(member) && holds(member, each.record.version, rank);
    }
    if (!all_ready) {
      each.serves_at = time(-1);
      continue;
    }
    if (each.serves_at < time(0)) {
      each.serves_at = now_ + times_.join;
      schedule_plan(times_.join);
    }
    if (each.serves_at <= now_)
      each.record.state = group_state::serving;
  }
}

groups::pool_state pool_replay::observe() const {
  groups::pool_state pool{"model", spec_, {}, {}};
  for (const auto& [id, each] : instances_) {
    groups::pool_instance seen;
    seen.id = id;
    seen.address = id;
    seen.fabric_domain = each.fabric_domain;
    seen.data_centre = each.fabric_domain;
    seen.group = each.group;
    if (!each.shard_version.empty())
      seen.shard = groups::loaded_shard{each.shard_version, each.shard_rank};
    if (each.silent_since >= time(0) && now_ - each.silent_since >= times_.replacement_wait)
      seen.condition = instance_condition::lost;
    else if (each.silent_since >= time(0) && now_ - each.silent_since >= silence_after)
      seen.condition = instance_condition::silent;
    else if (each.leaving)
      seen.condition = instance_condition::leaving;
    pool.instances.push_back(std::move(seen));
  }
  for (const auto& [id, each] : groups_) {
    groups::pool_group seen{each.record, false, {}};
    const bool gets_no_work = !can_serve(each);
    seen.drained = each.drained_at > time(0) ? now_ >= each.drained_at : gets_no_work;
    for (const auto& standby : each.record.standbys) {
      if (instances_.contains(standby.instance.instance) &&
          holds(standby.instance.instance, each.record.version, standby.rank))
        seen.prepared_ranks.push_back(standby.rank);
    }
    pool.groups.push_back(std::move(seen));
  }
  return pool;
}

void pool_replay::plan() {
  planned_for_ = time(-1);
  const auto steps = policy_.plan(observe());
  for (const placement_step& step : steps)
    carry_out(step);
  if (steps.empty())
    return;
  result_.steps += measuring_ ? steps.size() : 0;
  start_loads();
  schedule_plan(times_.detection);
}

void pool_replay::order(const std::string& id, const std::string& version, std::size_t rank) {
  instance& each = instances_.at(id);
  if (holds(id, version, rank))
    return;
  if (each.loading)
    --running_loads_;
  each.loading = false;
  ++each.generation;
  waiting_loads_.push_back({id, each.generation, version, rank});
}

void pool_replay::seat(group& target, std::size_t rank, const std::string& id) {
  const std::string before = target.record.members[rank].instance;
  if (instances_.contains(before) && instances_[before].group == target.record.id)
    instances_[before].group.clear();
  target.record.members[rank] = {id, id};
  instances_.at(id).group = target.record.id;
}

void pool_replay::order_members(group& target) {
  target.record.state = group_state::loading;
  target.serves_at = time(-1);
  target.drained_at = time(0);
  for (std::size_t rank = 0; rank < target.record.members.size(); ++rank) {
    if (instances_.contains(target.record.members[rank].instance))
      order(target.record.members[rank].instance, target.record.version, rank);
  }
}

void pool_replay::carry_out(const placement_step& step) {
  if (step.kind == step_kind::form) {
    group made;
    made.record.id = "g" + std::to_string(next_group_++);
    made.record.fabric_domain = step.fabric_domain;
    made.record.data_centre = step.data_centre;
    made.record.model = spec_.name;
    made.record.version = spec_.version;
    made.record.members.resize(step.assignments.size());
    for (const auto& assignment : step.assignments)
      seat(made, assignment.rank, assignment.instance.instance);
    order_members(made);
    groups_[made.record.id] = made;
    return;
  }
  group& target = groups_.at(step.group);
  switch (step.kind) {
  case step_kind::replace:
  case step_kind::promote:
    for (const auto& assignment : step.assignments) {
      seat(target, assignment.rank, assignment.instance.instance);
      std::erase_if(target.record.standbys,
                    [&](const auto& standby) { return standby.rank == assignment.rank; });
    }
    order_members(target);
    return;
  case step_kind::prepare:
    for (const auto& assignment : step.assignments) {
      target.record.standbys.push_back({assignment.rank, assignment.instance});
      instances_.at(assignment.instance.instance).group = target.record.id;
      order(assignment.instance.instance, target.record.version, assignment.rank);
    }
    return;
  case step_kind::drain:
    target.record.state = group_state::draining;
    target.drained_at = now_ + times_.drain;
    schedule_plan(times_.drain);
    return;
  case step_kind::reload:
    target.record.version = spec_.version;
    order_members(target);
    return;
  case step_kind::dissolve:
    for (auto& [id, each] : instances_) {
      if (each.group == step.group)
        each.group.clear();
    }
    groups_.erase(step.group);
    return;
  case step_kind::form:
    return;
  }
}

void pool_replay::start_loads() {
  while (!waiting_loads_.empty() && running_loads_ < spec_.concurrent_loads) {
    const wanted_load next = waiting_loads_.front();
    waiting_loads_.pop_front();
    const auto found = instances_.find(next.instance);
    if (found == instances_.end() || found->second.generation != next.generation)
      continue;
    ++running_loads_;
    found->second.loading = true;
    found->second.shard_version.clear();
    result_.loads += measuring_ ? 1 : 0;
    wakes_.push({now_ + times_.load, wake_kind::loaded, next.instance, next.generation,
                 next.version, next.rank});
  }
}

} // namespace camphorlug::replay
