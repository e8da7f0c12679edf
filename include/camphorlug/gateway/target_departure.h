#pragma once

#include "camphorlug/support/clock.h"

#include <cstdint>
#include <optional>

namespace camphorlug::gateway {

/// What is known of a target's process that shuts down: its row or one of its responses has said
/// so, or its row was removed.
struct target_departure {
  /// See `target_entry::started_at_ms`.
  std::int64_t started_at_ms = 0;
  /// When this node learned of it.
  support::clock::time_point since;
  /// When this node last learned of a new report of the process; nothing if it has learned of none.
  std::optional<support::clock::time_point> reported_at{};
  /// When this node learned that the row was removed.
  std::optional<support::clock::time_point> removed_at{};
};

} // namespace camphorlug::gateway
