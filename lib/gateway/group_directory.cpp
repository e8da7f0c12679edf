#include "camphorlug/gateway/group_directory.h"

#include <tuple>

namespace camphorlug::gateway {

namespace {

/// The members of one epoch of a group, by rank.
struct observed_group {
  const target_entry* head = nullptr;
  std::map<std::size_t, std::string> members;
  bool eligible = true;
};

} // namespace

static bool serves(membership_state state) {
  return state == membership_state::ready || state == membership_state::open;
}

static void observe(observed_group& group, const registered_target& target) {
  const group_membership& membership = *target.entry.membership;
  const bool eligible = !target.entry.draining && target.is_present() && serves(membership.state);
  // If two instances claim the same rank, one of them has an outdated member list.
  const bool is_unique = group.members.emplace(membership.rank, target.entry.id).second;
  group.eligible = group.eligible && eligible && is_unique;
  if (membership.rank == 0 && membership.state == membership_state::open)
    group.head = &target.entry;
}

void group_directory::refresh() {
  const std::uint64_t version = config_.current() ? config_.current()->version : 0;
  if (seen_revision_ == registry_.revision() && seen_config_ == version)
    return;
  seen_revision_ = registry_.revision();
  seen_config_ = version;
  ++revision_;
  by_model_.clear();
  if (!config_.current())
    return;
  std::map<std::tuple<std::string, std::string, std::uint64_t>, observed_group> observed;
  for (const auto& [id, target] : registry_.all()) {
    if (target.entry.membership)
      observe(observed[{target.entry.service, target.entry.membership->group,
                        target.entry.membership->epoch}],
              target);
  }
  for (const auto& [key, group] : observed) {
    const auto& [service, name, epoch] = key;
    const auto spec = config_.current()->services.find(service);
    if (!group.eligible || !group.head || spec == config_.current()->services.end() ||
        !spec->second.engine)
      continue;
    const model_profile* model = spec->second.engine->find(group.head->model);
    if (!model || group.members.size() != model->size)
      continue;
    serving_group complete{name, epoch, model->name, {}};
    for (const auto& [rank, id] : group.members)
      complete.members.push_back(id);
    by_model_[{service, model->name}].push_back(std::move(complete));
  }
}

const std::vector<serving_group>& group_directory::serving(const std::string& service,
                                                           const std::string& model) {
  static const std::vector<serving_group> none;
  refresh();
  const auto found = by_model_.find({service, model});
  return found == by_model_.end() ? none : found->second;
}

std::uint64_t group_directory::revision() {
  refresh();
  return revision_;
}

} // namespace camphorlug::gateway
