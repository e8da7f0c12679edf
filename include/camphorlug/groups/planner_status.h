#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorlug::groups {

/// What a planner knows of its pool, for operators and metrics.
struct planner_status {
  std::string pool;
  std::string service;
  /// Whether this node holds the pool's lease.
  bool leads = false;
  std::uint64_t lease_number = 0;
  /// Who held the lease when it was last read.
  std::string leader;
  std::size_t wanted_groups = 0;
  std::size_t routable_groups = 0;
  /// Live instances that are in no routable group.
  std::size_t stranded_instances = 0;
  /// Group-seconds short of the document, as long as this node led.
  std::chrono::nanoseconds group_downtime{0};
  /// What the planner cannot do now and why; empty when nothing is in its way.
  std::string waits_for;
};

} // namespace camphorlug::groups
