#pragma once

#include "camphorlug/groups/placement_step.h"
#include "camphorlug/groups/pool_state.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::groups {

/// The instances that may be given to groups, by fabric domain.
class free_instances {
public:
  /// Takes the instances that are present and in no group.
  explicit free_instances(const pool_state& pool);

  std::size_t count(const std::string& fabric_domain) const;

  /// The domains that have at least one.
  std::vector<std::string> domains() const;

  /// Data centre of a domain's free instances.
  std::string data_centre(const std::string& fabric_domain) const;

  /// Makes an instance available that its group gives up.
  void add(const pool_instance& instance);

  /// Takes one for each of `ranks`, first those that hold the rank's shard of
  /// `version`. The domain must have enough.
  std::vector<rank_assignment> assign(const std::string& fabric_domain,
                                      const std::vector<std::size_t>& ranks,
                                      const std::string& version);

private:
  std::map<std::string, std::vector<pool_instance>> by_domain_;
};

} // namespace camphorlug::groups
