#pragma once

#include "camphorlug/gateway/home_regions.h"

#include <string>

namespace camphorlug::gateway {

/// Identifies the targets that can serve the same requests.
struct target_pool {
  std::string service;
  /// Empty for a service without groups.
  std::string model;
  /// Regions outside of which no target belongs to the pool.
  home_regions homes{};

  auto operator<=>(const target_pool&) const = default;
};

} // namespace camphorlug::gateway
