#pragma once

#include "camphorlug/groups/placement_policy.h"

namespace camphorlug::groups {

/// Places each group within one fabric domain and repairs groups with as few
/// weight loads as possible. A free instance of the domain replaces a lost
/// member; if there is none, the surviving members of one incomplete group
/// complete another. Free instances that are left over form additional groups
/// up to the document's `max_replicas`.
class domain_placement final : public placement_policy {
public:
  std::vector<placement_step> plan(const pool_state& pool) const override;
};

} // namespace camphorlug::groups
