// Which free instances form which groups.
#include "planning_limits.h"

#include <algorithm>
#include <tuple>

namespace camphorlug::replicas {

using namespace planning;
using gateway::model_profile;
using gateway::target_entry;

std::map<std::string, std::vector<const target_entry*>>
replica_planner::free_by_domain(const planning_view& view) {
  std::map<std::string, std::vector<const target_entry*>> free;
  for (const auto& [id, target] : view.targets) {
    const target_entry& entry = target.entry;
    const bool usable =
        entry.service == service_ && !entry.draining && !target.missing_since && !is_silent(id);
    if (usable && !is_assigned(id) && has_left(entry))
      free[entry.fabric_domain].push_back(&entry);
  }
  return free;
}

int replica_planner::join_cost(const target_entry& entry, const std::string& model) const {
  const auto known = memory_.find(entry.id);
  if (known != memory_.end() && known->second.last_model == model)
    return cost_in_memory;
  const bool staged =
      std::find(entry.staged.begin(), entry.staged.end(), model) != entry.staged.end();
  if (staged)
    return cost_staged;
  return entry.staged.empty() ? cost_load : cost_load_over_staged;
}

std::size_t replica_planner::reserve_of(const std::string& domain,
                                        const planning_view& view) const {
  const auto size = std::count_if(view.targets.begin(), view.targets.end(), [&](const auto& each) {
    return each.second.entry.service == service_ && each.second.entry.fabric_domain == domain;
  });
  // A small domain would otherwise hold no group at all.
  return std::min(domain_reserve, static_cast<std::size_t>(size) / 5);
}

bool replica_planner::may_load(const planning_view& view) {
  if (!view.traffic_has_begun)
    return true;
  return loads_in_progress() < view.engine.concurrent_loads &&
         loads_.take(view.engine.loads_per_second);
}

bool replica_planner::form_one(const planning_view& view, const model_profile& model,
                               std::vector<replica_order>& orders) {
  std::vector<const target_entry*> best;
  int best_cost = 0;
  std::size_t best_free = 0;
  for (auto& [domain, free] : free_by_domain(view)) {
    if (free.size() < model.size)
      continue;
    std::stable_sort(free.begin(), free.end(), [&](const auto* left, const auto* right) {
      return join_cost(*left, model.name) < join_cost(*right, model.name);
    });
    int cost = 0;
    for (std::size_t i = 0; i < model.size; ++i)
      cost += join_cost(*free[i], model.name);
    const bool keeps_weights = join_cost(*free.front(), model.name) < cost_load;
    if (!keeps_weights && free.size() < model.size + reserve_of(domain, view))
      continue;
    if (!best.empty() && std::tie(cost, best_free) >= std::make_tuple(best_cost, free.size()))
      continue;
    best.assign(free.begin(), free.begin() + static_cast<std::ptrdiff_t>(model.size));
    best_cost = cost;
    best_free = free.size();
  }
  if (best.empty())
    return false;
  for (const target_entry* entry : best) {
    if (join_cost(*entry, model.name) >= cost_load && !may_load(view))
      return false;
  }
  formation group = make_formation(model, best);
  order_joins(group, best, "the group forms", orders);
  formations_.push_back(std::move(group));
  return true;
}

formation replica_planner::make_formation(const model_profile& model,
                                          const std::vector<const target_entry*>& members) {
  formation group;
  group.epoch = next_epoch_++;
  group.group = "g" + std::to_string(group.epoch);
  group.model = model.name;
  group.fabric_domain = members.front()->fabric_domain;
  group.phase_since = time_.now();
  for (const target_entry* entry : members)
    group.members.push_back({entry->id, entry->started_at_ms, false});
  return group;
}

void replica_planner::order_joins(const formation& group,
                                  const std::vector<const target_entry*>& members,
                                  const std::string& reason, std::vector<replica_order>& orders) {
  std::vector<std::string> ids;
  for (const formation_member& member : group.members)
    ids.push_back(member.id);
  for (const target_entry* entry : members) {
    const bool loads = join_cost(*entry, group.model) >= cost_load;
    memory_[entry->id].last_model = group.model;
    order(orders, {order_kind::join, entry->id, entry->address, group.group, group.epoch,
                   group.model, ids, loads, reason});
  }
}

void replica_planner::form_missing(const planning_view& view, std::vector<replica_order>& orders) {
  std::vector<const model_profile*> models;
  for (const model_profile& model : view.engine.models)
    models.push_back(&model);
  const auto supply = [&](const model_profile* model) {
    return static_cast<double>(live_groups(model->name)) /
           static_cast<double>(wanted_groups(view, *model));
  };
  for (;;) {
    std::stable_sort(models.begin(), models.end(), [&](const auto* left, const auto* right) {
      return supply(left) < supply(right);
    });
    const double enough = supply(models.front()) < 1 ? supply_before_neediest : 1;
    const bool formed = std::any_of(models.begin(), models.end(), [&](const model_profile* model) {
      const double limit = model == models.front() ? 1 : enough;
      return supply(model) < limit && form_one(view, *model, orders);
    });
    if (!formed)
      break;
  }
  const model_profile* neediest = models.front();
  const model_profile* richest = models.back();
  const double left = supply(richest) - 1.0 / static_cast<double>(wanted_groups(view, *richest));
  if (view.traffic_has_begun && supply(neediest) < 1 && left > supply(neediest) &&
      supply(richest) - supply(neediest) > supply_gap)
    give_up_group(view, *richest, *neediest);
}

/// Ends a group of `richest` in the domain where the fewest have to end for a
/// group of `neediest` that forms without loading.
void replica_planner::give_up_group(const planning_view& view, const model_profile& richest,
                                    const model_profile& neediest) {
  const bool one_ends =
      std::any_of(formations_.begin(), formations_.end(),
                  [](const formation& group) { return group.phase == formation_phase::closing; });
  if (one_ends || time_.now() - gave_up_at_ < give_up_interval)
    return;
  const auto joins_quickly = [&](const target_entry& entry) {
    return join_cost(entry, neediest.name) < cost_load;
  };
  std::map<std::string, std::size_t> free;
  for (const auto& [domain, entries] : free_by_domain(view)) {
    for (const target_entry* entry : entries)
      free[domain] += joins_quickly(*entry) ? 1 : 0;
  }
  std::map<std::string, std::size_t> reachable = free;
  std::map<std::string, formation*> candidates;
  for (formation& group : formations_) {
    if (group.model != richest.name || group.phase != formation_phase::serving)
      continue;
    std::size_t quick = 0;
    for (const formation_member& member : group.members)
      quick += joins_quickly(find(view, member.id)->entry) ? 1 : 0;
    reachable[group.fabric_domain] += quick;
    if (quick > 0)
      candidates[group.fabric_domain] = &group;
  }
  formation* best = nullptr;
  for (const auto& [domain, group] : candidates) {
    const bool enough = reachable[domain] >= neediest.size;
    if (enough && (!best || free[domain] > free[best->fabric_domain]))
      best = group;
  }
  if (!best)
    return;
  gave_up_at_ = time_.now();
  enter(*best, formation_phase::closing, "its instances are needed for " + neediest.name);
}

} // namespace camphorlug::replicas
