#pragma once

#include "camphorlug/peers/node_report.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::peers {

/// Another node as this one knows it.
struct known_peer {
  node_report report;
  /// When news of it last came, by any path.
  support::clock::time_point heard_at;
  /// When this node's own exchange with it last succeeded.
  support::clock::time_point reached_at;
  bool was_reached = false;
};

/// The newest report of each other node and when news of it came. A node is
/// suspected only when both its own exchanges and all relayed news have ceased.
class peer_board {
public:
  /// Silence by all paths after which a node is suspected.
  static constexpr std::chrono::seconds suspicion{4};
  /// Silence after which a node is forgotten.
  static constexpr std::chrono::seconds oblivion{60};

  explicit peer_board(std::string self) : self_(std::move(self)) {}

  /// Takes a report if it is newer than what is known.
  void take(const node_report& report, support::clock::time_point now);

  /// Notes that an exchange with `id` succeeded.
  void reached(const std::string& id, support::clock::time_point now);

  /// Drops nodes that have been silent for long.
  void forget_silent(support::clock::time_point now);

  bool is_suspected(const known_peer& peer, support::clock::time_point now) const {
    return now - peer.heard_at > suspicion;
  }

  const std::map<std::string, known_peer>& peers() const { return peers_; }

private:
  std::string self_;
  std::map<std::string, known_peer> peers_;
};

} // namespace camphorlug::peers
