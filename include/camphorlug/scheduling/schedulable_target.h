#pragma once

#include "camphorlug/gateway/chosen_target.h"

#include <optional>
#include <string>

namespace camphorlug::scheduling {

/// A target whose slots a scheduler assigns.
struct schedulable_target {
  gateway::chosen_target target;
  std::string data_centre;
  /// Requests a second that it tolerates now, if it has just started and is cold.
  std::optional<double> max_starts_per_second;
};

} // namespace camphorlug::scheduling
