#pragma once

#include "camphorlug/gateway/engine_profile.h"
#include "camphorlug/gateway/target_registry.h"

#include <map>
#include <set>
#include <string>

namespace camphorlug::replicas {

/// Input of one planning pass.
struct planning_input {
  const gateway::engine_profile& engine;
  const std::map<std::string, gateway::registered_target>& targets;
  /// Whether requests have arrived yet. Until then, weight loads are fast and not
  /// rate-limited.
  bool traffic_started = false;
  /// Slots that the requests for each model need; empty until the demand is known.
  std::map<std::string, double> slots_needed;
  /// Data centres in which no group may serve.
  std::set<std::string> evacuated_data_centres{};
};

} // namespace camphorlug::replicas
