#pragma once

#include "camphorlug/groups/placement_policy.h"

namespace camphorlug::groups {

/// Keeps groups within fabric domains and repairs them with the fewest loads:
/// a free instance of the domain replaces a lost member; without one, the
/// survivors of one broken group complete another; idle instances form further
/// groups as far as the document's favoured measure lets them.
class domain_placement final : public placement_policy {
public:
  std::vector<placement_step> plan(const pool_state& pool) const override;
};

} // namespace camphorlug::groups
