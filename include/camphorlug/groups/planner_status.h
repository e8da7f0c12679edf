#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorlug::groups {

/// A planner's view of its pool, for operators and metrics.
struct planner_status {
  std::string pool;
  std::string service;
  /// Whether this node holds the pool's lease.
  bool leads = false;
  std::uint64_t lease_number = 0;
  /// Holder of the lease as of the last read.
  std::string leader;
  std::size_t wanted_groups = 0;
  std::size_t routable_groups = 0;
  /// Live instances that belong to no routable group.
  std::size_t stranded_instances = 0;
  /// Group-seconds for which fewer groups were routable than the document's
  /// `replicas`, while this node held the lease.
  std::chrono::nanoseconds group_downtime{0};
  /// What blocks the planner now; empty if nothing does.
  std::string waits_for;
};

} // namespace camphorlug::groups
