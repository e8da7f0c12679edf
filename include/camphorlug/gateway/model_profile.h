#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace camphorlug::gateway {

/// A model that an engine service serves in groups of instances.
struct model_profile {
  std::string name;
  /// Instances of one group.
  std::size_t size = 1;
  /// Share of the service's work that is expected at the start.
  double share = 1;
  /// Factor on all of a group's times.
  double time_factor = 1;
  std::chrono::milliseconds load_time{0};
  /// Time to load weights that are staged on the host.
  std::chrono::milliseconds staged_load_time{0};
};

} // namespace camphorlug::gateway
