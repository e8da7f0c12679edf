#include "camphorlug/groups/domain_placement.h"

#include "camphorlug/groups/free_instances.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace camphorlug::groups {

/// With `favour = "utilisation"` one group in so many may be rolled to another
/// version at the same time even if too few are left meanwhile.
static constexpr std::size_t groups_per_roll = 10;

namespace {

/// A group with the ranks whose instance has to be replaced.
struct broken_group {
  const pool_group* group = nullptr;
  std::vector<std::size_t> missing;
};

/// One planning pass over a pool.
class planning_pass {
public:
  explicit planning_pass(const pool_state& pool) : pool_(pool), free_(pool) {
    by_id_.reserve(pool.instances.size());
    for (const pool_instance& each : pool.instances)
      by_id_.emplace(each.id, &each);
  }

  std::vector<placement_step> run() {
    finish_draining();
    find_broken();
    repair_with_free_instances();
    repair_from_other_survivors();
    form_required();
    prepare_for_leaving();
    form_further();
    roll_versions();
    shrink();
    return std::move(steps_);
  }

private:
  instance_condition condition(const std::string& instance) const {
    const auto found = by_id_.find(instance);
    return found == by_id_.end() ? instance_condition::lost : found->second->condition;
  }

  bool is_outdated(const group_record& record) const {
    return record.version != pool_.spec.version || record.model != pool_.spec.name ||
           record.members.size() != pool_.spec.span;
  }

  std::vector<std::size_t> missing_ranks(const group_record& record) const {
    std::vector<std::size_t> ranks;
    for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
      const instance_condition seen = condition(record.members[rank].instance);
      // A group that does not serve yet need not begin with a leaving member.
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
      free_if_present(standby.instance.instance);
  }

  void free_if_present(const std::string& instance) {
    if (condition(instance) == instance_condition::present)
      free_.add(*by_id_.at(instance));
  }

  void finish_draining() {
    for (const pool_group& group : pool_.groups) {
      if (group.record.state != group_state::draining)
        continue;
      const bool is_broken = !missing_ranks(group.record).empty();
      if (!group.drained && !is_broken)
        continue;
      if (!is_broken && group.record.members.size() == pool_.spec.span && within_limit()) {
        add_step(step_kind::reload, group.record, "drained; loads version " + pool_.spec.version);
        ++whole_;
        continue;
      }
      dissolve(group, is_broken ? "lost a member while draining" : "drained");
    }
  }

  bool within_limit() const {
    const std::size_t limit = pool_.spec.max_replicas;
    if (limit == 0)
      return true;
    const auto counted = static_cast<std::size_t>(
        std::count_if(pool_.groups.begin(), pool_.groups.end(), [](const pool_group& group) {
          return group.record.state == group_state::loading ||
                 group.record.state == group_state::serving;
        }));
    return counted + whole_ < limit;
  }

  void find_broken() {
    for (const pool_group& group : pool_.groups) {
      if (group.record.state != group_state::loading && group.record.state != group_state::serving)
        continue;
      std::vector<std::size_t> missing = missing_ranks(group.record);
      if (missing.empty()) {
        ++whole_;
        serving_ += group.record.state == group_state::serving ? 1 : 0;
        continue;
      }
      if (is_outdated(group.record)) {
        dissolve(group, "it is broken and its version is outdated");
        continue;
      }
      broken_.push_back({&group, std::move(missing)});
    }
    // The fewest loads first, so that groups come back one by one.
    std::stable_sort(broken_.begin(), broken_.end(), [](const auto& left, const auto& right) {
      return left.missing.size() < right.missing.size();
    });
  }

  void replace(const broken_group& broken, std::string reason) {
    const group_record& record = broken.group->record;
    add_step(step_kind::replace, record, std::move(reason));
    steps_.back().assignments = free_.take(record.fabric_domain, broken.missing, record.version);
    ++whole_;
  }

  void repair_with_free_instances() {
    std::vector<broken_group> left;
    for (broken_group& broken : broken_) {
      if (free_.count(broken.group->record.fabric_domain) < broken.missing.size()) {
        left.push_back(std::move(broken));
        continue;
      }
      replace(broken, "a member was lost; a free instance of the domain takes its place");
    }
    broken_ = std::move(left);
  }

  std::size_t survivors(const broken_group& broken) const {
    std::size_t count = 0;
    for (const targets::group_member& member : broken.group->record.members)
      count += condition(member.instance) == instance_condition::present ? 1 : 0;
    return count;
  }

  /// The group of the same domain that is furthest from whole, or the end.
  std::vector<broken_group>::iterator find_donor(const broken_group& receiver) {
    auto best = broken_.end();
    for (auto candidate = broken_.begin(); candidate != broken_.end(); ++candidate) {
      if (candidate->group == receiver.group ||
          candidate->group->record.fabric_domain != receiver.group->record.fabric_domain)
        continue;
      if (best == broken_.end() || candidate->missing.size() > best->missing.size())
        best = candidate;
    }
    return best;
  }

  void repair_from_other_survivors() {
    for (std::size_t i = 0; i < broken_.size();) {
      const broken_group receiver = broken_[i];
      const auto donor = find_donor(receiver);
      const std::size_t idle = free_.count(receiver.group->record.fabric_domain);
      if (donor == broken_.end() || survivors(*donor) + idle < receiver.missing.size()) {
        ++i;
        continue;
      }
      dissolve(*donor->group, "its survivors complete " + receiver.group->record.id);
      broken_.erase(donor);
      replace(receiver, "a member was lost; the survivors of another group complete it");
      std::erase_if(broken_,
                    [&receiver](const broken_group& each) { return each.group == receiver.group; });
      i = 0;
    }
  }

  /// The domain with the most free instances, among equals in the data centre
  /// with the fewest groups; empty when none has a group's worth.
  std::string best_domain() const {
    std::string best;
    for (const std::string& domain : free_.domains()) {
      if (free_.count(domain) < pool_.spec.span)
        continue;
      if (best.empty() || free_.count(domain) > free_.count(best) ||
          (free_.count(domain) == free_.count(best) &&
           groups_in(free_.data_centre(domain)) < groups_in(free_.data_centre(best))))
        best = domain;
    }
    return best;
  }

  std::size_t groups_in(const std::string& data_centre) const {
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
    step.data_centre = free_.data_centre(domain);
    step.assignments = free_.take(domain, ranks, pool_.spec.version);
    step.reason = std::move(reason);
    steps_.push_back(std::move(step));
    ++whole_;
  }

  void form_required() {
    while (whole_ < pool_.spec.replicas) {
      std::string domain = best_domain();
      if (domain.empty()) {
        if (!gather_survivors())
          return;
        continue;
      }
      form(domain, "the document asks for more groups than there are");
    }
  }

  /// Dissolves the broken groups of a domain if their survivors and its free
  /// instances make a whole group; returns whether it did.
  bool gather_survivors() {
    std::map<std::string, std::size_t> usable;
    for (const broken_group& broken : broken_)
      usable[broken.group->record.fabric_domain] += survivors(broken);
    for (const auto& [domain, count] : usable) {
      if (count + free_.count(domain) < pool_.spec.span)
        continue;
      for (const broken_group& broken : broken_) {
        if (broken.group->record.fabric_domain == domain)
          dissolve(*broken.group, "its survivors form a whole group");
      }
      std::erase_if(broken_, [&domain = domain](const broken_group& each) {
        return each.group->record.fabric_domain == domain;
      });
      return true;
    }
    return false;
  }

  void form_further() {
    while (pool_.spec.max_replicas == 0 || whole_ < pool_.spec.max_replicas) {
      const std::string domain = best_domain();
      if (domain.empty())
        return;
      form(domain, "idle instances can serve");
    }
  }

  void prepare_for_leaving() {
    for (const pool_group& group : pool_.groups) {
      const group_record& record = group.record;
      if (record.state != group_state::serving || !missing_ranks(record).empty())
        continue;
      for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
        if (condition(record.members[rank].instance) == instance_condition::leaving)
          prepare_rank(group, rank);
      }
    }
  }

  void prepare_rank(const pool_group& group, std::size_t rank) {
    const group_record& record = group.record;
    const auto standby =
        std::find_if(record.standbys.begin(), record.standbys.end(),
                     [rank](const group_standby& each) { return each.rank == rank; });
    const bool is_usable = standby != record.standbys.end() &&
                           condition(standby->instance.instance) == instance_condition::present;
    const bool is_prepared = std::find(group.prepared_ranks.begin(), group.prepared_ranks.end(),
                                       rank) != group.prepared_ranks.end();
    if (is_usable && is_prepared && !group.drained)
      return;
    if (is_usable && is_prepared) {
      add_step(step_kind::promote, record, "a member is leaving; its standby has loaded");
      steps_.back().assignments.push_back({rank, standby->instance});
      return;
    }
    if (is_usable || free_.count(record.fabric_domain) == 0)
      return;
    add_step(step_kind::prepare, record, "a member is leaving; a standby loads its shard");
    steps_.back().assignments = free_.take(record.fabric_domain, {rank}, record.version);
  }

  void roll_versions() {
    const auto is_in_change = [](const pool_group& group) {
      return group.record.state == group_state::draining ||
             group.record.state == group_state::loading;
    };
    std::size_t changing = std::count_if(pool_.groups.begin(), pool_.groups.end(), is_in_change);
    // As many at a time as serve beyond the document's number, and at least one.
    std::size_t beyond = serving_ > pool_.spec.replicas ? serving_ - pool_.spec.replicas : 1;
    if (pool_.spec.optimize_for == documents::placement_objective::utilisation)
      beyond = std::max(beyond, serving_ / groups_per_roll);
    for (const pool_group& group : pool_.groups) {
      if (changing >= beyond || !steps_.empty())
        return;
      if (group.record.state != group_state::serving || !is_outdated(group.record))
        continue;
      add_step(step_kind::drain, group.record,
               "version " + pool_.spec.version + " replaces " + group.record.version);
      ++changing;
    }
  }

  void shrink() {
    const std::size_t limit = pool_.spec.max_replicas;
    if (limit == 0 || serving_ <= limit)
      return;
    std::size_t surplus = serving_ - limit;
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
  free_instances free_;
  std::unordered_map<std::string_view, const pool_instance*> by_id_;
  std::vector<broken_group> broken_;
  std::vector<placement_step> steps_;
  std::size_t whole_ = 0;
  std::size_t serving_ = 0;
};

} // namespace

std::vector<placement_step> domain_placement::plan(const pool_state& pool) const {
  return planning_pass(pool).run();
}

} // namespace camphorlug::groups
