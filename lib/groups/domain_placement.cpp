#include "camphorlug/groups/domain_placement.h"

#include "camphorlug/groups/free_instances.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace camphorlug::groups {

/// With `favour = "utilisation"`, one group per this many serving groups may be
/// updated to another version at the same time, even if that leaves fewer groups
/// than the document requires.
static constexpr std::size_t serving_groups_per_update = 10;

namespace {

/// A group and the ranks whose instance has to be replaced.
struct incomplete_group {
  const pool_group* group = nullptr;
  std::vector<std::size_t> missing;
};

/// A single planning pass over a pool.
class planning_pass {
public:
  explicit planning_pass(const pool_state& pool) : pool_(pool), free_instances_(pool) {
    instances_by_id_.reserve(pool.instances.size());
    for (const pool_instance& each : pool.instances)
      instances_by_id_.emplace(each.id, &each);
  }

  std::vector<placement_step> run() {
    finish_draining_groups();
    find_incomplete_groups();
    repair_with_free_instances();
    repair_with_survivors();
    form_required_groups();
    replace_leaving_members();
    form_additional_groups();
    drain_outdated_groups();
    drain_surplus_groups();
    return std::move(steps_);
  }

private:
  instance_condition condition(const std::string& instance) const {
    const auto found = instances_by_id_.find(instance);
    return found == instances_by_id_.end() ? instance_condition::lost : found->second->condition;
  }

  bool is_outdated(const group_record& record) const {
    return record.version != pool_.spec.version || record.model != pool_.spec.name ||
           record.members.size() != pool_.spec.span;
  }

  std::vector<std::size_t> missing_ranks(const group_record& record) const {
    std::vector<std::size_t> ranks;
    for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
      const instance_condition seen = condition(record.members[rank].instance);
      // A group that does not serve yet should not start with a leaving member.
      const bool unusable =
          seen == instance_condition::lost ||
          (seen == instance_condition::leaving && record.state == group_state::loading);
      if (unusable)
        ranks.push_back(rank);
    }
    return ranks;
  }

  void add_step(step_kind kind, const group_record& record, std::string reason) {
    steps_.push_back(
        {kind, record.id, record.fabric_domain, record.data_centre, {}, std::move(reason)});
  }

  void dissolve(const pool_group& group, std::string reason) {
    add_step(step_kind::dissolve, group.record, std::move(reason));
    for (const targets::group_member& member : group.record.members)
      free_if_present(member.instance);
    for (const group_standby& standby : group.record.standbys)
      free_if_present(standby.member.instance);
  }

  void free_if_present(const std::string& instance) {
    if (condition(instance) == instance_condition::present)
      free_instances_.add(*instances_by_id_.at(instance));
  }

  void finish_draining_groups() {
    for (const pool_group& group : pool_.groups) {
      if (group.record.state != group_state::draining)
        continue;
      const bool is_incomplete = !missing_ranks(group.record).empty();
      if (!group.drained && !is_incomplete)
        continue;
      if (!is_incomplete && group.record.members.size() == pool_.spec.span &&
          is_below_replica_limit()) {
        add_step(step_kind::reload, group.record, "drained; loads version " + pool_.spec.version);
        ++complete_groups_;
        continue;
      }
      dissolve(group, is_incomplete ? "lost a member while draining" : "drained");
    }
  }

  bool is_below_replica_limit() const {
    const std::size_t limit = pool_.spec.max_replicas;
    if (limit == 0)
      return true;
    const auto active = static_cast<std::size_t>(
        std::count_if(pool_.groups.begin(), pool_.groups.end(), [](const pool_group& group) {
          return group.record.state == group_state::loading ||
                 group.record.state == group_state::serving;
        }));
    // Only reloads of this pass are counted in complete_groups_ at this point.
    return active + complete_groups_ < limit;
  }

  void find_incomplete_groups() {
    for (const pool_group& group : pool_.groups) {
      if (group.record.state != group_state::loading && group.record.state != group_state::serving)
        continue;
      std::vector<std::size_t> missing = missing_ranks(group.record);
      if (missing.empty()) {
        ++complete_groups_;
        serving_groups_ += group.record.state == group_state::serving ? 1 : 0;
        continue;
      }
      if (is_outdated(group.record)) {
        dissolve(group, "it is broken and its version is outdated");
        continue;
      }
      incomplete_.push_back({&group, std::move(missing)});
    }
    // Repair the groups that need the fewest loads first, so that as many groups as
    // possible serve again soon.
    std::stable_sort(incomplete_.begin(), incomplete_.end(),
                     [](const auto& left, const auto& right) {
                       return left.missing.size() < right.missing.size();
                     });
  }

  void replace(const incomplete_group& incomplete, std::string reason) {
    const group_record& record = incomplete.group->record;
    add_step(step_kind::replace, record, std::move(reason));
    steps_.back().assignments =
        free_instances_.assign(record.fabric_domain, incomplete.missing, record.version);
    ++complete_groups_;
  }

  void repair_with_free_instances() {
    std::vector<incomplete_group> unrepaired;
    for (incomplete_group& incomplete : incomplete_) {
      if (free_instances_.count(incomplete.group->record.fabric_domain) <
          incomplete.missing.size()) {
        unrepaired.push_back(std::move(incomplete));
        continue;
      }
      replace(incomplete, "a member was lost; a free instance of the domain takes its place");
    }
    incomplete_ = std::move(unrepaired);
  }

  /// Members of the group whose instance is present.
  std::size_t survivors(const incomplete_group& incomplete) const {
    std::size_t count = 0;
    for (const targets::group_member& member : incomplete.group->record.members)
      count += condition(member.instance) == instance_condition::present ? 1 : 0;
    return count;
  }

  /// Returns the other incomplete group of the same domain that misses the most
  /// members, or the end iterator.
  std::vector<incomplete_group>::iterator find_donor(const incomplete_group& receiver) {
    auto best = incomplete_.end();
    for (auto candidate = incomplete_.begin(); candidate != incomplete_.end(); ++candidate) {
      if (candidate->group == receiver.group ||
          candidate->group->record.fabric_domain != receiver.group->record.fabric_domain)
        continue;
      if (best == incomplete_.end() || candidate->missing.size() > best->missing.size())
        best = candidate;
    }
    return best;
  }

  void repair_with_survivors() {
    for (std::size_t i = 0; i < incomplete_.size();) {
      const incomplete_group receiver = incomplete_[i];
      const auto donor = find_donor(receiver);
      const std::size_t free_count = free_instances_.count(receiver.group->record.fabric_domain);
      if (donor == incomplete_.end() || survivors(*donor) + free_count < receiver.missing.size()) {
        ++i;
        continue;
      }
      dissolve(*donor->group, "its survivors complete " + receiver.group->record.id);
      incomplete_.erase(donor);
      replace(receiver, "a member was lost; the survivors of another group complete it");
      std::erase_if(incomplete_, [&receiver](const incomplete_group& each) {
        return each.group == receiver.group;
      });
      i = 0;
    }
  }

  /// Returns the domain with the most free instances; ties go to the data centre
  /// with the fewest groups. Empty if no domain has enough for a group.
  std::string best_domain() const {
    std::string best;
    for (const std::string& domain : free_instances_.domains()) {
      if (free_instances_.count(domain) < pool_.spec.span)
        continue;
      if (best.empty() || free_instances_.count(domain) > free_instances_.count(best) ||
          (free_instances_.count(domain) == free_instances_.count(best) &&
           group_count_in(free_instances_.data_centre(domain)) <
               group_count_in(free_instances_.data_centre(best))))
        best = domain;
    }
    return best;
  }

  std::size_t group_count_in(const std::string& data_centre) const {
    return std::count_if(pool_.groups.begin(), pool_.groups.end(), [&](const pool_group& group) {
      return group.record.data_centre == data_centre;
    });
  }

  void form(const std::string& domain, std::string reason) {
    std::vector<std::size_t> ranks(pool_.spec.span);
    std::iota(ranks.begin(), ranks.end(), 0);
    placement_step step;
    step.kind = step_kind::form;
    step.fabric_domain = domain;
    step.data_centre = free_instances_.data_centre(domain);
    step.assignments = free_instances_.assign(domain, ranks, pool_.spec.version);
    step.reason = std::move(reason);
    steps_.push_back(std::move(step));
    ++complete_groups_;
  }

  void form_required_groups() {
    while (complete_groups_ < pool_.spec.replicas) {
      std::string domain = best_domain();
      if (domain.empty()) {
        if (!dissolve_for_new_group())
          return;
        continue;
      }
      form(domain, "the document asks for more groups than there are");
    }
  }

  /// Dissolves the incomplete groups of one domain if their surviving members and
  /// the domain's free instances suffice for a complete group. Returns whether it
  /// did.
  bool dissolve_for_new_group() {
    std::map<std::string, std::size_t> usable;
    for (const incomplete_group& incomplete : incomplete_)
      usable[incomplete.group->record.fabric_domain] += survivors(incomplete);
    for (const auto& [domain, count] : usable) {
      if (count + free_instances_.count(domain) < pool_.spec.span)
        continue;
      for (const incomplete_group& incomplete : incomplete_) {
        if (incomplete.group->record.fabric_domain == domain)
          dissolve(*incomplete.group, "its survivors form a whole group");
      }
      std::erase_if(incomplete_, [&domain = domain](const incomplete_group& each) {
        return each.group->record.fabric_domain == domain;
      });
      return true;
    }
    return false;
  }

  void form_additional_groups() {
    while (pool_.spec.max_replicas == 0 || complete_groups_ < pool_.spec.max_replicas) {
      const std::string domain = best_domain();
      if (domain.empty())
        return;
      form(domain, "idle instances can serve");
    }
  }

  void replace_leaving_members() {
    for (const pool_group& group : pool_.groups) {
      const group_record& record = group.record;
      if (record.state != group_state::serving || !missing_ranks(record).empty())
        continue;
      for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
        if (condition(record.members[rank].instance) == instance_condition::leaving)
          replace_leaving_member(group, rank);
      }
    }
  }

  void replace_leaving_member(const pool_group& group, std::size_t rank) {
    const group_record& record = group.record;
    const auto standby =
        std::find_if(record.standbys.begin(), record.standbys.end(),
                     [rank](const group_standby& each) { return each.rank == rank; });
    const bool is_usable = standby != record.standbys.end() &&
                           condition(standby->member.instance) == instance_condition::present;
    const bool is_prepared = std::find(group.prepared_ranks.begin(), group.prepared_ranks.end(),
                                       rank) != group.prepared_ranks.end();
    if (is_usable && is_prepared && !group.drained)
      return;
    if (is_usable && is_prepared) {
      add_step(step_kind::promote, record, "a member is leaving; its standby has loaded");
      steps_.back().assignments.push_back({rank, standby->member});
      return;
    }
    if (is_usable || free_instances_.count(record.fabric_domain) == 0)
      return;
    add_step(step_kind::prepare, record, "a member is leaving; a standby loads its shard");
    steps_.back().assignments =
        free_instances_.assign(record.fabric_domain, {rank}, record.version);
  }

  void drain_outdated_groups() {
    const auto is_changing = [](const pool_group& group) {
      return group.record.state == group_state::draining ||
             group.record.state == group_state::loading;
    };
    std::size_t changing = std::count_if(pool_.groups.begin(), pool_.groups.end(), is_changing);
    // Update as many groups at a time as serve beyond the document's `replicas`, and
    // at least one.
    std::size_t max_changing =
        serving_groups_ > pool_.spec.replicas ? serving_groups_ - pool_.spec.replicas : 1;
    if (pool_.spec.optimize_for == documents::placement_objective::utilisation)
      max_changing = std::max(max_changing, serving_groups_ / serving_groups_per_update);
    for (const pool_group& group : pool_.groups) {
      if (changing >= max_changing || !steps_.empty())
        return;
      if (group.record.state != group_state::serving || !is_outdated(group.record))
        continue;
      add_step(step_kind::drain, group.record,
               "version " + pool_.spec.version + " replaces " + group.record.version);
      ++changing;
    }
  }

  void drain_surplus_groups() {
    const std::size_t limit = pool_.spec.max_replicas;
    if (limit == 0 || serving_groups_ <= limit)
      return;
    std::size_t surplus = serving_groups_ - limit;
    for (const pool_group& group : pool_.groups) {
      if (surplus == 0)
        return;
      if (group.record.state != group_state::serving)
        continue;
      add_step(step_kind::drain, group.record, "the document allows fewer groups");
      --surplus;
    }
  }

  const pool_state& pool_;
  free_instances free_instances_;
  std::unordered_map<std::string_view, const pool_instance*> instances_by_id_;
  std::vector<incomplete_group> incomplete_;
  std::vector<placement_step> steps_;
  /// Groups that are complete or will be after the steps so far.
  std::size_t complete_groups_ = 0;
  std::size_t serving_groups_ = 0;
};

} // namespace

std::vector<placement_step> domain_placement::plan(const pool_state& pool) const {
  return planning_pass(pool).run();
}

} // namespace camphorlug::groups
