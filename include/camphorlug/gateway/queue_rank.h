#pragma once

#include "camphorlug/support/clock.h"

namespace camphorlug::gateway {

/// Order of waiting requests: lowest priority number first, then earliest end of the objective.
struct queue_rank {
  int priority = 5;
  support::clock::time_point objective_deadline;

  auto operator<=>(const queue_rank&) const = default;
};

} // namespace camphorlug::gateway
