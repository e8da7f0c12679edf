// Forming of groups from free instances.
#include "planning_limits.h"

#include <algorithm>
#include <utility>

namespace camphorlug::replicas {

using namespace planning;
using gateway::model_profile;
using gateway::target_entry;

replica_planner::free_instances replica_planner::free_by_domain() const {
  free_instances free;
  for (const tracked_instance* instance : listed_instances_) {
    if (!instance->assigned && instance->is_usable() && instance->is_ungrouped())
      free.by_domain[instance->entry().fabric_domain].push_back(instance);
  }
  return free;
}

std::size_t replica_planner::reserved_instances(const std::string& domain) const {
  // At most a fifth of the domain: a fixed reserve would leave no room for any group in a small
  // one.
  return std::min(domain_reserve, counts_.by_domain.at(domain) / 5);
}

bool replica_planner::try_reserve_load(const planning_input& input) {
  if (!input.traffic_started)
    return true;
  return counts_.loading < input.engine.concurrent_loads &&
         load_limiter_.try_acquire(input.engine.loads_per_second);
}

void replica_planner::free_instances::remove_members(
    const std::string& domain, const std::vector<const tracked_instance*>& members) {
  std::erase_if(by_domain[domain], [&](const tracked_instance* instance) {
    return std::find(members.begin(), members.end(), instance) != members.end();
  });
  for (auto& [model, candidates] : candidates_by_model)
    candidates.erase(domain);
}

replica_planner::placement_candidate
replica_planner::make_placement_candidate(std::vector<const tracked_instance*> free,
                                          const model_profile& model) const {
  placement_candidate candidate;
  candidate.free = free.size();
  if (free.size() < model.size)
    return candidate;
  std::stable_sort(free.begin(), free.end(), [&](const auto* left, const auto* right) {
    return left->join_cost(model.name) < right->join_cost(model.name);
  });
  const bool any_has_weights = free.front()->join_cost(model.name) < cost_load;
  if (!any_has_weights &&
      free.size() < model.size + reserved_instances(free.front()->entry().fabric_domain))
    return candidate;
  candidate.members.assign(free.begin(), free.begin() + static_cast<std::ptrdiff_t>(model.size));
  for (const tracked_instance* instance : candidate.members)
    candidate.cost += instance->join_cost(model.name);
  return candidate;
}

/// Returns the candidate with the lowest cost; among equals, the one in the domain with the most
/// free instances. Null if there is none.
const replica_planner::placement_candidate*
replica_planner::best_placement_candidate(free_instances& free, const model_profile& model) const {
  const placement_candidate* best = nullptr;
  auto& candidates = free.candidates_by_model[model.name];
  for (const auto& [domain, entries] : free.by_domain) {
    auto place = candidates.find(domain);
    if (place == candidates.end())
      place = candidates.emplace(domain, make_placement_candidate(entries, model)).first;
    const placement_candidate& candidate = place->second;
    const bool better = !best || candidate.cost < best->cost ||
                        (candidate.cost == best->cost && candidate.free > best->free);
    if (!candidate.members.empty() && better)
      best = &candidate;
  }
  return best;
}

bool replica_planner::form_group(const planning_input& input, const model_profile& model,
                                 free_instances& free, std::vector<replica_order>& orders) {
  const placement_candidate* candidate = best_placement_candidate(free, model);
  if (!candidate)
    return false;
  for (const tracked_instance* instance : candidate->members) {
    if (instance->join_cost(model.name) >= cost_load && !try_reserve_load(input))
      return false;
  }
  const std::vector<const tracked_instance*> members = candidate->members;
  planned_group group = make_planned_group(model, members);
  order_joins(group, members, "the group is being formed", orders);
  free.remove_members(group.fabric_domain, members);
  add_planned_group(std::move(group));
  return true;
}

planned_group
replica_planner::make_planned_group(const model_profile& model,
                                    const std::vector<const tracked_instance*>& members) {
  planned_group group;
  group.epoch = next_epoch_++;
  group.group = "g" + std::to_string(group.epoch);
  group.model = model.name;
  group.fabric_domain = members.front()->entry().fabric_domain;
  group.phase_since = time_.now();
  for (const tracked_instance* instance : members)
    group.members.push_back({instance->entry().id, instance->started_at_ms, false});
  return group;
}

void replica_planner::order_joins(const planned_group& group,
                                  const std::vector<const tracked_instance*>& members,
                                  const std::string& reason, std::vector<replica_order>& orders) {
  std::vector<std::string> ids;
  for (const planned_member& member : group.members)
    ids.push_back(member.id);
  for (const tracked_instance* instance : members) {
    const target_entry& entry = instance->entry();
    const bool loads = instance->join_cost(group.model) >= cost_load;
    instances_by_id_[entry.id].last_model = group.model;
    add_order(orders, {order_kind::join, entry.id, entry.address, group.group, group.epoch,
                       group.model, ids, loads, reason});
  }
}

void replica_planner::form_missing_groups(const planning_input& input,
                                          std::vector<replica_order>& orders) {
  std::vector<const model_profile*> models;
  for (const model_profile& model : input.engine.models)
    models.push_back(&model);
  if (models.empty())
    return;
  std::map<std::string, std::size_t> live = live_groups();
  std::map<std::string, double> wanted;
  for (const model_profile* model : models)
    wanted[model->name] = static_cast<double>(wanted_groups(input, *model));
  const auto supply = [&](const model_profile* model) {
    return static_cast<double>(live[model->name]) / wanted[model->name];
  };
  free_instances free = free_by_domain();
  for (;;) {
    std::stable_sort(models.begin(), models.end(), [&](const auto* left, const auto* right) {
      return supply(left) < supply(right);
    });
    const double others_limit = supply(models.front()) < 1 ? max_supply_during_shortage : 1;
    const bool formed = std::any_of(models.begin(), models.end(), [&](const model_profile* model) {
      const double limit = model == models.front() ? 1 : others_limit;
      if (supply(model) >= limit || !form_group(input, *model, free, orders))
        return false;
      ++live[model->name];
      return true;
    });
    if (!formed)
      break;
  }
  const model_profile* worst_supplied = models.front();
  const model_profile* best_supplied = models.back();
  const bool from_smaller = best_supplied->size < worst_supplied->size;
  const double gap = from_smaller ? min_supply_gap_from_smaller : min_supply_gap;
  // The number of groups that can close before the other model becomes the better supplied one.
  const double surplus =
      (supply(best_supplied) - supply(worst_supplied)) * wanted[best_supplied->name];
  const bool gap_is_open = input.traffic_started && supply(worst_supplied) < 1 && surplus > 1 &&
                           supply(best_supplied) - supply(worst_supplied) > gap;
  const bool persists = gap_persists(gap_is_open, worst_supplied->name);
  if (gap_is_open && (from_smaller || persists))
    reclaim_groups(*best_supplied, *worst_supplied, static_cast<std::size_t>(surplus));
}

bool replica_planner::gap_persists(bool gap_is_open, const std::string& worst_supplied) {
  if (!gap_is_open) {
    gap_model_.clear();
    return false;
  }
  if (std::exchange(gap_model_, worst_supplied) != worst_supplied)
    gap_since_ = time_.now();
  return time_.now() - gap_since_ >= min_gap_duration;
}

/// Closes groups of `best_supplied` to make room for a group of `worst_supplied` that forms
/// without weight loads: one, or up to `max_groups` smaller ones of the same domain. Selects the
/// domain where the fewest groups have to close for that.
void replica_planner::reclaim_groups(const model_profile& best_supplied,
                                     const model_profile& worst_supplied, std::size_t max_groups) {
  const bool from_smaller = best_supplied.size < worst_supplied.size;
  const auto interval = from_smaller ? reclaim_interval_from_smaller : reclaim_interval;
  const bool any_closing = std::any_of(
      planned_groups_.begin(), planned_groups_.end(), [this](const planned_group& group) {
        return group.phase == group_phase::closing && !is_evacuated(group);
      });
  if (any_closing || time_.now() - last_reclaim_at_ < interval)
    return;
  const auto joins_without_load = [&](const tracked_instance& instance) {
    return instance.join_cost(worst_supplied.name) < cost_load;
  };
  std::map<std::string, std::size_t> free;
  const free_instances all_free = free_by_domain();
  for (const auto& [domain, instances] : all_free.by_domain) {
    for (const tracked_instance* instance : instances)
      free[domain] += joins_without_load(*instance) ? 1 : 0;
  }
  std::map<std::string, std::size_t> obtainable = free;
  std::map<std::string, std::vector<planned_group*>> candidates;
  for (planned_group& group : planned_groups_) {
    if (group.model != best_supplied.name || group.phase != group_phase::serving ||
        is_evacuated(group))
      continue;
    std::size_t without_load = 0;
    for (const planned_member& member : group.members)
      without_load += joins_without_load(instances_by_id_.at(member.id)) ? 1 : 0;
    obtainable[group.fabric_domain] += without_load;
    if (without_load > 0)
      candidates[group.fabric_domain].push_back(&group);
  }
  const std::string* best = nullptr;
  for (const auto& [domain, groups] : candidates) {
    const bool suffices = obtainable[domain] >= worst_supplied.size;
    if (suffices && (!best || free[domain] > free[*best]))
      best = &domain;
  }
  if (!best)
    return;
  last_reclaim_at_ = time_.now();
  std::size_t obtained = free[*best];
  std::size_t closed = 0;
  for (planned_group* group : candidates[*best]) {
    const std::size_t limit = from_smaller ? max_groups : 1;
    if (closed == limit || (closed > 0 && obtained >= worst_supplied.size))
      break;
    enter_phase(*group, group_phase::closing,
                "the instances are needed for " + worst_supplied.name);
    obtained += group->members.size();
    ++closed;
  }
}

} // namespace camphorlug::replicas
