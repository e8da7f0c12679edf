#pragma once

#include "camphorlug/gateway/cold_bound.h"
#include "camphorlug/gateway/home_regions.h"
#include "camphorlug/gateway/retry_limiter.h"
#include "camphorlug/gateway/second_try_limits.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::edge {

/// Settings of an edge node. `edge_node::change_settings` applies those that can change at run
/// time.
struct edge_settings {
  std::string id;
  std::string data_centre;
  /// Region of each data centre, this one's too.
  gateway::region_map regions;
  /// `ip:port` for callers.
  std::string public_address;
  /// `ip:port` for peers.
  std::string peer_address;
  /// Processor share of the instance in cores.
  double cores = 1;
  /// Whether all nodes start for the first time, so that nobody waits for this node yet.
  bool is_first_start = true;
  /// Peer addresses to contact before the registered nodes are known.
  std::vector<std::string> seeds;
  /// Bytes that the process may use; 0 if there is no limit.
  std::size_t memory_bytes = 0;
  gateway::retry_limits retries;
  gateway::cold_bound cold;
  /// Fixed until the process starts again.
  gateway::second_try_limits second_tries;
  /// Time between the termination signal and the kill of the process.
  std::chrono::milliseconds termination_grace{8000};
  /// Time from the announcement of an evacuation within which the last request may be sent to a
  /// target there; 0 if none may.
  std::chrono::milliseconds evacuation_time_limit{0};
  /// Time from the store's confirmation within which a new configuration must be in force, and
  /// within which no further request may be sent to a target that drains or is gone.
  std::chrono::milliseconds config_time_limit{2000};
  std::chrono::milliseconds target_time_limit{2000};
  /// Interval at which targets write their rows.
  std::chrono::milliseconds target_report_interval{1200};
  /// How long callers may cache a response of the directory of entry points. Some keep it three
  /// times as long, so a node that shuts down waits for them.
  std::chrono::milliseconds entries_valid_for{800};
  /// Minimum number of addresses in a response of the directory of entry points, if that many
  /// exist.
  std::size_t min_entry_points = 2;
};

} // namespace camphorlug::edge
