#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace camphorlug::gateway {

/// A model that an engine service serves in groups of instances.
struct model_profile {
  std::string name;
  /// Number of instances in one group.
  std::size_t size = 1;
  /// Expected initial share of the service's load.
  double share = 1;
  /// Multiplier for the durations of a group.
  double time_factor = 1;
  /// Time to load the weights from the weight store.
  std::chrono::milliseconds load_time{0};
  /// Time to load weights that are already staged on the host.
  std::chrono::milliseconds staged_load_time{0};
};

} // namespace camphorlug::gateway
