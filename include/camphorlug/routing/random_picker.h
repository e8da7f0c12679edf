#pragma once

#include "camphorlug/routing/target_picker.h"

namespace camphorlug::routing {

/// Picks a target uniformly at random; a baseline for measurements.
class random_picker final : public target_picker {
public:
  std::size_t pick(std::uint64_t affinity, const std::vector<candidate>& candidates,
                   support::random_source& random) const override;
};

} // namespace camphorlug::routing
