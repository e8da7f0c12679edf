// Group lifecycle: adoption, phase transitions and release.
#include "planning_limits.h"

#include "camphorlug/support/log.h"

#include <tuple>

namespace camphorlug::replicas {

using namespace planning;
using gateway::membership_state;
using gateway::model_profile;
using gateway::registered_target;
using gateway::target_entry;

void replica_planner::begin_term(std::uint64_t term, bool first) {
  next_fence_ = term * numbers_per_term + 1;
  next_epoch_ = term * numbers_per_term + 1;
  term_began_at_ = time_.now();
  first_term_ = first;
  existing_groups_adopted_ = false;
  planned_groups_.clear();
  instances_by_id_.clear();
}

std::vector<replica_order> replica_planner::plan(const planning_input& input) {
  std::vector<replica_order> orders;
  refresh_instances(input);
  note_evacuations(input);
  count_pool();
  adopt_existing_groups(input);
  close_evacuated_groups(input);
  for (planned_group& group : planned_groups_) {
    check_members(group);
    advance_phase(group, input, orders);
  }
  std::erase_if(planned_groups_, [](const planned_group& group) { return group.members.empty(); });
  release_orphans(orders);
  form_missing_groups(input, orders);
  warm_spares(input, orders);
  stage_models(input, orders);
  return orders;
}

/// Once per acquisition of the lease: adopts the existing groups of which every rank has an entry,
/// and assumes that the previous planner, if there was one, used up the load window. Members of
/// incomplete groups are orphans and are ordered to leave.
void replica_planner::adopt_existing_groups(const planning_input& input) {
  if (std::exchange(existing_groups_adopted_, true))
    return;
  if (!first_term_)
    load_limiter_.fill_window(input.engine.loads_per_second);
  std::map<std::pair<std::string, std::uint64_t>, std::map<std::size_t, const target_entry*>> seen;
  for (const auto& [id, target] : input.targets) {
    const target_entry& entry = target.entry;
    if (entry.service == service_ && entry.membership)
      seen[{entry.membership->group, entry.membership->epoch}][entry.membership->rank] = &entry;
  }
  for (const auto& [group_key, ranks] : seen) {
    const target_entry* head = ranks.begin()->second;
    const model_profile* model = input.engine.find(head->model);
    if (!model || ranks.size() != model->size || ranks.rbegin()->first != model->size - 1)
      continue;
    planned_group group;
    std::tie(group.group, group.epoch) = group_key;
    group.model = model->name;
    group.fabric_domain = head->fabric_domain;
    group.adopted = true;
    for (const auto& [rank, entry] : ranks)
      group.members.push_back({entry->id, entry->started_at_ms, false});
    group.phase = head->membership->state == membership_state::open ? group_phase::serving
                                                                    : group_phase::forming;
    group.phase_since = time_.now();
    add_planned_group(std::move(group));
  }
}

void replica_planner::enter_phase(planned_group& group, group_phase phase,
                                  const std::string& reason) {
  if (group.phase == phase)
    return;
  support::log_event(support::log_level::info, "group_phase",
                     {{"group", group.group},
                      {"epoch", std::to_string(group.epoch)},
                      {"model", group.model},
                      {"phase", to_string(phase)},
                      {"reason", reason}});
  group.phase = phase;
  group.phase_since = time_.now();
}

/// Updates the group from the entries of its members, and enters the phase that they require.
void replica_planner::check_members(planned_group& group) {
  if (group.phase == group_phase::dissolving)
    return;
  for (planned_member& member : group.members) {
    const registered_target* target = find_registered_target(member.id);
    if (!target && group.phase == group_phase::serving) {
      group.member_entry_lost = true;
      enter_phase(group, group_phase::closing, member.id + " no longer has an entry");
    }
    if (!target && group.member_entry_lost)
      continue;
    const bool forms = group.phase == group_phase::forming || group.phase == group_phase::opening;
    if (!target || (target->missing_since && (forms || !target->held_until))) {
      enter_phase(group, group_phase::dissolving, member.id + " is gone");
      return;
    }
    if (is_unresponsive(member.id)) {
      enter_phase(group, group_phase::dissolving, member.id + " does not answer");
      return;
    }
    const target_entry& entry = target->entry;
    if (entry.started_at_ms != member.started_at_ms) {
      enter_phase(group, group_phase::dissolving, member.id + " has restarted");
      return;
    }
    const bool is_member = is_member_of(entry, group);
    if (is_member && entry.membership->state == membership_state::broken) {
      enter_phase(group, group_phase::dissolving, member.id + " is broken");
      return;
    }
    if (member.was_ready && !is_member) {
      enter_phase(group, group_phase::dissolving, member.id + " is no longer a member");
      return;
    }
    if (is_member && entry.membership->state != membership_state::joining)
      member.was_ready = true;
    if (entry.draining) {
      const bool serves = group.phase == group_phase::serving;
      if (group.phase != group_phase::closing)
        enter_phase(group, serves ? group_phase::closing : group_phase::dissolving,
                    member.id + " is draining");
    }
  }
}

/// Makes an order that needs only a group's id and epoch. `Group` must have the members `group`
/// and `epoch`.
template<class Group>
static replica_order make_group_order(const Group& group, order_kind kind,
                                      const target_entry& entry, const char* reason) {
  replica_order order;
  order.kind = kind;
  order.target = entry.id;
  order.address = entry.address;
  order.group = group.group;
  order.epoch = group.epoch;
  order.reason = reason;
  return order;
}

static replica_order make_join_order(const planned_group& group, const target_entry& entry) {
  std::vector<std::string> ids;
  for (const planned_member& member : group.members)
    ids.push_back(member.id);
  return {order_kind::join, entry.id,    entry.address,
          group.group,      group.epoch, group.model,
          std::move(ids),   false,       "the group is being formed"};
}

void replica_planner::advance_phase(planned_group& group, const planning_input& input,
                                    std::vector<replica_order>& orders) {
  const auto in_phase = time_.now() - group.phase_since;
  const registered_target* head = find_registered_target(group.members.front().id);
  const bool head_in = head && is_member_of(head->entry, group);
  switch (group.phase) {
  case group_phase::forming:
    advance_forming(group, input, orders);
    return;
  case group_phase::opening:
    if (head_in && head->entry.membership->state == membership_state::open)
      enter_phase(group, group_phase::serving, "the head is open");
    else if (in_phase > opening_timeout)
      enter_phase(group, group_phase::dissolving, "the head did not open the group in time");
    else if (reject_earlier_terms(group, orders) && head_in &&
             head->entry.membership->state == membership_state::ready)
      add_order(orders,
                make_group_order(group, order_kind::open, head->entry, "all members are ready"));
    return;
  case group_phase::serving:
    if (head_in && head->entry.membership->state == membership_state::ready)
      enter_phase(group, group_phase::opening, "the head is not open");
    return;
  case group_phase::closing:
    advance_closing(group, head_in ? head : nullptr, orders);
    return;
  case group_phase::dissolving:
    advance_dissolving(group, orders);
    return;
  }
}

/// `head` is null if the head's entry no longer reports membership in the group.
void replica_planner::advance_closing(planned_group& group, const registered_target* head,
                                      std::vector<replica_order>& orders) {
  const auto limit = group.member_entry_lost ? lost_entry_closing_timeout : closing_timeout;
  const bool finished =
      head ? head->entry.membership->state == membership_state::ready : !group.member_entry_lost;
  if (finished || time_.now() - group.phase_since > limit)
    enter_phase(
        group, group_phase::dissolving,
        "the head has finished its requests or left the group, or the time limit has passed");
  else if (head && head->entry.membership->state == membership_state::open)
    add_order(orders,
              make_group_order(group, order_kind::close, head->entry, "the group is being closed"));
}

/// Returns whether no order of an earlier term that arrives late can take a member out of the
/// group. Orders the members of an adopted group that may still accept one to join again, which
/// changes nothing but the earliest term from which they accept orders.
bool replica_planner::reject_earlier_terms(const planned_group& group,
                                           std::vector<replica_order>& orders) {
  if (!group.adopted)
    return true;
  bool all_reject = true;
  for (const planned_member& member : group.members) {
    const tracked_instance& instance = instances_by_id_.at(member.id);
    if (instance.accepted_order)
      continue;
    all_reject = false;
    add_order(orders, make_join_order(group, instance.entry()));
  }
  return all_reject;
}

void replica_planner::advance_forming(planned_group& group, const planning_input& input,
                                      std::vector<replica_order>& orders) {
  const model_profile* model = input.engine.find(group.model);
  if (!model || time_.now() - group.phase_since > load_timeout) {
    enter_phase(group, group_phase::dissolving,
                "the group did not become ready in time or its model is no longer configured");
    return;
  }
  bool all_ready = true;
  for (const planned_member& member : group.members) {
    all_ready = all_ready && member.was_ready;
    const target_entry& entry = find_registered_target(member.id)->entry;
    if (!is_member_of(entry, group))
      add_order(orders, make_join_order(group, entry));
  }
  if (all_ready && group.warmup_only)
    enter_phase(group, group_phase::dissolving, "the spare has the model in memory");
  else if (all_ready)
    enter_phase(group, group_phase::opening, "all members are ready");
}

void replica_planner::advance_dissolving(planned_group& group, std::vector<replica_order>& orders) {
  bool all_left = true;
  for (const planned_member& member : group.members) {
    const registered_target* target = find_registered_target(member.id);
    if (!target || target->entry.started_at_ms != member.started_at_ms)
      continue;
    const auto found = instances_by_id_.find(member.id);
    if (found != instances_by_id_.end() && found->second.left_epochs.contains(group.epoch))
      continue;
    if (is_unresponsive(member.id))
      continue;
    // An instance that does not report the group yet may still join it, so it must also leave.
    all_left = false;
    add_order(orders, make_group_order(group, order_kind::leave, target->entry,
                                       "the group is being dissolved"));
  }
  // A member that has not confirmed becomes an orphan, which is ordered to leave until it does.
  if (all_left || time_.now() - group.phase_since > dissolving_timeout)
    release_members(group);
}

void replica_planner::mark_assigned(const planned_group& group, bool assigned) {
  for (const planned_member& member : group.members) {
    if (const auto found = instances_by_id_.find(member.id); found != instances_by_id_.end())
      found->second.assigned = assigned;
  }
}

void replica_planner::add_planned_group(planned_group group) {
  mark_assigned(group, true);
  planned_groups_.push_back(std::move(group));
}

void replica_planner::release_members(planned_group& group) {
  mark_assigned(group, false);
  group.members.clear();
}

void replica_planner::release_orphans(std::vector<replica_order>& orders) {
  for (const tracked_instance* instance : listed_instances_) {
    const target_entry& entry = instance->entry();
    if (instance->assigned || instance->unresponsive || instance->is_ungrouped())
      continue;
    add_order(orders, make_group_order(*entry.membership, order_kind::leave, entry,
                                       "the instance is in no planned group"));
  }
}

} // namespace camphorlug::replicas
