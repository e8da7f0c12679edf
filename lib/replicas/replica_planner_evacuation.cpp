// Groups in data centres that the operator evacuates.
#include "planning_limits.h"

#include <algorithm>

namespace camphorlug::replicas {

using namespace planning;

void replica_planner::note_evacuations(const planning_input& input) {
  for (tracked_instance* instance : listed_instances_)
    instance->evacuated = input.evacuated_data_centres.contains(instance->entry().data_centre);
  std::erase_if(evacuated_since_, [&](const auto& each) {
    return !input.evacuated_data_centres.contains(each.first);
  });
  for (const std::string& data_centre : input.evacuated_data_centres)
    evacuated_since_.try_emplace(data_centre, time_.now());
}

bool replica_planner::is_evacuated(const planned_group& group) const {
  return std::any_of(group.members.begin(), group.members.end(), [&](const planned_member& member) {
    const auto found = instances_by_id_.find(member.id);
    return found != instances_by_id_.end() && found->second.evacuated;
  });
}

bool replica_planner::may_close_evacuated(const planned_group& group,
                                          const planning_input& input) const {
  for (const planned_member& member : group.members) {
    const gateway::registered_target* target = find_registered_target(member.id);
    const auto since =
        target ? evacuated_since_.find(target->entry.data_centre) : evacuated_since_.end();
    if (since != evacuated_since_.end() && time_.now() - since->second >= evacuated_closing_delay)
      return true;
  }
  const gateway::model_profile* model = input.engine.find(group.model);
  if (!model)
    return true;
  const auto serving_elsewhere =
      std::count_if(planned_groups_.begin(), planned_groups_.end(), [&](const auto& each) {
        return each.model == group.model && each.phase == group_phase::serving &&
               !is_evacuated(each);
      });
  return static_cast<std::size_t>(serving_elsewhere) >= wanted_groups(input, *model);
}

void replica_planner::close_evacuated_groups(const planning_input& input) {
  if (input.evacuated_data_centres.empty())
    return;
  for (planned_group& group : planned_groups_) {
    if (!is_evacuated(group))
      continue;
    const bool has_opened =
        group.phase == group_phase::serving || group.phase == group_phase::closing;
    if (!has_opened)
      enter_phase(group, group_phase::dissolving, "its data centre is evacuated");
    else if (may_close_evacuated(group, input) && group.phase == group_phase::serving)
      enter_phase(group, group_phase::closing, "its data centre is evacuated");
  }
}

} // namespace camphorlug::replicas
