#pragma once

#include "camphorlug/gateway/engine_profile.h"

#include <optional>
#include <string>

namespace camphorlug::gateway {

/// A service that routes can point to.
struct service_spec {
  std::string name;
  /// Set when the service runs models on groups of instances.
  std::optional<engine_profile> engine;
  /// Requests a second that a cold target of the service tolerates; 0 if it tolerates any number.
  double cold_requests_per_second = 0;
};

} // namespace camphorlug::gateway
