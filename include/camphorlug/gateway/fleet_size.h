#pragma once

#include <chrono>
#include <cstddef>
#include <nlohmann/json_fwd.hpp>

namespace camphorlug::gateway {

/// How many nodes a fleet has, as sent to peers: a node that has just started cannot tell a part
/// behind a cut from the whole.
struct fleet_size {
  /// Larger reports are faulty and are not used.
  static constexpr std::size_t max_nodes = 10'000;

  std::size_t nodes = 0;
  /// Time since a node counted them.
  std::chrono::milliseconds age{0};

  bool operator==(const fleet_size&) const = default;
};

void to_json(nlohmann::json& value, const fleet_size& size);
/// Throws nlohmann::json::exception if `value` is not a valid report.
void from_json(const nlohmann::json& value, fleet_size& size);

} // namespace camphorlug::gateway
