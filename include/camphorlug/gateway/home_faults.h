#pragma once

#include "camphorlug/gateway/home_regions.h"
#include "camphorlug/gateway/routing_config.h"

#include <string>
#include <vector>

namespace camphorlug::gateway {

/// A fault in the homes of a configuration. What it concerns is not served.
struct home_fault {
  /// The route, or the organisation.
  std::string subject;
  std::string reason;

  bool operator==(const home_fault&) const = default;
};

/// Finds homes that no data centre lies in, and routes and organisations with no home in common.
std::vector<home_fault> find_home_faults(const routing_config& config, const region_map& regions);

} // namespace camphorlug::gateway
