#pragma once

#include <string>

namespace camphorlug::gateway {

/// Identifies the targets that can serve the same requests.
struct target_pool {
  std::string service;
  /// Empty for a service without groups.
  std::string model;

  auto operator<=>(const target_pool&) const = default;
};

} // namespace camphorlug::gateway
