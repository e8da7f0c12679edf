#pragma once

#include "camphorlug/routing/target_picker.h"

namespace camphorlug::routing {

/// Picks the target with the least load; a baseline for measurements.
class least_loaded_picker final : public target_picker {
public:
  std::size_t pick(std::uint64_t affinity, const std::vector<candidate>& candidates,
                   support::random_source& random) const override;
};

} // namespace camphorlug::routing
