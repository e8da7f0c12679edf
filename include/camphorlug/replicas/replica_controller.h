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
#include <set>
#include <string>
#include <vector>

namespace camphorlug::replicas {

/// Dependencies of a `replica_controller`, which must all outlive it.
struct replica_controller_context {
  asio::any_io_executor executor;
  support::clock& time;
  const gateway::active_config& config;
  const gateway::target_registry& registry;
  groups::lease& lease;
  order_client& orders;
  instance_prober& prober;
  /// Returns whether any node has handled a request.
  std::function<bool()> traffic_started;
  /// Returns whether another node has recently reported that it leads. The lease need not be
  /// read in that case.
  std::function<bool()> another_node_leads;
  /// Returns the slots that the requests of all nodes need; empty until the demand is known.
  std::function<gateway::slot_demand()> demand;
  /// Returns the heads of groups that any node has recently seen stalled.
  std::function<std::vector<std::string>()> stalled_heads;
  /// Reads the entries of all targets from the store. Returns whether it answered.
  std::function<support::task<bool>()> refresh_entries;
  /// Returns whether this node reaches the targets. Otherwise it does not plan.
  std::function<bool()> reaches_targets;
  /// Returns the data centres in which no group may serve.
  std::function<std::set<std::string>()> evacuated_data_centres = [] {
    return std::set<std::string>();
  };
};

/// Forms and repairs the groups of all engine services while this node holds the lease.
class replica_controller {
public:
  explicit replica_controller(replica_controller_context context) : context_(std::move(context)) {}

  /// Runs the planning loop until the clock is shut down.
  support::task<> run();
  /// Acquires and renews the lease until the clock is shut down.
  support::task<> keep_lease();
  /// Releases the lease before this node shuts down.
  support::task<> step_down();

  bool leads() const { return context_.lease.held(); }

private:
  /// Runs one planning pass for each engine service and sends the resulting orders.
  void plan_services();
  /// Reads the entries until the store has answered once in this term.
  support::task<> refresh_entries(std::uint64_t term);
  planning_input make_planning_input(const gateway::service_spec& service) const;
  /// Probes the members of stalled groups and the instances that did not answer their last
  /// probe, to find out which are gone.
  void probe_suspect_instances(const std::string& service, replica_planner& planner);
  support::task<> probe(std::string service, gateway::target_entry entry);
  support::task<> send(std::string service, replica_order order, std::uint64_t term);

  replica_controller_context context_;
  std::map<std::string, std::unique_ptr<replica_planner>> planners_;
  /// Number of the lease acquisition for which the planners were last reset.
  std::uint64_t term_ = 0;
  /// The latest term for which `refresh_entries` was started.
  std::uint64_t refreshing_in_term_ = 0;
  /// The latest term in which the entries were read from the store. The entries held before may be
  /// older than the last orders of the previous leader: a process that stood still or was cut off
  /// from the store holds those of seconds ago.
  std::uint64_t current_in_term_ = 0;
  /// When each instance was last probed.
  std::map<std::string, support::clock::time_point> probed_at_;
  bool stepping_down_ = false;
};

} // namespace camphorlug::replicas
