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
const model_profile* replica_planner::second_model(const target_entry& entry,
                                                   const planning_view& view) const {
  const model_profile* best = nullptr;
  for (const model_profile& model : view.engine.models) {
    const int cost = join_cost(entry, model.name);
    if (cost == cost_in_memory)
      continue;
    if (cost == cost_staged)
      return nullptr;
    if (!best || model.size > best->size)
      best = &model;
  }
  return best;
}

void replica_planner::stage_models(const planning_view& view, std::vector<replica_order>& orders) {
  for (const bool spares : {true, false}) {
    for (const auto& [id, target] : view.targets) {
      const target_entry& entry = target.entry;
      const bool usable =
          entry.service == service_ && !entry.draining && !target.missing_since && !is_silent(id);
      const bool settled = !entry.membership || has_left(entry) ||
                           entry.membership->state != membership_state::joining;
      if (!usable || !settled || is_assigned(id) == spares || is_loading(entry))
        continue;
      const model_profile* model = second_model(entry, view);
      if (!model || !may_order(id, order_kind::stage, 0) || !may_load(view))
        continue;
      order(orders, {order_kind::stage,
                     id,
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
void replica_planner::warm_spares(const planning_view& view, std::vector<replica_order>& orders) {
  if (view.traffic_has_begun || !first_term_)
    return;
  for (const auto& [domain, free] : free_by_domain(view)) {
    if (free.size() > reserve_of(domain, view) + 1)
      continue;
    for (const target_entry* entry : free) {
      if (!memory_[entry->id].last_model.empty())
        continue;
      const auto largest = std::max_element(
          view.engine.models.begin(), view.engine.models.end(),
          [](const auto& left, const auto& right) { return left.size < right.size; });
      formation group = make_formation(*largest, {entry});
      group.only_warms = true;
      order_joins(group, {entry}, "a spare loads a model", orders);
      formations_.push_back(std::move(group));
    }
  }
}

} // namespace camphorlug::replicas
