#pragma once

#include "camphorlug/gateway/config_in_force.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/groups/lease.h"
#include "camphorlug/replicas/order_client.h"
#include "camphorlug/replicas/replica_planner.h"

#include <asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace camphorlug::replicas {

/// All that the keeping of groups works with; everything must outlive it.
struct keeper_context {
  asio::any_io_executor executor;
  support::clock& time;
  const gateway::config_in_force& config;
  const gateway::target_registry& registry;
  groups::lease& holding;
  order_client& orders;
  /// Whether any node has handled a request.
  std::function<bool()> traffic_has_begun;
  /// Whether another node said a moment ago that it leads: the lease need not be read then.
  std::function<bool()> other_leads;
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
  support::task<> send(std::string service, replica_order order, std::uint64_t fence);

  keeper_context context_;
  std::map<std::string, std::unique_ptr<replica_planner>> planners_;
  std::uint64_t term_ = 0;
  bool stepping_down_ = false;
};

} // namespace camphorlug::replicas
