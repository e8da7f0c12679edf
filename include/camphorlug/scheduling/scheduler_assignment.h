#pragma once

#include "camphorlug/gateway/fleet_roles.h"
#include "camphorlug/gateway/node_status.h"
#include "camphorlug/gateway/routing_config.h"
#include "camphorlug/gateway/target_pool.h"

#include <map>
#include <vector>

namespace camphorlug::scheduling {

/// Which node schedules the slots of which pool. Each node derives it from the list of live nodes
/// and the configuration alone.
///
/// Only the groups of engine services are scheduled, and only in a fleet in which nodes know each
/// other's loads late. All nodes must know the messages, since requests of a node that does not ask
/// would take slots that the scheduler believes free.
class scheduler_assignment {
public:
  /// In a larger fleet, one scheduler for a pool would have to answer more asks a second than a
  /// node has the processor time for.
  static constexpr std::size_t max_nodes = 128;

  void update(const std::vector<const gateway::node_status*>& live,
              const gateway::fleet_roles& roles, const gateway::routing_config& config);

  /// Returns null if nobody schedules the pool.
  const gateway::node_status* scheduler_of(const gateway::target_pool& pool) const;
  bool empty() const { return assigned_.empty(); }
  const std::map<gateway::target_pool, gateway::node_status>& all() const { return assigned_; }

private:
  std::map<gateway::target_pool, gateway::node_status> assigned_;
};

} // namespace camphorlug::scheduling
