// Which free instances form which groups.
#include "planning_limits.h"

#include <algorithm>

namespace camphorlug::replicas {

using namespace planning;
using gateway::model_profile;
using gateway::target_entry;

replica_planner::free_instances replica_planner::free_by_domain() const {
  free_instances free;
  for (const known_instance* instance : present_) {
    if (!instance->assigned && instance->is_usable() && instance->has_left())
      free.by_domain[instance->entry().fabric_domain].push_back(instance);
  }
  return free;
}

std::size_t replica_planner::reserve_of(const std::string& domain) const {
  // A small domain would otherwise hold no group at all.
  return std::min(domain_reserve, counts_.by_domain.at(domain) / 5);
}

bool replica_planner::may_load(const planning_view& view) {
  if (!view.traffic_has_begun)
    return true;
  return counts_.loading < view.engine.concurrent_loads &&
         loads_.take(view.engine.loads_per_second);
}

void replica_planner::free_instances::take(const std::string& domain,
                                           const std::vector<const known_instance*>& members) {
  std::erase_if(by_domain[domain], [&](const known_instance* instance) {
    return std::find(members.begin(), members.end(), instance) != members.end();
  });
  for (auto& [model, known] : offers)
    known.erase(domain);
}

replica_planner::domain_offer replica_planner::make_offer(std::vector<const known_instance*> free,
                                                          const model_profile& model) const {
  domain_offer offer;
  offer.free = free.size();
  if (free.size() < model.size)
    return offer;
  std::stable_sort(free.begin(), free.end(), [&](const auto* left, const auto* right) {
    return left->join_cost(model.name) < right->join_cost(model.name);
  });
  const bool keeps_weights = free.front()->join_cost(model.name) < cost_load;
  if (!keeps_weights && free.size() < model.size + reserve_of(free.front()->entry().fabric_domain))
    return offer;
  offer.members.assign(free.begin(), free.begin() + static_cast<std::ptrdiff_t>(model.size));
  for (const known_instance* instance : offer.members)
    offer.cost += instance->join_cost(model.name);
  return offer;
}

/// The cheapest one; where several are, the one that leaves most instances free.
const replica_planner::domain_offer* replica_planner::best_offer(free_instances& free,
                                                                 const model_profile& model) const {
  const domain_offer* best = nullptr;
  auto& known = free.offers[model.name];
  for (const auto& [domain, entries] : free.by_domain) {
    auto place = known.find(domain);
    if (place == known.end())
      place = known.emplace(domain, make_offer(entries, model)).first;
    const domain_offer& offer = place->second;
    const bool better =
        !best || offer.cost < best->cost || (offer.cost == best->cost && offer.free > best->free);
    if (!offer.members.empty() && better)
      best = &offer;
  }
  return best;
}

bool replica_planner::form_one(const planning_view& view, const model_profile& model,
                               free_instances& free, std::vector<replica_order>& orders) {
  const domain_offer* offer = best_offer(free, model);
  if (!offer)
    return false;
  for (const known_instance* instance : offer->members) {
    if (instance->join_cost(model.name) >= cost_load && !may_load(view))
      return false;
  }
  const std::vector<const known_instance*> members = offer->members;
  formation group = make_formation(model, members);
  order_joins(group, members, "the group forms", orders);
  free.take(group.fabric_domain, members);
  add_formation(std::move(group));
  return true;
}

formation replica_planner::make_formation(const model_profile& model,
                                          const std::vector<const known_instance*>& members) {
  formation group;
  group.epoch = next_epoch_++;
  group.group = "g" + std::to_string(group.epoch);
  group.model = model.name;
  group.fabric_domain = members.front()->entry().fabric_domain;
  group.phase_since = time_.now();
  for (const known_instance* instance : members)
    group.members.push_back({instance->entry().id, instance->started_at_ms, false});
  return group;
}

void replica_planner::order_joins(const formation& group,
                                  const std::vector<const known_instance*>& members,
                                  const std::string& reason, std::vector<replica_order>& orders) {
  std::vector<std::string> ids;
  for (const formation_member& member : group.members)
    ids.push_back(member.id);
  for (const known_instance* instance : members) {
    const target_entry& entry = instance->entry();
    const bool loads = instance->join_cost(group.model) >= cost_load;
    memory_[entry.id].last_model = group.model;
    order(orders, {order_kind::join, entry.id, entry.address, group.group, group.epoch, group.model,
                   ids, loads, reason});
  }
}

void replica_planner::form_missing(const planning_view& view, std::vector<replica_order>& orders) {
  std::vector<const model_profile*> models;
  for (const model_profile& model : view.engine.models)
    models.push_back(&model);
  if (models.empty())
    return;
  std::map<std::string, std::size_t> live = live_groups();
  std::map<std::string, double> wanted;
  for (const model_profile* model : models)
    wanted[model->name] = static_cast<double>(wanted_groups(view, *model));
  const auto supply = [&](const model_profile* model) {
    return static_cast<double>(live[model->name]) / wanted[model->name];
  };
  free_instances free = free_by_domain();
  for (;;) {
    std::stable_sort(models.begin(), models.end(), [&](const auto* left, const auto* right) {
      return supply(left) < supply(right);
    });
    const double enough = supply(models.front()) < 1 ? supply_before_neediest : 1;
    const bool formed = std::any_of(models.begin(), models.end(), [&](const model_profile* model) {
      const double limit = model == models.front() ? 1 : enough;
      if (supply(model) >= limit || !form_one(view, *model, free, orders))
        return false;
      ++live[model->name];
      return true;
    });
    if (!formed)
      break;
  }
  const model_profile* neediest = models.front();
  const model_profile* richest = models.back();
  const double left = supply(richest) - 1.0 / wanted[richest->name];
  if (view.traffic_has_begun && supply(neediest) < 1 && left > supply(neediest) &&
      supply(richest) - supply(neediest) > supply_gap)
    give_up_group(*richest, *neediest);
}

/// Ends a group of `richest` in the domain where the fewest have to end for a
/// group of `neediest` that forms without loading.
void replica_planner::give_up_group(const model_profile& richest, const model_profile& neediest) {
  const bool one_ends =
      std::any_of(formations_.begin(), formations_.end(),
                  [](const formation& group) { return group.phase == formation_phase::closing; });
  if (one_ends || time_.now() - gave_up_at_ < give_up_interval)
    return;
  const auto joins_quickly = [&](const known_instance& instance) {
    return instance.join_cost(neediest.name) < cost_load;
  };
  std::map<std::string, std::size_t> free;
  const free_instances all_free = free_by_domain();
  for (const auto& [domain, instances] : all_free.by_domain) {
    for (const known_instance* instance : instances)
      free[domain] += joins_quickly(*instance) ? 1 : 0;
  }
  std::map<std::string, std::size_t> reachable = free;
  std::map<std::string, formation*> candidates;
  for (formation& group : formations_) {
    if (group.model != richest.name || group.phase != formation_phase::serving)
      continue;
    std::size_t quick = 0;
    for (const formation_member& member : group.members)
      quick += joins_quickly(memory_.at(member.id)) ? 1 : 0;
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
