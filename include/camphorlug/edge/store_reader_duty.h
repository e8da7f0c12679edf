#pragma once

#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"

#include <chrono>
#include <optional>

namespace camphorlug::edge {

/// Decides when a node reads the tables of the store itself: while it is one of the fleet's
/// readers, or while it knows no other node. Delays keep many nodes from reading while they still
/// discover each other, and a reader from stopping before the next one has started.
class store_reader_duty {
public:
  store_reader_duty(support::clock& time, support::random_source& random);

  /// Applies what the node believes now. Returns whether `is_active` changed.
  bool update(bool is_alone, bool is_reader);
  bool is_active() const { return is_active_; }

private:
  bool is_wanted(bool is_alone, bool is_reader);

  support::clock& time_;
  /// Random part of the time after which a node that knows no other one reads the store.
  std::chrono::nanoseconds isolation_jitter_;
  bool is_active_ = false;
  /// Since when the node has known no other one.
  std::optional<support::clock::time_point> alone_since_;
  /// Since when the duty has differed from `is_active_`.
  std::optional<support::clock::time_point> differs_since_;
};

} // namespace camphorlug::edge
