#pragma once

#include "camphorlug/peers/node_report.h"
#include "camphorlug/peers/peer_message.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::peers {

/// Another node as this one knows it.
struct known_peer {
  /// The newest content; its sequence is the latest sign of life.
  node_report report;
  /// When that sign of life came, by any path.
  support::clock::time_point heard_at;
};

/// The newest report of each other node and when news of it came. A node is
/// suspected only when both its own exchanges and all relayed news have ceased.
class peer_registry {
public:
  /// Silence by all paths after which a node is suspected, beyond the time
  /// that news takes to go round.
  static constexpr std::chrono::seconds suspicion_timeout{4};
  /// Silence after which a node is forgotten.
  static constexpr std::chrono::seconds removal_timeout{60};

  explicit peer_registry(std::string self) : self_(std::move(self)) {}

  /// Takes a report if it is newer than what is known.
  void update(const node_report& report, support::clock::time_point now);

  /// Takes a sign of life that came without the report.
  void update(const report_digest& digest, support::clock::time_point now);

  /// The time that news takes to go round, over that among a few nodes.
  std::chrono::seconds propagation_delay() const;

  /// Drops nodes that have been silent for long.
  void remove_silent_peers(support::clock::time_point now);

  bool is_suspected(const known_peer& peer, support::clock::time_point now) const {
    return now - peer.heard_at > suspicion_timeout + propagation_delay();
  }

  const std::map<std::string, known_peer>& peers() const { return peers_; }

private:
  std::string self_;
  std::map<std::string, known_peer> peers_;
};

} // namespace camphorlug::peers
