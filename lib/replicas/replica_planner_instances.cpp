// The planner's records of instances and of their pending orders.
#include "planning_limits.h"

#include "camphorlug/support/log.h"

#include <algorithm>

namespace camphorlug::replicas {

using namespace planning;
using gateway::target_entry;

void replica_planner::refresh_instances(const planning_input& input) {
  for (auto& [id, instance] : instances_by_id_)
    instance.target = nullptr;
  listed_instances_.clear();
  bool has_new = false;
  for (const auto& [id, target] : input.targets) {
    if (target.entry.service != service_)
      continue;
    const auto [place, is_new] = instances_by_id_.try_emplace(id);
    tracked_instance& instance = place->second;
    has_new = has_new || is_new;
    if (instance.started_at_ms != target.entry.started_at_ms) {
      const bool assigned = instance.assigned;
      instance = {};
      instance.started_at_ms = target.entry.started_at_ms;
      instance.assigned = assigned;
    }
    instance.target = &target;
    listed_instances_.push_back(&instance);
    if (!target.resident_model.empty())
      instance.last_model = target.resident_model;
    for (auto& [kind, pending] : instance.pending) {
      if (!pending.loads)
        continue;
      const auto& staged_models = target.entry.staged_models;
      // Cleared permanently: staging another model later replaces these weights, which must not
      // make this load count as in progress again.
      if (std::find(staged_models.begin(), staged_models.end(), pending.model) !=
          staged_models.end())
        pending.loads = false;
    }
  }
  max_listed_instances_ = std::max(max_listed_instances_, listed_instances_.size());
  std::erase_if(instances_by_id_, [](const auto& each) { return !each.second.target; });
  if (!has_new)
    return;
  // An instance whose entry was missing for a moment may still be in a dissolving group.
  for (const planned_group& group : planned_groups_)
    mark_assigned(group, true);
}

void replica_planner::count_pool() {
  counts_ = {};
  for (const tracked_instance* instance : listed_instances_) {
    ++counts_.by_domain[instance->entry().fabric_domain];
    counts_.usable +=
        !instance->entry().draining && !instance->unresponsive && !instance->evacuated ? 1 : 0;
  }
  counts_.loading = loads_in_progress();
}

const gateway::registered_target*
replica_planner::find_registered_target(const std::string& id) const {
  const auto found = instances_by_id_.find(id);
  return found == instances_by_id_.end() ? nullptr : found->second.target;
}

bool replica_planner::tracked_instance::is_ungrouped() const {
  return !entry().membership || left_epochs.contains(entry().membership->epoch);
}

bool replica_planner::tracked_instance::is_usable() const {
  return !entry().draining && !target->missing_since && !unresponsive && !evacuated;
}

int replica_planner::tracked_instance::join_cost(const std::string& model) const {
  if (last_model == model)
    return cost_in_memory;
  const auto& staged_models = entry().staged_models;
  if (std::find(staged_models.begin(), staged_models.end(), model) != staged_models.end())
    return cost_staged;
  return staged_models.empty() ? cost_load : cost_load_over_staged;
}

bool replica_planner::is_unresponsive(const std::string& id) const {
  const auto found = instances_by_id_.find(id);
  return found != instances_by_id_.end() && found->second.unresponsive;
}

std::vector<std::string> replica_planner::unresponsive_instances() const {
  std::vector<std::string> ids;
  for (const auto& [id, instance] : instances_by_id_) {
    if (instance.unresponsive)
      ids.push_back(id);
  }
  return ids;
}

void replica_planner::record_probe_result(const std::string& id, bool answers) {
  const auto found = instances_by_id_.find(id);
  if (found == instances_by_id_.end() || found->second.unresponsive == !answers)
    return;
  found->second.unresponsive = !answers;
  support::log_event(support::log_level::info, "instance_answers",
                     {{"target", id}, {"answers", answers ? "yes" : "no"}});
}

bool replica_planner::is_load_in_progress(const pending_order& pending) const {
  return pending.loads && time_.now() - pending.sent_at < load_timeout;
}

std::size_t replica_planner::loads_in_progress() const {
  std::size_t count = 0;
  for (const auto& [id, instance] : instances_by_id_) {
    for (const auto& [kind, pending] : instance.pending)
      count += is_load_in_progress(pending) ? 1 : 0;
  }
  return count;
}

bool replica_planner::is_loading(const tracked_instance& instance) const {
  return std::any_of(instance.pending.begin(), instance.pending.end(),
                     [&](const auto& each) { return is_load_in_progress(each.second); });
}

bool replica_planner::may_order(const std::string& id, order_kind kind, std::uint64_t epoch) {
  const auto& pending = instances_by_id_[id].pending;
  const auto found = pending.find(kind);
  if (found == pending.end() || found->second.epoch != epoch)
    return true;
  return time_.now() - found->second.sent_at >= order_retry_interval;
}

void replica_planner::add_order(std::vector<replica_order>& orders, replica_order new_order) {
  if (!may_order(new_order.target, new_order.kind, new_order.epoch))
    return;
  instances_by_id_[new_order.target].pending[new_order.kind] = {new_order.epoch, time_.now(),
                                                                new_order.loads, new_order.model};
  counts_.loading += new_order.loads ? 1 : 0;
  new_order.fence = next_fence_++;
  orders.push_back(std::move(new_order));
}

void replica_planner::record_order_result(const replica_order& order, order_result result) {
  const auto found = instances_by_id_.find(order.target);
  if (found == instances_by_id_.end())
    return;
  tracked_instance& instance = found->second;
  const bool accepted = result == order_result::begun || result == order_result::done;
  instance.accepted_order = instance.accepted_order || accepted;
  const auto pending = instance.pending.find(order.kind);
  if (pending != instance.pending.end() && pending->second.epoch == order.epoch && !accepted)
    pending->second.loads = false;
  if (order.kind == order_kind::leave && accepted)
    instance.left_epochs.insert(order.epoch);
}

} // namespace camphorlug::replicas
