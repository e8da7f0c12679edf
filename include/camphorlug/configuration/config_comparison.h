#pragma once

#include "camphorlug/gateway/routing_config.h"

#include <string>
#include <vector>

namespace camphorlug::configuration {

/// A difference between two versions of the configuration.
struct config_change {
  /// The entry, such as `route chat`.
  std::string entry;
  /// What differs.
  std::string difference;
  /// What becomes of requests in progress and of callers; empty if they don't notice.
  std::string effect;
};

/// Returns how `after` differs from `before`, in the order of limits, services, routes and
/// organisations. Keys are counted, never shown. Performs no I/O.
std::vector<config_change> compare_configs(const gateway::routing_config& before,
                                           const gateway::routing_config& after);

} // namespace camphorlug::configuration
