#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::documents {

/// Which of two conflicting measures placement gives priority for a service.
enum class placement_objective {
  /// Minimizes group downtime: planned work waits until there are more groups than
  /// the document requires.
  uptime,
  /// Minimizes stranded accelerators: planned work may proceed while there are too few groups.
  utilisation,
};

/// The desired replica groups of a model service.
struct model_spec {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;
  /// Complete groups that must serve; having fewer counts as group downtime.
  std::size_t replicas = 1;
  /// Complete groups that may serve if idle instances are available; 0 for no limit.
  std::size_t max_replicas = 0;
  /// Number of instances in a group.
  std::size_t span = 1;
  placement_objective optimize_for = placement_objective::uptime;
  /// Whether the engines refuse an order with a stale number.
  bool engines_check_numbers = true;
  /// Maximum number of concurrent weight loads.
  std::size_t concurrent_loads = 8;
};

} // namespace camphorlug::documents
