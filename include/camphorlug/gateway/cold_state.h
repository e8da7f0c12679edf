#pragma once

#include "camphorlug/support/clock.h"

namespace camphorlug::gateway {

/// That a target is cold: it tolerates few requests for a while.
struct cold_state {
  support::clock::time_point until;
  /// Sustained requests a second that it tolerates meanwhile.
  double requests_per_second = 0;

  bool operator==(const cold_state&) const = default;
};

} // namespace camphorlug::gateway
