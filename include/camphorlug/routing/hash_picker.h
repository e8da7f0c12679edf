#pragma once

#include "camphorlug/routing/target_picker.h"

namespace camphorlug::routing {

/// Picks the home target, the one with the largest rendezvous weight, regardless
/// of its load; a baseline for measurements.
class hash_picker final : public target_picker {
public:
  std::size_t pick(std::uint64_t affinity, const std::vector<candidate>& candidates,
                   support::random_source& random) const override;
};

} // namespace camphorlug::routing
