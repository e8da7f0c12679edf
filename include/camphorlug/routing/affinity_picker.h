#pragma once

#include "camphorlug/routing/target_picker.h"

namespace camphorlug::routing {

/// Rendezvous hashing with bounded loads: requests with a common prompt prefix
/// go to their home target, unless its load or its number of recent requests is
/// well above the mean; then they go to the less loaded of two random targets.
/// Loads are reported with a delay, while a node knows its own recent requests
/// immediately; bounding these keeps a burst from overloading one target.
class affinity_picker final : public target_picker {
public:
  std::size_t pick(std::uint64_t affinity, const std::vector<candidate>& candidates,
                   support::random_source& random) const override;
};

} // namespace camphorlug::routing
