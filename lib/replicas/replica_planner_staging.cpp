// Placement of models in the memory and on the hosts of instances.
#include "planning_limits.h"

#include <algorithm>

namespace camphorlug::replicas {

using namespace planning;
using gateway::membership_state;
using gateway::model_profile;
using gateway::target_entry;

/// Returns the model that an instance should stage on its host in addition to the one in its
/// memory, so that it can quickly join a group of either. Null if it has staged one already.
const model_profile* replica_planner::model_to_stage(const tracked_instance& instance,
                                                     const planning_input& input) const {
  const model_profile* best = nullptr;
  for (const model_profile& model : input.engine.models) {
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

void replica_planner::stage_models(const planning_input& input,
                                   std::vector<replica_order>& orders) {
  // Unassigned instances first.
  for (const bool spares : {true, false}) {
    for (const tracked_instance* instance : listed_instances_) {
      const target_entry& entry = instance->entry();
      const bool settled = !entry.membership ||
                           entry.membership->state != membership_state::joining ||
                           instance->is_ungrouped();
      if (instance->assigned == spares || !instance->is_usable() || !settled ||
          is_loading(*instance))
        continue;
      const model_profile* model = model_to_stage(*instance, input);
      if (!model || !may_order(entry.id, order_kind::stage, 0) || !try_reserve_load(input))
        continue;
      add_order(orders, {order_kind::stage,
                         entry.id,
                         entry.address,
                         "",
                         0,
                         model->name,
                         {},
                         true,
                         spares ? "the instance is a spare"
                                : "the instance may be needed in a group of this model"});
    }
  }
}

/// Before traffic starts, when weight loads are not rate-limited, lets each spare load a model as
/// the only member of a group that never opens. The model stays in memory after the spare leaves.
void replica_planner::warm_spares(const planning_input& input, std::vector<replica_order>& orders) {
  if (input.traffic_started || !first_term_ || input.engine.models.empty())
    return;
  const free_instances all_free = free_by_domain();
  for (const auto& [domain, free] : all_free.by_domain) {
    if (free.size() > reserved_instances(domain) + 1)
      continue;
    for (const tracked_instance* instance : free) {
      if (!instance->last_model.empty())
        continue;
      const auto largest = std::max_element(
          input.engine.models.begin(), input.engine.models.end(),
          [](const auto& left, const auto& right) { return left.size < right.size; });
      planned_group group = make_planned_group(*largest, {instance});
      group.warmup_only = true;
      order_joins(group, {instance}, "the spare loads the model into memory before traffic starts",
                  orders);
      add_planned_group(std::move(group));
    }
  }
}

} // namespace camphorlug::replicas
