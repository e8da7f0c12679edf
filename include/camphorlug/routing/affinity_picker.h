#pragma once

#include "camphorlug/routing/target_picker.h"

namespace camphorlug::routing {

/// Rendezvous hashing with bounded load: requests with a common prefix go to
/// their home targets in order of rendezvous, as long as those have less than
/// a bound over the mean load; otherwise to the better of two random targets.
class affinity_picker final : public target_picker {
public:
  std::size_t pick(std::uint64_t affinity, const std::vector<candidate>& candidates,
                   support::random_source& random) const override;
};

} // namespace camphorlug::routing
