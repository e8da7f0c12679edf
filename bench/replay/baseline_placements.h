#pragma once

#include "camphorlug/groups/placement_policy.h"

namespace camphorlug::replay {

/// Baseline policy that replaces a lost member with a free instance of the same domain, and
/// waits while there is none.
class in_place_placement final : public groups::placement_policy {
public:
  std::vector<groups::placement_step> plan(const groups::pool_state& pool) const override;
};

/// Baseline policy that dissolves a group that lost a member and forms new groups wherever a
/// domain has enough free instances.
class re_form_placement final : public groups::placement_policy {
public:
  std::vector<groups::placement_step> plan(const groups::pool_state& pool) const override;
};

} // namespace camphorlug::replay
