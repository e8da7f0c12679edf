// How many groups of each model there should be.
#include "planning_limits.h"

#include <algorithm>
#include <cmath>

namespace camphorlug::replicas {

using namespace planning;
using gateway::model_profile;

/// Returns the number of instances to use in groups. The others are spares for repairs.
double replica_planner::planned_instances(const planning_input& input) const {
  // Before traffic starts, instances are still registering one by one. The largest number seen so
  // far keeps the plan from shrinking meanwhile.
  const std::size_t counted = input.traffic_started ? counts_.usable : max_listed_instances_;
  return static_cast<double>(counted) * (1 - spare_fraction);
}

/// Returns the fraction of each group's slots that must be in use for the planned instances to
/// carry the whole demand.
double replica_planner::planned_utilisation(const planning_input& input) const {
  double instances = 0;
  for (const model_profile& model : input.engine.models)
    instances += input.slots_needed.at(model.name) * static_cast<double>(model.size) /
                 static_cast<double>(input.engine.batch_slots);
  return std::clamp(instances / std::max(planned_instances(input), 1.0), min_utilisation,
                    max_utilisation);
}

std::size_t replica_planner::wanted_groups(const planning_input& input,
                                           const model_profile& model) const {
  if (!input.slots_needed.empty()) {
    const double slots = static_cast<double>(input.engine.batch_slots) * planned_utilisation(input);
    const double groups = std::ceil(input.slots_needed.at(model.name) / slots);
    return std::max(min_groups_per_model, static_cast<std::size_t>(groups));
  }
  double shares = 0;
  for (const model_profile& each : input.engine.models)
    shares += each.share;
  const double groups =
      planned_instances(input) * model.share / shares / static_cast<double>(model.size);
  return std::max<std::size_t>(1, static_cast<std::size_t>(groups + 0.5));
}

std::map<std::string, std::size_t> replica_planner::live_groups() const {
  std::map<std::string, std::size_t> groups;
  for (const planned_group& group : planned_groups_) {
    // A closing or dissolving group counts until its members are free. They still hold the
    // weights, so they are the best instances for a group of the same model.
    groups[group.model] += group.warmup_only || is_evacuated(group) ? 0 : 1;
  }
  return groups;
}

} // namespace camphorlug::replicas
