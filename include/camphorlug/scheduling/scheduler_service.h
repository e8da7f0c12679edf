#pragma once

#include "camphorlug/gateway/active_config.h"
#include "camphorlug/gateway/target_chooser.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/scheduling/pool_scheduler.h"
#include "camphorlug/scheduling/scheduler_assignment.h"
#include "camphorlug/scheduling/scheduler_message.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace camphorlug::scheduling {

/// Schedules the pools that are assigned to this node, for other nodes and for itself.
class scheduler_service {
public:
  scheduler_service(support::clock& time, gateway::target_chooser& chooser,
                    const gateway::active_config& config, std::string self)
      : time_(time), chooser_(chooser), config_(config), self_(std::move(self)) {}

  /// Takes over and gives up pools, and follows their targets. Call it several times a second.
  void update(const scheduler_assignment& assignment);
  /// Follows changes of targets at once.
  void update_targets();

  /// Whether this node schedules the pool now.
  bool schedules(const gateway::target_pool& pool) const { return schedulers_.contains(pool); }

  /// The scheduler of the pool, or null if this node does not schedule it.
  const pool_scheduler* find(const gateway::target_pool& pool) const;

  /// Requests that wait for slots of all pools that this node schedules.
  std::size_t waiting() const;

  /// Applies a message and returns the answer to its ask, if it has one. The message's ask is
  /// dropped once `cancelled` is true. If it has to wait, `waits` is called before.
  support::task<gateway::scheduled_slot> apply(
      scheduler_message message, const bool& cancelled, const std::function<void()>& waits = [] {});

  /// The same for a message of another node.
  support::task<> handle(net::server_request request, net::response_writer& writer);

private:
  void update_targets(const gateway::target_pool& pool, pool_scheduler& scheduler);
  /// Logs which organisation was refused most slots, for each pool in which some were.
  void report_scarcity();

  support::clock& time_;
  gateway::target_chooser& chooser_;
  const gateway::active_config& config_;
  std::string self_;
  std::map<gateway::target_pool, std::shared_ptr<pool_scheduler>> schedulers_;
  support::clock::time_point scarcity_reported_at_;
};

} // namespace camphorlug::scheduling
