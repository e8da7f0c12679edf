#pragma once

#include "camphorlug/peers/node_report.h"
#include "camphorlug/peers/peer_registry.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"

#include <chrono>
#include <string>
#include <vector>

namespace camphorlug::node {

/// Address of a node that accepts requests from callers.
struct entry_point {
  std::string address;
  std::string data_centre;
};

/// Returns the nodes that callers may use now, in random order with those of `data_centre` first.
/// Peers that are leaving, isolated or suspected are left out.
std::vector<entry_point> list_entry_points(const peers::node_report& self, bool self_serves,
                                           const peers::peer_registry& registry,
                                           const std::string& data_centre,
                                           support::clock::time_point now,
                                           support::random_source& random);

/// Returns the response body of `/v1/entries`.
std::string to_json(const std::vector<entry_point>& entries, std::chrono::milliseconds valid_for);

} // namespace camphorlug::node
