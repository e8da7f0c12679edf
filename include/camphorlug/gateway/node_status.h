#pragma once

#include "camphorlug/gateway/demand_meter.h"
#include "camphorlug/gateway/load_tracker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// What a node tells its peers several times a second.
struct node_status {
  std::string id;
  std::string data_centre;
  /// `ip:port` for callers.
  std::string public_address;
  /// `ip:port` for peers.
  std::string peer_address;
  /// Tells this process from earlier ones of the same node; it only grows.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// It takes requests.
  bool ready = false;
  bool leaving = false;
  std::uint64_t config_version = 0;
  /// Commit number of the newest of the targets' entries that it has read.
  std::uint64_t entries_version = 0;
  /// It plans the groups.
  bool leads = false;
  /// Whether it has handled any request.
  bool has_served = false;
  target_loads loads;
  /// Slots that its requests need, by service and model.
  slot_demand demand;
  /// Heads of groups that stopped in the middle of their work a moment ago.
  std::vector<std::string> stalled;
  /// Targets that it suspects.
  std::vector<std::string> suspects;

  std::string to_json() const;
  /// Throws nlohmann::json::exception.
  static node_status from_json(const std::string& text);
};

} // namespace camphorlug::gateway
