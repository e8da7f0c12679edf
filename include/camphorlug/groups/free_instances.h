#pragma once

#include "camphorlug/groups/placement_step.h"
#include "camphorlug/groups/pool_state.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::groups {

/// Instances that can be assigned to groups, by fabric domain.
class free_instances {
public:
  /// Collects the instances of `pool` that are present and belong to no group.
  explicit free_instances(const pool_state& pool);

  std::size_t count(const std::string& fabric_domain) const;

  /// Returns the fabric domains with at least one free instance.
  std::vector<std::string> domains() const;

  /// Returns the data centre of a domain's free instances. The domain must have
  /// at least one.
  std::string data_centre(const std::string& fabric_domain) const;

  /// Adds an instance that its group has released.
  void add(const pool_instance& instance);

  /// Removes one instance for each of `ranks` and assigns it to that rank.
  /// Prefers instances that already hold the rank's shard of `version`. The
  /// domain must have at least `ranks.size()` free instances.
  std::vector<rank_assignment> assign(const std::string& fabric_domain,
                                      const std::vector<std::size_t>& ranks,
                                      const std::string& version);

private:
  std::map<std::string, std::vector<pool_instance>> by_domain_;
};

} // namespace camphorlug::groups
