#pragma once

#include "camphorlug/routing/target_picker.h"

namespace camphorlug::routing {

/// Rendezvous hashing with bounded load: requests with a common prefix go to
/// their home target, as long as that has neither much more load nor many more
/// recent requests than the mean; otherwise to the better of two random
/// targets. The recent requests are known at once, while loads are reported
/// late, so they keep a burst from falling on one target.
class affinity_picker final : public target_picker {
public:
  std::size_t pick(std::uint64_t affinity, const std::vector<candidate>& candidates,
                   support::random_source& random) const override;
};

} // namespace camphorlug::routing
