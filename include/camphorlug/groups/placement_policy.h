#pragma once

#include "camphorlug/groups/placement_step.h"
#include "camphorlug/groups/pool_state.h"

#include <vector>

namespace camphorlug::groups {

/// Decides which instances form which groups of a pool.
class placement_policy {
public:
  placement_policy() = default;
  placement_policy(const placement_policy&) = delete;
  placement_policy& operator=(const placement_policy&) = delete;
  virtual ~placement_policy() = default;

  /// Returns the changes to make now, in the order in which to write them. A step
  /// may use instances that an earlier step frees.
  virtual std::vector<placement_step> plan(const pool_state& pool) const = 0;
};

} // namespace camphorlug::groups
