#pragma once

#include "camphorlug/gateway/shutdown_phase.h"
#include "camphorlug/support/clock.h"

#include <chrono>

namespace camphorlug::gateway {

/// What request handling must know of this node's shutdown.
///
/// Load pattern: callers keep using their open connections to a node that has been told to end,
/// with requests that take seconds because the targets are loaded or silent. A request that is
/// taken but cannot finish is cut short when the process ends, although another node would have
/// served it.
struct shutdown_state {
  shutdown_phase phase = shutdown_phase::none;
  /// Requests in progress are cut short at this time; meaningless without a shutdown.
  support::clock::time_point exits_at;
  /// Another node takes requests.
  bool others_serve = false;
  /// Meaningless without a shutdown.
  support::clock::time_point began_at = {};

  /// Whether a request that starts now should be rejected because it may not finish in time.
  /// `time_limit` is the longest time that the request may take, `usual_duration` the mean of those
  /// before.
  bool should_reject(support::clock::time_point now, std::chrono::nanoseconds time_limit,
                     std::chrono::nanoseconds usual_duration) const {
    const auto time_left = exits_at - now;
    if (phase == shutdown_phase::none || time_limit <= time_left)
      return false;
    // Without another node, only this one can serve the request.
    if (!others_serve)
      return usual_duration > time_left;
    // Callers that still come in the closing phase lose little by a rejection.
    const std::chrono::nanoseconds pause =
        phase == shutdown_phase::closing ? max_target_pause : std::chrono::nanoseconds(0);
    return usual_duration * duration_margin + pause > time_left;
  }

  /// Requests of a pool differ in length; few take longer than this multiple of the mean.
  static constexpr int duration_margin = 2;
  /// A sound target may send nothing for this long.
  static constexpr std::chrono::nanoseconds max_target_pause = std::chrono::seconds(2);
};

} // namespace camphorlug::gateway
