#include "camphorlug/groups/free_instances.h"

#include <algorithm>
#include <cassert>

namespace camphorlug::groups {

free_instances::free_instances(const pool_state& pool) {
  for (const pool_instance& each : pool.instances) {
    if (each.condition == instance_condition::present && each.group.empty())
      add(each);
  }
}

std::size_t free_instances::count(const std::string& fabric_domain) const {
  const auto found = by_domain_.find(fabric_domain);
  return found == by_domain_.end() ? 0 : found->second.size();
}

std::vector<std::string> free_instances::domains() const {
  std::vector<std::string> names;
  for (const auto& [domain, instances] : by_domain_) {
    if (!instances.empty())
      names.push_back(domain);
  }
  return names;
}

std::string free_instances::data_centre(const std::string& fabric_domain) const {
  return by_domain_.at(fabric_domain).front().data_centre;
}

void free_instances::add(const pool_instance& instance) {
  by_domain_[instance.fabric_domain].push_back(instance);
}

static bool holds_shard(const pool_instance& instance, std::size_t rank,
                        const std::string& version) {
  return instance.shard && instance.shard->rank == rank && instance.shard->version == version;
}

std::vector<rank_assignment> free_instances::assign(const std::string& fabric_domain,
                                                    const std::vector<std::size_t>& ranks,
                                                    const std::string& version) {
  std::vector<pool_instance>& available = by_domain_[fabric_domain];
  assert(available.size() >= ranks.size() && "the domain must have enough free instances");
  std::vector<rank_assignment> assignments;
  std::vector<std::size_t> unmatched;
  for (const std::size_t rank : ranks) {
    const auto match =
        std::find_if(available.begin(), available.end(), [&](const pool_instance& instance) {
          return holds_shard(instance, rank, version);
        });
    if (match == available.end()) {
      unmatched.push_back(rank);
      continue;
    }
    assignments.push_back({rank, {match->id, match->address}});
    available.erase(match);
  }
  for (const std::size_t rank : unmatched) {
    assignments.push_back({rank, {available.front().id, available.front().address}});
    available.erase(available.begin());
  }
  std::sort(assignments.begin(), assignments.end(),
            [](const auto& left, const auto& right) { return left.rank < right.rank; });
  return assignments;
}

} // namespace camphorlug::groups
