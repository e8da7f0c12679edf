#pragma once

#include "camphorlug/gateway/home_regions.h"

#include <optional>
#include <string>

namespace camphorlug::gateway {

/// Organisation and priority that belong to a caller's API key.
struct organisation_key {
  std::string organisation;
  /// Overrides the priority of the route if present.
  std::optional<int> priority;
  home_regions homes{};
};

} // namespace camphorlug::gateway
