#pragma once

#include "camphorlug/gateway/model_profile.h"

#include <cstddef>
#include <vector>

namespace camphorlug::gateway {

/// How the engines of a service work.
struct engine_profile {
  /// Requests that one group runs at once.
  std::size_t batch_slots = 1;
  /// Loads from the weight store that may begin in a second.
  double loads_per_second = 1;
  /// Loads at once beyond which each takes longer.
  std::size_t concurrent_loads = 1;
  std::vector<model_profile> models;

  /// The model of that name, or null.
  const model_profile* find(const std::string& model) const;
};

} // namespace camphorlug::gateway
