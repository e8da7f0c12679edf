#include "camphorlug/replicas/replica_planner.h"

#include "camphorlug/support/log.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace camphorlug::replicas {

using gateway::membership_state;
using gateway::model_profile;
using gateway::registered_target;
using gateway::target_entry;
using std::chrono::milliseconds;

/// Epochs and orders of one holding of the lease; the numbers of the next one are all larger.
static constexpr std::uint64_t numbers_per_term = 1'000'000;
/// An order without visible effect is given again after this.
static constexpr milliseconds order_repeat{1200};
/// A group whose head does not open in this time is given up.
static constexpr milliseconds longest_opening{8000};
/// The same for a group that does not become ready; loads slow each other down.
static constexpr milliseconds longest_load{40'000};
/// How long a head may finish its requests once a member drains.
static constexpr milliseconds longest_closing{9000};
/// Members that cannot be reached for this long keep nobody waiting.
static constexpr milliseconds longest_dissolving{3000};
/// Part of the instances that is kept out of groups to repair others.
static constexpr double spare_part = 0.2;
/// Bounds of the part of a group's slots that its requests fill on average.
/// Below the first, more groups serve nobody better; beyond the second, waiting
/// grows fast.
static constexpr double least_fill = 0.25;
static constexpr double most_fill = 0.75;
/// Groups of a model that exist whatever the demand, so that one may fail.
static constexpr std::size_t least_groups = 2;
/// Free instances that stay in each fabric domain when a group is formed there
/// from instances without its weights: a lost member is replaced from its own
/// domain, and failures come in pairs.
static constexpr std::size_t domain_reserve = 2;
/// While a model lacks groups that cannot be formed yet, others get no further
/// ones beyond this part of what they want: small groups would use up the
/// instances that a large one waits for.
static constexpr double supply_before_neediest = 0.75;
/// A model gives up a group for another one whose supply is lower by this much.
static constexpr double supply_gap = 0.25;
/// Time for the last change to show before another group is given up.
static constexpr milliseconds give_up_interval{2500};
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

void replica_planner::begin_term(std::uint64_t term, bool first) {
  next_fence_ = term * numbers_per_term + 1;
  next_epoch_ = term * numbers_per_term + 1;
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
  warm_spares(view, orders);
  stage_models(view, orders);
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
    if (is_silent(member.id)) {
      enter(group, formation_phase::dissolving, member.id + " does not answer");
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
    else if (in_phase > longest_opening)
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
  if (!model || time_.now() - group.phase_since > longest_load) {
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
  if (all_ready && group.only_warms)
    enter(group, formation_phase::dissolving, "the spare holds the model");
  else if (all_ready)
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
    if (is_silent(member.id))
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
    if (entry.service != service_ || is_assigned(id) || has_left(entry) || is_silent(id))
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
    const bool usable =
        entry.service == service_ && !entry.draining && !target.missing_since && !is_silent(id);
    if (usable && !is_assigned(id) && has_left(entry))
      free[entry.fabric_domain].push_back(&entry);
  }
  return free;
}

/// Instances that stay in groups: the others repair them.
double replica_planner::planned_instances(const planning_view& view) const {
  std::size_t usable = 0;
  for (const auto& [id, target] : view.targets)
    usable += target.entry.service == service_ && !target.entry.draining && !is_silent(id) ? 1 : 0;
  // Before traffic the instances appear one by one; most of them are to come.
  const std::size_t counted = view.traffic_has_begun ? usable : most_instances_;
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

std::size_t replica_planner::live_groups(const std::string& model) const {
  return static_cast<std::size_t>(
      std::count_if(formations_.begin(), formations_.end(), [&](const formation& group) {
        // One that ends counts until its members are free: they still hold the
        // weights, so it is best formed again from them.
        return group.model == model && !group.only_warms;
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

bool replica_planner::may_load(const planning_view& view) {
  if (!view.traffic_has_begun)
    return true;
  return loads_in_progress() < view.engine.concurrent_loads &&
         loads_.take(view.engine.loads_per_second);
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
  formation group = make_formation(model, best);
  order_joins(group, best, "the group forms", orders);
  formations_.push_back(std::move(group));
  return true;
}

formation replica_planner::make_formation(const model_profile& model,
                                          const std::vector<const target_entry*>& members) {
  formation group;
  group.epoch = next_epoch_++;
  group.group = "g" + std::to_string(group.epoch);
  group.model = model.name;
  group.fabric_domain = members.front()->fabric_domain;
  group.phase_since = time_.now();
  for (const target_entry* entry : members)
    group.members.push_back({entry->id, entry->started_at_ms, false});
  return group;
}

void replica_planner::order_joins(const formation& group,
                                  const std::vector<const target_entry*>& members,
                                  const std::string& reason, std::vector<replica_order>& orders) {
  std::vector<std::string> ids;
  for (const formation_member& member : group.members)
    ids.push_back(member.id);
  for (const target_entry* entry : members) {
    const bool loads = join_cost(*entry, group.model) >= cost_load;
    memory_[entry->id].last_model = group.model;
    order(orders, {order_kind::join, entry->id, entry->address, group.group, group.epoch,
                   group.model, ids, loads, reason});
  }
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
    const double enough = supply(models.front()) < 1 ? supply_before_neediest : 1;
    const bool formed = std::any_of(models.begin(), models.end(), [&](const model_profile* model) {
      const double limit = model == models.front() ? 1 : enough;
      return supply(model) < limit && form_one(view, *model, orders);
    });
    if (!formed)
      break;
  }
  const model_profile* neediest = models.front();
  const model_profile* richest = models.back();
  const double left = supply(richest) - 1.0 / static_cast<double>(wanted_groups(view, *richest));
  if (view.traffic_has_begun && supply(neediest) < 1 && left > supply(neediest) &&
      supply(richest) - supply(neediest) > supply_gap)
    give_up_group(view, *richest, *neediest);
}

/// Ends a group of `richest` in the domain where the fewest have to end for a
/// group of `neediest` that forms without loading.
void replica_planner::give_up_group(const planning_view& view, const model_profile& richest,
                                    const model_profile& neediest) {
  const bool one_ends =
      std::any_of(formations_.begin(), formations_.end(),
                  [](const formation& group) { return group.phase == formation_phase::closing; });
  if (one_ends || time_.now() - gave_up_at_ < give_up_interval)
    return;
  const auto joins_quickly = [&](const target_entry& entry) {
    return join_cost(entry, neediest.name) < cost_load;
  };
  std::map<std::string, std::size_t> free;
  for (const auto& [domain, entries] : free_by_domain(view)) {
    for (const target_entry* entry : entries)
      free[domain] += joins_quickly(*entry) ? 1 : 0;
  }
  std::map<std::string, std::size_t> reachable = free;
  std::map<std::string, formation*> candidates;
  for (formation& group : formations_) {
    if (group.model != richest.name || group.phase != formation_phase::serving)
      continue;
    std::size_t quick = 0;
    for (const formation_member& member : group.members)
      quick += joins_quickly(find(view, member.id)->entry) ? 1 : 0;
    reachable[group.fabric_domain] += quick;
    if (quick > 0)
      candidates[group.fabric_domain] = &group;
  }
  formation* best = nullptr;
  for (const auto& [domain, group] : candidates) {
    const bool enough = reachable[domain] >= neediest.size;
    if (enough && (!best || free[domain] > free[best->fabric_domain]))
      best = group;
  }
  if (!best)
    return;
  gave_up_at_ = time_.now();
  enter(*best, formation_phase::closing, "its instances are needed for " + neediest.name);
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

/// The model that an instance should have on its host beside the one in its
/// memory, so that it can join a group of either within moments.
const model_profile* replica_planner::second_model(const target_entry& entry,
                                                   const planning_view& view) const {
  const model_profile* best = nullptr;
  for (const model_profile& model : view.engine.models) {
    const int cost = join_cost(entry, model.name);
    if (cost == cost_in_memory)
      continue;
    if (cost == cost_staged)
      return nullptr;
    if (!best || model.size > best->size)
      best = &model;
  }
  return best;
}

void replica_planner::stage_models(const planning_view& view, std::vector<replica_order>& orders) {
  for (const bool spares : {true, false}) {
    for (const auto& [id, target] : view.targets) {
      const target_entry& entry = target.entry;
      const bool usable =
          entry.service == service_ && !entry.draining && !target.missing_since && !is_silent(id);
      const bool settled = !entry.membership || has_left(entry) ||
                           entry.membership->state != membership_state::joining;
      if (!usable || !settled || is_assigned(id) == spares || is_loading(entry))
        continue;
      const model_profile* model = second_model(entry, view);
      if (!model || !may_order(id, order_kind::stage, 0) || !may_load(view))
        continue;
      order(orders, {order_kind::stage,
                     id,
                     entry.address,
                     "",
                     0,
                     model->name,
                     {},
                     true,
                     spares ? "a spare" : "a member may be needed elsewhere"});
    }
  }
}

bool replica_planner::is_loading(const target_entry& entry) const {
  const auto known = memory_.find(entry.id);
  return known != memory_.end() &&
         std::any_of(known->second.pending.begin(), known->second.pending.end(),
                     [&](const auto& each) { return loads(each.second); });
}

/// Before traffic, when loads are free, spares load a model as the only member
/// of a group that never opens. It stays in their memory after they leave.
void replica_planner::warm_spares(const planning_view& view, std::vector<replica_order>& orders) {
  if (view.traffic_has_begun || !first_term_)
    return;
  for (const auto& [domain, free] : free_by_domain(view)) {
    if (free.size() > reserve_of(domain, view) + 1)
      continue;
    for (const target_entry* entry : free) {
      if (!memory_[entry->id].last_model.empty())
        continue;
      const auto largest = std::max_element(
          view.engine.models.begin(), view.engine.models.end(),
          [](const auto& left, const auto& right) { return left.size < right.size; });
      formation group = make_formation(*largest, {entry});
      group.only_warms = true;
      order_joins(group, {entry}, "a spare loads a model", orders);
      formations_.push_back(std::move(group));
    }
  }
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
