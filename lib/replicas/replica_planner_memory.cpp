// What the planner remembers of instances and of the orders that it gave.
#include "planning_limits.h"

#include "camphorlug/support/log.h"

#include <algorithm>

namespace camphorlug::replicas {

using namespace planning;
using gateway::target_entry;

void replica_planner::refresh_memory(const planning_view& view) {
  std::size_t instances = 0;
  for (const auto& [id, target] : view.targets) {
    if (target.entry.service != service_)
      continue;
    ++instances;
    instance_memory& known = memory_[id];
    if (known.started_at_ms != target.entry.started_at_ms)
      known = {target.entry.started_at_ms, {}, {}, "", false};
    if (!target.memory_model.empty())
      known.last_model = target.memory_model;
    for (auto& [kind, pending] : known.pending) {
      const auto& staged = target.entry.staged;
      // Noted for good: a later stage of another model replaces this one.
      if (std::find(staged.begin(), staged.end(), pending.model) != staged.end())
        pending.loads = false;
    }
  }
  most_instances_ = std::max(most_instances_, instances);
  std::erase_if(memory_, [&](const auto& entry) { return !view.targets.contains(entry.first); });
}

bool replica_planner::has_left(const target_entry& entry) const {
  if (!entry.membership)
    return true;
  const auto known = memory_.find(entry.id);
  return known != memory_.end() && known->second.left.contains(entry.membership->epoch);
}

bool replica_planner::is_assigned(const std::string& id) const {
  return std::any_of(formations_.begin(), formations_.end(), [&](const formation& group) {
    return std::any_of(group.members.begin(), group.members.end(),
                       [&](const formation_member& member) { return member.id == id; });
  });
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

bool replica_planner::is_loading(const target_entry& entry) const {
  const auto known = memory_.find(entry.id);
  return known != memory_.end() &&
         std::any_of(known->second.pending.begin(), known->second.pending.end(),
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
  wanted.fence = next_fence_++;
  orders.push_back(std::move(wanted));
}

void replica_planner::take_result(const replica_order& order, order_result result) {
  const auto found = memory_.find(order.target);
  if (found == memory_.end())
    return;
  instance_memory& known = found->second;
  const bool accepted = result == order_result::begun || result == order_result::done;
  const auto pending = known.pending.find(order.kind);
  if (pending != known.pending.end() && pending->second.epoch == order.epoch && !accepted)
    pending->second.loads = false;
  if (order.kind == order_kind::leave && accepted)
    known.left.insert(order.epoch);
}

} // namespace camphorlug::replicas
