#pragma once

#include "camphorlug/gateway/retry_allowance.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::edge {

/// What an edge node is told at its start.
struct edge_settings {
  std::string id;
  std::string data_centre;
  /// `ip:port` for callers.
  std::string public_address;
  /// `ip:port` for peers.
  std::string peer_address;
  /// Peer addresses to begin with.
  std::vector<std::string> seeds;
  gateway::retry_limits retries;
  /// Time from the signal to end until the process is killed.
  std::chrono::milliseconds termination_grace{8000};
  /// How long callers keep an answer of the entry directory; some keep it three
  /// times as long, and a leaving node has to wait for them.
  std::chrono::milliseconds entries_valid_for{800};
  /// Addresses that the entry directory hands out at least, while there are as many.
  std::size_t min_entry_points = 2;
};

} // namespace camphorlug::edge
