#pragma once

#include "camphorlug/gateway/active_config.h"
#include "camphorlug/gateway/demand_meter.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/groups/lease.h"
#include "camphorlug/replicas/instance_prober.h"
#include "camphorlug/replicas/order_client.h"
#include "camphorlug/replicas/replica_planner.h"

#include <asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorlug::replicas {

/// All that the keeping of groups works with; everything must outlive it.
struct keeper_context {
  asio::any_io_executor executor;
  support::clock& time;
  const gateway::active_config& config;
  const gateway::target_registry& registry;
  groups::lease& holding;
  order_client& orders;
  instance_prober& prober;
  /// Whether any node has handled a request.
  std::function<bool()> traffic_has_begun;
  /// Whether another node said a moment ago that it leads: the lease need not be read then.
  std::function<bool()> other_leads;
  /// Slots that the requests of all nodes need; empty until that is known.
  std::function<gateway::slot_demand()> demand;
  /// Heads of groups that some node saw standing still a moment ago.
  std::function<std::vector<std::string>()> stalled;
};

/// Forms and repairs the groups of all engine services while this node holds the lease.
class replica_keeper {
public:
  explicit replica_keeper(keeper_context context) : context_(std::move(context)) {}

  /// Plans until the clock is shut down.
  support::task<> run();
  /// Takes and renews the lease until the clock is shut down.
  support::task<> keep_lease();
  /// Gives the lease up before this node ends.
  support::task<> step_down();

  bool leads() const { return context_.holding.held(); }

private:
  void lead();
  planning_view view_of(const gateway::service_spec& service) const;
  /// Finds out which members of stalled groups are gone.
  void question(const std::string& service, replica_planner& planner);
  support::task<> probe(std::string service, gateway::target_entry entry);
  support::task<> send(std::string service, replica_order order, std::uint64_t fence);

  keeper_context context_;
  std::map<std::string, std::unique_ptr<replica_planner>> planners_;
  std::uint64_t term_ = 0;
  /// When each instance was last asked.
  std::map<std::string, support::clock::time_point> probed_at_;
  bool stepping_down_ = false;
};

} // namespace camphorlug::replicas
