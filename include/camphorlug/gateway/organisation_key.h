#pragma once

#include <optional>
#include <string>

namespace camphorlug::gateway {

/// What a caller's key stands for.
struct organisation_key {
  std::string organisation;
  /// Goes before the route's priority when present.
  std::optional<int> priority;
};

} // namespace camphorlug::gateway
