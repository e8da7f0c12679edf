#pragma once

#include "camphorlug/edge/state_path.h"
#include "camphorlug/gateway/active_config.h"
#include "camphorlug/gateway/cold_targets.h"
#include "camphorlug/gateway/crash_evidence.h"
#include "camphorlug/gateway/fleet_view.h"
#include "camphorlug/gateway/group_directory.h"
#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/gateway/node_status.h"
#include "camphorlug/gateway/path_monitor.h"
#include "camphorlug/gateway/retry_limiter.h"
#include "camphorlug/gateway/suspicion_list.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/groups/lease.h"
#include "camphorlug/support/clock.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace camphorlug::edge {

/// The parts of a node's state that the state report shows.
struct state_report_input {
  const support::clock& time;
  /// The status that the node sends to its peers.
  const gateway::node_status& self;
  const std::map<std::string, gateway::fleet_view::member>& others;
  const gateway::fleet_roles& roles;
  gateway::fleet_summary others_summary;
  const gateway::active_config& config;
  const gateway::target_registry& registry;
  gateway::group_directory& groups;
  gateway::load_tracker& loads;
  const gateway::suspicion_list& suspicions;
  const gateway::crash_evidence& crashes;
  const gateway::evacuation_list& evacuations;
  const gateway::cold_targets& cold_targets;
  const gateway::path_monitor& paths;
  const gateway::retry_limiter& retries;
  const groups::lease& lease;
  /// The highest era of the store that the node knows of.
  std::uint64_t store_era = 0;
  std::size_t waiting_requests = 0;
  /// When the store last answered a read of the target table; nullopt if it never did.
  std::optional<support::clock::time_point> store_answered_at;
  /// How stale the node's copies of the configuration's and the targets' tables may be.
  std::chrono::nanoseconds config_staleness{0};
  std::chrono::nanoseconds target_staleness{0};
};

/// Returns the node's active configuration, groups, targets, peers, evacuations, cold
/// targets, banned prompt parts, retry budgets, lease and number of waiting requests as JSON, with
/// the age of the data in milliseconds.
nlohmann::ordered_json make_state_report(const state_report_input& state);

} // namespace camphorlug::edge
