#pragma once

#include "camphorlug/peers/node_report.h"
#include "camphorlug/peers/peer_board.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"

#include <chrono>
#include <string>
#include <vector>

namespace camphorlug::node {

/// An address that callers may use.
struct entry_point {
  std::string address;
  std::string data_centre;
};

/// The nodes that callers may use now: those of `data_centre` first, each part
/// in random order, without leaving, isolated and suspected nodes.
std::vector<entry_point> list_entry_points(const peers::node_report& self, bool self_serves,
                                           const peers::peer_board& board,
                                           const std::string& data_centre,
                                           support::clock::time_point now,
                                           support::random_source& random);

/// The answer of `/v1/entries`.
std::string to_json(const std::vector<entry_point>& entries, std::chrono::milliseconds valid_for);

} // namespace camphorlug::node
