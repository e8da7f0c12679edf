#pragma once

#include "camphorlug/peers/peer_registry.h"
#include "camphorlug/support/clock.h"

#include <chrono>

namespace camphorlug::node {

/// Detects that a node cannot know whether its documents and group rows are current: within
/// `contact_timeout` the store (the platform's table service) has not answered, and too few
/// peers were heard from, see `has_peer_majority_contact`.
class isolation_monitor {
public:
  static constexpr std::chrono::seconds contact_timeout{5};

  isolation_monitor(support::clock& time, const peers::peer_registry& registry);

  /// Records that the store answered just now.
  void record_store_response();

  /// Re-evaluates isolation and logs a change. Call it a few times a second.
  void update();

  bool isolated() const { return isolated_; }
  bool store_reachable() const;

  /// Returns whether more than half of the known peers were heard from, directly or by relay,
  /// within `contact_timeout` plus the propagation delay; false without peers.
  bool has_peer_majority_contact() const;

private:
  support::clock& time_;
  const peers::peer_registry& peer_registry_;
  support::clock::time_point store_answered_at_;
  bool isolated_ = false;
};

} // namespace camphorlug::node
