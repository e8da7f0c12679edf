#include "camphorlug/replicas/replica_planner.h"

#include "camphorlug/support/log.h"

#include <algorithm>
#include <tuple>

namespace camphorlug::replicas {

using gateway::membership_state;
using gateway::model_profile;
using gateway::registered_target;
using gateway::target_entry;
using std::chrono::milliseconds;

/// Epochs of one fencing number; those of the next one are all larger.
static constexpr std::uint64_t epochs_per_fence = 1'000'000;
/// An order without visible effect is given again after this.
static constexpr milliseconds order_repeat{1200};
/// Beyond the load time, after which a group that does not become ready is given up.
static constexpr milliseconds forming_slack{8000};
/// How long a head may finish its requests once a member drains.
static constexpr milliseconds longest_closing{9000};
/// Members that cannot be reached for this long keep nobody waiting.
static constexpr milliseconds longest_dissolving{3000};
/// Part of the instances that is kept out of groups to repair others.
static constexpr double spare_part = 0.3;
/// Free instances that stay in each fabric domain when a group is formed there
/// from instances without its weights: a lost member is replaced from its own
/// domain, and failures come in pairs.
static constexpr std::size_t domain_reserve = 2;
/// Costs of a join: nothing to fetch, weights on the host, weights to be
/// loaded; and the latter where it would also cost another model its spare.
static constexpr int cost_in_memory = 0;
static constexpr int cost_staged = 1;
static constexpr int cost_load = 10;
static constexpr int cost_load_over_staged = 11;

const char* to_string(order_kind kind) {
  switch (kind) {
  case order_kind::join:
    return "join";
  case order_kind::open:
    return "open";
  case order_kind::close:
    return "close";
  case order_kind::leave:
    return "leave";
  case order_kind::stage:
    return "stage";
  }
  return "stage";
}

const char* to_string(order_result result) {
  switch (result) {
  case order_result::begun:
    return "begun";
  case order_result::done:
    return "done";
  case order_result::misfit:
    return "misfit";
  case order_result::outdated:
    return "outdated";
  case order_result::wrong_instance:
    return "wrong_instance";
  case order_result::not_sent:
    return "not_sent";
  case order_result::unknown:
    return "unknown";
  }
  return "unknown";
}

const char* to_string(formation_phase phase) {
  switch (phase) {
  case formation_phase::forming:
    return "forming";
  case formation_phase::opening:
    return "opening";
  case formation_phase::serving:
    return "serving";
  case formation_phase::closing:
    return "closing";
  case formation_phase::dissolving:
    return "dissolving";
  }
  return "dissolving";
}

static const registered_target* find(const planning_view& view, const std::string& id) {
  const auto found = view.targets.find(id);
  return found == view.targets.end() ? nullptr : &found->second;
}

static bool is_in(const target_entry& entry, const formation& group) {
  return entry.membership && entry.membership->group == group.group &&
         entry.membership->epoch == group.epoch;
}

void replica_planner::begin_term(std::uint64_t fence, bool first) {
  fence_ = fence;
  next_epoch_ = fence * epochs_per_fence + 1;
  term_began_at_ = time_.now();
  first_term_ = first;
  adopted_ = false;
  formations_.clear();
  memory_.clear();
}

std::vector<replica_order> replica_planner::plan(const planning_view& view) {
  std::vector<replica_order> orders;
  refresh_memory(view);
  adopt(view);
  for (formation& group : formations_) {
    observe(group, view);
    advance(group, view, orders);
  }
  std::erase_if(formations_, [](const formation& group) { return group.members.empty(); });
  release_strays(view, orders);
  form_missing(view, orders);
  stage_spares(view, orders);
  return orders;
}

void replica_planner::refresh_memory(const planning_view& view) {
  std::size_t instances = 0;
  for (const auto& [id, target] : view.targets) {
    if (target.entry.service != service_)
      continue;
    ++instances;
    instance_memory& known = memory_[id];
    if (known.started_at_ms != target.entry.started_at_ms)
      known = {target.entry.started_at_ms, std::nullopt, {}, ""};
    if (!target.entry.model.empty())
      known.last_model = target.entry.model;
  }
  most_instances_ = std::max(most_instances_, instances);
  std::erase_if(memory_, [&](const auto& entry) { return !view.targets.contains(entry.first); });
}

/// Takes over the groups that are whole; members of others are strays.
void replica_planner::adopt(const planning_view& view) {
  if (std::exchange(adopted_, true))
    return;
  if (!first_term_)
    loads_.assume_full(view.engine.loads_per_second);
  std::map<std::pair<std::string, std::uint64_t>, std::map<std::size_t, const target_entry*>> seen;
  for (const auto& [id, target] : view.targets) {
    const target_entry& entry = target.entry;
    if (entry.service == service_ && entry.membership)
      seen[{entry.membership->group, entry.membership->epoch}][entry.membership->rank] = &entry;
  }
  for (const auto& [name, ranks] : seen) {
    const target_entry* head = ranks.begin()->second;
    const model_profile* model = view.engine.find(head->model);
    if (!model || ranks.size() != model->size || ranks.rbegin()->first != model->size - 1)
      continue;
    formation group;
    std::tie(group.group, group.epoch) = name;
    group.model = model->name;
    group.fabric_domain = head->fabric_domain;
    for (const auto& [rank, entry] : ranks)
      group.members.push_back({entry->id, entry->started_at_ms, false});
    group.phase = head->membership->state == membership_state::open ? formation_phase::serving
                                                                    : formation_phase::forming;
    group.phase_since = time_.now();
    formations_.push_back(std::move(group));
  }
}

void replica_planner::enter(formation& group, formation_phase phase, const std::string& reason) {
  if (group.phase == phase)
    return;
  support::log_event(support::log_level::info, "group_phase",
                     {{"group", group.group},
                      {"epoch", std::to_string(group.epoch)},
                      {"model", group.model},
                      {"phase", to_string(phase)},
                      {"reason", reason}});
  group.phase = phase;
  group.phase_since = time_.now();
}

/// Notes what the members say and moves the group to the phase that follows from it.
void replica_planner::observe(formation& group, const planning_view& view) {
  if (group.phase == formation_phase::dissolving)
    return;
  for (formation_member& member : group.members) {
    const registered_target* target = find(view, member.id);
    if (!target || target->missing_since) {
      enter(group, formation_phase::dissolving, member.id + " is gone");
      return;
    }
    const target_entry& entry = target->entry;
    if (entry.started_at_ms != member.started_at_ms) {
      enter(group, formation_phase::dissolving, member.id + " has restarted");
      return;
    }
    const bool member_of = is_in(entry, group);
    if (member_of && entry.membership->state == membership_state::broken) {
      enter(group, formation_phase::dissolving, member.id + " is broken");
      return;
    }
    if (member.was_ready && !member_of) {
      enter(group, formation_phase::dissolving, member.id + " is no longer in it");
      return;
    }
    if (member_of && entry.membership->state != membership_state::joining)
      member.was_ready = true;
    if (entry.draining) {
      const bool serves = group.phase == formation_phase::serving;
      if (group.phase != formation_phase::closing)
        enter(group, serves ? formation_phase::closing : formation_phase::dissolving,
              member.id + " is draining");
    }
  }
}

void replica_planner::advance(formation& group, const planning_view& view,
                              std::vector<replica_order>& orders) {
  const auto in_phase = time_.now() - group.phase_since;
  const registered_target* head = find(view, group.members.front().id);
  const bool head_in = head && is_in(head->entry, group);
  const auto to_head = [&](order_kind kind, const std::string& reason) {
    order(orders, {kind,
                   head->entry.id,
                   head->entry.address,
                   group.group,
                   group.epoch,
                   "",
                   {},
                   false,
                   reason});
  };
  switch (group.phase) {
  case formation_phase::forming:
    advance_forming(group, view, orders);
    return;
  case formation_phase::opening:
    if (head_in && head->entry.membership->state == membership_state::open)
      enter(group, formation_phase::serving, "its head is open");
    else if (in_phase > forming_slack)
      enter(group, formation_phase::dissolving, "its head does not open");
    else if (head_in && head->entry.membership->state == membership_state::ready)
      to_head(order_kind::open, "all members are ready");
    return;
  case formation_phase::serving:
    if (head_in && head->entry.membership->state == membership_state::ready)
      enter(group, formation_phase::opening, "its head is not open");
    return;
  case formation_phase::closing:
    if (!head_in || head->entry.membership->state == membership_state::ready ||
        in_phase > longest_closing)
      enter(group, formation_phase::dissolving, "its head has finished");
    else if (head->entry.membership->state == membership_state::open)
      to_head(order_kind::close, "a member is draining");
    return;
  case formation_phase::dissolving:
    dissolve(group, view, orders);
    return;
  }
}

void replica_planner::advance_forming(formation& group, const planning_view& view,
                                      std::vector<replica_order>& orders) {
  const model_profile* model = view.engine.find(group.model);
  if (!model || time_.now() - group.phase_since > model->load_time + forming_slack) {
    enter(group, formation_phase::dissolving, "it did not become ready in time");
    return;
  }
  std::vector<std::string> ids;
  for (const formation_member& member : group.members)
    ids.push_back(member.id);
  bool all_ready = true;
  for (const formation_member& member : group.members) {
    all_ready = all_ready && member.was_ready;
    const target_entry& entry = find(view, member.id)->entry;
    if (is_in(entry, group))
      continue;
    order(orders, {order_kind::join, entry.id, entry.address, group.group, group.epoch, group.model,
                   ids, false, "the group forms"});
  }
  if (all_ready)
    enter(group, formation_phase::opening, "all members are ready");
}

bool replica_planner::has_left(const target_entry& entry) const {
  if (!entry.membership)
    return true;
  const auto known = memory_.find(entry.id);
  return known != memory_.end() && known->second.left.contains(entry.membership->epoch);
}

void replica_planner::dissolve(formation& group, const planning_view& view,
                               std::vector<replica_order>& orders) {
  bool all_left = true;
  for (const formation_member& member : group.members) {
    const registered_target* target = find(view, member.id);
    if (!target || target->entry.started_at_ms != member.started_at_ms)
      continue;
    const auto known = memory_.find(member.id);
    if (known != memory_.end() && known->second.left.contains(group.epoch))
      continue;
    // Also an instance that does not show the group yet may still join it.
    all_left = false;
    order(orders, {order_kind::leave,
                   member.id,
                   target->entry.address,
                   group.group,
                   group.epoch,
                   "",
                   {},
                   false,
                   "the group ends"});
  }
  // Whoever has not confirmed stays a stray, which is told to leave until it does.
  if (all_left || time_.now() - group.phase_since > longest_dissolving)
    group.members.clear();
}

bool replica_planner::is_assigned(const std::string& id) const {
  return std::any_of(formations_.begin(), formations_.end(), [&](const formation& group) {
    return std::any_of(group.members.begin(), group.members.end(),
                       [&](const formation_member& member) { return member.id == id; });
  });
}

void replica_planner::release_strays(const planning_view& view,
                                     std::vector<replica_order>& orders) {
  for (const auto& [id, target] : view.targets) {
    const target_entry& entry = target.entry;
    if (entry.service != service_ || is_assigned(id) || has_left(entry))
      continue;
    order(orders, {order_kind::leave,
                   id,
                   entry.address,
                   entry.membership->group,
                   entry.membership->epoch,
                   "",
                   {},
                   false,
                   "no planned group has it"});
  }
}

std::map<std::string, std::vector<const target_entry*>>
replica_planner::free_by_domain(const planning_view& view) {
  std::map<std::string, std::vector<const target_entry*>> free;
  for (const auto& [id, target] : view.targets) {
    const target_entry& entry = target.entry;
    const bool usable = entry.service == service_ && !entry.draining && !target.missing_since;
    if (usable && !is_assigned(id) && has_left(entry))
      free[entry.fabric_domain].push_back(&entry);
  }
  return free;
}

std::size_t replica_planner::wanted_groups(const planning_view& view,
                                           const model_profile& model) const {
  double shares = 0;
  for (const model_profile& each : view.engine.models)
    shares += each.share;
  const double instances = static_cast<double>(most_instances_) * (1 - spare_part);
  const double groups = instances * model.share / shares / static_cast<double>(model.size);
  return std::max<std::size_t>(1, static_cast<std::size_t>(groups + 0.5));
}

std::size_t replica_planner::live_groups(const std::string& model) const {
  return static_cast<std::size_t>(
      std::count_if(formations_.begin(), formations_.end(), [&](const formation& group) {
        // One that ends counts until its members are free: they still hold the
        // weights, so it is best formed again from them.
        return group.model == model;
      }));
}

int replica_planner::join_cost(const target_entry& entry, const std::string& model) const {
  const auto known = memory_.find(entry.id);
  if (known != memory_.end() && known->second.last_model == model)
    return cost_in_memory;
  const bool staged =
      std::find(entry.staged.begin(), entry.staged.end(), model) != entry.staged.end();
  if (staged)
    return cost_staged;
  return entry.staged.empty() ? cost_load : cost_load_over_staged;
}

std::size_t replica_planner::reserve_of(const std::string& domain,
                                        const planning_view& view) const {
  const auto size = std::count_if(view.targets.begin(), view.targets.end(), [&](const auto& each) {
    return each.second.entry.service == service_ && each.second.entry.fabric_domain == domain;
  });
  // A small domain would otherwise hold no group at all.
  return std::min(domain_reserve, static_cast<std::size_t>(size) / 5);
}

bool replica_planner::may_load(const planning_view& view) {
  return !view.traffic_has_begun || loads_.take(view.engine.loads_per_second);
}

bool replica_planner::form_one(const planning_view& view, const model_profile& model,
                               std::vector<replica_order>& orders) {
  std::vector<const target_entry*> best;
  int best_cost = 0;
  std::size_t best_free = 0;
  for (auto& [domain, free] : free_by_domain(view)) {
    if (free.size() < model.size)
      continue;
    std::stable_sort(free.begin(), free.end(), [&](const auto* left, const auto* right) {
      return join_cost(*left, model.name) < join_cost(*right, model.name);
    });
    int cost = 0;
    for (std::size_t i = 0; i < model.size; ++i)
      cost += join_cost(*free[i], model.name);
    const bool keeps_weights = join_cost(*free.front(), model.name) < cost_load;
    if (!keeps_weights && free.size() < model.size + reserve_of(domain, view))
      continue;
    if (!best.empty() && std::tie(cost, best_free) >= std::make_tuple(best_cost, free.size()))
      continue;
    best.assign(free.begin(), free.begin() + static_cast<std::ptrdiff_t>(model.size));
    best_cost = cost;
    best_free = free.size();
  }
  if (best.empty())
    return false;
  for (const target_entry* entry : best) {
    if (join_cost(*entry, model.name) >= cost_load && !may_load(view))
      return false;
  }
  formation group;
  group.epoch = next_epoch_++;
  group.group = "g" + std::to_string(group.epoch);
  group.model = model.name;
  group.fabric_domain = best.front()->fabric_domain;
  group.phase_since = time_.now();
  std::vector<std::string> ids;
  for (const target_entry* entry : best) {
    group.members.push_back({entry->id, entry->started_at_ms, false});
    ids.push_back(entry->id);
  }
  for (const target_entry* entry : best) {
    const bool loads = join_cost(*entry, model.name) >= cost_load;
    memory_[entry->id].last_model = model.name;
    order(orders, {order_kind::join, entry->id, entry->address, group.group, group.epoch,
                   model.name, ids, loads, "the group forms"});
  }
  formations_.push_back(std::move(group));
  return true;
}

void replica_planner::form_missing(const planning_view& view, std::vector<replica_order>& orders) {
  std::vector<const model_profile*> models;
  for (const model_profile& model : view.engine.models)
    models.push_back(&model);
  const auto supply = [&](const model_profile* model) {
    return static_cast<double>(live_groups(model->name)) /
           static_cast<double>(wanted_groups(view, *model));
  };
  for (;;) {
    std::stable_sort(models.begin(), models.end(), [&](const auto* left, const auto* right) {
      return supply(left) < supply(right);
    });
    const bool formed = std::any_of(models.begin(), models.end(), [&](const model_profile* model) {
      return supply(model) < 1 && form_one(view, *model, orders);
    });
    if (!formed)
      return;
  }
}

/// How many spares of a domain should hold each model's weights: as many as
/// the domain's largest group of it loses in a pair of failures, most for the
/// models with the most instances at stake.
std::map<std::string, std::size_t> replica_planner::wanted_spares(const std::string& domain,
                                                                  std::size_t spares,
                                                                  const planning_view& view) const {
  std::map<std::string, std::size_t> at_stake;
  for (const formation& group : formations_) {
    if (group.fabric_domain == domain)
      at_stake[group.model] += group.members.size();
  }
  if (at_stake.empty()) {
    for (const model_profile& model : view.engine.models)
      at_stake[model.name] = model.size;
  }
  std::map<std::string, std::size_t> wanted;
  for (std::size_t given = 0; given < spares; ++given) {
    const auto neediest = std::max_element(
        at_stake.begin(), at_stake.end(), [&](const auto& left, const auto& right) {
          return left.second * (wanted[right.first] + 1) < right.second * (wanted[left.first] + 1);
        });
    ++wanted[neediest->first];
  }
  return wanted;
}

void replica_planner::stage_spares(const planning_view& view, std::vector<replica_order>& orders) {
  for (const auto& [domain, free] : free_by_domain(view)) {
    std::map<std::string, std::size_t> missing = wanted_spares(domain, free.size(), view);
    std::vector<const target_entry*> useless;
    for (const target_entry* entry : free) {
      const auto useful = std::find_if(entry->staged.begin(), entry->staged.end(),
                                       [&](const auto& model) { return missing[model] > 0; });
      if (useful != entry->staged.end())
        --missing[*useful];
      else
        useless.push_back(entry);
    }
    // Staging replaces what the host holds, so bare hosts go first.
    std::stable_sort(useless.begin(), useless.end(), [](const auto* left, const auto* right) {
      return left->staged.size() < right->staged.size();
    });
    auto next = useless.begin();
    for (const auto& [model, count] : missing) {
      for (std::size_t i = 0; i < count && next != useless.end(); ++i, ++next) {
        const target_entry& entry = **next;
        const bool due = may_order(entry.id, order_kind::stage, 0) && may_load(view);
        if (due)
          order(orders, {order_kind::stage,
                         entry.id,
                         entry.address,
                         "",
                         0,
                         model,
                         {},
                         true,
                         "a spare of the domain"});
      }
    }
  }
}

bool replica_planner::may_order(const std::string& id, order_kind kind, std::uint64_t epoch) {
  const auto& pending = memory_[id].pending;
  if (!pending || pending->kind != kind || pending->epoch != epoch)
    return true;
  // A load in progress shows only at its end.
  const auto patience = kind == order_kind::stage && pending->answered
                            ? std::chrono::nanoseconds(std::chrono::seconds(30))
                            : std::chrono::nanoseconds(order_repeat);
  return time_.now() - pending->sent_at >= patience;
}

void replica_planner::order(std::vector<replica_order>& orders, replica_order wanted) {
  if (!may_order(wanted.target, wanted.kind, wanted.epoch))
    return;
  memory_[wanted.target].pending = pending_order{wanted.kind, wanted.epoch, time_.now(), false};
  orders.push_back(std::move(wanted));
}

void replica_planner::take_result(const replica_order& order, order_result result) {
  const auto found = memory_.find(order.target);
  if (found == memory_.end())
    return;
  instance_memory& known = found->second;
  const bool accepted = result == order_result::begun || result == order_result::done;
  if (known.pending && known.pending->kind == order.kind && known.pending->epoch == order.epoch)
    known.pending->answered = accepted;
  if (order.kind == order_kind::leave && accepted)
    known.left.insert(order.epoch);
}

} // namespace camphorlug::replicas
