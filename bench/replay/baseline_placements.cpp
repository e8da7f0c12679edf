#include "replay/baseline_placements.h"

#include "camphorlug/groups/free_instances.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace camphorlug::replay {

using groups::free_instances;
using groups::group_record;
using groups::group_state;
using groups::instance_condition;
using groups::placement_step;
using groups::pool_group;
using groups::pool_instance;
using groups::pool_state;
using groups::step_kind;

namespace {

using instance_index = std::map<std::string, const pool_instance*>;

instance_index index_instances(const pool_state& pool) {
  instance_index index;
  for (const pool_instance& each : pool.instances)
    index.emplace(each.id, &each);
  return index;
}

std::vector<std::size_t> lost_ranks(const group_record& record, const instance_index& index) {
  std::vector<std::size_t> ranks;
  for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
    const auto found = index.find(record.members[rank].instance);
    if (found == index.end() || found->second->condition == instance_condition::lost)
      ranks.push_back(rank);
  }
  return ranks;
}

placement_step step_for(step_kind kind, const group_record& record) {
  return {kind, record.id, record.fabric_domain, record.data_centre, {}, ""};
}

/// Forms as many groups as the free instances of each domain allow. Both baselines do this.
void form_groups(const pool_state& pool, free_instances& free, std::vector<placement_step>& steps) {
  std::vector<std::size_t> ranks(pool.spec.span);
  std::iota(ranks.begin(), ranks.end(), 0);
  for (const std::string& domain : free.domains()) {
    while (free.count(domain) >= pool.spec.span)
      steps.push_back({step_kind::form, "", domain, free.data_centre(domain),
                       free.assign(domain, ranks, pool.spec.version), ""});
  }
}

/// Rolls out a new version one group at a time and reloads it on the same instances. Both
/// baselines do this.
void roll_out_one_group(const pool_state& pool, std::vector<placement_step>& steps) {
  const bool all_serve =
      std::all_of(pool.groups.begin(), pool.groups.end(), [](const pool_group& group) {
        return group.record.state == group_state::serving;
      });
  for (const pool_group& group : pool.groups) {
    if (group.record.state == group_state::draining && group.drained)
      steps.push_back(step_for(step_kind::reload, group.record));
  }
  if (!all_serve || !steps.empty())
    return;
  for (const pool_group& group : pool.groups) {
    if (group.record.version == pool.spec.version)
      continue;
    steps.push_back(step_for(step_kind::drain, group.record));
    return;
  }
}

} // namespace

std::vector<placement_step> in_place_placement::plan(const pool_state& pool) const {
  const instance_index index = index_instances(pool);
  free_instances free(pool);
  std::vector<placement_step> steps;
  for (const pool_group& group : pool.groups) {
    const auto lost = lost_ranks(group.record, index);
    if (lost.empty() || free.count(group.record.fabric_domain) < lost.size())
      continue;
    placement_step step = step_for(step_kind::replace, group.record);
    step.assignments = free.assign(group.record.fabric_domain, lost, group.record.version);
    steps.push_back(std::move(step));
  }
  form_groups(pool, free, steps);
  roll_out_one_group(pool, steps);
  return steps;
}

std::vector<placement_step> re_form_placement::plan(const pool_state& pool) const {
  const instance_index index = index_instances(pool);
  free_instances free(pool);
  std::vector<placement_step> steps;
  for (const pool_group& group : pool.groups) {
    if (lost_ranks(group.record, index).empty())
      continue;
    steps.push_back(step_for(step_kind::dissolve, group.record));
    for (const auto& member : group.record.members) {
      const auto found = index.find(member.instance);
      if (found != index.end() && found->second->condition == instance_condition::present)
        free.add(*found->second);
    }
  }
  form_groups(pool, free, steps);
  roll_out_one_group(pool, steps);
  return steps;
}

} // namespace camphorlug::replay
