#pragma once

#include "camphorlug/gateway/demand_meter.h"
#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/gateway/member_sighting.h"
#include "camphorlug/gateway/target_limits.h"
#include "camphorlug/support/unknown_fields.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

namespace camphorlug::gateway {

/// What one or several nodes report several times a second. Summaries of disjoint sets of nodes
/// are added up on the way, so that their size does not depend on the number of nodes.
struct fleet_summary {
  /// Requests in flight.
  target_loads loads;
  /// Slots that the nodes' requests need, by service and model.
  slot_demand demand;
  /// Heads of groups whose streams stalled recently.
  std::set<std::string> stalled;
  /// Targets that nodes suspect, with the number of these nodes.
  std::map<std::string, std::size_t> suspects;
  /// Targets that said in a response that they are shutting down, with their start; see
  /// `target_entry::started_at_ms`.
  std::map<std::string, std::int64_t> leaving;
  /// What targets said about their limits. Nodes also report what they learned from others, so
  /// that a limit outlives the nodes that it was told.
  reported_limits limits;
  /// What members of groups whose entries have lapsed answered to the node that asks them.
  member_sightings sightings;
  /// Id of the node that plans the groups; empty if none of these nodes does.
  std::string leader;
  /// Whether any of the nodes has handled a request since it started.
  bool has_served = false;
  /// Time since the store last answered one of the nodes; nullopt if it never did.
  std::optional<std::chrono::milliseconds> store_answer_age;
  /// Time since the store answered again after an outage; nullopt if it had none.
  std::optional<std::chrono::milliseconds> store_recovery_age;
  /// What nodes of a later build report; a hub of this build merges it as
  /// `support::merge_unknown_fields` does.
  support::unknown_fields unknown;

  /// Adds `other`, which was received `elapsed` ago, so that its ages have grown by that.
  void add(const fleet_summary& other, std::chrono::nanoseconds elapsed);
  /// Adds everything but the loads.
  void add_without_loads(const fleet_summary& other, std::chrono::nanoseconds elapsed);
};

void to_json(nlohmann::json& value, const fleet_summary& summary);
/// Throws nlohmann::json::exception if `value` is not a valid summary.
void from_json(const nlohmann::json& value, fleet_summary& summary);

} // namespace camphorlug::gateway
