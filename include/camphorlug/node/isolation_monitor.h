#pragma once

#include "camphorlug/peers/peer_registry.h"
#include "camphorlug/support/clock.h"

#include <chrono>

namespace camphorlug::node {

/// Detects that a node cannot know whether its documents are current: for a while, neither did
/// the table service answer nor did news arrive of more than half of its peers.
class isolation_monitor {
public:
  static constexpr std::chrono::seconds contact_timeout{5};

  isolation_monitor(support::clock& time, const peers::peer_registry& board);

  /// Records that the table service answered just now.
  void record_store_response();

  /// Re-evaluates isolation and logs a change. Call it a few times a second.
  void update();

  bool isolated() const { return isolated_; }
  bool store_reachable() const;

  /// Returns whether recent news, direct or relayed, exists of more than half of the known
  /// peers; false without peers.
  bool hears_peer_majority() const;

private:
  support::clock& time_;
  const peers::peer_registry& board_;
  support::clock::time_point store_answered_at_;
  bool isolated_ = false;
};

} // namespace camphorlug::node
