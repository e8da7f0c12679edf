#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::documents {

/// Which of the two measures a service weighs more.
enum class placement_objective {
  /// Group downtime: planned work waits for groups beyond the document's number.
  uptime,
  /// Stranded accelerators: planned work may go on while groups are short.
  utilisation,
};

/// The replica groups that a model service should have.
struct model_spec {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;
  /// Whole groups that must serve; fewer is group downtime.
  std::size_t replicas = 1;
  /// Whole groups that may serve where idle instances allow; 0 for no limit.
  std::size_t max_replicas = 0;
  /// Instances of one group.
  std::size_t span = 1;
  placement_objective optimize_for = placement_objective::uptime;
  /// Whether the engines refuse an order with an old number.
  bool engines_check_numbers = true;
  /// Weight loads that may run at the same time.
  std::size_t concurrent_loads = 8;
};

} // namespace camphorlug::documents
