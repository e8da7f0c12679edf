#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace camphorlug::table {

/// How stale this node's copy of a table may be: the time since the store is known to have held
/// nothing that the copy lacks. Knowledge comes from the store's own answers and from peers, which
/// tell how stale their copies are.
class staleness_tracker {
public:
  explicit staleness_tracker(support::clock& time) : time_(time), started_at_(time.now()) {}

  /// The store held nothing at `as_of` that this node lacks.
  void confirm(support::clock::time_point as_of);
  /// The store held nothing at `as_of` that a copy of `version` lacks. It counts once this node's
  /// copy has that version; `held` is the version that it has now.
  void confirm_version(std::uint64_t version, support::clock::time_point as_of, std::uint64_t held);
  /// This node's copy has version `held` from now on.
  void update_held(std::uint64_t held);

  /// Counts from the start of this node if nothing was confirmed yet.
  std::chrono::nanoseconds staleness() const { return time_.now() - as_of_.value_or(started_at_); }
  /// Nothing if nothing was confirmed yet.
  std::optional<support::clock::time_point> as_of() const { return as_of_; }
  /// The highest version that a copy is known to have.
  std::uint64_t newest_version() const { return newest_version_; }

private:
  struct version_confirmation {
    std::uint64_t version = 0;
    support::clock::time_point as_of;
  };

  support::clock& time_;
  support::clock::time_point started_at_;
  std::optional<support::clock::time_point> as_of_;
  /// The latest confirmation of a version that this node's copy does not have yet.
  std::optional<version_confirmation> pending_;
  std::uint64_t newest_version_ = 0;
};

} // namespace camphorlug::table
