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
  /// The newest known report. Its sequence is that of the latest heartbeat, which
  /// can be newer than the content.
  node_report report;
  /// When the latest heartbeat arrived, directly or relayed.
  support::clock::time_point heard_at;
};

/// The newest report of each other node and the time of its last heartbeat. A
/// node is suspected only when neither its own exchanges nor relayed reports bring
/// a new heartbeat.
class peer_registry {
public:
  /// A node is suspected after this time plus `propagation_delay()` without a direct
  /// or relayed heartbeat.
  static constexpr std::chrono::seconds suspicion_timeout{4};
  /// A node is removed after this time without a heartbeat.
  static constexpr std::chrono::seconds removal_timeout{60};

  explicit peer_registry(std::string self) : self_(std::move(self)) {}

  /// Applies the parts of a report that are newer than the known ones: its content,
  /// its heartbeat, or both.
  void update(const node_report& report, support::clock::time_point now);

  /// Applies a heartbeat that came without the report.
  void update(const report_digest& digest, support::clock::time_point now);

  /// Additional time that a report needs to reach all nodes, beyond the time in a
  /// cluster of fewer than 8 peers. Grows with the logarithm of the number of nodes.
  std::chrono::seconds propagation_delay() const;

  /// Removes nodes without a heartbeat within `removal_timeout`.
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
