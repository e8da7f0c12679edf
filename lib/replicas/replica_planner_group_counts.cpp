// How many groups of each model there should be.
#include "planning_limits.h"

#include <algorithm>
#include <cmath>

namespace camphorlug::replicas {

using namespace planning;
using gateway::model_profile;

/// Instances that stay in groups: the others repair them.
double replica_planner::planned_instances(const planning_input& view) const {
  // Before traffic the instances appear one by one; most of them are to come.
  const std::size_t counted = view.traffic_started ? counts_.usable : max_listed_instances_;
  return static_cast<double>(counted) * (1 - spare_fraction);
}

/// The part of its slots that a group is to have busy so that the planned
/// instances carry the whole demand.
double replica_planner::planned_utilisation(const planning_input& view) const {
  double instances = 0;
  for (const model_profile& model : view.engine.models)
    instances += view.slots_needed.at(model.name) * static_cast<double>(model.size) /
                 static_cast<double>(view.engine.batch_slots);
  return std::clamp(instances / std::max(planned_instances(view), 1.0), min_utilisation,
                    max_utilisation);
}

std::size_t replica_planner::wanted_groups(const planning_input& view,
                                           const model_profile& model) const {
  if (!view.slots_needed.empty()) {
    const double slots = static_cast<double>(view.engine.batch_slots) * planned_utilisation(view);
    const double groups = std::ceil(view.slots_needed.at(model.name) / slots);
    return std::max(min_groups_per_model, static_cast<std::size_t>(groups));
  }
  double shares = 0;
  for (const model_profile& each : view.engine.models)
    shares += each.share;
  const double groups =
      planned_instances(view) * model.share / shares / static_cast<double>(model.size);
  return std::max<std::size_t>(1, static_cast<std::size_t>(groups + 0.5));
}

std::map<std::string, std::size_t> replica_planner::live_groups() const {
  std::map<std::string, std::size_t> groups;
  for (const planned_group& group : planned_groups_) {
    // One that ends counts until its members are free: they still hold the
    // weights, so it is best formed again from them.
    groups[group.model] += group.warmup_only ? 0 : 1;
  }
  return groups;
}

} // namespace camphorlug::replicas
