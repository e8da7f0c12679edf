#pragma once

#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace camphorlug::edge {

/// Decides when a node reads a table of the store itself, because its copy is too stale for
/// whatever reason: nobody reads for the others, or what is read does not reach this node.
///
/// Each node decides by the staleness of its own copy alone, so no node that reaches the store
/// depends on a belief about others. The hubs read first, one after the other, and the nodes that
/// are attached to them later, so that a fleet of any size stops after the first answer: it
/// reaches the others before their turn.
class direct_read_policy {
public:
  /// Part of the time limit for which a reader's call to the feed may wait for a change, so that
  /// copies are never stale for long enough for a direct read while a reader has the store.
  static constexpr double poll_fraction = 0.3;
  /// Part of the time limit after which a direct read is given up.
  static constexpr double timeout_fraction = 0.2;

  /// `node` is the id of this node.
  direct_read_policy(support::clock& time, support::random_source& random, std::string_view node);

  /// Whether to read now. `place` is this node's place among `hubs` hubs; nothing if it is none.
  bool should_read(std::chrono::nanoseconds staleness, std::chrono::milliseconds time_limit,
                   std::optional<std::size_t> place, std::size_t hubs);

  /// To be called around each direct read.
  void begin_read() { is_reading_ = true; }
  void end_read(bool answered, std::chrono::milliseconds time_limit);

private:
  support::clock& time_;
  support::random_source& random_;
  /// This node's turn among those that are no hubs, from 0 to 1.
  double turn_;
  bool is_reading_ = false;
  int failures_ = 0;
  support::clock::time_point retry_at_;
};

} // namespace camphorlug::edge
