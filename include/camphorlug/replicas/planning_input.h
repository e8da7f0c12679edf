#pragma once

#include "camphorlug/gateway/engine_profile.h"
#include "camphorlug/gateway/target_registry.h"

#include <map>
#include <string>

namespace camphorlug::replicas {

/// What a plan is made from.
struct planning_input {
  const gateway::engine_profile& engine;
  const std::map<std::string, gateway::registered_target>& targets;
  /// Loads are free and quick until then.
  bool traffic_started = false;
  /// Slots that the requests for each model need; empty until that is known.
  std::map<std::string, double> slots_needed;
};

} // namespace camphorlug::replicas
