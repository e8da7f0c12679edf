#pragma once

#include "camphorlug/gateway/shutdown_phase.h"
#include "camphorlug/support/clock.h"

#include <chrono>

namespace camphorlug::gateway {

/// What request handling must know of this node's shutdown.
///
/// Load pattern: callers keep using their open connections to a node that has been told to end,
/// with requests that take seconds because the targets are loaded. A request that is taken but
/// cannot finish is cut when the process ends, although another node would have served it.
struct shutdown_state {
  shutdown_phase phase = shutdown_phase::none;
  /// Requests in progress are cut at this time; meaningless without a shutdown.
  support::clock::time_point exits_at;
  /// Another node takes requests.
  bool others_serve = false;

  /// Whether a request that starts now should be left to another node. `time_limit` is the longest
  /// time that the request may take, `usual_duration` the mean of those before.
  bool should_leave_to_others(support::clock::time_point now, std::chrono::nanoseconds time_limit,
                              std::chrono::nanoseconds usual_duration) const {
    const auto time_left = exits_at - now;
    return phase != shutdown_phase::none && others_serve && time_limit > time_left &&
           usual_duration * duration_margin > time_left;
  }

  /// Requests of a pool differ in length; few take longer than this multiple of the mean.
  static constexpr int duration_margin = 2;
};

} // namespace camphorlug::gateway
