#pragma once

#include "camphorlug/gateway/demand_meter.h"
#include "camphorlug/gateway/load_tracker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// A node's status as sent to its peers several times a second.
struct node_status {
  std::string id;
  std::string data_centre;
  /// `ip:port` on which the node serves callers.
  std::string public_address;
  /// `ip:port` on which the node serves peers.
  std::string peer_address;
  /// Distinguishes this process from earlier ones of the same node; later processes
  /// have larger values.
  std::uint64_t incarnation = 0;
  /// Increases within an incarnation with each status.
  std::uint64_t sequence = 0;
  /// The node accepts requests.
  bool ready = false;
  bool leaving = false;
  std::uint64_t config_version = 0;
  /// Commit number of the newest target entry that the node has read.
  std::uint64_t entries_version = 0;
  /// The node is the leader, which plans the groups.
  bool leads = false;
  /// Whether the node has handled any request since it started.
  bool has_served = false;
  target_loads loads;
  /// Slots that the node's requests need, by service and model.
  slot_demand demand;
  /// Heads of groups whose streams stalled recently.
  std::vector<std::string> stalled;
  /// Targets that the node itself suspects.
  std::vector<std::string> suspects;

  std::string to_json() const;
  /// Throws nlohmann::json::exception if `text` is not a valid status.
  static node_status from_json(const std::string& text);
};

} // namespace camphorlug::gateway
