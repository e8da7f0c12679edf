#include "replay/pool_replay.h"

#include <algorithm>

namespace camphorlug::replay {

using groups::group_state;
using groups::instance_condition;
using groups::placement_step;
using groups::step_kind;

static constexpr std::chrono::milliseconds silence_timeout{2000};
/// Time simulated after the last event, so that its effects are measured too.
static constexpr std::chrono::hours trailing_period{1};

static std::string domain_of(const std::string& instance) {
  return instance.substr(0, instance.find('-'));
}

pool_replay::pool_replay(const groups::placement_policy& policy, documents::model_spec spec,
                         pool_shape shape, replay_timings timings)
    : policy_(policy), spec_(std::move(spec)), timings_(timings) {
  for (std::size_t i = 0; i < shape.instances(); ++i) {
    const std::string id = instance_name(shape, i);
    instances_[id].fabric_domain = domain_of(id);
  }
}

replay_result pool_replay::run(const std::vector<replay_event>& events) {
  schedule_plan(time(0));
  while (!scheduled_events_.empty())
    advance_to(scheduled_events_.top().at);
  const time start = now_;
  measuring_ = true;
  for (const replay_event& event : events) {
    advance_to(start + event.at);
    apply(event);
    counts_valid_ = false;
    update_serving();
  }
  advance_to(now_ + trailing_period);
  return result_;
}

void pool_replay::advance_to(time moment) {
  while (!scheduled_events_.empty() && scheduled_events_.top().at <= moment) {
    const scheduled_event next = scheduled_events_.top();
    scheduled_events_.pop();
    integrate(next.at);
    counts_valid_ = false;
    process(next);
    update_serving();
  }
  integrate(moment);
}

bool pool_replay::is_present(const std::string& id) const {
  const auto found = instances_.find(id);
  return found != instances_.end() && found->second.listed && found->second.silent_since < time(0);
}

bool pool_replay::has_shard(const std::string& id, const std::string& version,
                            std::size_t rank) const {
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
  const double elapsed_s = std::chrono::duration<double>(until - now_).count();
  now_ = until;
  if (!measuring_ || elapsed_s <= 0)
    return;
  if (!counts_valid_)
    update_counts();
  const std::size_t missing_groups =
      spec_.replicas > serving_count_ ? spec_.replicas - serving_count_ : 0;
  std::size_t possible = 0;
  for (const auto& [domain, groups] : possible_groups_)
    possible += groups;
  result_.group_downtime_s += elapsed_s * static_cast<double>(missing_groups);
  result_.stranded_instance_s +=
      elapsed_s * static_cast<double>(live_count_ - serving_count_ * spec_.span);
  result_.unavoidable_stranded_s +=
      elapsed_s * static_cast<double>(live_count_ - possible * spec_.span);
}

void pool_replay::update_counts() {
  serving_count_ = 0;
  for (const auto& [id, each] : groups_)
    serving_count_ += can_serve(each) ? 1 : 0;
  live_count_ = 0;
  std::map<std::string, std::size_t> usable_instances;
  for (const auto& [id, each] : instances_) {
    const bool present = each.listed && each.silent_since < time(0);
    live_count_ += present ? 1 : 0;
    usable_instances[each.fabric_domain] += present && !each.leaving ? 1 : 0;
  }
  possible_groups_.clear();
  for (const auto& [domain, instances] : usable_instances)
    possible_groups_[domain] = instances / spec_.span;
  counts_valid_ = true;
}

void pool_replay::schedule_plan(time delay) {
  const time at = now_ + delay;
  if (planned_for_ >= now_ && planned_for_ <= at)
    return;
  planned_for_ = at;
  scheduled_event event;
  event.at = at;
  scheduled_events_.push(event);
}

void pool_replay::remove_instance(const std::string& id) {
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
    remove_instance(event.subject);
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
    found->second.silent_until = now_ + event.freeze_duration;
    scheduled_event resume;
    resume.at = now_ + event.freeze_duration;
    resume.kind = scheduled_event_kind::resumed;
    resume.instance = event.subject;
    scheduled_events_.push(resume);
    scheduled_event replace;
    replace.at = now_ + timings_.replacement_wait + timings_.detection;
    scheduled_events_.push(replace);
    break;
  }
  case event_kind::domain_down:
    for (auto& [id, each] : instances_) {
      if (each.fabric_domain == event.subject)
        each.silent_since = now_;
    }
    {
      scheduled_event replace;
      replace.at = now_ + timings_.replacement_wait + timings_.detection;
      scheduled_events_.push(replace);
    }
    break;
  case event_kind::domain_up:
    for (auto& [id, each] : instances_) {
      if (each.fabric_domain != event.subject || each.silent_since < time(0))
        continue;
      each.silent_since = time(-1);
      each.shard_version.clear();
    }
    // Groups that were not dissolved must reload their shards.
    for (auto& [id, each] : groups_) {
      if (each.record.fabric_domain == event.subject)
        request_member_loads(each);
    }
    start_loads();
    break;
  case event_kind::version:
    spec_.version = event.subject;
    break;
  }
  schedule_plan(timings_.detection);
}

void pool_replay::process(const scheduled_event& event) {
  switch (event.kind) {
  case scheduled_event_kind::plan:
    plan();
    return;
  case scheduled_event_kind::resumed: {
    const auto found = instances_.find(event.instance);
    if (found != instances_.end() && found->second.silent_until <= now_)
      found->second.silent_since = time(-1);
    schedule_plan(timings_.detection);
    return;
  }
  case scheduled_event_kind::loaded: {
    const auto found = instances_.find(event.instance);
    if (found == instances_.end() || found->second.generation != event.generation)
      return;
    --running_loads_;
    found->second.loading = false;
    found->second.shard_version = event.version;
    found->second.shard_rank = event.rank;
    start_loads();
    schedule_plan(timings_.join);
    return;
  }
  }
}

/// Moves a loading group to serving once all its members have been ready for the join time.
void pool_replay::update_serving() {
  for (auto& [id, each] : groups_) {
    if (each.record.state != group_state::loading)
      continue;
    bool all_ready = true;
    for (std::size_t rank = 0; rank < each.record.members.size(); ++rank) {
      const std::string& member = each.record.members[rank].instance;
      all_ready = all_ready && is_present(member) && has_shard(member, each.record.version, rank);
    }
    if (!all_ready) {
      each.serves_at = time(-1);
      continue;
    }
    if (each.serves_at < time(0)) {
      each.serves_at = now_ + timings_.join;
      schedule_plan(timings_.join);
    }
    if (each.serves_at <= now_)
      each.record.state = group_state::serving;
  }
}

groups::pool_state pool_replay::observe() const {
  groups::pool_state pool{"model", spec_, {}, {}};
  for (const auto& [id, each] : instances_) {
    groups::pool_instance observed;
    observed.id = id;
    observed.address = id;
    observed.fabric_domain = each.fabric_domain;
    observed.data_centre = each.fabric_domain;
    observed.group = each.group;
    if (!each.shard_version.empty())
      observed.shard = groups::loaded_shard{each.shard_version, each.shard_rank};
    if (each.silent_since >= time(0) && now_ - each.silent_since >= timings_.replacement_wait)
      observed.condition = instance_condition::lost;
    else if (each.silent_since >= time(0) && now_ - each.silent_since >= silence_timeout)
      observed.condition = instance_condition::silent;
    else if (each.leaving)
      observed.condition = instance_condition::leaving;
    pool.instances.push_back(std::move(observed));
  }
  for (const auto& [id, each] : groups_) {
    groups::pool_group observed{each.record, false, {}};
    const bool cannot_serve = !can_serve(each);
    observed.drained = each.drained_at > time(0) ? now_ >= each.drained_at : cannot_serve;
    for (const auto& standby : each.record.standbys) {
      if (instances_.contains(standby.member.instance) &&
          has_shard(standby.member.instance, each.record.version, standby.rank))
        observed.prepared_ranks.push_back(standby.rank);
    }
    pool.groups.push_back(std::move(observed));
  }
  return pool;
}

void pool_replay::plan() {
  planned_for_ = time(-1);
  const auto steps = policy_.plan(observe());
  for (const placement_step& step : steps)
    apply_step(step);
  if (steps.empty())
    return;
  result_.steps += measuring_ ? steps.size() : 0;
  start_loads();
  schedule_plan(timings_.detection);
}

void pool_replay::request_load(const std::string& id, const std::string& version,
                               std::size_t rank) {
  instance& each = instances_.at(id);
  if (has_shard(id, version, rank))
    return;
  if (each.loading)
    --running_loads_;
  each.loading = false;
  ++each.generation;
  pending_loads_.push_back({id, each.generation, version, rank});
}

void pool_replay::assign_member(group& target, std::size_t rank, const std::string& id) {
  const std::string before = target.record.members[rank].instance;
  if (instances_.contains(before) && instances_[before].group == target.record.id)
    instances_[before].group.clear();
  target.record.members[rank] = {id, id};
  instances_.at(id).group = target.record.id;
}

void pool_replay::request_member_loads(group& target) {
  target.record.state = group_state::loading;
  target.serves_at = time(-1);
  target.drained_at = time(0);
  for (std::size_t rank = 0; rank < target.record.members.size(); ++rank) {
    if (instances_.contains(target.record.members[rank].instance))
      request_load(target.record.members[rank].instance, target.record.version, rank);
  }
}

void pool_replay::apply_step(const placement_step& step) {
  if (step.kind == step_kind::form) {
    group new_group;
    new_group.record.id = "g" + std::to_string(next_group_++);
    new_group.record.fabric_domain = step.fabric_domain;
    new_group.record.data_centre = step.data_centre;
    new_group.record.model = spec_.name;
    new_group.record.version = spec_.version;
    new_group.record.members.resize(step.assignments.size());
    for (const auto& assignment : step.assignments)
      assign_member(new_group, assignment.rank, assignment.member.instance);
    request_member_loads(new_group);
    groups_[new_group.record.id] = new_group;
    return;
  }
  group& target = groups_.at(step.group);
  switch (step.kind) {
  case step_kind::replace:
  case step_kind::promote:
    for (const auto& assignment : step.assignments) {
      assign_member(target, assignment.rank, assignment.member.instance);
      std::erase_if(target.record.standbys,
                    [&](const auto& standby) { return standby.rank == assignment.rank; });
    }
    request_member_loads(target);
    return;
  case step_kind::prepare:
    for (const auto& assignment : step.assignments) {
      target.record.standbys.push_back({assignment.rank, assignment.member});
      instances_.at(assignment.member.instance).group = target.record.id;
      request_load(assignment.member.instance, target.record.version, assignment.rank);
    }
    return;
  case step_kind::drain:
    target.record.state = group_state::draining;
    target.drained_at = now_ + timings_.drain;
    schedule_plan(timings_.drain);
    return;
  case step_kind::reload:
    target.record.version = spec_.version;
    request_member_loads(target);
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
  while (!pending_loads_.empty() && running_loads_ < spec_.concurrent_loads) {
    const pending_load next = pending_loads_.front();
    pending_loads_.pop_front();
    const auto found = instances_.find(next.instance);
    if (found == instances_.end() || found->second.generation != next.generation)
      continue;
    ++running_loads_;
    found->second.loading = true;
    found->second.shard_version.clear();
    result_.loads += measuring_ ? 1 : 0;
    scheduled_events_.push({now_ + timings_.load, scheduled_event_kind::loaded, next.instance,
                            next.generation, next.version, next.rank});
  }
}

} // namespace camphorlug::replay
