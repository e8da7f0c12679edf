#pragma once

#include "camphorlug/peers/peer_board.h"
#include "camphorlug/support/clock.h"

#include <chrono>

namespace camphorlug::node {

/// Tells when a node cannot know what is in force: for a while neither
/// the table service answered nor was there news of more than half of its peers.
class isolation_monitor {
public:
  static constexpr std::chrono::seconds contact_timeout{5};

  isolation_monitor(support::clock& time, const peers::peer_board& board);

  /// Notes that the table service answered.
  void record_store_response();

  /// Looks at the present contacts; call it a few times a second.
  void update();

  bool isolated() const { return isolated_; }
  bool store_reachable() const;

  /// Whether there is recent news, by any path, of more than half of the known
  /// peers; false without peers.
  bool hears_peer_majority() const;

private:
  support::clock& time_;
  const peers::peer_board& board_;
  support::clock::time_point store_answered_at_;
  bool isolated_ = false;
};

} // namespace camphorlug::node
