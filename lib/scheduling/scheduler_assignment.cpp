#include "camphorlug/scheduling/scheduler_assignment.h"

#include "camphorlug/routing/rendezvous.h"

#include <algorithm>
#include <set>

namespace camphorlug::scheduling {

/// Returns the hub with the highest weight for the pool, if possible one that is not in `taken`.
static const gateway::node_status* choose_hub(const std::vector<gateway::node_status>& hubs,
                                              const gateway::target_pool& pool,
                                              const std::set<std::string>& taken) {
  const gateway::node_status* best = nullptr;
  const auto key = routing::rendezvous_hash(pool.service + "\n" + pool.model);
  const auto rank = [&](const gateway::node_status& hub) {
    return std::pair(!taken.contains(hub.id),
                     routing::rendezvous_weight(key, routing::rendezvous_hash(hub.id)));
  };
  for (const gateway::node_status& hub : hubs) {
    if (hub.ready && !hub.leaving && (!best || rank(hub) > rank(*best)))
      best = &hub;
  }
  return best;
}

void scheduler_assignment::update(const std::vector<const gateway::node_status*>& live,
                                  const gateway::fleet_roles& roles,
                                  const gateway::routing_config& config) {
  assigned_.clear();
  const bool all_know_messages =
      std::all_of(live.begin(), live.end(), [](const gateway::node_status* each) {
        return each->protocol >= gateway::scheduling_protocol;
      });
  if (gateway::fleet_roles::is_full_mesh(live.size()) || live.size() > max_nodes ||
      !all_know_messages)
    return;
  for (const auto& [name, service] : config.services) {
    if (!service.engine)
      continue;
    std::set<std::string> taken;
    for (const gateway::model_profile& model : service.engine->models) {
      const gateway::target_pool pool{name, model.name};
      if (const gateway::node_status* hub = choose_hub(roles.hubs, pool, taken)) {
        taken.insert(hub->id);
        assigned_[pool] = *hub;
      }
    }
  }
}

const gateway::node_status*
scheduler_assignment::scheduler_of(const gateway::target_pool& pool) const {
  const auto found = assigned_.find(pool);
  return found == assigned_.end() ? nullptr : &found->second;
}

} // namespace camphorlug::scheduling
