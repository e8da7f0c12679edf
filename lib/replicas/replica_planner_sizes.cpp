// How many groups of each model there should be.
#include "planning_limits.h"

#include <algorithm>
#include <cmath>

namespace camphorlug::replicas {

using namespace planning;
using gateway::model_profile;

/// Instances that stay in groups: the others repair them.
double replica_planner::planned_instances(const planning_view& view) const {
  // Before traffic the instances appear one by one; most of them are to come.
  const std::size_t counted = view.traffic_has_begun ? counts_.usable : most_instances_;
  return static_cast<double>(counted) * (1 - spare_part);
}

/// The part of its slots that a group is to have busy so that the planned
/// instances carry the whole demand.
double replica_planner::planned_fill(const planning_view& view) const {
  double instances = 0;
  for (const model_profile& model : view.engine.models)
    instances += view.slots_needed.at(model.name) * static_cast<double>(model.size) /
                 static_cast<double>(view.engine.batch_slots);
  return std::clamp(instances / std::max(planned_instances(view), 1.0), least_fill, most_fill);
}

std::size_t replica_planner::wanted_groups(const planning_view& view,
                                           const model_profile& model) const {
  if (!view.slots_needed.empty()) {
    const double slots = static_cast<double>(view.engine.batch_slots) * planned_fill(view);
    const double groups = std::ceil(view.slots_needed.at(model.name) / slots);
    return std::max(least_groups, static_cast<std::size_t>(groups));
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
  for (const formation& group : formations_) {
    // One that ends counts until its members are free: they still hold the
    // weights, so it is best formed again from them.
    groups[group.model] += group.only_warms ? 0 : 1;
  }
  return groups;
}

} // namespace camphorlug::replicas
