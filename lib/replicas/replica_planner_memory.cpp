// What the planner remembers of instances and of the orders that it gave.
#include "planning_limits.h"

#include "camphorlug/support/log.h"

#include <algorithm>

namespace camphorlug::replicas {

using namespace planning;
using gateway::target_entry;

void replica_planner::refresh_memory(const planning_view& view) {
  for (auto& [id, instance] : memory_)
    instance.target = nullptr;
  present_.clear();
  bool has_new = false;
  for (const auto& [id, target] : view.targets) {
    if (target.entry.service != service_)
      continue;
    const auto [place, is_new] = memory_.try_emplace(id);
    known_instance& known = place->second;
    has_new = has_new || is_new;
    if (known.started_at_ms != target.entry.started_at_ms) {
      const bool assigned = known.assigned;
      known = {};
      known.started_at_ms = target.entry.started_at_ms;
      known.assigned = assigned;
    }
    known.target = &target;
    present_.push_back(&known);
    if (!target.resident_model.empty())
      known.last_model = target.resident_model;
    for (auto& [kind, pending] : known.pending) {
      if (!pending.loads)
        continue;
      const auto& staged_models = target.entry.staged_models;
      // Noted for good: a later stage of another model replaces this one.
      if (std::find(staged_models.begin(), staged_models.end(), pending.model) !=
          staged_models.end())
        pending.loads = false;
    }
  }
  most_instances_ = std::max(most_instances_, present_.size());
  std::erase_if(memory_, [](const auto& each) { return !each.second.target; });
  if (!has_new)
    return;
  // One that was away for a moment may still be in a formation that ends.
  for (const formation& group : formations_)
    note_assigned(group, true);
}

void replica_planner::count_pool() {
  counts_ = {};
  for (const known_instance* instance : present_) {
    ++counts_.by_domain[instance->entry().fabric_domain];
    counts_.usable += !instance->entry().draining && !instance->silent ? 1 : 0;
  }
  counts_.loading = loads_in_progress();
}

const gateway::registered_target* replica_planner::target_of(const std::string& id) const {
  const auto known = memory_.find(id);
  return known == memory_.end() ? nullptr : known->second.target;
}

bool replica_planner::known_instance::has_left() const {
  return !entry().membership || left.contains(entry().membership->epoch);
}

bool replica_planner::known_instance::is_usable() const {
  return !entry().draining && !target->missing_since && !silent;
}

int replica_planner::known_instance::join_cost(const std::string& model) const {
  if (last_model == model)
    return cost_in_memory;
  const auto& staged_models = entry().staged_models;
  if (std::find(staged_models.begin(), staged_models.end(), model) != staged_models.end())
    return cost_staged;
  return staged_models.empty() ? cost_load : cost_load_over_staged;
}

bool replica_planner::is_silent(const std::string& id) const {
  const auto known = memory_.find(id);
  return known != memory_.end() && known->second.silent;
}

std::vector<std::string> replica_planner::silent() const {
  std::vector<std::string> ids;
  for (const auto& [id, known] : memory_) {
    if (known.silent)
      ids.push_back(id);
  }
  return ids;
}

void replica_planner::note_answer(const std::string& id, bool answers) {
  const auto known = memory_.find(id);
  if (known == memory_.end() || known->second.silent == !answers)
    return;
  known->second.silent = !answers;
  support::log_event(support::log_level::info, "instance_answers",
                     {{"target", id}, {"answers", answers ? "yes" : "no"}});
}

bool replica_planner::loads(const pending_order& pending) const {
  return pending.loads && time_.now() - pending.sent_at < longest_load;
}

std::size_t replica_planner::loads_in_progress() const {
  std::size_t count = 0;
  for (const auto& [id, known] : memory_) {
    for (const auto& [kind, pending] : known.pending)
      count += loads(pending) ? 1 : 0;
  }
  return count;
}

bool replica_planner::is_loading(const known_instance& instance) const {
  return std::any_of(instance.pending.begin(), instance.pending.end(),
                     [&](const auto& each) { return loads(each.second); });
}

bool replica_planner::may_order(const std::string& id, order_kind kind, std::uint64_t epoch) {
  const auto& pending = memory_[id].pending;
  const auto known = pending.find(kind);
  if (known == pending.end() || known->second.epoch != epoch)
    return true;
  return time_.now() - known->second.sent_at >= order_repeat;
}

void replica_planner::order(std::vector<replica_order>& orders, replica_order wanted) {
  if (!may_order(wanted.target, wanted.kind, wanted.epoch))
    return;
  memory_[wanted.target].pending[wanted.kind] = {wanted.epoch, time_.now(), wanted.loads,
                                                 wanted.model};
  counts_.loading += wanted.loads ? 1 : 0;
  wanted.fence = next_fence_++;
  orders.push_back(std::move(wanted));
}

void replica_planner::take_result(const replica_order& order, order_result result) {
  const auto found = memory_.find(order.target);
  if (found == memory_.end())
    return;
  known_instance& known = found->second;
  const bool accepted = result == order_result::begun || result == order_result::done;
  const auto pending = known.pending.find(order.kind);
  if (pending != known.pending.end() && pending->second.epoch == order.epoch && !accepted)
    pending->second.loads = false;
  if (order.kind == order_kind::leave && accepted)
    known.left.insert(order.epoch);
}

} // namespace camphorlug::replicas
