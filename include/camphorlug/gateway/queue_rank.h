#pragma once

#include "camphorlug/support/clock.h"

namespace camphorlug::gateway {

/// Place of a request among those that wait: the lowest priority number first,
/// within it the one whose objective ends first.
struct queue_rank {
  int priority = 5;
  support::clock::time_point objective_deadline;

  auto operator<=>(const queue_rank&) const = default;
};

} // namespace camphorlug::gateway
