// Which models lie in the memory and on the hosts of instances.
#include "planning_limits.h"

#include <algorithm>

namespace camphorlug::replicas {

using namespace planning;
using gateway::membership_state;
using gateway::model_profile;
using gateway::target_entry;

/// The model that an instance should have on its host beside the one in its
/// memory, so that it can join a group of either within moments.
const model_profile* replica_planner::model_to_stage(const tracked_instance& instance,
                                                     const planning_input& view) const {
  const model_profile* best = nullptr;
  for (const model_profile& model : view.engine.models) {
    const int cost = instance.join_cost(model.name);
    if (cost == cost_in_memory)
      continue;
    if (cost == cost_staged)
      return nullptr;
    if (!best || model.size > best->size)
      best = &model;
  }
  return best;
}

void replica_planner::stage_models(const planning_input& view, std::vector<replica_order>& orders) {
  for (const bool spares : {true, false}) {
    for (const tracked_instance* instance : listed_instances_) {
      const target_entry& entry = instance->entry();
      const bool settled = !entry.membership ||
                           entry.membership->state != membership_state::joining ||
                           instance->is_ungrouped();
      if (instance->assigned == spares || !instance->is_usable() || !settled ||
          is_loading(*instance))
        continue;
      const model_profile* model = model_to_stage(*instance, view);
      if (!model || !may_order(entry.id, order_kind::stage, 0) || !try_reserve_load(view))
        continue;
      order(orders, {order_kind::stage,
                     entry.id,
                     entry.address,
                     "",
                     0,
                     model->name,
                     {},
                     true,
                     spares ? "a spare" : "a member may be needed elsewhere"});
    }
  }
}

/// Before traffic, when loads are free, spares load a model as the only member
/// of a group that never opens. It stays in their memory after they leave.
void replica_planner::warm_spares(const planning_input& view, std::vector<replica_order>& orders) {
  if (view.traffic_started || !first_term_ || view.engine.models.empty())
    return;
  const free_instances all_free = free_by_domain();
  for (const auto& [domain, free] : all_free.by_domain) {
    if (free.size() > reserved_instances(domain) + 1)
      continue;
    for (const tracked_instance* instance : free) {
      if (!instance->last_model.empty())
        continue;
      const auto largest = std::max_element(
          view.engine.models.begin(), view.engine.models.end(),
          [](const auto& left, const auto& right) { return left.size < right.size; });
      planned_group group = make_planned_group(*largest, {instance});
      group.warmup_only = true;
      order_joins(group, {instance}, "a spare loads a model", orders);
      add_planned_group(std::move(group));
    }
  }
}

} // namespace camphorlug::replicas
