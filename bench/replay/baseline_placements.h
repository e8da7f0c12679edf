#pragma once

#include "camphorlug/groups/placement_policy.h"

namespace camphorlug::replay {

/// Replaces a lost member from the free instances of its domain, else waits.
class in_place_placement final : public groups::placement_policy {
public:
  std::vector<groups::placement_step> plan(const groups::pool_state& pool) const override;
};

/// Dissolves a group that lost a member and forms a new one where it can.
class re_form_placement final : public groups::placement_policy {
public:
  std::vector<groups::placement_step> plan(const groups::pool_state& pool) const override;
};

} // namespace camphorlug::replay
